//! What a class costs the services of a worker.

use guavacart_config::Weights;

use super::estimator::Estimate;

/// Share of an unknown pair's expected cost that is asked for its one trial.
const TRIAL_SHARE: f64 = 0.1;

/// Latency already added at which the next task costs twice as much as the first.
const DOUBLING_ADDED: f64 = 0.05;

/// What a service on one worker bears already.
pub(super) struct Burden {
    /// Share of its slots that it is expected to need.
    pub(super) busy: f64,
    /// Latency that the batch work there adds, as a share.
    pub(super) added: f64,
    /// True if another worker tries the class beside the service.
    pub(super) tried_elsewhere: bool,
}

/// The price of a class beside one service on one worker.
///
/// An unknown pair is cheap for one worker, so that it is tried, and dear for all others meanwhile.
pub(super) fn price(estimate: &Estimate, burden: &Burden, weights: &Weights) -> u64 {
    let slope = match (estimate.is_known(), burden.tried_elsewhere) {
        (true, _) => estimate.slope.max(0.0),
        (false, true) => estimate.upper(),
        (false, false) => estimate.slope.max(0.0) * TRIAL_SHARE,
    };
    let tail = f64::from(weights.tail.max(1));
    let crest = f64::from(weights.crest) * burden.busy;
    let scarcity = 1.0 + burden.added / DOUBLING_ADDED;
    (slope * (tail + crest) * scarcity * 1_000.0).round() as u64
}
