//! Service-level burn.

use guavacart_types::{Outcome, ServiceName, Span, TeamName, Timestamp};

/// Counts.
#[derive(Debug)]
pub struct Recorder;

impl Recorder {
    /// Starts.
    pub fn start(_now: Timestamp) -> Self {
        Self
    }

    /// Records.
    pub fn record(
        &mut self,
        _now: Timestamp,
        _service: &ServiceName,
        _team: &TeamName,
        _outcome: Outcome,
        _latency: Span,
        _abandoned: bool,
    ) {
    }

    /// Snapshot.
    pub fn snapshot(&mut self, _now: Timestamp) -> u32 {
        0
    }
}
