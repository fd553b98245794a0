//! Diagnostics for a settings file. Each names the key, its place in the file, the fault and the
//! remedy.

use std::{fmt, ops::Range};

use smol_str::SmolStr;
use thiserror::Error;

/// A place in a settings file; line and column are counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Line number.
    pub line: usize,
    /// Number of the character in the line.
    pub column: usize,
}

impl Place {
    /// Returns the place in `text` where `span`, a range of bytes, starts.
    pub(crate) fn of(text: &str, span: &Range<usize>) -> Self {
        let mut end = span.start.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// What is wrong with one key of a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsFault {
    /// The file is not valid TOML.
    #[error("invalid TOML: {cause}")]
    Syntax {
        /// Message of the TOML parser.
        cause: SmolStr,
    },
    /// The section has no key of this name.
    #[error("unknown key")]
    UnknownKey {
        /// The valid keys of the section, separated by commas.
        known: SmolStr,
    },
    /// A required key is absent.
    #[error("required key is missing")]
    Missing {
        /// Description of the values that the key accepts.
        expected: &'static str,
    },
    /// The value does not have the TOML type that the key requires.
    #[error("value has the TOML type {found}")]
    Type {
        /// TOML type of the value.
        found: &'static str,
        /// Description of the values that the key accepts.
        expected: &'static str,
    },
    /// The value has the correct TOML type but cannot be parsed.
    #[error("{cause}")]
    Value {
        /// Message of the value's parser.
        cause: SmolStr,
        /// Description of the values that the key accepts.
        expected: &'static str,
    },
    /// The value is zero, and the key requires a value above zero.
    #[error("value is zero")]
    Zero {
        /// Description of the values that the key accepts.
        expected: &'static str,
    },
    /// The environment variable that the value refers to is not set.
    #[error("environment variable {name} is not set")]
    Environment {
        /// Name of the variable.
        name: SmolStr,
    },
    /// The secret is too short, or contains characters that are not allowed in an HTTP header.
    #[error("not a valid secret")]
    Secret {
        /// Minimum length of the secret in characters.
        shortest: usize,
    },
    /// Two keys have the same secret.
    #[error("same secret as {other}")]
    SharedSecret {
        /// The key that already has this secret.
        other: SmolStr,
    },
}

impl SettingsFault {
    /// Returns an instruction that removes the fault.
    pub fn remedy(&self) -> String {
        match self {
            Self::Syntax { .. } => "correct the syntax at this place".to_owned(),
            Self::UnknownKey { known } => format!("remove it, or write one of: {known}"),
            Self::Missing { expected } => format!("add it; its value is {expected}"),
            Self::Type { expected, .. }
            | Self::Value { expected, .. }
            | Self::Zero { expected } => format!("write {expected}"),
            Self::Environment { name } => format!("set {name} in the environment of the process"),
            Self::Secret { shortest } => {
                format!("give at least {shortest} visible ASCII characters without spaces")
            }
            Self::SharedSecret { .. } => "give each key a different secret".to_owned(),
        }
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// Path of the key, such as `limits.body`; empty if the fault concerns the whole file.
    pub key: SmolStr,
    /// Place of the key or its value; for a missing key, the start of its section.
    pub place: Place,
    /// The fault.
    pub fault: SettingsFault,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, place, fault } = self;
        let key = if key.is_empty() { "(file)" } else { key };
        write!(f, "{place}: {key}: {fault}; {}", fault.remedy())
    }
}
