//! The status of a cell, as shown to operators.

use guavacart_scheduler::batch::{CellPhase, CellSummary, WorkerProbation};
use guavacart_types::{CellId, Epoch, Timestamp, WorkerId};
use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
pub(super) struct CellStatus {
    cell: CellId,
    epoch: Epoch,
    state: CellState,
    /// Tasks that wait for a worker.
    queued: usize,
    /// Attempts that workers reported as running.
    running: usize,
    /// Attempts that hold or may hold a lease.
    leases: usize,
    workers: usize,
    probation: Vec<ProbationStatus>,
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum CellState {
    Reading,
    TakingOver,
    Acting,
    Stopped,
}

/// A worker that is on probation after failures.
#[derive(Clone, Debug, Serialize)]
struct ProbationStatus {
    worker: WorkerId,
    failures_in_a_row: u32,
    /// Milliseconds until the worker may be tried again.
    wait_ms: u64,
}

impl CellStatus {
    pub(super) fn of(summary: CellSummary, now: Timestamp) -> Self {
        let probation = summary.probation.into_iter();
        Self {
            cell: summary.cell,
            epoch: summary.epoch,
            state: summary.phase.into(),
            queued: summary.queued,
            running: summary.running,
            leases: summary.leases,
            workers: summary.workers,
            probation: probation.map(|p| ProbationStatus::of(p, now)).collect(),
        }
    }
}

impl ProbationStatus {
    fn of(probation: WorkerProbation, now: Timestamp) -> Self {
        Self {
            worker: probation.worker,
            failures_in_a_row: probation.failures,
            wait_ms: probation.until.since(now).0,
        }
    }
}

impl From<CellPhase> for CellState {
    fn from(phase: CellPhase) -> Self {
        match phase {
            CellPhase::Reading => Self::Reading,
            CellPhase::TakingOver => Self::TakingOver,
            CellPhase::Acting => Self::Acting,
            CellPhase::Stopped => Self::Stopped,
        }
    }
}
