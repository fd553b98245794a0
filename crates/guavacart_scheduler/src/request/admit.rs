//! Arrivals: what is refused, dispatched, queued or forwarded.

use guavacart_config::{Queueing, Service};
use guavacart_types::{CallId, InstanceId, Reason, Span, mix};
use smol_str::SmolStr;

use super::{
    RequestEffect, RequestHead,
    call::{Call, Origin, Place},
    queue::Waiting,
    reducer::{Requests, Timer},
};
use crate::{Cx, Effect};

/// Time kept back from a forwarded request's deadline, so that its refusal arrives in time.
const FORWARD_MARGIN: Span = Span::millis(60);
/// Most peers that may refuse a request before the caller is refused.
const MOST_REFUSALS: usize = 3;
/// Part that is added to a wait at a peer, which is known as it was one heartbeat ago: a forward
/// that is refused there costs its caller the way there and back.
const STALE_PART: u64 = 4;
/// Time until a request that no instance can take now is tried again.
const PARK_SPAN: Span = Span::millis(50);

/// A request may wait for its deadline's time, less its service, divided by this: estimates err, and
/// a shorter queue is gone sooner after a crest.
const WAIT_SHARE: u64 = 2;

/// Where a call should go.
enum Plan {
    Dispatch,
    Enqueue,
    Forward(InstanceId),
    Park,
    Refuse(Reason),
}

impl Requests {
    /// Takes a new call.
    pub(super) fn arrived(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        head: RequestHead,
        origin: Origin,
        effects: &mut Vec<Effect>,
    ) {
        let service = cx.configuration.services.get(&head.service);
        let known = cx.configuration.teams.contains_key(&head.team);
        let longest = service.map_or(Span::ZERO, |s| s.longest_deadline);
        let deadline_at = cx.now + head.deadline.min(longest);
        let call = Call::new(head, origin, deadline_at);
        if let Origin::Peer(from, remote) = &call.origin {
            self.remote.insert((from.clone(), *remote), id);
        }
        self.timers.insert((deadline_at, id, Timer::Deadline));
        let claims = !call.head.idempotent && !call.is_from_peer();
        self.calls.insert(id, call);
        if service.is_none() || !known {
            self.refuse(cx, id, Reason::Unknown, effects);
        } else if claims {
            self.claim_or_refuse(cx, id, effects);
        } else {
            self.route(cx, id, effects);
        }
    }

    /// Sends a call on its way: to an endpoint, a queue or a peer.
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
            Plan::Park => self.park(cx, id, effects),
            Plan::Refuse(reason) => self.refuse(cx, id, reason, effects),
        }
    }

    /// Claims the id of a call, unless the call is to be refused anyway.
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

    /// Where a call should go now.
    fn plan(&mut self, cx: &Cx<'_>, id: CallId, service: &Service) -> Plan {
        let Some(call) = self.calls.get(&id) else {
            return Plan::Park;
        };
        if cx.now >= call.deadline_at {
            return Plan::Refuse(Reason::DeadlinePassed);
        }
        let left = call.deadline_at.since(cx.now);
        let head = &call.head;
        let own = self.own_wait(cx, head, service);
        if own == Some(Span::ZERO) {
            return Plan::Dispatch;
        }
        let took = self.times.mean(head, service);
        let peer = self.best_peer(cx, id, took);
        let there = peer
            .as_ref()
            .map(|(_, wait)| Span(wait.0 + wait.0 / STALE_PART));
        let Some(wait) = own.into_iter().chain(there).min() else {
            return Plan::Park;
        };
        let hopeless = wait > Span::ZERO && wait * WAIT_SHARE + took > left;
        if service.admission && hopeless {
            return Plan::Refuse(Reason::Overloaded);
        }
        match peer {
            Some((to, _)) if own.is_none_or(|own| Some(own) > there) => Plan::Forward(to),
            _ => Plan::Enqueue,
        }
    }

    /// How long a request would wait here; none if this instance cannot serve it now.
    pub(super) fn own_wait(
        &self,
        cx: &Cx<'_>,
        head: &RequestHead,
        service: &Service,
    ) -> Option<Span> {
        self.right?;
        let group = self.pool.group(&head.service)?;
        if group.slots == 0 {
            return None;
        }
        let long = self.times.is_kept_long(head, service);
        let weight = weight_of(cx, head);
        let queue = self.queues.get(&head.service);
        let before = queue.map_or(0, |q| match (service.queueing, long) {
            (Queueing::Fifo, _) => q.short.cost,
            (Queueing::Fair, false) => q.short.cost_before(head.team.as_str(), weight),
            (Queueing::Fair, true) => q.short.cost + q.long.cost_before(head.team.as_str(), weight),
        });
        if before == 0 && group.has_free(long) {
            return Some(Span::ZERO);
        }
        let slots = if long {
            u64::from(group.slots) * u64::from(service.slots.saturating_sub(service.short_slots))
                / u64::from(service.slots.max(1))
        } else {
            u64::from(group.slots)
        };
        let took = self.times.mean(head, service).0;
        Some(Span((before + took) / slots.max(1) + 1))
    }

    /// The better of two peers, drawn by the call's id, and the wait there.
    fn best_peer(&mut self, cx: &Cx<'_>, id: CallId, took: Span) -> Option<(InstanceId, Span)> {
        let call = self.calls.get(&id)?;
        if call.is_from_peer() || call.refused_by.len() >= MOST_REFUSALS {
            return None;
        }
        let live = cx.membership.live_members(cx.now);
        let fresh = |peer: &&InstanceId| {
            !call.refused_by.contains(peer) && cx.membership.is_prompt(peer, cx.now)
        };
        let head = call.head.clone();
        let mut waits: Vec<(InstanceId, Span)> = Vec::new();
        for peer in live.into_iter().filter(fresh) {
            if let Some(wait) = self.loads.wait(cx, peer, &head, took) {
                waits.push((peer.clone(), wait));
            }
        }
        let count = waits.len() as u64;
        if count == 0 {
            return None;
        }
        let first = mix(id.0, cx.now.0) % count;
        let second = (first + 1 + mix(cx.now.0, id.0) % count.max(2).saturating_sub(1)) % count;
        let (first, second) = (&waits[first as usize], &waits[second as usize]);
        let better = if first.1 <= second.1 { first } else { second };
        Some(better.clone())
    }

    /// Keeps a call that no instance can take now, or refuses it.
    fn park(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let name = &call.head.service;
        let listed = cx.directory.endpoints.values();
        let serves = listed.into_iter().any(|e| e.service == *name && !e.leaving);
        if let Some(reason) = call.refusal {
            return self.refuse(cx, id, reason, effects);
        }
        if call.is_from_peer() || !serves {
            return self.refuse(cx, id, Reason::NoEndpoint, effects);
        }
        call.place = Place::Waits;
        call.refused_by.clear();
        self.timers.insert((cx.now + PARK_SPAN, id, Timer::Resume));
    }

    fn enqueue(&mut self, cx: &Cx<'_>, id: CallId, service: &Service, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let head = call.head.clone();
        let long = self.times.is_kept_long(&head, service);
        let cost = self.times.mean(&head, service).0.max(1);
        let waiting = Waiting {
            call: id,
            cost,
            bytes: head.size.0,
            since: cx.now,
        };
        let team = lane_team(&head, service);
        while self.is_full(&head, service) {
            let queue = self.queues.get(&head.service);
            let other = queue.and_then(|queue| queue.gives_way_to(&team));
            self.refuse(cx, other.unwrap_or(id), Reason::QueueFull, effects);
            if other.is_none() {
                return;
            }
        }
        let queue = self.queues.entry(head.service.clone()).or_default();
        queue.lane(long).push(&team, weight_of(cx, &head), waiting);
        if let Some(call) = self.calls.get_mut(&id) {
            call.place = Place::Queued { long, team };
        }
    }

    /// True if one request more would pass the bounds of its service's queue.
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
        call.forwarded = Some(to.clone());
        call.place = Place::Out;
        self.loads.sent(&to, &head, cx.now);
        effects.push(RequestEffect::Forward { call: id, to, head }.into());
    }
}

fn weight_of(cx: &Cx<'_>, head: &RequestHead) -> u32 {
    let team = cx.configuration.teams.get(&head.team);
    team.map_or(1, |team| team.weight)
}

/// The team under which a request queues; one for all where the order is by arrival.
fn lane_team(head: &RequestHead, service: &Service) -> SmolStr {
    match service.queueing {
        Queueing::Fair => SmolStr::new(head.team.as_str()),
        Queueing::Fifo => SmolStr::default(),
    }
}
