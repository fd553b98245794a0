//! Diagnostics of a settings file: the key, the place, the fault and the remedy.

use std::{fmt, ops::Range};

use smol_str::SmolStr;
use thiserror::Error;

/// A place in a settings file, both counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The character in the line.
    pub column: usize,
}

impl Place {
    /// The place of a byte of `text`.
    pub(crate) fn of(text: &str, span: &Range<usize>) -> Self {
        let mut end = span.start.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
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
    /// The file is not TOML.
    #[error("not TOML: {cause}")]
    Syntax {
        /// What the parser said.
        cause: SmolStr,
    },
    /// No such key.
    #[error("unknown key")]
    UnknownKey {
        /// The keys of this section, in order, separated by commas.
        known: SmolStr,
    },
    /// A required key is absent.
    #[error("missing")]
    Missing {
        /// What the key takes.
        expected: &'static str,
    },
    /// The value has another TOML type.
    #[error("is of type {found}")]
    Type {
        /// The type found.
        found: &'static str,
        /// What the key takes.
        expected: &'static str,
    },
    /// The value has the right type but cannot be read.
    #[error("{cause}")]
    Value {
        /// What the parser of the value said.
        cause: SmolStr,
        /// What the key takes.
        expected: &'static str,
    },
    /// The value is zero.
    #[error("is zero")]
    Zero {
        /// What the key takes.
        expected: &'static str,
    },
    /// The environment variable is not set.
    #[error("environment variable {name} is not set")]
    Environment {
        /// The variable.
        name: SmolStr,
    },
    /// A secret is too short or holds characters that no HTTP header takes.
    #[error("is not a usable secret")]
    Secret {
        /// Fewest characters.
        shortest: usize,
    },
    /// Two holders have one secret.
    #[error("is the same secret as {other}")]
    SharedSecret {
        /// The other key.
        other: SmolStr,
    },
}

impl SettingsFault {
    /// What to do about it.
    pub fn remedy(&self) -> String {
        match self {
            Self::Syntax { .. } => "correct the syntax at this place".to_owned(),
            Self::UnknownKey { known } => format!("remove it, or write one of: {known}"),
            Self::Missing { expected } => format!("add it: {expected}"),
            Self::Type { expected, .. }
            | Self::Value { expected, .. }
            | Self::Zero { expected } => format!("write {expected}"),
            Self::Environment { name } => format!("set {name} for the process"),
            Self::Secret { shortest } => {
                format!("give at least {shortest} visible ASCII characters without spaces")
            }
            Self::SharedSecret { .. } => "give each holder a secret of its own".to_owned(),
        }
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// The key, with its sections, such as `limits.body`; empty for the whole file.
    pub key: SmolStr,
    /// Where it stands; for a missing key, where its section begins.
    pub place: Place,
    /// What is wrong.
    pub fault: SettingsFault,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, place, fault } = self;
        let key = if key.is_empty() { "(file)" } else { key };
        write!(f, "{place}: {key}: {fault}; {}", fault.remedy())
    }
}
