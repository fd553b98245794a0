//! A counter with its mean rate over the last seconds.

use std::collections::VecDeque;

use guavacart_types::Timestamp;

/// Whole seconds over which the mean is taken.
const WINDOW_SECONDS: u64 = 10;

/// A counter with its mean rate over the last [`WINDOW_SECONDS`] whole seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    total: u64,
    /// Seconds of the process's clock with the count of each, oldest first.
    seconds: VecDeque<(u64, u64)>,
}

impl Rate {
    pub(crate) fn count(&mut self, now: Timestamp) {
        self.total += 1;
        let second = now.0 / 1_000;
        while self
            .seconds
            .front()
            .is_some_and(|(at, _)| at + WINDOW_SECONDS < second)
        {
            self.seconds.pop_front();
        }
        match self.seconds.back_mut() {
            Some((at, count)) if *at == second => *count += 1,
            _ => self.seconds.push_back((second, 1)),
        }
    }

    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the mean count per second; the current, incomplete second is left out.
    pub(crate) fn per_second(&self, now: Timestamp) -> f64 {
        let second = now.0 / 1_000;
        let whole = |at: &u64| *at < second && at + WINDOW_SECONDS >= second;
        let counted = self.seconds.iter().filter(|(at, _)| whole(at));
        let sum: u64 = counted.map(|(_, count)| count).sum();
        sum as f64 / WINDOW_SECONDS.min(second).max(1) as f64
    }
}
