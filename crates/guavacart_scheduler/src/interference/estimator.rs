//! Estimates for each pair of service and class how much latency grows with pressure.
//!
//! Each service has one extended Kalman filter over the logarithm of its reported latency. The modelled
//! latency is the undisturbed latency times one plus the sum of slope times pressure over the classes
//! that ran. The filter tracks the covariances of the undisturbed latency and the slopes, so that
//! reports from workers with different pressures separate the slopes from the undisturbed latency.
//! Variances grow over time and increase at once when a report contradicts the estimates, so that the
//! filter adapts when the interference changes.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, ServiceName, Span, Timestamp};

use super::{ServiceSample, filter::Filter, history::Pressures};

/// Standard deviation of a slope below which a pair counts as known.
const KNOWN_DEVIATION: f64 = 0.35;
/// Least pressure, as a share of a worker, at which a report says something about a class.
const MIN_PRESSURE: f64 = 0.01;

/// How much a whole worker of pressure of a class adds to a service's latency, as a share of the
/// undisturbed latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The expected slope.
    pub slope: f64,
    /// The standard deviation of the slope.
    pub deviation: f64,
}

impl Estimate {
    /// True if enough reports about the pair have been seen.
    pub fn is_known(&self) -> bool {
        self.deviation < KNOWN_DEVIATION
    }

    /// Returns a cautious estimate: the slope plus one standard deviation.
    pub(super) fn upper_bound(&self) -> f64 {
        (self.slope + self.deviation).max(0.0)
    }
}

/// The filters of all services.
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

    /// Returns the latency that these pressures are expected to add to a service, as a share of the
    /// undisturbed latency.
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

    /// Updates the estimates from a report. Returns how far the reported latency exceeds the undisturbed
    /// one, as a share of it.
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
        let log_latency = (sample.p99.0 as f64).ln();
        filter.learn(
            described_at,
            log_latency,
            sample.samples,
            &shares(pressures),
        )
    }
}

/// Returns the pressures as shares of a worker, without those below [`MIN_PRESSURE`].
fn shares(pressures: &Pressures) -> Vec<(&BatchClass, f64)> {
    let shares = pressures.iter().map(|(class, p)| (class, p.share()));
    shares.filter(|(_, share)| *share >= MIN_PRESSURE).collect()
}
