//! Notices that the machine was suspended.

#[cfg(test)]
mod tests;

use std::rc::Rc;

use guavacart_types::Span;
use tokio::time;

use crate::{Platform, clock, shared::Shared};

/// How often the clocks are compared.
const CHECK_INTERVAL: Span = Span::millis(500);
/// Shortest suspension that is noticed; the clocks are read one after the other, and the thread may
/// be preempted in between.
const MIN_SUSPENSION: Span = Span::millis(100);

/// The time for which the machine has been suspended, as far as it is known.
#[derive(Debug)]
struct Suspensions {
    known: Span,
}

impl Suspensions {
    /// Compares with the time for which the machine has been suspended in all; returns the length of
    /// suspensions since the last comparison.
    fn check(&mut self, total: Span) -> Option<Span> {
        let new = total.saturating_sub(self.known);
        self.known = self.known.max(total);
        (new >= MIN_SUSPENSION).then_some(new)
    }
}

/// Logs and counts suspensions of the machine until the node stops.
pub(crate) async fn watch<P: Platform>(shared: Rc<Shared<P>>) {
    let mut suspensions = Suspensions {
        known: clock::suspended_time(),
    };
    loop {
        time::sleep(CHECK_INTERVAL.into()).await;
        let Some(suspended) = suspensions.check(clock::suspended_time()) else {
            continue;
        };
        shared.counters.suspensions.add(1);
        shared.counters.suspended_ms.add(suspended.0);
        tracing::warn!(
            event = "suspended",
            suspended_ms = suspended.0,
            "the machine was suspended; timers are late by this time"
        );
    }
}
