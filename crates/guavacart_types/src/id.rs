//! Ids: text ids stored as `SmolStr`, and numeric ids stored as `u64` or `u32`.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a text id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// The reason why a string is not a valid id.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The string is empty.
    #[error("{kind} is empty; give 1 to {MAX_ID_BYTES} characters")]
    Empty {
        /// The kind of id that was expected, such as `worker id`.
        kind: &'static str,
    },
    /// The string is longer than the maximum length of a text id.
    #[error("{kind} has {len} bytes; give at most {MAX_ID_BYTES}")]
    TooLong {
        /// The kind of id that was expected, such as `worker id`.
        kind: &'static str,
        /// The length of the string, in bytes.
        len: usize,
    },
    /// The string contains a character that is not allowed in an id.
    #[error("{kind} holds {found:?}; use letters, digits, '.', '_', ':' and '-'")]
    Character {
        /// The kind of id that was expected, such as `worker id`.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The string is not a whole number.
    #[error("{kind} {text:?} is not a whole number")]
    Number {
        /// The kind of id that was expected, such as `worker id`.
        kind: &'static str,
        /// The string.
        text: SmolStr,
    },
    /// The string is not a job id followed by `/` and an index.
    #[error("task id {text:?} has no '/' and index; write it as JOB/INDEX")]
    Task {
        /// The string.
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
            /// Returns the id as a string.
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
            /// Returns this number plus one.
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
    /// An entry instance: a process that accepts requests from callers.
    InstanceId = "instance id";
    /// A data centre, as named in the settings of its instances.
    DataCentre = "data centre";
    /// A rack of workers; racks are assigned to cells by the configuration.
    Rack = "rack";
    /// A latency-critical service that requests are sent to.
    ServiceName = "service";
    /// A team whose members call services and submit batch jobs.
    TeamName = "team";
    /// An id that the caller chooses for a request; a repeat of the request carries the same id.
    RequestId = "request id";
    /// An id that the submitter chooses for a batch job.
    JobId = "job id";
    /// A class of batch work whose tasks affect the latency of services in the same way.
    BatchClass = "batch class";
    /// A group of workers with one owner and one journal.
    CellId = "cell";
    /// An endpoint: one server of a service.
    EndpointId = "endpoint id";
    /// A worker: a machine that runs tasks.
    WorkerId = "worker id";
    /// An id that the operator chooses for a patch; a repeat of the patch carries the same id.
    PatchId = "patch id";
}

number_id! {
    /// Wall-clock time of an entry instance's start, in microseconds; greater after each restart.
    Incarnation(u64) = "incarnation";
    /// Number of a membership view; a newer view has a greater number.
    ViewNumber(u64) = "view number";
    /// Number of a configuration; each accepted patch increases it by one.
    ConfigNumber(u64) = "configuration number";
    /// Revision of a key in the store; 0 means that the key is absent.
    Revision(u64) = "revision";
    /// Number that fences earlier owners of a cell; each takeover increases it.
    Epoch(u64) = "epoch";
    /// Number of an attempt to run a task, starting at 1.
    Attempt(u32) = "attempt";
    /// A call that waits for its response at one entry instance.
    CallId(u64) = "call id";
    /// One dispatch of a request to one endpoint.
    DispatchId(u64) = "dispatch id";
}

/// A task of a batch job, written as `JOB/INDEX`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, starting at 0.
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
