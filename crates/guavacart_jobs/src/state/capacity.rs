//! Executors whose capacity changes while they run.

use guavacart_types::Resources;

use super::State;
use crate::{Decision, Effect};

impl State {
    /// Applies the capacity of an executor's entry. Runs that no longer fit go on, and nothing else
    /// starts on the executor until all that runs there fits.
    pub(super) fn apply_capacity(&mut self, x: usize, capacity: Resources) {
        let now = self.now;
        let executor = &mut self.executors[x];
        let before = executor.capacity;
        if before == capacity {
            return;
        }
        // Best-effort tasks use another share of the executor from now on.
        executor.update_averaged_shares(now);
        executor.capacity = capacity;
        executor.update_best_effort_shares();
        let is_first = before == Resources::default();
        if !is_first {
            let decision = Decision::CapacityChanged {
                executor: executor.id.clone(),
                before,
                after: capacity,
                reserved: executor.used,
            };
            self.effects.push(Effect::Log(decision));
        }
    }
}
