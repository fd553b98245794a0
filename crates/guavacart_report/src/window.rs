//! The windows over which burn rates are told.

use std::{fmt, num::NonZeroU32};

use guavacart_types::Span;
use serde::{Deserialize, Serialize};

/// One window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Window {
    /// Five minutes, the short one of the fast pair.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour, the long one of the fast pair.
    #[serde(rename = "1h")]
    OneHour,
    /// Thirty minutes, the short one of the slow pair.
    #[serde(rename = "30m")]
    ThirtyMinutes,
    /// Six hours, the long one of the slow pair.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// Every window.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::OneHour,
        Self::ThirtyMinutes,
        Self::SixHours,
    ];

    /// Its unscaled length.
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

/// How many times shorter than their names the windows are; 1 outside of tests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WindowScale(NonZeroU32);

impl WindowScale {
    /// Windows as long as their names say.
    pub const ONE: Self = Self(NonZeroU32::MIN);

    /// Windows that are `factor` times shorter.
    pub fn shorter_by(factor: NonZeroU32) -> Self {
        Self(factor)
    }

    /// The scaled length, at least one millisecond.
    pub(crate) fn apply(self, span: Span) -> Span {
        Span((span.0 / u64::from(self.0.get())).max(1))
    }
}

impl fmt::Display for WindowScale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
