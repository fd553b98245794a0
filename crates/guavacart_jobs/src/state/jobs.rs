//! Jobs, their steps and tasks.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Span, Timestamp};
use smol_str::SmolStr;

use super::{State, Timer, rack_wait::RackWait};
use crate::{
    Decision, Effect, EndedRun, ExecutorId, Job, JobKey, JobOutcome, JobProgress, QueuePolicy,
    RunNumber, RunOutcome, Step, StepKey, TaskKey, Ticket,
    policy::{speed::UsualRatio, wait::WaitEnd},
};

/// Run numbers that are reserved for a task in the epoch of one owner.
const RUNS_PER_EPOCH: u64 = 10_000;
/// Time after a takeover in which a job may become known that the earlier owner has accepted: the
/// time for which an owner accepts jobs without a confirmed lease, and the longest time until a
/// stored job is read.
const EARLIER_OWNER_ACCEPTANCE: Span = Span(MAX_UNCONFIRMED_ACCEPT_TIME.0 + MAX_JOB_DELAY.0);
/// Longest time until a stored job is read: an interval of the node's inbox polls and a slow answer.
const MAX_JOB_DELAY: Span = Span::millis(1_200);
/// Time since the last confirmation of its lease after which an owner accepts no new jobs: a little
/// over two renewals. Another node may be the owner after this time, and both would start the jobs.
pub const MAX_UNCONFIRMED_ACCEPT_TIME: Span = Span::millis(1_200);
/// Delay before a long-running task that failed starts again.
const LONG_RUNNING_RESTART_DELAY: Span = Span::millis(200);

/// A job and the state of its steps.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub(super) job: Job,
    /// For each step, the estimated length of the critical path that begins with it.
    pub(super) critical_paths: Vec<Span>,
    pub(super) progress: JobProgress,
    /// An earlier owner may have started tasks of the job.
    pub(super) may_have_earlier_runs: bool,
    /// The stored outcome of the job.
    pub(super) stored_outcome: Option<JobOutcome>,
    /// By occurrence and step index; only occurrences that have begun.
    pub(super) steps: BTreeMap<(u32, u16), StepState>,
    /// Occurrences that have not begun.
    pub(super) pending_occurrences: u32,
}

/// The state of one step in one occurrence.
#[derive(Debug)]
pub(super) struct StepState {
    pub(super) tasks: Vec<Task>,
    /// Indexes of tasks that wait for placement.
    pub(super) waiting: BTreeSet<u16>,
    /// Number of tasks that are done.
    pub(super) done: usize,
    /// All steps that this step depends on are done.
    pub(super) is_ready: bool,
    pub(super) ready_since: Timestamp,
    /// Tickets by executor, and when they expire.
    pub(super) tickets: BTreeMap<ExecutorId, (Ticket, Timestamp)>,
    /// Executors that the advice service was asked about.
    pub(super) asked: BTreeSet<ExecutorId>,
    /// Usual duration of the tasks, relative to the estimate.
    pub(super) usual: UsualRatio,
    /// When all executors were last searched without finding room for the waiting tasks.
    pub(super) searched_at: Option<Timestamp>,
    /// Waits for the rack that the step prefers.
    pub(super) rack_wait: RackWait,
    /// A request for advice is unanswered, or the delay after a request without advice has not
    /// passed.
    pub(super) is_request_pending: bool,
}

/// The state of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) is_done: bool,
    /// Executor and number of the current run.
    pub(super) placement: Option<(usize, RunNumber)>,
    /// Greatest run number that was started or listed.
    pub(super) last_run: RunNumber,
    /// Greatest run number that is over.
    pub(super) last_ended_run: RunNumber,
    pub(super) checkpoint: Option<SmolStr>,
    /// Executor on which the task failed last.
    pub(super) avoid: Option<usize>,
    /// Earliest next start.
    pub(super) not_before: Timestamp,
    /// When the last run was considered over without a report of its end. The next one starts once
    /// the ownership has been confirmed since.
    pub(super) lost_at: Timestamp,
    /// The run that was considered over at that time.
    pub(super) lost_run: RunNumber,
}

impl JobEntry {
    /// True if the job has ended, even if its outcome is not stored yet.
    pub(super) fn is_over(&self) -> bool {
        self.progress.outcome.is_some()
    }

    pub(super) fn step(&self, key: StepKey) -> &Step {
        &self.job.steps[usize::from(key.step)]
    }

    pub(super) fn state(&self, key: StepKey) -> Option<&StepState> {
        self.steps.get(&(key.occurrence, key.step))
    }

    pub(super) fn state_mut(&mut self, key: StepKey) -> Option<&mut StepState> {
        self.steps.get_mut(&(key.occurrence, key.step))
    }

    fn is_completed(&self) -> bool {
        self.pending_occurrences == 0
            && self
                .steps
                .values()
                .all(|step| step.done == step.tasks.len())
    }
}

impl State {
    /// The current rules of a job's queue, or the rules stored with the job if the queue was
    /// removed.
    pub(super) fn rules<'a>(&'a self, entry: &'a JobEntry) -> &'a QueuePolicy {
        let current = self.rules.get(&entry.job.queue);
        current.unwrap_or(&entry.job.rules)
    }

    pub(super) fn task(&self, key: TaskKey) -> Option<&Task> {
        let state = self.jobs.get(&key.step.job)?.state(key.step)?;
        state.tasks.get(usize::from(key.index))
    }

    pub(super) fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let state = self.jobs.get_mut(&key.step.job)?.state_mut(key.step)?;
        state.tasks.get_mut(usize::from(key.index))
    }

    /// The step of a task, if its job is known.
    pub(super) fn spec(&self, key: TaskKey) -> Option<&Step> {
        let entry = self.jobs.get(&key.step.job)?;
        let step = entry.job.steps.get(usize::from(key.step.step))?;
        (key.index < step.task_count).then_some(step)
    }

    /// True for a task that runs until its job is cancelled.
    pub(super) fn is_long_running(&self, key: TaskKey) -> bool {
        self.spec(key).is_some_and(|step| step.is_long_running)
    }

    /// The number for the next run of a task, greater than all run numbers of earlier owners.
    pub(super) fn next_run(&self, last: RunNumber) -> RunNumber {
        let first = (self.epoch.0.saturating_sub(1)) * RUNS_PER_EPOCH + 1;
        RunNumber(first.max(last.0 + 1))
    }

    pub(super) fn add_job(
        &mut self,
        key: JobKey,
        job: Job,
        progress: JobProgress,
        may_have_earlier_runs: bool,
    ) {
        if self.jobs.contains_key(&key) {
            return;
        }
        // An earlier owner may have received the job, and started its tasks, until that owner was
        // fenced.
        let may_have_earlier_runs = may_have_earlier_runs || self.may_earlier_owner_have_accepted();
        let entry = JobEntry {
            pending_occurrences: job.occurrence_count(),
            may_have_earlier_runs,
            stored_outcome: progress.outcome,
            steps: BTreeMap::new(),
            critical_paths: job.critical_paths_from(),
            job,
            progress,
        };
        self.jobs.insert(key, entry);
        self.restore_suspects(key);
        if self.cancelled.contains_key(&key) {
            self.cancel(key);
        }
        self.begin_due_occurrences(key, 0);
        self.adopt_waiting_runs(key);
        self.apply_orphans(key);
        self.end_if_completed(key);
    }

    /// True while jobs may become known that an earlier owner has accepted.
    pub(super) fn may_earlier_owner_have_accepted(&self) -> bool {
        self.attentive_for < EARLIER_OWNER_ACCEPTANCE
    }

    /// Begins the occurrences from `next` on that are due, and sets a timer for the one after them, so
    /// that a job of many occurrences holds no more than those that have begun.
    pub(super) fn begin_due_occurrences(&mut self, key: JobKey, mut next: u32) {
        loop {
            let open = self.jobs.get(&key).filter(|entry| !entry.is_over());
            let Some(entry) = open.filter(|entry| next < entry.job.occurrence_count()) else {
                return;
            };
            // The time of day may have been set back since the timer was set.
            let due = entry.job.due_unix_ms(next);
            let wait = due.map_or(0, |due| due.saturating_sub(self.unix_ms));
            if wait > 0 {
                self.set_timer(Span(wait), Timer::OccurrenceDue(key, next));
                return;
            }
            self.begin_occurrence(key, next);
            next += 1;
        }
    }

    /// Begins the occurrence of a listed or ended run. An earlier owner has begun this occurrence,
    /// so that it is due whatever this clock shows.
    pub(super) fn begin_occurrence_of(&mut self, key: TaskKey) {
        let count = self
            .jobs
            .get(&key.step.job)
            .map_or(0, |entry| entry.job.occurrence_count());
        if key.step.occurrence < count {
            self.begin_occurrence(key.step.job, key.step.occurrence);
        }
    }

    fn begin_occurrence(&mut self, key: JobKey, occurrence: u32) {
        let now = self.now;
        let Some(entry) = self.jobs.get_mut(&key) else {
            return;
        };
        let is_begun = entry.steps.contains_key(&(occurrence, 0));
        if entry.is_over() || is_begun {
            return;
        }
        entry.pending_occurrences -= 1;
        for step in 0..entry.job.steps.len() {
            let step = u16::try_from(step).unwrap_or(u16::MAX);
            let state = restore_step(entry, occurrence, step, now);
            entry.steps.insert((occurrence, step), state);
        }
        self.mark_ready_steps(key, occurrence);
        self.needs_placement = true;
    }

    /// Marks the steps of an occurrence whose dependencies are all done as ready.
    fn mark_ready_steps(&mut self, key: JobKey, occurrence: u32) {
        let now = self.now;
        let Some(entry) = self.jobs.get_mut(&key) else {
            return;
        };
        let is_done = |entry: &JobEntry, step: u16| {
            let state = entry.steps.get(&(occurrence, step));
            state.is_some_and(|state| state.done == state.tasks.len())
        };
        for step in 0..entry.job.steps.len() {
            let dependencies = &entry.job.steps[step].dependencies;
            let is_ready = dependencies
                .iter()
                .all(|dependency| is_done(entry, *dependency));
            let step = u16::try_from(step).unwrap_or(u16::MAX);
            let Some(state) = entry.steps.get_mut(&(occurrence, step)) else {
                continue;
            };
            if !is_ready || state.is_ready {
                continue;
            }
            state.is_ready = true;
            state.ready_since = now;
            if !state.waiting.is_empty() {
                let step = StepKey {
                    job: key,
                    occurrence,
                    step,
                };
                self.ready.insert(step);
                self.new_steps.push(step);
            }
        }
    }

    pub(super) fn cancel(&mut self, key: JobKey) {
        self.cancelled.entry(key).or_insert(self.now);
        let is_open = self.jobs.get(&key).is_some_and(|entry| !entry.is_over());
        if is_open {
            self.end_job(key, JobOutcome::Cancelled);
        }
    }

    pub(super) fn end_job(&mut self, key: JobKey, outcome: JobOutcome) {
        let Some(entry) = self.jobs.get_mut(&key) else {
            return;
        };
        entry.progress.outcome = Some(outcome);
        entry.progress.ended_unix_ms = self.unix_ms;
        for state in entry.steps.values_mut() {
            state.waiting.clear();
        }
        self.ready.retain(|step| step.job != key);
        self.end_rack_waits_of(key);
        self.headrooms.remove_job(key);
        self.forget_suspects(key);
        self.effects
            .push(Effect::Log(Decision::JobEnded { job: key, outcome }));
        self.stop_job(key);
        self.mark_dirty(key, true);
    }

    fn end_if_completed(&mut self, key: JobKey) {
        let entry = &self.jobs[&key];
        if !entry.is_over() && entry.is_completed() {
            self.end_job(key, JobOutcome::Completed);
        }
    }

    /// Applies the reported end of a run; `x` is the executor on which it ran.
    pub(super) fn apply_end(&mut self, x: usize, end: &EndedRun) {
        self.effects.push(Effect::Log(Decision::Ended {
            task: end.task,
            run: end.run,
            executor: self.executors[x].id.clone(),
            outcome: end.outcome,
        }));
        self.observe_ended_run(x, end);
        let is_ended = |run: &super::runs::Run| run.run <= end.run;
        if self.executors[x].runs.get(&end.task).is_some_and(is_ended) {
            let ended = self.executors[x].remove(self.now, end.task);
            if let Some(run) =
                ended.filter(|run| end.outcome == RunOutcome::Done && run.run == end.run)
            {
                self.record_run_time(x, end.task, &run);
            }
        }
        self.needs_placement = true;
        if self.spec(end.task).is_none() {
            return;
        }
        self.begin_occurrence_of(end.task);
        self.withdraw_crash(end.task, end.run);
        match end.outcome {
            RunOutcome::Done if !self.is_long_running(end.task) => {
                self.clear_failures(x);
                self.task_done(end.task, end.run);
            }
            RunOutcome::Done | RunOutcome::Failed => self.task_failed(x, end),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                let checkpoint = (!end.checkpoint.is_empty()).then(|| end.checkpoint.clone());
                self.requeue_task(end.task, end.run, checkpoint);
            }
        }
    }

    fn task_done(&mut self, key: TaskKey, run: RunNumber) {
        let is_gang = self.spec(key).is_some_and(|step| step.is_gang);
        self.close_run(key, run);
        let members: Vec<TaskKey> = if is_gang {
            let count = self.spec(key).map_or(0, |step| step.task_count);
            (0..count).map(|index| key.step.task(index)).collect()
        } else {
            vec![key]
        };
        for member in members {
            self.mark_done(member);
        }
        let step = key.step;
        self.mark_dirty(step.job, false);
        let is_step_done = self.jobs[&step.job]
            .state(step)
            .is_some_and(|state| state.done == state.tasks.len());
        if is_step_done && !self.jobs[&step.job].is_over() {
            self.mark_ready_steps(step.job, step.occurrence);
            self.end_if_completed(step.job);
        }
    }

    fn mark_done(&mut self, key: TaskKey) {
        let Some(entry) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let at = (key.step.occurrence, key.step.step);
        let Some(state) = entry.steps.get_mut(&at) else {
            return;
        };
        let task = &mut state.tasks[usize::from(key.index)];
        if std::mem::replace(&mut task.is_done, true) {
            return;
        }
        self.suspects.remove(key);
        let placed = task.placement.take();
        state.done += 1;
        state.waiting.remove(&key.index);
        let is_empty = state.waiting.is_empty();
        if is_empty {
            self.ready.remove(&key.step);
        }
        let record = entry.progress.steps.entry(at).or_default();
        record.done.insert(key.index);
        record.checkpoints.remove(&key.index);
        let crashed = &mut entry.progress.crashed;
        crashed.remove(&(key.step.occurrence, key.step.step, key.index));
        if let Some((x, _)) = placed {
            self.stop_run(x, key, "the task is done elsewhere");
        }
        if is_empty {
            self.end_rack_wait(key.step, WaitEnd::Started);
        }
    }

    fn task_failed(&mut self, x: usize, end: &EndedRun) {
        let key = end.task;
        let rules = self.rules(&self.jobs[&key.step.job]);
        let max_attempts = usize::try_from(rules.max_attempts.max(1)).unwrap_or(usize::MAX);
        let is_long_running = self.is_long_running(key);
        let checkpoint = (!end.checkpoint.is_empty()).then(|| end.checkpoint.clone());
        if let Some(task) = self.task_mut(key) {
            task.avoid = Some(x);
        }
        self.requeue_task(key, end.run, checkpoint);
        if is_long_running {
            self.record_failure(x, "a long-running task ended there");
            self.delay(key, LONG_RUNNING_RESTART_DELAY);
            return;
        }
        let Some(entry) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let at = (key.step.occurrence, key.step.step);
        let record = entry.progress.steps.entry(at).or_default();
        let runs = record.failed.entry(key.index).or_default();
        runs.insert(end.run);
        let failures = runs.len();
        // Only the first failed run of a task counts against an executor, since a task that fails
        // everywhere is no evidence against one.
        if failures == 1 {
            self.record_failure(x, "runs failed there");
        }
        self.mark_dirty(key.step.job, false);
        if failures >= max_attempts && !self.jobs[&key.step.job].is_over() {
            self.end_job(key.step.job, JobOutcome::Failed);
        }
    }

    pub(super) fn delay(&mut self, key: TaskKey, delay: Span) {
        let not_before = self.now + delay;
        if let Some(task) = self.task_mut(key) {
            task.not_before = not_before;
        }
        self.set_timer(delay, Timer::Place);
    }

    /// Records that no run of the task up to `run` can start any more.
    fn close_run(&mut self, key: TaskKey, run: RunNumber) {
        if let Some(task) = self.task_mut(key) {
            task.last_ended_run = task.last_ended_run.max(run);
            task.last_run = task.last_run.max(run);
            if task.placement.is_some_and(|(_, placed)| placed <= run) {
                task.placement = None;
            }
        }
    }

    /// Queues a task again after a run that is over and did not complete the task.
    pub(super) fn requeue_task(
        &mut self,
        key: TaskKey,
        run: RunNumber,
        checkpoint: Option<SmolStr>,
    ) {
        self.close_run(key, run);
        let Some(entry) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let is_over = entry.is_over();
        let at = (key.step.occurrence, key.step.step);
        let is_gang = entry
            .job
            .steps
            .get(usize::from(key.step.step))
            .is_some_and(|s| s.is_gang);
        let Some(state) = entry.steps.get_mut(&at) else {
            return;
        };
        let Some(task) = state.tasks.get_mut(usize::from(key.index)) else {
            return;
        };
        if task.is_done || task.placement.is_some() {
            return;
        }
        // The other members of the gang would wait for this task in vain.
        let members = state.tasks.iter().enumerate().filter(|_| is_gang);
        let members = members.filter_map(|(index, task)| {
            let (x, placed) = task.placement?;
            (placed == run).then_some((x, u16::try_from(index).ok()?))
        });
        let members: Vec<(usize, u16)> = members.collect();
        let Some(task) = state.tasks.get_mut(usize::from(key.index)) else {
            return;
        };
        let is_new = checkpoint.is_some() && checkpoint != task.checkpoint;
        if let Some(checkpoint) = checkpoint {
            task.checkpoint = Some(checkpoint.clone());
            if is_gang {
                state
                    .tasks
                    .iter_mut()
                    .for_each(|task| task.checkpoint = Some(checkpoint.clone()));
            }
            let record = entry.progress.steps.entry(at).or_default();
            record.checkpoints.insert(key.index, checkpoint);
        }
        if !is_over {
            state.waiting.insert(key.index);
            if state.is_ready {
                self.ready.insert(key.step);
            }
        }
        if is_new {
            self.mark_dirty(key.step.job, false);
        }
        for (x, index) in members {
            self.stop_run(
                x,
                key.step.task(index),
                "another member of its gang is not running",
            );
        }
    }
}

/// Restores the state of a step from its durable record.
fn restore_step(entry: &JobEntry, occurrence: u32, step: u16, now: Timestamp) -> StepState {
    let count = entry.job.steps[usize::from(step)].task_count;
    let record = entry.progress.steps.get(&(occurrence, step));
    let is_done = |index: u16| record.is_some_and(|record| record.done.contains(&index));
    let task = |index: u16| Task {
        is_done: is_done(index),
        checkpoint: record.and_then(|record| record.checkpoints.get(&index).cloned()),
        ..Task::default()
    };
    let tasks: Vec<Task> = (0..count).map(task).collect();
    StepState {
        done: tasks.iter().filter(|task| task.is_done).count(),
        waiting: (0..count).filter(|index| !is_done(*index)).collect(),
        tasks,
        is_ready: false,
        ready_since: now,
        tickets: BTreeMap::new(),
        asked: BTreeSet::new(),
        usual: UsualRatio::default(),
        searched_at: None,
        rack_wait: RackWait::default(),
        is_request_pending: false,
    }
}
