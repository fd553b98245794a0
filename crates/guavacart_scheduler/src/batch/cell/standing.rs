//! How a cell stands, for operators.

use guavacart_types::{CellId, Epoch, Timestamp, WorkerId};

use super::{Cell, Phase};
use crate::batch::link::Link;

/// How far an owner has come with a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CellPhase {
    /// Its journal is being read.
    Reading,
    /// The record that raises its epoch is being written.
    TakingOver,
    /// It works.
    Acting,
    /// Its journal cannot be used.
    Stopped,
}

/// A cell that this instance owns.
#[derive(Clone, Debug, PartialEq)]
pub struct CellStanding {
    /// The cell.
    pub cell: CellId,
    /// The epoch of this ownership; 0 before it is known.
    pub epoch: Epoch,
    /// How far this instance has come with it.
    pub phase: CellPhase,
    /// Tasks that wait for a place.
    pub queued: usize,
    /// Attempts that a worker has reported as running.
    pub running: usize,
    /// Attempts that hold or may hold a lease.
    pub leases: usize,
    /// Workers that the cell knows.
    pub workers: usize,
    /// Workers that are on probation.
    pub probation: Vec<WorkerProbation>,
}

/// A worker on probation.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerProbation {
    /// The worker.
    pub worker: WorkerId,
    /// Failed attempts since the last one that finished.
    pub failures: u32,
    /// When it may be tried again.
    pub until: Timestamp,
}

impl Cell {
    pub(in crate::batch) fn standing(&self) -> CellStanding {
        let links = || self.links.values();
        CellStanding {
            cell: self.id.clone(),
            epoch: self.epoch,
            phase: self.phase_seen(),
            queued: self.ledger.queue.values().map(|w| w.indices.len()).sum(),
            running: links().map(Link::running).sum(),
            leases: links().map(|link| link.tracked.len()).sum(),
            workers: self.links.len(),
            probation: self.probation(),
        }
    }

    fn phase_seen(&self) -> CellPhase {
        match self.phase {
            _ if self.stopped.is_some() => CellPhase::Stopped,
            Phase::Reading { .. } => CellPhase::Reading,
            Phase::TakingOver => CellPhase::TakingOver,
            Phase::Acting => CellPhase::Acting,
        }
    }

    fn probation(&self) -> Vec<WorkerProbation> {
        let workers = self.ledger.workers.iter();
        let failing = workers.filter(|(_, p)| Link::is_on_probation(p.failures_in_a_row));
        let probation = failing.map(|(worker, places)| WorkerProbation {
            worker: worker.clone(),
            failures: places.failures_in_a_row,
            until: self
                .links
                .get(worker)
                .map_or(Timestamp::default(), Link::probation_until),
        });
        probation.collect()
    }
}
