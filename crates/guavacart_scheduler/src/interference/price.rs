//! What a class costs the services of a worker.

use guavacart_config::Weights;

use super::estimator::Estimate;

/// Share of an unknown pair's expected cost that is asked for its one trial.
const TRIAL_SHARE: f64 = 0.1;

/// Latency already added at which the next task costs twice as much as the first.
const DOUBLING_ADDED: f64 = 0.05;

/// What a service on one worker bears already.
pub(super) struct WorkerLoad {
    /// Share of its slots that it is expected to need.
    pub(super) busy: f64,
    /// Latency that the batch work there adds, as a share.
    pub(super) added: f64,
    /// True if another worker tries the class beside the service.
    pub(super) on_trial_elsewhere: bool,
}

/// The price of a class beside one service on one worker.
///
/// An unknown pair is cheap for one worker, so that it is tried, and expensive for all others meanwhile.
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
