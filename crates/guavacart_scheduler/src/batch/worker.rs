//! What a cell's owner and a worker tell each other.

use guavacart_types::{Attempt, BatchClass, Epoch, Resources, ServiceName, Span, TaskId, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One attempt of one task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Which attempt of it.
    pub attempt: Attempt,
}

/// Something that a worker is told to do; repeating one changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerCommand {
    /// Run an attempt unless it is already known.
    Start {
        /// The attempt.
        id: AttemptId,
        /// Its class.
        class: BatchClass,
        /// What it may take.
        resources: Resources,
        /// The declared run time.
        run_time: Span,
        /// Passed on from the job.
        payload: SmolStr,
        /// Where it resumes.
        checkpoint: Option<SmolStr>,
        /// How long it may run without a renewal.
        lease: Span,
    },
    /// Stop an attempt and never start it again, also if it is not known yet.
    Stop {
        /// The attempt.
        id: AttemptId,
        /// True to save a checkpoint first.
        checkpoint: bool,
    },
    /// Let an attempt run at this share of its speed.
    Throttle {
        /// The attempt.
        id: AttemptId,
        /// The share, in percent.
        percent: u32,
    },
    /// Forget an ended attempt.
    Acknowledge(AttemptId),
}

/// One call to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSync {
    /// The epoch of the sender's ownership.
    pub epoch: Epoch,
    /// Attempts whose leases are renewed.
    pub renew: Vec<AttemptId>,
    /// How long a renewed attempt may run.
    pub lease: Span,
    /// What to do.
    pub commands: Vec<WorkerCommand>,
}

impl WorkerSync {
    /// True if the call may start an attempt or lengthen a lease.
    pub fn grants(&self) -> bool {
        let start = |c: &WorkerCommand| matches!(c, WorkerCommand::Start { .. });
        !self.renew.is_empty() || self.commands.iter().any(start)
    }
}

/// What a worker says of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptState {
    /// It runs.
    Running {
        /// How much of it is done, in parts per million.
        progress_ppm: u32,
    },
    /// It finished.
    Finished,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped {
        /// The checkpoint saved, if any.
        checkpoint: Option<SmolStr>,
    },
    /// Its lease lapsed and the worker stopped it.
    Lapsed,
    /// The worker did not take it.
    Refused,
}

/// What was measured on a worker some time ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// Age of the measurement when the worker answered.
    pub age: Span,
    /// Tasks and what they took.
    pub tasks: Vec<(AttemptId, Resources)>,
    /// Services on the worker.
    pub services: Vec<ServiceUsage>,
}

/// A service's latency on one worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceName,
    /// 99th percentile of its latency.
    pub p99: Span,
    /// Requests measured.
    pub samples: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// A worker's answer to a sync.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkerAnswer {
    /// The worker took the call and holds these attempts.
    Report {
        /// Every attempt that is running or not acknowledged.
        attempts: Vec<(AttemptId, AttemptState)>,
        /// What was measured.
        usage: Vec<UsageReport>,
    },
    /// The worker has seen a later epoch and did nothing.
    Deposed(Epoch),
    /// The call did not reach the worker.
    NotSent,
    /// No whole answer came; the worker may have taken the call.
    Unknown,
}

/// Who answered what.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The count of the call that this answers.
    pub sync: u64,
    /// Its answer.
    pub answer: WorkerAnswer,
}
