//! What a pass knows about racks: their executors, what waits for them and when room is expected there.
//!
//! It is collected only if a step that prefers a rack is tried: the executors after a change of an entry,
//! the rest once per pass.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use guavacart_types::{Resources, Span};
use smol_str::SmolStr;

use super::{State, passes::Rank, runs::Run};
use crate::{
    PoolName, QueueName, Step, StepKey, TaskKey,
    policy::wait::{self, EstimateRatio, Outlook, Place},
};

/// Time until a run that was ordered to stop is over.
const STOP_TIME: Span = Span::millis(200);

/// Executors by rack.
pub(super) type Members = HashMap<SmolStr, Vec<usize>>;

/// For each rack, the steps that wait for it in order of rank, each with the processors that the tasks
/// up to it demand.
pub(super) type Queues = HashMap<SmolStr, Vec<(Rank, u64)>>;

/// Executors of a rack that can be given work.
pub(super) type Places = Vec<(usize, Place)>;

/// What the current pass knows about racks, and what was learned about estimates.
#[derive(Debug, Default)]
pub(super) struct Racks {
    /// Executors by rack; `None` if an entry has changed since they were collected.
    members: Option<Members>,
    /// The queues are those of the current pass.
    has_queues: bool,
    queues: Queues,
    /// For each rack, the processors demanded by tasks of these steps that have started in this pass.
    started: HashMap<SmolStr, BTreeMap<Rank, u64>>,
    places: HashMap<SmolStr, Arc<Places>>,
    outlooks: HashMap<OutlookKey, Arc<Outlook>>,
    ratios: HashMap<QueueName, EstimateRatio>,
}

/// What the outlook at a rack depends on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OutlookKey {
    rack: SmolStr,
    tasks: TaskNeeds,
}

/// What tasks need of the executors of a rack, apart from tickets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct TaskNeeds {
    pool: PoolName,
    size: Resources,
    label: Option<SmolStr>,
    max_per_executor: Option<u16>,
}

impl TaskNeeds {
    pub(super) fn new(pool: &PoolName, step: &Step) -> Self {
        Self {
            pool: pool.clone(),
            size: step.reserved(),
            label: step.required_label.clone(),
            max_per_executor: step.max_per_executor,
        }
    }
}

impl Racks {
    /// Begins a pass.
    pub(super) fn begin_pass(&mut self) {
        self.has_queues = false;
        self.queues.clear();
        self.started.clear();
        self.places.clear();
        self.outlooks.clear();
    }

    /// Notes that an executor's entry has changed.
    pub(super) fn forget_members(&mut self) {
        self.members = None;
    }

    /// Executors of a rack, if they are known.
    pub(super) fn members(&self, rack: &SmolStr) -> Option<&[usize]> {
        let members = self.members.as_ref()?;
        Some(members.get(rack).map_or(&[], Vec::as_slice))
    }

    /// Processors demanded by waiting tasks that are ahead of `rank` in the wait for a rack.
    pub(super) fn demand_ahead(&self, rack: &SmolStr, rank: &Rank) -> u64 {
        let ahead = demand_before(&self.queues, rack, rank);
        let started = self.started.get(rack).into_iter();
        let started: u64 = started.flat_map(|s| s.range(..rank)).map(|(_, n)| n).sum();
        ahead.saturating_sub(started)
    }

    /// Notes that a task of a step that waits for the rack has started.
    pub(super) fn record_start(&mut self, rack: SmolStr, rank: Rank, processors: u64) {
        *self
            .started
            .entry(rack)
            .or_default()
            .entry(rank)
            .or_default() += processors;
    }
}

/// Processors demanded by the steps of a rack's queue that are ahead of `rank`.
pub(super) fn demand_before(queues: &Queues, rack: &SmolStr, rank: &Rank) -> u64 {
    let queue = queues.get(rack).map_or(&[][..], Vec::as_slice);
    let before = queue.partition_point(|(other, _)| other < rank);
    before.checked_sub(1).map_or(0, |last| queue[last].1)
}

/// Processors that a task of the step demands, at least one thousandth.
pub(super) fn processors(step: &Step) -> u64 {
    step.resources.processors.0.max(1)
}

/// Rates a rack for all waiting tasks of a step; the greatest is the best.
pub(super) fn rate_for_all(
    outlook: &Outlook,
    waiting: usize,
    step: &Step,
    rack: SmolStr,
) -> (Reverse<Span>, usize, SmolStr) {
    let until_last = match waiting.checked_sub(outlook.room() + 1) {
        None => Span::ZERO,
        Some(last) => outlook
            .start_of(last, step.estimate)
            .unwrap_or(Span(u64::MAX)),
    };
    (Reverse(until_last), outlook.room(), rack)
}

impl State {
    /// The rack that is preferred for the waiting tasks of a step, if any.
    pub(super) fn preferred_rack(&mut self, key: StepKey, step: &Step) -> Option<SmolStr> {
        if step.data_rack.is_none() && !step.prefers_one_rack {
            return None;
        }
        self.collect_racks();
        if step.data_rack.is_some() {
            return step.data_rack.clone();
        }
        let state = self.jobs.get(&key.job)?.state(key)?;
        let unfinished = state.tasks.iter().filter(|task| !task.is_done).count();
        if unfinished <= 1 {
            return None;
        }
        let placed = state.tasks.iter().filter_map(|task| task.placement);
        let mut runs: BTreeMap<&SmolStr, usize> = BTreeMap::new();
        for (x, _) in placed {
            let registration = self.executors[x].registration.as_ref();
            if let Some(rack) = registration.and_then(|r| r.rack()) {
                *runs.entry(rack).or_default() += 1;
            }
        }
        let of_runs = runs.into_iter().max_by_key(|(_, count)| *count);
        let waits_for = || state.rack_wait.current.as_ref().map(|wait| &wait.rack);
        let known = of_runs.map(|(rack, _)| rack).or_else(waits_for).cloned();
        if known.as_ref().is_some_and(|rack| self.is_rack_usable(rack)) {
            return known;
        }
        self.rack_for_all(key, step)
    }

    fn is_rack_usable(&self, rack: &SmolStr) -> bool {
        let members = self.racks.members(rack).unwrap_or_default();
        members.iter().any(|x| self.is_usable(*x))
    }

    /// The rack where the last waiting task of a step can start first, and where the most fit now.
    fn rack_for_all(&mut self, key: StepKey, step: &Step) -> Option<SmolStr> {
        let waiting = self.jobs.get(&key.job)?.state(key)?.waiting.len();
        let racks: Vec<SmolStr> = self.racks.members.as_ref()?.keys().cloned().collect();
        let mut best = None;
        for rack in racks {
            let outlook = self.outlook(key, step, &rack)?;
            best = best.max(Some(rate_for_all(&outlook, waiting, step, rack)));
        }
        best.map(|(_, _, rack)| rack)
    }

    /// Collects the executors of each rack after a change, and the steps that wait for each once per
    /// pass.
    fn collect_racks(&mut self) {
        if self.racks.members.is_none() {
            self.collect_members();
        }
        if !std::mem::replace(&mut self.racks.has_queues, true) {
            self.racks.queues = self.queues_by_rack();
        }
    }

    fn collect_members(&mut self) {
        self.pass_work.count(self.executors.len());
        self.racks.members = Some(self.members_by_rack());
    }

    pub(super) fn members_by_rack(&self) -> Members {
        let mut members = Members::new();
        for (x, executor) in self.executors.iter().enumerate() {
            if let Some(rack) = executor.registration.as_ref().and_then(|r| r.rack()) {
                members.entry(rack.clone()).or_default().push(x);
            }
        }
        members
    }

    pub(super) fn queues_by_rack(&self) -> Queues {
        let mut waiting: Vec<(Rank, SmolStr, u64)> = Vec::new();
        for key in &self.ready {
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            let (step, Some(state)) = (entry.step(*key), entry.state(*key)) else {
                continue;
            };
            let waits_for = || state.rack_wait.current.as_ref().map(|wait| &wait.rack);
            let Some(rack) = step.data_rack.as_ref().or_else(waits_for) else {
                continue;
            };
            let tasks = u64::try_from(state.waiting.len()).unwrap_or(u64::MAX);
            if let Some(rank) = self.rank(*key).filter(|_| !step.is_long_running) {
                waiting.push((rank, rack.clone(), tasks.saturating_mul(processors(step))));
            }
        }
        waiting.sort_unstable();
        let mut queues = Queues::new();
        for (rank, rack, demand) in waiting {
            let queue = queues.entry(rack).or_default();
            let before = queue.last().map_or(0, |(_, demand)| *demand);
            queue.push((rank, before.saturating_add(demand)));
        }
        queues
    }

    /// When tasks of a step can start at a rack; `None` if the pool of its queue is not known.
    pub(super) fn outlook(
        &mut self,
        key: StepKey,
        step: &Step,
        rack: &SmolStr,
    ) -> Option<Arc<Outlook>> {
        let pool = self.rules(self.jobs.get(&key.job)?).pool.clone();
        let has_advice = self.rules(self.jobs.get(&key.job)?).advice.is_some();
        let sought = OutlookKey {
            rack: rack.clone(),
            tasks: TaskNeeds::new(&pool, step),
        };
        if let Some(known) = self.racks.outlooks.get(&sought).filter(|_| !has_advice) {
            return Some(known.clone());
        }
        let places = self.places(rack);
        let has_ticket = |x: usize| !has_advice || self.ticket(x, key).is_some();
        let allowed = places.iter().filter(|(x, _)| has_ticket(*x));
        let outlook = Arc::new(self.outlook_on(allowed, &sought.tasks));
        if !has_advice {
            self.racks.outlooks.insert(sought, outlook.clone());
        }
        Some(outlook)
    }

    /// When tasks can start on these executors, whatever tickets they need.
    pub(super) fn outlook_on<'a>(
        &self,
        places: impl IntoIterator<Item = &'a (usize, Place)>,
        tasks: &TaskNeeds,
    ) -> Outlook {
        let suits = |x: usize| {
            let registration = self.executors[x].registration.as_ref();
            registration.is_some_and(|r| {
                let label = tasks.label.as_ref();
                r.pool == tasks.pool && label.is_none_or(|label| r.labels.contains(label))
            })
        };
        let suitable = places.into_iter().filter(|(x, _)| suits(*x));
        let most = tasks.max_per_executor.map(usize::from);
        Outlook::new(suitable.map(|(_, place)| place), &tasks.size, most)
    }

    /// The usable executors of a rack, with the expected ends of what runs there.
    fn places(&mut self, rack: &SmolStr) -> Arc<Places> {
        if let Some(known) = self.racks.places.get(rack) {
            return known.clone();
        }
        let members = self.racks.members(rack).unwrap_or_default();
        let places = self.places_among(members);
        self.pass_work.count(places.len());
        let places = Arc::new(places);
        self.racks.places.insert(rack.clone(), places.clone());
        places
    }

    pub(super) fn places_among(&self, members: &[usize]) -> Places {
        let usable = members.iter().filter(|x| self.is_usable(**x));
        usable.map(|x| (*x, self.place_of(*x))).collect()
    }

    fn place_of(&self, x: usize) -> Place {
        let executor = &self.executors[x];
        let runs = executor.runs.iter();
        let ends = runs.filter_map(|(task, run)| {
            let expected = self.expected_run_time(x, *task);
            let left = expected.map(|time| wait::remaining(time, self.now.since(run.since)));
            let left = if run.stop.is_some() {
                Some(STOP_TIME)
            } else {
                left
            };
            Some((left?, run.size))
        });
        let mut ends: Vec<(Span, Resources)> = ends.collect();
        ends.sort_unstable_by_key(|(left, _)| *left);
        let free = executor.free();
        Place { free, ends }
    }

    /// Expected duration of a run of the task on executor `x`; `None` for a service task.
    fn expected_run_time(&self, x: usize, task: TaskKey) -> Option<Span> {
        let step = self.spec(task).filter(|step| !step.is_long_running)?;
        let expected = self.expected_time(task.step, step);
        if self.is_away_from_data(x, step) {
            let factor = self.bounds.cross_rack_factor.max(1.0);
            return Some(Span((expected.0 as f32 * factor) as u64));
        }
        Some(expected)
    }

    fn is_away_from_data(&self, x: usize, step: &Step) -> bool {
        let registration = self.executors[x].registration.as_ref();
        let rack = registration.and_then(|r| r.rack());
        step.data_rack.is_some() && step.data_rack.as_ref() != rack
    }

    /// Expected duration of a task of the step at its preferred rack.
    pub(super) fn expected_time(&self, key: StepKey, step: &Step) -> Span {
        let queue = self.jobs.get(&key.job).map(|entry| &entry.job.queue);
        queue.map_or(step.estimate, |queue| self.expected_time_in(queue, step))
    }

    /// The same for a step of a job in the queue.
    pub(super) fn expected_time_in(&self, queue: &QueueName, step: &Step) -> Span {
        let ratio = self.racks.ratios.get(queue);
        ratio.map_or(step.estimate, |ratio| ratio.expected(step.estimate))
    }

    /// Learns from a run that ended `done`, if its start is known and it has done all of its task.
    pub(super) fn record_run_time(&mut self, x: usize, task: TaskKey, run: &Run) {
        let is_whole = self
            .task(task)
            .is_some_and(|task| task.checkpoint.is_none() && task.last_run == run.run);
        // Earlier owners have started the others.
        let is_own = run.deadline_ms > 0;
        let Some(step) = self.spec(task).filter(|_| is_whole && is_own) else {
            return;
        };
        if step.is_long_running || step.prefers_one_rack || self.is_away_from_data(x, step) {
            return;
        }
        let (estimate, taken) = (step.estimate, self.now.since(run.since));
        let queue = self.jobs[&task.step.job].job.queue.clone();
        let ratio = self.racks.ratios.entry(queue).or_default();
        ratio.record(estimate, taken);
    }
}
