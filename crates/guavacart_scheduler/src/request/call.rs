//! The state of one call.

use guavacart_types::{CallId, DispatchId, EndpointId, InstanceId, Outcome, Reason, Timestamp};
use smol_str::SmolStr;

use super::{RequestHead, claim::Claim};

/// Who waits for a call's outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// A caller that is connected to this instance.
    Caller,
    /// The peer that forwarded the call, and the peer's id of the call.
    Peer(InstanceId, CallId),
}

/// The phase of a call that has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waits for the claim of its id or for the end of a retry backoff.
    Pending,
    /// In a queue of this instance.
    Queued {
        /// True in the lane of long requests, false in the lane of short ones.
        long: bool,
        /// The team queue within the lane.
        team: SmolStr,
    },
    /// Dispatched to an endpoint or forwarded to a peer.
    InFlight,
}

/// A call that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) head: RequestHead,
    pub(super) origin: Origin,
    pub(super) deadline_at: Timestamp,
    pub(super) phase: Phase,
    /// Dispatches that have not ended.
    pub(super) dispatches: Vec<DispatchId>,
    /// Endpoints that the call was dispatched to.
    pub(super) tried: Vec<EndpointId>,
    /// The peer that the call is forwarded to now.
    pub(super) forwarded_to: Option<InstanceId>,
    /// Peers that refused the call or were lost while they had it.
    pub(super) refused_by: Vec<InstanceId>,
    /// Reason of the last refusal by a peer other than `NoEndpoint`.
    pub(super) peer_refusal: Option<Reason>,
    /// True once a dispatch or a forward ended after which the request may have run.
    pub(super) may_have_run: bool,
    pub(super) retries: u32,
    pub(super) claim: Option<Claim>,
}

impl Call {
    pub(super) fn new(head: RequestHead, origin: Origin, deadline_at: Timestamp) -> Self {
        Self {
            head,
            origin,
            deadline_at,
            phase: Phase::Pending,
            dispatches: Vec::new(),
            tried: Vec::new(),
            forwarded_to: None,
            refused_by: Vec::new(),
            peer_refusal: None,
            may_have_run: false,
            retries: 0,
            claim: None,
        }
    }

    /// Returns the outcome of a call that ends now without an answer: `NotRun` only if the request
    /// has certainly not run.
    pub(super) fn outcome(&self, reason: Reason) -> Outcome {
        let in_flight = !self.dispatches.is_empty() || self.forwarded_to.is_some();
        if in_flight || self.may_have_run {
            Outcome::MayHaveRun(reason)
        } else {
            Outcome::NotRun(reason)
        }
    }

    pub(super) fn is_from_peer(&self) -> bool {
        matches!(self.origin, Origin::Peer(..))
    }
}
