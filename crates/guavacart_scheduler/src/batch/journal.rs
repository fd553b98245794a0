//! Records of a cell's journal, and the one append that may be in flight.

use guavacart_config::JournalWrites;
use std::collections::BTreeMap;

use guavacart_types::{
    Attempt, CellId, Epoch, JobId, Resources, Revision, Span, TaskId, TeamName, Timestamp, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use super::job::{AttemptEnd, Job, JobSpec, Origin, StopReason, Task};
use crate::membership::Member;

/// Greatest number of changes in one record.
pub const MAX_CHANGES: usize = 1_000;
/// Greatest estimated size of a record, in bytes; well under the store's limit for a value.
pub const MAX_RECORD_BYTES: usize = 256 << 10;
/// Smallest estimated size of the records between two snapshots, in bytes.
const SNAPSHOT_BYTES: usize = 64 << 10;
/// Number of records after which a snapshot is written whatever their size.
const SNAPSHOT_RECORDS: u64 = 2_000;
/// Shortest time between the first tries of two records, so that changes are grouped.
const COMMIT_INTERVAL: Span = Span::millis(100);
/// Estimated size of a change without its variable-length text, in bytes.
const CHANGE_BYTES: usize = 64;

/// One change of a cell's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// A new owner took the cell over under this epoch.
    TakenOver(Epoch),
    /// A job was accepted.
    Admitted(Box<JobSpec>),
    /// A job was cancelled.
    Cancelled(JobId),
    /// A queued task was placed on a worker.
    Placed {
        /// The placed task.
        task: TaskId,
        /// Number of the new attempt.
        attempt: Attempt,
        /// Worker that runs the attempt.
        worker: WorkerId,
    },
    /// An attempt is asked to stop.
    Stopping {
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Why the attempt has to stop.
        reason: StopReason,
    },
    /// An attempt ended.
    Ended {
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A queued task was sent to another cell.
    Sent {
        /// The task that was sent.
        task: TaskId,
        /// Attempt number that the move uses up.
        attempt: Attempt,
        /// Cell that the task was sent to.
        to: CellId,
    },
    /// Tasks of another cell's job were received.
    Received(Box<Received>),
    /// Tasks were returned to this cell, the origin cell of their job.
    Returned {
        /// Job that the tasks belong to.
        job: JobId,
        /// Returned tasks by index, each waiting or ended.
        tasks: Vec<(u32, Task)>,
    },
    /// The greatest part of a team's quota that another cell may use, granted by this cell.
    Granted {
        /// Team that the quota belongs to.
        team: TeamName,
        /// Cell that may use the share.
        cell: CellId,
        /// The granted share.
        share: Share,
    },
    /// The greatest part of a team's quota that this cell may use, granted by the cell that divides
    /// it.
    Allowed {
        /// Team that the quota belongs to.
        team: TeamName,
        /// The granted share.
        share: Share,
    },
    /// The other cell is known to hold a task that was sent to it, or that ended here.
    Acknowledged {
        /// The task that the other cell holds.
        task: TaskId,
        /// Number of the task's newest attempt.
        attempt: Attempt,
    },
}

/// A part of a team's quota. Its amount grows only under a new sequence number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Sequence number of the grant.
    pub sequence: u64,
    /// Greatest amount of resources that the team's tasks may hold.
    pub amount: Resources,
}

/// Tasks received for a job of another cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Received {
    /// Job that the tasks belong to.
    pub spec: JobSpec,
    /// Origin cell of the job.
    pub origin: Origin,
    /// True if the job was cancelled.
    pub cancelled: bool,
    /// Received tasks by index.
    pub tasks: Vec<(u32, Task)>,
}

impl Change {
    /// Estimated size of the change in a record, in bytes.
    fn bytes(&self) -> usize {
        match self {
            Self::Admitted(spec) => 4 * CHANGE_BYTES + spec.payload.len(),
            Self::Received(received) => {
                (4 + received.tasks.len()) * CHANGE_BYTES + received.spec.payload.len()
            }
            Self::Returned { tasks, .. } => (1 + tasks.len()) * CHANGE_BYTES,
            Self::Ended {
                end:
                    AttemptEnd::Stopped {
                        checkpoint: Some(name),
                    },
                ..
            } => CHANGE_BYTES + name.len(),
            _ => CHANGE_BYTES,
        }
    }
}

/// One record of a cell's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Instance that wrote the record.
    pub writer: Member,
    /// Sequence number that the writer never uses twice.
    pub sequence: u64,
    /// Changes in the order in which they apply.
    pub changes: Vec<Change>,
}

impl Record {
    /// Estimated size of the record, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.changes.iter().map(Change::bytes).sum()
    }
}

/// The complete state of a cell after one of its records.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Number of the last record that the snapshot includes.
    pub through: u64,
    /// The newest epoch.
    pub epoch: Epoch,
    /// Position in the order of admission for the next admitted job.
    pub next_order: u64,
    /// Position in the order of ending for the next job that ends.
    pub next_ended: u64,
    /// Jobs in order of id.
    pub jobs: Vec<Job>,
    /// Failures in a row of each worker that has any.
    pub failing: Vec<(WorkerId, u32)>,
    /// Shares that other cells may use of the quotas that this cell divides.
    pub granted: BTreeMap<TeamName, BTreeMap<CellId, Share>>,
    /// Shares that this cell may use of the quotas that other cells divide.
    pub allowed: BTreeMap<TeamName, Share>,
}

/// The stored state of a cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Stored {
    /// The snapshot, or an empty one if none was written.
    pub snapshot: Snapshot,
    /// Revision of the snapshot's key.
    pub revision: Revision,
    /// Records after the snapshot with their numbers, in order.
    pub records: Vec<(u64, Record)>,
}

/// Why a cell's journal cannot be used. Other cells are not affected.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum JournalError {
    /// A stored value cannot be decoded.
    #[error(
        "{key} is damaged: {cause}; the cell stays stopped until an operator restores or removes it"
    )]
    Damaged {
        /// Key of the value.
        key: SmolStr,
        /// Error message of the decoder.
        cause: SmolStr,
    },
    /// A stored value was written by a later version.
    #[error("{key} has version {version}, which this instance does not know; upgrade it")]
    UnknownVersion {
        /// Key of the value.
        key: SmolStr,
        /// Version of the stored value.
        version: u32,
    },
    /// A record is missing although a later one exists.
    #[error("{key} is missing though a later record exists; restore it")]
    Missing {
        /// Key of the missing record.
        key: SmolStr,
    },
    /// A record contradicts the records before it.
    #[error("{key} does not follow from the records before it: {cause}; restore or remove it")]
    Contradiction {
        /// Key of the record.
        key: SmolStr,
        /// The contradiction that was found.
        cause: SmolStr,
    },
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Appended {
    /// The record was written.
    Written,
    /// The number is taken by another record, or by this record after an earlier try.
    KeyExists,
    /// Nothing was written.
    Unavailable,
    /// The answer was lost; the record may have been written.
    Unknown,
    /// The ownership lease expired before the call, and nothing was sent.
    Expired,
}

/// The prefix of all keys of a cell.
pub fn record_prefix(cell: &CellId) -> SmolStr {
    format_smolstr!("cell/{cell}/")
}

/// Result of writing a snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SnapshotWritten {
    /// The snapshot was written, and its key has this revision.
    Written(Revision),
    /// The key had another revision, because of another snapshot or of this one after a lost
    /// answer.
    AlreadyStored {
        /// Number of the last record that the stored snapshot includes.
        through: u64,
        /// Revision of the snapshot's key.
        revision: Revision,
    },
    /// The snapshot was not written, as far as is known.
    Failed,
}

/// The key of record `number`.
pub fn record_key(cell: &CellId, number: u64) -> SmolStr {
    format_smolstr!("cell/{cell}/{number:012}")
}

/// The key of the snapshot.
pub fn snapshot_key(cell: &CellId) -> SmolStr {
    format_smolstr!("cell/{cell}/snapshot")
}

/// The record that is being appended.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) record: Record,
    /// When to retry after a try that wrote nothing; `None` while a call is in progress.
    pub(super) retry_at: Option<Timestamp>,
    bytes: usize,
}

/// Changes that wait to be written to the journal, and the progress of the journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Number of the last committed record.
    pub(super) committed: u64,
    pub(super) in_flight: Option<InFlight>,
    /// Number of changes added with [`Journal::push`].
    pub(super) change_count: u64,
    /// Number of these changes that are committed to the store.
    pub(super) durable_count: u64,
    /// Changes that are in no record yet.
    pending: Vec<Change>,
    /// Estimated size of the committed records after the last snapshot, in bytes.
    bytes: usize,
    /// Number of the last record that the last snapshot includes.
    snapshot_through: u64,
    /// When the next record may be built.
    next_record_at: Timestamp,
}

impl Journal {
    /// Continues a journal that was read from the store; `bytes` is the estimated size of the
    /// records after its snapshot.
    pub(super) fn new(committed: u64, snapshot_through: u64, bytes: usize) -> Self {
        Self {
            committed,
            snapshot_through,
            bytes,
            ..Self::default()
        }
    }

    /// Adds a change. The change is durable once [`Journal::durable_count`] reaches the value that
    /// [`Journal::change_count`] has after this call.
    pub(super) fn push(&mut self, change: Change) {
        self.change_count += 1;
        self.pending.push(change);
    }

    /// True if every change is committed or in flight.
    pub(super) fn has_no_pending(&self) -> bool {
        self.pending.is_empty()
    }

    /// True if no change is in flight or waits to be written.
    pub(super) fn is_settled(&self) -> bool {
        self.in_flight.is_none() && self.pending.is_empty()
    }

    /// Builds the next record from waiting changes, unless a record is in flight or the last record
    /// is too recent.
    pub(super) fn start_record(
        &mut self,
        now: Timestamp,
        writer: &Member,
        sequence: &mut u64,
        writes: JournalWrites,
    ) -> Option<&InFlight> {
        if self.in_flight.is_some() || self.pending.is_empty() || now < self.next_record_at {
            return None;
        }
        let (interval, max_changes) = match writes {
            JournalWrites::Grouped => (COMMIT_INTERVAL, MAX_CHANGES),
            JournalWrites::Each => (Span::ZERO, 1),
        };
        self.next_record_at = now + interval;
        let mut bytes = 0;
        let fits = |change: &&Change| {
            bytes += change.bytes();
            bytes <= MAX_RECORD_BYTES
        };
        let count = self.pending.iter().take(max_changes).take_while(fits);
        let count = count.count().max(1);
        let changes: Vec<Change> = self.pending.drain(..count).collect();
        *sequence += 1;
        let record = Record {
            writer: writer.clone(),
            sequence: *sequence,
            changes,
        };
        let bytes = record.bytes();
        let number = self.committed + 1;
        self.in_flight = Some(InFlight {
            number,
            record,
            retry_at: None,
            bytes,
        });
        self.in_flight.as_ref()
    }

    /// Marks the record in flight as committed.
    pub(super) fn commit(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.committed = in_flight.number;
            self.durable_count += in_flight.record.changes.len() as u64;
            self.bytes += in_flight.bytes;
        }
    }

    /// True if the records since the last snapshot are large or numerous enough to write a snapshot
    /// of `bytes`.
    pub(super) fn wants_snapshot(&self, bytes: usize) -> bool {
        let records = self.committed - self.snapshot_through;
        self.bytes >= SNAPSHOT_BYTES.max(bytes) || records >= SNAPSHOT_RECORDS
    }

    /// Marks a snapshot that includes all records through `through` as written; returns the last
    /// record number of the previous snapshot.
    pub(super) fn snapshot_written(&mut self, through: u64) -> u64 {
        let previous = self.snapshot_through;
        self.snapshot_through = through;
        self.bytes = 0;
        previous
    }
}
