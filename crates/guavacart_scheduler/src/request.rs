//! Requests of callers: admission, queueing, routing, retries and outcomes.
//!
//! A call is one request at one instance. It is dispatched to an endpoint that the instance owns,
//! queued for a free slot of one, or forwarded to a peer. A non-idempotent request is dispatched
//! only after a quorum of the instances that record its id (the holders) has granted the claim.

mod admit;
mod budget;
mod call;
mod claim;
mod claim_protocol;
mod dispatch;
mod endpoint;
mod endpoint_summary;
mod ledger;
mod message;
mod outcome;
mod peer_load;
mod pool;
mod probation;
mod queue;
mod reducer;
mod service_time;

use std::net::SocketAddr;

use guavacart_types::{
    ByteSize, CallId, Class, DispatchId, EndpointId, InstanceId, Outcome, RequestId, ServiceName,
    Span, TeamName, Timestamp,
};
use serde::{Deserialize, Serialize};

pub use self::{
    endpoint_summary::EndpointSummary,
    message::{ClaimAnswer, RecordedId, RequestMessage},
    reducer::Requests,
};
use crate::membership::Load;

/// The part of a request that the reducer needs; the runtime keeps the body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// The service that the request is for.
    pub service: ServiceName,
    /// The team of the caller.
    pub team: TeamName,
    /// Whether the caller expects a short or a long service time.
    pub class: Class,
    /// The id that the caller gave the request; a repeat of the request has the same id.
    pub id: RequestId,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// Time left until the caller's deadline.
    pub deadline: Span,
    /// Size of the body.
    pub size: ByteSize,
}

/// Events that concern requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestEvent {
    /// A complete request from a caller arrived at this instance.
    Arrived {
        /// The id that this instance gave the call.
        call: CallId,
        /// The request without its body.
        head: RequestHead,
    },
    /// The caller closed its connection before it was answered.
    CallerGone {
        /// The call that no caller waits for any longer.
        call: CallId,
    },
    /// A peer forwarded a request; the runtime keeps the body under `call`.
    ForwardArrived {
        /// The id that this instance gave the call.
        call: CallId,
        /// The peer that forwarded the request.
        from: InstanceId,
        /// The id that the peer gave the call.
        remote: CallId,
        /// The request without its body; its deadline is the time that is left.
        head: RequestHead,
    },
    /// A peer reported the outcome of a call that was forwarded to it; the runtime keeps the body of
    /// the answer.
    ForwardEnded {
        /// This instance's id of the call.
        call: CallId,
        /// The peer that reports the outcome.
        from: InstanceId,
        /// The outcome at the peer.
        outcome: Outcome,
        /// The peer's load when the call ended there.
        load: Load,
    },
    /// A dispatch to an endpoint ended.
    DispatchEnded {
        /// The dispatch that ended.
        dispatch: DispatchId,
        /// How the dispatch ended.
        end: DispatchEnd,
    },
    /// A message about requests arrived from a peer.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The content.
        message: RequestMessage,
    },
    /// The link to a peer broke; messages in flight on the link may be lost.
    PeerLost {
        /// The peer at the other end of the link.
        peer: InstanceId,
    },
    /// A probe of an endpoint ended.
    Probed {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// When the reducer asked for the probe.
        requested_at: Timestamp,
        /// The endpoint's answer, or `None` if the probe failed.
        report: Option<ProbeReport>,
    },
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DispatchEnd {
    /// A complete answer with the request's id arrived; the runtime keeps it.
    Answered,
    /// The endpoint reported that it did not run the request because no slot is free.
    Busy,
    /// The endpoint reported that it did not run the request because it is leaving.
    Leaving,
    /// A complete answer that reports a failure of the endpoint arrived; the runtime keeps it.
    Failed,
    /// No byte was sent: there was no connection, or the ownership lease expired first.
    NotSent,
    /// Bytes were sent, but no complete answer arrived.
    Broken,
}

/// An endpoint's answer to a probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReport {
    /// Number of requests that the endpoint is running.
    pub busy: u32,
    /// True once the endpoint is leaving and accepts no new requests.
    pub leaving: bool,
}

/// Where the runtime finds the body of an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// The answer has no body, only an outcome.
    None,
    /// The body of the answer to this dispatch.
    Dispatch(DispatchId),
    /// The body of the answer that a peer sent for the call.
    Forward,
}

/// Effects that concern requests; the runtime carries them out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestEffect {
    /// Send a call's request to an endpoint, unless `valid_until` has passed.
    Dispatch {
        /// The id under which the end of the dispatch is reported.
        dispatch: DispatchId,
        /// The call whose body is sent.
        call: CallId,
        /// The request id, which the endpoint repeats in its answer.
        id: RequestId,
        /// The endpoint to send the request to.
        endpoint: EndpointId,
        /// The endpoint's address.
        address: SocketAddr,
        /// Maximum number of connections to the endpoint.
        connections: u32,
        /// How long to wait for the answer.
        timeout: Span,
        /// When this instance's ownership lease expires.
        valid_until: Timestamp,
    },
    /// Drop the answer to a dispatch that no call waits for.
    Discard {
        /// The dispatch whose answer is dropped.
        dispatch: DispatchId,
    },
    /// Send a call's request to a peer.
    Forward {
        /// The call whose body is sent.
        call: CallId,
        /// The peer to send the request to.
        to: InstanceId,
        /// The request without its body; its deadline is the time that is left.
        head: RequestHead,
    },
    /// End a call: answer its caller, or the peer that forwarded it. The runtime forgets the call
    /// and its body.
    Answer {
        /// The call that ends.
        call: CallId,
        /// The outcome to report.
        outcome: Outcome,
        /// Where to find the answer's body.
        body: Body,
    },
    /// Send a peer a message about requests.
    SendToPeer {
        /// The receiver.
        to: InstanceId,
        /// The content.
        message: RequestMessage,
    },
    /// Ask an endpoint how many requests it is running.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
        /// The endpoint's address.
        address: SocketAddr,
    },
    /// Increment a counter.
    Count(RequestCounter),
}

/// Occurrences on the request path that are counted in metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestCounter {
    /// A retry was sent.
    Retry,
    /// A hedge (a second copy of a slow request) was sent.
    Hedge,
    /// An answer arrived for a call that had already ended.
    LateAnswer,
    /// An endpoint was put on probation.
    Probation,
}
