//! Requests of callers: admission, queues, routing, retries and outcomes.

mod admit;
mod budget;
mod call;
mod claim;
mod claiming;
mod dispatch;
mod endpoint;
mod ledger;
mod message;
mod outcome;
mod peers;
mod pool;
mod probation;
mod queue;
mod reducer;
mod service_time;
mod standing;

use std::net::SocketAddr;

use guavacart_types::{
    ByteSize, CallId, Class, DispatchId, EndpointId, InstanceId, Outcome, RequestId, ServiceName,
    Span, TeamName, Timestamp,
};
use serde::{Deserialize, Serialize};

pub use self::{
    message::{ClaimAnswer, HeldId, PeerRequest},
    reducer::Requests,
    standing::EndpointStanding,
};
use crate::membership::Load;

/// What the reducer knows of a request; its body stays with the runtime.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// The service that is called.
    pub service: ServiceName,
    /// The team that calls.
    pub team: TeamName,
    /// How long the caller expects it to run.
    pub class: Class,
    /// The caller's id; a repeat carries the same one.
    pub id: RequestId,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// Time that is left until the caller's deadline.
    pub deadline: Span,
    /// Size of the body.
    pub size: ByteSize,
}

/// What happened to requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestEvent {
    /// A caller sent a whole request to this instance.
    Arrived {
        /// This instance's id of it.
        call: CallId,
        /// The request.
        head: RequestHead,
    },
    /// The caller closed its connection before the answer.
    CallerGone {
        /// The call.
        call: CallId,
    },
    /// A peer forwarded a request; the runtime holds its body under `call`.
    ForwardArrived {
        /// This instance's id of it.
        call: CallId,
        /// The peer.
        from: InstanceId,
        /// The peer's id of it.
        remote: CallId,
        /// The request, with the deadline that is left.
        head: RequestHead,
    },
    /// The peer that a call was forwarded to told its outcome; the runtime holds the answer's body.
    ForwardEnded {
        /// This instance's call.
        call: CallId,
        /// The peer.
        from: InstanceId,
        /// The outcome there.
        outcome: Outcome,
        /// The peer's load by then.
        load: Load,
    },
    /// A dispatch ended.
    DispatchEnded {
        /// The dispatch.
        dispatch: DispatchId,
        /// How.
        end: DispatchEnd,
    },
    /// A peer said something about requests.
    Peer {
        /// The peer.
        from: InstanceId,
        /// What it said.
        message: PeerRequest,
    },
    /// The link to a peer broke; what was under way on it may be lost.
    PeerLost {
        /// The peer.
        peer: InstanceId,
    },
    /// An endpoint answered a probe, or failed to.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// When the probe was asked for.
        asked_at: Timestamp,
        /// What it said.
        report: Option<EndpointReport>,
    },
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DispatchEnd {
    /// A whole answer that names the request; the runtime holds it.
    Answered,
    /// The endpoint said that it did not run the request since its slots are taken.
    Busy,
    /// The endpoint said that it did not run the request since it leaves.
    Leaving,
    /// The endpoint answered whole with a failure of its own; the runtime holds it.
    Failed,
    /// No byte was sent: no connection, or the right to act ended first.
    NotSent,
    /// Bytes were sent and no whole answer came.
    Broken,
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Requests that it runs now.
    pub busy: u32,
    /// True once it leaves.
    pub leaving: bool,
}

/// Where the body of an answer is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// There is none; the outcome says all.
    None,
    /// The answer to this dispatch.
    Dispatch(DispatchId),
    /// The answer that a peer sent for the call.
    Forward,
}

/// What is to be done about requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestEffect {
    /// Send a call's request to an endpoint, unless `valid_until` has passed by then.
    Dispatch {
        /// The dispatch.
        dispatch: DispatchId,
        /// The call whose body is sent.
        call: CallId,
        /// The request's id, to be echoed by the endpoint.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// Most connections to it.
        connections: u32,
        /// How long to wait for the answer.
        timeout: Span,
        /// The end of the right to act.
        valid_until: Timestamp,
    },
    /// Drop the answer to a dispatch that no call waits for.
    Discard {
        /// The dispatch.
        dispatch: DispatchId,
    },
    /// Send a call's request to a peer.
    Forward {
        /// The call whose body is sent.
        call: CallId,
        /// The peer.
        to: InstanceId,
        /// The request, with the deadline that is left.
        head: RequestHead,
    },
    /// End a call: answer its caller, or the peer that forwarded it. The runtime forgets the call
    /// and its body.
    Answer {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: Outcome,
        /// Where the answer's body is.
        body: Body,
    },
    /// Tell a peer something about requests.
    Tell {
        /// The peer.
        to: InstanceId,
        /// What to tell.
        message: PeerRequest,
    },
    /// Ask an endpoint what it runs.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
    },
    /// Something to be counted.
    Count(Counted),
}

/// Things that happen to requests and are only counted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Counted {
    /// A retry was sent.
    Retry,
    /// A hedge was sent.
    Hedge,
    /// An answer came for a call that had ended.
    LateAnswer,
    /// An endpoint was put on probation.
    Probation,
}
