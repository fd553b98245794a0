//! The claim protocol: claims of calls at this instance, and answers to the claims of peers.

use guavacart_types::{CallId, InstanceId, Reason, RequestId, Span, ViewNumber};

use super::{
    ClaimAnswer, RequestEffect, RequestMessage,
    claim::{Claim, ClaimState},
    ledger,
    reducer::{Requests, Timer},
};
use crate::{Cx, Effect};

/// How long after its deadline a caller may repeat a request.
const REPEAT_WINDOW: Span = Span::secs(60);
/// Time until an unanswered claim is sent again.
const CLAIM_RESEND_INTERVAL: Span = Span::millis(50);
/// Times after the adoption of a view at which its handovers are sent again.
///
/// They are sent even if a later view has been adopted: an instance that lacks one of two handovers
/// cannot grant claims until the retention span is over.
const HANDOVER_REPEATS: [Span; 3] = [Span::millis(300), Span::secs(1), Span::secs(4)];

impl Requests {
    /// Asks the holders of a call's request id to record it.
    pub(super) fn start_claim(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let view = cx.membership.view();
        let members: Vec<InstanceId> = view.members.iter().map(|m| m.member.id.clone()).collect();
        let holders = ledger::holders(&members, &call.head.id);
        let previous = call.claim.take();
        let same_view = previous.as_ref().filter(|claim| claim.view == view.number);
        let answer_so_far = |holder: &InstanceId| {
            let answers = &same_view?.holders;
            let (_, answer) = answers.iter().find(|(other, _)| other == holder)?;
            answer.filter(|answer| *answer != ClaimAnswer::WrongView)
        };
        let answers = holders
            .iter()
            .map(|h| ((*h).clone(), answer_so_far(h)))
            .collect();
        let mut asked = previous.as_ref().map_or(Vec::new(), |c| c.asked.clone());
        for holder in holders {
            if !asked.contains(holder) {
                asked.push(holder.clone());
            }
        }
        call.claim = Some(Claim {
            view: view.number,
            holders: answers,
            asked,
            granted: false,
        });
        self.timers
            .insert((cx.now + CLAIM_RESEND_INTERVAL, id, Timer::Claim));
        self.ask_holders(cx, id, effects);
        self.evaluate_claim(cx, id, effects);
    }

    /// Repeats a claim that has not been granted.
    pub(super) fn claim_due(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let call = self.calls.get(&id);
        let claim = call.and_then(|call| call.claim.as_ref());
        if claim.is_some_and(|claim| !claim.granted) {
            self.start_claim(cx, id, effects);
        }
    }

    /// Applies a holder's answer to a claim.
    pub(super) fn claim_answered(
        &mut self,
        cx: &Cx<'_>,
        from: &InstanceId,
        id: CallId,
        view: ViewNumber,
        answer: ClaimAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let call = self.calls.get_mut(&id);
        let Some(claim) = call.and_then(|call| call.claim.as_mut()) else {
            return;
        };
        if claim.view == view && !claim.granted {
            claim.record_answer(from, answer);
            self.evaluate_claim(cx, id, effects);
        }
    }

    /// Releases the claim of a call that was not run, at every holder that may have recorded it.
    pub(super) fn release_claim(
        &mut self,
        cx: &Cx<'_>,
        call: CallId,
        id: &RequestId,
        claim: &Claim,
        effects: &mut Vec<Effect>,
    ) {
        let claimant = cx.membership.me();
        for holder in &claim.asked {
            if *holder == self.me {
                self.ledger.release(claimant, call, id);
                continue;
            }
            let message = RequestMessage::Release {
                claimant: claimant.clone(),
                call,
                id: id.clone(),
            };
            let to = holder.clone();
            effects.push(RequestEffect::SendToPeer { to, message }.into());
        }
    }

    /// Handles a message about requests from a peer.
    pub(super) fn peer_message(
        &mut self,
        cx: &Cx<'_>,
        from: &InstanceId,
        message: RequestMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            RequestMessage::Cancel { call } => {
                if let Some(id) = self.remote_calls.get(&(from.clone(), call)) {
                    self.caller_gone(cx, *id, effects);
                }
            }
            RequestMessage::Claim {
                claimant,
                call,
                id,
                view,
            } => {
                let retention = retention(cx);
                let answer = self
                    .ledger
                    .claim(cx.now, retention, view, &claimant, call, &id);
                let message = RequestMessage::ClaimAnswered {
                    claimant,
                    call,
                    view,
                    answer,
                };
                let to = from.clone();
                effects.push(RequestEffect::SendToPeer { to, message }.into());
            }
            RequestMessage::ClaimAnswered {
                claimant,
                call,
                view,
                answer,
            } => {
                if claimant == *cx.membership.me() {
                    self.claim_answered(cx, from, call, view, answer, effects);
                }
            }
            RequestMessage::Release { claimant, call, id } => {
                self.ledger.release(&claimant, call, &id);
            }
            RequestMessage::Handover {
                view,
                previous_members,
                ids,
                complete,
            } => self
                .ledger
                .apply_handover(cx.now, from, view, previous_members, ids, complete),
        }
    }

    /// Adopts the current view, sends the handovers that are due and expires old ids.
    pub(super) fn follow_view(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let view = cx.membership.view();
        if view.number != self.ledger.view() {
            self.ledger.adopt(cx.now, view, cx.membership.me());
            let repeats = HANDOVER_REPEATS.map(|span| (cx.now + span, view.number));
            self.handovers_due.extend(repeats);
            self.send_handovers(cx, view.number, effects);
        }
        while let Some((at, number)) = self.handovers_due.first().copied() {
            if at > cx.now {
                break;
            }
            self.handovers_due.pop_first();
            self.send_handovers(cx, number, effects);
        }
        self.ledger.expire(cx.now, retention(cx));
    }

    fn send_handovers(&self, cx: &Cx<'_>, view: ViewNumber, effects: &mut Vec<Effect>) {
        for handover in self.ledger.handovers(cx.now, retention(cx), view) {
            let message = RequestMessage::Handover {
                view: handover.view,
                previous_members: handover.previous_members,
                ids: handover.ids,
                complete: handover.complete,
            };
            let to = handover.to;
            effects.push(RequestEffect::SendToPeer { to, message }.into());
        }
    }

    /// Sends the claim to each holder that has not answered; if this instance is a holder, its own
    /// answer is recorded at once.
    fn ask_holders(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(claim) = call.claim.as_mut() else {
            return;
        };
        let claimant = cx.membership.me();
        let view = claim.view;
        for (holder, answer) in &mut claim.holders {
            if answer.is_some() {
                continue;
            }
            if *holder == self.me {
                let retention = retention(cx);
                let own = self
                    .ledger
                    .claim(cx.now, retention, view, claimant, id, &call.head.id);
                *answer = Some(own);
                continue;
            }
            let message = RequestMessage::Claim {
                claimant: claimant.clone(),
                call: id,
                id: call.head.id.clone(),
                view,
            };
            let to = holder.clone();
            effects.push(RequestEffect::SendToPeer { to, message }.into());
        }
    }

    fn evaluate_claim(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(claim) = call.claim.as_mut() else {
            return;
        };
        match claim.state() {
            ClaimState::Pending => {}
            ClaimState::Granted => {
                claim.granted = true;
                self.route(cx, id, effects);
            }
            ClaimState::Repeated => {
                call.may_have_run = true;
                self.refuse(cx, id, Reason::Repeated, effects);
            }
        }
    }
}

/// Returns how long ids are kept: the longest deadline of any service plus [`REPEAT_WINDOW`].
fn retention(cx: &Cx<'_>) -> Span {
    let services = cx.configuration.services.values();
    let longest = services.map(|service| service.longest_deadline).max();
    longest.unwrap_or(Span::ZERO) + REPEAT_WINDOW
}
