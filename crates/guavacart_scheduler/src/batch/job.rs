//! Batch jobs, their tasks and the states of tasks.

use std::collections::BTreeMap;

use guavacart_types::{
    Attempt, BatchClass, CellId, Epoch, JobId, Resources, Span, TaskId, TeamName, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Greatest number of tasks of one job.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Greatest length of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 10;
/// Number of distinct workers on which a task fails before it is parked.
pub const MAX_FAILED_WORKERS: usize = 3;
/// Number of failed attempts after which a task is parked, even if they were on few workers.
pub const MAX_FAILURES: u32 = 6;
/// Number of ended jobs that a cell remembers; beyond it, the cell forgets the job that ended
/// first.
pub const MAX_ENDED_JOBS: usize = 5_000;

/// Priority of a job; lower values are placed first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// May displace tasks that are not urgent.
    Urgent,
    /// The default priority.
    #[default]
    Normal,
    /// Is placed only after all other work.
    Background,
}

/// The kind of location over which a job's tasks are spread, as evenly as free workers allow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Spreads tasks over racks.
    Rack,
    /// Spreads tasks over data centres.
    DataCentre,
}

/// A job as its submitter describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Id that the submitter chose; a repeated submission carries the same id.
    pub id: JobId,
    /// Team whose quota the job counts against.
    pub team: TeamName,
    /// Class of the tasks, which tells which shared resources they compete for.
    pub class: BatchClass,
    /// Resources of each task.
    pub resources: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared run time of a task.
    pub run_time: Span,
    /// Priority of the job.
    pub priority: Priority,
    /// Time after admission by which the job should have finished.
    pub deadline: Option<Span>,
    /// The kind of location over which the tasks are spread, if any.
    #[serde(default)]
    pub spread: Option<Spread>,
    /// Passed to the worker unchanged.
    pub payload: SmolStr,
}

/// Why a running task is asked to stop.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// Urgent work needs the resources of the task.
    Displaced,
    /// The task slows a service on the same worker.
    Interference,
    /// The worker is leaving.
    WorkerLeaving,
    /// The task takes more memory than declared, and the worker has too little.
    MemoryExceeded,
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The attempt finished and its result counts.
    Finished,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped, at a checkpoint if one could be saved.
    Stopped {
        /// Name of the saved checkpoint.
        checkpoint: Option<SmolStr>,
    },
    /// The lease of the attempt expired, or its worker no longer knows the attempt.
    Lapsed,
    /// The worker did not accept the attempt.
    Refused,
}

/// Why a task will not be tried again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// The task failed on [`MAX_FAILED_WORKERS`] distinct workers, listed here.
    FailedOn(Vec<WorkerId>),
    /// The task failed this many times.
    FailedTimes(u32),
}

/// State of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// The task waits for a worker.
    Queued,
    /// An attempt holds resources on a worker.
    Placed {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Why the attempt is asked to stop, once that is decided.
        stopping: Option<StopReason>,
    },
    /// The task finished.
    Finished,
    /// The job was cancelled before the task finished.
    Cancelled,
    /// The task failed too often and is not tried again.
    Parked(ParkReason),
    /// The task was sent to another cell.
    HandedOff {
        /// Cell that the task was sent to.
        to: CellId,
        /// True once the other cell has confirmed that it holds the task.
        acknowledged: bool,
    },
}

impl TaskState {
    /// True if the task will not run again.
    pub fn is_ended(&self) -> bool {
        match self {
            Self::Queued | Self::Placed { .. } | Self::HandedOff { .. } => false,
            Self::Finished | Self::Cancelled | Self::Parked(_) => true,
        }
    }
}

impl TaskState {
    /// True if a cell other than the job's origin cell keeps the task only until the origin cell
    /// has confirmed that it holds the task.
    pub(super) fn is_for_origin(&self) -> bool {
        self.is_ended() || matches!(self, Self::HandedOff { .. })
    }
}

/// A task and the results of its attempts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// State of the task.
    pub state: TaskState,
    /// The newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Checkpoint from which the next attempt resumes.
    pub checkpoint: Option<SmolStr>,
    /// Distinct workers on which the task failed.
    pub failed_on: Vec<WorkerId>,
    /// Number of failed attempts.
    pub failures: u32,
}

impl Default for Task {
    fn default() -> Self {
        Self {
            state: TaskState::Queued,
            attempt: Attempt(0),
            checkpoint: None,
            failed_on: Vec::new(),
            failures: 0,
        }
    }
}

/// A job and its tasks as one cell holds them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Position in the order of admission.
    pub order: u64,
    /// True once the job was cancelled.
    pub cancelled: bool,
    /// Position in the order in which jobs ended; `None` while a task waits, is placed or has been
    /// sent to another cell.
    pub ended: Option<u64>,
    /// Origin cell of the job, if that is another cell.
    pub origin: Option<Origin>,
    /// Tasks by index; only those held by this cell if the origin cell is another cell.
    pub tasks: BTreeMap<u32, Task>,
}

/// The origin cell of a job, which is the cell that the job was submitted to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Id of the origin cell.
    pub cell: CellId,
    /// Epoch under which the origin cell last sent tasks of the job here; an owner with an older
    /// epoch may not know of these tasks.
    pub epoch: Epoch,
}

impl Job {
    /// The id of the task at `index`.
    pub fn task_id(&self, index: u32) -> TaskId {
        let job = self.spec.id.clone();
        TaskId { job, index }
    }

    /// True if no task waits, is placed on a worker or has been sent to another cell.
    pub fn is_ended(&self) -> bool {
        self.tasks.values().all(|task| task.state.is_ended())
    }
}

impl std::fmt::Display for ParkReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::FailedOn(workers) => {
                f.write_str("parked: it failed on")?;
                for worker in workers {
                    write!(f, " {worker}")?;
                }
                Ok(())
            }
            Self::FailedTimes(times) => write!(f, "parked: it failed {times} times"),
        }
    }
}
