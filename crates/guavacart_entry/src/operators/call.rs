//! Parses operators' calls from method, path and query.

use std::str::FromStr;

use guavacart_types::{ConfigNumber, PatchId};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

/// An operator's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// The configuration in force.
    Configuration,
    /// The current or an earlier configuration, by number.
    Version(ConfigNumber),
    /// The keys that differ between two configurations.
    Difference {
        /// The number of the first configuration.
        from: ConfigNumber,
        /// The number of the second configuration.
        to: ConfigNumber,
    },
    /// A patch to the configuration; its change is the body of the request.
    Patch {
        /// The number of the configuration that the operator saw.
        base: ConfigNumber,
        /// The patch's id, by which a repeated submission is recognized.
        id: PatchId,
        /// True if the patch is only to be validated.
        dry_run: bool,
    },
    /// The number of the configuration in force at each instance.
    Instances,
    /// The status of this instance.
    Status,
    /// The service-level record of the deployment.
    Burn,
}

/// What a caller of an operators' call must be permitted to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Read.
    Reader,
    /// Submit patches; the writer may also read.
    Writer,
}

/// Why a call cannot be parsed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No call has this path.
    #[error("no such path; docs/API.md lists them")]
    NotFound,
    /// The path does not support the method.
    #[error("not for this path; use {allow}")]
    Method {
        /// The methods that the path supports, separated by commas.
        allow: &'static str,
    },
    /// A required parameter of the query is missing.
    #[error("is missing; docs/API.md lists what each call takes")]
    Missing {
        /// The parameter's name.
        key: &'static str,
    },
    /// A parameter in the query or the path cannot be parsed.
    #[error("{cause}")]
    Unreadable {
        /// The parameter's name.
        key: &'static str,
        /// The parser's message.
        cause: SmolStr,
    },
}

impl Call {
    /// Parses a call; `path` holds the segments after `/v1`.
    ///
    /// # Errors
    /// Returns why method, path and query are not a call.
    pub fn parse(method: &str, path: &[&str], query: &str) -> Result<Self, CallError> {
        match (method, path) {
            ("GET", ["config"]) => Ok(Self::Configuration),
            ("PATCH", ["config"]) => Self::patch(query),
            ("GET", ["config", "versions", number]) => {
                Ok(Self::Version(parse_value("number", number)?))
            }
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

    /// Returns the role that the call requires.
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
            dry_run: query_value(query, "dry_run")
                .map_or(Ok(false), |text| parse_value("dry_run", text))?,
        })
    }
}

impl CallError {
    /// Returns the HTTP status of the answer.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::NotFound => 404,
            Self::Method { .. } => 405,
            Self::Missing { .. } | Self::Unreadable { .. } => 400,
        }
    }

    /// Returns the part of the call that is wrong.
    pub(crate) fn key(&self) -> &'static str {
        match self {
            Self::NotFound => "path",
            Self::Method { .. } => "method",
            Self::Missing { key } | Self::Unreadable { key, .. } => key,
        }
    }

    /// Returns the methods that the path supports, if the method is wrong.
    pub(crate) fn allow(&self) -> Option<&'static str> {
        match self {
            Self::Method { allow } => Some(allow),
            _ => None,
        }
    }
}

/// Returns the value of `key` in a query.
///
/// Does not decode percent-escapes, which ids and numbers do not need.
fn query_value<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn required<T>(query: &str, key: &'static str) -> Result<T, CallError>
where
    T: FromStr<Err: std::fmt::Display>,
{
    parse_value(
        key,
        query_value(query, key).ok_or(CallError::Missing { key })?,
    )
}

fn parse_value<T>(key: &'static str, text: &str) -> Result<T, CallError>
where
    T: FromStr<Err: std::fmt::Display>,
{
    text.parse().map_err(|err: T::Err| CallError::Unreadable {
        key,
        cause: err.to_smolstr(),
    })
}
