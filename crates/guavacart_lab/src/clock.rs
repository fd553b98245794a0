//! One monotonic clock for all ledgers of one process.

use std::{sync::LazyLock, time::Instant};

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Microseconds since the process first asked.
pub fn now_us() -> u64 {
    let elapsed = ORIGIN.elapsed().as_micros();
    u64::try_from(elapsed).unwrap_or(u64::MAX)
}

/// Milliseconds since the process first asked.
pub fn now_ms() -> u64 {
    now_us() / 1_000
}
