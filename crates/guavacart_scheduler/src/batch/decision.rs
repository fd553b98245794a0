//! Decisions about tasks with their reasons, for operators and submitters.

use std::fmt;

use guavacart_types::{Resources, TeamName, WorkerId};

use super::job::{AttemptEnd, StopReason};
use crate::interference::{self, Action};

/// The last decision about a task or a job in the queue.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It got a place.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// Workers of the cell that were looked at.
        candidates: usize,
    },
    /// No worker of the cell holds it now.
    WaitsForCapacity {
        /// The worker that is kept for it.
        reserved: Option<WorkerId>,
    },
    /// Its team holds as much as its quota allows in the cell.
    WaitsForQuota {
        /// The team.
        team: TeamName,
        /// The team's share in the cell.
        slice: Resources,
    },
    /// Other work goes first.
    WaitsForTurn,
    /// It is being stopped.
    Stopping {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: StopReason,
    },
    /// Something was done to it for a service on the same worker.
    Shared(Box<interference::Decision>),
    /// An attempt ended and it is tried again.
    Again {
        /// The worker of that attempt.
        worker: WorkerId,
        /// How it ended.
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
            Self::WaitsForQuota { team, slice } => {
                write!(
                    f,
                    "waits: team {team} holds its share of the quota here, {slice}"
                )
            }
            Self::WaitsForTurn => f.write_str("waits: other work goes first"),
            Self::Stopping { worker, reason } => {
                write!(f, "is being stopped on {worker}: {}", reason_text(*reason))
            }
            Self::Shared(decision) => {
                let interference::Decision { worker, why, .. } = decision.as_ref();
                match decision.action {
                    Action::Throttle { percent } => {
                        write!(f, "runs at {percent}% of its speed on {worker}: {why}")
                    }
                    Action::Move => write!(f, "is moved off {worker} from a checkpoint: {why}"),
                    Action::Stop => write!(f, "is stopped on {worker}: {why}"),
                }
            }
            Self::Again { worker, end } => {
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
        StopReason::Outgrown => "it takes more memory than declared and the worker has too little",
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
