//! Dispatches to the endpoints that this instance owns: sending, ends, retries and hedges.

use guavacart_types::{
    CallId, DispatchId, Outcome, Reason, ServiceName, Span, Timestamp, deterministic_random,
};

use super::{
    Body, DispatchEnd, RequestCounter, RequestEffect,
    call::Phase,
    endpoint::Running,
    reducer::{Dispatched, Requests, Timer},
};
use crate::{Cx, Effect};

/// Base of the exponential backoff before a retry.
const FIRST_BACKOFF: Span = Span::millis(5);
/// Maximum backoff before a retry.
const MAX_BACKOFF: Span = Span::millis(200);
/// Wait after which a long request is dispatched before short requests that arrived later.
const AGEING_THRESHOLD: Span = Span::millis(500);
/// Maximum number of retries of one call.
const MAX_RETRIES: u32 = 8;

impl Requests {
    /// Dispatches a call to a free slot; returns false if there is none.
    pub(super) fn dispatch(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) -> bool {
        let Some(valid_until) = self.lease_expires_at else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let name = &call.head.service;
        let Some(service) = cx.configuration.services.get(name) else {
            return false;
        };
        let long = self
            .service_times
            .is_limited_to_long_slots(&call.head, service);
        let idempotent = call.head.idempotent;
        let picked = self.pool.pick(name, long, idempotent, &call.tried, cx.now);
        let Some(endpoint) = picked else {
            return false;
        };
        let dispatch = self.next_dispatch;
        self.next_dispatch = dispatch.next();
        call.phase = Phase::InFlight;
        call.dispatches.push(dispatch);
        call.tried.push(endpoint.clone());
        let head = call.head.clone();
        let last_used = self.pool.next_use();
        let target = self.pool.update(&endpoint, |e| {
            let sent_at = cx.now;
            e.last_used = last_used;
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
        let hedge_after = self
            .service_times
            .high_quantile(&head)
            .filter(|_| idempotent);
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

    /// Handles the end of a dispatch: frees the slot, then finishes or retries the call.
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
        self.release_slot(cx, dispatch, &dispatched, end, effects);
        self.dirty_services.insert(dispatched.head.service.clone());
        let id = dispatched.call;
        let has_body = matches!(end, DispatchEnd::Answered | DispatchEnd::Failed);
        let Some(call) = self.calls.get_mut(&id) else {
            if has_body {
                effects.push(RequestEffect::Discard { dispatch }.into());
                effects.push(RequestEffect::Count(RequestCounter::LateAnswer).into());
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
                if self.try_take_retry(cx, id) {
                    effects.push(RequestEffect::Discard { dispatch }.into());
                    self.retry(cx, id, effects);
                } else if !self.is_in_flight(id) {
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
                self.retry_not_run(cx, id, effects);
            }
        }
    }

    /// Dispatches queued requests of a service to its free slots.
    pub(super) fn dispatch_queued(
        &mut self,
        cx: &Cx<'_>,
        name: &ServiceName,
        effects: &mut Vec<Effect>,
    ) {
        let Some(service) = cx.configuration.services.get(name) else {
            return;
        };
        while let Some(id) = self.next_queued(cx.now, name) {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.phase = Phase::Pending;
            let left = call.deadline_at.since(cx.now).0;
            let service_time = self.service_times.mean(&call.head, service).0;
            if service.admission && left < service_time {
                self.refuse(cx, id, Reason::DeadlinePassed, effects);
            } else if !self.dispatch(cx, id, effects) {
                self.route(cx, id, effects);
            }
        }
    }

    /// Dispatches a second copy of a request that takes longer than most, if the service has spare
    /// slots and no queue.
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
        let threshold = self
            .service_times
            .high_quantile(&call.head)
            .unwrap_or(Span::ZERO);
        let overdue = sent_at.is_some_and(|at| cx.now.since(at) >= threshold);
        let queue = self.queues.get(&call.head.service);
        let has_queue = queue.is_some_and(|queue| queue.entries() > 0);
        let long = self
            .service_times
            .is_limited_to_long_slots(&call.head, service);
        let group = self.pool.group(&call.head.service);
        let has_free = group.is_some_and(|group| group.has_free(long));
        let allowed = overdue && !has_queue && has_free && self.lease_expires_at.is_some();
        if allowed && self.budget.try_take() && self.dispatch(cx, id, effects) {
            effects.push(RequestEffect::Count(RequestCounter::Hedge).into());
        }
    }

    /// Retries an idempotent call that may have run, or ends it with `reason`; does nothing while
    /// another dispatch or forward of the call is in flight.
    pub(super) fn retry_or_fail(
        &mut self,
        cx: &Cx<'_>,
        id: CallId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_in_flight(id) {
            return;
        }
        if self.try_take_retry(cx, id) {
            self.retry(cx, id, effects);
        } else {
            self.refuse(cx, id, reason, effects);
        }
    }

    /// Frees the slot of a dispatch that ended, or counts the slot as residual if the endpoint may
    /// still use it, and updates service times and probation.
    fn release_slot(
        &mut self,
        cx: &Cx<'_>,
        dispatch: DispatchId,
        dispatched: &Dispatched,
        end: DispatchEnd,
        effects: &mut Vec<Effect>,
    ) {
        let head = &dispatched.head;
        let elapsed = cx.now.since(dispatched.sent_at);
        if end == DispatchEnd::Answered {
            self.service_times.learn(head, elapsed);
        }
        let service = cx.configuration.services.get(&head.service);
        let expected = service.map_or(elapsed, |s| self.service_times.mean(head, s));
        let failed = matches!(
            end,
            DispatchEnd::Broken | DispatchEnd::Failed | DispatchEnd::NotSent
        );
        self.pool.update(&dispatched.endpoint, |e| {
            e.ended(dispatch, end == DispatchEnd::Broken, cx.now);
            e.leaving |= end == DispatchEnd::Leaving;
            match end {
                DispatchEnd::Busy => e.add_residual(cx.now),
                DispatchEnd::Leaving => {}
                _ => e.probation.record(cx.now, failed, elapsed, expected),
            }
        });
        if self.pool.put_on_probation(&dispatched.endpoint, cx.now) {
            effects.push(RequestEffect::Count(RequestCounter::Probation).into());
        }
        self.pool.forget_if_unused(&dispatched.endpoint);
    }

    /// Retries a call that an endpoint did not run, or refuses it after too many retries.
    fn retry_not_run(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        if self.is_in_flight(id) {
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.retries += 1;
        if call.retries > MAX_RETRIES {
            return self.refuse(cx, id, Reason::NoEndpoint, effects);
        }
        self.back_off(cx.now, id);
    }

    /// Takes one retry out of the budget if the call may be retried: it is idempotent, not in
    /// flight, more than [`FIRST_BACKOFF`] before its deadline and below [`MAX_RETRIES`]. Returns
    /// whether it did.
    pub(super) fn try_take_retry(&mut self, cx: &Cx<'_>, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let is_retryable = call.head.idempotent && call.retries < MAX_RETRIES;
        let is_idle = call.dispatches.is_empty() && call.forwarded_to.is_none();
        is_retryable
            && is_idle
            && cx.now + FIRST_BACKOFF < call.deadline_at
            && self.budget.try_take()
    }

    pub(super) fn retry(&mut self, cx: &Cx<'_>, id: CallId, effects: &mut Vec<Effect>) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.retries += 1;
        }
        effects.push(RequestEffect::Count(RequestCounter::Retry).into());
        self.back_off(cx.now, id);
    }

    /// Schedules a call to be routed again after an exponential backoff with jitter.
    fn back_off(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Pending;
        let max = (FIRST_BACKOFF.0 << call.retries.min(6)).min(MAX_BACKOFF.0);
        let span =
            Span(max / 2 + deterministic_random(id.0, u64::from(call.retries)) % (max / 2 + 1));
        self.timers.insert((now + span, id, Timer::Resume));
    }

    /// True while a dispatch or a forward of the call is in flight.
    fn is_in_flight(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| !call.dispatches.is_empty() || call.forwarded_to.is_some())
    }

    /// Removes and returns the next queued call for which a slot is free.
    fn next_queued(&mut self, now: Timestamp, name: &ServiceName) -> Option<CallId> {
        self.lease_expires_at?;
        let group = self.pool.group(name)?;
        let queue = self.queues.get_mut(name)?;
        let short = queue.short.entries > 0 && group.has_free(false);
        let long = queue.long.entries > 0 && group.has_free(true);
        if !short && !long {
            return None;
        }
        let long_goes_first = || {
            let oldest = queue.long.oldest()?;
            let waited = now.since(oldest) > AGEING_THRESHOLD;
            let first = queue.short.oldest().is_none_or(|at| oldest < at);
            Some(waited && first)
        };
        let take_long = long && (!short || long_goes_first() == Some(true));
        queue.lane(take_long).pop().map(|request| request.call)
    }
}
