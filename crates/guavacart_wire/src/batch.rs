//! Messages about batch work between entry instances: a version byte, then the payload.

mod handoff;

use guavacart_scheduler::batch::{
    PeerBatch,
    call::{
        JobCall, JobReply, JobStatus, JobSummary, NotAccepted, RejectReason, TaskCounts, TaskStatus,
    },
};
use guavacart_types::{Attempt, CallId, CellId, JobId, Resources, TeamName, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use self::handoff::{FreeCapacityWire, HandOffWire};
use crate::{
    VERSION, WireError,
    journal::{JobSpecWire, PriorityWire},
};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum PeerBatchWire {
    Call(u64, CellId, JobCallWire),
    Reply(u64, JobReplyWire),
    FreeCapacity(CellId, FreeCapacityWire),
    HandOff(CellId, HandOffWire),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum JobCallWire {
    Submit(JobSpecWire),
    Query(JobId),
    Cancel(Vec<JobId>),
    List(Option<TeamName>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum JobReplyWire {
    Accepted(JobSummaryWire),
    Conflict(JobId),
    Rejected(RejectReasonWire),
    NotAccepted(NotAcceptedWire),
    Unknown,
    Status(JobSummaryWire, CellId, Vec<TaskStatusWire>),
    NotFound(JobId),
    Cancelled(Vec<JobSummaryWire>),
    Listing(Vec<JobSummaryWire>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct JobSummaryWire {
    id: JobId,
    team: TeamName,
    priority: PriorityWire,
    cancelled: bool,
    /// Tasks that are queued, placed, finished, cancelled, parked and held by other cells, in this
    /// order.
    counts: [u32; 6],
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct TaskStatusWire {
    index: u32,
    attempt: u32,
    worker: Option<WorkerId>,
    decision: SmolStr,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum RejectReasonWire {
    Tasks(u32),
    Payload(u32),
    TooLarge(Resources),
    OverQuota(Resources),
    UnknownTeam,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum NotAcceptedWire {
    StoreUnavailable,
    NoOwner,
    CellFull,
    CellStopped,
    NoCells,
    HeldElsewhere,
}

/// Encodes a message about batch work.
///
/// Entry instances send it to each other as [`crate::Frame::Batch`].
///
/// # Errors
/// Returns [`WireError::Payload`] if the message cannot be encoded.
pub fn encode_peer_batch(message: PeerBatch) -> Result<Vec<u8>, WireError> {
    let wire = PeerBatchWire::from(message);
    Ok(postcard::to_extend(&wire, vec![VERSION])?)
}

/// Decodes a message about batch work.
///
/// # Errors
/// Returns [`WireError::Short`] for an empty message, [`WireError::Version`] for another version and
/// [`WireError::Payload`] if the payload cannot be decoded.
pub fn decode_peer_batch(message: &[u8]) -> Result<PeerBatch, WireError> {
    let Some((&found, payload)) = message.split_first() else {
        return Err(WireError::Short { len: 0 });
    };
    if found != VERSION {
        let expected = VERSION;
        return Err(WireError::Version { found, expected });
    }
    let wire: PeerBatchWire = postcard::from_bytes(payload)?;
    Ok(wire.into())
}

impl From<PeerBatch> for PeerBatchWire {
    fn from(message: PeerBatch) -> Self {
        match message {
            PeerBatch::Call {
                call,
                cell,
                request,
            } => Self::Call(call.0, cell, request.into()),
            PeerBatch::Reply { call, reply } => Self::Reply(call.0, reply.into()),
            PeerBatch::FreeCapacity {
                cell,
                free_capacity,
            } => Self::FreeCapacity(cell, free_capacity.into()),
            PeerBatch::HandOff { cell, message } => Self::HandOff(cell, message.into()),
        }
    }
}

impl From<PeerBatchWire> for PeerBatch {
    fn from(wire: PeerBatchWire) -> Self {
        match wire {
            PeerBatchWire::Call(call, cell, request) => Self::Call {
                call: CallId(call),
                cell,
                request: request.into(),
            },
            PeerBatchWire::Reply(call, reply) => Self::Reply {
                call: CallId(call),
                reply: reply.into(),
            },
            PeerBatchWire::FreeCapacity(cell, free_capacity) => Self::FreeCapacity {
                cell,
                free_capacity: free_capacity.into(),
            },
            PeerBatchWire::HandOff(cell, message) => Self::HandOff {
                cell,
                message: message.into(),
            },
        }
    }
}

impl From<JobCall> for JobCallWire {
    fn from(call: JobCall) -> Self {
        match call {
            JobCall::Submit(spec) => Self::Submit((*spec).into()),
            JobCall::Query(job) => Self::Query(job),
            JobCall::Cancel(jobs) => Self::Cancel(jobs),
            JobCall::List(team) => Self::List(team),
        }
    }
}

impl From<JobCallWire> for JobCall {
    fn from(wire: JobCallWire) -> Self {
        match wire {
            JobCallWire::Submit(spec) => Self::Submit(Box::new(spec.into())),
            JobCallWire::Query(job) => Self::Query(job),
            JobCallWire::Cancel(jobs) => Self::Cancel(jobs),
            JobCallWire::List(team) => Self::List(team),
        }
    }
}

impl From<JobReply> for JobReplyWire {
    fn from(reply: JobReply) -> Self {
        match reply {
            JobReply::Accepted(summary) => Self::Accepted(summary.into()),
            JobReply::Conflict(job) => Self::Conflict(job),
            JobReply::Rejected(reason) => Self::Rejected(reason.into()),
            JobReply::NotAccepted(reason) => Self::NotAccepted(reason.into()),
            JobReply::Unknown => Self::Unknown,
            JobReply::Status(status) => {
                let tasks = status.tasks.into_iter().map(TaskStatusWire::from);
                Self::Status(status.summary.into(), status.cell, tasks.collect())
            }
            JobReply::NotFound(job) => Self::NotFound(job),
            JobReply::Cancelled(jobs) => Self::Cancelled(summaries_to_wire(jobs)),
            JobReply::Listing(jobs) => Self::Listing(summaries_to_wire(jobs)),
        }
    }
}

impl From<JobReplyWire> for JobReply {
    fn from(wire: JobReplyWire) -> Self {
        match wire {
            JobReplyWire::Accepted(summary) => Self::Accepted(summary.into()),
            JobReplyWire::Conflict(job) => Self::Conflict(job),
            JobReplyWire::Rejected(reason) => Self::Rejected(reason.into()),
            JobReplyWire::NotAccepted(reason) => Self::NotAccepted(reason.into()),
            JobReplyWire::Unknown => Self::Unknown,
            JobReplyWire::Status(summary, cell, tasks) => Self::Status(Box::new(JobStatus {
                summary: summary.into(),
                cell,
                tasks: tasks.into_iter().map(TaskStatus::from).collect(),
            })),
            JobReplyWire::NotFound(job) => Self::NotFound(job),
            JobReplyWire::Cancelled(jobs) => Self::Cancelled(summaries_from_wire(jobs)),
            JobReplyWire::Listing(jobs) => Self::Listing(summaries_from_wire(jobs)),
        }
    }
}

fn summaries_to_wire(jobs: Vec<JobSummary>) -> Vec<JobSummaryWire> {
    jobs.into_iter().map(JobSummaryWire::from).collect()
}

fn summaries_from_wire(jobs: Vec<JobSummaryWire>) -> Vec<JobSummary> {
    jobs.into_iter().map(JobSummary::from).collect()
}

impl From<JobSummary> for JobSummaryWire {
    fn from(summary: JobSummary) -> Self {
        let counts = summary.counts;
        Self {
            id: summary.id,
            team: summary.team,
            priority: summary.priority.into(),
            cancelled: summary.cancelled,
            counts: [
                counts.queued,
                counts.placed,
                counts.finished,
                counts.cancelled,
                counts.parked,
                counts.elsewhere,
            ],
        }
    }
}

impl From<JobSummaryWire> for JobSummary {
    fn from(wire: JobSummaryWire) -> Self {
        let [queued, placed, finished, cancelled, parked, elsewhere] = wire.counts;
        Self {
            id: wire.id,
            team: wire.team,
            priority: wire.priority.into(),
            cancelled: wire.cancelled,
            counts: TaskCounts {
                queued,
                placed,
                finished,
                cancelled,
                parked,
                elsewhere,
            },
        }
    }
}

impl From<TaskStatus> for TaskStatusWire {
    fn from(status: TaskStatus) -> Self {
        Self {
            index: status.index,
            attempt: status.attempt.0,
            worker: status.worker,
            decision: status.decision,
        }
    }
}

impl From<TaskStatusWire> for TaskStatus {
    fn from(wire: TaskStatusWire) -> Self {
        Self {
            index: wire.index,
            attempt: Attempt(wire.attempt),
            worker: wire.worker,
            decision: wire.decision,
        }
    }
}

impl From<RejectReason> for RejectReasonWire {
    fn from(reason: RejectReason) -> Self {
        match reason {
            RejectReason::Tasks { limit } => Self::Tasks(limit),
            RejectReason::Payload { limit } => Self::Payload(limit),
            RejectReason::TooLarge { largest } => Self::TooLarge(largest),
            RejectReason::OverQuota { quota } => Self::OverQuota(quota),
            RejectReason::UnknownTeam => Self::UnknownTeam,
        }
    }
}

impl From<RejectReasonWire> for RejectReason {
    fn from(wire: RejectReasonWire) -> Self {
        match wire {
            RejectReasonWire::Tasks(limit) => Self::Tasks { limit },
            RejectReasonWire::Payload(limit) => Self::Payload { limit },
            RejectReasonWire::TooLarge(largest) => Self::TooLarge { largest },
            RejectReasonWire::OverQuota(quota) => Self::OverQuota { quota },
            RejectReasonWire::UnknownTeam => Self::UnknownTeam,
        }
    }
}

impl From<NotAccepted> for NotAcceptedWire {
    fn from(reason: NotAccepted) -> Self {
        match reason {
            NotAccepted::StoreUnavailable => Self::StoreUnavailable,
            NotAccepted::NoOwner => Self::NoOwner,
            NotAccepted::CellFull => Self::CellFull,
            NotAccepted::CellStopped => Self::CellStopped,
            NotAccepted::NoCells => Self::NoCells,
            NotAccepted::HeldElsewhere => Self::HeldElsewhere,
        }
    }
}

impl From<NotAcceptedWire> for NotAccepted {
    fn from(wire: NotAcceptedWire) -> Self {
        match wire {
            NotAcceptedWire::StoreUnavailable => Self::StoreUnavailable,
            NotAcceptedWire::NoOwner => Self::NoOwner,
            NotAcceptedWire::CellFull => Self::CellFull,
            NotAcceptedWire::CellStopped => Self::CellStopped,
            NotAcceptedWire::NoCells => Self::NoCells,
            NotAcceptedWire::HeldElsewhere => Self::HeldElsewhere,
        }
    }
}
