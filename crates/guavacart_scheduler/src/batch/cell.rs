//! One cell that this instance owns: its journal, its workers and its queue.

mod answer;
mod colocate;
mod moves;
mod schedule;
mod shares;
mod sizes;
mod spread;
mod standing;
mod sync;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guavacart_types::{
    BatchClass, CellId, Epoch, JobId, Revision, Span, TaskId, Timestamp, ViewNumber, WorkerId,
};
use serde::{Deserialize, Serialize};

pub use self::standing::{CellPhase, CellStanding, WorkerProbation};
use super::{
    BatchEffect,
    call::{Asker, JobReply},
    decision::Decision,
    handoff::{Outgoing, Rooms},
    journal::{
        Appended, Change, Journal, JournalError, Record, Snapshot, SnapshotWritten, Stored,
        record_key,
    },
    ledger::Ledger,
    link::Link,
};
use crate::{
    Cx, Effect,
    directory::ListedWorker,
    interference::{self, Colocation},
    membership::Member,
};

/// Time between two tries of a store call that failed.
const STORE_RETRY: Span = Span::millis(200);
/// Time between two tries to read a journal that cannot be used.
const STOPPED_RETRY: Span = Span::secs(10);
/// How long an answer waits for its record.
const REPLY_LIMIT: Span = Span::secs(5);
/// Time without a successful append, while one is tried, after which the store counts as out.
const OUTAGE_SPAN: Span = Span::millis(1_000);

/// Why a cell could not be read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReadError {
    /// The store did not answer.
    Unavailable,
    /// A value is damaged, unknown or missing.
    Journal(JournalError),
}

/// What stands at the number of an append that is not settled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RecordRead {
    /// This record.
    Found(Box<Record>),
    /// Nothing.
    Absent,
    /// The store did not answer.
    Unread,
    /// What stands there does not decode.
    Damaged(JournalError),
}

/// What a cell wants done with the effects and the count of records.
pub(super) struct Io<'a> {
    pub(super) me: &'a Member,
    pub(super) sequence: &'a mut u64,
    pub(super) effects: &'a mut Vec<Effect>,
    pub(super) outbox: &'a mut Vec<Outgoing>,
    pub(super) rooms: &'a mut Rooms,
}

impl Io<'_> {
    pub(super) fn emit(&mut self, effect: BatchEffect) {
        self.effects.push(Effect::Batch(effect));
    }

    pub(super) fn next(&mut self) -> u64 {
        *self.sequence += 1;
        *self.sequence
    }
}

/// How far an owner has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The journal is being read, or read again at a time.
    Reading {
        /// The read under way.
        read: Option<u64>,
        /// When to read again.
        retry_at: Timestamp,
    },
    /// The record that raises the epoch is being written.
    TakingOver,
    /// The cell works.
    Acting,
}

/// An answer that waits until what it says is durable.
#[derive(Debug)]
struct Held {
    durable: u64,
    deadline: Timestamp,
    asker: Asker,
    reply: JobReply,
}

/// A place kept for a task that fits nowhere now.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    worker: WorkerId,
    at: Timestamp,
}

/// A cell in the hands of this instance.
#[derive(Debug)]
pub(super) struct Cell {
    pub(super) id: CellId,
    pub(super) phase: Phase,
    pub(super) stopped: Option<JournalError>,
    view: ViewNumber,
    owned_since: Timestamp,
    epoch: Epoch,
    /// The greatest epoch that a worker is known to have seen.
    epoch_floor: Epoch,
    ledger: Ledger,
    journal: Journal,
    links: BTreeMap<WorkerId, Link>,
    held: VecDeque<Held>,
    reservations: BTreeMap<TaskId, Reservation>,
    /// The last decision about tasks that hold or held a place.
    decisions: BTreeMap<TaskId, Decision>,
    /// Why jobs in the queue wait.
    waiting: BTreeMap<JobId, Decision>,
    /// Run times seen over run times declared.
    run_times: super::estimate::RunTimes,
    /// Memory seen over memory declared.
    sizes: super::estimate::Sizes,
    snapshot: Option<Snapshot>,
    writing_snapshot: bool,
    revision: Revision,
    failing_since: Option<Timestamp>,
    /// The latest time at which another member may have renewed leases.
    contact: Timestamp,
    dirty: bool,
    next_pass: Timestamp,
    colocation: Colocation,
    /// Thousandths of each worker that each class presses on, as last told.
    pressures: BTreeMap<(WorkerId, BatchClass), u32>,
    next_sharing: Timestamp,
    moves: moves::Moves,
    shares: shares::Shares,
    /// When jobs with a deadline that wait should be done.
    due: BTreeMap<JobId, Timestamp>,
    /// When the controller was last told what runs.
    shared_at: Timestamp,
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
            held: VecDeque::new(),
            reservations: BTreeMap::new(),
            decisions: BTreeMap::new(),
            waiting: BTreeMap::new(),
            run_times: super::estimate::RunTimes::default(),
            sizes: super::estimate::Sizes::default(),
            snapshot: None,
            writing_snapshot: false,
            revision: Revision::default(),
            failing_since: None,
            contact: cx.now,
            dirty: true,
            next_pass: cx.now,
            colocation: Colocation::default(),
            pressures: BTreeMap::new(),
            next_sharing: cx.now,
            moves: moves::Moves::default(),
            shares: shares::Shares::default(),
            due: BTreeMap::new(),
            shared_at: cx.now,
        }
    }

    /// True if no other member can have owned the cell since this ownership began.
    pub(super) fn continues(&mut self, view: ViewNumber) -> bool {
        let continues = view == self.view || view == self.view.next();
        self.view = view;
        continues
    }

    /// True if the cell is being worked on.
    pub(super) fn is_acting(&self) -> bool {
        self.phase == Phase::Acting
    }

    /// True if nothing is on its way into the store.
    pub(super) fn is_settled(&self) -> bool {
        self.journal.is_settled() && !self.writing_snapshot
    }

    /// Gives the cell up; answers that still wait are not known to be true.
    pub(super) fn step_down(&mut self, io: &mut Io<'_>) {
        self.forget_moves(io);
        for held in std::mem::take(&mut self.held) {
            reply(io, held.asker, JobReply::Unknown);
        }
    }

    /// Does what time has made due.
    pub(super) fn tick(&mut self, cx: &Cx<'_>, io: &mut Io<'_>, contact: Timestamp) {
        self.contact = contact;
        match self.phase {
            Phase::Reading { read, retry_at } => {
                if read.is_none() && cx.now >= retry_at {
                    self.read(cx, io);
                }
            }
            Phase::TakingOver => self.append(cx, io),
            Phase::Acting => self.act(cx, io),
        }
        self.expire_held(cx.now, io);
    }

    /// Everything that an owner does after an event.
    pub(super) fn act(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        if self.phase != Phase::Acting || !cx.membership.may_act(cx.now) {
            return;
        }
        self.lapse_leases(cx);
        if !cx.stopping {
            self.schedule(cx);
            // After the places are given, so that a task may start at the speed that suits.
            self.share_workers(cx, io);
        }
        self.move_tasks(cx, io);
        self.append(cx, io);
        self.sync_workers(cx, io);
    }

    fn read(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        let read = io.next();
        self.phase = Phase::Reading {
            read: Some(read),
            retry_at: cx.now,
        };
        let cell = self.id.clone();
        io.emit(BatchEffect::ReadCell { cell, read });
    }

    /// Takes the cell over from what the store holds.
    pub(super) fn cell_read(
        &mut self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
        read: u64,
        result: Result<Stored, ReadError>,
    ) {
        let expected =
            matches!(self.phase, Phase::Reading { read: Some(asked), .. } if asked == read);
        if !expected {
            return;
        }
        let replayed =
            result.and_then(|stored| self.replay(cx, stored).map_err(ReadError::Journal));
        match replayed {
            Ok(()) => self.claim(cx, io),
            Err(ReadError::Unavailable) => self.retry_read(cx.now + STORE_RETRY),
            Err(ReadError::Journal(error)) => {
                self.retry_read(cx.now + STOPPED_RETRY);
                let cell = self.id.clone();
                let note = CellNote::Stopped(error.clone());
                self.stopped = Some(error);
                io.emit(BatchEffect::Note { cell, note });
            }
        }
    }

    fn retry_read(&mut self, retry_at: Timestamp) {
        let read = None;
        self.phase = Phase::Reading { read, retry_at };
    }

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
        self.adopt_places(cx.now);
        Ok(())
    }

    fn adopt_places(&mut self, now: Timestamp) {
        self.links.clear();
        for (worker, places) in &self.ledger.workers {
            let mut link = Link::new(self.owned_since);
            link.failed(now, places.failures_in_a_row);
            for (task, attempt) in &places.tasks {
                let place = self.ledger.place_of(task, *attempt);
                let stopping = place.is_some_and(|(_, reason)| reason.is_some());
                link.adopt(task, *attempt, stopping, now);
            }
            self.links.insert(worker.clone(), link);
        }
    }

    /// Raises the epoch; nothing else happens until that record stands.
    fn claim(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        self.epoch = self.ledger.epoch.max(self.epoch_floor).next();
        self.phase = Phase::TakingOver;
        self.decide(Change::TakenOver(self.epoch));
        self.append(cx, io);
    }

    /// Takes a change into the state and the journal.
    fn decide(&mut self, change: Change) -> bool {
        let applied = self.ledger.apply(&change).is_ok();
        if applied {
            self.journal.push(change);
        }
        applied
    }

    /// Sends the next record, or the one whose last try wrote nothing.
    fn append(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        let Some(valid_until) = cx.membership.right_until(cx.now) else {
            return;
        };
        if let Some(in_flight) = &mut self.journal.in_flight {
            if in_flight.retry_at.is_none_or(|at| cx.now < at) {
                return;
            }
            in_flight.retry_at = None;
        } else if self
            .journal
            .cut(cx.now, io.me, io.sequence, cx.configuration.sharing.journal)
            .is_none()
        {
            return;
        } else {
            self.prepare_snapshot();
        }
        let Some(in_flight) = &self.journal.in_flight else {
            return;
        };
        io.emit(BatchEffect::Append {
            cell: self.id.clone(),
            number: in_flight.number,
            record: Box::new(in_flight.record.clone()),
            valid_until,
        });
    }

    /// Keeps the state that the record just cut leads to, if a snapshot is due.
    fn prepare_snapshot(&mut self) {
        let exact = self.journal.has_no_pending();
        let idle = self.snapshot.is_none() && !self.writing_snapshot;
        if idle && exact && self.journal.wants_snapshot(self.ledger.snapshot_bytes()) {
            let through = self.journal.committed + 1;
            self.snapshot = Some(self.ledger.snapshot(through));
        }
    }

    /// Handles the answer to an append; false if the cell was lost.
    pub(super) fn appended(
        &mut self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
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
            Appended::Written if cx.membership.may_act(cx.now) => self.committed(cx, io),
            Appended::Written | Appended::Taken | Appended::Unknown => {
                self.failing_since.get_or_insert(cx.now);
                let cell = self.id.clone();
                io.emit(BatchEffect::ReadRecord {
                    cell,
                    number,
                    sequence,
                });
            }
            Appended::Unavailable | Appended::Expired => {
                self.failing_since.get_or_insert(cx.now);
                in_flight.retry_at = Some(cx.now + STORE_RETRY);
            }
        }
    }

    /// Settles an append by what stands at its number; false if another owner wrote there.
    pub(super) fn record_read(
        &mut self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
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
                let mine = record.writer == *io.me && record.sequence == sequence;
                if mine && cx.membership.may_act(cx.now) {
                    self.committed(cx, io);
                } else if mine {
                    in_flight.retry_at = Some(cx.now + STORE_RETRY);
                }
                mine
            }
            RecordRead::Absent | RecordRead::Unread => {
                in_flight.retry_at = Some(cx.now + STORE_RETRY);
                true
            }
            RecordRead::Damaged(_) => false,
        }
    }

    fn committed(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        self.journal.commit();
        self.failing_since = None;
        if self.phase == Phase::TakingOver {
            self.phase = Phase::Acting;
            let cell = self.id.clone();
            let note = CellNote::TakenOver(self.epoch);
            io.emit(BatchEffect::Note { cell, note });
        }
        self.release_held(io);
        self.hurry_workers(cx.now);
        self.write_snapshot(cx, io);
        self.act(cx, io);
    }

    fn write_snapshot(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        let due = self.snapshot.as_ref();
        let due = due.is_some_and(|s| s.through <= self.journal.committed);
        if !due || self.writing_snapshot {
            return;
        }
        let Some(valid_until) = cx.membership.right_until(cx.now) else {
            return;
        };
        if let Some(snapshot) = self.snapshot.take() {
            self.writing_snapshot = true;
            io.emit(BatchEffect::WriteSnapshot {
                cell: self.id.clone(),
                snapshot: Box::new(snapshot),
                expect: self.revision,
                valid_until,
            });
        }
    }

    /// Notes what came of a snapshot; false if a later owner has written one.
    pub(super) fn snapshot_written(
        &mut self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
        through: u64,
        result: SnapshotWritten,
    ) -> bool {
        if !std::mem::take(&mut self.writing_snapshot) {
            return true;
        }
        match result {
            SnapshotWritten::Written(revision) => self.revision = revision,
            SnapshotWritten::Standing {
                through: standing,
                revision,
            } => {
                self.revision = revision;
                if standing != through {
                    return standing < through;
                }
            }
            SnapshotWritten::Failed => return true,
        }
        let previous = self.journal.snapshot_written(through);
        if let Some(valid_until) = cx.membership.right_until(cx.now) {
            io.emit(BatchEffect::DeleteRecords {
                cell: self.id.clone(),
                after: previous,
                through,
                valid_until,
            });
        }
        true
    }

    /// True if the store is known not to take writes now.
    fn is_store_out(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= OUTAGE_SPAN)
    }

    /// Answers once everything decided until now is durable.
    fn hold(&mut self, cx: &Cx<'_>, io: &mut Io<'_>, asker: Asker, answer: JobReply) {
        if self.journal.is_settled() {
            reply(io, asker, answer);
            return;
        }
        self.held.push_back(Held {
            durable: self.journal.decided,
            deadline: cx.now + REPLY_LIMIT,
            asker,
            reply: answer,
        });
    }

    fn release_held(&mut self, io: &mut Io<'_>) {
        let durable = self.journal.durable;
        while let Some(held) = self.held.pop_front() {
            if held.durable > durable {
                self.held.push_front(held);
                return;
            }
            reply(io, held.asker, held.reply);
        }
    }

    fn expire_held(&mut self, now: Timestamp, io: &mut Io<'_>) {
        while self.held.front().is_some_and(|held| now >= held.deadline) {
            if let Some(held) = self.held.pop_front() {
                reply(io, held.asker, JobReply::Unknown);
            }
        }
    }

    /// The workers of the cell that the platform lists.
    fn listed<'a>(&self, cx: &Cx<'a>) -> Vec<(&'a WorkerId, &'a ListedWorker)> {
        listed_workers(cx, &self.id)
    }
}

/// The workers of a cell that the platform lists.
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

/// Something about a cell that operators should know.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellNote {
    /// This instance took the cell over.
    TakenOver(Epoch),
    /// This instance no longer owns the cell.
    SteppedDown,
    /// The cell's journal cannot be used.
    Stopped(JournalError),
    /// Something was done for a service that shares a worker.
    Shared(Box<interference::Decision>),
}

/// Sends an answer to whoever asked.
pub(super) fn reply(io: &mut Io<'_>, asker: Asker, reply: JobReply) {
    match asker {
        Asker::Here(call) => io.emit(BatchEffect::Reply { call, reply }),
        Asker::Peer(to, call) => {
            let message = super::PeerBatch::Reply { call, reply };
            io.emit(BatchEffect::Tell { to, message });
        }
    }
}
