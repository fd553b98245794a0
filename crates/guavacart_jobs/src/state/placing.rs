//! Chooses the tasks that start and the executors that run them.

use std::collections::BTreeMap;

use guavacart_types::{Resources, Span};
use smol_str::SmolStr;

use super::{State, Timer, fleet::Executor, interference::ImageId, pacing::is_calm};
use crate::{PoolName, RunNumber, Step, StepKey, Ticket};

/// Factor on a step's estimate for which it waits for the rack of its data.
const RACK_PATIENCE: u64 = 2;

/// Steps that may stay without room in one pass; bounds the time that a pass takes under overload.
const MOST_UNPLACED: usize = 48;
/// Steps that each pass tries, in order of rank.
const ALWAYS_TRIED: usize = 24;
/// Pause until the next pass after one that was cut short.
const NEXT_PASS: Span = Span::millis(50);
/// Steps in which the disturbance of a serving task by fillers is told apart, in each unit of the
/// logarithm of its tail.
const DISTURBANCE_GRAIN: f32 = 10.0;

/// Where a step comes in the order of starts; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    priority: u32,
    /// It cannot be in time any more, by the estimates; what can goes first.
    is_late: bool,
    /// Latest start that is in time, in Unix milliseconds.
    latest_start: u64,
    step: StepKey,
}

/// What an executor must have for the tasks of a step.
pub(super) struct Wanted<'a> {
    key: StepKey,
    step: &'a Step,
    /// What one task commits.
    size: Resources,
    pool: PoolName,
    has_advice: bool,
    rack: Option<SmolStr>,
    image: ImageId,
    /// Executors on which runs failed are taken as well.
    takes_struck: bool,
    /// So are those whose serving tasks are not expected to bear another filler.
    takes_strained: bool,
}

/// Time for which fillers wait for headroom where room abounds; then they start where most headroom is
/// left, and are slowed there. Under load they wait for as long as it takes.
const HELD_BACK_AT_MOST: Span = Span::millis(1_500);
/// Pause until the next pass while steps wait for headroom of serving tasks.
const HELD_BACK_RETRY: Span = Span::millis(150);
/// Headroom from which more makes an executor no better for a filler.
const COMFORT: f32 = 1.7;
/// Load in thousandths of an executor that a headroom lower by one counts as.
const STRAIN_WEIGHT: f32 = 1_000.0;

/// Room that this pass has given away on an executor, for gangs that are tried out.
pub(super) type Taken = BTreeMap<usize, (Resources, usize)>;

impl State {
    /// Starts what fits, in order of rank.
    pub(super) fn place(&mut self) {
        if self.ready.is_empty() {
            return;
        }
        self.weigh_executors();
        let mut ranks: Vec<Rank> = self
            .ready
            .iter()
            .filter_map(|key| self.rank(*key))
            .collect();
        ranks.sort_unstable();
        // What is first in rank goes first in each pass; the rest takes turns.
        let rest = ranks.split_off(ranks.len().min(ALWAYS_TRIED));
        let start = if rest.is_empty() {
            0
        } else {
            self.next_tried % rest.len()
        };
        let (before, after) = rest.split_at(start);
        let mut unplaced = 0;
        for rank in ranks.iter().chain(after).chain(before) {
            self.place_step(rank.step);
            unplaced += usize::from(self.ready.contains(&rank.step));
            if unplaced >= MOST_UNPLACED {
                self.next_tried = start + MOST_UNPLACED - ALWAYS_TRIED;
                self.set_timer(NEXT_PASS, Timer::Place);
                return;
            }
        }
        self.next_tried = 0;
        self.retry_held_back();
    }

    /// Sets the next pass if fillers wait; headroom comes back without an event.
    fn retry_held_back(&mut self) {
        if self.ready.is_empty() || self.retry_at > self.now {
            return;
        }
        self.retry_at = self.now + HELD_BACK_RETRY;
        self.set_timer(HELD_BACK_RETRY, Timer::Place);
    }

    fn rank(&self, key: StepKey) -> Option<Rank> {
        let entry = self.jobs.get(&key.job)?;
        if entry.is_earlier && !self.unresolved.is_empty() {
            return None;
        }
        let rules = self.rules(entry);
        let whole = entry
            .chains
            .iter()
            .map(|chain| chain.0)
            .max()
            .unwrap_or_default();
        let left = entry
            .chains
            .get(usize::from(key.step))
            .map_or(0, |chain| chain.0);
        let due = entry.job.due_unix_ms(key.occurrence);
        let from = due.unwrap_or(entry.job.accepted_unix_ms);
        let stretched = (whole as f32 * rules.stretch) as u64;
        let latest_start = (from + rules.target.0 + stretched).saturating_sub(left);
        Some(Rank {
            priority: rules.priority,
            is_late: self.unix_ms > latest_start,
            latest_start,
            step: key,
        })
    }

    fn place_step(&mut self, key: StepKey) {
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let step = entry.step(key).clone();
        self.interference.image(step.image.as_ref());
        let has_advice = self.rules(entry).advice.is_some();
        if has_advice {
            self.ask_advice(key);
        }
        if step.is_gang {
            self.place_gang(key, &step);
            return;
        }
        let Some(state) = self.jobs.get(&key.job).and_then(|entry| entry.state(key)) else {
            return;
        };
        let waiting: Vec<u16> = state.waiting.iter().copied().collect();
        let rack = self.wanted_rack(key, &step, waiting.len());
        let Some(mut wanted) = self.wanted(key, &step, rack) else {
            return;
        };
        for index in waiting {
            let task =
                &self.jobs[&key.job].steps[&(key.occurrence, key.step)].tasks[usize::from(index)];
            if task.not_before > self.now {
                continue;
            }
            let (avoid, last_run) = (task.avoid, task.last_run);
            let mut chosen = self.choose(&wanted, avoid, &Taken::new());
            if chosen.is_none() && step.is_lasting {
                wanted.takes_struck = true;
                chosen = self.choose(&wanted, avoid, &Taken::new());
            }
            let Some(x) = chosen else {
                break;
            };
            let run = self.next_run(last_run);
            let ticket = self.ticket(x, key);
            self.start(x, key.task(index), run, ticket);
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, key: StepKey, step: &Step) {
        let state = &self.jobs[&key.job].steps[&(key.occurrence, key.step)];
        if state.waiting.len() != state.tasks.len() {
            return;
        }
        let last_run = state.tasks.iter().map(|task| task.last_run).max();
        let run = self.next_run(last_run.unwrap_or(RunNumber(0)));
        let rack = self.wanted_rack(key, step, usize::from(step.count));
        let Some(wanted) = self.wanted(key, step, rack) else {
            return;
        };
        let mut taken = Taken::new();
        let mut chosen = Vec::with_capacity(usize::from(step.count));
        for index in 0..step.count {
            let Some(x) = self.choose(&wanted, None, &taken) else {
                return;
            };
            let entry = taken.entry(x).or_default();
            entry.0 = entry.0.plus(&step.committed());
            entry.1 += 1;
            chosen.push((index, x));
        }
        for (index, x) in chosen {
            let ticket = self.ticket(x, key);
            self.start(x, key.task(index), run, ticket);
        }
    }

    /// The rack that a step has to wait for, while waiting is worth it.
    fn wanted_rack(&mut self, key: StepKey, step: &Step, tasks: usize) -> Option<SmolStr> {
        let state = self.jobs.get(&key.job)?.state(key)?;
        let patience = Span(step.estimate.0 * RACK_PATIENCE);
        let waited = self.now.since(state.ready_since);
        if waited >= patience {
            return None;
        }
        let rack = match &step.data_rack {
            Some(rack) => Some(rack.clone()),
            None if step.prefers_one_rack => self.roomiest_rack(key, step, tasks),
            None => None,
        };
        if rack.is_some() {
            self.set_timer(patience.saturating_sub(waited), Timer::Place);
        }
        rack
    }

    /// The rack that already runs tasks of the step, else the one with room for most of them.
    fn roomiest_rack(&self, key: StepKey, step: &Step, tasks: usize) -> Option<SmolStr> {
        let mut racks: BTreeMap<&SmolStr, (usize, usize)> = BTreeMap::new();
        let size = step.committed();
        for (x, executor) in self.fleet.iter().enumerate() {
            let rack = executor.registration.as_ref().and_then(|r| r.rack());
            let Some(rack) = rack.filter(|_| self.is_usable(x)) else {
                continue;
            };
            let entry = racks.entry(rack).or_default();
            entry.0 += executor.runs_of(key);
            let mut free = executor.free();
            while let Some(rest) = free.minus(&size) {
                entry.1 += 1;
                free = rest;
                if entry.1 >= tasks {
                    break;
                }
            }
        }
        let best = racks.into_iter().max_by_key(|(_, room)| *room)?;
        Some(best.0.clone())
    }

    /// What an executor must have for the tasks of a step; `None` if its pool is off.
    pub(super) fn wanted<'a>(
        &self,
        key: StepKey,
        step: &'a Step,
        rack: Option<SmolStr>,
    ) -> Option<Wanted<'a>> {
        let entry = self.jobs.get(&key.job)?;
        let waited = self.now.since(entry.state(key)?.ready_since);
        let rules = self.rules(entry);
        let is_on = self.configuration.has_pool_on(&rules.pool);
        is_on.then(|| Wanted {
            key,
            step,
            size: step.committed(),
            pool: rules.pool.clone(),
            has_advice: rules.advice.is_some(),
            rack,
            image: self.interference.known(step.image.as_ref()),
            takes_struck: false,
            takes_strained: self.has_slack && waited >= HELD_BACK_AT_MOST,
        })
    }

    /// The best executor for one task of the step, if any has room.
    fn choose(&self, wanted: &Wanted<'_>, avoid: Option<usize>, taken: &Taken) -> Option<usize> {
        let candidates = (0..self.fleet.len()).filter(|x| self.fits(*x, wanted, taken));
        candidates.max_by_key(|x| (Some(*x) != avoid, self.merit(*x, wanted.step, wanted.image)))
    }

    pub(super) fn fits(&self, x: usize, wanted: &Wanted<'_>, taken: &Taken) -> bool {
        let executor = &self.fleet[x];
        let Some(registration) = &executor.registration else {
            return false;
        };
        let (taken_size, taken_tasks) = taken.get(&x).copied().unwrap_or_default();
        let needed = taken_size.plus(&wanted.size);
        if !needed.fits_in(&executor.free()) || registration.pool != wanted.pool {
            return false;
        }
        let step = wanted.step;
        let spares = step.is_filler
            && (executor.spares_until > self.now
                || !(wanted.takes_strained || self.bears_one_more(executor, wanted)));
        let is_struck = executor.struck_until > self.now && !wanted.takes_struck;
        if spares || is_struck || !self.takes_orders(x) {
            return false;
        }
        let has = |label: &SmolStr| registration.labels.contains(label);
        if step
            .required_label
            .as_ref()
            .is_some_and(|label| !has(label))
        {
            return false;
        }
        if wanted.rack.as_ref().is_some_and(|rack| !has(rack)) {
            return false;
        }
        let running = || executor.runs_of(wanted.key) + taken_tasks;
        if step
            .max_per_executor
            .is_some_and(|most| running() >= usize::from(most))
        {
            return false;
        }
        !wanted.has_advice || self.ticket(x, wanted.key).is_some()
    }

    /// True if the serving tasks there are expected to bear one more filler of the step.
    fn bears_one_more(&self, executor: &Executor, wanted: &Wanted<'_>) -> bool {
        let wish = wanted.step.size.processors.0;
        is_calm(executor.expected_headroom(&self.interference, wanted.image, wish))
    }

    /// Fillers go where they find most processors unused and tails far from their targets. Serving
    /// tasks keep to executors of their own image, so that fillers that do not disturb it have a place.
    /// The others go where least would stay free.
    fn merit(&self, x: usize, step: &Step, image: ImageId) -> (i64, i64, i64) {
        let executor = &self.fleet[x];
        if step.is_filler {
            let wish = step.size.processors.0;
            let headroom = executor.expected_headroom(&self.interference, image, wish);
            let load = i64::try_from(executor.filler_load(wish)).unwrap_or(i64::MAX);
            let load = load + executor.sought;
            let strain = ((COMFORT - headroom).max(0.0) * STRAIN_WEIGHT) as i64;
            return (i64::from(is_calm(headroom)), -load - strain, 0);
        }
        let free = i64::try_from(executor.free().processors.0).unwrap_or(i64::MAX);
        if step.tail_target.is_none() {
            return (0, 0, -free);
        }
        let others = executor
            .serving_images
            .iter()
            .filter(|serving| serving.image != image);
        let others = i64::try_from(others.count()).unwrap_or(i64::MAX);
        let disturbance = executor.disturbance(&self.interference, image) * DISTURBANCE_GRAIN;
        let is_alone = i64::from(!executor.serves());
        (-others, -(disturbance as i64) - is_alone, -free)
    }

    /// The advice service's permission for a step on an executor, if it is still valid.
    pub(super) fn ticket(&self, x: usize, key: StepKey) -> Option<Ticket> {
        let state = self.jobs.get(&key.job)?.state(key)?;
        let (ticket, ends) = state.tickets.get(&self.fleet[x].id)?;
        (*ends > self.now).then(|| ticket.clone())
    }
}
