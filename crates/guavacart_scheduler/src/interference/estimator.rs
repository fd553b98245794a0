//! For each pair of service and class: how much latency grows with pressure.
//!
//! A scalar Kalman filter for each pair, joined by one observation a report: the excess of a worker's
//! latency over the service's undisturbed latency is the sum of slope times pressure over the classes
//! that ran. Variances grow with time, and jump when reports contradict them, so that a change is
//! learned again.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, ServiceName, Span, Timestamp};

use super::{ServiceSample, history::Pressures};

/// Added latency, as a share, that a whole worker of an unknown class is expected to cause.
const PRIOR_SLOPE: f64 = 0.3;
/// Variance of an unknown pair's slope.
const PRIOR_VARIANCE: f64 = 1.0;
/// Span in which an estimate that is not renewed goes two thirds of the way back to the prior.
const MEMORY_SPAN: Span = Span::secs(300);
/// Variance of one report's excess over [`FULL_SAMPLES`] requests.
const REPORT_VARIANCE: f64 = 0.01;
/// Requests that make a report's percentile firm.
const FULL_SAMPLES: f64 = 100.0;
/// Standard deviations beyond which a report contradicts the estimates.
const SURPRISE: f64 = 3.0;
/// Share of the contradiction's square that is added to the variances.
const SURPRISE_GAIN: f64 = 0.3;
/// Standard deviation of a slope under which a pair counts as known.
const KNOWN_DEVIATION: f64 = 0.35;
/// Span in which the undisturbed latency follows a change of demand.
const BASELINE_SPAN: Span = Span::secs(4);
/// Least pressure, as a share of a worker, that tells something about a class.
const LEAST_PRESSURE: f64 = 0.01;

/// How much a whole worker of a class adds to a service's latency, as a share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The expected slope.
    pub slope: f64,
    /// Its standard deviation.
    pub deviation: f64,
}

impl Estimate {
    /// True if enough was seen of the pair.
    pub fn is_known(&self) -> bool {
        self.deviation < KNOWN_DEVIATION
    }

    /// The slope that is not expected to be passed.
    pub(super) fn upper(&self) -> f64 {
        (self.slope + self.deviation).max(0.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Pair {
    slope: f64,
    variance: f64,
    at: Timestamp,
}

impl Pair {
    /// The estimate by now, decayed towards the prior.
    fn estimate(&self, now: Timestamp) -> Estimate {
        let age = now.since(self.at).0 as f64 / MEMORY_SPAN.0 as f64;
        let kept = (-age).exp();
        let variance = PRIOR_VARIANCE + (self.variance - PRIOR_VARIANCE) * kept;
        Estimate {
            slope: PRIOR_SLOPE + (self.slope - PRIOR_SLOPE) * kept,
            deviation: variance.sqrt(),
        }
    }
}

/// The latency of a service without batch work, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    p99: f64,
    weight: f64,
    at: Timestamp,
}

/// The estimates of all pairs and the undisturbed latency of all services.
#[derive(Debug, Default)]
pub(super) struct Estimator {
    pairs: BTreeMap<ServiceName, BTreeMap<BatchClass, Pair>>,
    baselines: BTreeMap<ServiceName, Baseline>,
}

impl Estimator {
    pub(super) fn estimate(
        &self,
        now: Timestamp,
        service: &ServiceName,
        class: &BatchClass,
    ) -> Estimate {
        let pair = self.pairs.get(service).and_then(|pairs| pairs.get(class));
        pair.map_or(
            Estimate {
                slope: PRIOR_SLOPE,
                deviation: PRIOR_VARIANCE.sqrt(),
            },
            |pair| pair.estimate(now),
        )
    }

    /// The excess expected of a service under these pressures.
    pub(super) fn added(
        &self,
        now: Timestamp,
        service: &ServiceName,
        pressures: &Pressures,
    ) -> f64 {
        self.expect(now, service, &shares(pressures)).0
    }

    /// Learns from one report; the excess that it showed, as a share of the undisturbed latency.
    pub(super) fn learn(
        &mut self,
        now: Timestamp,
        described_at: Timestamp,
        sample: &ServiceSample,
        pressures: &Pressures,
    ) -> f64 {
        if sample.samples == 0 || sample.p99 == Span::ZERO {
            return 0.0;
        }
        let shares = shares(pressures);
        let noise = REPORT_VARIANCE * (FULL_SAMPLES / f64::from(sample.samples)).max(1.0);
        let (expected, doubt) = self.expect(now, &sample.service, &shares);
        let p99 = sample.p99.0 as f64;
        let baseline = self.follow_baseline(described_at, sample, p99 / (1.0 + expected), doubt);
        let excess = p99 / baseline - 1.0;
        self.correct(
            now,
            &sample.service,
            &shares,
            excess - expected,
            doubt + noise,
        );
        excess
    }

    /// The excess expected under `shares`, and its variance.
    fn expect(
        &self,
        now: Timestamp,
        service: &ServiceName,
        shares: &[(&BatchClass, f64)],
    ) -> (f64, f64) {
        let mut excess = 0.0;
        let mut variance = 0.0;
        for (class, share) in shares {
            let estimate = self.estimate(now, service, class);
            excess += estimate.slope * share;
            variance += (estimate.deviation * share).powi(2);
        }
        (excess.max(0.0), variance)
    }

    /// Moves a service's undisturbed latency towards `p99`, the less the more doubt there is of it.
    fn follow_baseline(
        &mut self,
        at: Timestamp,
        sample: &ServiceSample,
        p99: f64,
        doubt: f64,
    ) -> f64 {
        let weight = REPORT_VARIANCE / (REPORT_VARIANCE + doubt);
        let first = Baseline { p99, weight, at };
        let entry = self.baselines.entry(sample.service.clone());
        let baseline = entry.or_insert(first);
        let age = at.since(baseline.at).0 as f64 / BASELINE_SPAN.0 as f64;
        let kept = baseline.weight * (-age).exp();
        baseline.weight = kept + weight;
        baseline.p99 += (p99 - baseline.p99) * weight / baseline.weight;
        baseline.at = baseline.at.max(at);
        baseline.p99.max(f64::MIN_POSITIVE)
    }

    /// Shares an observation's error among the classes that ran, by their variance and pressure.
    fn correct(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        shares: &[(&BatchClass, f64)],
        error: f64,
        variance: f64,
    ) {
        let surprise = error.abs() > SURPRISE * variance.sqrt();
        let pairs = self.pairs.entry(service.clone()).or_default();
        for (class, share) in shares {
            let pair = pairs.entry((*class).clone()).or_insert(Pair {
                slope: PRIOR_SLOPE,
                variance: PRIOR_VARIANCE,
                at: now,
            });
            let estimate = pair.estimate(now);
            let mut own = estimate.deviation.powi(2);
            if surprise {
                own = (own + SURPRISE_GAIN * error * error).min(PRIOR_VARIANCE);
            }
            let gain = own * share / variance.max(own * share * share + REPORT_VARIANCE);
            pair.slope = estimate.slope + gain * error;
            pair.variance = own * (1.0 - gain * share);
            pair.at = now;
        }
    }
}

fn shares(pressures: &Pressures) -> Vec<(&BatchClass, f64)> {
    let shares = pressures.iter().map(|(class, p)| (class, p.share()));
    shares
        .filter(|(_, share)| *share >= LEAST_PRESSURE)
        .collect()
}
