//! Claims from both sides: those of calls here, and those that this instance holds for others.

use guavacart_types::{CallId, InstanceId, Reason, RequestId, Span, ViewNumber};

use super::{
    ClaimAnswer, PeerRequest, RequestEffect,
    claim::{Claim, Verdict},
    ledger,
    reducer::{Requests, Timer},
};
use crate::{Cx, Effect};

/// Time for which a caller may repeat a request after its deadline.
const REPEAT_SPAN: Span = Span::secs(60);
/// Time until an unanswered claim is sent again.
const CLAIM_INTERVAL: Span = Span::millis(50);
/// Times after the adoption of a view at which its handovers are sent again.
///
/// A later view does not end them: who lacks one handover of two knows nothing for as long as ids are
/// kept.
const HANDOVER_REPEATS: [Span; 3] = [Span::millis(300), Span::secs(1), Span::secs(4)];

impl Requests {
    /// Asks the holders of a call's id to record it.
    pub(super) fn start_claim(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let view = cx.membership.view();
        let members: Vec<InstanceId> = view.members.iter().map(|m| m.member.id.clone()).collect();
        let holders = ledger::holders(&members, &call.head.id);
        let before = call.claim.take();
        let repeated = before.as_ref().filter(|claim| claim.view == view.number);
        let known = |holder: &InstanceId| {
            let answers = &repeated?.holders;
            let (_, answer) = answers.iter().find(|(other, _)| other == holder)?;
            answer.filter(|answer| *answer != ClaimAnswer::WrongView)
        };
        let answers = holders.iter().map(|h| ((*h).clone(), known(h))).collect();
        let mut asked = before.as_ref().map_or(Vec::new(), |c| c.asked.clone());
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
            .insert((cx.now + CLAIM_INTERVAL, id, Timer::Claim));
        self.ask_holders(cx, id, effects);
        self.judge_claim(cx, id, effects);
    }

    /// Repeats a claim that is still open.
    pub(super) fn claim_due(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let call = self.calls.get(&id);
        let open = call.and_then(|call| call.claim.as_ref());
        if open.is_some_and(|claim| !claim.granted) {
            self.start_claim(cx, id, effects);
        }
    }

    /// A holder answered a claim.
    pub(super) fn claimed(
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
            claim.answered(from, answer);
            self.judge_claim(cx, id, effects);
        }
    }

    /// Forgets the claim of a call that was not dispatched, at all who may have recorded it.
    pub(super) fn release_claim(
        &mut self,
        cx: &Cx<'_>,
        call: CallId,
        id: &RequestId,
        claim: &Claim,
        effects: &mut Vec<Effect>,
    ) {
        let asker = cx.membership.me();
        for holder in &claim.asked {
            if *holder == self.me {
                self.ledger.release(asker, call, id);
                continue;
            }
            let message = PeerRequest::Release {
                asker: asker.clone(),
                call,
                id: id.clone(),
            };
            let to = holder.clone();
            effects.push(RequestEffect::Tell { to, message }.into());
        }
    }

    /// Takes what a peer tells about requests.
    pub(super) fn told(
        &mut self,
        cx: &Cx<'_>,
        from: &InstanceId,
        message: PeerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PeerRequest::Cancel { call } => {
                if let Some(id) = self.remote.get(&(from.clone(), call)) {
                    self.gone(cx, *id, effects);
                }
            }
            PeerRequest::Claim {
                asker,
                call,
                id,
                view,
            } => {
                let keep = keep_span(cx);
                let answer = self.ledger.claim(cx.now, keep, view, &asker, call, &id);
                let message = PeerRequest::Claimed {
                    asker,
                    call,
                    view,
                    answer,
                };
                let to = from.clone();
                effects.push(RequestEffect::Tell { to, message }.into());
            }
            PeerRequest::Claimed {
                asker,
                call,
                view,
                answer,
            } => {
                if asker == *cx.membership.me() {
                    self.claimed(cx, from, call, view, answer, effects);
                }
            }
            PeerRequest::Release { asker, call, id } => self.ledger.release(&asker, call, &id),
            PeerRequest::Handover {
                view,
                before,
                ids,
                complete,
            } => self
                .ledger
                .take_over(cx.now, from, view, before, ids, complete),
        }
    }

    /// Follows the view: hands over what others are to hold, and forgets what is too old.
    pub(super) fn follow_view(&mut self, cx: &Cx<'_>, effects: &mut Vec<Effect>) {
        let view = cx.membership.view();
        if view.number != self.ledger.view() {
            self.ledger.adopt(cx.now, view, cx.membership.me());
            let repeats = HANDOVER_REPEATS.map(|span| (cx.now + span, view.number));
            self.handovers_due.extend(repeats);
            self.hand_over(cx, view.number, effects);
        }
        while let Some((at, number)) = self.handovers_due.first().copied() {
            if at > cx.now {
                break;
            }
            self.handovers_due.pop_first();
            self.hand_over(cx, number, effects);
        }
        self.ledger.expire(cx.now, keep_span(cx));
    }

    fn hand_over(&self, cx: &Cx<'_>, view: ViewNumber, effects: &mut Vec<Effect>) {
        for handover in self.ledger.handovers(cx.now, keep_span(cx), view) {
            let message = PeerRequest::Handover {
                view: handover.view,
                before: handover.before,
                ids: handover.ids,
                complete: handover.complete,
            };
            let to = handover.to;
            effects.push(RequestEffect::Tell { to, message }.into());
        }
    }

    /// Asks each holder that has not answered; this instance answers itself at once.
    fn ask_holders(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(claim) = call.claim.as_mut() else {
            return;
        };
        let asker = cx.membership.me();
        let view = claim.view;
        for (holder, answer) in &mut claim.holders {
            if answer.is_some() {
                continue;
            }
            if *holder == self.me {
                let keep = keep_span(cx);
                let own = self
                    .ledger
                    .claim(cx.now, keep, view, asker, id, &call.head.id);
                *answer = Some(own);
                continue;
            }
            let message = PeerRequest::Claim {
                asker: asker.clone(),
                call: id,
                id: call.head.id.clone(),
                view,
            };
            let to = holder.clone();
            effects.push(RequestEffect::Tell { to, message }.into());
        }
    }

    fn judge_claim(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(claim) = call.claim.as_mut() else {
            return;
        };
        match claim.verdict() {
            Verdict::Open => {}
            Verdict::Granted => {
                claim.granted = true;
                self.route(cx, id, effects);
            }
            Verdict::Repeated => {
                call.may_have_run = true;
                self.refuse(cx, id, Reason::Repeated, effects);
            }
        }
    }
}

/// How long ids are held: the longest deadline and the time in which a caller may repeat.
fn keep_span(cx: &Cx<'_>) -> Span {
    let services = cx.configuration.services.values();
    let longest = services.map(|service| service.longest_deadline).max();
    longest.unwrap_or(Span::ZERO) + REPEAT_SPAN
}
