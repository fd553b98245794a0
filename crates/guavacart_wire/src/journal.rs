//! The stored form of journal records and snapshots: a version byte, then the payload.

mod job;
mod share;

use guavacart_scheduler::batch::journal::{Change, JournalError, Received, Record, Snapshot};
use guavacart_types::{Attempt, CellId, Epoch, JobId, TaskId, TeamName, WorkerId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::format_smolstr;

use self::job::{AttemptEndWire, JobWire, StopReasonWire};
pub(crate) use self::job::{
    JobSpecWire, OriginWire, PriorityWire, TaskWire, tasks_from_wire, tasks_to_wire,
};
pub(crate) use self::share::ShareWire;
use self::share::{granted_from_wire, granted_to_wire};
use crate::{WireError, heartbeat::MemberWire};

/// Version of journal records and snapshots.
const JOURNAL_VERSION: u8 = 2;

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct TaskIdWire {
    job: JobId,
    index: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum ChangeWire {
    TakenOver(u64),
    Admitted(JobSpecWire),
    Cancelled(JobId),
    Placed(TaskIdWire, u32, WorkerId),
    Stopping(TaskIdWire, u32, StopReasonWire),
    Ended(TaskIdWire, u32, AttemptEndWire),
    /// The task, its attempt and the receiving cell.
    Sent(TaskIdWire, u32, CellId),
    /// The job, the cell it was submitted to, whether it is cancelled, and the received tasks.
    Received(JobSpecWire, OriginWire, bool, Vec<(u32, TaskWire)>),
    Returned(JobId, Vec<(u32, TaskWire)>),
    Acknowledged(TaskIdWire, u32),
    Granted(TeamName, CellId, ShareWire),
    Allowed(TeamName, ShareWire),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RecordWire {
    writer: MemberWire,
    sequence: u64,
    changes: Vec<ChangeWire>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct SnapshotWire {
    through: u64,
    epoch: u64,
    next_order: u64,
    next_ended: u64,
    jobs: Vec<JobWire>,
    failing: Vec<(WorkerId, u32)>,
    granted: Vec<(TeamName, CellId, ShareWire)>,
    allowed: Vec<(TeamName, ShareWire)>,
}

/// The value at the key of a snapshot: the encoded snapshot itself, or the number of its parts.
///
/// A snapshot that is too large for one value of the store is divided into parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Number of the last record that the snapshot includes.
    pub through: u64,
    /// Number of parts, each under a key of its own; 0 if `inline` holds the snapshot.
    pub parts: u32,
    /// The encoded snapshot if it fits into one value, else empty.
    pub inline: Vec<u8>,
}

/// Encodes a journal record.
///
/// # Errors
/// Returns [`WireError::Payload`] if the record cannot be encoded.
pub fn encode_record(record: Record) -> Result<Vec<u8>, WireError> {
    encode(&RecordWire::from(record))
}

/// Decodes the value of the journal record at `key`.
///
/// # Errors
/// Returns [`JournalError::Damaged`] or [`JournalError::UnknownVersion`], which name the key.
pub fn decode_record(key: &str, value: &[u8]) -> Result<Record, JournalError> {
    let wire: RecordWire = decode(key, value)?;
    Ok(wire.into())
}

/// Encodes a snapshot.
///
/// # Errors
/// Returns [`WireError::Payload`] if the snapshot cannot be encoded.
pub fn encode_snapshot(snapshot: Snapshot) -> Result<Vec<u8>, WireError> {
    encode(&SnapshotWire::from(snapshot))
}

/// Decodes the snapshot whose manifest is stored at `key`.
///
/// # Errors
/// Returns [`JournalError::Damaged`] or [`JournalError::UnknownVersion`], which name the key.
pub fn decode_snapshot(key: &str, value: &[u8]) -> Result<Snapshot, JournalError> {
    let wire: SnapshotWire = decode(key, value)?;
    Ok(wire.into())
}

/// Encodes a snapshot's manifest.
///
/// # Errors
/// Returns [`WireError::Payload`] if the manifest cannot be encoded.
pub fn encode_manifest(manifest: &Manifest) -> Result<Vec<u8>, WireError> {
    encode(manifest)
}

/// Decodes the value of the manifest at `key`.
///
/// # Errors
/// Returns [`JournalError::Damaged`] or [`JournalError::UnknownVersion`], which name the key.
pub fn decode_manifest(key: &str, value: &[u8]) -> Result<Manifest, JournalError> {
    decode(key, value)
}

fn encode<T: Serialize>(wire: &T) -> Result<Vec<u8>, WireError> {
    Ok(postcard::to_extend(wire, vec![JOURNAL_VERSION])?)
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, JournalError> {
    let damaged = |cause| JournalError::Damaged {
        key: key.into(),
        cause,
    };
    let Some((&version, payload)) = value.split_first() else {
        return Err(damaged("the value is empty".into()));
    };
    if version != JOURNAL_VERSION {
        return Err(JournalError::UnknownVersion {
            key: key.into(),
            version: u32::from(version),
        });
    }
    let decoded = postcard::take_from_bytes(payload);
    let (wire, rest) = decoded.map_err(|err| damaged(format_smolstr!("{err}")))?;
    if !rest.is_empty() {
        return Err(damaged(format_smolstr!(
            "{} extra bytes after the payload",
            rest.len()
        )));
    }
    Ok(wire)
}

impl From<TaskId> for TaskIdWire {
    fn from(id: TaskId) -> Self {
        let TaskId { job, index } = id;
        Self { job, index }
    }
}

impl From<TaskIdWire> for TaskId {
    fn from(wire: TaskIdWire) -> Self {
        let TaskIdWire { job, index } = wire;
        Self { job, index }
    }
}

impl From<Change> for ChangeWire {
    fn from(change: Change) -> Self {
        match change {
            Change::TakenOver(epoch) => Self::TakenOver(epoch.0),
            Change::Admitted(spec) => Self::Admitted((*spec).into()),
            Change::Cancelled(job) => Self::Cancelled(job),
            Change::Placed {
                task,
                attempt,
                worker,
            } => Self::Placed(task.into(), attempt.0, worker),
            Change::Stopping {
                task,
                attempt,
                reason,
            } => Self::Stopping(task.into(), attempt.0, reason.into()),
            Change::Ended { task, attempt, end } => Self::Ended(task.into(), attempt.0, end.into()),
            Change::Sent { task, attempt, to } => Self::Sent(task.into(), attempt.0, to),
            Change::Received(received) => {
                let Received {
                    spec,
                    origin,
                    cancelled,
                    tasks,
                } = *received;
                Self::Received(spec.into(), origin.into(), cancelled, tasks_to_wire(tasks))
            }
            Change::Returned { job, tasks } => Self::Returned(job, tasks_to_wire(tasks)),
            Change::Granted { team, cell, share } => Self::Granted(team, cell, share.into()),
            Change::Allowed { team, share } => Self::Allowed(team, share.into()),
            Change::Acknowledged { task, attempt } => Self::Acknowledged(task.into(), attempt.0),
        }
    }
}

impl From<ChangeWire> for Change {
    fn from(wire: ChangeWire) -> Self {
        match wire {
            ChangeWire::TakenOver(epoch) => Self::TakenOver(Epoch(epoch)),
            ChangeWire::Admitted(spec) => Self::Admitted(Box::new(spec.into())),
            ChangeWire::Cancelled(job) => Self::Cancelled(job),
            ChangeWire::Placed(task, attempt, worker) => Self::Placed {
                task: task.into(),
                attempt: Attempt(attempt),
                worker,
            },
            ChangeWire::Stopping(task, attempt, reason) => Self::Stopping {
                task: task.into(),
                attempt: Attempt(attempt),
                reason: reason.into(),
            },
            ChangeWire::Ended(task, attempt, end) => Self::Ended {
                task: task.into(),
                attempt: Attempt(attempt),
                end: end.into(),
            },
            ChangeWire::Sent(task, attempt, to) => Self::Sent {
                task: task.into(),
                attempt: Attempt(attempt),
                to,
            },
            ChangeWire::Received(spec, origin, cancelled, tasks) => {
                Self::Received(Box::new(Received {
                    spec: spec.into(),
                    origin: origin.into(),
                    cancelled,
                    tasks: tasks_from_wire(tasks),
                }))
            }
            ChangeWire::Returned(job, tasks) => Self::Returned {
                job,
                tasks: tasks_from_wire(tasks),
            },
            ChangeWire::Granted(team, cell, share) => Self::Granted {
                team,
                cell,
                share: share.into(),
            },
            ChangeWire::Allowed(team, share) => Self::Allowed {
                team,
                share: share.into(),
            },
            ChangeWire::Acknowledged(task, attempt) => Self::Acknowledged {
                task: task.into(),
                attempt: Attempt(attempt),
            },
        }
    }
}

impl From<Record> for RecordWire {
    fn from(record: Record) -> Self {
        Self {
            writer: record.writer.into(),
            sequence: record.sequence,
            changes: record.changes.into_iter().map(ChangeWire::from).collect(),
        }
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Self {
        Self {
            writer: wire.writer.into(),
            sequence: wire.sequence,
            changes: wire.changes.into_iter().map(Change::from).collect(),
        }
    }
}

impl From<Snapshot> for SnapshotWire {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            through: snapshot.through,
            epoch: snapshot.epoch.0,
            next_order: snapshot.next_order,
            next_ended: snapshot.next_ended,
            jobs: snapshot.jobs.into_iter().map(JobWire::from).collect(),
            failing: snapshot.failing,
            granted: granted_to_wire(snapshot.granted),
            allowed: (snapshot.allowed.into_iter())
                .map(|(team, share)| (team, share.into()))
                .collect(),
        }
    }
}

impl From<SnapshotWire> for Snapshot {
    fn from(wire: SnapshotWire) -> Self {
        Self {
            through: wire.through,
            epoch: Epoch(wire.epoch),
            next_order: wire.next_order,
            next_ended: wire.next_ended,
            jobs: wire.jobs.into_iter().map(Into::into).collect(),
            failing: wire.failing,
            granted: granted_from_wire(wire.granted),
            allowed: (wire.allowed.into_iter())
                .map(|(team, share)| (team, share.into()))
                .collect(),
        }
    }
}
