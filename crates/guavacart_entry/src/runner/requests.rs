//! Sends requests to endpoints and peers, and hands outcomes to whoever waits.

use std::{net::SocketAddr, time::Duration};

use guavacart_platform::{
    endpoint::{Dispatch, EndpointAnswer, EndpointError, Endpoints},
    store::Store,
};
use guavacart_scheduler::{
    Event,
    membership::Load,
    request::{Body, Counted, DispatchEnd, EndpointReport, RequestEffect, RequestEvent},
};
use guavacart_types::{CallId, DispatchId, EndpointId, Outcome, Reason};
use guavacart_wire::{Frame, OutcomeWire};
use tracing::debug;

use super::Runner;
use crate::{
    calls::{Answer, Origin, Pending, answer_to_wire},
    core::Input,
};

/// Longest wait for an endpoint to say what it runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store> Runner<S> {
    pub(super) fn run_request(&mut self, effect: RequestEffect, load: impl Fn() -> Load) {
        match effect {
            RequestEffect::Dispatch { .. } => self.dispatch(effect),
            RequestEffect::Discard { dispatch } => {
                self.calls.take_dispatch(dispatch);
            }
            RequestEffect::Forward { call, to, head } => {
                let Some(body) = self.calls.body(call) else {
                    return;
                };
                let frame = Frame::Forward(body.to_forward(call, head));
                self.tell_peer(&to, frame);
            }
            RequestEffect::Answer {
                call,
                outcome,
                body,
            } => self.answer(call, outcome, body, load),
            RequestEffect::Tell { to, message } => {
                self.tell_peer(&to, Frame::Request(message.into()));
            }
            RequestEffect::Probe { endpoint, address } => self.probe(endpoint, address),
            RequestEffect::Count(counted) => self.metrics.count(counter(counted)),
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
            return self.unsent(dispatch);
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
            let result = endpoints.run(address, request, || permit.holds()).await;
            // A closed inbox means that the process is ending.
            let _ = inbox.send(dispatched(dispatch, result));
        });
    }

    /// Ends a dispatch whose call ended first.
    fn unsent(&mut self, dispatch: DispatchId) {
        let ended = Input::Dispatched {
            dispatch,
            end: DispatchEnd::NotSent,
            answer: None,
        };
        self.later.push_back(ended);
    }

    fn probe(&self, endpoint: EndpointId, address: SocketAddr) {
        let asked_at = self.clock.now();
        let endpoints = self.endpoints.clone();
        let inbox = self.inbox.clone();
        self.runtime.spawn(async move {
            let report = endpoints.health(address, PROBE_TIMEOUT).await.ok();
            let probed = RequestEvent::Probed {
                endpoint,
                asked_at,
                report: report.map(|health| EndpointReport {
                    busy: health.busy,
                    leaving: health.leaving,
                }),
            };
            let _ = inbox.send(Input::Event(Event::Request(probed)));
        });
    }

    fn answer(&mut self, call: CallId, outcome: Outcome, body: Body, load: impl Fn() -> Load) {
        let body = match body {
            Body::None => None,
            Body::Dispatch(dispatch) => self.calls.take_dispatch(dispatch),
            Body::Forward => self.calls.take_forward(call),
        };
        let Some(pending) = self.calls.close(call) else {
            return;
        };
        match &pending.origin {
            Origin::Caller(_) => self.answer_caller(pending, outcome, body),
            Origin::Peer(peer, theirs) => {
                let wire = OutcomeWire::new(theirs.0, outcome, load(), body.map(answer_to_wire));
                self.tell_peer(peer, Frame::Outcome(wire));
            }
        }
    }

    fn answer_caller(&mut self, pending: Pending, outcome: Outcome, body: Option<EndpointAnswer>) {
        let now = self.clock.now();
        let took = now.since(pending.since);
        let gone = matches!(
            outcome,
            Outcome::NotRun(Reason::CallerGone) | Outcome::MayHaveRun(Reason::CallerGone)
        );
        let head = &pending.head;
        self.recorder
            .record(now, &head.service, &head.team, outcome, took, gone);
        self.metrics.request(&head.service, outcome, took);
        debug!(event = "request", id = %head.id, service = %head.service, team = %head.team, outcome = outcome.header(), ms = took.0);
        if let Origin::Caller(reply) = pending.origin {
            // The caller may have gone; its answer is then dropped.
            let _ = reply.send(Answer { outcome, body });
        }
    }
}

fn dispatched(dispatch: DispatchId, result: Result<EndpointAnswer, EndpointError>) -> Input {
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

fn counter(counted: Counted) -> &'static str {
    match counted {
        Counted::Retry => "requests.retries",
        Counted::Hedge => "requests.hedges",
        Counted::LateAnswer => "requests.late_answers",
        Counted::Probation => "endpoints.probations",
    }
}
