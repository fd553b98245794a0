//! The reducer of requests: dispatches events to their handlers and runs timers and ticks.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{
    CallId, DispatchId, EndpointId, InstanceId, Reason, ServiceName, Span, Timestamp, ViewNumber,
};

use super::{
    ProbeReport, RequestEffect, RequestEvent, RequestHead,
    budget::RetryBudget,
    call::{Call, Origin, Phase},
    ledger::Ledger,
    peer_load::PeerLoads,
    pool::Pool,
    queue::ServiceQueue,
    service_time::ServiceTimes,
};
use crate::{
    Cx, Effect,
    membership::{Load, MAX_TICK_INTERVAL, ServiceLoad},
};

/// Time without any event, including ticks, after which the process is considered stalled.
const STALL_THRESHOLD: Span = Span::millis(MAX_TICK_INTERVAL.0 * 2);

/// The timers of a call; timers of one call that are due at the same time fire in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    Deadline,
    Claim,
    Resume,
    Hedge,
}

/// A dispatch that has not ended; its call may have ended before.
#[derive(Debug)]
pub(super) struct Dispatched {
    pub(super) endpoint: EndpointId,
    pub(super) call: CallId,
    pub(super) head: RequestHead,
    pub(super) sent_at: Timestamp,
}

/// The requests that have not ended, and the slots of the endpoints that this instance owns.
#[derive(Debug)]
pub struct Requests {
    pub(super) me: InstanceId,
    pub(super) calls: BTreeMap<CallId, Call>,
    /// Calls that peers forwarded, by the peer and its id of the call.
    pub(super) remote_calls: BTreeMap<(InstanceId, CallId), CallId>,
    pub(super) timers: BTreeSet<(Timestamp, CallId, Timer)>,
    pub(super) dispatches: BTreeMap<DispatchId, Dispatched>,
    pub(super) next_dispatch: DispatchId,
    pub(super) pool: Pool,
    pub(super) queues: BTreeMap<ServiceName, ServiceQueue>,
    /// Services with slots that may have become free during this event.
    pub(super) dirty_services: BTreeSet<ServiceName>,
    pub(super) service_times: ServiceTimes,
    pub(super) budget: RetryBudget,
    pub(super) peer_loads: PeerLoads,
    pub(super) ledger: Ledger,
    /// When to send the handovers of a view again.
    pub(super) handovers_due: BTreeSet<(Timestamp, ViewNumber)>,
    /// When the last event was handled.
    pub(super) last_event_at: Timestamp,
    /// When the ownership lease expires, as of the current event; `None` without a valid lease.
    pub(super) lease_expires_at: Option<Timestamp>,
}

impl Requests {
    pub(crate) fn new(me: InstanceId) -> Self {
        Self {
            ledger: Ledger::new(me.clone()),
            me,
            calls: BTreeMap::new(),
            remote_calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            dispatches: BTreeMap::new(),
            next_dispatch: DispatchId(1),
            pool: Pool::default(),
            queues: BTreeMap::new(),
            dirty_services: BTreeSet::new(),
            service_times: ServiceTimes::default(),
            budget: RetryBudget::default(),
            peer_loads: PeerLoads::default(),
            handovers_due: BTreeSet::new(),
            last_event_at: Timestamp::default(),
            lease_expires_at: None,
        }
    }

    /// True if every call and every dispatch has ended.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.dispatches.is_empty()
    }

    /// Returns the slots and queues of this instance by service, for heartbeats to peers; empty
    /// without a valid ownership lease.
    pub fn load(&self) -> Load {
        let may_act = self.lease_expires_at.is_some();
        let groups = self.pool.groups().filter(|_| may_act);
        let services = groups.map(|(name, group)| ServiceLoad {
            service: name.clone(),
            slots: group.slots,
            free: group.free,
            queued: self.queues.get(name).map_or(0, ServiceQueue::entries),
            teams: self
                .queues
                .get(name)
                .map_or_else(Vec::new, ServiceQueue::teams),
        });
        Load {
            services: services.collect(),
        }
    }

    pub(crate) fn tick(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        self.before_event(cx, true, effects);
        self.probe(cx, effects);
        self.pool.expire_probations(cx.now);
        self.give_up_silent_peers(cx, effects);
        self.reroute(cx, effects);
        self.dirty_services.extend(self.queues.keys().cloned());
        self.after_event(cx, effects);
    }

    pub(crate) fn apply(&mut self, cx: &Cx<'_>, event: RequestEvent, effects: &mut Vec<Effect>) {
        self.before_event(cx, false, effects);
        self.handle(cx, event, effects);
        self.after_event(cx, effects);
    }

    fn handle(&mut self, cx: &Cx<'_>, event: RequestEvent, effects: &mut Vec<Effect>) {
        match event {
            RequestEvent::Arrived { call, head } => {
                self.call_arrived(cx, call, head, Origin::Caller, effects);
            }
            RequestEvent::CallerGone { call } => self.caller_gone(cx, call, effects),
            RequestEvent::ForwardArrived {
                call,
                from,
                remote,
                head,
            } => self.call_arrived(cx, call, head, Origin::Peer(from, remote), effects),
            RequestEvent::ForwardEnded {
                call,
                from,
                outcome,
                load,
            } => self.forward_ended(cx, call, &from, outcome, load, effects),
            RequestEvent::DispatchEnded { dispatch, end } => {
                self.dispatch_ended(cx, dispatch, end, effects);
            }
            RequestEvent::Peer { from, message } => self.peer_message(cx, &from, message, effects),
            RequestEvent::PeerLost { peer } => self.peer_lost(cx, &peer, effects),
            RequestEvent::Probed {
                endpoint,
                requested_at,
                report,
            } => self.probed(cx, &endpoint, requested_at, report),
        }
    }

    /// Updates ownership and the view, and runs the timers that are due, before an event is handled.
    fn before_event(&mut self, cx: &Cx<'_>, is_tick: bool, effects: &mut Vec<Effect>) {
        self.lease_expires_at = cx.membership.lease_expires_at(cx.now);
        self.pool.refresh(cx, is_tick);
        self.detect_stall(cx);
        self.follow_view(cx, effects);
        while let Some((at, call, timer)) = self.timers.first().copied() {
            if at > cx.now {
                break;
            }
            self.timers.pop_first();
            self.timer_due(cx, call, timer, effects);
        }
    }

    /// Dispatches queued requests to the slots that became free during the event.
    fn after_event(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        while let Some(service) = self.dirty_services.pop_first() {
            self.dispatch_queued(cx, &service, effects);
        }
    }

    fn timer_due(&mut self, cx: &Cx<'_>, id: CallId, timer: Timer, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match timer {
            Timer::Deadline => self.refuse(cx, id, Reason::DeadlinePassed, effects),
            Timer::Claim => self.claim_due(cx, id, effects),
            Timer::Resume if call.phase == Phase::Pending => self.route(cx, id, effects),
            Timer::Resume => {}
            Timer::Hedge => self.hedge(cx, id, effects),
        }
    }

    /// Discards the probes in flight if the process was stalled.
    fn detect_stall(&mut self, cx: &Cx<'_>) {
        let gap = cx.now.since(self.last_event_at);
        self.last_event_at = cx.now;
        if gap > STALL_THRESHOLD {
            for id in self.pool.with_residual() {
                self.pool.update(&id, |e| e.discard_probe(cx.now));
            }
        }
    }

    fn probe(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        for id in self.pool.with_residual() {
            let due = self.pool.update(&id, |e| (e.probe_due(cx.now), e.address));
            if let Some((true, address)) = due {
                let endpoint = id;
                effects.push(RequestEffect::Probe { endpoint, address }.into());
            }
        }
    }

    fn probed(
        &mut self,
        cx: &Cx<'_>,
        id: &EndpointId,
        requested_at: Timestamp,
        report: Option<ProbeReport>,
    ) {
        let service = self.pool.update(id, |e| {
            e.leaving |= report.is_some_and(|report| report.leaving);
            e.probed(cx.now, requested_at, report.map(|report| report.busy));
            e.service.clone()
        });
        self.dirty_services.extend(service);
    }

    /// Gives up forwards to peers whose heartbeats are late or missing although their link has not
    /// broken.
    fn give_up_silent_peers(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let forwarded_to: BTreeSet<InstanceId> = self
            .calls
            .values()
            .filter_map(|call| call.forwarded_to.clone())
            .collect();
        for peer in forwarded_to {
            if !cx.membership.is_reachable(&peer, cx.now) {
                self.peer_lost(cx, &peer, effects);
            } else if !cx.membership.is_timely(&peer, cx.now) {
                self.peer_suspected(cx, &peer, effects);
            }
        }
    }

    /// Routes queued calls again while this instance cannot serve their service.
    fn reroute(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let mut unservable = Vec::new();
        for (name, queue) in &self.queues {
            let slots = self.pool.group(name).map_or(0, |group| group.slots);
            if queue.entries() > 0 && (slots == 0 || self.lease_expires_at.is_none()) {
                unservable.extend(queue.calls());
            }
        }
        for id in unservable {
            self.unqueue(id);
            self.route(cx, id, effects);
        }
    }

    /// Removes a call from its queue.
    fn unqueue(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let phase = std::mem::replace(&mut call.phase, Phase::Pending);
        if let Phase::Queued { long, team } = phase
            && let Some(queue) = self.queues.get_mut(&call.head.service)
        {
            queue.lane(long).remove(&team, id);
        }
    }
}
