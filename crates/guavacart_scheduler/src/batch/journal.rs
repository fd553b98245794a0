//! Records of a cell's journal, and the one append that may be in flight.

use guavacart_config::JournalWrites;
use std::collections::BTreeMap;

use guavacart_types::{
    Attempt, CellId, Epoch, JobId, Resources, Revision, Span, TaskId, TeamName, Timestamp, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use super::job::{AttemptEnd, Home, Job, JobSpec, StopReason, Task};
use crate::membership::Member;

/// Most changes in one record.
pub const MAX_CHANGES: usize = 1_000;
/// Most estimated bytes of one record; well under the store's limit for a value.
pub const MAX_RECORD_BYTES: usize = 256 << 10;
/// Fewest estimated bytes of records between two snapshots.
const SNAPSHOT_BYTES: usize = 64 << 10;
/// Records after which a snapshot is written whatever their size.
const SNAPSHOT_RECORDS: u64 = 2_000;
/// Shortest time between the first tries of two records, so that changes gather.
const COMMIT_INTERVAL: Span = Span::millis(100);
/// Estimated bytes of a change without text of its own.
const CHANGE_BYTES: usize = 64;

/// One change of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// A new owner took the cell over under this epoch.
    TakenOver(Epoch),
    /// A job was accepted.
    Admitted(Box<JobSpec>),
    /// A job was cancelled.
    Cancelled(JobId),
    /// A queued task got a place.
    Placed {
        /// The task.
        task: TaskId,
        /// The new attempt.
        attempt: Attempt,
        /// Where it runs.
        worker: WorkerId,
    },
    /// An attempt is asked to stop.
    Stopping {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: StopReason,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How.
        end: AttemptEnd,
    },
    /// A queued task left for another cell.
    Sent {
        /// The task.
        task: TaskId,
        /// The attempt that the move counts as.
        attempt: Attempt,
        /// The cell.
        to: CellId,
    },
    /// Tasks of another cell's job arrived.
    Received(Box<Received>),
    /// Tasks came back to the job's home.
    Returned {
        /// The job.
        job: JobId,
        /// The tasks, waiting or ended.
        tasks: Vec<(u32, Task)>,
    },
    /// The most that another cell may hold of a team's quota.
    Granted {
        /// The team.
        team: TeamName,
        /// The cell.
        cell: CellId,
        /// Its share.
        share: Share,
    },
    /// The most that this cell may hold of a team's quota that another cell divides.
    Allowed {
        /// The team.
        team: TeamName,
        /// The share.
        share: Share,
    },
    /// The other cell is known to hold a task that was sent, or that ended here.
    Acknowledged {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// A part of a team's quota; it grows only under a new number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The number of the grant.
    pub sequence: u64,
    /// The most that the team's tasks may hold.
    pub amount: Resources,
}

/// Tasks of another cell's job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Received {
    /// The job.
    pub spec: JobSpec,
    /// Where it was submitted.
    pub home: Home,
    /// True if it was cancelled.
    pub cancelled: bool,
    /// The tasks.
    pub tasks: Vec<(u32, Task)>,
}

impl Change {
    /// Estimated bytes of the change in a record.
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
    /// Who wrote it.
    pub writer: Member,
    /// The writer's own count of records, never used twice.
    pub sequence: u64,
    /// What changed, in order.
    pub changes: Vec<Change>,
}

impl Record {
    /// Estimated bytes of the record.
    pub(super) fn bytes(&self) -> usize {
        self.changes.iter().map(Change::bytes).sum()
    }
}

/// A cell's whole state after one of its records.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Number of the last record that it includes.
    pub through: u64,
    /// The newest epoch.
    pub epoch: Epoch,
    /// The order that the next admitted job gets.
    pub next_order: u64,
    /// The place that the next ended job gets.
    pub next_ended: u64,
    /// The jobs in order of id.
    pub jobs: Vec<Job>,
    /// Failures in a row of each worker that has any.
    pub failing: Vec<(WorkerId, u32)>,
    /// What other cells may hold of the quotas that this cell divides.
    pub granted: BTreeMap<TeamName, BTreeMap<CellId, Share>>,
    /// What this cell may hold of the quotas that others divide.
    pub allowed: BTreeMap<TeamName, Share>,
}

/// What the store holds of a cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Stored {
    /// The snapshot, empty if none was written.
    pub snapshot: Snapshot,
    /// Revision of the snapshot's key.
    pub revision: Revision,
    /// The records after the snapshot, by number, in order.
    pub records: Vec<(u64, Record)>,
}

/// Why a cell's journal cannot be used; the other cells go on.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum JournalError {
    /// A value does not decode.
    #[error(
        "{key} is damaged: {cause}; the cell stays stopped until an operator restores or removes it"
    )]
    Damaged {
        /// The key.
        key: SmolStr,
        /// What the decoder said.
        cause: SmolStr,
    },
    /// A value was written by a later version.
    #[error("{key} has version {version}, which this instance does not know; upgrade it")]
    UnknownVersion {
        /// The key.
        key: SmolStr,
        /// The version found.
        version: u32,
    },
    /// A number is missing.
    #[error("{key} is missing though a later record exists; restore it")]
    Missing {
        /// The key.
        key: SmolStr,
    },
    /// A record does not follow from those before it.
    #[error("{key} does not follow from the records before it: {cause}; restore or remove it")]
    Contradiction {
        /// The key.
        key: SmolStr,
        /// What does not follow.
        cause: SmolStr,
    },
}

/// What came of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Appended {
    /// The record stands.
    Written,
    /// Another record has the number, or this one from an earlier try.
    Taken,
    /// Nothing was written.
    Unavailable,
    /// The answer was lost; the record may stand.
    Unknown,
    /// The right to act had ended before the call; nothing was sent.
    Expired,
}

/// What the keys of a cell begin with.
pub fn record_prefix(cell: &CellId) -> SmolStr {
    format_smolstr!("cell/{cell}/")
}

/// What came of writing a snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SnapshotWritten {
    /// It stands at this revision of its key.
    Written(Revision),
    /// Another one stands there, or this one from a try whose answer was lost.
    Standing {
        /// The last record that it includes.
        through: u64,
        /// The revision of its key.
        revision: Revision,
    },
    /// Nothing is known to have been written.
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
    /// When to try again after a try that wrote nothing; none while a call is under way.
    pub(super) retry_at: Option<Timestamp>,
    bytes: usize,
}

/// Changes on their way into the journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    pub(super) committed: u64,
    pub(super) in_flight: Option<InFlight>,
    /// Changes taken in until now.
    pub(super) decided: u64,
    /// Changes, of those taken in, that are in the store.
    pub(super) durable: u64,
    pending: Vec<Change>,
    bytes: usize,
    snapshot_through: u64,
    next_cut: Timestamp,
}

impl Journal {
    /// A journal read back, with the estimated bytes of the records after its snapshot.
    pub(super) fn new(committed: u64, snapshot_through: u64, bytes: usize) -> Self {
        Self {
            committed,
            snapshot_through,
            bytes,
            ..Self::default()
        }
    }

    /// Takes a change in; it is durable once [`Journal::durable`] reaches [`Journal::decided`].
    pub(super) fn push(&mut self, change: Change) {
        self.decided += 1;
        self.pending.push(change);
    }

    /// True if every change is committed or in flight.
    pub(super) fn has_no_pending(&self) -> bool {
        self.pending.is_empty()
    }

    /// True if nothing waits to be written.
    pub(super) fn is_settled(&self) -> bool {
        self.in_flight.is_none() && self.pending.is_empty()
    }

    /// Cuts the next record if none is in flight.
    pub(super) fn cut(
        &mut self,
        now: Timestamp,
        writer: &Member,
        sequence: &mut u64,
        writes: JournalWrites,
    ) -> Option<&InFlight> {
        if self.in_flight.is_some() || self.pending.is_empty() || now < self.next_cut {
            return None;
        }
        let (interval, most) = match writes {
            JournalWrites::Grouped => (COMMIT_INTERVAL, MAX_CHANGES),
            JournalWrites::Each => (Span::ZERO, 1),
        };
        self.next_cut = now + interval;
        let mut bytes = 0;
        let fits = |change: &&Change| {
            bytes += change.bytes();
            bytes <= MAX_RECORD_BYTES
        };
        let count = self.pending.iter().take(most).take_while(fits);
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

    /// Notes that the record in flight stands.
    pub(super) fn commit(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.committed = in_flight.number;
            self.durable += in_flight.record.changes.len() as u64;
            self.bytes += in_flight.bytes;
        }
    }

    /// True if enough was written since the last snapshot to write one of `bytes`.
    pub(super) fn wants_snapshot(&self, bytes: usize) -> bool {
        let records = self.committed - self.snapshot_through;
        self.bytes >= SNAPSHOT_BYTES.max(bytes) || records >= SNAPSHOT_RECORDS
    }

    /// Notes a snapshot that includes everything through `through`.
    pub(super) fn snapshot_written(&mut self, through: u64) -> u64 {
        let previous = self.snapshot_through;
        self.snapshot_through = through;
        self.bytes = 0;
        previous
    }
}
