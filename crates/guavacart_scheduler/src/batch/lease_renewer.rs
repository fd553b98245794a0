//! Renews task leases in cells whose owner cannot act, and changes nothing else.
//!
//! While the store is unavailable, the view cannot change, so the cell of a crashed owner gets no
//! new owner. This module renews the leases of the cell's workers by cell and epoch, so that running
//! tasks continue. It places no task elsewhere, because a placement needs a record and no record
//! can be committed during the outage.

use std::collections::BTreeMap;

use guavacart_types::{CellId, Epoch, Timestamp, WorkerId};

use super::{
    BatchEffect,
    cell::{Outputs, listed_workers},
    cell_key,
    link::{ATTEMPT_LEASE, SYNC_INTERVAL},
    worker::{AttemptId, AttemptState, WorkerAnswer, WorkerReport, WorkerSync},
};
use crate::{Cx, membership::Ownership};

/// A worker whose leases this instance renews for an owner that cannot act.
#[derive(Debug, Default)]
struct UnattendedWorker {
    /// The newest epoch that the worker is known to have seen.
    epoch: Epoch,
    /// Attempts that the worker last reported as running.
    running: Vec<AttemptId>,
    /// Number of the call in progress, if any.
    call: Option<u64>,
    next_call: Timestamp,
}

/// Renews leases on workers of cells that this instance does not act for as their owner.
#[derive(Debug, Default)]
pub(super) struct LeaseRenewer {
    workers: BTreeMap<(CellId, WorkerId), UnattendedWorker>,
}

impl LeaseRenewer {
    /// Calls the workers of cells that have no acting owner. `is_acting` is true for the cells that
    /// this instance acts for itself.
    pub(super) fn tick(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        is_acting: impl Fn(&CellId) -> bool,
    ) {
        let Some(valid_until) = cx.membership.lease_expires_at(cx.now) else {
            return;
        };
        let cells = cx.configuration.cells.keys();
        let unattended: Vec<&CellId> = cells
            .filter(|cell| !is_acting(cell) && must_renew_leases(cx, cell))
            .collect();
        self.workers
            .retain(|(cell, _), _| unattended.contains(&cell));
        for cell in unattended {
            for (worker, listed) in listed_workers(cx, cell) {
                let worker_state = self.workers.entry((cell.clone(), worker.clone()));
                let worker_state = worker_state.or_default();
                if worker_state.call.is_some() || cx.now < worker_state.next_call {
                    continue;
                }
                let sync = outputs.next_number();
                worker_state.call = Some(sync);
                worker_state.next_call = cx.now + SYNC_INTERVAL;
                outputs.emit(BatchEffect::Sync {
                    cell: cell.clone(),
                    worker: worker.clone(),
                    address: listed.address,
                    sync,
                    call: Box::new(WorkerSync {
                        epoch: worker_state.epoch,
                        renew: worker_state.running.clone(),
                        lease: ATTEMPT_LEASE,
                        commands: Vec::new(),
                    }),
                    valid_until,
                });
            }
        }
    }

    /// Applies a worker's answer: the next call carries its epoch and its running attempts.
    ///
    /// The next call is made at once after a newer epoch or the first report of running attempts.
    pub(super) fn worker_answered(&mut self, cx: &Cx<'_>, cell: &CellId, report: &WorkerReport) {
        let key = (cell.clone(), report.worker.clone());
        let Some(worker_state) = self.workers.get_mut(&key) else {
            return;
        };
        if worker_state.call != Some(report.sync) {
            return;
        }
        worker_state.call = None;
        match &report.answer {
            WorkerAnswer::Superseded(epoch) => {
                worker_state.epoch = *epoch;
                worker_state.next_call = cx.now;
            }
            WorkerAnswer::Report { attempts, .. } => {
                let is_running = |s: &AttemptState| matches!(s, AttemptState::Running { .. });
                let running = attempts.iter().filter(|(_, state)| is_running(state));
                let running: Vec<AttemptId> = running.map(|(id, _)| id.clone()).collect();
                if worker_state.running.is_empty() && !running.is_empty() {
                    worker_state.next_call = cx.now;
                }
                worker_state.running = running;
            }
            WorkerAnswer::NotSent | WorkerAnswer::Unknown => {}
        }
    }
}

/// True if this instance has to renew the leases of the cell.
///
/// That is so if this instance is the owner but does not act yet, or if the owner has been silent
/// and this instance is the first member in the cell's ranking that has not been silent.
fn must_renew_leases(cx: &Cx<'_>, cell: &CellId) -> bool {
    let key = cell_key(cell);
    let owner = match cx.membership.ownership(&key, None) {
        Ownership::Owner => return true,
        Ownership::Other(owner) => owner,
        Ownership::Pending | Ownership::Nobody => return false,
    };
    if cx.membership.is_member_reachable(&owner, cx.now) {
        return false;
    }
    let me = cx.membership.me();
    let ranking = cx.membership.ranking(&key, None);
    let mut responsive = ranking
        .into_iter()
        .filter(|m| m.member == *me || cx.membership.is_member_reachable(&m.member.id, cx.now));
    responsive.next().is_some_and(|first| first.member == *me)
}
