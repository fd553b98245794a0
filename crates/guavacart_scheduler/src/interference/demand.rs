//! Tracks how many of its slots each service has needed, as quantiles that decay over time.

use std::collections::BTreeMap;

use guavacart_types::{ServiceName, Span, Timestamp};

use super::ServiceSignal;

/// Quantile of demand that headroom is reserved for.
pub(super) const HEADROOM_QUANTILE: f64 = 0.95;
/// Time after which the weight of an observation has decayed to about a third.
const MEMORY_SPAN: Span = Span::secs(120);
/// Number of levels of demand, which range up to twice the slots.
const LEVELS: usize = 40;
/// The level at which all slots are needed.
const FULL_LEVEL: f64 = 20.0;

/// Number of observations at each level of demand, decayed over time.
#[derive(Debug)]
struct Levels {
    weights: [f64; LEVELS],
    at: Timestamp,
}

/// The demand that each service has had.
#[derive(Debug, Default)]
pub(super) struct Demand {
    services: BTreeMap<ServiceName, Levels>,
}

impl Demand {
    pub(super) fn observe(&mut self, now: Timestamp, service: &ServiceName, signal: ServiceSignal) {
        let levels = self.services.entry(service.clone()).or_insert(Levels {
            weights: [0.0; LEVELS],
            at: now,
        });
        let age = now.since(levels.at).0 as f64 / MEMORY_SPAN.0 as f64;
        let retained = (-age).exp();
        levels.weights.iter_mut().for_each(|w| *w *= retained);
        levels.weights[level(signal)] += 1.0;
        levels.at = now;
    }

    /// Returns the share of its slots that a service did not exceed for `quantile` of the time; 0 if
    /// nothing is known about the service. Above 1, requests were queued.
    pub(super) fn quantile(&self, service: &ServiceName, quantile: f64) -> f64 {
        let Some(levels) = self.services.get(service) else {
            return 0.0;
        };
        let wanted = levels.weights.iter().sum::<f64>() * quantile;
        let mut sum = 0.0;
        for (level, weight) in levels.weights.iter().enumerate() {
            sum += weight;
            if sum >= wanted {
                return level as f64 / FULL_LEVEL;
            }
        }
        LEVELS as f64 / FULL_LEVEL
    }
}

fn level(signal: ServiceSignal) -> usize {
    let busy = signal.slots.saturating_sub(signal.free) + signal.queued;
    let share = f64::from(busy) / f64::from(signal.slots.max(1));
    ((share * FULL_LEVEL).round() as usize).min(LEVELS - 1)
}
