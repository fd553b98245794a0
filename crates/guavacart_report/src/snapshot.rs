//! Snapshot of one recorder, encoded as JSON and sent between instances.

use std::collections::BTreeMap;

use guavacart_types::{ServiceName, Span, TeamName};
use serde::{Deserialize, Serialize};

use crate::{
    counts::Counts,
    latencies::Latencies,
    window::{Window, WindowScale},
};

/// The request outcomes that one instance recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// How long the recorder has been running. Earlier requests are not included.
    pub recording: Span,
    /// How many times shorter than their names the windows are.
    pub scale: WindowScale,
    /// One series for each pair of service and team.
    pub series: Vec<Series>,
    /// Requests of further pairs of service and team, after the recorder reached its maximum number
    /// of series.
    pub unattributed: u64,
}

/// The request outcomes of one pair of service and team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// The service that was called.
    pub service: ServiceName,
    /// The team that called it.
    pub team: TeamName,
    /// Counts and latencies of each window.
    pub windows: BTreeMap<Window, WindowCounts>,
}

/// Counts and latencies of one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WindowCounts {
    /// Requests by outcome.
    pub counts: Counts,
    /// Latencies of the requests counted as answered.
    pub latencies: Latencies,
}

impl WindowCounts {
    /// Adds the counts and latencies of `other`, for example of another recorder or time bucket.
    pub fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts);
        self.latencies.merge(&other.latencies);
    }
}
