//! Chooses the tasks to start and the executors that run them.

use std::collections::BTreeMap;

use guavacart_types::{Resources, Span};
use smol_str::SmolStr;

use super::{
    State, candidates::Search, executors::Executor, interference::ImageId, jobs::Task,
    pacing::has_enough_headroom,
};
use crate::{Exclusion, PoolName, QueuePolicy, RunNumber, Step, StepKey, Ticket};

/// Resolution at which the headroom losses on executors are compared for service tasks: number of
/// intervals per unit of headroom.
const HEADROOM_LOSS_RESOLUTION: f32 = 10.0;

/// Weight of sufficient headroom against the preference for executors that are not slow, which is at
/// most 1 either way: service tasks come first.
const HEADROOM_OVER_SPEED: i64 = 4;

/// How well an executor suits a task; the greatest is the best.
pub(super) type Score = (i64, i64, i64);

/// What an executor must offer for the tasks of a step.
#[derive(Clone)]
pub(super) struct Requirements<'a> {
    pub(super) key: StepKey,
    pub(super) step: &'a Step,
    /// Resources that one task reserves.
    pub(super) size: Resources,
    pub(super) pool: PoolName,
    pub(super) has_advice: bool,
    pub(super) rack: Option<SmolStr>,
    pub(super) image: ImageId,
    /// Executors with a penalty for failed runs are allowed.
    pub(super) allows_penalized: bool,
    /// Executors are allowed even if one more best-effort task would take too much headroom from
    /// their service tasks.
    pub(super) allows_low_headroom: bool,
    /// Slow executors are allowed up to this factor; 0 while none is marked.
    pub(super) max_slow_factor: u8,
}

/// Time for which best-effort tasks wait for headroom while processors are plentiful. After this
/// time they start where the most headroom is left, and are slowed there. Under load they wait
/// without a limit.
const MAX_HEADROOM_WAIT: Span = Span::millis(1_500);
/// Headroom above which an executor is not preferred further for a best-effort task.
const SUFFICIENT_HEADROOM: f32 = 1.7;
/// Load, in thousandths of an executor, that counts as much as one unit of headroom below
/// [`SUFFICIENT_HEADROOM`].
const LOW_HEADROOM_LOAD: f32 = 1_000.0;

/// Resources and tasks assigned to each executor in this pass while the members of a gang are
/// placed.
pub(super) type Reservations = BTreeMap<usize, (Resources, usize)>;

/// How the placement of a step's tasks ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StepOutcome {
    /// All tasks that may start now have started.
    Done,
    /// No compared executor has room for a further task.
    Full,
    /// The others have to wait for a report or for the next batch.
    Interrupted,
}

impl State {
    /// Starts the tasks of a step for which there is room.
    pub(super) fn place_step(&mut self, key: StepKey) {
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let step = entry.step(key).clone();
        self.interference.register_image(step.image.as_ref());
        let rules = self.rules(entry);
        let (has_advice, priority) = (rules.advice.is_some(), rules.priority);
        if !self.may_start_priority(priority) {
            return;
        }
        if has_advice {
            self.request_advice(key);
        }
        if step.is_gang {
            self.place_gang(key, &step);
            return;
        }
        let Some(state) = self.jobs.get(&key.job).and_then(|entry| entry.state(key)) else {
            return;
        };
        let search = self.search_for(state);
        if let Some(rack) = self.preferred_rack(key, &step) {
            self.place_near(key, &step, rack, search);
        } else {
            self.place_tasks(key, &step, None, search, usize::MAX);
        }
    }

    /// Starts at most `limit` tasks of a step on the compared executors of a rack, or of all racks.
    pub(super) fn place_tasks(
        &mut self,
        key: StepKey,
        step: &Step,
        rack: Option<SmolStr>,
        search: Search,
        limit: usize,
    ) -> StepOutcome {
        let Some(entry) = self.jobs.get(&key.job) else {
            return StepOutcome::Done;
        };
        let priority = self.rules(entry).priority;
        let Some(state) = entry.state(key) else {
            return StepOutcome::Done;
        };
        let waiting: Vec<u16> = state.waiting.iter().copied().collect();
        let prefers_rack = step.data_rack.is_some() || step.prefers_one_rack;
        let is_near = rack.is_some();
        let Some(mut requirements) = self.requirements(key, step, rack) else {
            return StepOutcome::Full;
        };
        if !step.is_long_running && self.pass_work.is_unmet(&requirements) {
            return StepOutcome::Full;
        }
        let mut candidates = self.candidates(&requirements, search);
        if candidates.is_empty() && search == Search::NewRoom {
            return StepOutcome::Full;
        }
        let (count, mut placed, mut started) = (waiting.len(), 0, 0);
        let mut outcome = StepOutcome::Done;
        for index in waiting {
            if started >= limit {
                break;
            }
            let task =
                &self.jobs[&key.job].steps[&(key.occurrence, key.step)].tasks[usize::from(index)];
            if task.not_before > self.now || !self.ownership.is_confirmed_since(task.lost_at) {
                continue;
            }
            let (avoid, not_before, last_run) = (task.avoid, task.not_before, task.last_run);
            let is_suspect = self.crashes(key.task(index)) > 0;
            let chosen = if is_suspect {
                self.executor_for_suspect(key.task(index), &requirements)
            } else if step.is_long_running && (search == Search::NewRoom || is_near) {
                candidates.best(avoid).filter(|x| Some(*x) != avoid)
            } else if step.is_long_running {
                let waiting = count - placed;
                let failed = (avoid, not_before);
                self.best_for_service(&mut candidates, &mut requirements, failed, waiting)
            } else {
                candidates.best(avoid)
            };
            if is_suspect && chosen.is_none() {
                outcome = StepOutcome::Full;
                continue;
            }
            let Some(x) = chosen else {
                // A service task may have left out the executor on which it failed.
                if search == Search::All && !(is_near && step.is_long_running) {
                    self.pass_work.record_unmet(&requirements);
                    self.record_full_search(key);
                }
                return StepOutcome::Full;
            };
            if !self.check_start_on(x) || !self.may_start_priority(priority) {
                return StepOutcome::Interrupted;
            }
            let run = self.next_run(last_run);
            let ticket = self.ticket(x, key);
            self.start_run(x, key.task(index), run, ticket);
            started += 1;
            if prefers_rack {
                self.record_preferred_start(&requirements);
            }
            if is_suspect {
                self.presume_crash(key.task(index), run);
            }
            if step.is_long_running {
                self.release_claim(x, key);
                placed += 1;
            }
            self.update_candidate(&mut candidates, x, &requirements);
        }
        outcome
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, key: StepKey, step: &Step) {
        let state = &self.jobs[&key.job].steps[&(key.occurrence, key.step)];
        let may_start = |task: &Task| self.ownership.is_confirmed_since(task.lost_at);
        if state.waiting.len() != state.tasks.len() || !state.tasks.iter().all(may_start) {
            return;
        }
        let last_run = state.tasks.iter().map(|task| task.last_run).max();
        let run = self.next_run(last_run.unwrap_or(RunNumber(0)));
        let chosen = match self.preferred_rack(key, step) {
            Some(rack) => self.place_gang_near(key, step, rack),
            None => self.choose_members(key, step, None),
        };
        let Some(chosen) = chosen else {
            return;
        };
        let mut may_start = true;
        for (_, x) in &chosen {
            may_start &= self.check_start_on(*x);
        }
        if !may_start {
            return;
        }
        for (index, x) in chosen {
            let ticket = self.ticket(x, key);
            let is_suspect = self.crashes(key.task(index)) > 0;
            self.start_run(x, key.task(index), run, ticket);
            if is_suspect {
                self.presume_crash(key.task(index), run);
            }
        }
    }

    /// Executors for all members of a gang, at the rack if one is given; `None` if not all fit.
    pub(super) fn choose_members(
        &mut self,
        key: StepKey,
        step: &Step,
        rack: Option<SmolStr>,
    ) -> Option<Vec<(u16, usize)>> {
        let requirements = self.requirements(key, step, rack)?;
        if self.pass_work.is_unmet(&requirements) {
            return None;
        }
        let mut reservations = Reservations::new();
        let mut chosen = Vec::with_capacity(usize::from(step.task_count));
        for index in 0..step.task_count {
            let x = self.choose_executor(&requirements, &reservations)?;
            let entry = reservations.entry(x).or_default();
            entry.0 = entry.0.plus(&step.reserved());
            entry.1 += 1;
            chosen.push((index, x));
        }
        Some(chosen)
    }

    /// What an executor must offer for the tasks of a step; `None` if the pool of its queue is not
    /// active.
    pub(super) fn requirements<'a>(
        &self,
        key: StepKey,
        step: &'a Step,
        rack: Option<SmolStr>,
    ) -> Option<Requirements<'a>> {
        let entry = self.jobs.get(&key.job)?;
        let waited = self.now.since(entry.state(key)?.ready_since);
        let rules = self.rules(entry);
        let is_active = self.configuration.is_pool_active(&rules.pool);
        is_active.then(|| self.requirements_by(rules, key, step, rack, waited))
    }

    /// What an executor must offer for the tasks of a step that has waited for that time.
    pub(super) fn requirements_by<'a>(
        &self,
        rules: &QueuePolicy,
        key: StepKey,
        step: &'a Step,
        rack: Option<SmolStr>,
        waited: Span,
    ) -> Requirements<'a> {
        Requirements {
            key,
            step,
            size: step.reserved(),
            pool: rules.pool.clone(),
            has_advice: rules.advice.is_some(),
            rack,
            image: self.interference.known_image(step.image.as_ref()),
            allows_penalized: false,
            allows_low_headroom: self.has_slack && waited >= MAX_HEADROOM_WAIT,
            max_slow_factor: self.max_slow_factor(waited, step.estimate),
        }
    }

    /// The best executor for one more member of a gang, if any has room.
    fn choose_executor(
        &mut self,
        requirements: &Requirements<'_>,
        reservations: &Reservations,
    ) -> Option<usize> {
        let job = requirements.key.job;
        let is_suspect = self.has_suspects(requirements.key);
        let compared = self.compared_executors(requirements);
        self.pass_work.count(compared.len());
        let candidates = compared.into_iter().filter(|x| {
            self.fits(*x, requirements, reservations)
                && (!is_suspect || self.has_no_other_suspect(*x, job))
        });
        candidates.max_by_key(|x| self.score(*x, requirements.step, requirements.image))
    }

    /// True if the executor can run one more task of the step in addition to the reservations.
    pub(super) fn fits(
        &self,
        x: usize,
        requirements: &Requirements<'_>,
        reservations: &Reservations,
    ) -> bool {
        self.exclusion(x, requirements, reservations).is_none()
    }

    /// Why the executor cannot run one more task of the step in addition to the reservations; the
    /// first reason that applies.
    pub(super) fn exclusion(
        &self,
        x: usize,
        requirements: &Requirements<'_>,
        reservations: &Reservations,
    ) -> Option<Exclusion> {
        let executor = &self.executors[x];
        let Some(registration) = &executor.registration else {
            return Some(Exclusion::NoEntry);
        };
        let (reserved_size, reserved_tasks) = reservations.get(&x).copied().unwrap_or_default();
        let needed = reserved_size
            .plus(&requirements.size)
            .plus(&self.claims.kept_from(x, requirements));
        if !needed.fits_in(&executor.free()) {
            return Some(Exclusion::Full);
        }
        if registration.pool != requirements.pool {
            return Some(Exclusion::OtherPool);
        }
        if let Some(reason) = self.work_exclusion(x) {
            return Some(reason);
        }
        if executor.penalty_until > self.now && !requirements.allows_penalized {
            return Some(Exclusion::Penalty);
        }
        let step = requirements.step;
        let is_blocked = step.is_best_effort
            && (executor.no_best_effort_until > self.now
                || !(requirements.allows_low_headroom
                    || self.has_headroom_for_one_more(executor, requirements)));
        if is_blocked {
            return Some(Exclusion::Headroom);
        }
        if self.is_isolated_from(x, requirements.key.job) {
            return Some(Exclusion::Isolated);
        }
        if !self.suits_speed(x, requirements) {
            return Some(Exclusion::Slow);
        }
        let lacks = |label: &Option<SmolStr>| {
            let label = label.as_ref();
            label.is_some_and(|label| !registration.labels.contains(label))
        };
        if lacks(&step.required_label) {
            return Some(Exclusion::Label);
        }
        if lacks(&requirements.rack) {
            return Some(Exclusion::Rack);
        }
        let running = || executor.runs_of(requirements.key) + reserved_tasks;
        if step
            .max_per_executor
            .is_some_and(|most| running() >= usize::from(most))
        {
            return Some(Exclusion::TaskLimit);
        }
        let has_ticket = !requirements.has_advice || self.ticket(x, requirements.key).is_some();
        (!has_ticket).then_some(Exclusion::NoTicket)
    }

    /// True if the service tasks on the executor are expected to keep their targets with one more
    /// best-effort task of the step.
    fn has_headroom_for_one_more(
        &self,
        executor: &Executor,
        requirements: &Requirements<'_>,
    ) -> bool {
        let demand = requirements.step.resources.processors.0;
        has_enough_headroom(executor.expected_headroom(
            &self.interference,
            requirements.image,
            demand,
        ))
    }

    /// Ranks an executor for a task of the step; the greatest score is the best.
    ///
    /// Best-effort tasks go where most processors are unused and tail latencies are far below their
    /// targets. Service tasks prefer executors of their own image, so that best-effort tasks that do
    /// not disturb this image have executors to run on. Other tasks go where the least resources
    /// would stay free.
    pub(super) fn score(&self, x: usize, step: &Step, image: ImageId) -> Score {
        self.score_with_load(x, step, image, self.executors[x].expected_load)
    }

    /// The same, with the best-effort load that is expected on the executor.
    pub(super) fn score_with_load(
        &self,
        x: usize,
        step: &Step,
        image: ImageId,
        expected_load: i64,
    ) -> Score {
        let executor = &self.executors[x];
        if step.is_best_effort {
            let demand = step.resources.processors.0;
            let headroom = executor.expected_headroom(&self.interference, image, demand);
            let load = i64::try_from(executor.best_effort_load(demand)).unwrap_or(i64::MAX);
            let load = load + expected_load;
            let headroom_penalty =
                ((SUFFICIENT_HEADROOM - headroom).max(0.0) * LOW_HEADROOM_LOAD) as i64;
            let has_enough = i64::from(has_enough_headroom(headroom));
            return (
                has_enough * HEADROOM_OVER_SPEED + self.speed_preference(x, step),
                -load - headroom_penalty,
                0,
            );
        }
        let free = i64::try_from(executor.free().processors.0).unwrap_or(i64::MAX);
        if step.tail_target.is_none() {
            return (self.speed_preference(x, step), 0, -free);
        }
        let others = executor
            .service_images
            .iter()
            .filter(|service| service.image != image);
        let others = i64::try_from(others.count()).unwrap_or(i64::MAX);
        let headroom_loss =
            executor.headroom_loss(&self.interference, image) * HEADROOM_LOSS_RESOLUTION;
        let has_no_services = i64::from(!executor.has_service_tasks());
        (-others, -(headroom_loss as i64) - has_no_services, -free)
    }

    /// The advice service's ticket for a step on an executor, if it is still valid.
    pub(super) fn ticket(&self, x: usize, key: StepKey) -> Option<Ticket> {
        let state = self.jobs.get(&key.job)?.state(key)?;
        let (ticket, expires_at) = state.tickets.get(&self.executors[x].id)?;
        (*expires_at > self.now).then(|| ticket.clone())
    }
}
