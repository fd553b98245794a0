//! For each pair of service and class: how much latency grows with pressure.
//!
//! One extended Kalman filter for each service over the logarithm of its reported latency: the
//! undisturbed latency times one plus the sum of slope times pressure over the classes that ran. The
//! filter keeps how the errors of its parts hang together, so that workers which bear different
//! pressures at the same time tell the slopes from the undisturbed latency. Variances grow with time,
//! and jump when reports contradict them, so that a change is learned again.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, ServiceName, Span, Timestamp};

use super::{ServiceSample, filter::Filter, history::Pressures};

/// Standard deviation of a slope under which a pair counts as known.
const KNOWN_DEVIATION: f64 = 0.35;
/// Least pressure, as a share of a worker, that tells something about a class.
const MIN_PRESSURE: f64 = 0.01;

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
    pub(super) fn upper_bound(&self) -> f64 {
        (self.slope + self.deviation).max(0.0)
    }
}

/// The estimates of all pairs and the undisturbed latency of all services.
#[derive(Debug, Default)]
pub(super) struct Estimator {
    services: BTreeMap<ServiceName, Filter>,
}

impl Estimator {
    pub(super) fn estimate(
        &self,
        now: Timestamp,
        service: &ServiceName,
        class: &BatchClass,
    ) -> Estimate {
        let filter = self.services.get(service);
        filter.map_or(Filter::PRIOR, |filter| filter.estimate(now, class))
    }

    /// The excess expected of a service under these pressures.
    pub(super) fn added(
        &self,
        now: Timestamp,
        service: &ServiceName,
        pressures: &Pressures,
    ) -> f64 {
        let added = |(class, share): &(&BatchClass, f64)| {
            let slope = self.estimate(now, service, class).slope;
            slope * share
        };
        shares(pressures).iter().map(added).sum::<f64>().max(0.0)
    }

    /// Learns from one report; the excess that it showed, as a share of the undisturbed latency.
    pub(super) fn learn(
        &mut self,
        described_at: Timestamp,
        sample: &ServiceSample,
        pressures: &Pressures,
    ) -> f64 {
        if sample.samples == 0 || sample.p99 == Span::ZERO {
            return 0.0;
        }
        let filter = self.services.entry(sample.service.clone());
        let filter = filter.or_insert_with(|| Filter::new(described_at));
        let seen = (sample.p99.0 as f64).ln();
        filter.learn(described_at, seen, sample.samples, &shares(pressures))
    }
}

fn shares(pressures: &Pressures) -> Vec<(&BatchClass, f64)> {
    let shares = pressures.iter().map(|(class, p)| (class, p.share()));
    shares.filter(|(_, share)| *share >= MIN_PRESSURE).collect()
}
