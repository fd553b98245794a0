//! The slots of one endpoint and an exact count of their use.
//!
//! A slot whose use is unknown (after a change of owner or a broken connection) is counted as
//! residual, that is as in use, until a probe shows that the endpoint does not use it.

use std::{collections::BTreeMap, net::SocketAddr};

use guavacart_config::Service;
use guavacart_types::{DispatchId, ServiceName, Span, Timestamp};

use super::probation::Probation;

/// Minimum time between two probes of an endpoint with residual slots.
const PROBE_INTERVAL: Span = Span::millis(200);
/// Maximum time between two probes; the interval doubles up to it while probes free no slot.
const MAX_PROBE_INTERVAL: Span = Span::millis(1_600);
/// Time after which an unanswered probe is given up.
const PROBE_TIMEOUT: Span = Span::secs(1);
/// Time within which a request that was sent arrives at the endpoint, and its answer arrives here
/// after the request ended.
const DELIVERY_SPAN: Span = Span::millis(100);

/// A dispatch that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) sent_at: Timestamp,
    pub(super) long: bool,
}

/// The phase of the probing of an endpoint.
#[derive(Clone, Debug)]
enum Probe {
    /// No probe is in flight; the next may be sent at this time.
    Idle(Timestamp),
    /// A probe is due and waits until recent dispatches have arrived at the endpoint; no request is
    /// dispatched until it is answered or given up.
    Quiescing,
    /// A probe was sent at this time and has not been answered.
    Sent(Timestamp),
    /// The probe was answered with `busy`. Of the dispatches sent before the probe (`earlier`), only
    /// those that have not ended at `until` are subtracted from `busy`: the others may have ended
    /// before the endpoint counted, with their answers still on the way.
    Settling {
        until: Timestamp,
        busy: u32,
        earlier: Vec<DispatchId>,
    },
}

/// The slots of one endpoint and the requests of this instance that use them.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) connections: u32,
    /// Usable slots: the service's slots, limited by its connections.
    pub(super) slots: u32,
    /// Slots that long requests may use.
    pub(super) long_slots: u32,
    pub(super) owned: bool,
    pub(super) leaving: bool,
    pub(super) running: BTreeMap<DispatchId, Running>,
    pub(super) probation: Probation,
    /// Sequence number of the last dispatch to the endpoint among the dispatches of this instance.
    pub(super) last_used: u64,
    /// Slots that requests of an earlier owner, or lost requests of this instance, may still use.
    pub(super) residual: u32,
    residual_since: Timestamp,
    longest_deadline: Span,
    probe: Probe,
    probe_interval: Span,
}

impl Endpoint {
    pub(super) fn new(service: ServiceName, address: SocketAddr, now: Timestamp) -> Self {
        Self {
            service,
            address,
            connections: 0,
            slots: 0,
            long_slots: 0,
            owned: false,
            leaving: false,
            running: BTreeMap::new(),
            probation: Probation::default(),
            last_used: 0,
            residual: 0,
            residual_since: now,
            longest_deadline: Span::ZERO,
            probe: Probe::Idle(now),
            probe_interval: PROBE_INTERVAL,
        }
    }

    /// Applies the limits that the configuration sets for the service.
    pub(super) fn apply_limits(&mut self, service: &Service) {
        self.connections = service.connections;
        self.slots = service.slots.min(service.connections);
        self.long_slots = self.slots.saturating_sub(service.short_slots).max(1);
        self.longest_deadline = service.longest_deadline;
    }

    /// Takes ownership. All slots are residual at first, since requests of the earlier owner may
    /// use them; the first probe waits until the last of those requests have arrived.
    pub(super) fn take_ownership(&mut self, now: Timestamp) {
        self.owned = true;
        self.residual = self.slots;
        self.residual_since = now;
        self.probe_interval = PROBE_INTERVAL;
        self.probe = Probe::Idle(now + DELIVERY_SPAN);
    }

    /// Returns the number of slots that a short or a long request may use now.
    pub(super) fn free_slots(&self, long: bool) -> u32 {
        if !self.owned || self.leaving || self.is_quiesced() {
            return 0;
        }
        let used = self.running.len() as u32 + self.residual;
        let free = self.slots.saturating_sub(used);
        if !long {
            return free;
        }
        let running = self.running.values().filter(|r| r.long).count() as u32;
        free.min(self.long_slots.saturating_sub(running))
    }

    /// Returns the slots that this instance may use, now or once they are free.
    pub(super) fn usable_slots(&self) -> u32 {
        if self.owned && !self.leaving {
            self.slots
        } else {
            0
        }
    }

    /// Removes a dispatch that ended; `lost` if the endpoint may still be running the request.
    pub(super) fn ended(&mut self, dispatch: DispatchId, lost: bool, now: Timestamp) {
        let Some(_) = self.running.remove(&dispatch) else {
            return;
        };
        if lost {
            self.add_residual(now);
        }
    }

    /// Counts one more slot as residual.
    pub(super) fn add_residual(&mut self, now: Timestamp) {
        self.residual = (self.residual + 1).min(self.slots);
        self.residual_since = now;
        self.probe_interval = PROBE_INTERVAL;
        self.probe = Probe::Idle(now + DELIVERY_SPAN);
    }

    /// Returns true if a probe has to be sent now, and records it as sent.
    pub(super) fn probe_due(&mut self, now: Timestamp) -> bool {
        self.settle(now);
        if let Probe::Sent(at) = self.probe
            && now.since(at) > PROBE_TIMEOUT
        {
            self.probe = Probe::Idle(now);
        }
        if matches!(self.probe, Probe::Idle(at) if now >= at) && self.residual > 0 {
            self.probe = Probe::Quiescing;
        }
        if !matches!(self.probe, Probe::Quiescing) || self.has_recent_dispatch(now) {
            return false;
        }
        self.probe = Probe::Sent(now);
        true
    }

    /// Discards the current probe after the process was stalled: requests sent and answers not yet
    /// read may be late, so the probe's count is not reliable.
    pub(super) fn discard_probe(&mut self, now: Timestamp) {
        self.probe = Probe::Idle(now + DELIVERY_SPAN);
    }

    /// Applies the answer to a probe; `busy` is `None` if the probe failed.
    pub(super) fn probed(&mut self, now: Timestamp, requested_at: Timestamp, busy: Option<u32>) {
        let Probe::Sent(at) = self.probe else {
            return;
        };
        if requested_at < at {
            return;
        }
        let Some(busy) = busy else {
            self.schedule_probe(now);
            return;
        };
        let earlier = self.running.iter().filter(|(_, r)| r.sent_at < at);
        self.probe = Probe::Settling {
            until: now + DELIVERY_SPAN,
            busy,
            earlier: earlier.map(|(id, _)| *id).collect(),
        };
        self.settle(now);
    }

    /// Updates the residual slots from an answered probe: at once if this instance had no dispatch
    /// running when it sent the probe, otherwise when the settling time is over.
    ///
    /// Without a conclusive probe, residual slots are free once the service's longest deadline has
    /// passed, since requests are assumed not to run longer.
    fn settle(&mut self, now: Timestamp) {
        if self.residual > 0 && now.since(self.residual_since) > self.longest_deadline {
            self.residual = 0;
        }
        let Probe::Settling {
            until,
            busy,
            earlier,
        } = &self.probe
        else {
            return;
        };
        if now < *until && !earlier.is_empty() {
            return;
        }
        let own_running = earlier.iter().filter(|id| self.running.contains_key(*id));
        let unaccounted = busy.saturating_sub(own_running.count() as u32);
        if unaccounted < self.residual {
            self.residual = unaccounted;
            self.probe_interval = PROBE_INTERVAL;
        }
        self.schedule_probe(now);
    }

    fn schedule_probe(&mut self, now: Timestamp) {
        self.probe = Probe::Idle(now + self.probe_interval);
        self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
    }

    /// True while new dispatches would falsify a probe that is due or in flight.
    fn is_quiesced(&self) -> bool {
        match self.probe {
            Probe::Quiescing | Probe::Sent(_) => self.residual > 0,
            Probe::Idle(_) | Probe::Settling { .. } => false,
        }
    }

    fn has_recent_dispatch(&self, now: Timestamp) -> bool {
        let recent = |r: &Running| now.since(r.sent_at) < DELIVERY_SPAN;
        self.running.values().any(recent)
    }
}
