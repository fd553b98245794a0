//! The cost of placing a task of a class beside a service.

use guavacart_config::Weights;

use super::estimator::Estimate;

/// Share of its expected cost at which an unknown pair is tried on one worker.
const TRIAL_SHARE: f64 = 0.1;

/// Latency already added, as a share, at which the next task costs twice as much as the first.
const DOUBLING_ADDED: f64 = 0.05;

/// The demand of a service and the batch work beside it on one worker.
pub(super) struct WorkerLoad {
    /// Share of its slots that the service is expected to need.
    pub(super) busy: f64,
    /// Latency that the worker's batch work already adds, as a share of the undisturbed latency.
    pub(super) added: f64,
    /// True if the class already runs beside the service on another worker.
    pub(super) on_trial_elsewhere: bool,
}

/// Returns the price of a class beside one service on one worker.
///
/// An unknown pair is cheap on the first worker, so that it is tried there, and expensive on all others
/// until it is known.
pub(super) fn price(estimate: &Estimate, load: &WorkerLoad, weights: &Weights) -> u64 {
    let slope = match (estimate.is_known(), load.on_trial_elsewhere) {
        (true, _) => estimate.slope.max(0.0),
        (false, true) => estimate.upper_bound(),
        (false, false) => estimate.slope.max(0.0) * TRIAL_SHARE,
    };
    let tail = f64::from(weights.tail.max(1));
    let crest = f64::from(weights.crest) * load.busy;
    let scarcity = 1.0 + load.added / DOUBLING_ADDED;
    (slope * (tail + crest) * scarcity * 1_000.0).round() as u64
}
