//! Steps that prefer a rack: starts there, and waits for room there.

use guavacart_types::{Span, Timestamp};
use smol_str::SmolStr;

use super::{
    State, Timer,
    candidates::Search,
    placement::{Requirements, Reservations, StepOutcome},
    racks::processors,
};
use crate::{
    Decision, Effect, JobKey, Step, StepKey,
    policy::wait::{self, Choice, NoWait, Outlook, Share, Tasks, Wait, WaitEnd},
};

/// How long tasks of a step have waited for a rack.
#[derive(Clone, Debug, Default)]
pub(super) struct RackWait {
    pub(super) current: Option<CurrentWait>,
    /// Since when tasks of the step have waited without a start of one of them, over all its waits.
    stalled_since: Option<Timestamp>,
    /// The last pass has left out executors of other racks that have room.
    has_skipped_others: bool,
}

/// A wait that has not ended.
#[derive(Clone, Debug)]
pub(super) struct CurrentWait {
    pub(super) rack: SmolStr,
    since: Timestamp,
}

/// Tasks of a step that do not fit at the rack that it prefers.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingTasks {
    pub(super) count: usize,
    /// Expected duration of one at the rack.
    pub(super) expected: Span,
    /// Processors demanded by what is ahead in the wait for the rack.
    pub(super) demand_ahead: u64,
    /// How long tasks of the step have waited since one of them started.
    pub(super) stalled: Span,
    /// Latest start that is on time by the step's estimate, in Unix milliseconds.
    pub(super) latest_start: u64,
}

impl State {
    /// Decides how many of the waiting tasks of a step wait for room at the rack.
    fn choose_wait(&mut self, key: StepKey, step: &Step, rack: &SmolStr) -> Choice {
        let unknown = Choice::Start(NoWait::Unusable);
        let Some(outlook) = self.outlook(key, step, rack) else {
            return unknown;
        };
        let (Some(rank), Some(entry)) = (self.rank(key), self.jobs.get(&key.job)) else {
            return unknown;
        };
        let Some(state) = entry.state(key) else {
            return unknown;
        };
        let stalled_since = state.rack_wait.stalled_since;
        let waiting = WaitingTasks {
            count: state.waiting.len(),
            expected: self.expected_time(key, step),
            demand_ahead: self.racks.demand_ahead(rack, &rank),
            stalled: stalled_since.map_or(Span::ZERO, |since| self.now.since(since)),
            latest_start: rank.latest_start,
        };
        self.decide_wait(step, &waiting, &outlook)
    }

    /// Decides how many of these tasks wait for room at a rack with this outlook.
    pub(super) fn decide_wait(
        &self,
        step: &Step,
        waiting: &WaitingTasks,
        outlook: &Outlook,
    ) -> Choice {
        // Best-effort tasks are kept out by a lack of headroom, which the ends of runs do not tell.
        if step.is_best_effort && outlook.room() > 0 {
            return Choice::Start(NoWait::NoGain);
        }
        let expected = waiting.expected;
        let signed = |unix_ms: u64| i64::try_from(unix_ms).unwrap_or(i64::MAX);
        let longer_ms = signed(expected.0) - signed(step.estimate.0);
        let ahead = waiting.demand_ahead / processors(step);
        let tasks = Tasks {
            count: waiting.count,
            share: match step {
                step if step.is_gang => Share::Together,
                step if step.prefers_one_rack => Share::All,
                _ => Share::Each,
            },
            expected,
            factor: self.bounds.cross_rack_factor,
            ahead: usize::try_from(ahead).unwrap_or(usize::MAX),
            stalled: waiting.stalled,
            slack_ms: signed(waiting.latest_start) - signed(self.unix_ms) - longer_ms,
        };
        wait::decide(&tasks, outlook)
    }

    /// Starts tasks of a step at the rack that it prefers, and elsewhere those that do not wait for it.
    pub(super) fn place_near(&mut self, key: StepKey, step: &Step, rack: SmolStr, search: Search) {
        let near = self.place_tasks(key, step, Some(rack.clone()), search, usize::MAX);
        let waiting = self.waiting_tasks(key);
        if waiting == 0 || near != StepOutcome::Full {
            return;
        }
        if step.is_long_running {
            self.place_tasks(key, step, None, search, usize::MAX);
            return;
        }
        let wait = self.rack_wait_mut(key);
        let (has_skipped, is_waiting) = wait.map_or((false, false), |wait| {
            (wait.has_skipped_others, wait.current.is_some())
        });
        let mut has_room =
            (has_skipped && search == Search::NewRoom) || self.has_room_for_step(key, step, search);
        if search == Search::All {
            self.record_full_search(key);
        }
        // Without room elsewhere there is nothing to decide.
        if has_room || is_waiting {
            let choice = self.choose_wait(key, step, &rack);
            let others = match choice {
                Choice::Wait(wait) => waiting.saturating_sub(wait.tasks),
                Choice::Start(why) => {
                    self.end_rack_wait(key, WaitEnd::NoWait(why));
                    waiting
                }
            };
            if has_room && others > 0 {
                // Executors that were left out have not been compared with the step.
                let search = if has_skipped { Search::All } else { search };
                let outcome = self.place_tasks(key, step, None, search, others);
                has_room = outcome != StepOutcome::Full;
            }
            if let Choice::Wait(wait) = choice
                && has_room
            {
                self.continue_rack_wait(key, rack, wait);
            }
        }
        if let Some(wait) = self.rack_wait_mut(key) {
            wait.has_skipped_others = has_room;
        }
    }

    /// Members of a gang for which there is room, at the rack if they are to run there; `None` if the
    /// gang has to wait.
    pub(super) fn place_gang_near(
        &mut self,
        key: StepKey,
        step: &Step,
        rack: SmolStr,
    ) -> Option<Vec<(u16, usize)>> {
        if let Some(chosen) = self.choose_members(key, step, Some(rack.clone())) {
            return Some(chosen);
        }
        let wait = match self.choose_wait(key, step, &rack) {
            Choice::Wait(wait) => wait,
            Choice::Start(why) => {
                self.end_rack_wait(key, WaitEnd::NoWait(why));
                return self.choose_members(key, step, None);
            }
        };
        let is_waiting = self
            .rack_wait_mut(key)
            .is_some_and(|wait| wait.current.is_some());
        if is_waiting || self.choose_members(key, step, None).is_some() {
            self.continue_rack_wait(key, rack, wait);
        }
        None
    }

    fn waiting_tasks(&self, key: StepKey) -> usize {
        let state = self.jobs.get(&key.job).and_then(|entry| entry.state(key));
        state.map_or(0, |state| state.waiting.len())
    }

    fn rack_wait_mut(&mut self, key: StepKey) -> Option<&mut RackWait> {
        let state = self.jobs.get_mut(&key.job)?.state_mut(key)?;
        Some(&mut state.rack_wait)
    }

    /// True if one of the compared executors has room for a task of the step.
    fn has_room_for_step(&mut self, key: StepKey, step: &Step, search: Search) -> bool {
        let Some(requirements) = self.requirements(key, step, None) else {
            return false;
        };
        if self.pass_work.is_unmet(&requirements) {
            return false;
        }
        let nothing_reserved = Reservations::new();
        let is_searched = |x: &usize| search == Search::All || self.executors[*x].has_new_room;
        let searched: Vec<usize> = (0..self.executors.len()).filter(is_searched).collect();
        let mut searched_in_order = searched.iter();
        let found = searched_in_order.position(|x| self.fits(*x, &requirements, &nothing_reserved));
        self.pass_work
            .count(found.map_or(searched.len(), |index| index + 1));
        if found.is_none() && search == Search::All {
            self.pass_work.record_unmet(&requirements);
        }
        found.is_some()
    }

    /// Notes that a task of a step that prefers a rack has started.
    pub(super) fn record_preferred_start(&mut self, requirements: &Requirements<'_>) {
        let (key, step) = (requirements.key, requirements.step);
        let Some(wait) = self.rack_wait_mut(key) else {
            return;
        };
        wait.stalled_since = None;
        let waits_for = wait.current.as_ref().map(|wait| wait.rack.clone());
        let rack = step.data_rack.clone().or(waits_for);
        if let (Some(rack), Some(rank)) = (rack, self.rank(key)) {
            self.racks.record_start(rack, rank, processors(step));
        }
    }

    /// Begins the wait of a step for a rack, unless it waits already.
    fn continue_rack_wait(&mut self, key: StepKey, rack: SmolStr, planned: Wait) {
        let now = self.now;
        let Some(wait) = self.rack_wait_mut(key) else {
            return;
        };
        wait.stalled_since.get_or_insert(now);
        match &wait.current {
            Some(current) if current.rack == rack => return,
            Some(_) => self.end_rack_wait(key, WaitEnd::NoWait(NoWait::Unusable)),
            None => {}
        }
        if let Some(wait) = self.rack_wait_mut(key) {
            let rack = rack.clone();
            wait.current = Some(CurrentWait { rack, since: now });
        }
        self.set_timer(planned.longest, Timer::Place);
        self.effects.push(Effect::Log(Decision::RackWaitBegun {
            step: key,
            rack,
            wait: planned,
        }));
    }

    /// Ends the wait of a step for a rack, if it waits for one.
    pub(super) fn end_rack_wait(&mut self, key: StepKey, why: WaitEnd) {
        let now = self.now;
        let ended = self.rack_wait_mut(key).and_then(|wait| wait.current.take());
        if let Some(CurrentWait { rack, since }) = ended {
            self.effects.push(Effect::Log(Decision::RackWaitEnded {
                step: key,
                rack,
                waited: now.since(since),
                why,
            }));
        }
    }

    /// Ends the waits of all steps of a job that is over.
    pub(super) fn end_rack_waits_of(&mut self, job: JobKey) {
        let steps = self
            .jobs
            .get(&job)
            .into_iter()
            .flat_map(|entry| &entry.steps);
        let waiting = steps.filter(|(_, state)| state.rack_wait.current.is_some());
        let keys = waiting.map(|((occurrence, step), _)| StepKey {
            job,
            occurrence: *occurrence,
            step: *step,
        });
        for key in keys.collect::<Vec<_>>() {
            self.end_rack_wait(key, WaitEnd::JobOver);
        }
    }
}
