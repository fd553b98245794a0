//! Calls that wait for their outcome: their bodies, their origins and the answers that came.

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

/// Hands out ids of calls, unique among all starts of the instance.
#[derive(Clone, Debug)]
pub(crate) struct CallIds(Arc<AtomicU64>);

impl CallIds {
    /// Begins after the ids of earlier starts, which made fewer than one call a microsecond.
    pub(crate) fn start(incarnation: Incarnation) -> Self {
        Self(Arc::new(AtomicU64::new(incarnation.0)))
    }

    pub(crate) fn next(&self) -> CallId {
        CallId(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// A caller's request as it asked for it.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) head: RequestHead,
    /// The deadline that the caller named.
    pub(crate) deadline: Option<Span>,
}

/// The body of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestBody {
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) bytes: Bytes,
}

/// What the caller is told.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) outcome: Outcome,
    pub(crate) body: Option<EndpointAnswer>,
}

/// Who waits for a call's outcome.
#[derive(Debug)]
pub(crate) enum Origin {
    /// A caller of this instance.
    Caller(oneshot::Sender<Answer>),
    /// A peer, under its own id of the call.
    Peer(InstanceId, CallId),
}

/// A call that waits for its outcome.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) origin: Origin,
    pub(crate) since: Timestamp,
}

/// All calls that wait and the answers that have come for them.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pending: HashMap<CallId, Pending>,
    dispatched: HashMap<DispatchId, EndpointAnswer>,
    forwards: HashMap<CallId, EndpointAnswer>,
}

impl Calls {
    pub(crate) fn open(&mut self, call: CallId, pending: Pending) {
        self.pending.insert(call, pending);
    }

    pub(crate) fn body(&self, call: CallId) -> Option<&RequestBody> {
        self.pending.get(&call).map(|pending| &pending.body)
    }

    pub(crate) fn dispatch_answered(&mut self, dispatch: DispatchId, answer: EndpointAnswer) {
        self.dispatched.insert(dispatch, answer);
    }

    pub(crate) fn take_dispatch(&mut self, dispatch: DispatchId) -> Option<EndpointAnswer> {
        self.dispatched.remove(&dispatch)
    }

    /// Keeps an answer that a peer sent, if the call still waits.
    pub(crate) fn forward_answered(&mut self, call: CallId, answer: EndpointAnswer) {
        if self.pending.contains_key(&call) {
            self.forwards.insert(call, answer);
        }
    }

    pub(crate) fn take_forward(&mut self, call: CallId) -> Option<EndpointAnswer> {
        self.forwards.remove(&call)
    }

    /// Ends a call.
    pub(crate) fn close(&mut self, call: CallId) -> Option<Pending> {
        self.forwards.remove(&call);
        self.pending.remove(&call)
    }
}

impl Asked {
    /// The head with the service's deadline where the caller named none.
    ///
    /// A service that the configuration does not name has none; its requests are refused as unknown.
    pub(crate) fn into_head(self, configuration: &Configuration) -> RequestHead {
        let Self { mut head, deadline } = self;
        let service = configuration.services.get(&head.service);
        let usual = service.map_or(Span::ZERO, |service| service.deadline);
        head.deadline = deadline.unwrap_or(usual);
        head
    }
}

impl RequestBody {
    /// A forward of `call` with this body.
    pub(crate) fn to_forward(&self, call: CallId, head: RequestHead) -> ForwardWire {
        ForwardWire {
            call: call.0,
            head: head.into(),
            content_type: self.content_type.clone(),
            body: self.bytes.to_vec(),
        }
    }

    /// The sender's call, the head and the body of a forward.
    pub(crate) fn from_forward(wire: ForwardWire) -> (CallId, RequestHead, Self) {
        let size = ByteSize(wire.body.len() as u64);
        let body = Self {
            content_type: wire.content_type,
            bytes: wire.body.into(),
        };
        (CallId(wire.call), wire.head.into_head(size), body)
    }
}

/// An answer as it travels to the peer that forwarded the call.
pub(crate) fn answer_to_wire(answer: EndpointAnswer) -> AnswerWire {
    AnswerWire {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.to_vec(),
    }
}

/// An answer that a peer sent.
pub(crate) fn answer_from_wire(wire: AnswerWire) -> EndpointAnswer {
    EndpointAnswer {
        status: wire.status,
        content_type: wire.content_type,
        body: wire.body.into(),
    }
}
