//! Endpoints that fail or lag far behind the others rest, each time for longer.

use guavacart_types::{Span, Timestamp};

/// First rest of an outlier.
const FIRST_REST: Span = Span::millis(500);
/// Longest rest of an outlier.
const LONGEST_REST: Span = Span::secs(30);
/// Failures in a row that make an outlier.
const FAILURES: u32 = 5;
/// An endpoint this many times slower than the service's mean counts as failing.
const SLOW_FACTOR: u64 = 8;

/// How an endpoint has done of late.
#[derive(Clone, Debug, Default)]
pub(super) struct Probation {
    failures: u32,
    rest: Span,
    until: Option<Timestamp>,
}

impl Probation {
    /// True while the endpoint takes trial requests at most.
    pub(super) fn is_on(&self) -> bool {
        self.until.is_some()
    }

    /// True if a trial request may be sent.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// True if the endpoint is an outlier that should be put on probation.
    pub(super) fn is_outlier(&self) -> bool {
        !self.is_on() && self.failures >= FAILURES
    }

    /// Starts or prolongs a rest.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.rest = Span((self.rest.0 * 2).clamp(FIRST_REST.0, LONGEST_REST.0));
        self.until = Some(now + self.rest);
    }

    /// Ends a probation that no trial request came to end; one failure more renews it.
    pub(super) fn lapse(&mut self, now: Timestamp) -> bool {
        let lapsed = self.until.is_some_and(|at| now.since(at) > LONGEST_REST);
        if lapsed {
            self.until = None;
            self.failures = FAILURES - 1;
        }
        lapsed
    }

    /// Counts the end of a request that took `took` where `expected` is usual.
    pub(super) fn note(&mut self, now: Timestamp, failed: bool, took: Span, expected: Span) {
        let slow = took.0 > expected.0.max(1) * SLOW_FACTOR;
        if !failed && !slow {
            self.failures = 0;
            self.until = None;
            self.rest = Span(self.rest.0 / 2);
            return;
        }
        self.failures += 1;
        if self.is_trial_due(now) {
            self.begin(now);
        }
    }
}
