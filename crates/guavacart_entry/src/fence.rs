//! The last look before a byte leaves: is what the reducer granted still so?

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use guavacart_types::Timestamp;

use crate::clock::Clock;

/// Which standing the instance is in; grows whenever it may own something no more.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fence(Arc<AtomicU64>);

/// Leave to act for as long as the standing is the same and the right to act lasts.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    fence: Fence,
    generation: u64,
    clock: Clock,
    valid_until: Timestamp,
}

impl Fence {
    /// Ends the permits of earlier generations.
    ///
    /// Called before the effects of the same event, so that a peer hears of a change only when no
    /// permit from before it holds.
    pub(crate) fn raise(&self, generation: u64) {
        self.0.store(generation, Ordering::SeqCst);
    }

    /// Leave to act in the present standing, until `valid_until`.
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
    /// True while the permit holds.
    pub(crate) fn holds(&self) -> bool {
        self.fence.0.load(Ordering::SeqCst) == self.generation
            && self.clock.now() < self.valid_until
    }
}

#[cfg(test)]
mod tests;
