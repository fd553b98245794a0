//! Detects crowded services from their current load and latency, before delayed reports show it.

use std::collections::BTreeMap;

use guavacart_types::{ServiceName, Span, Timestamp};

use super::ServiceSignal;

/// Percentage of busy slots from which a service counts as crowded.
const CROWDED_PERCENT: u64 = 85;
/// Percentage of busy slots below which a service may count as calm again.
const CALM_PERCENT: u64 = 70;
/// How long a service has to stay calm before it no longer counts as crowded.
const CALM_SPAN: Span = Span::secs(3);
/// Latency above which a service counts as slow, in percent of its usual latency.
const SLOW_PERCENT: u64 = 150;
/// Number of observations that the moving average of the usual latency spans.
const USUAL_OBSERVATIONS: u64 = 64;

#[derive(Debug, Default)]
struct State {
    queued: u32,
    /// Moving average of the 99th percentile, in thousandths of a millisecond; 0 before the first one.
    usual_p99: u64,
    crowded_at: Option<Timestamp>,
}

/// The services that are crowded or were recently.
#[derive(Debug, Default)]
pub(super) struct Crowding {
    services: BTreeMap<ServiceName, State>,
}

impl Crowding {
    pub(super) fn observe(&mut self, now: Timestamp, service: &ServiceName, signal: ServiceSignal) {
        let state = self.services.entry(service.clone()).or_default();
        let was_crowded = state.is_crowded(now);
        if is_crowded(state, signal) || (was_crowded && !is_calm(signal)) {
            state.crowded_at = Some(now);
        }
        state.queued = signal.queued;
        state.update_usual_p99(signal);
    }

    /// True if the service is crowded, or was less than [`CALM_SPAN`] ago.
    pub(super) fn is_crowded(&self, now: Timestamp, service: &ServiceName) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|state| state.is_crowded(now))
    }
}

impl State {
    fn is_crowded(&self, now: Timestamp) -> bool {
        self.crowded_at.is_some_and(|at| now.since(at) < CALM_SPAN)
    }

    /// Updates the usual latency, unless the service is not calm: its latency is then not usual.
    fn update_usual_p99(&mut self, signal: ServiceSignal) {
        let Some(p99) = signal.p99.filter(|_| is_calm(signal)) else {
            return;
        };
        let seen = p99.0.saturating_mul(1_000);
        self.usual_p99 = match self.usual_p99 {
            0 => seen,
            usual => (usual * (USUAL_OBSERVATIONS - 1) + seen) / USUAL_OBSERVATIONS,
        };
    }
}

fn is_crowded(state: &State, signal: ServiceSignal) -> bool {
    let queue_grows = signal.queued > state.queued && signal.free == 0;
    let slow = signal.p99.is_some_and(|p99| {
        let usual = state.usual_p99;
        usual > 0 && p99.0.saturating_mul(100_000) > usual.saturating_mul(SLOW_PERCENT)
    });
    queue_grows || slow || busy_percent(signal) >= CROWDED_PERCENT
}

fn is_calm(signal: ServiceSignal) -> bool {
    signal.queued == 0 && busy_percent(signal) < CALM_PERCENT
}

fn busy_percent(signal: ServiceSignal) -> u64 {
    let busy = signal.slots.saturating_sub(signal.free);
    u64::from(busy) * 100 / u64::from(signal.slots.max(1))
}
