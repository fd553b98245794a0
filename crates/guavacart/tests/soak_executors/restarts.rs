//! Faults of executors that start again under their ids and are cut off soon after.

use std::{ops::Range, thread, time::Duration};

use rand::{Rng, rngs::StdRng, seq::SliceRandom};

use crate::faults::Faults;

/// Time from the crash to the restart, in milliseconds.
const DOWN_MS: Range<u64> = 0..600;
/// Time from the restart to the first entry if that is late, in milliseconds.
const ENTRY_DELAY_MS: Range<u64> = 0..2_000;
/// Time from the restart to the cut, in milliseconds. Cuts before the owner's next report of the
/// executor are frequent.
const REACHABLE_MS: [Range<u64>; 2] = [20..800, 20..2_000];
/// Length of the cut, in milliseconds.
const CUT_MS: Range<u64> = 5_000..9_000;
/// Time from the restart to a burst of jobs, in milliseconds.
const BURST_DELAY_MS: Range<u64> = 0..300;

impl Faults {
    /// Restarts executors under their ids, mostly idle ones, submits a burst of jobs, and cuts the
    /// executors off.
    pub(crate) fn cut_off_after_restart(&self, rng: &mut StdRng) {
        let ms = |rng: &mut StdRng, range| Duration::from_millis(rng.random_range(range));
        let mut candidates: Vec<usize> = (0..self.executors).collect();
        candidates.shuffle(rng);
        if rng.random_bool(0.7) {
            candidates.sort_by_key(|n| !self.fleet.is_idle(*n));
        }
        candidates.truncate(rng.random_range(self.executors / 6..=self.executors / 3));
        let is_dark = rng.random_bool(0.3);
        candidates.retain(|n| self.fleet.crash(*n, is_dark));
        thread::sleep(ms(rng, DOWN_MS));
        let is_entry_late = rng.random_bool(0.7);
        for n in &candidates {
            let entry_delay = if is_entry_late {
                ms(rng, ENTRY_DELAY_MS)
            } else {
                Duration::ZERO
            };
            self.fleet.restart(*n, false, entry_delay);
        }
        let [short, any] = REACHABLE_MS;
        let range = if rng.random_bool(0.5) { short } else { any };
        let reachable = ms(rng, range);
        let burst_delay = ms(rng, BURST_DELAY_MS).min(reachable);
        thread::sleep(burst_delay);
        self.bursts.submit(rng);
        thread::sleep(reachable - burst_delay);
        let reaches_store = rng.random_bool(0.5);
        for n in &candidates {
            self.fleet.cut_off(*n, reaches_store);
        }
        thread::sleep(ms(rng, CUT_MS));
        for n in &candidates {
            self.fleet.reconnect(*n);
        }
    }

    /// Tells a random node that its settings file has changed.
    pub(crate) fn hang_up(&self, rng: &mut StdRng) {
        let node = self.random_node(rng);
        self.fleet
            .note(&format!("fault: {} gets SIGHUP", node.name));
        node.hang_up();
    }
}
