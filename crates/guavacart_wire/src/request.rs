//! Encoded form of forwarded requests, their outcomes and the messages about claims.

use guavacart_scheduler::{
    membership::Load,
    request::{ClaimAnswer, RecordedId, RequestHead, RequestMessage},
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
pub struct RequestHeadWire {
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
    pub head: RequestHeadWire,
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
        HistoryUnknown,
        Seen,
        WrongView,
    }
}

/// Encoded form of [`RequestMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestMessageWire(RequestMessageKind);

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum RequestMessageKind {
    Cancel {
        call: u64,
    },
    Claim {
        claimant: MemberWire,
        call: u64,
        id: RequestId,
        view: u64,
    },
    ClaimAnswered {
        claimant: MemberWire,
        call: u64,
        view: u64,
        answer: ClaimAnswerWire,
    },
    Release {
        claimant: MemberWire,
        call: u64,
        id: RequestId,
    },
    Handover {
        view: u64,
        previous_members: Vec<InstanceId>,
        ids: Vec<RecordedIdWire>,
        complete: bool,
    },
}

/// Encoded form of [`RecordedId`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RecordedIdWire {
    id: RequestId,
    claimant: MemberWire,
    call: u64,
    age_ms: u64,
}

impl From<RecordedId> for RecordedIdWire {
    fn from(held: RecordedId) -> Self {
        Self {
            id: held.id,
            claimant: held.claimant.into(),
            call: held.call.0,
            age_ms: held.age.0,
        }
    }
}

impl From<RecordedIdWire> for RecordedId {
    fn from(wire: RecordedIdWire) -> Self {
        Self {
            id: wire.id,
            claimant: wire.claimant.into(),
            call: CallId(wire.call),
            age: Span(wire.age_ms),
        }
    }
}

impl RequestHeadWire {
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

impl From<RequestHead> for RequestHeadWire {
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

impl From<RequestMessage> for RequestMessageWire {
    fn from(message: RequestMessage) -> Self {
        Self(match message {
            RequestMessage::Cancel { call } => RequestMessageKind::Cancel { call: call.0 },
            RequestMessage::Claim {
                claimant,
                call,
                id,
                view,
            } => RequestMessageKind::Claim {
                claimant: claimant.into(),
                call: call.0,
                id,
                view: view.0,
            },
            RequestMessage::ClaimAnswered {
                claimant,
                call,
                view,
                answer,
            } => RequestMessageKind::ClaimAnswered {
                claimant: claimant.into(),
                call: call.0,
                view: view.0,
                answer: answer.into(),
            },
            RequestMessage::Release { claimant, call, id } => RequestMessageKind::Release {
                claimant: claimant.into(),
                call: call.0,
                id,
            },
            RequestMessage::Handover {
                view,
                previous_members,
                ids,
                complete,
            } => RequestMessageKind::Handover {
                view: view.0,
                previous_members,
                ids: ids.into_iter().map(RecordedIdWire::from).collect(),
                complete,
            },
        })
    }
}

impl From<RequestMessageWire> for RequestMessage {
    fn from(wire: RequestMessageWire) -> Self {
        match wire.0 {
            RequestMessageKind::Cancel { call } => Self::Cancel { call: CallId(call) },
            RequestMessageKind::Claim {
                claimant,
                call,
                id,
                view,
            } => Self::Claim {
                claimant: claimant.into(),
                call: CallId(call),
                id,
                view: ViewNumber(view),
            },
            RequestMessageKind::ClaimAnswered {
                claimant,
                call,
                view,
                answer,
            } => Self::ClaimAnswered {
                claimant: claimant.into(),
                call: CallId(call),
                view: ViewNumber(view),
                answer: answer.into(),
            },
            RequestMessageKind::Release { claimant, call, id } => Self::Release {
                claimant: claimant.into(),
                call: CallId(call),
                id,
            },
            RequestMessageKind::Handover {
                view,
                previous_members,
                ids,
                complete,
            } => Self::Handover {
                view: ViewNumber(view),
                previous_members,
                ids: ids.into_iter().map(RecordedId::from).collect(),
                complete,
            },
        }
    }
}
