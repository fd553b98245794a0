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

/// Age at which the last report of a cell's free capacity is ignored.
const MAX_CAPACITY_REPORT_AGE: Span = Span::secs(3);

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
pub struct FreeCapacity {
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
    pub wants_more: bool,
    /// True if the cell has a cap from the cell that divides the quota.
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
    /// The most that the team's tasks may hold in the receiver while another cell wants more; a
    /// larger share shrinks to the cap as tasks end. `None` removes the cap.
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
pub struct ReturnedTasks {
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
    Return(Box<ReturnedTasks>),
    /// Assigns a share of a team's quota.
    Share(Box<ShareOrder>),
    /// Confirms tasks that the sender holds durably.
    Acknowledged {
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
    FreeCapacity(CellId, FreeCapacity),
    /// To the owner of one cell.
    HandOff(CellId, HandOff),
}

impl Outgoing {
    pub(super) fn into_message(self) -> PeerBatch {
        match self {
            Self::FreeCapacity(cell, free_capacity) => PeerBatch::FreeCapacity {
                cell,
                free_capacity,
            },
            Self::HandOff(cell, message) => PeerBatch::HandOff { cell, message },
        }
    }
}

/// The last report of free capacity from each cell.
#[derive(Debug, Default)]
pub(super) struct CapacityReports {
    reports: BTreeMap<CellId, (FreeCapacity, Timestamp)>,
}

impl CapacityReports {
    pub(super) fn update(&mut self, now: Timestamp, cell: CellId, free_capacity: FreeCapacity) {
        self.reports.insert(cell, (free_capacity, now));
    }

    /// The free capacity of a cell, if its last report is recent.
    pub(super) fn recent(&mut self, now: Timestamp, cell: &CellId) -> Option<&mut FreeCapacity> {
        let (free_capacity, reported_at) = self.reports.get_mut(cell)?;
        (now.since(*reported_at) < MAX_CAPACITY_REPORT_AGE).then_some(free_capacity)
    }
}

impl FreeCapacity {
    /// Returns how many of `wanted` tasks with these resources fit, and subtracts their resources.
    pub(super) fn reserve_tasks(&mut self, resources: &Resources, wanted: usize) -> usize {
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
