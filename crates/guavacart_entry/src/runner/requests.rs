//! Sends requests to endpoints and peers, and passes outcomes to the callers or peers that wait.

use std::{net::SocketAddr, time::Duration};

use guavacart_platform::{
    endpoint::{Dispatch, EndpointAnswer, EndpointError, Endpoints},
    store::Store,
};
use guavacart_scheduler::{
    Event,
    membership::Load,
    request::{Body, DispatchEnd, ProbeReport, RequestCounter, RequestEffect, RequestEvent},
};
use guavacart_types::{CallId, DispatchId, EndpointId, Outcome, Reason};
use guavacart_wire::{Frame, OutcomeWire};
use tracing::debug;

use super::Runner;
use crate::{
    calls::{CallAnswer, Origin, PendingCall, answer_to_wire},
    reducer_thread::Input,
};

/// Longest wait for an endpoint's answer to a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store> Runner<S> {
    pub(super) fn run_request(&mut self, effect: RequestEffect, load: impl Fn() -> Load) {
        match effect {
            RequestEffect::Dispatch { .. } => self.dispatch(effect),
            RequestEffect::Discard { dispatch } => {
                self.calls.take_dispatch_answer(dispatch);
            }
            RequestEffect::Forward { call, to, head } => {
                let Some(body) = self.calls.body(call) else {
                    return;
                };
                let frame = Frame::Forward(body.to_forward(call, head));
                self.send_to_peer(&to, frame);
            }
            RequestEffect::Answer {
                call,
                outcome,
                body,
            } => self.answer(call, outcome, body, load),
            RequestEffect::SendToPeer { to, message } => {
                self.send_to_peer(&to, Frame::Request(message.into()));
            }
            RequestEffect::Probe { endpoint, address } => self.probe(endpoint, address),
            RequestEffect::Count(counted) => self.metrics.count(metric_name(counted)),
        }
    }

    fn dispatch(&mut self, effect: RequestEffect) {
        let RequestEffect::Dispatch {
            dispatch,
            call,
            id,
            endpoint: _,
            address,
            connections,
            timeout,
            valid_until,
        } = effect
        else {
            return;
        };
        let Some(body) = self.calls.body(call).cloned() else {
            return self.end_unsent_dispatch(dispatch);
        };
        let permit = self.fence.permit(self.clock, valid_until);
        let endpoints = self.endpoints.clone();
        let inbox = self.inbox.clone();
        self.runtime.spawn(async move {
            let request = Dispatch {
                id,
                content_type: body.content_type,
                body: body.bytes,
                connections,
                timeout: timeout.into(),
            };
            let result = endpoints.run(address, request, || permit.is_valid()).await;
            // A closed inbox means that the process is ending.
            let _ = inbox.send(dispatch_ended(dispatch, result));
        });
    }

    /// Reports a dispatch as not sent because its call has already ended.
    fn end_unsent_dispatch(&mut self, dispatch: DispatchId) {
        let ended = Input::Dispatched {
            dispatch,
            end: DispatchEnd::NotSent,
            answer: None,
        };
        self.deferred.push_back(ended);
    }

    /// Asks an endpoint which requests it runs and whether it is leaving.
    fn probe(&self, endpoint: EndpointId, address: SocketAddr) {
        let requested_at = self.clock.now();
        let endpoints = self.endpoints.clone();
        let inbox = self.inbox.clone();
        self.runtime.spawn(async move {
            let report = endpoints.health(address, PROBE_TIMEOUT).await.ok();
            let probed = RequestEvent::Probed {
                endpoint,
                requested_at,
                report: report.map(|health| ProbeReport {
                    busy: health.busy,
                    leaving: health.leaving,
                }),
            };
            let _ = inbox.send(Input::Event(Event::Request(probed)));
        });
    }

    /// Ends a call and sends its outcome to the caller or peer that waits.
    fn answer(&mut self, call: CallId, outcome: Outcome, body: Body, load: impl Fn() -> Load) {
        let body = match body {
            Body::None => None,
            Body::Dispatch(dispatch) => self.calls.take_dispatch_answer(dispatch),
            Body::Forward => self.calls.take_forward_answer(call),
        };
        let Some(pending) = self.calls.remove(call) else {
            return;
        };
        match &pending.origin {
            Origin::Caller(_) => self.answer_caller(pending, outcome, body),
            Origin::Peer(peer, remote_call) => {
                let wire =
                    OutcomeWire::new(remote_call.0, outcome, load(), body.map(answer_to_wire));
                self.send_to_peer(peer, Frame::Outcome(wire));
            }
        }
    }

    fn answer_caller(
        &mut self,
        pending: PendingCall,
        outcome: Outcome,
        body: Option<EndpointAnswer>,
    ) {
        let now = self.clock.now();
        let elapsed = now.since(pending.arrived_at);
        let is_caller_gone = matches!(
            outcome,
            Outcome::NotRun(Reason::CallerGone) | Outcome::MayHaveRun(Reason::CallerGone)
        );
        let head = &pending.head;
        self.recorder.record(
            now,
            &head.service,
            &head.team,
            outcome,
            elapsed,
            is_caller_gone,
        );
        self.metrics.request(&head.service, outcome, elapsed);
        debug!(event = "request", id = %head.id, service = %head.service, team = %head.team, outcome = outcome.header(), ms = elapsed.0);
        if let Origin::Caller(reply) = pending.origin {
            // Fails if the caller has disconnected.
            let _ = reply.send(CallAnswer { outcome, body });
        }
    }
}

fn dispatch_ended(dispatch: DispatchId, result: Result<EndpointAnswer, EndpointError>) -> Input {
    let (end, answer) = match result {
        Ok(answer) if answer.status >= 500 => (DispatchEnd::Failed, Some(answer)),
        Ok(answer) => (DispatchEnd::Answered, Some(answer)),
        Err(EndpointError::NotSent { .. }) => (DispatchEnd::NotSent, None),
        Err(EndpointError::Busy { .. }) => (DispatchEnd::Busy, None),
        Err(EndpointError::Leaving { .. }) => (DispatchEnd::Leaving, None),
        Err(EndpointError::Broken { .. }) => (DispatchEnd::Broken, None),
    };
    Input::Dispatched {
        dispatch,
        end,
        answer,
    }
}

fn metric_name(counted: RequestCounter) -> &'static str {
    match counted {
        RequestCounter::Retry => "requests.retries",
        RequestCounter::Hedge => "requests.hedges",
        RequestCounter::LateAnswer => "requests.late_answers",
        RequestCounter::Probation => "endpoints.probations",
    }
}
