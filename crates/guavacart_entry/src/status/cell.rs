//! The status of a cell, as shown to operators.

use guavacart_scheduler::batch::{CellPhase, CellStanding, WorkerProbation};
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
    pub(super) fn of(standing: CellStanding, now: Timestamp) -> Self {
        let probation = standing.probation.into_iter();
        Self {
            cell: standing.cell,
            epoch: standing.epoch,
            state: standing.phase.into(),
            queued: standing.queued,
            running: standing.running,
            leases: standing.leases,
            workers: standing.workers,
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
