//! Run times and sizes seen against those declared.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, ByteSize, Span, TeamName};

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

/// How far memory is beyond what teams declare, by team and class; never below it.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    ratios: BTreeMap<(TeamName, BatchClass), u64>,
}

impl Sizes {
    /// Notes the memory that a running task was seen to take.
    pub(super) fn seen(&mut self, spec: &JobSpec, memory: ByteSize) {
        let seen = ratio(spec, memory);
        if seen > ONE {
            let key = (spec.team.clone(), spec.class.clone());
            let ratio = self.ratios.entry(key).or_insert(ONE);
            *ratio = seen.max(*ratio);
        }
    }

    /// Notes the most memory that a task took which has finished.
    pub(super) fn finished(&mut self, spec: &JobSpec, peak: ByteSize) {
        let key = (spec.team.clone(), spec.class.clone());
        if let Some(known) = self.ratios.get_mut(&key) {
            let seen = ratio(spec, peak);
            *known = (*known * (WEIGHT_DIVISOR - 1) + seen) / WEIGHT_DIVISOR;
        }
    }

    /// The memory to expect of a task, at least what it declares.
    pub(super) fn expect(&self, spec: &JobSpec) -> ByteSize {
        let key = (spec.team.clone(), spec.class.clone());
        let ratio = self.ratios.get(&key).copied().unwrap_or(ONE);
        let declared = spec.resources.memory;
        ByteSize(declared.0.saturating_mul(ratio) / ONE).max(declared)
    }
}

fn ratio(spec: &JobSpec, memory: ByteSize) -> u64 {
    let declared = spec.resources.memory.0.max(1);
    (memory.0.saturating_mul(ONE) / declared).clamp(ONE, LIMITS.1)
}
