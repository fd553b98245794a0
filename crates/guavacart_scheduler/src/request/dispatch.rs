//! Dispatches to the endpoints that this instance owns, and how they end.

use guavacart_types::{CallId, DispatchId, Outcome, Reason, ServiceName, Span, Timestamp, mix};

use super::{
    Body, Counted, DispatchEnd, RequestEffect,
    call::Place,
    endpoint::Running,
    reducer::{Dispatched, Requests, Timer},
};
use crate::{Cx, Effect};

/// First pause before a retry.
const FIRST_PAUSE: Span = Span::millis(5);
/// Longest pause before a retry.
const LONGEST_PAUSE: Span = Span::millis(200);
/// Wait after which long work goes before short work that came later.
const AGEING_SPAN: Span = Span::millis(500);
/// Most attempts at one call.
const MOST_RETRIES: u32 = 8;

impl Requests {
    /// Dispatches a call now; false if no slot is free for it.
    pub(super) fn dispatch(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) -> bool {
        let Some(valid_until) = self.right else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let name = &call.head.service;
        let Some(service) = cx.configuration.services.get(name) else {
            return false;
        };
        let long = self.times.is_kept_long(&call.head, service);
        let idempotent = call.head.idempotent;
        let picked = self.pool.pick(name, long, idempotent, &call.tried, cx.now);
        let Some(endpoint) = picked else {
            return false;
        };
        let dispatch = self.next_dispatch;
        self.next_dispatch = dispatch.next();
        call.place = Place::Out;
        call.dispatches.push(dispatch);
        call.tried.push(endpoint.clone());
        let head = call.head.clone();
        let use_number = self.pool.next_use();
        let target = self.pool.with(&endpoint, |e| {
            let sent_at = cx.now;
            e.last_used = use_number;
            e.running.insert(dispatch, Running { sent_at, long });
            (e.address, e.connections)
        });
        let Some((address, connections)) = target else {
            return false;
        };
        effects.push(
            RequestEffect::Dispatch {
                dispatch,
                call: id,
                id: head.id.clone(),
                endpoint: endpoint.clone(),
                address,
                connections,
                timeout: service.longest_deadline,
                valid_until,
            }
            .into(),
        );
        let hedge_after = self.times.high(&head).filter(|_| idempotent);
        if let Some(after) = hedge_after {
            self.timers.insert((cx.now + after, id, Timer::Hedge));
        }
        let dispatched = Dispatched {
            endpoint,
            call: id,
            head,
            sent_at: cx.now,
        };
        self.dispatches.insert(dispatch, dispatched);
        true
    }

    /// Takes the end of a dispatch.
    pub(super) fn dispatch_ended(
        &mut self,
        cx: &Cx<'_>,
        dispatch: DispatchId,
        end: DispatchEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(dispatched) = self.dispatches.remove(&dispatch) else {
            return;
        };
        self.free_slot(cx, dispatch, &dispatched, end, effects);
        self.dirty.insert(dispatched.head.service.clone());
        let id = dispatched.call;
        let has_body = matches!(end, DispatchEnd::Answered | DispatchEnd::Failed);
        let Some(call) = self.calls.get_mut(&id) else {
            if has_body {
                effects.push(RequestEffect::Discard { dispatch }.into());
                effects.push(RequestEffect::Count(Counted::LateAnswer).into());
            }
            return;
        };
        call.dispatches.retain(|other| *other != dispatch);
        match end {
            DispatchEnd::Answered => {
                self.budget.answered();
                self.finish(cx, id, Outcome::Answered, Body::Dispatch(dispatch), effects);
            }
            DispatchEnd::Failed => {
                call.may_have_run = true;
                if self.may_retry(cx, id) {
                    effects.push(RequestEffect::Discard { dispatch }.into());
                    self.retry(cx, id, effects);
                } else if !self.is_out(id) {
                    let outcome = Outcome::MayHaveRun(Reason::EndpointFailed);
                    self.finish(cx, id, outcome, Body::Dispatch(dispatch), effects);
                } else {
                    effects.push(RequestEffect::Discard { dispatch }.into());
                }
            }
            DispatchEnd::Broken => {
                call.may_have_run = true;
                self.retry_or_fail(cx, id, Reason::EndpointFailed, effects);
            }
            DispatchEnd::Busy | DispatchEnd::Leaving | DispatchEnd::NotSent => {
                self.not_run(cx, id, effects);
            }
        }
    }

    /// Sends waiting requests of a service to the slots that are free.
    pub(super) fn pump(&mut self, cx: &Cx<'_>, name: &ServiceName, effects: &mut Vec<Effect>) {
        let Some(service) = cx.configuration.services.get(name) else {
            return;
        };
        while let Some(id) = self.next_waiting(cx.now, name) {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.place = Place::Waits;
            let left = call.deadline_at.since(cx.now).0;
            let took = self.times.mean(&call.head, service).0;
            if service.admission && left < took {
                self.refuse(cx, id, Reason::DeadlinePassed, effects);
            } else if !self.dispatch(cx, id, effects) {
                self.route(cx, id, effects);
            }
        }
    }

    /// Sends a second copy of a request that takes longer than most.
    pub(super) fn hedge(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(service) = cx.configuration.services.get(&call.head.service) else {
            return;
        };
        let [dispatch] = call.dispatches.as_slice() else {
            return;
        };
        let sent_at = self.dispatches.get(dispatch).map(|d| d.sent_at);
        let high = self.times.high(&call.head).unwrap_or(Span::ZERO);
        let overdue = sent_at.is_some_and(|at| cx.now.since(at) >= high);
        let waiting = self.queues.get(&call.head.service);
        let crowded = waiting.is_some_and(|queue| queue.entries() > 0);
        let long = self.times.is_kept_long(&call.head, service);
        let group = self.pool.group(&call.head.service);
        let has_free = group.is_some_and(|group| group.has_free(long));
        let useful = overdue && !crowded && has_free && self.right.is_some();
        if useful && self.budget.take() && self.dispatch(cx, id, effects) {
            effects.push(RequestEffect::Count(Counted::Hedge).into());
        }
    }

    /// Retries an idempotent call whose fate is not known, or ends it.
    pub(super) fn retry_or_fail(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_out(id) {
            return;
        }
        if self.may_retry(cx, id) {
            self.retry(cx, id, effects);
        } else {
            self.refuse(cx, id, reason, effects);
        }
    }

    /// Counts what an endpoint did and frees or doubts its slot.
    fn free_slot(
        &mut self,
        cx: &Cx<'_>,
        dispatch: DispatchId,
        dispatched: &Dispatched,
        end: DispatchEnd,
        effects: &mut Vec<Effect>,
    ) {
        let head = &dispatched.head;
        let took = cx.now.since(dispatched.sent_at);
        if end == DispatchEnd::Answered {
            self.times.learn(head, took);
        }
        let service = cx.configuration.services.get(&head.service);
        let expected = service.map_or(took, |s| self.times.mean(head, s));
        let failed = matches!(
            end,
            DispatchEnd::Broken | DispatchEnd::Failed | DispatchEnd::NotSent
        );
        self.pool.with(&dispatched.endpoint, |e| {
            e.ended(dispatch, end == DispatchEnd::Broken, cx.now);
            e.leaving |= end == DispatchEnd::Leaving;
            match end {
                DispatchEnd::Busy => e.doubt(cx.now),
                DispatchEnd::Leaving => {}
                _ => e.probation.note(cx.now, failed, took, expected),
            }
        });
        if self.pool.put_on_probation(&dispatched.endpoint, cx.now) {
            effects.push(RequestEffect::Count(Counted::Probation).into());
        }
        self.pool.forget_if_unused(&dispatched.endpoint);
    }

    /// Tries a call again that an endpoint did not run.
    fn not_run(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        if self.is_out(id) {
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.retries += 1;
        if call.retries > MOST_RETRIES {
            return self.refuse(cx, id, Reason::NoEndpoint, effects);
        }
        self.pause(cx.now, id);
    }

    /// True if a call may be sent once more: idempotent, in time and inside the budget.
    pub(super) fn may_retry(&mut self, cx: &Cx<'_>, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let possible = call.head.idempotent && call.retries < MOST_RETRIES;
        let idle = call.dispatches.is_empty() && call.forwarded.is_none();
        possible && idle && cx.now + FIRST_PAUSE < call.deadline_at && self.budget.take()
    }

    pub(super) fn retry(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.retries += 1;
        }
        effects.push(RequestEffect::Count(Counted::Retry).into());
        self.pause(cx.now, id);
    }

    /// Lets a call wait for a jittered span that grows with its retries.
    fn pause(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.place = Place::Waits;
        let most = (FIRST_PAUSE.0 << call.retries.min(6)).min(LONGEST_PAUSE.0);
        let span = Span(most / 2 + mix(id.0, u64::from(call.retries)) % (most / 2 + 1));
        self.timers.insert((now + span, id, Timer::Resume));
    }

    /// True while a dispatch or a forward of the call is under way.
    fn is_out(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| !call.dispatches.is_empty() || call.forwarded.is_some())
    }

    /// Takes the call whose turn it is, if a slot is free for it.
    fn next_waiting(&mut self, now: Timestamp, name: &ServiceName) -> Option<CallId> {
        self.right?;
        let group = self.pool.group(name)?;
        let queue = self.queues.get_mut(name)?;
        let short = queue.short.entries > 0 && group.has_free(false);
        let long = queue.long.entries > 0 && group.has_free(true);
        if !short && !long {
            return None;
        }
        let aged = || {
            let oldest = queue.long.oldest()?;
            let waited = now.since(oldest) > AGEING_SPAN;
            let first = queue.short.oldest().is_none_or(|at| oldest < at);
            Some(waited && first)
        };
        let take_long = long && (!short || aged() == Some(true));
        queue.lane(take_long).pop().map(|waiting| waiting.call)
    }
}
