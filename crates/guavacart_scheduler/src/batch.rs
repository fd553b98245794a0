//! Batch work: cells, their journals, placement of tasks on workers, and task leases.

pub mod call;
mod cell;
pub mod decision;
mod estimate;
pub mod handoff;
pub mod job;
pub mod journal;
mod lease_renewer;
mod ledger;
mod link;
mod peer;
mod peer_renewals;
mod pending_calls;
pub mod placement;
pub mod quota;
pub mod worker;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use guavacart_types::{
    CallId, CellId, Epoch, InstanceId, JobId, Revision, TeamName, Timestamp, WorkerId,
    rendezvous_weight,
};
use serde::{Deserialize, Serialize};

use self::{
    call::{JobCall, JobReply, NotAccepted, ReplyTo},
    cell::{Cell, Outputs},
    handoff::{CapacityReports, HandOff, Outgoing},
    job::JobSpec,
    journal::{Appended, Record, Snapshot, SnapshotWritten, Stored},
    lease_renewer::LeaseRenewer,
    peer_renewals::PeerRenewals,
    pending_calls::PendingCalls,
    worker::{WorkerReport, WorkerSync},
};
pub use self::{
    cell::{CellEvent, CellPhase, CellReadError, CellSummary, RecordRead, WorkerProbation},
    link::{ATTEMPT_LEASE, SYNC_INTERVAL},
    peer::PeerBatch,
};
use crate::{
    Cx, Effect,
    membership::{Member, Ownership},
};

/// An event that concerns batch work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum BatchEvent {
    /// A submitter submitted a job.
    Submitted {
        /// Call to answer.
        call: CallId,
        /// The submitted job.
        spec: Box<JobSpec>,
    },
    /// A submitter asked for the status of a job.
    Queried {
        /// Call to answer.
        call: CallId,
        /// Job whose status is requested.
        job: JobId,
    },
    /// A submitter cancelled jobs.
    Cancelled {
        /// Call to answer.
        call: CallId,
        /// Jobs to cancel.
        jobs: Vec<JobId>,
    },
    /// A submitter asked for a list of jobs.
    Listed {
        /// Call to answer.
        call: CallId,
        /// Lists only jobs of this team; `None` lists the jobs of all teams.
        team: Option<TeamName>,
    },
    /// A message from a peer arrived.
    Peer {
        /// Sender of the message.
        from: InstanceId,
        /// Content of the message.
        message: PeerBatch,
    },
    /// The read of a cell's journal ended.
    CellRead {
        /// Cell whose journal was read.
        cell: CellId,
        /// Number given in [`BatchEffect::ReadCell`].
        read: u64,
        /// The stored snapshot and records, or why they could not be read.
        result: Result<Box<Stored>, CellReadError>,
    },
    /// The append of a record ended.
    Appended {
        /// Cell whose journal the record belongs to.
        cell: CellId,
        /// Sequence number of the record, as in [`Record::sequence`].
        sequence: u64,
        /// Result of the append.
        result: Appended,
    },
    /// The record with the number of an unconfirmed append was read.
    RecordRead {
        /// Cell whose journal was read.
        cell: CellId,
        /// Sequence number of the record whose append is unconfirmed.
        sequence: u64,
        /// The record found under that number, if any.
        result: RecordRead,
    },
    /// The write of a snapshot ended, successfully or not.
    SnapshotWritten {
        /// Cell of the snapshot.
        cell: CellId,
        /// Number of the last record that the snapshot includes.
        through: u64,
        /// Result of the write.
        result: SnapshotWritten,
    },
    /// A call to a worker ended.
    WorkerAnswered {
        /// Cell in whose name the worker was called.
        cell: CellId,
        /// The worker's answer, or why there is none.
        report: WorkerReport,
    },
}

/// An action on behalf of batch work that the runtime has to carry out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum BatchEffect {
    /// Read the snapshot of a cell and the records after it.
    ReadCell {
        /// Cell whose journal is to be read.
        cell: CellId,
        /// Identifies the read in [`BatchEvent::CellRead`].
        read: u64,
    },
    /// Create the key of the record if it does not exist yet.
    Append {
        /// Cell whose journal the record belongs to.
        cell: CellId,
        /// Number of the record, which is part of its key.
        number: u64,
        /// Content of the record.
        record: Box<Record>,
        /// When this instance's ownership lease expires, checked right before the call is sent.
        valid_until: Timestamp,
    },
    /// Read the record with a given number.
    ReadRecord {
        /// Cell whose journal is to be read.
        cell: CellId,
        /// Number of the record.
        number: u64,
        /// Identifies the append in [`BatchEvent::RecordRead`].
        sequence: u64,
    },
    /// Write a snapshot if the revision of its key is still `expect`.
    WriteSnapshot {
        /// Cell of the snapshot.
        cell: CellId,
        /// Content of the snapshot.
        snapshot: Box<Snapshot>,
        /// Revision of the snapshot to replace.
        expect: Revision,
        /// When this instance's ownership lease expires, checked right before the call is sent.
        valid_until: Timestamp,
    },
    /// Delete the records and the snapshot parts that the newest snapshot replaces.
    DeleteRecords {
        /// Cell whose journal is to be trimmed.
        cell: CellId,
        /// Last record number of the previous snapshot, whose parts are deleted too.
        after: u64,
        /// Last record number of the newest snapshot.
        through: u64,
        /// When this instance's ownership lease expires, checked right before the calls are sent.
        valid_until: Timestamp,
    },
    /// Call a worker.
    Sync {
        /// Cell in whose name the worker is called.
        cell: CellId,
        /// Worker to call.
        worker: WorkerId,
        /// Address of the worker's HTTP port.
        address: SocketAddr,
        /// Identifies the call in [`WorkerReport`].
        sync: u64,
        /// Content of the call.
        call: Box<WorkerSync>,
        /// When this instance's ownership lease expires, checked right before the call is sent.
        valid_until: Timestamp,
    },
    /// Answer a submitter.
    Reply {
        /// Call to answer.
        call: CallId,
        /// Content of the answer.
        reply: JobReply,
    },
    /// Send a message to a peer.
    SendToPeer {
        /// Receiver of the message.
        to: InstanceId,
        /// Content of the message.
        message: PeerBatch,
    },
    /// Report a change of a cell to operators.
    Report {
        /// Cell that the event concerns.
        cell: CellId,
        /// Content of the event.
        event: CellEvent,
    },
}

/// The cells that this instance owns, and the calls and messages about batch work.
#[derive(Debug)]
pub struct Batch {
    me: Member,
    /// The last number given to a read, a record or a call to a worker.
    sequence: u64,
    cells: BTreeMap<CellId, Cell>,
    /// The greatest epoch that a worker of each cell is known to have seen.
    epoch_floors: BTreeMap<CellId, Epoch>,
    pending_calls: PendingCalls,
    lease_renewer: LeaseRenewer,
    peer_renewals: PeerRenewals,
    capacity_reports: CapacityReports,
    outbox: Vec<Outgoing>,
}

impl Batch {
    pub(crate) fn new(me: Member) -> Self {
        Self {
            me,
            sequence: 0,
            cells: BTreeMap::new(),
            epoch_floors: BTreeMap::new(),
            pending_calls: PendingCalls::default(),
            lease_renewer: LeaseRenewer::default(),
            peer_renewals: PeerRenewals::new(),
            capacity_reports: CapacityReports::default(),
            outbox: Vec::new(),
        }
    }

    /// True if a shutdown has nothing to wait for: no open call and no write to the store.
    pub fn is_idle(&self) -> bool {
        self.pending_calls.is_empty() && self.cells.values().all(Cell::is_settled)
    }

    /// Ids of the cells that this instance owns.
    pub fn cells(&self) -> impl Iterator<Item = &CellId> {
        self.cells.keys()
    }

    /// Status of each cell that this instance owns, in order of id.
    pub fn summaries(&self) -> impl Iterator<Item = CellSummary> {
        self.cells.values().map(Cell::summary)
    }

    pub(crate) fn tick(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let first = effects.len();
        self.update_ownership(cx, effects);
        self.peer_renewals.observe(cx);
        let last_peer_renewal = self.peer_renewals.last_peer_renewal();
        let (cells, mut outputs) = self.cells_and_outputs(effects);
        for cell in cells.values_mut() {
            cell.tick(cx, &mut outputs, last_peer_renewal);
        }
        self.renew_unattended_leases(cx, effects);
        self.deliver_outbox(cx, effects);
        self.merge_replies(effects, first);
        for (call, reply) in self.pending_calls.take_expired(cx.now) {
            effects.push(BatchEffect::Reply { call, reply }.into());
        }
    }

    pub(crate) fn apply(&mut self, cx: &Cx<'_>, event: BatchEvent, effects: &mut Vec<Effect>) {
        let first = effects.len();
        self.update_ownership(cx, effects);
        match event {
            BatchEvent::Submitted { call, spec } => {
                let origin = origin_cell(cx, &spec.id);
                let parts = origin.map(|origin| (origin, JobCall::Submit(spec)));
                self.start_call(cx, effects, call, parts.into_iter().collect(), false);
            }
            BatchEvent::Queried { call, job } => {
                let origin = origin_cell(cx, &job);
                let parts = origin.map(|origin| (origin, JobCall::Query(job)));
                self.start_call(cx, effects, call, parts.into_iter().collect(), true);
            }
            BatchEvent::Cancelled { call, jobs } => {
                let parts = by_origin_cell(cx, jobs).into_iter();
                let parts = parts.map(|(origin, jobs)| (origin, JobCall::Cancel(jobs)));
                self.start_call(cx, effects, call, parts.collect(), false);
            }
            BatchEvent::Listed { call, team } => {
                let cells = cx.configuration.cells.keys();
                let parts = cells.map(|cell| (cell.clone(), JobCall::List(team.clone())));
                self.start_call(cx, effects, call, parts.collect(), true);
            }
            BatchEvent::Peer { from, message } => self.peer_message(cx, effects, from, message),
            other => self.cell_event(cx, other, effects),
        }
        self.deliver_outbox(cx, effects);
        self.merge_replies(effects, first);
    }

    fn cells_and_outputs<'a>(
        &'a mut self,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut BTreeMap<CellId, Cell>, Outputs<'a>) {
        let outputs = Outputs {
            me: &self.me,
            sequence: &mut self.sequence,
            effects,
            outbox: &mut self.outbox,
            capacity_reports: &mut self.capacity_reports,
        };
        (&mut self.cells, outputs)
    }

    fn renew_unattended_leases(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let cells = &self.cells;
        let is_acting = |cell: &CellId| cells.get(cell).is_some_and(Cell::is_acting);
        let mut outputs = Outputs {
            me: &self.me,
            sequence: &mut self.sequence,
            effects,
            outbox: &mut self.outbox,
            capacity_reports: &mut self.capacity_reports,
        };
        self.lease_renewer.tick(cx, &mut outputs, is_acting);
    }

    /// Adds cells that this instance owns under the current view and drops cells that it has lost.
    fn update_ownership(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let view = cx.membership.view().number;
        let lost = self.cells.extract_if(.., |id, cell| {
            let keeps_ownership = cell.keeps_ownership(view);
            !keeps_ownership || !is_owner(cx, id)
        });
        let lost: Vec<Cell> = lost.map(|(_, cell)| cell).collect();
        let (_, mut outputs) = self.cells_and_outputs(effects);
        for cell in lost {
            release_cell(&mut outputs, cell);
        }
        if !cx.membership.may_act(cx.now) || cx.stopping {
            return;
        }
        let epoch_floors = &self.epoch_floors;
        let cells = &mut self.cells;
        for id in cx.configuration.cells.keys() {
            if !cells.contains_key(id) && is_owner(cx, id) {
                let epoch_floor = epoch_floors.get(id).copied().unwrap_or_default();
                cells.insert(id.clone(), Cell::new(cx, id.clone(), epoch_floor));
            }
        }
    }

    fn cell_event(&mut self, cx: &Cx<'_>, event: BatchEvent, effects: &mut Vec<Effect>) {
        if let BatchEvent::WorkerAnswered { cell, report } = &event {
            self.lease_renewer.worker_answered(cx, cell, report);
        }
        let (cells, mut outputs) = self.cells_and_outputs(effects);
        match event {
            BatchEvent::CellRead { cell, read, result } => {
                if let Some(cell) = cells.get_mut(&cell) {
                    cell.cell_read(cx, &mut outputs, read, result.map(|stored| *stored));
                }
            }
            BatchEvent::Appended {
                cell,
                sequence,
                result,
            } => {
                if let Some(cell) = cells.get_mut(&cell) {
                    cell.appended(cx, &mut outputs, sequence, result);
                }
            }
            BatchEvent::RecordRead {
                cell: id,
                sequence,
                result,
            } => {
                let cell = cells.get_mut(&id);
                let keep_cell =
                    cell.is_none_or(|c| c.record_read(cx, &mut outputs, sequence, result));
                if !keep_cell && let Some(cell) = cells.remove(&id) {
                    release_cell(&mut outputs, cell);
                }
            }
            BatchEvent::SnapshotWritten {
                cell: id,
                through,
                result,
            } => {
                let cell = cells.get_mut(&id);
                let keep_cell =
                    cell.is_none_or(|c| c.snapshot_written(cx, &mut outputs, through, result));
                if !keep_cell && let Some(cell) = cells.remove(&id) {
                    release_cell(&mut outputs, cell);
                }
            }
            BatchEvent::WorkerAnswered { cell: id, report } => {
                let cell = cells.get_mut(&id);
                let newer_epoch = cell.and_then(|c| c.worker_answered(cx, &mut outputs, report));
                if let Some(epoch) = newer_epoch {
                    if let Some(cell) = cells.remove(&id) {
                        release_cell(&mut outputs, cell);
                    }
                    self.epoch_floors.insert(id, epoch);
                }
            }
            _ => {}
        }
    }

    /// Sends a submitter's call to the owners of the cells that it concerns.
    fn start_call(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        call: CallId,
        parts: Vec<(CellId, JobCall)>,
        is_read_only: bool,
    ) {
        self.pending_calls
            .begin(cx.now, call, parts.len().max(1), is_read_only);
        if parts.is_empty() {
            let reply = JobReply::NotAccepted(NotAccepted::NoCells);
            effects.push(BatchEffect::Reply { call, reply }.into());
            return;
        }
        for (cell, request) in parts {
            self.route_call(cx, effects, call, cell, request);
        }
    }

    fn route_call(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        call: CallId,
        id: CellId,
        request: JobCall,
    ) {
        if self.cells.contains_key(&id) {
            self.call_own_cell(cx, effects, ReplyTo::Local(call), &id, request);
            return;
        }
        let effect = match cx.membership.ownership(&cell_key(&id), None) {
            Ownership::Other(to) => BatchEffect::SendToPeer {
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

    fn call_own_cell(
        &mut self,
        cx: &Cx<'_>,
        effects: &mut Vec<Effect>,
        reply_to: ReplyTo,
        id: &CellId,
        request: JobCall,
    ) {
        let (cells, mut outputs) = self.cells_and_outputs(effects);
        match cells.get_mut(id) {
            Some(cell) => cell.call(cx, &mut outputs, reply_to, request),
            None => {
                let answer = JobReply::NotAccepted(NotAccepted::NoOwner);
                cell::reply(&mut outputs, reply_to, answer);
            }
        }
    }

    fn peer_message(
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
                let reply_to = ReplyTo::Peer(from, call);
                self.call_own_cell(cx, effects, reply_to, &cell, request);
            }
            PeerBatch::Reply { call, reply } => {
                effects.push(BatchEffect::Reply { call, reply }.into());
            }
            PeerBatch::FreeCapacity {
                cell,
                free_capacity,
            } => self.capacity_reports.update(cx.now, cell, free_capacity),
            PeerBatch::HandOff { cell, message } => self.hand_off(cx, effects, &cell, message),
        }
    }

    fn hand_off(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>, id: &CellId, message: HandOff) {
        let (cells, mut outputs) = self.cells_and_outputs(effects);
        if let Some(cell) = cells.get_mut(id) {
            cell.handle_hand_off(cx, &mut outputs, message);
        }
    }

    /// Delivers the outgoing messages of cells to the owners of the receiving cells.
    fn deliver_outbox(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        while !self.outbox.is_empty() {
            for outgoing in std::mem::take(&mut self.outbox) {
                self.deliver_message(cx, effects, outgoing);
            }
        }
    }

    /// Sends a message to the other instances that own receiving cells, and handles the message here
    /// as well.
    ///
    /// A hand-off to a cell that this instance does not own has no effect here.
    fn deliver_message(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>, outgoing: Outgoing) {
        let receivers: BTreeSet<InstanceId> = match &outgoing {
            Outgoing::FreeCapacity(..) => {
                let cells = cx.configuration.cells.keys();
                cells.filter_map(|cell| other_owner(cx, cell)).collect()
            }
            Outgoing::HandOff(cell, _) if self.cells.contains_key(cell) => BTreeSet::new(),
            Outgoing::HandOff(cell, _) => other_owner(cx, cell).into_iter().collect(),
        };
        let message = outgoing.into_message();
        for to in receivers {
            let message = message.clone();
            effects.push(BatchEffect::SendToPeer { to, message }.into());
        }
        let me = self.me.id.clone();
        self.peer_message(cx, effects, me, message);
    }

    /// Merges the answers of several cells to one call, and keeps back incomplete answers.
    ///
    /// `first` is the index of the first effect that the current event has added.
    fn merge_replies(&mut self, effects: &mut Vec<Effect>, first: usize) {
        let added = effects.split_off(first);
        for effect in added {
            match effect {
                Effect::Batch(BatchEffect::Reply { call, reply }) => {
                    let merged = self.pending_calls.add_answer(call, reply);
                    let reply_effect =
                        merged.map(|reply| BatchEffect::Reply { call, reply }.into());
                    effects.extend(reply_effect);
                }
                other => effects.push(other),
            }
        }
    }
}

fn release_cell(outputs: &mut Outputs<'_>, mut cell: Cell) {
    cell.end_ownership(outputs);
    let event = CellEvent::OwnershipLost;
    let cell = cell.id;
    outputs.emit(BatchEffect::Report { cell, event });
}

/// The ownership key of a cell: the instance that owns the key owns the cell.
pub fn cell_key(cell: &CellId) -> String {
    format!("cell/{cell}")
}

fn is_owner(cx: &Cx<'_>, cell: &CellId) -> bool {
    let configured = cx.configuration.cells.contains_key(cell);
    configured && cx.membership.ownership(&cell_key(cell), None) == Ownership::Owner
}

/// The owner of the cell if that is another instance.
fn other_owner(cx: &Cx<'_>, cell: &CellId) -> Option<InstanceId> {
    match cx.membership.ownership(&cell_key(cell), None) {
        Ownership::Other(to) => Some(to),
        _ => None,
    }
}

/// The origin cell of a job, which depends on the job id and the configured cells alone. Cells that
/// joined later are left out, so that jobs keep their origin cell.
fn origin_cell(cx: &Cx<'_>, job: &JobId) -> Option<CellId> {
    let cells = cx.configuration.cells.iter();
    let origins = cells
        .filter(|(_, cell)| !cell.joined_later)
        .map(|(id, _)| id);
    let origin = origins.max_by_key(|cell| rendezvous_weight(cell.as_str(), job.as_str()));
    origin.cloned()
}

fn by_origin_cell(cx: &Cx<'_>, jobs: Vec<JobId>) -> BTreeMap<CellId, Vec<JobId>> {
    let mut origins: BTreeMap<CellId, Vec<JobId>> = BTreeMap::new();
    for job in jobs {
        if let Some(origin) = origin_cell(cx, &job) {
            origins.entry(origin).or_default().push(job);
        }
    }
    origins
}
