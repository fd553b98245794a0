//! The process's monotonic clock.

use std::time::{Duration, Instant};

use guavacart_types::Timestamp;

/// Counts milliseconds since the process started, also while the process is paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        let ms = self.start.elapsed().as_millis();
        Timestamp(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Returns the instant at which this clock shows `at`.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_millis(at.0)
    }
}
