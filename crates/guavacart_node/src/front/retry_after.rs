//! How long callers are asked to wait that are refused since the store does not serve this node.
//!
//! Callers that are refused together and come back together load the nodes and the store in bursts,
//! the most when the store serves again. Each gets a wait of its own, drawn from a range whose end
//! grows with the length of the outage: in a short outage nobody waits long, and in a long one there
//! are fewer requests that are refused again.

use std::ops::RangeInclusive;

use guavacart_types::Span;
use rand::Rng;

/// Shortest wait, and the wait after a refusal with another cause; about the length of one take-over.
pub(super) const SHORTEST: Span = Span::secs(1);
/// Longest wait: after an outage, the last callers that were refused in it come back this much later.
const LONGEST: Span = Span::secs(4);
/// Unit of the header's value, in milliseconds.
const MS_PER_S: u64 = 1_000;

/// The waits to draw from, in seconds, when the store has not served this node for `failing_for`. A
/// caller waits at most about as long as the outage has lasted, and the shortest wait at least.
fn range(failing_for: Span) -> RangeInclusive<u64> {
    let longest = (SHORTEST + failing_for).min(LONGEST);
    SHORTEST.0 / MS_PER_S..=longest.0 / MS_PER_S
}

/// Draws the time after which one caller may try again, in whole seconds.
pub(super) fn choose(failing_for: Span, rng: &mut impl Rng) -> Span {
    Span::secs(rng.random_range(range(failing_for)))
}

#[cfg(test)]
mod tests;
