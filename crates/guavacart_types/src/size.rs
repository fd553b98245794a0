//! Amounts of bytes, processors and accelerators, and their text forms.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Bytes in one KiB.
const KIB: u64 = 1 << 10;
/// Bytes in one MiB.
const MIB: u64 = 1 << 20;
/// Bytes in one GiB.
const GIB: u64 = 1 << 30;

/// A number of bytes, written with a unit, such as `64MiB`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

/// Processors in thousandths of a core, written as whole cores (`4`) or thousandths (`1500m`).
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Processors(pub u64);

/// A number of whole accelerators.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Accelerators(pub u32);

/// The error for a string that is not an amount of the expected kind.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a size; write {expected}")]
pub struct SizeError {
    /// The string.
    pub text: SmolStr,
    /// The form that the parser expects, with an example.
    pub expected: &'static str,
}

impl ByteSize {
    /// Returns `n` KiB.
    pub const fn kib(n: u64) -> Self {
        Self(n * KIB)
    }

    /// Returns `n` MiB.
    pub const fn mib(n: u64) -> Self {
        Self(n * MIB)
    }

    /// Returns `n` GiB.
    pub const fn gib(n: u64) -> Self {
        Self(n * GIB)
    }
}

impl Processors {
    /// Returns `n` whole cores.
    pub const fn cores(n: u64) -> Self {
        Self(n * 1_000)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % GIB == 0 => write!(f, "{}GiB", n / GIB),
            n if n > 0 && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n > 0 && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let err = || SizeError {
            text: text.into(),
            expected: "a whole number and B, KiB, MiB or GiB, such as 64MiB",
        };
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| err())?;
        let unit = match unit {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(err()),
        };
        number.checked_mul(unit).map(Self).ok_or_else(err)
    }
}

impl fmt::Display for Processors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for Processors {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let err = || SizeError {
            text: text.into(),
            expected: "whole cores such as 4, or thousandths such as 1500m",
        };
        let parse = |digits: &str| digits.parse::<u64>().map_err(|_| err());
        match text.strip_suffix('m') {
            Some(millis) => parse(millis).map(Self),
            None => parse(text)?.checked_mul(1_000).map(Self).ok_or_else(err),
        }
    }
}

impl fmt::Display for Accelerators {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Accelerators {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        text.parse().map(Self).map_err(|_| SizeError {
            text: text.into(),
            expected: "a whole number of accelerators",
        })
    }
}
