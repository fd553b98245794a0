//! Messages between the owner of a cell and a worker.

use guavacart_types::{Attempt, BatchClass, Epoch, Resources, ServiceName, Span, TaskId, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Identifies one attempt of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// A command to a worker; repeating a command has no further effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerCommand {
    /// Run an attempt, unless the worker already knows it.
    Start {
        /// Attempt to run.
        id: AttemptId,
        /// Class of the task.
        class: BatchClass,
        /// Resources that the attempt may take.
        resources: Resources,
        /// Declared run time of the task.
        run_time: Span,
        /// Payload of the job, passed on unchanged.
        payload: SmolStr,
        /// Checkpoint from which the attempt resumes.
        checkpoint: Option<SmolStr>,
        /// How long the attempt may run without a renewal.
        lease: Span,
    },
    /// Stop an attempt and never start it again, even if it is not known yet.
    Stop {
        /// Attempt to stop.
        id: AttemptId,
        /// True to save a checkpoint first.
        checkpoint: bool,
    },
    /// Limit the speed of an attempt.
    Throttle {
        /// Attempt to throttle.
        id: AttemptId,
        /// Speed limit, in percent of full speed.
        percent: u32,
    },
    /// Forget an ended attempt.
    Acknowledge(AttemptId),
}

/// One call to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSync {
    /// Epoch under which the sender owns the cell.
    pub epoch: Epoch,
    /// Attempts whose leases are renewed.
    pub renew: Vec<AttemptId>,
    /// How long a renewed attempt may run from now on.
    pub lease: Span,
    /// Commands to carry out.
    pub commands: Vec<WorkerCommand>,
}

impl WorkerSync {
    /// True if the call may start an attempt or renew a lease.
    pub fn grants(&self) -> bool {
        let start = |c: &WorkerCommand| matches!(c, WorkerCommand::Start { .. });
        !self.renew.is_empty() || self.commands.iter().any(start)
    }
}

/// State of an attempt as reported by its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptState {
    /// The attempt is running.
    Running {
        /// Completed part of the task, in parts per million.
        progress_ppm: u32,
    },
    /// The attempt finished.
    Finished,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped.
    Stopped {
        /// Name of the saved checkpoint, if any.
        checkpoint: Option<SmolStr>,
    },
    /// The lease of the attempt expired and the worker stopped it.
    Lapsed,
    /// The worker did not accept the attempt.
    Refused,
}

/// Resource usage and latencies that were measured on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// Age of the measurement at the time of the worker's answer.
    pub age: Span,
    /// Attempts and the resources that they took.
    pub tasks: Vec<(AttemptId, Resources)>,
    /// Latencies of services on the worker.
    pub services: Vec<ServiceUsage>,
}

/// A service's latency on one worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: ServiceName,
    /// 99th percentile of the latency.
    pub p99: Span,
    /// Number of measured requests.
    pub samples: u32,
    /// Number of waiting requests.
    pub queued: u32,
}

/// A worker's answer to a [`WorkerSync`], or why there is none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkerAnswer {
    /// The worker carried out the call and holds these attempts.
    Report {
        /// Every attempt that is running or not yet acknowledged.
        attempts: Vec<(AttemptId, AttemptState)>,
        /// Measurements of resource usage and of service latencies.
        usage: Vec<UsageReport>,
    },
    /// The worker has seen this later epoch and ignored the call.
    Superseded(Epoch),
    /// The call did not reach the worker.
    NotSent,
    /// No complete answer arrived; the worker may have carried out the call.
    Unknown,
}

/// The answer of a worker to one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Worker that was called.
    pub worker: WorkerId,
    /// Identifies the call, as in [`super::BatchEffect::Sync`].
    pub sync: u64,
    /// The worker's answer, or why there is none.
    pub answer: WorkerAnswer,
}
