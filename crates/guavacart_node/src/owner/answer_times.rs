//! How long executors take to answer, and how long an answer is waited for.

use std::cell::Cell;

use guavacart_types::Span;

use crate::ports::LATE_ANSWER_TIMEOUT;

/// Shortest time after which an order without an answer counts as unanswered.
const MIN_ANSWER_TIMEOUT: Span = Span::millis(350);
/// The timeout as a multiple of the average answer time.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Weight of one answer in the average.
const WEIGHT: f64 = 0.05;

/// The average answer time of all executors. It grows while this instance's own link or processor
/// is the bottleneck, which must not look like executors that are silent.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    average_ms: Cell<f64>,
}

impl AnswerTimes {
    /// Records the time that an answer took, also if it came after the timeout.
    pub(super) fn record(&self, taken: Span) {
        let average = self.average_ms.get();
        self.average_ms
            .set(average + WEIGHT * (taken.0 as f64 - average));
    }

    /// Time after which an order without an answer counts as unanswered.
    pub(super) fn timeout(&self) -> Span {
        let timeout = Span((TIMEOUT_FACTOR * self.average_ms.get()) as u64);
        timeout.clamp(MIN_ANSWER_TIMEOUT, LATE_ANSWER_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
