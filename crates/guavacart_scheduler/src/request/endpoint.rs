//! The slots of one endpoint, counted exactly.

use std::{collections::BTreeMap, net::SocketAddr};

use guavacart_config::Service;
use guavacart_types::{DispatchId, ServiceName, Span, Timestamp};

use super::probation::Probation;

/// Shortest time between two probes of an endpoint whose slots another may use.
const PROBE_INTERVAL: Span = Span::millis(200);
/// Longest time between two such probes, reached while they show nothing new.
const LONGEST_INTERVAL: Span = Span::millis(1_600);
/// Time after which a probe without an answer is given up.
const PROBE_LIMIT: Span = Span::secs(1);
/// Age at which a request that was sent has surely arrived, and its answer after it ended.
const SETTLE_SPAN: Span = Span::millis(100);

/// A dispatch under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) sent_at: Timestamp,
    pub(super) long: bool,
}

/// Where the probing of an endpoint stands.
#[derive(Clone, Debug)]
enum Probe {
    /// None is under way; the next may be asked for at this time.
    Rest(Timestamp),
    /// Due once the dispatches under way have surely arrived; none is added until then.
    Holding,
    /// Asked for at this time.
    Asked(Timestamp),
    /// Answered; the dispatches that ran before it was asked for have until this time to end.
    Settling {
        until: Timestamp,
        busy: u32,
        before: Vec<DispatchId>,
    },
}

/// The slots of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) connections: u32,
    /// Slots that may be used: no more than there are connections.
    pub(super) slots: u32,
    /// Slots that long requests may use.
    pub(super) long_slots: u32,
    pub(super) owned: bool,
    pub(super) leaving: bool,
    pub(super) running: BTreeMap<DispatchId, Running>,
    pub(super) probation: Probation,
    pub(super) last_used: u64,
    /// Slots that requests of another owner, or lost ones of this one, may still take.
    pub(super) residual: u32,
    residual_since: Timestamp,
    longest_deadline: Span,
    probe: Probe,
    interval: Span,
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
            probe: Probe::Rest(now),
            interval: PROBE_INTERVAL,
        }
    }

    /// Takes the limits of its service.
    pub(super) fn limit(&mut self, service: &Service) {
        self.connections = service.connections;
        self.slots = service.slots.min(service.connections);
        self.long_slots = self.slots.saturating_sub(service.short_slots).max(1);
        self.longest_deadline = service.longest_deadline;
    }

    /// Begins to own it: whoever owned it before may still use every slot, and what it sent last
    /// may still be on its way, so the first probe waits for that.
    pub(super) fn own(&mut self, now: Timestamp) {
        self.owned = true;
        self.residual = self.slots;
        self.residual_since = now;
        self.interval = PROBE_INTERVAL;
        self.probe = Probe::Rest(now + SETTLE_SPAN);
    }

    /// Slots that a request may take now.
    pub(super) fn free(&self, long: bool) -> u32 {
        if !self.owned || self.leaving || self.is_held() {
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

    /// Slots that are or will be of use to this instance.
    pub(super) fn usable_slots(&self) -> u32 {
        if self.owned && !self.leaving {
            self.slots
        } else {
            0
        }
    }

    /// Counts a dispatch that ended; `lost` if the endpoint may still run it.
    pub(super) fn ended(&mut self, dispatch: DispatchId, lost: bool, now: Timestamp) {
        let Some(_) = self.running.remove(&dispatch) else {
            return;
        };
        if lost {
            self.doubt(now);
        }
    }

    /// Counts one slot more as used by a request that this instance does not wait for.
    pub(super) fn doubt(&mut self, now: Timestamp) {
        self.residual = (self.residual + 1).min(self.slots);
        self.residual_since = now;
        self.interval = PROBE_INTERVAL;
        self.probe = Probe::Rest(now + SETTLE_SPAN);
    }

    /// True if a probe is to be asked for now; it is then taken as asked for.
    pub(super) fn probe_due(&mut self, now: Timestamp) -> bool {
        self.settle(now);
        if let Probe::Asked(at) = self.probe
            && now.since(at) > PROBE_LIMIT
        {
            self.probe = Probe::Rest(now);
        }
        if matches!(self.probe, Probe::Rest(at) if now >= at) && self.residual > 0 {
            self.probe = Probe::Holding;
        }
        if !matches!(self.probe, Probe::Holding) || self.has_recent(now) {
            return false;
        }
        self.probe = Probe::Asked(now);
        true
    }

    /// The process stood still: what it sent and what it is to read may be late, so a probe that
    /// was under way shows nothing.
    pub(super) fn stalled(&mut self, now: Timestamp) {
        self.probe = Probe::Rest(now + SETTLE_SPAN);
    }

    /// Takes an endpoint's answer to a probe.
    pub(super) fn probed(&mut self, now: Timestamp, asked_at: Timestamp, busy: Option<u32>) {
        let Probe::Asked(at) = self.probe else {
            return;
        };
        if asked_at < at {
            return;
        }
        let Some(busy) = busy else {
            self.rest(now);
            return;
        };
        let before = self.running.iter().filter(|(_, r)| r.sent_at < at);
        self.probe = Probe::Settling {
            until: now + SETTLE_SPAN,
            busy,
            before: before.map(|(id, _)| *id).collect(),
        };
        self.settle(now);
    }

    /// Draws the conclusion from a probe once what ran before it is known to have run on.
    fn settle(&mut self, now: Timestamp) {
        if self.residual > 0 && now.since(self.residual_since) > self.longest_deadline {
            self.residual = 0;
        }
        let Probe::Settling {
            until,
            busy,
            before,
        } = &self.probe
        else {
            return;
        };
        if now < *until && !before.is_empty() {
            return;
        }
        let own = before.iter().filter(|id| self.running.contains_key(*id));
        let others = busy.saturating_sub(own.count() as u32);
        if others < self.residual {
            self.residual = others;
            self.interval = PROBE_INTERVAL;
        }
        self.rest(now);
    }

    fn rest(&mut self, now: Timestamp) {
        self.probe = Probe::Rest(now + self.interval);
        self.interval = (self.interval * 2).min(LONGEST_INTERVAL);
    }

    /// True while new dispatches would blur a probe that is due or under way.
    fn is_held(&self) -> bool {
        match self.probe {
            Probe::Holding | Probe::Asked(_) => self.residual > 0,
            Probe::Rest(_) | Probe::Settling { .. } => false,
        }
    }

    fn has_recent(&self, now: Timestamp) -> bool {
        let recent = |r: &Running| now.since(r.sent_at) < SETTLE_SPAN;
        self.running.values().any(recent)
    }
}
