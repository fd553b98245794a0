//! Observes how long runs take, and applies what follows about slow executors.
//!
//! [`Speeds`] learns and decides. This module selects the runs that say something about the speed of
//! their executor.

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    executors::Executor,
    placement::Requirements,
    runs::{Phase, Run},
};
use crate::{
    Decision, Effect, EndedRun, RunOutcome, Step, TaskKey,
    policy::speed::{self, Change, Observed, Speeds, Standing, TimedRun},
};

/// Tasks of a step that must have ended for each one that is running before they are taken as the usual
/// duration. The shortest tasks end first: with fewer, tasks of 2 times the usual duration among others of
/// half of it were taken for a sign of a slow executor.
const ENDED_PER_RUNNING: usize = 3;

/// What this owner has learned about the speed of executors.
#[derive(Debug, Default)]
pub(super) struct ExecutorSpeeds {
    speeds: Speeds,
    /// Runs that started before this time may have ended unnoticed for a while.
    distrusted_before: Timestamp,
}

impl ExecutorSpeeds {
    /// Number of executors that are treated as slow.
    pub(super) fn slow_executors(&self) -> usize {
        self.speeds.slow_executors()
    }

    /// Ignores runs that started before a time at which the owner was late with what it received.
    pub(super) fn distrust_times_before(&mut self, at: Timestamp) {
        self.distrusted_before = at;
    }
}

impl Executor {
    /// Notes that best-effort tasks share processors, called before and after each change.
    pub(super) fn record_contention(&mut self, now: Timestamp) {
        if self.best_effort_demand > 0 && self.leftover() < 0 {
            self.contended_at = now;
        }
    }

    /// True if the run has worked at full pace and with processors of its own.
    fn is_undisturbed(&self, run: &Run) -> bool {
        let is_paced = run.pace != 100 || run.paced_at != Timestamp(0);
        let is_contended = self.contended_at >= run.since || self.leftover() < 0;
        !run.is_best_effort || !(is_paced || is_contended)
    }
}

/// True if the duration of the step's tasks depends on their executor alone: the tasks of a gang wait
/// for each other, and those that prefer one rack for each other's data.
fn is_comparable(step: &Step) -> bool {
    !step.is_long_running && !step.is_gang && !step.prefers_one_rack
}

impl State {
    /// A run with the time that it has taken; `None` if it says nothing about the speed of its
    /// executor.
    fn timed_run(&self, x: usize, key: TaskKey, has_ended: bool) -> Option<TimedRun<'_>> {
        let executor = &self.executors[x];
        let run = executor.runs.get(&key)?;
        let entry = self.jobs.get(&key.step.job)?;
        let (step, state) = (self.spec(key)?, entry.state(key.step)?);
        let task = state.tasks.get(usize::from(key.index))?;
        // The start of a run without a deadline, of an earlier owner or for an earlier incarnation, is
        // not known.
        let Phase::Running(confirmed_at) = run.phase else {
            return None;
        };
        let is_start_known = run.deadline_ms != 0 && run.run == task.last_run;
        let rack = executor.registration.as_ref().and_then(|r| r.rack());
        let is_near = step.data_rack.is_none() || step.data_rack.as_ref() == rack;
        let is_timed = run.since > executor.silent_at && run.since > self.speeds.distrusted_before;
        let says_something = is_comparable(step)
            && is_start_known
            && is_near
            && is_timed
            && task.checkpoint.is_none()
            && run.stop.is_none()
            && executor.is_undisturbed(run);
        let running = state
            .tasks
            .len()
            .saturating_sub(state.done + state.waiting.len());
        says_something.then(|| TimedRun {
            task: key,
            queue: &entry.job.queue,
            estimate: step.estimate,
            step: state.usual,
            is_step_representative: state.done >= ENDED_PER_RUNNING * running,
            at_least: self.now.since(confirmed_at),
            at_most: has_ended.then(|| self.now.since(run.since)),
            counted: run.counted,
        })
    }

    /// Learns from a run that is done; called while the run is still recorded.
    pub(super) fn observe_ended_run(&mut self, x: usize, end: &EndedRun) {
        let known = self.executors[x].runs.get(&end.task);
        let is_this_run = known.is_some_and(|run| run.run == end.run);
        if !is_this_run || end.outcome != RunOutcome::Done {
            return;
        }
        // Taken out, since the timed run borrows the job.
        let mut speeds = std::mem::take(&mut self.speeds.speeds);
        let mut usual = None;
        let mut observed = None;
        if let Some(run) = self.timed_run(x, end.task, true) {
            let mut step = run.step;
            observed = Some(speeds.observe(x, self.now, &run));
            speeds.learn_usual(x, &run, &mut step);
            usual = Some(step);
        }
        self.speeds.speeds = speeds;
        let entry = self.jobs.get_mut(&end.task.step.job);
        let state = entry.and_then(|entry| entry.state_mut(end.task.step));
        if let (Some(state), Some(usual)) = (state, usual) {
            state.usual = usual;
        }
        if let Some(observed) = observed {
            self.apply_observed(x, end.task, observed);
        }
    }

    /// Learns from a run that goes on longer than usual.
    pub(super) fn observe_running(&mut self, x: usize, task: TaskKey) {
        let mut speeds = std::mem::take(&mut self.speeds.speeds);
        let run = self.timed_run(x, task, false);
        let observed = run.map(|run| speeds.observe(x, self.now, &run));
        self.speeds.speeds = speeds;
        if let Some(observed) = observed {
            self.apply_observed(x, task, observed);
        }
    }

    fn apply_observed(&mut self, x: usize, task: TaskKey, observed: Observed) {
        let executor = &mut self.executors[x];
        if let Some(run) = executor.runs.get_mut(&task) {
            run.counted = observed.counted;
        }
        let executor = executor.id.clone();
        let (decision, retry_after) = match observed.change {
            None => return,
            Some(Change::Marked {
                factor,
                avoided_for,
            }) => {
                let percent = (factor * 100.0) as u32;
                let decision = Decision::MarkedSlow {
                    executor,
                    percent,
                    avoided_for,
                };
                (decision, avoided_for)
            }
            Some(Change::Extended { avoided_for }) => {
                let decision = Decision::StillSlow {
                    executor,
                    avoided_for,
                };
                (decision, avoided_for)
            }
            Some(Change::Cleared) => {
                self.executors[x].has_new_room = true;
                let why = "its tasks are fast";
                (Decision::NoLongerSlow { executor, why }, Span::ZERO)
            }
        };
        self.effects.push(Effect::Log(decision));
        self.set_timer(retry_after, Timer::Place);
    }

    /// Forgets how fast an executor was that is not the same any more.
    pub(super) fn forget_speed(&mut self, x: usize, why: &'static str) {
        if self.speeds.speeds.forget(x) {
            let executor = self.executors[x].id.clone();
            let decision = Decision::NoLongerSlow { executor, why };
            self.effects.push(Effect::Log(decision));
        }
    }

    fn standing(&self, x: usize) -> Standing {
        let runs = &self.executors[x].runs;
        let is_running = |task| runs.contains_key(&task);
        self.speeds.speeds.standing(x, self.now, is_running)
    }

    /// True if the executor is marked slow.
    pub(super) fn is_avoided(&self, x: usize) -> bool {
        self.standing(x) != Standing::Usual
    }

    /// Largest factor of a slow executor on which a task may start; see [`speed::max_factor`]. It is the
    /// same for all steps while no executor is marked.
    pub(super) fn max_slow_factor(&self, waited: Span, estimate: Span) -> u8 {
        if self.speeds.slow_executors() == 0 {
            return 0;
        }
        speed::max_factor(waited, estimate)
    }

    /// True if the executor is fast enough for a task. Service tasks have no duration to be compared.
    pub(super) fn suits_speed(&self, x: usize, requirements: &Requirements<'_>) -> bool {
        let step = requirements.step;
        let max_factor = requirements.max_slow_factor;
        step.is_long_running || self.standing(x).accepts(step.is_gang, max_factor)
    }

    /// Rank of the executor for a task, by its speed alone.
    pub(super) fn speed_preference(&self, x: usize, step: &Step) -> i64 {
        if step.is_long_running {
            return 0;
        }
        self.standing(x).preference(step.is_gang)
    }

    /// Records that a task tries a slow executor again, if it is the only one to do so.
    pub(super) fn begin_speed_trial(&mut self, x: usize, task: TaskKey) {
        if self.is_long_running(task) {
            return;
        }
        let executor = &self.executors[x];
        let is_other_running = |other| other != task && executor.runs.contains_key(&other);
        let speeds = &mut self.speeds.speeds;
        if speeds.standing(x, self.now, is_other_running) == Standing::OnTrial {
            speeds.begin_trial(x, task);
        }
    }
}
