//! Evidence that this owner has not been superseded.
//!
//! An executor refuses the orders of a superseded owner only if it has seen the newer epoch, and an
//! executor that has restarted has seen none. What this owner concludes from silence, or from an
//! executor without that memory, therefore waits until the store has confirmed the ownership lease
//! after the observation.

use guavacart_types::Timestamp;

use super::State;
use crate::Effect;

/// What is known of the ownership lease.
#[derive(Debug)]
pub(super) struct Ownership {
    /// When the newest renewal that the store confirmed was sent. No other owner had taken over
    /// before this time.
    confirmed_at: Timestamp,
    /// Time of the last observation that waits for a confirmation.
    awaited_since: Option<Timestamp>,
    /// A renewal was requested and has not been confirmed.
    is_requested: bool,
}

impl Ownership {
    /// The ownership of an owner whose take-over is not confirmed yet.
    pub(super) fn unconfirmed() -> Self {
        Self {
            confirmed_at: Timestamp(0),
            awaited_since: None,
            is_requested: false,
        }
    }

    /// True if the store has confirmed the lease since the time `at`.
    pub(super) fn is_confirmed_since(&self, at: Timestamp) -> bool {
        at <= self.confirmed_at
    }
}

impl State {
    /// Records that the store confirmed a renewal of the ownership lease that was sent at `at`.
    pub(super) fn on_ownership_confirmed(&mut self, at: Timestamp) {
        let ownership = &mut self.ownership;
        ownership.confirmed_at = ownership.confirmed_at.max(at);
        ownership.is_requested = false;
        let is_awaited = |since: &mut Timestamp| *since <= at;
        if ownership.awaited_since.take_if(is_awaited).is_some() {
            self.needs_placement = true;
        }
    }

    /// Has the ownership lease confirmed soon, for an observation that was made now.
    pub(super) fn await_confirmation(&mut self) {
        self.ownership.awaited_since = Some(self.now);
    }

    /// Requests a renewal if an observation waits for one.
    pub(super) fn request_awaited_confirmation(&mut self) {
        let ownership = &mut self.ownership;
        if ownership.awaited_since.is_some() && !ownership.is_requested {
            ownership.is_requested = true;
            self.effects.push(Effect::ConfirmOwnership);
        }
    }
}
