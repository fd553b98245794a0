//! Executors whose capacity changes while they run.

use guavacart_types::{Resources, Span, Timestamp};

use super::{Bounds, State};
use crate::{Decision, Effect};

/// Longest time that a start order travels; see [`super::Bounds::max_entry_age`].
const MAX_ORDER_TIME: Span = Span::millis(400);

/// Longest time from the write of an entry until its content is applied, while the store answers.
const MAX_READ_TIME: Span = Span::millis(800);

/// How old the executors' entries may be.
#[derive(Debug)]
pub(super) struct EntryAge {
    /// When the newest read was sent that shows what executors had written shortly before.
    as_of: Timestamp,
    last_read: Timestamp,
    /// Since when the store has answered without a gap. Entries that are read before each executor
    /// could write its own again may be as old as the gap.
    available_since: Timestamp,
}

impl EntryAge {
    pub(super) fn new(bounds: &Bounds, available_since: Timestamp, read: Timestamp) -> Self {
        let mut age = Self {
            as_of: Timestamp(0),
            last_read: read,
            available_since,
        };
        age.record_read(bounds, read);
        age
    }

    fn record_read(&mut self, bounds: &Bounds, sent: Timestamp) {
        // After a shorter gap, a change is known in time although its first write was missed.
        let needed = bounds.entry_interval + MAX_READ_TIME;
        if sent.since(self.last_read) > bounds.max_entry_age.saturating_sub(needed) {
            self.available_since = sent;
        }
        self.last_read = sent;
        if sent.since(self.available_since) >= bounds.entry_interval {
            self.as_of = sent;
        }
    }
}

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
        executor.record_contention(now);
        executor.capacity = capacity;
        executor.record_contention(now);
        executor.has_new_room = true;
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

    /// Records that the known entries include all changes up to a read that was sent at `sent`.
    pub(super) fn on_entries_confirmed(&mut self, sent: Timestamp) {
        self.entry_age.record_read(&self.bounds, sent);
        self.resume_placement();
    }

    /// Lets tasks start again once the entries and the evacuations are known well enough.
    pub(super) fn resume_placement(&mut self) {
        if self.is_suspended && !self.are_reads_outdated() {
            self.set_suspended(false);
            self.needs_placement = true;
        }
    }

    fn are_reads_outdated(&self) -> bool {
        self.are_entries_outdated() || self.are_evacuations_outdated()
    }

    /// True if an executor may have shrunk so long ago that a start by its entry could exceed its
    /// capacity.
    pub(super) fn are_entries_outdated(&self) -> bool {
        self.now.since(self.entry_age.as_of) + MAX_ORDER_TIME > self.bounds.max_entry_age
    }

    /// True while the executors' entries or the evacuations are outdated. Placement resumes when they
    /// are read.
    pub(super) fn is_placement_suspended(&mut self) -> bool {
        let is_suspended = self.are_reads_outdated();
        if is_suspended && !self.is_suspended {
            self.set_suspended(true);
        }
        is_suspended
    }

    fn set_suspended(&mut self, is_suspended: bool) {
        self.is_suspended = is_suspended;
        let age = self.now.since(self.entry_age.as_of);
        let decision = Decision::PlacementSuspended { is_suspended, age };
        self.effects.push(Effect::Log(decision));
    }
}
