//! The time windows over which burn rates are reported.

use std::{fmt, num::NonZeroU32};

use guavacart_types::Span;
use serde::{Deserialize, Serialize};

/// A time window that ends now. An alarm needs a high burn rate in both windows of a pair.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Window {
    /// Five minutes, the short window of the fast pair.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour, the long window of the fast pair.
    #[serde(rename = "1h")]
    OneHour,
    /// Thirty minutes, the short window of the slow pair.
    #[serde(rename = "30m")]
    ThirtyMinutes,
    /// Six hours, the long window of the slow pair.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// Every window, in the order of the report's columns.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::OneHour,
        Self::ThirtyMinutes,
        Self::SixHours,
    ];

    /// Returns the length of the window before scaling.
    pub fn length(self) -> Span {
        match self {
            Self::FiveMinutes => Span::secs(300),
            Self::OneHour => Span::secs(3_600),
            Self::ThirtyMinutes => Span::secs(1_800),
            Self::SixHours => Span::secs(21_600),
        }
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FiveMinutes => "5m",
            Self::OneHour => "1h",
            Self::ThirtyMinutes => "30m",
            Self::SixHours => "6h",
        })
    }
}

/// How many times shorter than their names the windows are. It is 1 outside of tests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WindowScale(NonZeroU32);

impl WindowScale {
    /// Windows have the length that their names state.
    pub const ONE: Self = Self(NonZeroU32::MIN);

    /// Windows are `factor` times shorter than their names state.
    pub fn shorter_by(factor: NonZeroU32) -> Self {
        Self(factor)
    }

    /// Returns the scaled length, which is at least one millisecond.
    pub(crate) fn apply(self, span: Span) -> Span {
        Span((span.0 / u64::from(self.0.get())).max(1))
    }
}

impl fmt::Display for WindowScale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
