//! Messages between the owners of cells to move tasks and to divide team quotas.

use std::collections::BTreeMap;

use guavacart_types::{
    Attempt, CellId, Epoch, JobId, Resources, Span, TaskId, TeamName, Timestamp,
};
use serde::{Deserialize, Serialize};

use super::{
    PeerBatch,
    job::{JobSpec, Task},
    journal::Share,
};

/// Age at which the last report of a cell's free room is ignored.
const MAX_ROOM_AGE: Span = Span::secs(3);

/// Permits offering tasks to a cell for a short time under one of its epochs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Epoch of the cell.
    pub epoch: Epoch,
    /// Time of issue, by the clock of the cell's owner.
    pub issued: Timestamp,
}

/// Report of a cell on the tasks that it could accept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// To be sent with every offer to the cell.
    pub ticket: Ticket,
    /// Free resources of each worker that accepts tasks.
    pub free: Vec<Resources>,
    /// Number of jobs that wait in the cell.
    pub waiting: u32,
    /// The cell's use of team quotas; empty as long as the shares are not durable.
    pub shares: Vec<ShareReport>,
}

/// A cell's use of a team's quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareReport {
    /// Team that the quota belongs to.
    pub team: TeamName,
    /// Part of the quota that the cell holds.
    pub share: Share,
    /// Resources that the team's tasks take in the cell.
    pub used: Resources,
    /// True if a job waits for a greater share.
    pub waits: bool,
    /// True if the cell was ordered to go below its share.
    pub capped: bool,
}

/// Order from the cell that divides a team's quota to another cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareOrder {
    /// The cell that divides the quota.
    pub from: CellId,
    /// Team that the quota belongs to.
    pub team: TeamName,
    /// Share that is granted to the receiver.
    pub share: Share,
    /// Amount to which the receiver has to go down as tasks end.
    pub cap: Option<Resources>,
}

/// Tasks that the origin cell of their job offers to another cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// Origin cell of the job.
    pub from: CellId,
    /// Epoch of the origin cell.
    pub epoch: Epoch,
    /// Ticket that the receiver issued.
    pub ticket: Ticket,
    /// Job that the tasks belong to.
    pub spec: JobSpec,
    /// True if the job was cancelled.
    pub cancelled: bool,
    /// Offered tasks by index.
    pub tasks: Vec<(u32, Task)>,
}

/// Tasks that return to the origin cell of their job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Back {
    /// Cell that held the tasks.
    pub from: CellId,
    /// Epoch of the origin cell when it sent the tasks; an owner with an older epoch must not
    /// answer.
    pub epoch: Epoch,
    /// Job that the tasks belong to.
    pub job: JobId,
    /// Returned tasks by index, each waiting or ended.
    pub tasks: Vec<(u32, Task)>,
}

/// A message from the owner of one cell to the owner of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandOff {
    /// Offers tasks to the cell.
    Offer(Box<Offer>),
    /// Returns tasks to their origin cell.
    Back(Box<Back>),
    /// Assigns a share of a team's quota.
    Share(Box<ShareOrder>),
    /// Confirms tasks that the sender holds durably.
    Taken {
        /// Cell of the sender.
        from: CellId,
        /// Confirmed tasks, each with its attempt.
        tasks: Vec<(TaskId, Attempt)>,
    },
}

/// A message that a cell sends.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// To the owners of all other cells.
    Room(CellId, Room),
    /// To the owner of one cell.
    HandOff(CellId, HandOff),
}

impl Outgoing {
    pub(super) fn into_message(self) -> PeerBatch {
        match self {
            Self::Room(cell, room) => PeerBatch::Room { cell, room },
            Self::HandOff(cell, message) => PeerBatch::HandOff { cell, message },
        }
    }
}

/// The last report of free room from each cell.
#[derive(Debug, Default)]
pub(super) struct Rooms {
    reports: BTreeMap<CellId, (Room, Timestamp)>,
}

impl Rooms {
    pub(super) fn update(&mut self, now: Timestamp, cell: CellId, room: Room) {
        self.reports.insert(cell, (room, now));
    }

    /// The free room of a cell, if its last report is recent.
    pub(super) fn fresh(&mut self, now: Timestamp, cell: &CellId) -> Option<&mut Room> {
        let (room, reported_at) = self.reports.get_mut(cell)?;
        (now.since(*reported_at) < MAX_ROOM_AGE).then_some(room)
    }
}

impl Room {
    /// Returns how many of `wanted` tasks with these resources fit, and subtracts their resources.
    pub(super) fn take(&mut self, resources: &Resources, wanted: usize) -> usize {
        let mut taken = 0;
        for free in &mut self.free {
            while taken < wanted
                && let Some(left) = free.minus(resources)
            {
                *free = left;
                taken += 1;
            }
        }
        taken
    }
}
