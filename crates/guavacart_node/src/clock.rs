//! The monotonic clock and the time of day, as the reducer receives them.

use std::{
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use guavacart_jobs::ClockReadings;
use guavacart_types::{Span, Timestamp};
use tokio::time::Instant;

static FIRST_READING: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since the first reading in this process; never 0, which stands for "never".
pub(crate) fn now() -> Timestamp {
    let start = *FIRST_READING.get_or_init(Instant::now);
    Timestamp(1 + Span::from(start.elapsed()).0)
}

/// Converts a timestamp of this process to an `Instant`.
pub(crate) fn instant(at: Timestamp) -> Instant {
    let start = *FIRST_READING.get_or_init(Instant::now);
    start + Span(at.0.saturating_sub(1)).into()
}

/// Time of day in Unix milliseconds; 0 if the system clock is set before 1970.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| Span::from(since_epoch).0)
}

pub(crate) fn current_times() -> ClockReadings {
    ClockReadings {
        now: now(),
        unix_ms: unix_ms(),
    }
}
