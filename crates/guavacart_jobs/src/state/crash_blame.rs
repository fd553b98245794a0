//! Tasks that crash the executors that start them.
//!
//! A crash does not show which run caused it. It counts against each run that had not yet been
//! reported at work [`PROVING_TIME`] after its start. Tasks with such crashes are suspects: they
//! start on executors without other suspects, and from [`CRASHES_TO_ISOLATE`] crashes on without any
//! other new run, so that the next crash shows which job is the cause. Many innocent tasks that are
//! lost together spread, prove themselves and are cleared.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    placement::{Requirements, Reservations},
    runs::{Phase, Run},
};
use crate::{Decision, Effect, HoldReport, JobKey, JobOutcome, RunNumber, StepKey, TaskKey};

/// Time at work after which a run is no cause of a later crash.
const PROVING_TIME: Span = Span::millis(1_000);
/// Crashes of a task from which on it starts without other new runs beside it.
const CRASHES_TO_ISOLATE: usize = 2;
/// Crashes after which a task is given up if no other job can have caused the last one.
const CRASHES_TO_GIVE_UP: usize = 3;
/// Crashes after which a task is given up in any case.
const MAX_CRASHES: usize = 4;
/// Longest time for which an executor takes no runs but those of an isolated task's job.
const ISOLATION_TIMEOUT: Span = Span::millis(4_000);
/// Shortest time between the starts of isolated tasks.
const ISOLATED_START_INTERVAL: Span = Span::millis(1_000);
/// Interval between attempts to place a suspect that no executor suits.
const RETRY_INTERVAL: Span = Span::millis(250);
/// Delay before a suspect starts again after the lease of a silent executor has expired, for the
/// executor to return and show whether it crashed.
const LAPSE_DELAY: Span = Span::millis(2_500);
/// Time after a crash in which suspects prefer other executors.
const CRASH_MEMORY: Span = Span::secs(30);
/// Executors that fail within this time of each other may have one cause.
const COMMON_CAUSE_TIME: Span = Span::millis(500);
/// Number of other executors that show a common cause when they fail too.
const COMMON_CAUSE_EXECUTORS: usize = 2;

/// What an executor's record says about crashes.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    /// The executor said that it leaves, so that its end is no crash.
    pub(super) is_leaving: bool,
    /// Time of the first failed hold since the last report before it.
    last_failure: Option<Timestamp>,
    crashed_at: Option<Timestamp>,
    /// Unproven runs that the owner gave up when the lease expired; they count if the executor
    /// turns out to have crashed.
    lapsed: Vec<Unproven>,
    isolation: Option<Isolation>,
}

/// A run that may have caused the crash of its executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unproven {
    task: TaskKey,
    run: RunNumber,
    /// The executor is known to have started the run.
    is_confirmed: bool,
}

/// A reservation of an executor for a task that has to start without other new runs.
#[derive(Clone, Copy, Debug)]
struct Isolation {
    task: TaskKey,
    until: Timestamp,
    is_started: bool,
}

/// Tasks with crashes that are not cleared or over.
#[derive(Debug)]
pub(super) struct Suspects {
    tasks: BTreeSet<TaskKey>,
    /// Starts of isolated tasks are spaced, so that their crashes do not look like one failure.
    next_isolated_start: Timestamp,
}

impl Suspects {
    pub(super) const fn new() -> Self {
        Self {
            tasks: BTreeSet::new(),
            next_isolated_start: Timestamp(0),
        }
    }

    /// Removes a task that is over.
    pub(super) fn remove(&mut self, task: TaskKey) {
        self.tasks.remove(&task);
    }
}

impl State {
    /// Restores the suspects of a job from its durable record.
    pub(super) fn restore_suspects(&mut self, key: JobKey) {
        let Some(entry) = self.jobs.get(&key).filter(|entry| !entry.is_over()) else {
            return;
        };
        let restored = entry.progress.crashed.keys();
        let restored = restored.map(|(occurrence, step, index)| {
            let step = StepKey {
                job: key,
                occurrence: *occurrence,
                step: *step,
            };
            step.task(*index)
        });
        self.suspects.tasks.extend(restored);
    }

    pub(super) fn forget_suspects(&mut self, key: JobKey) {
        self.suspects.tasks.retain(|task| task.step.job != key);
    }

    /// Number of executors that crashed under unproven runs of the task.
    pub(super) fn crashes(&self, task: TaskKey) -> usize {
        if !self.suspects.tasks.contains(&task) {
            return 0;
        }
        let entry = self.jobs.get(&task.step.job);
        let runs = entry.and_then(|entry| entry.progress.crashed.get(&record_key(task)));
        let placed = self.task(task).and_then(|task| task.placement);
        let is_over = |run: &&RunNumber| placed.is_none_or(|(_, placed)| placed != **run);
        runs.map_or(0, |runs| runs.iter().filter(is_over).count())
    }

    /// Writes the start of a suspect down as a crash before its outcome is known, so that the crash
    /// counts although the owner ends with it.
    pub(super) fn presume_crash(&mut self, task: TaskKey, run: RunNumber) {
        if let Some(entry) = self.jobs.get_mut(&task.step.job) {
            let runs = entry.progress.crashed.entry(record_key(task)).or_default();
            runs.insert(run);
            self.mark_dirty(task.step.job, true);
        }
    }

    /// Removes a run from the crashes of its task, since the run ended without one.
    pub(super) fn withdraw_crash(&mut self, task: TaskKey, run: RunNumber) {
        if !self.suspects.tasks.contains(&task) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let runs = entry.progress.crashed.get_mut(&record_key(task));
        let Some(runs) = runs.filter(|runs| runs.contains(&run)) else {
            return;
        };
        runs.remove(&run);
        if runs.is_empty() {
            entry.progress.crashed.remove(&record_key(task));
            self.suspects.remove(task);
        }
        self.mark_dirty(task.step.job, false);
    }

    /// True if a task of the step has crashes.
    pub(super) fn has_suspects(&self, step: StepKey) -> bool {
        let mut suspects = self
            .suspects
            .tasks
            .range(step.task(0)..=step.task(u16::MAX));
        suspects.next().is_some()
    }

    /// Runs that an executor which has crashed was not known to have worked on for
    /// [`PROVING_TIME`].
    pub(super) fn unproven_runs(&self, x: usize) -> Vec<Unproven> {
        let executor = &self.executors[x];
        let failed_at = executor.crash_watch.last_failure;
        let failed_at = failed_at.filter(|at| *at > executor.last_report_at);
        let may_have_caused = |run: &Run| {
            is_unproven(run, executor.last_report_at) && failed_at.is_none_or(|at| run.since <= at)
        };
        let runs = executor.runs.iter();
        let runs = runs.filter(|(_, run)| may_have_caused(run));
        let unproven = |(task, run): (&TaskKey, &Run)| Unproven {
            task: *task,
            run: run.run,
            is_confirmed: matches!(run.phase, Phase::Running(_)),
        };
        runs.map(unproven).collect()
    }

    /// Notes the first failed hold since the last report.
    pub(super) fn watch_failure(&mut self, x: usize) {
        self.executors[x].crash_watch.last_failure = Some(self.now);
    }

    /// Keeps the unproven ones of the runs whose leases have expired.
    pub(super) fn keep_lapsed_runs(&mut self, x: usize, expired: &[TaskKey]) {
        let mut runs = self.unproven_runs(x);
        runs.retain(|run| expired.contains(&run.task));
        let waited = self.now.since(self.lease_expires_at(x).unwrap_or(self.now));
        for unproven in &runs {
            if self.is_over(unproven.task) {
                continue;
            }
            if !self.suspects.tasks.insert(unproven.task) {
                self.delay(unproven.task, LAPSE_DELAY.saturating_sub(waited));
            }
            self.presume_crash(unproven.task, unproven.run);
        }
        self.executors[x].crash_watch.lapsed.extend(runs);
    }

    /// Counts the crash of executor `other`, whose place `x` has taken, against the given runs.
    pub(super) fn executor_replaced(
        &mut self,
        other: usize,
        x: usize,
        unproven: Vec<Unproven>,
        lost: usize,
    ) {
        self.executors[x].crash_watch.crashed_at = Some(self.now);
        self.record_crash(other, unproven, lost);
    }

    /// Counts the crash of an executor that has restarted under the same id.
    pub(super) fn executor_restarted(&mut self, x: usize, report: &HoldReport) {
        let is_known = |run: &Unproven| {
            let is_listed =
                |listed: &crate::ListedRun| listed.task == run.task && listed.run == run.run;
            let is_ended = |end: &crate::EndedRun| end.task == run.task && end.run == run.run;
            report.running.iter().any(is_listed) || report.ended.iter().any(is_ended)
        };
        let mut unproven = self.unproven_runs(x);
        unproven.retain(|run| !is_known(run));
        let lost = self.executors[x].runs.len();
        self.executors[x].crash_watch.crashed_at = Some(self.now);
        self.record_crash(x, unproven, lost);
    }

    fn record_crash(&mut self, x: usize, unproven: Vec<Unproven>, lost: usize) {
        let watch = &mut self.executors[x].crash_watch;
        let mut blamed = std::mem::take(&mut watch.lapsed);
        blamed.extend(unproven);
        watch.isolation = None;
        let is_leaving = std::mem::take(&mut watch.is_leaving);
        let failed_at = watch.last_failure.unwrap_or(self.now);
        if is_leaving || (blamed.is_empty() && lost == 0) {
            return;
        }
        let executor = self.executors[x].id.clone();
        self.effects.push(Effect::Log(Decision::ExecutorCrashed {
            executor,
            lost,
            blamed: blamed.len(),
        }));
        let jobs: BTreeSet<JobKey> = blamed.iter().map(|run| run.task.step.job).collect();
        let is_cause_known = jobs.len() == 1 && !self.has_common_cause(x, failed_at);
        for Unproven {
            task,
            run,
            is_confirmed,
        } in blamed
        {
            self.blame(x, task, run, is_cause_known && is_confirmed);
        }
    }

    fn blame(&mut self, x: usize, task: TaskKey, run: RunNumber, is_cause_known: bool) {
        if self.is_over(task) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let runs = entry.progress.crashed.entry(record_key(task)).or_default();
        runs.insert(run);
        self.suspects.tasks.insert(task);
        let is_placed = self.task(task).and_then(|task| task.placement) == Some((x, run));
        let known = self.crashes(task) + usize::from(is_placed);
        let crashes = known.saturating_sub(self.unconfirmed_crashes(task));
        let is_given_up =
            crashes >= MAX_CRASHES || (crashes >= CRASHES_TO_GIVE_UP && is_cause_known);
        self.effects.push(Effect::Log(Decision::Suspected {
            task,
            run,
            executor: self.executors[x].id.clone(),
            crashes,
            is_given_up,
        }));
        self.mark_dirty(task.step.job, true);
        if is_given_up {
            self.end_job(task.step.job, JobOutcome::Failed);
        }
    }

    /// Number of crashes that are presumed since a lease expired.
    fn unconfirmed_crashes(&self, task: TaskKey) -> usize {
        let lapsed = self.executors.iter();
        let lapsed = lapsed.flat_map(|executor| &executor.crash_watch.lapsed);
        lapsed.filter(|lapsed| lapsed.task == task).count()
    }

    fn is_over(&self, task: TaskKey) -> bool {
        let is_done = self.task(task).is_none_or(|task| task.is_done);
        let entry = self.jobs.get(&task.step.job);
        is_done || entry.is_none_or(|entry| entry.is_over())
    }

    /// True if other executors failed at the same time.
    fn has_common_cause(&self, x: usize, failed_at: Timestamp) -> bool {
        let failed_too = |at: Timestamp| at.0.abs_diff(failed_at.0) <= COMMON_CAUSE_TIME.0;
        let others = self.executors.iter().enumerate();
        let others = others.filter(|(other, executor)| {
            *other != x && executor.crash_watch.last_failure.is_some_and(failed_too)
        });
        others.count() >= COMMON_CAUSE_EXECUTORS
    }

    /// Clears the suspects that the executor has reported at work for [`PROVING_TIME`].
    pub(super) fn clear_proven(&mut self, x: usize) {
        let watch = &mut self.executors[x].crash_watch;
        let isolation = watch.isolation;
        // The same incarnation answers again, and so it has not crashed.
        for Unproven { task, run, .. } in std::mem::take(&mut watch.lapsed) {
            self.withdraw_crash(task, run);
        }
        if self.suspects.tasks.is_empty() && isolation.is_none() {
            return;
        }
        let executor = &self.executors[x];
        let is_proven = |(task, run): &(&TaskKey, &Run)| {
            self.suspects.tasks.contains(task) && !is_unproven(run, executor.last_report_at)
        };
        let proven: Vec<TaskKey> = executor
            .runs
            .iter()
            .filter(is_proven)
            .map(|(task, _)| *task)
            .collect();
        for task in &proven {
            self.clear_suspect(*task);
        }
        let executor = &mut self.executors[x];
        if isolation.is_some_and(|isolation| {
            let is_over = !executor.runs.contains_key(&isolation.task);
            proven.contains(&isolation.task) || (isolation.is_started && is_over)
        }) {
            executor.crash_watch.isolation = None;
            self.needs_placement = true;
        }
    }

    fn clear_suspect(&mut self, task: TaskKey) {
        self.suspects.remove(task);
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if entry.progress.crashed.remove(&record_key(task)).is_some() {
            self.effects.push(Effect::Log(Decision::Cleared { task }));
            self.mark_dirty(task.step.job, false);
        }
    }

    /// True if the executor is reserved for an isolated task of another job.
    pub(super) fn is_isolated_from(&self, x: usize, job: JobKey) -> bool {
        let isolation = self.executors[x].crash_watch.isolation;
        isolation
            .is_some_and(|isolation| isolation.task.step.job != job && isolation.until > self.now)
    }

    fn has_unproven(&self, x: usize, is_meant: impl Fn(TaskKey) -> bool) -> bool {
        let executor = &self.executors[x];
        let mut runs = executor.runs.iter();
        runs.any(|(task, run)| is_unproven(run, executor.last_report_at) && is_meant(*task))
    }

    /// True if the executor has no unproven run of another job that is a suspect.
    pub(super) fn has_no_other_suspect(&self, x: usize, job: JobKey) -> bool {
        !self.has_unproven(x, |task| {
            task.step.job != job && self.suspects.tasks.contains(&task)
        })
    }

    /// The executor for a task with crashes; `None` if the task has to wait.
    pub(super) fn executor_for_suspect(
        &mut self,
        task: TaskKey,
        requirements: &Requirements<'_>,
    ) -> Option<usize> {
        let is_isolated = self.crashes(task) >= CRASHES_TO_ISOLATE;
        if is_isolated && self.suspects.next_isolated_start > self.now {
            self.set_timer(RETRY_INTERVAL, Timer::Place);
            return None;
        }
        let chosen = self
            .reserved_executor(task, requirements)
            .or_else(|| self.best_for_suspect(task, requirements, is_isolated));
        let Some(x) = chosen else {
            self.set_timer(RETRY_INTERVAL, Timer::Place);
            return None;
        };
        if !self.check_start_on(x) {
            return None;
        }
        if !is_isolated {
            return Some(x);
        }
        let is_alone = !self.has_unproven(x, |other| other.step.job != task.step.job);
        self.executors[x].crash_watch.isolation = Some(Isolation {
            task,
            until: self.now + ISOLATION_TIMEOUT,
            is_started: is_alone,
        });
        if is_alone {
            self.suspects.next_isolated_start = self.now + ISOLATED_START_INTERVAL;
            return Some(x);
        }
        // A report shows whether the runs there are at work.
        let executor = &self.executors[x];
        let is_due = |run: &Run| is_unproven(run, executor.last_report_at);
        let mut due = executor.runs.values().filter(|run| is_due(run));
        if due.all(|run| !is_unproven(run, self.now)) {
            self.hold_immediately(x);
        }
        self.set_timer(RETRY_INTERVAL, Timer::Place);
        None
    }

    /// The executor that is reserved for the task, if the task still fits there.
    fn reserved_executor(&self, task: TaskKey, requirements: &Requirements<'_>) -> Option<usize> {
        let is_reserved = |x: &usize| {
            let isolation = self.executors[*x].crash_watch.isolation;
            isolation.is_some_and(|isolation| isolation.task == task && isolation.until > self.now)
        };
        let mut reserved = (0..self.executors.len()).filter(is_reserved);
        reserved.find(|x| self.fits(*x, requirements, &Reservations::new()))
    }

    fn best_for_suspect(
        &mut self,
        task: TaskKey,
        requirements: &Requirements<'_>,
        is_isolated: bool,
    ) -> Option<usize> {
        self.pass_work.count(self.executors.len());
        let job = task.step.job;
        let nothing_reserved = BTreeMap::new();
        let suits = |x: &usize| {
            self.fits(*x, requirements, &nothing_reserved) && self.has_no_other_suspect(*x, job)
        };
        let preference = |x: &usize| {
            let executor = &self.executors[*x];
            let crashed_at = executor.crash_watch.crashed_at;
            let is_steady = crashed_at.is_none_or(|at| self.now.since(at) >= CRASH_MEMORY);
            let is_quiet = !is_isolated || !self.has_unproven(*x, |other| other.step.job != job);
            let score = self.score(*x, requirements.step, requirements.image);
            (is_steady, is_quiet, score)
        };
        (0..self.executors.len())
            .filter(suits)
            .max_by_key(preference)
    }
}

/// True if the run was not reported at work [`PROVING_TIME`] after its start.
fn is_unproven(run: &Run, last_report_at: Timestamp) -> bool {
    !matches!(run.phase, Phase::Running(_)) || run.since + PROVING_TIME > last_report_at
}

fn record_key(task: TaskKey) -> (u32, u16, u16) {
    (task.step.occurrence, task.step.step, task.index)
}
