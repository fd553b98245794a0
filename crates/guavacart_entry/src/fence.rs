//! Checks, directly before a request is sent, that the ownership on which the reducer based the
//! dispatch still holds.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use guavacart_types::Timestamp;

use crate::clock::Clock;

/// The generation of this instance's ownership, which changes whenever the instance may have lost
/// ownership of something; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fence(Arc<AtomicU64>);

/// Permission to act until the generation changes or the ownership lease expires.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    fence: Fence,
    generation: u64,
    clock: Clock,
    valid_until: Timestamp,
}

impl Fence {
    /// Sets the generation and so invalidates the permits of earlier ones.
    ///
    /// Must be called before the effects of the same event are run, so that no earlier permit is
    /// valid when a peer receives news of a change.
    pub(crate) fn set_generation(&self, generation: u64) {
        self.0.store(generation, Ordering::SeqCst);
    }

    /// Returns a permit for the current generation, valid until `valid_until`.
    pub(crate) fn permit(&self, clock: Clock, valid_until: Timestamp) -> Permit {
        Permit {
            fence: self.clone(),
            generation: self.0.load(Ordering::SeqCst),
            clock,
            valid_until,
        }
    }
}

impl Permit {
    /// Returns true if the generation is unchanged and `valid_until` is not reached.
    pub(crate) fn is_valid(&self) -> bool {
        self.fence.0.load(Ordering::SeqCst) == self.generation
            && self.clock.now() < self.valid_until
    }
}

#[cfg(test)]
mod tests;
