//! The closed set of outcomes that a caller can see.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// How long a request is expected to run.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Quick work that a person waits for.
    #[default]
    Short,
    /// Work that runs many times longer.
    Long,
}

/// The text is not a class.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a class; write short or long")]
pub struct ClassError {
    /// What was given.
    pub text: SmolStr,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Long => "long",
        })
    }
}

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        match text {
            "short" => Ok(Self::Short),
            "long" => Ok(Self::Long),
            _ => Err(ClassError { text: text.into() }),
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer of the endpoint.
    Answered,
    /// No byte of the request reached an endpoint.
    NotRun(Reason),
    /// The request was sent to an endpoint and its fate is not known.
    MayHaveRun(Reason),
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The predicted wait passes the deadline.
    Overloaded,
    /// The queue is full, in entries or bytes.
    QueueFull,
    /// The deadline passed before an answer came.
    DeadlinePassed,
    /// No endpoint of the service can be used now.
    NoEndpoint,
    /// The configuration names no such service or team.
    Unknown,
    /// The endpoint failed or its connection broke.
    EndpointFailed,
    /// A peer that held the request was lost.
    PeerLost,
    /// The same request id was seen before.
    Repeated,
    /// The instance is stopping.
    Stopping,
    /// The caller closed its connection first.
    CallerGone,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue_full",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoEndpoint => "no_endpoint",
            Self::Unknown => "unknown",
            Self::EndpointFailed => "endpoint_failed",
            Self::PeerLost => "peer_lost",
            Self::Repeated => "repeated",
            Self::Stopping => "stopping",
            Self::CallerGone => "caller_gone",
        })
    }
}

impl Outcome {
    /// The word in the `Guavacart-Outcome` header.
    pub fn header(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }
}
