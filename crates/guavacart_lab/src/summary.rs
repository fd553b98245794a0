//! The line that a run ends with.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    caller::{Attempt, Ending, latencies},
    checks::Violations,
};

/// A stated target of a scenario and what was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Target {
    /// What is measured, with its unit.
    pub name: SmolStr,
    /// The most, or the least if the name begins with `min_`, that it may be.
    pub limit: f64,
    /// What it was.
    pub measured: f64,
    /// True if it is within the limit.
    pub met: bool,
}

/// The last line of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: SmolStr,
    /// Its seed.
    pub seed: u64,
    /// Attempts that callers made.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Told that they may have run, or not told anything.
    pub unknown: u64,
    /// Given up by their callers.
    pub abandoned: u64,
    /// Errors of the endpoints' own.
    pub endpoint_errors: u64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// Tasks of accepted jobs.
    pub tasks_submitted: u64,
    /// Tasks that workers finished.
    pub tasks_finished: u64,
    /// Attempts of tasks that were stopped by command.
    pub evictions: u64,
    /// Broken promises, from the stand-ins' own ledgers.
    pub violations: Violations,
    /// The scenario's targets.
    pub targets: Vec<Target>,
    /// Further figures of the scenario.
    pub details: BTreeMap<SmolStr, f64>,
}

impl Target {
    /// Met if `measured` is at most `limit`.
    pub fn at_most(name: &str, limit: f64, measured: f64) -> Self {
        Self {
            name: name.into(),
            limit,
            measured,
            met: measured <= limit,
        }
    }

    /// Met if `measured` is at least `limit`.
    pub fn at_least(name: &str, limit: f64, measured: f64) -> Self {
        Self {
            name: name.into(),
            limit,
            measured,
            met: measured >= limit,
        }
    }
}

impl Summary {
    /// Counts what callers saw.
    pub fn of_attempts(scenario: &str, seed: u64, attempts: &[Attempt]) -> Self {
        let mut summary = Self {
            scenario: scenario.into(),
            seed,
            requests: attempts.len() as u64,
            ..Self::default()
        };
        for attempt in attempts {
            *summary.count_of(&attempt.ending) += 1;
        }
        let all = latencies(attempts, |_| true);
        summary.p50_ms = all.quantile_ms(0.5);
        summary.p99_ms = all.quantile_ms(0.99);
        summary
    }

    fn count_of(&mut self, ending: &Ending) -> &mut u64 {
        match ending {
            Ending::Answered => &mut self.answered,
            Ending::EndpointError(_) => &mut self.endpoint_errors,
            Ending::NotRun(_) | Ending::NotSent => &mut self.refused,
            Ending::Abandoned => &mut self.abandoned,
            Ending::MayHaveRun(_) | Ending::NoOutcome(_) | Ending::Broken | Ending::Wrong => {
                &mut self.unknown
            }
        }
    }

    /// Adds how often each reason was given.
    pub fn add_reasons(&mut self, attempts: &[Attempt]) {
        for attempt in attempts {
            let name = match &attempt.ending {
                Ending::NotRun(reason) => format_smolstr!("not_run_{reason}"),
                Ending::MayHaveRun(reason) => format_smolstr!("may_have_run_{reason}"),
                Ending::NoOutcome(status) => format_smolstr!("no_outcome_{status}"),
                Ending::NotSent => "not_sent".into(),
                Ending::Broken => "broken".into(),
                _ => continue,
            };
            *self.details.entry(name).or_default() += 1.0;
        }
    }

    /// Adds a figure.
    pub fn detail(&mut self, name: &str, value: f64) {
        self.details.insert(name.into(), value);
    }
}
