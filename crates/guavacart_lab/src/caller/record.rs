//! What callers saw.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use guavacart_types::Class;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

use crate::sync::lock;

/// Significant digits of latencies.
const DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How an attempt ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// With the whole answer to the caller's own request.
    Answered,
    /// With an answer that is partial or not the caller's.
    Wrong,
    /// With an error of the endpoint's own.
    EndpointError(u16),
    /// Refused as not run, for this reason.
    NotRun(SmolStr),
    /// Said to have perhaps run, for this reason.
    MayHaveRun(SmolStr),
    /// With an answer that states no outcome.
    NoOutcome(u16),
    /// The connection broke, or nothing came for long after the deadline.
    Broken,
    /// The caller gave up.
    Abandoned,
    /// No byte was sent.
    NotSent,
}

/// One attempt of one request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: SmolStr,
    /// The attempt's number, from 1.
    pub number: u32,
    /// The team.
    pub team: SmolStr,
    /// The class that was declared.
    pub class: Class,
    /// Whether it was said to be idempotent.
    pub idempotent: bool,
    /// When it was due, in microseconds of the lab's clock.
    pub due_us: u64,
    /// When it was sent.
    pub sent_us: u64,
    /// When it ended.
    pub ended_us: u64,
    /// The caller's side of the connection.
    pub local: Option<SocketAddr>,
    /// How it ended.
    pub ending: Ending,
}

/// The attempts of all callers.
#[derive(Clone, Debug, Default)]
pub struct Record {
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Attempt {
    /// Time from when it was due to its end, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.due_us)
    }

    /// True if the endpoint cannot have been reached, by what the caller was told.
    pub fn says_not_run(&self) -> bool {
        matches!(self.ending, Ending::NotRun(_) | Ending::NotSent)
    }
}

impl Record {
    /// Adds an attempt.
    pub fn push(&self, attempt: Attempt) {
        lock(&self.attempts).push(attempt);
    }

    /// All attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.attempts).clone()
    }

    /// Attempts so far and those that were answered.
    pub fn progress(&self) -> (usize, usize) {
        let attempts = lock(&self.attempts);
        let answered = |a: &&Attempt| a.ending == Ending::Answered;
        (attempts.len(), attempts.iter().filter(answered).count())
    }
}

/// Latencies, in microseconds, of the answered attempts that `wanted` chooses.
pub fn latencies(attempts: &[Attempt], wanted: impl Fn(&Attempt) -> bool) -> Latencies {
    let mut latencies = Latencies::default();
    for attempt in attempts {
        if attempt.ending == Ending::Answered && wanted(attempt) {
            latencies.push(attempt.latency_us());
        }
    }
    latencies
}

/// A histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
            .expect("three digits are within 0 to 5, and the greatest is twice the least");
        Self { histogram }
    }
}

impl Latencies {
    /// Adds a latency in microseconds.
    pub fn push(&mut self, us: u64) {
        self.histogram.saturating_record(us);
    }

    /// How many there are.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// True if there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A quantile in milliseconds, such as 0.99.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
