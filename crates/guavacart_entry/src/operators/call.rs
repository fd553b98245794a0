//! Which operators' call a method, a path and a query name.

use std::str::FromStr;

use guavacart_types::{ConfigNumber, PatchId};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

/// An operators' call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// The configuration in force.
    Configuration,
    /// An earlier configuration.
    Version(ConfigNumber),
    /// The keys that differ between two configurations.
    Difference {
        /// The one before.
        from: ConfigNumber,
        /// The one after.
        to: ConfigNumber,
    },
    /// A patch; the change is the body.
    Patch {
        /// The configuration that the operator saw.
        base: ConfigNumber,
        /// The patch's own id.
        id: PatchId,
        /// True if it is only to be validated.
        dry_run: bool,
    },
    /// The configuration number of each instance.
    Instances,
    /// The state of the deployment.
    Status,
    /// The service-level burn.
    Burn,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Read only.
    Reader,
    /// Read and submit patches.
    Writer,
}

/// Why a call was not taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No such path.
    #[error("no such path; docs/API.md lists them")]
    NotFound,
    /// The path takes another method.
    #[error("not for this path; use {allow}")]
    Method {
        /// The methods that it takes.
        allow: &'static str,
    },
    /// A part of the query is absent.
    #[error("is missing; docs/API.md lists what each call takes")]
    Missing {
        /// The part.
        key: &'static str,
    },
    /// A part of the query or the path cannot be read.
    #[error("{cause}")]
    Unreadable {
        /// The part.
        key: &'static str,
        /// What is wrong with it.
        cause: SmolStr,
    },
}

impl Call {
    /// Reads a call; `path` is what follows `/v1/`, split at its slashes.
    ///
    /// # Errors
    /// Why it names no call.
    pub fn parse(method: &str, path: &[&str], query: &str) -> Result<Self, CallError> {
        match (method, path) {
            ("GET", ["config"]) => Ok(Self::Configuration),
            ("PATCH", ["config"]) => Self::patch(query),
            ("GET", ["config", "versions", number]) => Ok(Self::Version(read("number", number)?)),
            ("GET", ["config", "diff"]) => Ok(Self::Difference {
                from: required(query, "from")?,
                to: required(query, "to")?,
            }),
            ("GET", ["config", "instances"]) => Ok(Self::Instances),
            ("GET", ["status"]) => Ok(Self::Status),
            ("GET", ["burn"]) => Ok(Self::Burn),
            (_, ["config"]) => Err(CallError::Method {
                allow: "GET, PATCH",
            }),
            (_, ["config", "versions", _] | ["config", "diff" | "instances"])
            | (_, ["status" | "burn"]) => Err(CallError::Method { allow: "GET" }),
            _ => Err(CallError::NotFound),
        }
    }

    /// Who may make it.
    pub fn role(&self) -> Role {
        match self {
            Self::Patch { dry_run: false, .. } => Role::Writer,
            _ => Role::Reader,
        }
    }

    fn patch(query: &str) -> Result<Self, CallError> {
        Ok(Self::Patch {
            base: required(query, "base")?,
            id: required(query, "id")?,
            dry_run: value(query, "dry_run").map_or(Ok(false), |text| read("dry_run", text))?,
        })
    }
}

impl CallError {
    /// The HTTP status.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::NotFound => 404,
            Self::Method { .. } => 405,
            Self::Missing { .. } | Self::Unreadable { .. } => 400,
        }
    }

    /// What is wrong.
    pub(crate) fn key(&self) -> &'static str {
        match self {
            Self::NotFound => "path",
            Self::Method { .. } => "method",
            Self::Missing { key } | Self::Unreadable { key, .. } => key,
        }
    }

    /// The methods that the path takes.
    pub(crate) fn allow(&self) -> Option<&'static str> {
        match self {
            Self::Method { allow } => Some(allow),
            _ => None,
        }
    }
}

/// The value of `key` in a query; ids and numbers need no escapes.
fn value<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn required<T>(query: &str, key: &'static str) -> Result<T, CallError>
where
    T: FromStr<Err: std::fmt::Display>,
{
    read(key, value(query, key).ok_or(CallError::Missing { key })?)
}

fn read<T>(key: &'static str, text: &str) -> Result<T, CallError>
where
    T: FromStr<Err: std::fmt::Display>,
{
    text.parse().map_err(|err: T::Err| CallError::Unreadable {
        key,
        cause: err.to_smolstr(),
    })
}
