//! Batch jobs, their tasks and what became of them.

use std::collections::BTreeMap;

use guavacart_types::{
    Attempt, BatchClass, CellId, Epoch, JobId, Resources, Span, TaskId, TeamName, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most tasks of one job.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Most bytes of a job's payload.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 10;
/// Distinct workers on which a task may fail before it is parked.
pub const MAX_FAILED_WORKERS: usize = 3;
/// Failed attempts after which a task is parked, also when all were on few workers.
pub const MAX_FAILURES: u32 = 6;
/// Ended jobs that a cell remembers; the one that ended first is forgotten beyond that.
pub const MAX_ENDED_JOBS: usize = 5_000;

/// How urgent a job is; an earlier one goes first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// May displace work that is not urgent.
    Urgent,
    /// Usual work.
    #[default]
    Normal,
    /// Work that waits for all other.
    Background,
}

/// What a job's tasks are spread over, as evenly as free workers allow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Racks.
    Rack,
    /// Data centres.
    DataCentre,
}

/// A job as submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The submitter's own id; a repeat carries the same one.
    pub id: JobId,
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// What its tasks press on.
    pub class: BatchClass,
    /// What each task takes.
    pub resources: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared run time of a task.
    pub run_time: Span,
    /// How urgent it is.
    pub priority: Priority,
    /// Time from admission by which it should be done.
    pub deadline: Option<Span>,
    /// Over what its tasks are spread.
    #[serde(default)]
    pub spread: Option<Spread>,
    /// Passed to the worker as it is.
    pub payload: SmolStr,
}

/// Why a running task is asked to stop.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Urgent work needs its place.
    Displaced,
    /// It slows a service on the same worker.
    Interference,
    /// Its worker leaves.
    WorkerLeaving,
    /// It takes more memory than it declared, and its worker has too little.
    Outgrown,
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// It finished; its result counts.
    Finished,
    /// It failed.
    Failed,
    /// It was stopped, at a checkpoint if one could be saved.
    Stopped {
        /// Name of the checkpoint.
        checkpoint: Option<SmolStr>,
    },
    /// Its lease lapsed or its worker no longer knows it.
    Lapsed,
    /// The worker did not take it.
    Refused,
}

/// Why a task will not be tried again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// It failed on several distinct workers.
    FailedOn(Vec<WorkerId>),
    /// It failed too often.
    FailedTimes(u32),
}

/// Where a task stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// It waits for a place.
    Queued,
    /// An attempt holds resources on a worker.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// Set once the attempt is asked to stop.
        stopping: Option<StopReason>,
    },
    /// It finished.
    Finished,
    /// Its job was cancelled before it finished.
    Cancelled,
    /// It failed too often.
    Parked(ParkReason),
    /// It was handed to another cell.
    HandedOff {
        /// The cell that it went to.
        to: CellId,
        /// True once that cell holds it.
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
    /// True if a cell that is not the job's home holds the task only until the home takes it.
    pub(super) fn is_for_home(&self) -> bool {
        self.is_ended() || matches!(self, Self::HandedOff { .. })
    }
}

/// A task and its history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// The newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Where the next attempt resumes.
    pub checkpoint: Option<SmolStr>,
    /// Distinct workers on which it failed.
    pub failed_on: Vec<WorkerId>,
    /// Failed attempts.
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
    /// What was submitted.
    pub spec: JobSpec,
    /// Place in the order of admission.
    pub order: u64,
    /// True once it was cancelled.
    pub cancelled: bool,
    /// Place in the order of ending, once no task waits or holds a place.
    pub ended: Option<u64>,
    /// The cell that it was submitted to, if that is another one.
    pub home: Option<Home>,
    /// Its tasks by index; those that are here, if its home is another cell.
    pub tasks: BTreeMap<u32, Task>,
}

/// The cell that a job was submitted to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Home {
    /// The cell.
    pub cell: CellId,
    /// The epoch under which it last sent tasks of the job; an older owner may not know of them.
    pub epoch: Epoch,
}

impl Job {
    /// The id of the task at `index`.
    pub fn task_id(&self, index: u32) -> TaskId {
        let job = self.spec.id.clone();
        TaskId { job, index }
    }

    /// True if no task waits, holds a place or is on its way to another cell.
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
