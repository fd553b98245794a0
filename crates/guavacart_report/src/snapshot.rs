//! What one recorder holds, as it travels between instances.

use std::collections::BTreeMap;

use guavacart_types::{ServiceName, Span, TeamName};
use serde::{Deserialize, Serialize};

use crate::{
    counts::Counts,
    latencies::Latencies,
    window::{Window, WindowScale},
};

/// What one instance recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// How long the recorder has run; what happened before is not in it.
    pub recording: Span,
    /// How much shorter than their names its windows are.
    pub scale: WindowScale,
    /// One series for each service and team.
    pub series: Vec<Series>,
    /// Requests that came after the recorder held as many series as it may.
    pub unattributed: u64,
}

/// What was recorded for one service and team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// The service.
    pub service: ServiceName,
    /// The team.
    pub team: TeamName,
    /// What happened within each window.
    pub windows: BTreeMap<Window, WindowCounts>,
}

/// What happened within one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WindowCounts {
    /// Requests by outcome.
    pub counts: Counts,
    /// Latencies of the answered ones.
    pub latencies: Latencies,
}

impl WindowCounts {
    /// Adds what another recorder or bucket counted.
    pub fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts);
        self.latencies.merge(&other.latencies);
    }
}
