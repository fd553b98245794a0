//! The clocks that the reducer is told.

use std::{
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use guavacart_jobs::Accepted;
use guavacart_types::{Span, Timestamp};
use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since the process's first reading; never 0.
pub(crate) fn now() -> Timestamp {
    let start = *START.get_or_init(Instant::now);
    Timestamp(1 + Span::from(start.elapsed()).0)
}

/// The instant of a timestamp of this process.
pub(crate) fn instant(at: Timestamp) -> Instant {
    let start = *START.get_or_init(Instant::now);
    start + Span(at.0.saturating_sub(1)).into()
}

/// Time of day in Unix milliseconds; 0 if it is set before 1970.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| Span::from(since).0)
}

pub(crate) fn both() -> Accepted {
    Accepted {
        now: now(),
        unix_ms: unix_ms(),
    }
}
