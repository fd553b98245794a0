//! The order in which waiting steps start when there is no room for all of them.
//!
//! Answers overload after a burst or a loss of executors: work that can still be on time starts before
//! work that cannot, and work that is of no more use to its submitter takes no room from either.

use guavacart_types::Span;

/// Multiple of the allowed duration up to which submitters still have a use for a late result.
const LATE_FACTOR: u64 = 3;

/// What a start now can still achieve; the least starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Chance {
    /// The job can be on time.
    OnTime,
    /// A service task, which serves from its start on and has no end that could be on time.
    Service,
    /// The job can end while its submitter still has a use for the result.
    Late,
    /// The job will end too late to be of use. It was accepted, and is finished after all others.
    Missed,
}

/// Times that decide on the order of a step. Points in time are in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Present time.
    pub now: u64,
    /// When the job was accepted or its occurrence was due.
    pub begun: u64,
    /// Longest duration of a job that is on time.
    pub allowed: Span,
    /// Estimated time from the start of the step to the end of the job.
    pub remaining: Span,
}

impl Timing {
    /// Latest start of the step with which the job is on time.
    pub fn latest_start(&self) -> u64 {
        self.latest_start_within(self.allowed)
    }

    /// What a start of the step now can still achieve.
    pub fn chance(&self, is_service: bool) -> Chance {
        let useful = Span(self.allowed.0.saturating_mul(LATE_FACTOR));
        if self.now <= self.latest_start() {
            Chance::OnTime
        } else if is_service {
            Chance::Service
        } else if self.now <= self.latest_start_within(useful) {
            Chance::Late
        } else {
            Chance::Missed
        }
    }

    fn latest_start_within(&self, duration: Span) -> u64 {
        let end = self.begun.saturating_add(duration.0);
        end.saturating_sub(self.remaining.0)
    }
}
