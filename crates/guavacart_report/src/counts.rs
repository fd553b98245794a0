//! Requests counted by outcome.

use std::collections::BTreeMap;

use guavacart_types::{Outcome, Reason};
use serde::{Deserialize, Serialize};

/// Requests by outcome.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Answered whole to a caller that still waited.
    pub answered: u64,
    /// Given up by the caller before the outcome.
    pub abandoned: u64,
    /// Refused, by reason.
    pub not_run: BTreeMap<Reason, u64>,
    /// Failed with an unknown fate, by reason.
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

    /// Adds what another recorder counted.
    pub fn merge(&mut self, other: &Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.abandoned = self.abandoned.saturating_add(other.abandoned);
        merge_reasons(&mut self.not_run, &other.not_run);
        merge_reasons(&mut self.may_have_run, &other.may_have_run);
    }

    /// Requests refused before they ran.
    pub fn refused(&self) -> u64 {
        sum(self.not_run.values())
    }

    /// Requests that failed and may have run.
    pub fn failed(&self) -> u64 {
        sum(self.may_have_run.values())
    }

    /// All requests.
    pub fn total(&self) -> u64 {
        sum([self.answered, self.abandoned, self.refused(), self.failed()].iter())
    }
}

fn merge_reasons(into: &mut BTreeMap<Reason, u64>, from: &BTreeMap<Reason, u64>) {
    for (reason, count) in from {
        let counter = into.entry(*reason).or_default();
        *counter = counter.saturating_add(*count);
    }
}

/// The sum, or the greatest number where it would pass it.
pub(crate) fn sum<'a>(counts: impl Iterator<Item = &'a u64>) -> u64 {
    counts.fold(0, |sum: u64, count| sum.saturating_add(*count))
}
