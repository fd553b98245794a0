//! What the owners of cells say to one another to move tasks.

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

/// Age at which what a cell said about its room no longer counts.
const ROOM_LIFE: Span = Span::secs(3);

/// Allows tasks to be offered to a cell for a short time under one of its epochs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The cell's epoch.
    pub epoch: Epoch,
    /// When the cell's owner issued it, by that owner's clock.
    pub issued: Timestamp,
}

/// What a cell could take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// Goes with every offer to the cell.
    pub ticket: Ticket,
    /// What is free on each worker that takes tasks.
    pub free: Vec<Resources>,
    /// Jobs that wait there.
    pub waiting: u32,
    /// How it stands with team quotas; none while that is not durable.
    pub shares: Vec<ShareReport>,
}

/// How a cell stands with a team's quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareReport {
    /// The team.
    pub team: TeamName,
    /// What it holds of the quota.
    pub share: Share,
    /// What the team's tasks take there.
    pub used: Resources,
    /// True if a job waits for a greater share.
    pub waits: bool,
    /// True if it was told to hold less than its share.
    pub capped: bool,
}

/// What the cell that divides a team's quota tells another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareOrder {
    /// The cell that divides the quota.
    pub from: CellId,
    /// The team.
    pub team: TeamName,
    /// What the receiver was granted.
    pub share: Share,
    /// What it is to go down to as tasks end.
    pub cap: Option<Resources>,
}

/// Tasks from their home to another cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The home.
    pub from: CellId,
    /// The home's epoch.
    pub epoch: Epoch,
    /// What the receiver issued.
    pub ticket: Ticket,
    /// The job.
    pub spec: JobSpec,
    /// True if the job was cancelled.
    pub cancelled: bool,
    /// The tasks.
    pub tasks: Vec<(u32, Task)>,
}

/// Tasks on their way back to their home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Back {
    /// The cell that held them.
    pub from: CellId,
    /// The home's epoch when it sent them; an older owner must not answer.
    pub epoch: Epoch,
    /// The job.
    pub job: JobId,
    /// The tasks, waiting or ended.
    pub tasks: Vec<(u32, Task)>,
}

/// A message from the owner of one cell to the owner of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandOff {
    /// Tasks for the cell.
    Offer(Box<Offer>),
    /// Tasks that come home.
    Back(Box<Back>),
    /// A share of a team's quota.
    Share(Box<ShareOrder>),
    /// Tasks that the sender holds durably.
    Taken {
        /// The sender's cell.
        from: CellId,
        /// The tasks.
        tasks: Vec<(TaskId, Attempt)>,
    },
}

/// A message on its way out of a cell.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// For the owners of all other cells.
    Room(CellId, Room),
    /// For the owner of one cell.
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

/// What each cell last said about its room.
#[derive(Debug, Default)]
pub(super) struct Rooms {
    heard: BTreeMap<CellId, (Room, Timestamp)>,
}

impl Rooms {
    pub(super) fn heard(&mut self, now: Timestamp, cell: CellId, room: Room) {
        self.heard.insert(cell, (room, now));
    }

    /// What a cell has room for, if it said so a short time ago.
    pub(super) fn fresh(&mut self, now: Timestamp, cell: &CellId) -> Option<&mut Room> {
        let (room, heard) = self.heard.get_mut(cell)?;
        (now.since(*heard) < ROOM_LIFE).then_some(room)
    }
}

impl Room {
    /// How many of `wanted` tasks of a shape fit; takes their room.
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
