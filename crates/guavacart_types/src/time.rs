//! Points in time and time spans, in milliseconds.

use std::{
    fmt,
    ops::{Add, AddAssign, Mul, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// A reading of a process's monotonic clock, in milliseconds. Readings of different processes must
/// not be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

/// A length of time in milliseconds, written with a unit, such as `250ms` or `5m`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Timestamp {
    /// Returns the time from `earlier` to this point, or zero if `earlier` is the later point.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// Returns a span of `ms` milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns a span of `s` seconds.
    pub const fn secs(s: u64) -> Self {
        Self(s * 1_000)
    }

    /// Returns this span minus `other`, or zero if `other` is longer.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Timestamp {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Mul<u64> for Span {
    type Output = Self;

    fn mul(self, times: u64) -> Self {
        Self(self.0.saturating_mul(times))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// The error for a string that is not a time span such as `250ms`, `8s`, `5m` or `6h`.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a span of time; write a whole number and ms, s, m or h, such as 250ms")]
pub struct SpanError {
    /// The string.
    pub text: SmolStr,
}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        let err = || SpanError { text: text.into() };
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| err())?;
        let unit_ms = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(err()),
        };
        number.checked_mul(unit_ms).map(Self).ok_or_else(err)
    }
}
