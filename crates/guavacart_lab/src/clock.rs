//! The lab's clock: one monotonic clock for all ledgers of a process.

use std::{sync::LazyLock, time::Instant};

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the microseconds since the first call in this process.
pub fn now_us() -> u64 {
    let elapsed = ORIGIN.elapsed().as_micros();
    u64::try_from(elapsed).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the first call of this module in this process.
pub fn now_ms() -> u64 {
    now_us() / 1_000
}
