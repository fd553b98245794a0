//! Admission and routing: whether a call is dispatched, queued, forwarded or refused.

use guavacart_config::{Queueing, Service};
use guavacart_types::{CallId, InstanceId, Reason, Span, deterministic_random};
use smol_str::SmolStr;

use super::{
    RequestEffect, RequestHead,
    call::{Call, Origin, Phase},
    queue::QueuedRequest,
    reducer::{Requests, Timer},
};
use crate::{Cx, Effect};

/// Time subtracted from a forwarded request's deadline, so that a refusal by the peer gets back
/// before the caller's deadline.
const FORWARD_MARGIN: Span = Span::millis(60);
/// Maximum number of peers that refuse a request before the caller is refused.
const MAX_PEER_REFUSALS: usize = 3;
/// The estimated wait at a peer is raised by this fraction (one divided by the constant): the
/// estimate is one heartbeat old, and a forward that the peer refuses costs a round trip.
const STALE_LOAD_DIVISOR: u64 = 4;
/// Time until a request that no instance can accept is routed again.
const REROUTE_INTERVAL: Span = Span::millis(50);

/// A request may wait for the time left until its deadline, less its service time, divided by this.
/// Estimates can be too low, and a shorter queue drains sooner after a load peak.
const WAIT_DIVISOR: u64 = 2;

/// What to do next with a call.
enum Plan {
    Dispatch,
    Enqueue,
    Forward(InstanceId),
    RetryLater,
    Refuse(Reason),
}

impl Requests {
    /// Registers a new call and refuses, claims or routes it.
    pub(super) fn call_arrived(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        head: RequestHead,
        origin: Origin,
        effects: &mut Vec<Effect>,
    ) {
        let service = cx.configuration.services.get(&head.service);
        let is_known_team = cx.configuration.teams.contains_key(&head.team);
        let longest = service.map_or(Span::ZERO, |s| s.longest_deadline);
        let deadline_at = cx.now + head.deadline.min(longest);
        let call = Call::new(head, origin, deadline_at);
        if let Origin::Peer(from, remote) = &call.origin {
            self.remote_calls.insert((from.clone(), *remote), id);
        }
        self.timers.insert((deadline_at, id, Timer::Deadline));
        let needs_claim = !call.head.idempotent && !call.is_from_peer();
        self.calls.insert(id, call);
        if service.is_none() || !is_known_team {
            self.refuse(cx, id, Reason::Unknown, effects);
        } else if needs_claim {
            self.claim_or_refuse(cx, id, effects);
        } else {
            self.route(cx, id, effects);
        }
    }

    /// Dispatches, queues or forwards a call, retries it later, or refuses it.
    pub(super) fn route(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(service) = cx.configuration.services.get(&call.head.service) else {
            return self.refuse(cx, id, Reason::Unknown, effects);
        };
        match self.plan(cx, id, service) {
            Plan::Dispatch if self.dispatch(cx, id, effects) => {}
            Plan::Dispatch | Plan::Enqueue => self.enqueue(cx, id, service, effects),
            Plan::Forward(to) => self.forward(cx, id, to, effects),
            Plan::RetryLater => self.retry_later(cx, id, effects),
            Plan::Refuse(reason) => self.refuse(cx, id, reason, effects),
        }
    }

    /// Claims the id of a call, unless the call would be refused in any case.
    fn claim_or_refuse(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(service) = cx.configuration.services.get(&call.head.service) else {
            return;
        };
        match self.plan(cx, id, service) {
            Plan::Refuse(reason) => self.refuse(cx, id, reason, effects),
            _ => self.start_claim(cx, id, effects),
        }
    }

    /// Decides what to do next with a call.
    fn plan(&mut self, cx: &Cx<'_>, id: CallId, service: &Service) -> Plan {
        let Some(call) = self.calls.get(&id) else {
            return Plan::RetryLater;
        };
        if cx.now >= call.deadline_at {
            return Plan::Refuse(Reason::DeadlinePassed);
        }
        let left = call.deadline_at.since(cx.now);
        let head = &call.head;
        let own_wait = self.own_wait(cx, head, service);
        if own_wait == Some(Span::ZERO) {
            return Plan::Dispatch;
        }
        let service_time = self.service_times.mean(head, service);
        let peer = self.best_peer(cx, id, service_time);
        let peer_wait = peer
            .as_ref()
            .map(|(_, wait)| Span(wait.0 + wait.0 / STALE_LOAD_DIVISOR));
        let Some(wait) = own_wait.into_iter().chain(peer_wait).min() else {
            return Plan::RetryLater;
        };
        let misses_deadline = wait > Span::ZERO && wait * WAIT_DIVISOR + service_time > left;
        if service.admission && misses_deadline {
            return Plan::Refuse(Reason::Overloaded);
        }
        match peer {
            Some((to, _)) if own_wait.is_none_or(|wait| Some(wait) > peer_wait) => {
                Plan::Forward(to)
            }
            _ => Plan::Enqueue,
        }
    }

    /// Returns how long a request would wait at this instance, or `None` if this instance has no
    /// usable endpoint for its service.
    pub(super) fn own_wait(
        &self,
        cx: &Cx<'_>,
        head: &RequestHead,
        service: &Service,
    ) -> Option<Span> {
        self.lease_expires_at?;
        let group = self.pool.group(&head.service)?;
        if group.slots == 0 {
            return None;
        }
        let long = self.service_times.is_limited_to_long_slots(head, service);
        let weight = team_weight(cx, head);
        let queue = self.queues.get(&head.service);
        let queued_ms = queue.map_or(0, |q| match (service.queueing, long) {
            (Queueing::Fifo, _) => q.short.cost,
            (Queueing::Fair, false) => q.short.cost_before(head.team.as_str(), weight),
            (Queueing::Fair, true) => q.short.cost + q.long.cost_before(head.team.as_str(), weight),
        });
        if queued_ms == 0 && group.has_free(long) {
            return Some(Span::ZERO);
        }
        let slots = if long {
            u64::from(group.slots) * u64::from(service.slots.saturating_sub(service.short_slots))
                / u64::from(service.slots.max(1))
        } else {
            u64::from(group.slots)
        };
        let service_time = self.service_times.mean(head, service).0;
        Some(Span((queued_ms + service_time) / slots.max(1) + 1))
    }

    /// Draws two peers by a hash of the call's id and the time, and returns the one with the shorter
    /// wait, with that wait.
    fn best_peer(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        service_time: Span,
    ) -> Option<(InstanceId, Span)> {
        let call = self.calls.get(&id)?;
        if call.is_from_peer() || call.refused_by.len() >= MAX_PEER_REFUSALS {
            return None;
        }
        let reachable = cx.membership.reachable_members(cx.now);
        let is_candidate = |peer: &&InstanceId| {
            !call.refused_by.contains(peer) && cx.membership.is_timely(peer, cx.now)
        };
        let head = call.head.clone();
        let mut waits: Vec<(InstanceId, Span)> = Vec::new();
        for peer in reachable.into_iter().filter(is_candidate) {
            if let Some(wait) = self.peer_loads.wait(cx, peer, &head, service_time) {
                waits.push((peer.clone(), wait));
            }
        }
        let count = waits.len() as u64;
        if count == 0 {
            return None;
        }
        let first = deterministic_random(id.0, cx.now.0) % count;
        let second =
            (first + 1 + deterministic_random(cx.now.0, id.0) % count.max(2).saturating_sub(1))
                % count;
        let (first, second) = (&waits[first as usize], &waits[second as usize]);
        let better = if first.1 <= second.1 { first } else { second };
        Some(better.clone())
    }

    /// Routes a call that no instance can accept again after [`REROUTE_INTERVAL`], or refuses it.
    fn retry_later(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let name = &call.head.service;
        let listed = cx.directory.endpoints.values();
        let is_served = listed.into_iter().any(|e| e.service == *name && !e.leaving);
        if let Some(reason) = call.peer_refusal {
            return self.refuse(cx, id, reason, effects);
        }
        if call.is_from_peer() || !is_served {
            return self.refuse(cx, id, Reason::NoEndpoint, effects);
        }
        call.phase = Phase::Pending;
        call.refused_by.clear();
        self.timers
            .insert((cx.now + REROUTE_INTERVAL, id, Timer::Resume));
    }

    fn enqueue(&mut self, cx: &Cx<'_>, id: CallId, service: &Service, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let head = call.head.clone();
        let long = self.service_times.is_limited_to_long_slots(&head, service);
        let cost = self.service_times.mean(&head, service).0.max(1);
        let request = QueuedRequest {
            call: id,
            cost,
            bytes: head.size.0,
            queued_at: cx.now,
        };
        let team = queue_team(&head, service);
        while self.is_full(&head, service) {
            let queue = self.queues.get(&head.service);
            let dropped = queue.and_then(|queue| queue.drop_candidate_for(&team));
            self.refuse(cx, dropped.unwrap_or(id), Reason::QueueFull, effects);
            if dropped.is_none() {
                return;
            }
        }
        let queue = self.queues.entry(head.service.clone()).or_default();
        queue
            .lane(long)
            .push(&team, team_weight(cx, &head), request);
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = Phase::Queued { long, team };
        }
    }

    /// True if one more request would exceed the limits of its service's queue.
    fn is_full(&self, head: &RequestHead, service: &Service) -> bool {
        let queue = self.queues.get(&head.service);
        let entries = queue.map_or(0, |q| q.entries());
        let bytes = queue.map_or(0, |q| q.bytes());
        entries >= service.queue_entries || bytes + head.size.0 > service.queue_bytes.0
    }

    fn forward(&mut self, cx: &Cx<'_>, id: CallId, to: InstanceId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let left = call.deadline_at.since(cx.now);
        let margin = FORWARD_MARGIN.min(Span(left.0 / 4));
        let mut head = call.head.clone();
        head.deadline = left.saturating_sub(margin);
        call.forwarded_to = Some(to.clone());
        call.phase = Phase::InFlight;
        self.peer_loads.sent(&to, &head, cx.now);
        effects.push(RequestEffect::Forward { call: id, to, head }.into());
    }
}

fn team_weight(cx: &Cx<'_>, head: &RequestHead) -> u32 {
    let team = cx.configuration.teams.get(&head.team);
    team.map_or(1, |team| team.weight)
}

/// Returns the team queue that a request joins; with FIFO queueing all teams share one.
fn queue_team(head: &RequestHead, service: &Service) -> SmolStr {
    match service.queueing {
        Queueing::Fair => SmolStr::new(head.team.as_str()),
        Queueing::Fifo => SmolStr::default(),
    }
}
