//! Probation of endpoints that fail or are much slower than the others.
//!
//! An endpoint on probation gets no requests for a time that doubles with each further failure, then
//! single trial requests until one succeeds.

use guavacart_types::{Span, Timestamp};

/// Shortest time on probation before a trial request.
const MIN_PROBATION: Span = Span::millis(500);
/// Longest time on probation before a trial request, and longest wait for that request.
const MAX_PROBATION: Span = Span::secs(30);
/// Number of consecutive failures that make an endpoint an outlier.
const OUTLIER_FAILURES: u32 = 5;
/// A request that takes more than this many times the expected time counts as a failure.
const SLOW_FACTOR: u64 = 8;

/// The consecutive failures and the probation of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Probation {
    failures: u32,
    duration: Span,
    until: Option<Timestamp>,
}

impl Probation {
    /// True while the endpoint is on probation and gets only trial requests.
    pub(super) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// True if a trial request may be sent.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// True if the endpoint is an outlier that should be put on probation.
    pub(super) fn is_outlier(&self) -> bool {
        !self.is_active() && self.failures >= OUTLIER_FAILURES
    }

    /// Starts or extends the probation; each time lasts twice as long as the one before, within
    /// bounds.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.duration = Span((self.duration.0 * 2).clamp(MIN_PROBATION.0, MAX_PROBATION.0));
        self.until = Some(now + self.duration);
    }

    /// Ends a probation for which no trial request came in time, and returns whether it did. One
    /// more failure makes the endpoint an outlier again.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        let expired = self.until.is_some_and(|at| now.since(at) > MAX_PROBATION);
        if expired {
            self.until = None;
            self.failures = OUTLIER_FAILURES - 1;
        }
        expired
    }

    /// Records the end of a request that took `took`, where `expected` is the usual service time.
    pub(super) fn record(&mut self, now: Timestamp, failed: bool, took: Span, expected: Span) {
        let slow = took.0 > expected.0.max(1) * SLOW_FACTOR;
        if !failed && !slow {
            self.failures = 0;
            self.until = None;
            self.duration = Span(self.duration.0 / 2);
            return;
        }
        self.failures += 1;
        if self.is_trial_due(now) {
            self.begin(now);
        }
    }
}
