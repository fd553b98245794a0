//! Decisions about tasks with their reasons, for operators and submitters.

use std::fmt;

use guavacart_types::{Resources, TeamName, WorkerId};

use super::job::{AttemptEnd, StopReason};
use crate::interference::{self, Action};

/// The last decision about a task or a queued job.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The task was placed on a worker.
    Placed {
        /// Worker that was chosen.
        worker: WorkerId,
        /// Number of workers of the cell that were compared.
        candidates: usize,
    },
    /// No worker of the cell has room for the task now.
    WaitsForCapacity {
        /// Worker that is reserved for the task.
        reserved: Option<WorkerId>,
    },
    /// The team uses all of its quota share in the cell.
    WaitsForQuota {
        /// Team that the job belongs to.
        team: TeamName,
        /// The team's share in the cell.
        limit: Resources,
    },
    /// Other tasks are placed first.
    WaitsForOthers,
    /// The attempt is being stopped.
    Stopping {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Why the attempt is stopped.
        reason: StopReason,
    },
    /// The attempt was throttled, moved or stopped to protect a service on the same worker.
    Colocation(Box<interference::Decision>),
    /// An attempt ended without success and the task will be tried again.
    Retrying {
        /// Worker of that attempt.
        worker: WorkerId,
        /// How that attempt ended.
        end: AttemptEnd,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Placed { worker, candidates } => write!(
                f,
                "placed on {worker}, the least costly and least loaded of {candidates} workers"
            ),
            Self::WaitsForCapacity { reserved: None } => {
                f.write_str("waits: no worker of the cell has room for it now")
            }
            Self::WaitsForCapacity {
                reserved: Some(worker),
            } => write!(f, "waits: room on {worker} is kept for it"),
            Self::WaitsForQuota { team, limit } => {
                write!(
                    f,
                    "waits: team {team} holds its share of the quota here, {limit}"
                )
            }
            Self::WaitsForOthers => f.write_str("waits: other work goes first"),
            Self::Stopping { worker, reason } => {
                write!(f, "is being stopped on {worker}: {}", reason_text(*reason))
            }
            Self::Colocation(decision) => {
                let interference::Decision { worker, why, .. } = decision.as_ref();
                match decision.action {
                    Action::Throttle { percent } => {
                        write!(f, "runs at {percent}% of its speed on {worker}: {why}")
                    }
                    Action::Move => write!(f, "is moved off {worker} from a checkpoint: {why}"),
                    Action::Stop => write!(f, "is stopped on {worker}: {why}"),
                }
            }
            Self::Retrying { worker, end } => {
                write!(f, "is tried again: on {worker} it {}", end_text(end))
            }
        }
    }
}

fn reason_text(reason: StopReason) -> &'static str {
    match reason {
        StopReason::Cancelled => "its job was cancelled",
        StopReason::Displaced => "urgent work needs its place",
        StopReason::Interference => "it slows a service there",
        StopReason::WorkerLeaving => "the worker leaves",
        StopReason::MemoryExceeded => {
            "it takes more memory than declared and the worker has too little"
        }
    }
}

fn end_text(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Finished => "finished",
        AttemptEnd::Failed => "failed",
        AttemptEnd::Stopped { .. } => "was stopped",
        AttemptEnd::Lapsed => "lost its lease",
        AttemptEnd::Refused => "was refused",
    }
}
