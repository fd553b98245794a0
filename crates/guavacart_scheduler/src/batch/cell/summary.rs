//! The status of a cell, for operators.

use guavacart_types::{CellId, Epoch, Timestamp, WorkerId};

use super::{Cell, Phase};
use crate::batch::link::WorkerLink;

/// How far this owner has taken over a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CellPhase {
    /// The journal is being read.
    Reading,
    /// The record that raises the epoch is being written.
    TakingOver,
    /// The owner schedules tasks and calls workers.
    Acting,
    /// The journal cannot be used; it is read again from time to time.
    Stopped,
}

/// The status of a cell that this instance owns.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSummary {
    /// The id of the cell.
    pub cell: CellId,
    /// The epoch of this ownership; 0 before it is known.
    pub epoch: Epoch,
    /// How far this instance has taken it over.
    pub phase: CellPhase,
    /// Tasks that wait for a worker.
    pub queued: usize,
    /// Attempts that a worker has reported as running.
    pub running: usize,
    /// Attempts that hold or may hold a lease.
    pub leases: usize,
    /// Workers that the owner has tracked since this ownership began.
    pub workers: usize,
    /// Workers on probation after repeated failures.
    pub probation: Vec<WorkerProbation>,
}

/// A worker that gets no task before `until`, and then one at a time, after repeated failures.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerProbation {
    /// The id of the worker.
    pub worker: WorkerId,
    /// Failed attempts since the last one that finished.
    pub failures: u32,
    /// When it may get its next task.
    pub until: Timestamp,
}

impl Cell {
    /// Returns the cell's status.
    pub(in crate::batch) fn summary(&self) -> CellSummary {
        let links = || self.links.values();
        CellSummary {
            cell: self.id.clone(),
            epoch: self.epoch,
            phase: self.reported_phase(),
            queued: self.ledger.queue.values().map(|w| w.indices.len()).sum(),
            running: links().map(WorkerLink::running).sum(),
            leases: links().map(|link| link.tracked.len()).sum(),
            workers: self.links.len(),
            probation: self.probation(),
        }
    }

    fn reported_phase(&self) -> CellPhase {
        match self.phase {
            _ if self.stopped.is_some() => CellPhase::Stopped,
            Phase::Reading { .. } => CellPhase::Reading,
            Phase::TakingOver => CellPhase::TakingOver,
            Phase::Acting => CellPhase::Acting,
        }
    }

    fn probation(&self) -> Vec<WorkerProbation> {
        let workers = self.ledger.workers.iter();
        let failing = workers.filter(|(_, p)| WorkerLink::is_on_probation(p.failures_in_a_row));
        let probation = failing.map(|(worker, worker_tasks)| WorkerProbation {
            worker: worker.clone(),
            failures: worker_tasks.failures_in_a_row,
            until: self
                .links
                .get(worker)
                .map_or(Timestamp::default(), WorkerLink::probation_until),
        });
        probation.collect()
    }
}
