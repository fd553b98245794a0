//! Evacuated data centres: nothing starts there, and service tasks move away where there is room.
//!
//! A step never starts on an executor whose data centre is evacuated, see [`State::accepts_work`]. What
//! runs there goes on. Service tasks move only while processors elsewhere are plentiful: they still serve
//! their users, and under load a move would take room from steps that cannot start in the evacuated
//! data centre.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{DataCentre, Span, Timestamp};

use super::{State, Timer, placement::Reservations, runs::Phase};
use crate::{Decision, Effect, ExecutorId, Registration, TaskKey};

/// Part of the bound for an evacuation, in percent, after which no order to start is sent without a read
/// of the operator's requests. The rest covers the time from the first byte of an order until it is
/// carried out.
const MAX_AGE_PERCENT: u64 = 80;
/// Interval between two rounds of moves.
const MOVE_INTERVAL: Span = Span::millis(500);
/// Most service tasks that are stopped in one round, so that their restarts stay few at a time.
const MAX_MOVES_PER_ROUND: usize = 8;
/// Steps in which a data centre gets work again after its evacuation. Its executors may be cold.
const RETURN_STEPS: usize = 4;
/// Time between two of these steps.
const RETURN_INTERVAL: Span = Span::millis(500);

/// The data centres that the operator has evacuated.
#[derive(Debug)]
pub(super) struct Evacuations {
    data_centres: BTreeSet<DataCentre>,
    /// When the newest read of all requests was sent.
    as_of: Timestamp,
    /// Data centres that are getting work again, and when the last of their executors does.
    returning: BTreeMap<DataCentre, Timestamp>,
    /// True while a timer for the next round is set.
    is_round_due: bool,
}

impl Evacuations {
    pub(super) fn new(as_of: Timestamp) -> Self {
        Self {
            data_centres: BTreeSet::new(),
            as_of,
            returning: BTreeMap::new(),
            is_round_due: false,
        }
    }

    /// Number of evacuated data centres.
    pub(super) fn count(&self) -> usize {
        self.data_centres.len()
    }

    /// True if an executor with this entry is in an evacuated data centre.
    pub(super) fn covers(&self, registration: &Option<Registration>) -> bool {
        let data_centre = registration.as_ref().and_then(|r| r.data_centre.as_ref());
        data_centre.is_some_and(|data_centre| self.data_centres.contains(data_centre))
    }
}

impl State {
    /// Until when orders to start may be sent with the evacuations that are known. Later ones could be
    /// carried out after the bound for an evacuation that is not known.
    pub(super) fn evacuations_hold_until(&self) -> Timestamp {
        let max_age = |bound: Span| Span(bound.0 * MAX_AGE_PERCENT / 100);
        let bound = self.bounds.evacuation;
        bound.map_or(Timestamp(u64::MAX), |bound| {
            self.evacuations.as_of + max_age(bound)
        })
    }

    /// True if a data centre may have been evacuated so long ago that a start there would come too late.
    pub(super) fn are_evacuations_outdated(&self) -> bool {
        self.now > self.evacuations_hold_until()
    }

    /// True if nothing may start on the executor, since its data centre is evacuated.
    pub fn is_evacuated(&self, executor: &ExecutorId) -> bool {
        let x = self.by_id.get(executor);
        x.is_some_and(|x| self.executors[*x].is_evacuated)
    }

    /// Number of runs in evacuated data centres.
    pub(super) fn evacuated_runs(&self) -> usize {
        let evacuated = self.executors.iter().filter(|x| x.is_evacuated);
        evacuated.map(|x| x.runs.len()).sum()
    }

    /// Applies the operator's requests; `as_of` is when the newest read of all of them was sent.
    pub(super) fn on_evacuations(&mut self, as_of: Timestamp, data_centres: BTreeSet<DataCentre>) {
        self.evacuations.as_of = self.evacuations.as_of.max(as_of);
        let before = std::mem::replace(&mut self.evacuations.data_centres, data_centres.clone());
        for begun in data_centres.difference(&before) {
            self.begin_evacuation(begun);
        }
        for ended in before.difference(&data_centres) {
            self.end_evacuation(ended);
        }
        self.resume_placement();
    }

    fn begin_evacuation(&mut self, data_centre: &DataCentre) {
        self.evacuations.returning.remove(data_centre);
        let executors = self.executors_in(data_centre);
        let mut runs = 0;
        for x in &executors {
            self.executors[*x].is_evacuated = true;
            runs += self.executors[*x].runs.len();
        }
        self.drop_evacuated_tickets();
        self.effects.push(Effect::Log(Decision::EvacuationBegun {
            data_centre: data_centre.clone(),
            executors: executors.len(),
            runs,
        }));
        // Steps that waited for an executor there are placed elsewhere.
        self.needs_placement = true;
        self.schedule_round();
    }

    /// Sets the timer for the next round unless it is set: the rounds of several evacuations are the
    /// same.
    fn schedule_round(&mut self) {
        if !std::mem::replace(&mut self.evacuations.is_round_due, true) {
            self.set_timer(MOVE_INTERVAL, Timer::Evacuation);
        }
    }

    /// Begins the round that is due.
    pub(super) fn on_evacuation_timer(&mut self) {
        self.evacuations.is_round_due = false;
        self.advance_evacuations();
    }

    /// Drops the tickets for executors that must not be used, so that others are asked about.
    fn drop_evacuated_tickets(&mut self) {
        let is_evacuated = |id: &ExecutorId| {
            let x = self.by_id.get(id);
            x.is_some_and(|x: &usize| self.executors[*x].is_evacuated)
        };
        let steps = self
            .jobs
            .values_mut()
            .flat_map(|entry| entry.steps.values_mut());
        for step in steps {
            step.tickets.retain(|id, _| !is_evacuated(id));
        }
    }

    fn end_evacuation(&mut self, data_centre: &DataCentre) {
        let executors = self.executors_in(data_centre);
        let mut last = self.now;
        for (number, x) in executors.iter().enumerate() {
            let step = number * RETURN_STEPS / executors.len();
            let wait = RETURN_INTERVAL.0 * u64::try_from(step).unwrap_or_default();
            last = self.now + Span(wait);
            let executor = &mut self.executors[*x];
            executor.is_evacuated = false;
            executor.returns_at = last;
        }
        self.evacuations.returning.insert(data_centre.clone(), last);
        self.effects.push(Effect::Log(Decision::EvacuationEnded {
            data_centre: data_centre.clone(),
            executors: executors.len(),
        }));
        self.offer_returning_executors();
        self.schedule_round();
    }

    /// Known executors of a data centre.
    fn executors_in(&self, data_centre: &DataCentre) -> Vec<usize> {
        let is_there = |x: &usize| {
            let registration = self.executors[*x].registration.as_ref();
            registration.and_then(|r| r.data_centre.as_ref()) == Some(data_centre)
        };
        (0..self.executors.len()).filter(is_there).collect()
    }

    /// Offers the room of executors that get work again, and moves service tasks out of evacuated data
    /// centres.
    fn advance_evacuations(&mut self) {
        self.offer_returning_executors();
        self.move_evacuated_services();
        let is_active =
            !self.evacuations.returning.is_empty() || !self.evacuations.data_centres.is_empty();
        if is_active {
            self.schedule_round();
        }
    }

    /// Offers the room of executors that get work again.
    fn offer_returning_executors(&mut self) {
        let returning: Vec<DataCentre> = self.evacuations.returning.keys().cloned().collect();
        for data_centre in &returning {
            for x in self.executors_in(data_centre) {
                self.executors[x].has_new_room = true;
            }
            self.needs_placement = true;
        }
        let now = self.now;
        self.evacuations.returning.retain(|_, last| *last > now);
    }

    /// Stops some service tasks in evacuated data centres that have room elsewhere.
    fn move_evacuated_services(&mut self) {
        if !self.is_slack_available() || self.does_reserving_step_wait() {
            return;
        }
        let evacuated = (0..self.executors.len()).filter(|x| self.executors[*x].is_evacuated);
        let mut services: Vec<(usize, TaskKey)> = Vec::new();
        for x in evacuated {
            let runs = self.executors[x].runs.iter();
            let running = runs.filter(|(task, run)| {
                matches!(run.phase, Phase::Running(_))
                    && run.stop.is_none()
                    && self.is_long_running(**task)
            });
            services.extend(running.map(|(task, _)| (x, *task)));
        }
        let mut moved = 0;
        // The tasks of one step need the same room, so that it is looked for once.
        let mut without_room = BTreeSet::new();
        for (x, task) in services {
            if moved >= MAX_MOVES_PER_ROUND {
                return;
            }
            if without_room.contains(&task.step) || !self.may_stop(task) {
                continue;
            }
            if self.has_room_elsewhere(task) {
                self.stop_run(x, task, "its data centre is evacuated");
                moved += 1;
            } else {
                without_room.insert(task.step);
            }
        }
    }

    /// True if a step waits whose tasks reserve processors.
    fn does_reserving_step_wait(&self) -> bool {
        self.ready.iter().any(|key| {
            let entry = self.jobs.get(&key.job);
            entry.is_some_and(|entry| !entry.step(*key).is_best_effort)
        })
    }

    fn has_room_elsewhere(&mut self, task: TaskKey) -> bool {
        let Some(step) = self.spec(task).cloned() else {
            return false;
        };
        self.pass_work.count(self.executors.len());
        let Some(requirements) = self.requirements(task.step, &step, None) else {
            return false;
        };
        let nothing_reserved = Reservations::new();
        (0..self.executors.len()).any(|x| self.fits(x, &requirements, &nothing_reserved))
    }
}
