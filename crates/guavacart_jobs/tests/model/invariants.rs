//! Invariants that are checked at each start and each acknowledged end, whatever faults occur.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_jobs::{EndedRun, Job, JobKey, RunNumber, TaskKey};
use guavacart_types::Resources;

use crate::executor::Executor;

/// Record of what all executors have done, independent of what owners know.
#[derive(Default)]
pub(crate) struct Observer {
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    /// Tasks with a run that ended as done and was acknowledged before the lease expired.
    acknowledged_done: BTreeSet<TaskKey>,
    /// Tasks with a run that ended as done.
    done: BTreeSet<TaskKey>,
    failed: BTreeMap<TaskKey, BTreeSet<RunNumber>>,
}

impl Observer {
    pub(crate) fn record_done(&mut self, task: TaskKey) {
        self.done.insert(task);
    }

    /// Records ended runs that an owner acknowledged, and checks that no task fails more often than
    /// the queue's rules allow.
    pub(crate) fn record_acknowledged(&mut self, ends: &[(EndedRun, bool)], seed: u64) {
        for (end, is_expired) in ends {
            match end.outcome {
                guavacart_jobs::RunOutcome::Done if !is_expired => {
                    self.acknowledged_done.insert(end.task);
                }
                // An end is not counted if the lease expired before the acknowledgement.
                guavacart_jobs::RunOutcome::Failed if !is_expired => {
                    let failed = self.failed.entry(end.task).or_default();
                    failed.insert(end.run);
                    let max_failures = self.jobs[&end.task.step.job].rules.max_attempts as usize;
                    assert!(
                        failed.len() <= max_failures,
                        "seed {seed}: {} failed too often",
                        end.task
                    );
                }
                _ => {}
            }
        }
    }

    /// Checks a run that an executor has just started: the task is not done and does not run
    /// elsewhere, the steps that it depends on are done, and the executor has room.
    pub(crate) fn check_start(
        &self,
        task: TaskKey,
        executor_index: usize,
        executors: &[Executor],
        capacity: Resources,
        seed: u64,
    ) {
        assert!(
            !self.acknowledged_done.contains(&task),
            "seed {seed}: {task} started again after its end was acknowledged"
        );
        for (other, executor) in executors.iter().enumerate() {
            let runs_elsewhere =
                other != executor_index && executor.is_up && executor.running.contains_key(&task);
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
