//! Tracks until when another member may have renewed task leases in place of this instance.

use guavacart_types::{Span, Timestamp, ViewNumber};

use crate::{
    Cx,
    membership::{CLOCK_DRIFT_MARGIN, HEARTBEAT_TIMEOUT, OWNERSHIP_LEASE_SPAN},
};

/// Greatest age of the evidence that a member received heartbeats of this instance; well below the
/// silence after which that member renews leases in place of this instance.
const MAX_EVIDENCE_AGE: Span = Span::millis(HEARTBEAT_TIMEOUT.0 * 3 / 4);

/// The latest time at which another member may have renewed leases in place of this instance.
///
/// A member may do so unless it has received heartbeats of this instance without a gap.
#[derive(Debug)]
pub(super) struct PeerRenewals {
    last_peer_renewal: Timestamp,
    view: ViewNumber,
}

impl PeerRenewals {
    pub(super) fn new() -> Self {
        Self {
            last_peer_renewal: Timestamp::default(),
            view: ViewNumber::default(),
        }
    }

    /// Checks which members have received heartbeats of this instance recently; called at each
    /// tick.
    pub(super) fn observe(&mut self, cx: &Cx<'_>) {
        let view = cx.membership.view().number;
        if view != self.view {
            self.view = view;
            self.last_peer_renewal = cx.now + OWNERSHIP_LEASE_SPAN + CLOCK_DRIFT_MARGIN;
        }
        let oldest_evidence = cx.now - MAX_EVIDENCE_AGE;
        if !cx.membership.is_acknowledged_by_all(oldest_evidence) {
            self.last_peer_renewal = self.last_peer_renewal.max(cx.now);
        }
    }

    /// Returns the latest time at which another member may have renewed leases.
    pub(super) fn last_peer_renewal(&self) -> Timestamp {
        self.last_peer_renewal
    }
}
