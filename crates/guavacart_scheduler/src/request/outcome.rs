//! The end of a call, and what peers tell of calls that they hold or gave us.

use guavacart_types::{CallId, InstanceId, Outcome, Reason};

use super::{
    Body, Counted, PeerRequest, RequestEffect,
    call::{Origin, Place},
    reducer::{Requests, Timer},
};
use crate::{Cx, Effect, membership::Load};

impl Requests {
    /// Ends a call without an answer, and tells truly whether it may have run.
    pub(super) fn refuse(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(call) = self.calls.get(&id) {
            let outcome = call.outcome(reason);
            self.finish(cx, id, outcome, Body::None, effects);
        }
    }

    /// Ends a call.
    pub(super) fn finish(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        outcome: Outcome,
        body: Body,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Place::Queued { long, team } = &call.place
            && let Some(queue) = self.queues.get_mut(&call.head.service)
        {
            queue.lane(*long).remove(team, id);
        }
        self.timers.remove(&(call.deadline_at, id, Timer::Deadline));
        if let Origin::Peer(from, remote) = &call.origin {
            self.remote.remove(&(from.clone(), *remote));
        }
        if let Some(to) = call.forwarded {
            let message = PeerRequest::Cancel { call: id };
            effects.push(RequestEffect::Tell { to, message }.into());
        }
        if let (Some(claim), Outcome::NotRun(_)) = (&call.claim, outcome) {
            self.release_claim(cx, id, &call.head.id, claim, effects);
        }
        let answer = RequestEffect::Answer {
            call: id,
            outcome,
            body,
        };
        effects.push(answer.into());
    }

    /// The caller or the peer that waits for a call has gone.
    pub(super) fn gone(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        self.refuse(cx, id, Reason::CallerGone, effects);
    }

    /// A peer told the outcome of a call that was forwarded to it.
    pub(super) fn forward_ended(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        from: &InstanceId,
        outcome: Outcome,
        load: Load,
        effects: &mut Vec<Effect>,
    ) {
        self.loads.told(from, load, cx.now);
        let call = self.calls.get_mut(&id);
        let Some(call) = call.filter(|call| call.forwarded.as_ref() == Some(from)) else {
            if outcome == Outcome::Answered {
                effects.push(RequestEffect::Count(Counted::LateAnswer).into());
            }
            return;
        };
        call.forwarded = None;
        call.place = Place::Waits;
        match outcome {
            Outcome::Answered => {
                self.budget.answered();
                self.finish(cx, id, outcome, Body::Forward, effects);
            }
            Outcome::MayHaveRun(reason) => {
                call.may_have_run = true;
                self.retry_or_fail(cx, id, reason, effects);
            }
            Outcome::NotRun(reason) => {
                call.refused_by.push(from.clone());
                if reason != Reason::NoEndpoint {
                    call.refusal = Some(reason);
                }
                self.route(cx, id, effects);
            }
        }
    }

    /// The link to a peer broke, or the peer fell silent.
    pub(super) fn peer_lost(&mut self, cx: &Cx<'_>, peer: &InstanceId, effects: &mut Vec<Effect>) {
        self.loads.forget(peer);
        let there = |id: &CallId| {
            let call = self.calls.get(id);
            call.is_some_and(|call| call.forwarded.as_ref() == Some(peer))
        };
        let lost: Vec<CallId> = self.calls.keys().copied().filter(there).collect();
        for id in lost {
            if let Some(call) = self.calls.get_mut(&id) {
                call.forwarded = None;
                call.place = Place::Waits;
                call.may_have_run = true;
                call.refused_by.push(peer.clone());
            }
            self.retry_or_fail(cx, id, Reason::PeerLost, effects);
        }
        let theirs = self.remote.iter().filter(|((from, _), _)| from == peer);
        let theirs: Vec<CallId> = theirs.map(|(_, id)| *id).collect();
        for id in theirs {
            self.gone(cx, id, effects);
        }
    }

    /// A peer is late with its heartbeats: what may run twice is tried elsewhere, inside the budget.
    pub(super) fn peer_suspected(
        &mut self,
        cx: &Cx<'_>,
        peer: &InstanceId,
        effects: &mut Vec<Effect>,
    ) {
        let there = |call: &&CallId| {
            let call = self.calls.get(call);
            call.is_some_and(|call| call.forwarded.as_ref() == Some(peer))
        };
        let waiting: Vec<CallId> = self.calls.keys().filter(there).copied().collect();
        for id in waiting {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.forwarded = None;
            if !self.may_retry(cx, id) {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.forwarded = Some(peer.clone());
                }
                continue;
            }
            if let Some(call) = self.calls.get_mut(&id) {
                call.may_have_run = true;
                call.refused_by.push(peer.clone());
            }
            let message = PeerRequest::Cancel { call: id };
            let to = peer.clone();
            effects.push(RequestEffect::Tell { to, message }.into());
            self.retry(cx, id, effects);
        }
    }
}
