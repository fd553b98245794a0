//! Renews the leases of cells that nobody can work on now, and does nothing else.
//!
//! While the store is out no view changes, so a dead owner's cell gets no new one. Its workers'
//! leases are renewed by cell and epoch, so that running tasks go on; placing one elsewhere needs a
//! record, which nobody can commit then.

use std::collections::BTreeMap;

use guavacart_types::{CellId, Epoch, Timestamp, WorkerId};

use super::{
    BatchEffect,
    cell::{Io, listed_workers},
    cell_key,
    link::{LEASE, SYNC_INTERVAL},
    worker::{AttemptId, AttemptState, WorkerAnswer, WorkerReport, WorkerSync},
};
use crate::{Cx, membership::Standing};

/// A worker whose leases are renewed.
#[derive(Debug, Default)]
struct Ward {
    epoch: Epoch,
    running: Vec<AttemptId>,
    call: Option<u64>,
    next_call: Timestamp,
}

/// The workers whose leases this instance renews though it does not own their cells.
#[derive(Debug, Default)]
pub(super) struct Caretaker {
    wards: BTreeMap<(CellId, WorkerId), Ward>,
}

impl Caretaker {
    /// Renews leases of the cells that need it; `acts` says which this instance works on itself.
    pub(super) fn tick(&mut self, cx: &Cx<'_>, io: &mut Io<'_>, acts: impl Fn(&CellId) -> bool) {
        let Some(valid_until) = cx.membership.right_until(cx.now) else {
            return;
        };
        let cells = cx.configuration.cells.keys();
        let needy: Vec<&CellId> = cells
            .filter(|cell| !acts(cell) && is_in_care(cx, cell))
            .collect();
        self.wards.retain(|(cell, _), _| needy.contains(&cell));
        for cell in needy {
            for (worker, listed) in listed_workers(cx, cell) {
                let ward = self.wards.entry((cell.clone(), worker.clone()));
                let ward = ward.or_default();
                if ward.call.is_some() || cx.now < ward.next_call {
                    continue;
                }
                let sync = io.next();
                ward.call = Some(sync);
                ward.next_call = cx.now + SYNC_INTERVAL;
                io.emit(BatchEffect::Sync {
                    cell: cell.clone(),
                    worker: worker.clone(),
                    address: listed.address,
                    sync,
                    call: Box::new(WorkerSync {
                        epoch: ward.epoch,
                        renew: ward.running.clone(),
                        lease: LEASE,
                        commands: Vec::new(),
                    }),
                    valid_until,
                });
            }
        }
    }

    /// Takes in a worker's answer; its epoch and what it runs go into the next call, at once.
    pub(super) fn answered(&mut self, cx: &Cx<'_>, cell: &CellId, report: &WorkerReport) {
        let key = (cell.clone(), report.worker.clone());
        let Some(ward) = self.wards.get_mut(&key) else {
            return;
        };
        if ward.call != Some(report.sync) {
            return;
        }
        ward.call = None;
        match &report.answer {
            WorkerAnswer::Deposed(epoch) => {
                ward.epoch = *epoch;
                ward.next_call = cx.now;
            }
            WorkerAnswer::Report { attempts, .. } => {
                let runs = |s: &AttemptState| matches!(s, AttemptState::Running { .. });
                let running = attempts.iter().filter(|(_, state)| runs(state));
                let running: Vec<AttemptId> = running.map(|(id, _)| id.clone()).collect();
                if ward.running.is_empty() && !running.is_empty() {
                    ward.next_call = cx.now;
                }
                ward.running = running;
            }
            WorkerAnswer::NotSent | WorkerAnswer::Unknown => {}
        }
    }
}

/// True if this instance is to renew the cell's leases: it waits to own the cell, or its owner is
/// silent and this instance is the first member after it that is not.
fn is_in_care(cx: &Cx<'_>, cell: &CellId) -> bool {
    let key = cell_key(cell);
    let owner = match cx.membership.standing(&key, None) {
        Standing::Owner => return true,
        Standing::Other(owner) => owner,
        Standing::Pending | Standing::Nobody => return false,
    };
    if cx.membership.is_member_heard(&owner, cx.now) {
        return false;
    }
    let me = cx.membership.me();
    let ranking = cx.membership.ranking(&key, None);
    let mut live = ranking
        .into_iter()
        .filter(|m| m.member == *me || cx.membership.is_member_heard(&m.member.id, cx.now));
    live.next().is_some_and(|first| first.member == *me)
}
