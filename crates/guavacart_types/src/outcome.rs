//! Request classes and the outcomes of requests that callers can observe.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Class of a request by its expected service time.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Interactive work that completes quickly.
    #[default]
    Short,
    /// Work that runs many times longer than short requests.
    Long,
}

/// The error for a string that is not a class.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a class; write short or long")]
pub struct ClassError {
    /// The string.
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

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered, and the caller receives its whole response.
    Answered,
    /// The request did not run: none of its bytes reached an endpoint.
    NotRun(Reason),
    /// The request was sent to an endpoint, and whether it ran is not known.
    MayHaveRun(Reason),
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The predicted wait exceeds the deadline.
    Overloaded,
    /// The queue has reached its limit of entries or bytes.
    QueueFull,
    /// The deadline passed before a response arrived.
    DeadlinePassed,
    /// The service has no usable endpoint at present.
    NoEndpoint,
    /// The configuration does not contain the service or the team.
    Unknown,
    /// The endpoint failed or its connection broke.
    EndpointFailed,
    /// The peer that held the request, or the connection to it, was lost.
    PeerLost,
    /// A request with the same id was received before.
    Repeated,
    /// The instance is stopping.
    Stopping,
    /// The caller closed its connection before a response was sent.
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
    /// Returns the value of the `Guavacart-Outcome` response header.
    pub fn header(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }
}
