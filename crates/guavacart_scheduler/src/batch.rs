//! Batch work: cells, journals, placement and leases.

pub mod call;
mod calls;
mod caretaker;
mod cell;
mod contact;
pub mod decision;
mod estimate;
pub mod handoff;
pub mod job;
pub mod journal;
mod ledger;
mod link;
mod peer;
pub mod placement;
pub mod quota;
pub mod worker;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use guavacart_types::{
    CallId, CellId, Epoch, InstanceId, JobId, Revision, TeamName, Timestamp, WorkerId, weight,
};
use serde::{Deserialize, Serialize};

use self::{
    call::{Asker, JobCall, JobReply, NotAccepted},
    calls::Calls,
    caretaker::Caretaker,
    cell::{Cell, Io},
    contact::Contact,
    handoff::{HandOff, Outgoing, Rooms},
    job::JobSpec,
    journal::{Appended, Record, Snapshot, SnapshotWritten, Stored},
    worker::{WorkerReport, WorkerSync},
};
pub use self::{
    cell::{CellNote, CellPhase, CellStanding, ReadError, RecordRead, WorkerProbation},
    link::{LEASE, SYNC_INTERVAL},
    peer::PeerBatch,
};
use crate::{
    Cx, Effect,
    membership::{Member, Standing},
};

/// What happened to batch work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum BatchEvent {
    /// A submitter handed in a job.
    Submitted {
        /// The call.
        call: CallId,
        /// The job.
        spec: Box<JobSpec>,
    },
    /// A submitter asks how a job stands.
    Queried {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// A submitter cancels jobs.
    Cancelled {
        /// The call.
        call: CallId,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// A submitter lists jobs.
    Listed {
        /// The call.
        call: CallId,
        /// Only this team's.
        team: Option<TeamName>,
    },
    /// A peer's message.
    Peer {
        /// The peer.
        from: InstanceId,
        /// What it says.
        message: PeerBatch,
    },
    /// A cell was read.
    CellRead {
        /// The cell.
        cell: CellId,
        /// The read.
        read: u64,
        /// What the store holds.
        result: Result<Box<Stored>, ReadError>,
    },
    /// An append was answered.
    Appended {
        /// The cell.
        cell: CellId,
        /// The record's sequence.
        sequence: u64,
        /// What came of it.
        result: Appended,
    },
    /// The number of an append was read.
    RecordRead {
        /// The cell.
        cell: CellId,
        /// The sequence of the record that was to stand there.
        sequence: u64,
        /// What stands there.
        result: RecordRead,
    },
    /// A snapshot was written, or not.
    SnapshotWritten {
        /// The cell.
        cell: CellId,
        /// The last record that it includes.
        through: u64,
        /// What came of it.
        result: SnapshotWritten,
    },
    /// A call to a worker ended.
    WorkerAnswered {
        /// The cell.
        cell: CellId,
        /// What came of it.
        report: WorkerReport,
    },
}

/// What is to be done about batch work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum BatchEffect {
    /// Read the snapshot and the records after it.
    ReadCell {
        /// The cell.
        cell: CellId,
        /// Names the read in [`BatchEvent::CellRead`].
        read: u64,
    },
    /// Create the record's key if it is absent.
    Append {
        /// The cell.
        cell: CellId,
        /// The record's number.
        number: u64,
        /// The record.
        record: Box<Record>,
        /// End of the right to act; checked right before the call is sent.
        valid_until: Timestamp,
    },
    /// Read what stands at a number.
    ReadRecord {
        /// The cell.
        cell: CellId,
        /// The number.
        number: u64,
        /// Names the append in [`BatchEvent::RecordRead`].
        sequence: u64,
    },
    /// Write a snapshot if the key's revision is still `expect`.
    WriteSnapshot {
        /// The cell.
        cell: CellId,
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// The revision of the snapshot that it replaces.
        expect: Revision,
        /// End of the right to act; checked right before the call is sent.
        valid_until: Timestamp,
    },
    /// Delete the records and snapshot parts that the newest snapshot replaces.
    DeleteRecords {
        /// The cell.
        cell: CellId,
        /// The snapshot before went through this number; its parts go too.
        after: u64,
        /// The newest snapshot goes through this number.
        through: u64,
        /// End of the right to act; checked right before the calls are sent.
        valid_until: Timestamp,
    },
    /// Call a worker.
    Sync {
        /// The cell.
        cell: CellId,
        /// The worker.
        worker: WorkerId,
        /// Its HTTP port.
        address: SocketAddr,
        /// Names the call in [`WorkerReport`].
        sync: u64,
        /// What to say.
        call: Box<WorkerSync>,
        /// End of the right to act; checked right before the call is sent.
        valid_until: Timestamp,
    },
    /// Answer a submitter.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
    /// Send a message to a peer.
    Tell {
        /// The peer.
        to: InstanceId,
        /// What to say.
        message: PeerBatch,
    },
    /// Tell operators something.
    Note {
        /// The cell.
        cell: CellId,
        /// What.
        note: CellNote,
    },
}

/// The cells that this instance owns.
#[derive(Debug)]
pub struct Batch {
    me: Member,
    sequence: u64,
    cells: BTreeMap<CellId, Cell>,
    /// The greatest epoch that a worker of each cell is known to have seen.
    epoch_floors: BTreeMap<CellId, Epoch>,
    calls: Calls,
    caretaker: Caretaker,
    contact: Contact,
    rooms: Rooms,
    outbox: Vec<Outgoing>,
}

impl Batch {
    pub(crate) fn new(me: Member) -> Self {
        Self {
            me,
            sequence: 0,
            cells: BTreeMap::new(),
            epoch_floors: BTreeMap::new(),
            calls: Calls::default(),
            caretaker: Caretaker::default(),
            contact: Contact::new(),
            rooms: Rooms::default(),
            outbox: Vec::new(),
        }
    }

    /// True if nothing is under way that a stop should wait for.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.cells.values().all(Cell::is_settled)
    }

    /// The cells in hand.
    pub fn cells(&self) -> impl Iterator<Item = &CellId> {
        self.cells.keys()
    }

    /// How each cell in hand stands, in order of id.
    pub fn standings(&self) -> impl Iterator<Item = CellStanding> {
        self.cells.values().map(Cell::standing)
    }

    pub(crate) fn tick(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let first = effects.len();
        self.review(cx, effects);
        self.contact.observe(cx);
        let contact = self.contact.since();
        let (cells, mut io) = self.split(effects);
        for cell in cells.values_mut() {
            cell.tick(cx, &mut io, contact);
        }
        self.take_care(cx, effects);
        self.deliver(cx, effects);
        self.relay_own_replies(effects, first);
        for (call, reply) in self.calls.expired(cx.now) {
            effects.push(BatchEffect::Reply { call, reply }.into());
        }
    }

    pub(crate) fn apply(&mut self, cx: &Cx<'_>, event: BatchEvent, effects: &mut Vec<Effect>) {
        let first = effects.len();
        self.review(cx, effects);
        match event {
            BatchEvent::Submitted { call, spec } => {
                let home = home_cell(cx, &spec.id);
                let parts = home.map(|home| (home, JobCall::Submit(spec)));
                self.ask(cx, effects, call, parts.into_iter().collect(), false);
            }
            BatchEvent::Queried { call, job } => {
                let home = home_cell(cx, &job);
                let parts = home.map(|home| (home, JobCall::Query(job)));
                self.ask(cx, effects, call, parts.into_iter().collect(), true);
            }
            BatchEvent::Cancelled { call, jobs } => {
                let parts = by_home(cx, jobs).into_iter();
                let parts = parts.map(|(home, jobs)| (home, JobCall::Cancel(jobs)));
                self.ask(cx, effects, call, parts.collect(), false);
            }
            BatchEvent::Listed { call, team } => {
                let cells = cx.configuration.cells.keys();
                let parts = cells.map(|cell| (cell.clone(), JobCall::List(team.clone())));
                self.ask(cx, effects, call, parts.collect(), true);
            }
            BatchEvent::Peer { from, message } => self.peer(cx, effects, from, message),
            other => self.cell_event(cx, other, effects),
        }
        self.deliver(cx, effects);
        self.relay_own_replies(effects, first);
    }

    fn split<'a>(
        &'a mut self,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut BTreeMap<CellId, Cell>, Io<'a>) {
        let io = Io {
            me: &self.me,
            sequence: &mut self.sequence,
            effects,
            outbox: &mut self.outbox,
            rooms: &mut self.rooms,
        };
        (&mut self.cells, io)
    }

    fn take_care(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let cells = &self.cells;
        let acts = |cell: &CellId| cells.get(cell).is_some_and(Cell::is_acting);
        let mut io = Io {
            me: &self.me,
            sequence: &mut self.sequence,
            effects,
            outbox: &mut self.outbox,
            rooms: &mut self.rooms,
        };
        self.caretaker.tick(cx, &mut io, acts);
    }

    /// Takes cells up and gives them up as the view says.
    fn review(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let view = cx.membership.view().number;
        let lost = self.cells.extract_if(.., |id, cell| {
            let continues = cell.continues(view);
            !continues || !is_owner(cx, id)
        });
        let lost: Vec<Cell> = lost.map(|(_, cell)| cell).collect();
        let (_, mut io) = self.split(effects);
        for cell in lost {
            give_up(&mut io, cell);
        }
        if !cx.membership.may_act(cx.now) || cx.stopping {
            return;
        }
        let floors = &self.epoch_floors;
        let cells = &mut self.cells;
        for id in cx.configuration.cells.keys() {
            if !cells.contains_key(id) && is_owner(cx, id) {
                let floor = floors.get(id).copied().unwrap_or_default();
                cells.insert(id.clone(), Cell::new(cx, id.clone(), floor));
            }
        }
    }

    fn cell_event(&mut self, cx: &Cx<'_>, event: BatchEvent, effects: &mut Vec<Effect>) {
        if let BatchEvent::WorkerAnswered { cell, report } = &event {
            self.caretaker.answered(cx, cell, report);
        }
        let (cells, mut io) = self.split(effects);
        match event {
            BatchEvent::CellRead { cell, read, result } => {
                if let Some(cell) = cells.get_mut(&cell) {
                    cell.cell_read(cx, &mut io, read, result.map(|stored| *stored));
                }
            }
            BatchEvent::Appended {
                cell,
                sequence,
                result,
            } => {
                if let Some(cell) = cells.get_mut(&cell) {
                    cell.appended(cx, &mut io, sequence, result);
                }
            }
            BatchEvent::RecordRead {
                cell: id,
                sequence,
                result,
            } => {
                let cell = cells.get_mut(&id);
                let keeps = cell.is_none_or(|c| c.record_read(cx, &mut io, sequence, result));
                if !keeps && let Some(cell) = cells.remove(&id) {
                    give_up(&mut io, cell);
                }
            }
            BatchEvent::SnapshotWritten {
                cell: id,
                through,
                result,
            } => {
                let cell = cells.get_mut(&id);
                let keeps = cell.is_none_or(|c| c.snapshot_written(cx, &mut io, through, result));
                if !keeps && let Some(cell) = cells.remove(&id) {
                    give_up(&mut io, cell);
                }
            }
            BatchEvent::WorkerAnswered { cell: id, report } => {
                let cell = cells.get_mut(&id);
                let deposed = cell.and_then(|c| c.worker_answered(cx, &mut io, report));
                if let Some(epoch) = deposed {
                    if let Some(cell) = cells.remove(&id) {
                        give_up(&mut io, cell);
                    }
                    self.epoch_floors.insert(id, epoch);
                }
            }
            _ => {}
        }
    }

    /// Puts a submitter's call to the owners of the cells that it concerns.
    fn ask(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        call: CallId,
        parts: Vec<(CellId, JobCall)>,
        reads: bool,
    ) {
        self.calls.begin(cx.now, call, parts.len().max(1), reads);
        if parts.is_empty() {
            let reply = JobReply::NotAccepted(NotAccepted::NoCells);
            effects.push(BatchEffect::Reply { call, reply }.into());
            return;
        }
        for (cell, request) in parts {
            self.put(cx, effects, call, cell, request);
        }
    }

    fn put(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        call: CallId,
        id: CellId,
        request: JobCall,
    ) {
        if self.cells.contains_key(&id) {
            self.call_here(cx, effects, Asker::Here(call), &id, request);
            return;
        }
        let effect = match cx.membership.standing(&cell_key(&id), None) {
            Standing::Other(to) => BatchEffect::Tell {
                to,
                message: PeerBatch::Call {
                    call,
                    cell: id,
                    request,
                },
            },
            _ => BatchEffect::Reply {
                call,
                reply: JobReply::NotAccepted(NotAccepted::NoOwner),
            },
        };
        effects.push(effect.into());
    }

    fn call_here(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        asker: Asker,
        id: &CellId,
        request: JobCall,
    ) {
        let (cells, mut io) = self.split(effects);
        match cells.get_mut(id) {
            Some(cell) => cell.call(cx, &mut io, asker, request),
            None => {
                let answer = JobReply::NotAccepted(NotAccepted::NoOwner);
                cell::reply(&mut io, asker, answer);
            }
        }
    }

    fn peer(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        from: InstanceId,
        message: PeerBatch,
    ) {
        match message {
            PeerBatch::Call {
                call,
                cell,
                request,
            } => {
                let asker = Asker::Peer(from, call);
                self.call_here(cx, effects, asker, &cell, request);
            }
            PeerBatch::Reply { call, reply } => {
                effects.push(BatchEffect::Reply { call, reply }.into());
            }
            PeerBatch::Room { cell, room } => self.rooms.heard(cx.now, cell, room),
            PeerBatch::HandOff { cell, message } => self.hand_off(cx, effects, &cell, message),
        }
    }

    fn hand_off(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>, id: &CellId, message: HandOff) {
        let (cells, mut io) = self.split(effects);
        if let Some(cell) = cells.get_mut(id) {
            cell.hand_off(cx, &mut io, message);
        }
    }

    /// Brings what cells say to one another to their owners.
    fn deliver(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        while !self.outbox.is_empty() {
            for outgoing in std::mem::take(&mut self.outbox) {
                self.deliver_one(cx, effects, outgoing);
            }
        }
    }

    fn deliver_one(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>, outgoing: Outgoing) {
        let receivers: BTreeSet<InstanceId> = match &outgoing {
            Outgoing::Room(..) => {
                let cells = cx.configuration.cells.keys();
                cells.filter_map(|cell| other_owner(cx, cell)).collect()
            }
            Outgoing::HandOff(cell, _) if self.cells.contains_key(cell) => BTreeSet::new(),
            Outgoing::HandOff(cell, _) => other_owner(cx, cell).into_iter().collect(),
        };
        let message = outgoing.into_message();
        for to in receivers {
            let message = message.clone();
            effects.push(BatchEffect::Tell { to, message }.into());
        }
        let me = self.me.id.clone();
        self.peer(cx, effects, me, message);
    }

    /// Merges the answers of cells to calls that were put to several.
    fn relay_own_replies(&mut self, effects: &mut Vec<Effect>, first: usize) {
        let tail = effects.split_off(first);
        for effect in tail {
            match effect {
                Effect::Batch(BatchEffect::Reply { call, reply }) => {
                    let merged = self.calls.answered(call, reply);
                    let whole = merged.map(|reply| BatchEffect::Reply { call, reply }.into());
                    effects.extend(whole);
                }
                other => effects.push(other),
            }
        }
    }
}

fn give_up(io: &mut Io<'_>, mut cell: Cell) {
    cell.step_down(io);
    let note = CellNote::SteppedDown;
    let cell = cell.id;
    io.emit(BatchEffect::Note { cell, note });
}

/// The key whose owner owns the cell.
pub fn cell_key(cell: &CellId) -> String {
    format!("cell/{cell}")
}

fn is_owner(cx: &Cx<'_>, cell: &CellId) -> bool {
    let configured = cx.configuration.cells.contains_key(cell);
    configured && cx.membership.standing(&cell_key(cell), None) == Standing::Owner
}

/// The other instance that owns the cell.
fn other_owner(cx: &Cx<'_>, cell: &CellId) -> Option<InstanceId> {
    match cx.membership.standing(&cell_key(cell), None) {
        Standing::Other(to) => Some(to),
        _ => None,
    }
}

/// The cell that a job belongs to, by its id alone.
fn home_cell(cx: &Cx<'_>, job: &JobId) -> Option<CellId> {
    let cells = cx.configuration.cells.iter();
    let homes = cells
        .filter(|(_, cell)| !cell.joined_later)
        .map(|(id, _)| id);
    let home = homes.max_by_key(|cell| weight(cell.as_str(), job.as_str()));
    home.cloned()
}

fn by_home(cx: &Cx<'_>, jobs: Vec<JobId>) -> BTreeMap<CellId, Vec<JobId>> {
    let mut homes: BTreeMap<CellId, Vec<JobId>> = BTreeMap::new();
    for job in jobs {
        if let Some(home) = home_cell(cx, &job) {
            homes.entry(home).or_default().push(job);
        }
    }
    homes
}
