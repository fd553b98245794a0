//! Calls that wait for their outcome: their bodies, their origins and the answers received so far.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use guavacart_config::Configuration;
use guavacart_platform::endpoint::EndpointAnswer;
use guavacart_scheduler::request::RequestHead;
use guavacart_types::{
    ByteSize, CallId, DispatchId, Incarnation, InstanceId, Outcome, Span, Timestamp,
};
use guavacart_wire::{AnswerWire, ForwardWire};
use smol_str::SmolStr;
use tokio::sync::oneshot;

/// Generates call ids that are unique across all incarnations of the instance; clones share the
/// counter.
#[derive(Clone, Debug)]
pub(crate) struct CallIds(Arc<AtomicU64>);

impl CallIds {
    /// Starts counting at the incarnation, the start time in microseconds.
    ///
    /// The ids of earlier incarnations are lower, as each had less than one call per microsecond.
    pub(crate) fn after(incarnation: Incarnation) -> Self {
        Self(Arc::new(AtomicU64::new(incarnation.0)))
    }

    /// Returns the next id.
    pub(crate) fn next(&self) -> CallId {
        CallId(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// A caller's request, before the defaults of the configuration are applied.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    /// The deadline from the request's headers, counted from its arrival.
    pub(crate) deadline: Option<Span>,
}

/// The body of a request and its content type.
#[derive(Clone, Debug)]
pub(crate) struct RequestBody {
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) bytes: Bytes,
}

/// The outcome of a call and the endpoint's answer if there is one.
#[derive(Debug)]
pub(crate) struct CallAnswer {
    pub(crate) outcome: Outcome,
    pub(crate) body: Option<EndpointAnswer>,
}

/// Where the outcome of a call is sent.
#[derive(Debug)]
pub(crate) enum Origin {
    /// A caller of this instance.
    Caller(oneshot::Sender<CallAnswer>),
    /// The peer that forwarded the call, with that peer's id of the call.
    Peer(InstanceId, CallId),
}

/// A call that waits for its outcome.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) origin: Origin,
    /// When the call reached the reducer thread.
    pub(crate) arrived_at: Timestamp,
}

/// All calls that wait for their outcome and the answers received for them.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    pending: HashMap<CallId, PendingCall>,
    dispatch_answers: HashMap<DispatchId, EndpointAnswer>,
    forward_answers: HashMap<CallId, EndpointAnswer>,
}

impl PendingCalls {
    /// Adds a call that waits for its outcome.
    pub(crate) fn insert(&mut self, call: CallId, pending: PendingCall) {
        self.pending.insert(call, pending);
    }

    /// Returns the body of a call, or none if the call has ended.
    pub(crate) fn body(&self, call: CallId) -> Option<&RequestBody> {
        self.pending.get(&call).map(|pending| &pending.body)
    }

    /// Stores an endpoint's answer until the reducer uses or discards it.
    pub(crate) fn insert_dispatch_answer(&mut self, dispatch: DispatchId, answer: EndpointAnswer) {
        self.dispatch_answers.insert(dispatch, answer);
    }

    /// Removes and returns an endpoint's answer.
    pub(crate) fn take_dispatch_answer(&mut self, dispatch: DispatchId) -> Option<EndpointAnswer> {
        self.dispatch_answers.remove(&dispatch)
    }

    /// Stores an answer that a peer sent, if the call is still pending.
    pub(crate) fn insert_forward_answer(&mut self, call: CallId, answer: EndpointAnswer) {
        if self.pending.contains_key(&call) {
            self.forward_answers.insert(call, answer);
        }
    }

    /// Removes and returns the answer that a peer sent for a call.
    pub(crate) fn take_forward_answer(&mut self, call: CallId) -> Option<EndpointAnswer> {
        self.forward_answers.remove(&call)
    }

    /// Removes a call and the answer that a peer sent for it.
    pub(crate) fn remove(&mut self, call: CallId) -> Option<PendingCall> {
        self.forward_answers.remove(&call);
        self.pending.remove(&call)
    }
}

impl CallerRequest {
    /// Returns the head, with the service's default deadline if the caller set none.
    ///
    /// The default is zero for a service that is not in the configuration; the reducer refuses its
    /// requests as unknown.
    pub(crate) fn into_head(self, configuration: &Configuration) -> RequestHead {
        let Self { mut head, deadline } = self;
        let service = configuration.services.get(&head.service);
        let default_deadline = service.map_or(Span::ZERO, |service| service.deadline);
        head.deadline = deadline.unwrap_or(default_deadline);
        head
    }
}

impl RequestBody {
    /// Builds the message that forwards `call` with this body.
    pub(crate) fn to_forward(&self, call: CallId, head: RequestHead) -> ForwardWire {
        ForwardWire {
            call: call.0,
            head: head.into(),
            content_type: self.content_type.clone(),
            body: self.bytes.to_vec(),
        }
    }

    /// Splits a forwarded request into the sender's call id, the head and the body.
    pub(crate) fn from_forward(wire: ForwardWire) -> (CallId, RequestHead, Self) {
        let size = ByteSize(wire.body.len() as u64);
        let body = Self {
            content_type: wire.content_type,
            bytes: wire.body.into(),
        };
        (CallId(wire.call), wire.head.into_head(size), body)
    }
}

/// Converts an answer to the form sent to the peer that forwarded the call.
pub(crate) fn answer_to_wire(answer: EndpointAnswer) -> AnswerWire {
    AnswerWire {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.to_vec(),
    }
}

/// Converts an answer received from a peer.
pub(crate) fn answer_from_wire(wire: AnswerWire) -> EndpointAnswer {
    EndpointAnswer {
        status: wire.status,
        content_type: wire.content_type,
        body: wire.body.into(),
    }
}
