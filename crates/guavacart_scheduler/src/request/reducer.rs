//! All requests in hand: which event goes where, and what time brings.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{
    CallId, DispatchId, EndpointId, InstanceId, Reason, ServiceName, Span, Timestamp, ViewNumber,
};

use super::{
    EndpointReport, RequestEffect, RequestEvent, RequestHead,
    budget::RetryBudget,
    call::{Call, Origin, Place},
    ledger::Ledger,
    peers::PeerLoads,
    pool::Pool,
    queue::ServiceQueue,
    service_time::ServiceTimes,
};
use crate::{
    Cx, Effect,
    membership::{Load, ServiceLoad, TICK},
};

/// Time without an event, ticks among them, after which the process has stood still.
const STALL_SPAN: Span = Span::millis(TICK.0 * 2);

/// What a timer of a call is for; in the order in which they count at one time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    Deadline,
    Claim,
    Resume,
    Hedge,
}

/// A dispatch under way; it may outlive its call.
#[derive(Debug)]
pub(super) struct Dispatched {
    pub(super) endpoint: EndpointId,
    pub(super) call: CallId,
    pub(super) head: RequestHead,
    pub(super) sent_at: Timestamp,
}

/// All requests in hand and the slots of the endpoints that this instance owns.
#[derive(Debug)]
pub struct Requests {
    pub(super) me: InstanceId,
    pub(super) calls: BTreeMap<CallId, Call>,
    /// Calls that peers forwarded, by the peer's id of them.
    pub(super) remote: BTreeMap<(InstanceId, CallId), CallId>,
    pub(super) timers: BTreeSet<(Timestamp, CallId, Timer)>,
    pub(super) dispatches: BTreeMap<DispatchId, Dispatched>,
    pub(super) next_dispatch: DispatchId,
    pub(super) pool: Pool,
    pub(super) queues: BTreeMap<ServiceName, ServiceQueue>,
    /// Services that may have got a free slot.
    pub(super) dirty: BTreeSet<ServiceName>,
    pub(super) times: ServiceTimes,
    pub(super) budget: RetryBudget,
    pub(super) loads: PeerLoads,
    pub(super) ledger: Ledger,
    pub(super) handovers_due: BTreeSet<(Timestamp, ViewNumber)>,
    /// When the last event was handled.
    pub(super) last_run: Timestamp,
    /// The end of the right to act, as of the event in hand.
    pub(super) right: Option<Timestamp>,
}

impl Requests {
    pub(crate) fn new(me: InstanceId) -> Self {
        Self {
            ledger: Ledger::new(me.clone()),
            me,
            calls: BTreeMap::new(),
            remote: BTreeMap::new(),
            timers: BTreeSet::new(),
            dispatches: BTreeMap::new(),
            next_dispatch: DispatchId(1),
            pool: Pool::default(),
            queues: BTreeMap::new(),
            dirty: BTreeSet::new(),
            times: ServiceTimes::default(),
            budget: RetryBudget::default(),
            loads: PeerLoads::default(),
            handovers_due: BTreeSet::new(),
            last_run: Timestamp::default(),
            right: None,
        }
    }

    /// True if no call is in hand and no dispatch under way.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.dispatches.is_empty()
    }

    /// What this instance has to spare.
    pub fn load(&self) -> Load {
        let acts = self.right.is_some();
        let groups = self.pool.groups().filter(|_| acts);
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
        self.begin(cx, true, effects);
        self.probe(cx, effects);
        self.pool.lapse(cx.now);
        self.lose_silent_peers(cx, effects);
        self.reroute(cx, effects);
        self.dirty.extend(self.queues.keys().cloned());
        self.end(cx, effects);
    }

    pub(crate) fn apply(&mut self, cx: &Cx<'_>, event: RequestEvent, effects: &mut Vec<Effect>) {
        self.begin(cx, false, effects);
        self.handle(cx, event, effects);
        self.end(cx, effects);
    }

    fn handle(&mut self, cx: &Cx<'_>, event: RequestEvent, effects: &mut Vec<Effect>) {
        match event {
            RequestEvent::Arrived { call, head } => {
                self.arrived(cx, call, head, Origin::Caller, effects);
            }
            RequestEvent::CallerGone { call } => self.gone(cx, call, effects),
            RequestEvent::ForwardArrived {
                call,
                from,
                remote,
                head,
            } => self.arrived(cx, call, head, Origin::Peer(from, remote), effects),
            RequestEvent::ForwardEnded {
                call,
                from,
                outcome,
                load,
            } => self.forward_ended(cx, call, &from, outcome, load, effects),
            RequestEvent::DispatchEnded { dispatch, end } => {
                self.dispatch_ended(cx, dispatch, end, effects);
            }
            RequestEvent::Peer { from, message } => self.told(cx, &from, message, effects),
            RequestEvent::PeerLost { peer } => self.peer_lost(cx, &peer, effects),
            RequestEvent::Probed {
                endpoint,
                asked_at,
                report,
            } => self.probed(cx, &endpoint, asked_at, report),
        }
    }

    /// Notes what has changed since the last event.
    fn begin(&mut self, cx: &Cx<'_>, is_tick: bool, effects: &mut Vec<Effect>) {
        self.right = cx.membership.right_until(cx.now);
        self.pool.refresh(cx, is_tick);
        self.notice_stall(cx);
        self.follow_view(cx, effects);
        while let Some((at, call, timer)) = self.timers.first().copied() {
            if at > cx.now {
                break;
            }
            self.timers.pop_first();
            self.timer_due(cx, call, timer, effects);
        }
    }

    /// Uses the slots that came free.
    fn end(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        while let Some(service) = self.dirty.pop_first() {
            self.pump(cx, &service, effects);
        }
    }

    fn timer_due(&mut self, cx: &Cx<'_>, id: CallId, timer: Timer, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match timer {
            Timer::Deadline => self.refuse(cx, id, Reason::DeadlinePassed, effects),
            Timer::Claim => self.claim_due(cx, id, effects),
            Timer::Resume if call.place == Place::Waits => self.route(cx, id, effects),
            Timer::Resume => {}
            Timer::Hedge => self.hedge(cx, id, effects),
        }
    }

    /// Distrusts the probes under way if the process has stood still.
    fn notice_stall(&mut self, cx: &Cx<'_>) {
        let stood = cx.now.since(self.last_run);
        self.last_run = cx.now;
        if stood > STALL_SPAN {
            for id in self.pool.in_doubt() {
                self.pool.with(&id, |e| e.stalled(cx.now));
            }
        }
    }

    fn probe(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        for id in self.pool.in_doubt() {
            let due = self.pool.with(&id, |e| (e.probe_due(cx.now), e.address));
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
        asked_at: Timestamp,
        report: Option<EndpointReport>,
    ) {
        let service = self.pool.with(id, |e| {
            e.leaving |= report.is_some_and(|report| report.leaving);
            e.probed(cx.now, asked_at, report.map(|report| report.busy));
            e.service.clone()
        });
        self.dirty.extend(service);
    }

    /// Gives up forwards to peers that fell silent without their link breaking.
    fn lose_silent_peers(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let holders: BTreeSet<InstanceId> = self
            .calls
            .values()
            .filter_map(|call| call.forwarded.clone())
            .collect();
        for peer in holders {
            if !cx.membership.is_heard(&peer, cx.now) {
                self.peer_lost(cx, &peer, effects);
            } else if !cx.membership.is_prompt(&peer, cx.now) {
                self.peer_suspected(cx, &peer, effects);
            }
        }
    }

    /// Sends waiting calls elsewhere while this instance cannot serve their service.
    fn reroute(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let mut stranded = Vec::new();
        for (name, queue) in &self.queues {
            let slots = self.pool.group(name).map_or(0, |group| group.slots);
            if queue.entries() > 0 && (slots == 0 || self.right.is_none()) {
                stranded.extend(queue.calls());
            }
        }
        for id in stranded {
            self.unqueue(id);
            self.route(cx, id, effects);
        }
    }

    /// Takes a call out of its queue.
    fn unqueue(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let place = std::mem::replace(&mut call.place, Place::Waits);
        if let Place::Queued { long, team } = place
            && let Some(queue) = self.queues.get_mut(&call.head.service)
        {
            queue.lane(long).remove(&team, id);
        }
    }
}
