//! Corrects declared run times and memory sizes by what was observed.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, ByteSize, Span, TeamName};

use super::job::JobSpec;

/// The ratio 1, in thousandths.
const RATIO_ONE: u64 = 1_000;
/// The weight of a new observation in an estimate is one divided by this number.
const WEIGHT_DIVISOR: u64 = 8;
/// Smallest and largest ratio of observed to declared value, in thousandths.
const RATIO_LIMITS: (u64, u64) = (20, 50_000);

/// Ratio of observed to declared run time, by team and class.
#[derive(Debug, Default)]
pub(super) struct RunTimeEstimates {
    ratios: BTreeMap<(TeamName, BatchClass), u64>,
}

impl RunTimeEstimates {
    /// Adds the run time of a task that ran from start to end in one attempt.
    pub(super) fn finished(&mut self, spec: &JobSpec, run_time: Span) {
        let observed = run_time.0.saturating_mul(RATIO_ONE) / spec.run_time.0.max(1);
        let observed = observed.clamp(RATIO_LIMITS.0, RATIO_LIMITS.1);
        let key = (spec.team.clone(), spec.class.clone());
        let ratio = self.ratios.entry(key).or_insert(observed);
        *ratio = (*ratio * (WEIGHT_DIVISOR - 1) + observed) / WEIGHT_DIVISOR;
    }

    /// The expected run time of a task.
    pub(super) fn expect(&self, spec: &JobSpec) -> Span {
        let key = (spec.team.clone(), spec.class.clone());
        let ratio = self.ratios.get(&key).copied().unwrap_or(RATIO_ONE);
        Span(spec.run_time.0.saturating_mul(ratio) / RATIO_ONE)
    }
}

/// Ratio of observed to declared memory, by team and class; never below 1.
#[derive(Debug, Default)]
pub(super) struct MemoryEstimates {
    ratios: BTreeMap<(TeamName, BatchClass), u64>,
}

impl MemoryEstimates {
    /// Raises the ratio if a running task takes more memory than declared and than the ratio says.
    pub(super) fn observe(&mut self, spec: &JobSpec, memory: ByteSize) {
        let observed = ratio(spec, memory);
        if observed > RATIO_ONE {
            let key = (spec.team.clone(), spec.class.clone());
            let ratio = self.ratios.entry(key).or_insert(RATIO_ONE);
            *ratio = observed.max(*ratio);
        }
    }

    /// Adds the peak memory of a finished task. Teams and classes that never exceeded their
    /// declaration have no ratio to correct.
    pub(super) fn finished(&mut self, spec: &JobSpec, peak: ByteSize) {
        let key = (spec.team.clone(), spec.class.clone());
        if let Some(known) = self.ratios.get_mut(&key) {
            let observed = ratio(spec, peak);
            *known = (*known * (WEIGHT_DIVISOR - 1) + observed) / WEIGHT_DIVISOR;
        }
    }

    /// The expected memory of a task, at least as much as declared.
    pub(super) fn expect(&self, spec: &JobSpec) -> ByteSize {
        let key = (spec.team.clone(), spec.class.clone());
        let ratio = self.ratios.get(&key).copied().unwrap_or(RATIO_ONE);
        let declared = spec.resources.memory;
        ByteSize(declared.0.saturating_mul(ratio) / RATIO_ONE).max(declared)
    }
}

fn ratio(spec: &JobSpec, memory: ByteSize) -> u64 {
    let declared = spec.resources.memory.0.max(1);
    (memory.0.saturating_mul(RATIO_ONE) / declared).clamp(RATIO_ONE, RATIO_LIMITS.1)
}
