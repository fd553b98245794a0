//! Encoded form of forwarded requests, their outcomes and the messages about claims.

use guavacart_scheduler::{
    membership::Load,
    request::{ClaimAnswer, HeldId, PeerRequest, RequestHead},
};
use guavacart_types::{
    ByteSize, CallId, Class, InstanceId, Outcome, Reason, RequestId, ServiceName, Span, TeamName,
    ViewNumber,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::heartbeat::{MemberWire, ServiceLoadWire, load_from_wire, load_to_wire};

/// Encoded form of [`RequestHead`], without the size of the body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadWire {
    service: ServiceName,
    team: TeamName,
    /// True for [`Class::Long`], false for [`Class::Short`].
    long: bool,
    id: RequestId,
    idempotent: bool,
    deadline_ms: u64,
}

/// A forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardWire {
    /// The number that the sender gave the call; the outcome names it.
    pub call: u64,
    /// What the scheduler needs to know about the request.
    pub head: HeadWire,
    /// The media type of the body, if the caller gave one.
    pub content_type: Option<SmolStr>,
    /// The body of the request.
    pub body: Vec<u8>,
}

/// The outcome of a forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeWire {
    /// The number that the forwarder gave the call.
    pub call: u64,
    outcome: OutcomeKind,
    load: Vec<ServiceLoadWire>,
    /// The answer of the endpoint, if the request ran and an answer came.
    pub answer: Option<AnswerWire>,
}

/// Encoded form of an endpoint's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerWire {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body, if the endpoint gave one.
    pub content_type: Option<SmolStr>,
    /// The complete body.
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum OutcomeKind {
    Answered,
    NotRun(ReasonWire),
    MayHaveRun(ReasonWire),
}

/// Defines the encoded form of an enum without fields, and the conversions both ways.
macro_rules! wire_enum {
    ($(#[$doc:meta])* $wire:ident = $domain:ident { $($variant:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
        enum $wire {
            $($variant),*
        }

        impl From<$domain> for $wire {
            fn from(domain: $domain) -> Self {
                match domain {
                    $($domain::$variant => Self::$variant),*
                }
            }
        }

        impl From<$wire> for $domain {
            fn from(wire: $wire) -> Self {
                match wire {
                    $($wire::$variant => Self::$variant),*
                }
            }
        }
    };
}

wire_enum! {
    /// Encoded form of [`Reason`].
    ReasonWire = Reason {
        Overloaded,
        QueueFull,
        DeadlinePassed,
        NoEndpoint,
        Unknown,
        EndpointFailed,
        PeerLost,
        Repeated,
        Stopping,
        CallerGone,
    }
}

wire_enum! {
    /// Encoded form of [`ClaimAnswer`].
    ClaimAnswerWire = ClaimAnswer {
        New,
        Unsure,
        Seen,
        WrongView,
    }
}

/// Encoded form of [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerRequestWire(PeerRequestKind);

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum PeerRequestKind {
    Cancel {
        call: u64,
    },
    Claim {
        asker: MemberWire,
        call: u64,
        id: RequestId,
        view: u64,
    },
    Claimed {
        asker: MemberWire,
        call: u64,
        view: u64,
        answer: ClaimAnswerWire,
    },
    Release {
        asker: MemberWire,
        call: u64,
        id: RequestId,
    },
    Handover {
        view: u64,
        before: Vec<InstanceId>,
        ids: Vec<HeldIdWire>,
        complete: bool,
    },
}

/// Encoded form of [`HeldId`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct HeldIdWire {
    id: RequestId,
    asker: MemberWire,
    call: u64,
    age_ms: u64,
}

impl From<HeldId> for HeldIdWire {
    fn from(held: HeldId) -> Self {
        Self {
            id: held.id,
            asker: held.asker.into(),
            call: held.call.0,
            age_ms: held.age.0,
        }
    }
}

impl From<HeldIdWire> for HeldId {
    fn from(wire: HeldIdWire) -> Self {
        Self {
            id: wire.id,
            asker: wire.asker.into(),
            call: CallId(wire.call),
            age: Span(wire.age_ms),
        }
    }
}

impl HeadWire {
    /// Returns the request head; `size` is the length of the body that came with it.
    pub fn into_head(self, size: ByteSize) -> RequestHead {
        RequestHead {
            service: self.service,
            team: self.team,
            class: if self.long { Class::Long } else { Class::Short },
            id: self.id,
            idempotent: self.idempotent,
            deadline: Span(self.deadline_ms),
            size,
        }
    }
}

impl From<RequestHead> for HeadWire {
    fn from(head: RequestHead) -> Self {
        Self {
            service: head.service,
            team: head.team,
            long: head.class == Class::Long,
            id: head.id,
            idempotent: head.idempotent,
            deadline_ms: head.deadline.0,
        }
    }
}

impl OutcomeWire {
    /// Returns the outcome of `call`, with the load of the instance that sends it.
    pub fn new(call: u64, outcome: Outcome, load: Load, answer: Option<AnswerWire>) -> Self {
        let outcome = match outcome {
            Outcome::Answered => OutcomeKind::Answered,
            Outcome::NotRun(reason) => OutcomeKind::NotRun(reason.into()),
            Outcome::MayHaveRun(reason) => OutcomeKind::MayHaveRun(reason.into()),
        };
        Self {
            call,
            outcome,
            load: load_to_wire(load),
            answer,
        }
    }

    /// Returns the outcome.
    ///
    /// If the answer of an answered request is missing, the outcome is `MayHaveRun`, since the caller
    /// cannot be given the answer and the request may have had an effect.
    pub fn outcome(&self) -> Outcome {
        match self.outcome {
            OutcomeKind::Answered if self.answer.is_some() => Outcome::Answered,
            OutcomeKind::Answered => Outcome::MayHaveRun(Reason::PeerLost),
            OutcomeKind::NotRun(reason) => Outcome::NotRun(reason.into()),
            OutcomeKind::MayHaveRun(reason) => Outcome::MayHaveRun(reason.into()),
        }
    }

    /// Returns the load of the instance that sent the outcome.
    pub fn load(&self) -> Load {
        load_from_wire(self.load.clone())
    }
}

impl From<PeerRequest> for PeerRequestWire {
    fn from(message: PeerRequest) -> Self {
        Self(match message {
            PeerRequest::Cancel { call } => PeerRequestKind::Cancel { call: call.0 },
            PeerRequest::Claim {
                asker,
                call,
                id,
                view,
            } => PeerRequestKind::Claim {
                asker: asker.into(),
                call: call.0,
                id,
                view: view.0,
            },
            PeerRequest::Claimed {
                asker,
                call,
                view,
                answer,
            } => PeerRequestKind::Claimed {
                asker: asker.into(),
                call: call.0,
                view: view.0,
                answer: answer.into(),
            },
            PeerRequest::Release { asker, call, id } => PeerRequestKind::Release {
                asker: asker.into(),
                call: call.0,
                id,
            },
            PeerRequest::Handover {
                view,
                before,
                ids,
                complete,
            } => PeerRequestKind::Handover {
                view: view.0,
                before,
                ids: ids.into_iter().map(HeldIdWire::from).collect(),
                complete,
            },
        })
    }
}

impl From<PeerRequestWire> for PeerRequest {
    fn from(wire: PeerRequestWire) -> Self {
        match wire.0 {
            PeerRequestKind::Cancel { call } => Self::Cancel { call: CallId(call) },
            PeerRequestKind::Claim {
                asker,
                call,
                id,
                view,
            } => Self::Claim {
                asker: asker.into(),
                call: CallId(call),
                id,
                view: ViewNumber(view),
            },
            PeerRequestKind::Claimed {
                asker,
                call,
                view,
                answer,
            } => Self::Claimed {
                asker: asker.into(),
                call: CallId(call),
                view: ViewNumber(view),
                answer: answer.into(),
            },
            PeerRequestKind::Release { asker, call, id } => Self::Release {
                asker: asker.into(),
                call: CallId(call),
                id,
            },
            PeerRequestKind::Handover {
                view,
                before,
                ids,
                complete,
            } => Self::Handover {
                view: ViewNumber(view),
                before,
                ids: ids.into_iter().map(HeldId::from).collect(),
                complete,
            },
        }
    }
}
