//! Executors that have been replaced by another one at their address.
//!
//! An entry does not show that its executor is where it says: another writer may have left it. An
//! executor has been replaced once another one, called by its own id, has answered at the address
//! after the last sign of the former.

use std::net::SocketAddr;

use guavacart_types::Timestamp;

use super::{State, executors::Executor};
use crate::LossReason;

impl Executor {
    /// When the executor was last known to be at its address.
    fn seen_at_address(&self) -> Timestamp {
        let reported = self.incarnation.map(|_| self.last_report_at);
        self.entry_read_at.max(reported.unwrap_or_default())
    }
}

impl State {
    /// Sets the address of an executor and marks all executors that share it.
    pub(super) fn set_address(&mut self, x: usize, address: SocketAddr) {
        self.executors[x].target.address = address;
        let others = self.others_at(x);
        for other in &others {
            self.executors[*other].shares_address = true;
        }
        self.executors[x].shares_address = !others.is_empty();
    }

    /// Drops the executors that executor `x` has replaced, with all their runs, after `x` has
    /// answered an order that was sent at `sent`.
    pub(super) fn remove_replaced_by(&mut self, x: usize, sent: Timestamp) {
        if !self.executors[x].shares_address {
            return;
        }
        let mut is_alone = true;
        for other in self.others_at(x) {
            if self.executors[other].seen_at_address() > sent {
                is_alone = false;
                continue;
            }
            self.executors[other].registration = None;
            self.racks.forget_members();
            let unproven = self.unproven_runs(other);
            let lost = self.executors[other].runs.len();
            self.mark_all_lost(other, LossReason::Reborn);
            self.executor_replaced(other, x, unproven, lost);
            self.mark_reconciled(other);
        }
        self.executors[x].shares_address = !is_alone;
    }

    fn others_at(&self, x: usize) -> Vec<usize> {
        let address = self.executors[x].target.address;
        let executors = self.executors.iter().enumerate();
        let others =
            executors.filter(|(other, executor)| *other != x && executor.target.address == address);
        others.map(|(other, _)| other).collect()
    }
}
