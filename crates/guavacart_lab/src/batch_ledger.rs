//! Ledger of the attempts that stand-in workers ran, and counts of violations found in it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};

use guavacart_types::{Attempt, JobId, TaskId, WorkerId};
use serde::Serialize;
use smol_str::SmolStr;

use crate::{clock::now_us, sync::lock};

/// How an attempt ended on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskAttemptEnd {
    /// The task finished with its result.
    Finished,
    /// The task failed without a result.
    Failed,
    /// A command stopped the attempt.
    Stopped,
    /// The worker stopped the attempt because its lease had expired.
    Lapsed,
    /// The worker was killed.
    WorkerDied,
}

/// One attempt on one worker.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Worker that ran the attempt.
    pub worker: WorkerId,
    /// Start, in microseconds of the lab's clock.
    pub start_us: u64,
    /// Time in microseconds of the lab's clock and kind of the end; `None` while the attempt runs.
    pub end: Option<(u64, TaskAttemptEnd)>,
    /// Progress at the start, in parts per million.
    pub from_ppm: u32,
    /// Progress at the end, in parts per million.
    pub to_ppm: u32,
    /// Checkpoint from which the attempt started.
    pub checkpoint: Option<SmolStr>,
}

/// Totals of a batch ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct BatchCounts {
    /// Attempts that started.
    pub starts: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts that were stopped by command.
    pub evictions: u64,
    /// Attempts that workers stopped because the lease had expired.
    pub lapsed: u64,
    /// Work done more than once, in thousandths of a task.
    pub redone_milli_tasks: u64,
    /// Tasks that ran on two workers at once or finished more than once.
    pub double_run: u64,
    /// Commands to start an attempt beyond the worker's capacity.
    pub over_capacity: u64,
    /// Attempts that started after the cancellation of their job was confirmed.
    pub started_after_cancel: u64,
}

/// Ledger shared by all workers of a run.
#[derive(Clone, Debug, Default)]
pub struct BatchLedger {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    attempts: BTreeMap<TaskId, Vec<TaskAttempt>>,
    over_capacity: u64,
    cancelled_us: BTreeMap<JobId, u64>,
    checkpoints: BTreeMap<SmolStr, u32>,
}

impl BatchLedger {
    /// Records the start of an attempt.
    pub fn start(
        &self,
        task: &TaskId,
        attempt: Attempt,
        worker: &WorkerId,
        from_ppm: u32,
        checkpoint: Option<SmolStr>,
    ) {
        let task_attempt = TaskAttempt {
            attempt,
            worker: worker.clone(),
            start_us: now_us(),
            end: None,
            from_ppm,
            to_ppm: from_ppm,
            checkpoint,
        };
        lock(&self.inner)
            .attempts
            .entry(task.clone())
            .or_default()
            .push(task_attempt);
    }

    /// Records the end of an attempt on a worker.
    pub fn end(
        &self,
        task: &TaskId,
        attempt: Attempt,
        worker: &WorkerId,
        end: TaskAttemptEnd,
        to_ppm: u32,
    ) {
        let mut inner = lock(&self.inner);
        let attempts = inner
            .attempts
            .get_mut(task)
            .map_or(&mut [][..], Vec::as_mut_slice);
        let open =
            |a: &&mut TaskAttempt| a.end.is_none() && a.attempt == attempt && a.worker == *worker;
        if let Some(task_attempt) = attempts.iter_mut().find(open) {
            task_attempt.end = Some((now_us(), end));
            task_attempt.to_ppm = to_ppm;
        }
    }

    /// Counts a command to start an attempt beyond the worker's capacity.
    pub fn count_over_capacity(&self) {
        lock(&self.inner).over_capacity += 1;
    }

    /// Saves a checkpoint under `name`.
    pub fn save_checkpoint(&self, name: &str, progress_ppm: u32) {
        lock(&self.inner)
            .checkpoints
            .insert(name.into(), progress_ppm);
    }

    /// Returns the progress in a checkpoint, in parts per million.
    pub fn load_checkpoint(&self, name: &str) -> Option<u32> {
        lock(&self.inner).checkpoints.get(name).copied()
    }

    /// Records that the cancellation of a job was confirmed to its submitter.
    pub fn record_cancelled(&self, job: &JobId) {
        lock(&self.inner)
            .cancelled_us
            .entry(job.clone())
            .or_insert_with(now_us);
    }

    /// Returns the indices of the finished tasks of a job.
    pub fn finished_tasks(&self, job: &JobId) -> BTreeSet<u32> {
        let inner = lock(&self.inner);
        inner
            .attempts
            .iter()
            .filter(|(task, attempts)| {
                task.job == *job && attempts.iter().any(TaskAttempt::is_finished)
            })
            .map(|(task, _)| task.index)
            .collect()
    }

    /// Returns the attempts of every task.
    pub fn attempts(&self) -> BTreeMap<TaskId, Vec<TaskAttempt>> {
        lock(&self.inner).attempts.clone()
    }

    /// Returns the tasks that ran on two workers at once or finished more than once, with their
    /// attempts.
    pub fn duplicated_tasks(&self) -> BTreeMap<TaskId, Vec<TaskAttempt>> {
        let mut attempts = self.attempts();
        attempts.retain(|_, attempts| is_duplicated(attempts));
        attempts
    }

    /// Returns the totals of all attempts so far.
    pub fn counts(&self) -> BatchCounts {
        let inner = lock(&self.inner);
        let mut counts = BatchCounts {
            over_capacity: inner.over_capacity,
            ..BatchCounts::default()
        };
        for (task, attempts) in &inner.attempts {
            counts.add_task(attempts, inner.cancelled_us.get(&task.job).copied());
        }
        counts
    }
}

impl TaskAttempt {
    fn is_finished(&self) -> bool {
        matches!(self.end, Some((_, TaskAttemptEnd::Finished)))
    }

    fn end_us(&self) -> u64 {
        self.end.map_or(u64::MAX, |(at, _)| at)
    }

    fn overlaps(&self, other: &Self) -> bool {
        self.start_us < other.end_us() && other.start_us < self.end_us()
    }
}

impl BatchCounts {
    fn add_task(&mut self, attempts: &[TaskAttempt], cancelled_us: Option<u64>) {
        self.starts += attempts.len() as u64;
        let count_ended = |wanted| {
            let has_ended = |a: &&TaskAttempt| matches!(a.end, Some((_, end)) if end == wanted);
            attempts.iter().filter(has_ended).count() as u64
        };
        let finishes = count_ended(TaskAttemptEnd::Finished);
        self.finished += finishes.min(1);
        self.failed += count_ended(TaskAttemptEnd::Failed);
        self.evictions += count_ended(TaskAttemptEnd::Stopped);
        self.lapsed += count_ended(TaskAttemptEnd::Lapsed);
        self.double_run += u64::from(is_duplicated(attempts));
        let done: u64 = attempts
            .iter()
            .map(|a| u64::from(a.to_ppm.saturating_sub(a.from_ppm)))
            .sum();
        self.redone_milli_tasks += done.saturating_sub(1_000_000) / 1_000;
        let is_late = |a: &&TaskAttempt| cancelled_us.is_some_and(|at| a.start_us > at);
        self.started_after_cancel += attempts.iter().filter(is_late).count() as u64;
    }
}

fn is_duplicated(attempts: &[TaskAttempt]) -> bool {
    attempts.iter().filter(|a| a.is_finished()).count() > 1 || any_overlap(attempts)
}

fn any_overlap(attempts: &[TaskAttempt]) -> bool {
    let pairs = attempts.iter().enumerate();
    pairs
        .into_iter()
        .any(|(i, a)| attempts[i + 1..].iter().any(|b| a.overlaps(b)))
}
