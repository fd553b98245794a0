//! The monotonic clock and the time of day, as the reducer receives them.
//!
//! Timestamps count the time for which the machine is suspended, as other machines do. Timers run by
//! tokio's clock, which stands still in that time.

#[cfg(test)]
pub(crate) mod tests;

use std::{
    sync::LazyLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use guavacart_jobs::ClockReadings;
use guavacart_types::{Span, Timestamp};
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The clock that counts the time for which the machine is suspended.
static BOOT_CLOCK: LazyLock<ClockId> = LazyLock::new(|| {
    let clock = ClockId::CLOCK_BOOTTIME;
    match clock_gettime(clock) {
        Ok(_) => clock,
        Err(err) => {
            tracing::error!(
                event = "no_boot_clock", cause = %err,
                "time in suspension is not counted; run a kernel with CLOCK_BOOTTIME"
            );
            ClockId::CLOCK_MONOTONIC
        }
    }
});

static FIRST_READINGS: LazyLock<Readings> = LazyLock::new(|| Readings {
    boot: read(*BOOT_CLOCK),
    monotonic: read(ClockId::CLOCK_MONOTONIC),
});

/// Readings of the machine's clocks.
#[derive(Clone, Copy, Debug)]
struct Readings {
    /// Time that includes suspensions of the machine.
    boot: Duration,
    /// Time without suspensions of the machine, by which timers run.
    monotonic: Duration,
}

fn read(clock: ClockId) -> Duration {
    // A clock that has been read once can always be read.
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}

/// Time since the first reading in this process, with suspensions of the machine.
fn elapsed() -> Duration {
    let first = FIRST_READINGS.boot;
    let elapsed = read(*BOOT_CLOCK).saturating_sub(first);
    #[cfg(test)]
    let elapsed = elapsed + tests::suspended();
    elapsed
}

/// Monotonic time since the first reading in this process, with suspensions of the machine; never 0,
/// which stands for "never".
pub(crate) fn now() -> Timestamp {
    Timestamp(1 + Span::from(elapsed()).0)
}

/// The `Instant` at which a timer for this timestamp fires. The machine may be suspended before it;
/// the timer is then late.
pub(crate) fn instant(at: Timestamp) -> Instant {
    let at = Duration::from(Span(at.0.saturating_sub(1)));
    Instant::now() + at.saturating_sub(elapsed())
}

/// Time for which the machine has been suspended since the first reading in this process.
pub(crate) fn suspended_time() -> Span {
    let first = FIRST_READINGS.monotonic;
    let elapsed = elapsed();
    let without_suspensions = read(ClockId::CLOCK_MONOTONIC).saturating_sub(first);
    elapsed.saturating_sub(without_suspensions).into()
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
