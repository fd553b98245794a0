//! One cell that this instance owns: its journal, its workers and its queue of jobs.

mod calls;
mod colocate;
mod handoffs;
mod memory;
mod schedule;
mod shares;
mod spread;
mod summary;
mod sync;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guavacart_types::{
    BatchClass, CellId, Epoch, JobId, Revision, Span, TaskId, Timestamp, ViewNumber, WorkerId,
};
use serde::{Deserialize, Serialize};

pub use self::summary::{CellPhase, CellSummary, WorkerProbation};
use super::{
    BatchEffect,
    call::{JobReply, ReplyTo},
    decision::Decision,
    handoff::{CapacityReports, Outgoing},
    journal::{
        Appended, Change, Journal, JournalError, Record, Snapshot, SnapshotWritten, Stored,
        record_key,
    },
    ledger::Ledger,
    link::WorkerLink,
};
use crate::{
    Cx, Effect,
    directory::ListedWorker,
    interference::{self, Colocation},
    membership::Member,
};

/// Time after which a failed store call is retried.
const STORE_RETRY_INTERVAL: Span = Span::millis(200);
/// Time after which a journal that could not be used is read again.
const STOPPED_RETRY_INTERVAL: Span = Span::secs(10);
/// How long a reply waits for its change to become durable before it becomes `Unknown`.
const REPLY_TIMEOUT: Span = Span::secs(5);
/// Time for which appends must have failed before the store counts as unavailable.
const OUTAGE_THRESHOLD: Span = Span::millis(1_000);

/// Why a cell could not be read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellReadError {
    /// The store did not answer.
    Unavailable,
    /// A value is damaged, of an unknown version or missing.
    Journal(JournalError),
}

/// What the store holds under the number of an append whose outcome is unknown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RecordRead {
    /// A record, which may be another owner's.
    Found(Box<Record>),
    /// No record.
    Absent,
    /// The store did not answer.
    Unavailable,
    /// A value that does not decode.
    Damaged(JournalError),
}

/// The outputs of a cell's event handlers, and the state shared by all cells of the instance.
pub(super) struct Outputs<'a> {
    pub(super) me: &'a Member,
    /// The last number given to a record, read or worker call of this instance.
    pub(super) sequence: &'a mut u64,
    pub(super) effects: &'a mut Vec<Effect>,
    /// Messages to the owners of other cells.
    pub(super) outbox: &'a mut Vec<Outgoing>,
    /// Free capacity that each cell last reported.
    pub(super) capacity_reports: &'a mut CapacityReports,
}

impl Outputs<'_> {
    /// Adds an effect.
    pub(super) fn emit(&mut self, effect: BatchEffect) {
        self.effects.push(Effect::Batch(effect));
    }

    /// Returns the next number for a record, read or worker call.
    pub(super) fn next_number(&mut self) -> u64 {
        *self.sequence += 1;
        *self.sequence
    }
}

/// How far this owner has taken over the cell.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The journal is being read, or a failed read waits to be retried.
    Reading {
        /// The number of the read in progress, if there is one.
        read: Option<u64>,
        /// When to read again if no read is in progress.
        retry_at: Timestamp,
    },
    /// The record that raises the epoch is being written.
    TakingOver,
    /// The owner schedules tasks and calls workers.
    Acting,
}

/// A reply that is held back until the changes it reports are durable.
#[derive(Debug)]
struct PendingReply {
    /// The number of changes that must be durable before the reply is sent.
    after_change: u64,
    deadline: Timestamp,
    reply_to: ReplyTo,
    reply: JobReply,
}

/// Capacity kept on a worker for a task that fits nowhere now.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    worker: WorkerId,
    /// When the task is expected to fit there.
    at: Timestamp,
}

/// The state of a cell that this instance owns.
#[derive(Debug)]
pub(super) struct Cell {
    pub(super) id: CellId,
    pub(super) phase: Phase,
    /// Why the journal could not be used when it was last read.
    pub(super) stopped: Option<JournalError>,
    /// The latest membership view under which this instance owned the cell.
    view: ViewNumber,
    owned_since: Timestamp,
    epoch: Epoch,
    /// The greatest epoch that a worker of the cell has reported; the next epoch is above it.
    epoch_floor: Epoch,
    ledger: Ledger,
    journal: Journal,
    links: BTreeMap<WorkerId, WorkerLink>,
    /// Replies in order of the changes that they wait for.
    pending_replies: VecDeque<PendingReply>,
    reservations: BTreeMap<TaskId, Reservation>,
    /// The last decision about each task that is or was placed on a worker.
    decisions: BTreeMap<TaskId, Decision>,
    /// Why each job in the queue waits.
    wait_reasons: BTreeMap<JobId, Decision>,
    /// Ratios of measured to declared run times.
    run_time_estimates: super::estimate::RunTimeEstimates,
    /// Ratios of measured to declared memory.
    memory_estimates: super::estimate::MemoryEstimates,
    /// A snapshot that waits until the record it ends with is committed.
    snapshot: Option<Snapshot>,
    writing_snapshot: bool,
    /// The revision of the stored snapshot's key.
    revision: Revision,
    /// Since when appends have failed; `None` after a successful one.
    failing_since: Option<Timestamp>,
    /// The latest time at which another member may have renewed leases.
    last_peer_renewal: Timestamp,
    /// True if something changed that may let a waiting task be placed.
    dirty: bool,
    next_pass: Timestamp,
    colocation: Colocation,
    /// Processors that each class keeps busy on each worker, in thousandths of the worker's
    /// processors, as last passed to the colocation controller.
    reported_pressures: BTreeMap<(WorkerId, BatchClass), u32>,
    next_colocation_review: Timestamp,
    handoffs: handoffs::HandOffs,
    shares: shares::Shares,
    /// When each waiting job that has a deadline should be done.
    deadlines: BTreeMap<JobId, Timestamp>,
    /// When the colocation controller was last given the running tasks.
    colocation_reviewed_at: Timestamp,
}

impl Cell {
    pub(super) fn new(cx: &Cx<'_>, id: CellId, epoch_floor: Epoch) -> Self {
        Self {
            id,
            phase: Phase::Reading {
                read: None,
                retry_at: cx.now,
            },
            stopped: None,
            view: cx.membership.view().number,
            owned_since: cx.now,
            epoch: Epoch::default(),
            epoch_floor,
            ledger: Ledger::default(),
            journal: Journal::default(),
            links: BTreeMap::new(),
            pending_replies: VecDeque::new(),
            reservations: BTreeMap::new(),
            decisions: BTreeMap::new(),
            wait_reasons: BTreeMap::new(),
            run_time_estimates: super::estimate::RunTimeEstimates::default(),
            memory_estimates: super::estimate::MemoryEstimates::default(),
            snapshot: None,
            writing_snapshot: false,
            revision: Revision::default(),
            failing_since: None,
            last_peer_renewal: cx.now,
            dirty: true,
            next_pass: cx.now,
            colocation: Colocation::default(),
            reported_pressures: BTreeMap::new(),
            next_colocation_review: cx.now,
            handoffs: handoffs::HandOffs::default(),
            shares: shares::Shares::default(),
            deadlines: BTreeMap::new(),
            colocation_reviewed_at: cx.now,
        }
    }

    /// Records the current view; true if no other member can have owned the cell in between.
    ///
    /// If a view number was skipped, another member may have owned the cell under that view.
    pub(super) fn keeps_ownership(&mut self, view: ViewNumber) -> bool {
        let keeps_ownership = view == self.view || view == self.view.next();
        self.view = view;
        keeps_ownership
    }

    /// True once the takeover is complete.
    pub(super) fn is_acting(&self) -> bool {
        self.phase == Phase::Acting
    }

    /// True if no record and no snapshot is waiting to be written.
    pub(super) fn is_settled(&self) -> bool {
        self.journal.is_settled() && !self.writing_snapshot
    }

    /// Ends this ownership; submitters whose changes are not durable get the reply `Unknown`.
    pub(super) fn end_ownership(&mut self, outputs: &mut Outputs<'_>) {
        self.abort_handoffs(outputs);
        for pending in std::mem::take(&mut self.pending_replies) {
            reply(outputs, pending.reply_to, JobReply::Unknown);
        }
    }

    /// Does the work that is due in the current phase.
    ///
    /// `last_peer_renewal` is the latest time at which another member may have renewed leases.
    pub(super) fn tick(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        last_peer_renewal: Timestamp,
    ) {
        self.last_peer_renewal = last_peer_renewal;
        match self.phase {
            Phase::Reading { read, retry_at } => {
                if read.is_none() && cx.now >= retry_at {
                    self.read(cx, outputs);
                }
            }
            Phase::TakingOver => self.append(cx, outputs),
            Phase::Acting => self.act(cx, outputs),
        }
        self.expire_pending_replies(cx.now, outputs);
    }

    /// Schedules tasks, appends changes and calls workers; runs after every event.
    pub(super) fn act(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        if self.phase != Phase::Acting || !cx.membership.may_act(cx.now) {
            return;
        }
        self.expire_leases(cx);
        if !cx.stopping {
            self.schedule(cx);
            // After placement, so that a new task can start already throttled.
            self.review_colocation(cx, outputs);
        }
        self.run_handoffs(cx, outputs);
        self.append(cx, outputs);
        self.sync_workers(cx, outputs);
    }

    fn read(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        let read = outputs.next_number();
        self.phase = Phase::Reading {
            read: Some(read),
            retry_at: cx.now,
        };
        let cell = self.id.clone();
        outputs.emit(BatchEffect::ReadCell { cell, read });
    }

    /// Handles the result of a read and begins the takeover if the journal can be used.
    pub(super) fn cell_read(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        read: u64,
        result: Result<Stored, CellReadError>,
    ) {
        let expected =
            matches!(self.phase, Phase::Reading { read: Some(asked), .. } if asked == read);
        if !expected {
            return;
        }
        let replayed =
            result.and_then(|stored| self.replay(cx, stored).map_err(CellReadError::Journal));
        match replayed {
            Ok(()) => self.begin_take_over(cx, outputs),
            Err(CellReadError::Unavailable) => self.retry_read(cx.now + STORE_RETRY_INTERVAL),
            Err(CellReadError::Journal(error)) => {
                self.retry_read(cx.now + STOPPED_RETRY_INTERVAL);
                let cell = self.id.clone();
                let event = CellEvent::Stopped(error.clone());
                self.stopped = Some(error);
                outputs.emit(BatchEffect::Report { cell, event });
            }
        }
    }

    fn retry_read(&mut self, retry_at: Timestamp) {
        let read = None;
        self.phase = Phase::Reading { read, retry_at };
    }

    /// Rebuilds the state from the snapshot and the records after it.
    fn replay(&mut self, cx: &Cx<'_>, stored: Stored) -> Result<(), JournalError> {
        self.owned_since = cx.now;
        let through = stored.snapshot.through;
        let mut ledger = Ledger::restore(stored.snapshot);
        let mut committed = through;
        let mut bytes = 0;
        for (number, record) in stored.records {
            if number <= through {
                continue;
            }
            if number != committed + 1 {
                let key = record_key(&self.id, committed + 1);
                return Err(JournalError::Missing { key });
            }
            for change in &record.changes {
                ledger.apply(change).map_err(|cause| {
                    let key = record_key(&self.id, number);
                    JournalError::Contradiction { key, cause }
                })?;
            }
            committed = number;
            bytes += record.bytes();
        }
        self.revision = stored.revision;
        self.journal = Journal::new(committed, through, bytes);
        self.ledger = ledger;
        self.stopped = None;
        self.track_placed_attempts(cx.now);
        Ok(())
    }

    /// Tracks every attempt that the journal holds as placed.
    fn track_placed_attempts(&mut self, now: Timestamp) {
        self.links.clear();
        for (worker, worker_tasks) in &self.ledger.workers {
            let mut link = WorkerLink::new(self.owned_since);
            link.record_failure(now, worker_tasks.failures_in_a_row);
            for (task, attempt) in &worker_tasks.tasks {
                let placement = self.ledger.placement_of(task, *attempt);
                let stopping = placement.is_some_and(|(_, reason)| reason.is_some());
                link.track(task, *attempt, stopping, now);
            }
            self.links.insert(worker.clone(), link);
        }
    }

    /// Appends the record that raises the epoch; nothing else happens until it is committed.
    fn begin_take_over(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        self.epoch = self.ledger.epoch.max(self.epoch_floor).next();
        self.phase = Phase::TakingOver;
        self.journal_change(Change::TakenOver(self.epoch));
        self.append(cx, outputs);
    }

    /// Applies a change to the state and queues it for the journal; false if it does not apply.
    fn journal_change(&mut self, change: Change) -> bool {
        let applied = self.ledger.apply(&change).is_ok();
        if applied {
            self.journal.push(change);
        }
        applied
    }

    /// Appends the next record, or retries the one whose last append wrote nothing.
    fn append(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        let Some(valid_until) = cx.membership.lease_expires_at(cx.now) else {
            return;
        };
        if let Some(in_flight) = &mut self.journal.in_flight {
            if in_flight.retry_at.is_none_or(|at| cx.now < at) {
                return;
            }
            in_flight.retry_at = None;
        } else if self
            .journal
            .start_record(
                cx.now,
                outputs.me,
                outputs.sequence,
                cx.configuration.sharing.journal,
            )
            .is_none()
        {
            return;
        } else {
            self.take_snapshot();
        }
        let Some(in_flight) = &self.journal.in_flight else {
            return;
        };
        outputs.emit(BatchEffect::Append {
            cell: self.id.clone(),
            number: in_flight.number,
            record: Box::new(in_flight.record.clone()),
            valid_until,
        });
    }

    /// Takes a snapshot of the state as of the record just started, if one is due.
    ///
    /// Only when no change is pending: the state then includes exactly the records up to that one.
    fn take_snapshot(&mut self) {
        let no_pending = self.journal.has_no_pending();
        let idle = self.snapshot.is_none() && !self.writing_snapshot;
        if idle && no_pending && self.journal.wants_snapshot(self.ledger.snapshot_bytes()) {
            let through = self.journal.committed + 1;
            self.snapshot = Some(self.ledger.snapshot(through));
        }
    }

    /// Handles the result of an append.
    ///
    /// If the outcome is unknown or another record has the number, the record there is read next.
    pub(super) fn appended(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        sequence: u64,
        appended: Appended,
    ) {
        let Some(in_flight) = &mut self.journal.in_flight else {
            return;
        };
        if in_flight.record.sequence != sequence || in_flight.retry_at.is_some() {
            return;
        }
        let number = in_flight.number;
        match appended {
            Appended::Written if cx.membership.may_act(cx.now) => {
                self.record_committed(cx, outputs);
            }
            Appended::Written | Appended::KeyExists | Appended::Unknown => {
                self.failing_since.get_or_insert(cx.now);
                let cell = self.id.clone();
                outputs.emit(BatchEffect::ReadRecord {
                    cell,
                    number,
                    sequence,
                });
            }
            Appended::Unavailable | Appended::Expired => {
                self.failing_since.get_or_insert(cx.now);
                in_flight.retry_at = Some(cx.now + STORE_RETRY_INTERVAL);
            }
        }
    }

    /// Resolves an append by the record found under its number.
    ///
    /// Returns false if that record is not this append's or does not decode; the cell is then given
    /// up.
    pub(super) fn record_read(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        sequence: u64,
        read: RecordRead,
    ) -> bool {
        let Some(in_flight) = &mut self.journal.in_flight else {
            return true;
        };
        if in_flight.record.sequence != sequence || in_flight.retry_at.is_some() {
            return true;
        }
        match read {
            RecordRead::Found(record) => {
                let is_own = record.writer == *outputs.me && record.sequence == sequence;
                if is_own && cx.membership.may_act(cx.now) {
                    self.record_committed(cx, outputs);
                } else if is_own {
                    in_flight.retry_at = Some(cx.now + STORE_RETRY_INTERVAL);
                }
                is_own
            }
            RecordRead::Absent | RecordRead::Unavailable => {
                in_flight.retry_at = Some(cx.now + STORE_RETRY_INTERVAL);
                true
            }
            RecordRead::Damaged(_) => false,
        }
    }

    /// Handles the commit of the record in flight.
    fn record_committed(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        self.journal.commit();
        self.failing_since = None;
        if self.phase == Phase::TakingOver {
            self.phase = Phase::Acting;
            let cell = self.id.clone();
            let event = CellEvent::TakenOver(self.epoch);
            outputs.emit(BatchEffect::Report { cell, event });
        }
        self.send_durable_replies(outputs);
        self.expedite_calls(cx.now);
        self.write_snapshot(cx, outputs);
        self.act(cx, outputs);
    }

    /// Writes the prepared snapshot once its last record is committed.
    fn write_snapshot(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        let due = self.snapshot.as_ref();
        let due = due.is_some_and(|s| s.through <= self.journal.committed);
        if !due || self.writing_snapshot {
            return;
        }
        let Some(valid_until) = cx.membership.lease_expires_at(cx.now) else {
            return;
        };
        if let Some(snapshot) = self.snapshot.take() {
            self.writing_snapshot = true;
            outputs.emit(BatchEffect::WriteSnapshot {
                cell: self.id.clone(),
                snapshot: Box::new(snapshot),
                expect: self.revision,
                valid_until,
            });
        }
    }

    /// Handles the result of writing a snapshot; false if a later owner has written one.
    pub(super) fn snapshot_written(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        through: u64,
        result: SnapshotWritten,
    ) -> bool {
        if !std::mem::take(&mut self.writing_snapshot) {
            return true;
        }
        match result {
            SnapshotWritten::Written(revision) => self.revision = revision,
            SnapshotWritten::AlreadyStored {
                through: stored_through,
                revision,
            } => {
                self.revision = revision;
                if stored_through != through {
                    return stored_through < through;
                }
            }
            SnapshotWritten::Failed => return true,
        }
        let previous = self.journal.snapshot_written(through);
        if let Some(valid_until) = cx.membership.lease_expires_at(cx.now) {
            outputs.emit(BatchEffect::DeleteRecords {
                cell: self.id.clone(),
                after: previous,
                through,
                valid_until,
            });
        }
        true
    }

    /// True if appends have failed for at least [`OUTAGE_THRESHOLD`].
    fn is_store_unavailable(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= OUTAGE_THRESHOLD)
    }

    /// Sends a reply once all changes made so far are durable.
    fn reply_when_durable(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        reply_to: ReplyTo,
        answer: JobReply,
    ) {
        if self.journal.is_settled() {
            reply(outputs, reply_to, answer);
            return;
        }
        self.pending_replies.push_back(PendingReply {
            after_change: self.journal.change_count,
            deadline: cx.now + REPLY_TIMEOUT,
            reply_to,
            reply: answer,
        });
    }

    /// Sends the pending replies whose changes are durable.
    fn send_durable_replies(&mut self, outputs: &mut Outputs<'_>) {
        let durable_count = self.journal.durable_count;
        while let Some(pending) = self.pending_replies.pop_front() {
            if pending.after_change > durable_count {
                self.pending_replies.push_front(pending);
                return;
            }
            reply(outputs, pending.reply_to, pending.reply);
        }
    }

    /// Sends `Unknown` for pending replies past their deadline.
    fn expire_pending_replies(&mut self, now: Timestamp, outputs: &mut Outputs<'_>) {
        while self
            .pending_replies
            .front()
            .is_some_and(|pending| now >= pending.deadline)
        {
            if let Some(pending) = self.pending_replies.pop_front() {
                reply(outputs, pending.reply_to, JobReply::Unknown);
            }
        }
    }

    /// Returns the listed workers of this cell.
    fn listed_workers<'a>(&self, cx: &Cx<'a>) -> Vec<(&'a WorkerId, &'a ListedWorker)> {
        listed_workers(cx, &self.id)
    }
}

/// Returns the workers in the cell's racks, as the platform lists them.
pub(super) fn listed_workers<'a>(
    cx: &Cx<'a>,
    cell: &CellId,
) -> Vec<(&'a WorkerId, &'a ListedWorker)> {
    let Some(cell) = cx.configuration.cells.get(cell) else {
        return Vec::new();
    };
    let racks: BTreeSet<_> = cell.racks.iter().collect();
    let workers = cx.directory.workers.iter();
    workers.filter(|(_, w)| racks.contains(&w.rack)).collect()
}

/// An event in a cell that is logged for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellEvent {
    /// This instance took the cell over.
    TakenOver(Epoch),
    /// This instance no longer owns the cell.
    OwnershipLost,
    /// The cell's journal cannot be used.
    Stopped(JournalError),
    /// A task was throttled, moved or stopped to protect a service on the same worker.
    Colocation(Box<interference::Decision>),
}

/// Sends a reply to the submitter's call, through the peer that forwarded the call, if any.
pub(super) fn reply(outputs: &mut Outputs<'_>, reply_to: ReplyTo, reply: JobReply) {
    match reply_to {
        ReplyTo::Local(call) => outputs.emit(BatchEffect::Reply { call, reply }),
        ReplyTo::Peer(to, call) => {
            let message = super::PeerBatch::Reply { call, reply };
            outputs.emit(BatchEffect::SendToPeer { to, message });
        }
    }
}
