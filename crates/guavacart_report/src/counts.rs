//! Counts of requests by outcome.

use std::collections::BTreeMap;

use guavacart_types::{Outcome, Reason};
use serde::{Deserialize, Serialize};

/// Numbers of requests, each counted under one outcome.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Requests whose complete answer was sent to a caller that still waited.
    pub answered: u64,
    /// Requests that the caller gave up before their outcome was known.
    pub abandoned: u64,
    /// Requests that were refused and did not run, by reason.
    pub not_run: BTreeMap<Reason, u64>,
    /// Requests that failed and may have run, by reason.
    pub may_have_run: BTreeMap<Reason, u64>,
}

impl Counts {
    pub(crate) fn record(&mut self, outcome: Outcome, abandoned: bool) {
        let counter = match outcome {
            _ if abandoned => &mut self.abandoned,
            Outcome::NotRun(Reason::CallerGone) | Outcome::MayHaveRun(Reason::CallerGone) => {
                &mut self.abandoned
            }
            Outcome::Answered => &mut self.answered,
            Outcome::NotRun(reason) => self.not_run.entry(reason).or_default(),
            Outcome::MayHaveRun(reason) => self.may_have_run.entry(reason).or_default(),
        };
        *counter = counter.saturating_add(1);
    }

    /// Adds the counts of `other`, for example of another recorder or time bucket.
    pub fn merge(&mut self, other: &Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.abandoned = self.abandoned.saturating_add(other.abandoned);
        merge_reasons(&mut self.not_run, &other.not_run);
        merge_reasons(&mut self.may_have_run, &other.may_have_run);
    }

    /// Returns the number of requests that were refused and did not run.
    pub fn refused(&self) -> u64 {
        saturating_sum(self.not_run.values())
    }

    /// Returns the number of requests that failed and may have run.
    pub fn failed(&self) -> u64 {
        saturating_sum(self.may_have_run.values())
    }

    /// Returns the number of requests of every outcome.
    pub fn total(&self) -> u64 {
        saturating_sum([self.answered, self.abandoned, self.refused(), self.failed()].iter())
    }
}

fn merge_reasons(into: &mut BTreeMap<Reason, u64>, from: &BTreeMap<Reason, u64>) {
    for (reason, count) in from {
        let counter = into.entry(*reason).or_default();
        *counter = counter.saturating_add(*count);
    }
}

/// Returns the sum, which saturates at `u64::MAX`.
pub(crate) fn saturating_sum<'a>(counts: impl Iterator<Item = &'a u64>) -> u64 {
    counts.fold(0, |sum: u64, count| sum.saturating_add(*count))
}
