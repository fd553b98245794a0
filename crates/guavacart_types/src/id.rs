//! Ids: text ids as `SmolStr`, numbers as `u64` or `u32`.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest text id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Why a text is not an id.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[error("{kind} is empty; give 1 to {MAX_ID_BYTES} characters")]
    Empty {
        /// Which id was asked for.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("{kind} has {len} bytes; give at most {MAX_ID_BYTES}")]
    TooLong {
        /// Which id was asked for.
        kind: &'static str,
        /// Its length in bytes.
        len: usize,
    },
    /// The text holds a character that ids may not hold.
    #[error("{kind} holds {found:?}; use letters, digits, '.', '_', ':' and '-'")]
    Character {
        /// Which id was asked for.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a number.
    #[error("{kind} {text:?} is not a whole number")]
    Number {
        /// Which id was asked for.
        kind: &'static str,
        /// What was given.
        text: SmolStr,
    },
    /// A task id without its index.
    #[error("task id {text:?} has no '/' and index; write it as JOB/INDEX")]
    Task {
        /// What was given.
        text: SmolStr,
    },
}

fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > MAX_ID_BYTES {
        let len = text.len();
        return Err(IdError::TooLong { kind, len });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::Character { kind, found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident = $kind:literal;)*) => {$(
        #[$doc]
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check($kind, text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                check($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($(#[$doc:meta] $name:ident($int:ty) = $kind:literal;)*) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The number after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let number = text.parse().map_err(|_| IdError::Number {
                    kind: $kind,
                    text: text.into(),
                })?;
                Ok(Self(number))
            }
        }
    )*};
}

text_id! {
    /// An entry instance.
    InstanceId = "instance id";
    /// A data centre.
    DataCentre = "data centre";
    /// A rack of workers.
    Rack = "rack";
    /// A latency-critical service.
    ServiceName = "service";
    /// A team of callers and submitters.
    TeamName = "team";
    /// A caller's own id of a request; a repeat carries the same one.
    RequestId = "request id";
    /// A submitter's own id of a batch job.
    JobId = "job id";
    /// A class of batch work whose tasks press on services alike.
    BatchClass = "batch class";
    /// A group of workers with one owner and one journal.
    CellId = "cell";
    /// An endpoint of a service.
    EndpointId = "endpoint id";
    /// A worker.
    WorkerId = "worker id";
    /// An operator's id of a patch.
    PatchId = "patch id";
}

number_id! {
    /// Microseconds of wall time at an entry instance's start; a later start has a greater one.
    Incarnation(u64) = "incarnation";
    /// Number of a membership view.
    ViewNumber(u64) = "view number";
    /// Number of a configuration.
    ConfigNumber(u64) = "configuration number";
    /// Revision of a key in the store; 0 stands for an absent key.
    Revision(u64) = "revision";
    /// Number of a cell's ownership; grows with each take-over.
    Epoch(u64) = "epoch";
    /// Number of a task's attempt, from 1.
    Attempt(u32) = "attempt";
    /// A call that waits at one entry instance for its answer.
    CallId(u64) = "call id";
    /// One request sent to one endpoint.
    DispatchId(u64) = "dispatch id";
}

/// A task of a batch job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's place in the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (job, index) = text
            .split_once('/')
            .ok_or_else(|| IdError::Task { text: text.into() })?;
        let index = index
            .parse()
            .map_err(|_| IdError::Task { text: text.into() })?;
        let job = job.parse()?;
        Ok(Self { job, index })
    }
}
