//! Run times seen against run times declared.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, Span, TeamName};

use super::job::JobSpec;

/// A ratio of one, in thousandths.
const ONE: u64 = 1_000;
/// Share of a new observation in the estimate, as a divisor.
const WEIGHT_DIVISOR: u64 = 8;
/// Largest and smallest correction, in thousandths.
const LIMITS: (u64, u64) = (20, 50_000);

/// How far run times are from what teams declare, by team and class.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    ratios: BTreeMap<(TeamName, BatchClass), u64>,
}

impl RunTimes {
    /// Notes the run time of a whole task.
    pub(super) fn finished(&mut self, spec: &JobSpec, ran: Span) {
        let seen = ran.0.saturating_mul(ONE) / spec.run_time.0.max(1);
        let seen = seen.clamp(LIMITS.0, LIMITS.1);
        let key = (spec.team.clone(), spec.class.clone());
        let ratio = self.ratios.entry(key).or_insert(seen);
        *ratio = (*ratio * (WEIGHT_DIVISOR - 1) + seen) / WEIGHT_DIVISOR;
    }

    /// The run time to expect of a task.
    pub(super) fn expect(&self, spec: &JobSpec) -> Span {
        let key = (spec.team.clone(), spec.class.clone());
        let ratio = self.ratios.get(&key).copied().unwrap_or(ONE);
        Span(spec.run_time.0.saturating_mul(ratio) / ONE)
    }
}
