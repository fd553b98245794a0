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
pub enum RunEnd {
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
pub struct Run {
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Worker that ran the attempt.
    pub worker: WorkerId,
    /// Start, in microseconds of the lab's clock.
    pub start_us: u64,
    /// Time in microseconds of the lab's clock and kind of the end; `None` while the attempt runs.
    pub end: Option<(u64, RunEnd)>,
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
    runs: BTreeMap<TaskId, Vec<Run>>,
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
        let run = Run {
            attempt,
            worker: worker.clone(),
            start_us: now_us(),
            end: None,
            from_ppm,
            to_ppm: from_ppm,
            checkpoint,
        };
        lock(&self.inner)
            .runs
            .entry(task.clone())
            .or_default()
            .push(run);
    }

    /// Records the end of an attempt on a worker.
    pub fn end(
        &self,
        task: &TaskId,
        attempt: Attempt,
        worker: &WorkerId,
        end: RunEnd,
        to_ppm: u32,
    ) {
        let mut inner = lock(&self.inner);
        let runs = inner
            .runs
            .get_mut(task)
            .map_or(&mut [][..], Vec::as_mut_slice);
        let open =
            |run: &&mut Run| run.end.is_none() && run.attempt == attempt && run.worker == *worker;
        if let Some(run) = runs.iter_mut().find(open) {
            run.end = Some((now_us(), end));
            run.to_ppm = to_ppm;
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
            .runs
            .iter()
            .filter(|(task, runs)| task.job == *job && runs.iter().any(Run::is_finished))
            .map(|(task, _)| task.index)
            .collect()
    }

    /// Returns the runs of every task.
    pub fn runs(&self) -> BTreeMap<TaskId, Vec<Run>> {
        lock(&self.inner).runs.clone()
    }

    /// Returns the tasks that ran on two workers at once or finished more than once, with their
    /// runs.
    pub fn doubled(&self) -> BTreeMap<TaskId, Vec<Run>> {
        let mut runs = self.runs();
        runs.retain(|_, runs| is_double_run(runs));
        runs
    }

    /// Returns the totals of all runs so far.
    pub fn counts(&self) -> BatchCounts {
        let inner = lock(&self.inner);
        let mut counts = BatchCounts {
            over_capacity: inner.over_capacity,
            ..BatchCounts::default()
        };
        for (task, runs) in &inner.runs {
            counts.add_task(runs, inner.cancelled_us.get(&task.job).copied());
        }
        counts
    }
}

impl Run {
    fn is_finished(&self) -> bool {
        matches!(self.end, Some((_, RunEnd::Finished)))
    }

    fn end_us(&self) -> u64 {
        self.end.map_or(u64::MAX, |(at, _)| at)
    }

    fn overlaps(&self, other: &Self) -> bool {
        self.start_us < other.end_us() && other.start_us < self.end_us()
    }
}

impl BatchCounts {
    fn add_task(&mut self, runs: &[Run], cancelled_us: Option<u64>) {
        self.starts += runs.len() as u64;
        let count_ended = |wanted| {
            let has_ended = |run: &&Run| matches!(run.end, Some((_, end)) if end == wanted);
            runs.iter().filter(has_ended).count() as u64
        };
        let finishes = count_ended(RunEnd::Finished);
        self.finished += finishes.min(1);
        self.failed += count_ended(RunEnd::Failed);
        self.evictions += count_ended(RunEnd::Stopped);
        self.lapsed += count_ended(RunEnd::Lapsed);
        self.double_run += u64::from(is_double_run(runs));
        let done: u64 = runs
            .iter()
            .map(|r| u64::from(r.to_ppm.saturating_sub(r.from_ppm)))
            .sum();
        self.redone_milli_tasks += done.saturating_sub(1_000_000) / 1_000;
        let is_late = |run: &&Run| cancelled_us.is_some_and(|at| run.start_us > at);
        self.started_after_cancel += runs.iter().filter(is_late).count() as u64;
    }
}

fn is_double_run(runs: &[Run]) -> bool {
    runs.iter().filter(|run| run.is_finished()).count() > 1 || any_overlap(runs)
}

fn any_overlap(runs: &[Run]) -> bool {
    let pairs = runs.iter().enumerate();
    pairs
        .into_iter()
        .any(|(i, a)| runs[i + 1..].iter().any(|b| a.overlaps(b)))
}
