//! Log of the attempts of callers and how each ended.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use guavacart_types::Class;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

use crate::sync::lock;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest latency that is recorded, in microseconds; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How an attempt ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The caller received the whole answer to its own request.
    Answered,
    /// The answer was partial or belonged to another request.
    Wrong,
    /// The endpoint answered with this error status.
    EndpointError(u16),
    /// The request was refused as not run, for this reason.
    NotRun(SmolStr),
    /// The request was reported as possibly run, for this reason.
    MayHaveRun(SmolStr),
    /// The answer had this status and stated no outcome.
    NoOutcome(u16),
    /// The connection broke, or no answer came until well after the deadline.
    Broken,
    /// The caller gave up.
    Abandoned,
    /// No byte of the request was sent.
    NotSent,
}

/// One attempt of one request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request; its repeat has the same.
    pub id: SmolStr,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Team named in the request.
    pub team: SmolStr,
    /// Declared request class.
    pub class: Class,
    /// Whether the request was declared idempotent.
    pub idempotent: bool,
    /// Time at which the schedule asked for the request, in microseconds of the lab's clock.
    pub due_us: u64,
    /// Time at which the attempt was sent, in microseconds of the lab's clock.
    pub sent_us: u64,
    /// Time at which the attempt ended, in microseconds of the lab's clock.
    pub ended_us: u64,
    /// Address of the caller's side of the connection; `None` if there was no connection.
    pub local: Option<SocketAddr>,
    /// How the attempt ended.
    pub ending: Ending,
}

/// Attempts of all callers, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Attempt {
    /// Returns the time from when the request was due to the attempt's end, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.due_us)
    }

    /// Returns true if the ending means that no endpoint ran the request.
    pub fn is_reported_not_run(&self) -> bool {
        matches!(self.ending, Ending::NotRun(_) | Ending::NotSent)
    }
}

impl AttemptLog {
    /// Adds an attempt.
    pub fn push(&self, attempt: Attempt) {
        lock(&self.attempts).push(attempt);
    }

    /// Returns all attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.attempts).clone()
    }

    /// Returns the numbers of attempts and of answered attempts so far.
    pub fn progress(&self) -> (usize, usize) {
        let attempts = lock(&self.attempts);
        let answered = |a: &&Attempt| a.ending == Ending::Answered;
        (attempts.len(), attempts.iter().filter(answered).count())
    }
}

/// Returns the latencies, in microseconds, of the answered attempts that `wanted` accepts.
pub fn latencies(attempts: &[Attempt], wanted: impl Fn(&Attempt) -> bool) -> Latencies {
    let mut latencies = Latencies::default();
    for attempt in attempts {
        if attempt.ending == Ending::Answered && wanted(attempt) {
            latencies.push(attempt.latency_us());
        }
    }
    latencies
}

/// Histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect(
            "three digits are within 0 to 5, and the upper bound is at least twice the lower",
        );
        Self { histogram }
    }
}

impl Latencies {
    /// Adds a latency in microseconds.
    pub fn push(&mut self, us: u64) {
        self.histogram.saturating_record(us);
    }

    /// Returns the number of latencies.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns true if there are no latencies.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a quantile in milliseconds; `quantile` is from 0 to 1, for example 0.99.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
