//! Summary of a run, which is its last line on stdout.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    caller::{Attempt, Ending, latencies},
    checks::Violations,
};

/// A target of a scenario and the measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Target {
    /// Name of the measured value, with its unit.
    pub name: SmolStr,
    /// Upper limit of the value, or lower limit if the name begins with `min_`.
    pub limit: f64,
    /// Measured value.
    pub measured: f64,
    /// True if the measured value is within the limit.
    pub met: bool,
}

/// Summary of a run, written as one line of JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: SmolStr,
    /// Seed of the run.
    pub seed: u64,
    /// Attempts of requests by callers.
    pub requests: u64,
    /// Attempts with a whole answer.
    pub answered: u64,
    /// Attempts that were refused as not run, or not sent.
    pub refused: u64,
    /// Attempts whose outcome is unknown or whose answer was wrong.
    pub unknown: u64,
    /// Attempts that their callers gave up.
    pub abandoned: u64,
    /// Attempts that an endpoint answered with an error.
    pub endpoint_errors: u64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Tasks of accepted jobs.
    pub tasks_submitted: u64,
    /// Tasks that workers finished.
    pub tasks_finished: u64,
    /// Attempts of tasks that were stopped by command.
    pub evictions: u64,
    /// Violations, counted from the stand-ins' own ledgers.
    pub violations: Violations,
    /// Targets of the scenario.
    pub targets: Vec<Target>,
    /// Further values of the scenario, by name.
    pub details: BTreeMap<SmolStr, f64>,
}

impl Target {
    /// Creates a target that is met if `measured` is at most `limit`.
    pub fn at_most(name: &str, limit: f64, measured: f64) -> Self {
        Self {
            name: name.into(),
            limit,
            measured,
            met: measured <= limit,
        }
    }

    /// Creates a target that is met if `measured` is at least `limit`.
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
    /// Creates a summary with the counts and latencies of `attempts`.
    pub fn of_attempts(scenario: &str, seed: u64, attempts: &[Attempt]) -> Self {
        let mut summary = Self {
            scenario: scenario.into(),
            seed,
            requests: attempts.len() as u64,
            ..Self::default()
        };
        for attempt in attempts {
            *summary.counter_for(&attempt.ending) += 1;
        }
        let all = latencies(attempts, |_| true);
        summary.p50_ms = all.quantile_ms(0.5);
        summary.p99_ms = all.quantile_ms(0.99);
        summary
    }

    fn counter_for(&mut self, ending: &Ending) -> &mut u64 {
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

    /// Adds to the details how often each reason for an unanswered attempt occurred.
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

    /// Adds a value to the details.
    pub fn add_detail(&mut self, name: &str, value: f64) {
        self.details.insert(name.into(), value);
    }
}
