//! A count and its mean over the last seconds.

use std::collections::VecDeque;

use guavacart_types::Timestamp;

/// Whole seconds that a mean is taken over.
const WINDOW_S: u64 = 10;

/// A count and its mean over the last [`WINDOW_S`] whole seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    total: u64,
    /// Seconds of the process's clock and what was counted in each, oldest first.
    seconds: VecDeque<(u64, u64)>,
}

impl Rate {
    pub(crate) fn count(&mut self, now: Timestamp) {
        self.total += 1;
        let second = now.0 / 1_000;
        while self
            .seconds
            .front()
            .is_some_and(|(at, _)| at + WINDOW_S < second)
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

    /// The mean, in counts a second; the second that is not over does not count.
    pub(crate) fn per_second(&self, now: Timestamp) -> f64 {
        let second = now.0 / 1_000;
        let whole = |at: &u64| *at < second && at + WINDOW_S >= second;
        let counted = self.seconds.iter().filter(|(at, _)| whole(at));
        let sum: u64 = counted.map(|(_, count)| count).sum();
        sum as f64 / WINDOW_S.min(second).max(1) as f64
    }
}
