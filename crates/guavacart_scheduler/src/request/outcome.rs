//! The end of a call, outcomes that peers report, and the loss of peers.

use guavacart_types::{CallId, InstanceId, Outcome, Reason};

use super::{
    Body, RequestCounter, RequestEffect, RequestMessage,
    call::{Origin, Phase},
    reducer::{Requests, Timer},
};
use crate::{Cx, Effect, membership::Load};

impl Requests {
    /// Ends a call without an answer; the outcome says whether the request may have run.
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

    /// Ends a call: removes its state, releases an unused claim and reports the outcome.
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
        if let Phase::Queued { long, team } = &call.phase
            && let Some(queue) = self.queues.get_mut(&call.head.service)
        {
            queue.lane(*long).remove(team, id);
        }
        self.timers.remove(&(call.deadline_at, id, Timer::Deadline));
        if let Origin::Peer(from, remote) = &call.origin {
            self.remote_calls.remove(&(from.clone(), *remote));
        }
        if let Some(to) = call.forwarded_to {
            let message = RequestMessage::Cancel { call: id };
            effects.push(RequestEffect::SendToPeer { to, message }.into());
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

    /// Ends a call that neither a caller nor a peer waits for any longer.
    pub(super) fn caller_gone(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        self.refuse(cx, id, Reason::CallerGone, effects);
    }

    /// Applies the outcome that a peer reported for a call forwarded to it.
    pub(super) fn forward_ended(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        from: &InstanceId,
        outcome: Outcome,
        load: Load,
        effects: &mut Vec<Effect>,
    ) {
        self.peer_loads.reported(from, load, cx.now);
        let call = self.calls.get_mut(&id);
        let Some(call) = call.filter(|call| call.forwarded_to.as_ref() == Some(from)) else {
            if outcome == Outcome::Answered {
                effects.push(RequestEffect::Count(RequestCounter::LateAnswer).into());
            }
            return;
        };
        call.forwarded_to = None;
        call.phase = Phase::Pending;
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
                    call.peer_refusal = Some(reason);
                }
                self.route(cx, id, effects);
            }
        }
    }

    /// Handles a broken link to a peer or a peer without heartbeats: calls forwarded to the peer are
    /// retried or ended, and calls that came from the peer are ended.
    pub(super) fn peer_lost(&mut self, cx: &Cx<'_>, peer: &InstanceId, effects: &mut Vec<Effect>) {
        self.peer_loads.forget(peer);
        let is_forwarded_there = |id: &CallId| {
            let call = self.calls.get(id);
            call.is_some_and(|call| call.forwarded_to.as_ref() == Some(peer))
        };
        let lost: Vec<CallId> = self
            .calls
            .keys()
            .copied()
            .filter(is_forwarded_there)
            .collect();
        for id in lost {
            if let Some(call) = self.calls.get_mut(&id) {
                call.forwarded_to = None;
                call.phase = Phase::Pending;
                call.may_have_run = true;
                call.refused_by.push(peer.clone());
            }
            self.retry_or_fail(cx, id, Reason::PeerLost, effects);
        }
        let from_peer = self
            .remote_calls
            .iter()
            .filter(|((from, _), _)| from == peer);
        let from_peer: Vec<CallId> = from_peer.map(|(_, id)| *id).collect();
        for id in from_peer {
            self.caller_gone(cx, id, effects);
        }
    }

    /// Handles a peer whose heartbeats are late: idempotent calls forwarded to the peer are retried
    /// elsewhere, within the retry budget.
    pub(super) fn peer_suspected(
        &mut self,
        cx: &Cx<'_>,
        peer: &InstanceId,
        effects: &mut Vec<Effect>,
    ) {
        let is_forwarded_there = |call: &&CallId| {
            let call = self.calls.get(call);
            call.is_some_and(|call| call.forwarded_to.as_ref() == Some(peer))
        };
        let forwarded: Vec<CallId> = self
            .calls
            .keys()
            .filter(is_forwarded_there)
            .copied()
            .collect();
        for id in forwarded {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.forwarded_to = None;
            if !self.try_take_retry(cx, id) {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.forwarded_to = Some(peer.clone());
                }
                continue;
            }
            if let Some(call) = self.calls.get_mut(&id) {
                call.may_have_run = true;
                call.refused_by.push(peer.clone());
            }
            let message = RequestMessage::Cancel { call: id };
            let to = peer.clone();
            effects.push(RequestEffect::SendToPeer { to, message }.into());
            self.retry(cx, id, effects);
        }
    }
}
