//! Invariants that are checked at each start and each acknowledged end, whatever faults occur.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_jobs::{Job, JobKey, RunOutcome, TaskKey};
use guavacart_types::Resources;

use crate::executor::{Ended, Executor};

/// Record of what all executors have done, independent of what owners know.
#[derive(Default)]
pub(crate) struct Observer {
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    /// When each task was last started.
    last_starts: BTreeMap<TaskKey, u64>,
    /// Tasks with a run that ended as done.
    done: BTreeSet<TaskKey>,
    /// When the first run ended as done whose end was acknowledged, by task. Here and in `failed`,
    /// an end is not counted if the lease expired before the acknowledgement.
    acknowledged_done: BTreeMap<TaskKey, u64>,
    /// When runs ended as failed whose ends were acknowledged, by task.
    failed: BTreeMap<TaskKey, Vec<u64>>,
    /// Starts of tasks that crash their executors.
    crashing_starts: BTreeMap<TaskKey, usize>,
    /// Crashes of executors under runs of each task.
    crashes: BTreeMap<TaskKey, usize>,
}

/// Most starts of a task that crashes its executors: three, and two more after the third crash.
const MAX_CRASHING_STARTS: usize = 5;

/// Executors that must have crashed under a task before its job may fail for that.
const MIN_CRASHES_TO_GIVE_UP: usize = 2;

impl Observer {
    pub(crate) fn record_done(&mut self, task: TaskKey) {
        self.done.insert(task);
    }

    /// Records ended runs that an owner acknowledged.
    pub(crate) fn record_acknowledged(&mut self, ends: &[Ended], seed: u64) {
        for Ended { end, at, .. } in ends.iter().filter(|ended| !ended.is_expired) {
            match end.outcome {
                RunOutcome::Done => {
                    let first = self.acknowledged_done.entry(end.task).or_insert(*at);
                    *first = (*first).min(*at);
                }
                RunOutcome::Failed => self.failed.entry(end.task).or_default().push(*at),
                _ => continue,
            }
            self.check_ends(end.task, seed);
        }
    }

    /// Checks that a task was not started after it was done, or after it had failed as often as the
    /// queue's rules allow. Only acknowledged ends count, whether the acknowledgement came before or
    /// after the start.
    fn check_ends(&self, task: TaskKey, seed: u64) {
        let Some(last_start) = self.last_starts.get(&task) else {
            return;
        };
        let done = self.acknowledged_done.get(&task);
        assert!(
            done.is_none_or(|at| last_start < at),
            "seed {seed}: {task} was started at {last_start} after its acknowledged end at {done:?}"
        );
        let failed = self.failed.get(&task).into_iter().flatten();
        let failed_before = failed.filter(|at| *at <= last_start).count();
        let max_failures = self.jobs[&task.step.job].rules.max_attempts as usize;
        assert!(
            failed_before < max_failures,
            "seed {seed}: {task} was started at {last_start} after {failed_before} failed runs"
        );
    }

    /// Counts the crash of an executor against the runs that it had.
    pub(crate) fn record_crash(&mut self, executor: &Executor) {
        for task in executor.running.keys() {
            *self.crashes.entry(*task).or_default() += 1;
        }
    }

    /// True if enough executors crashed under a task of the job that the job may fail.
    pub(crate) fn may_be_given_up(&self, job: JobKey) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|(task, crashes)| task.step.job == job && *crashes >= MIN_CRASHES_TO_GIVE_UP)
    }

    /// Counts a start of a task that crashes its executor, and checks that there are not too many.
    pub(crate) fn check_crashing_start(&mut self, task: TaskKey, seed: u64) {
        let starts = self.crashing_starts.entry(task).or_default();
        *starts += 1;
        assert!(
            *starts <= MAX_CRASHING_STARTS,
            "seed {seed}: {task} was started {starts} times although it crashes executors"
        );
    }

    /// Checks a run that an executor has just started: the task is not done and does not run
    /// elsewhere, the steps that it depends on are done, and the executor has room.
    pub(crate) fn check_start(
        &mut self,
        now: u64,
        task: TaskKey,
        executor_index: usize,
        executors: &[Executor],
        capacity: Resources,
        seed: u64,
    ) {
        self.last_starts.insert(task, now);
        self.check_ends(task, seed);
        for (other, executor) in executors.iter().enumerate() {
            let is_up = executor.is_up && !executor.is_lease_expired(now);
            let runs_elsewhere =
                other != executor_index && is_up && executor.running.contains_key(&task);
            assert!(
                !runs_elsewhere,
                "seed {seed}: {task} runs on {executor_index} and on {other} at once"
            );
        }
        let job = &self.jobs[&task.step.job];
        for dependency in &job.steps[usize::from(task.step.step)].dependencies {
            let step = guavacart_jobs::StepKey {
                step: *dependency,
                ..task.step
            };
            let count = job.steps[usize::from(*dependency)].task_count;
            let all = (0..count).all(|index| self.done.contains(&step.task(index)));
            assert!(
                all,
                "seed {seed}: {task} started before step {dependency} was done"
            );
        }
        let size = |task: &TaskKey| {
            let job = &self.jobs[&task.step.job];
            job.steps[usize::from(task.step.step)].reserved()
        };
        let used = executors[executor_index].running.keys().map(size);
        let used = used.fold(Resources::default(), |sum, size| sum.plus(&size));
        assert!(
            used.fits_in(&capacity),
            "seed {seed}: executor {executor_index} runs tasks that reserve {used}, more than its capacity"
        );
    }
}
