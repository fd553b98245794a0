//! One call in hand.

use guavacart_types::{CallId, DispatchId, EndpointId, InstanceId, Outcome, Reason, Timestamp};
use smol_str::SmolStr;

use super::{RequestHead, claim::Claim};

/// Who waits for a call's outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// A caller at this instance.
    Caller,
    /// A peer that forwarded it, under the peer's id of the call.
    Peer(InstanceId, CallId),
}

/// Where a call is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// Waits until its id is claimed, or until a pause before a retry is over.
    Waits,
    /// In a queue of this instance.
    Queued {
        /// The lane.
        long: bool,
        /// The team's part of it.
        team: SmolStr,
    },
    /// Dispatched or forwarded.
    Out,
}

/// One call in hand.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) head: RequestHead,
    pub(super) origin: Origin,
    pub(super) deadline_at: Timestamp,
    pub(super) place: Place,
    /// Dispatches under way.
    pub(super) dispatches: Vec<DispatchId>,
    /// Endpoints that were tried.
    pub(super) tried: Vec<EndpointId>,
    /// The peer that has it.
    pub(super) forwarded: Option<InstanceId>,
    /// Peers that refused it.
    pub(super) refused_by: Vec<InstanceId>,
    /// Why the last of them did.
    pub(super) refusal: Option<Reason>,
    /// True once a dispatch or a forward ended without telling whether it ran.
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
            place: Place::Waits,
            dispatches: Vec::new(),
            tried: Vec::new(),
            forwarded: None,
            refused_by: Vec::new(),
            refusal: None,
            may_have_run: false,
            retries: 0,
            claim: None,
        }
    }

    /// The true outcome for a call that ends now without an answer.
    pub(super) fn outcome(&self, reason: Reason) -> Outcome {
        let out = !self.dispatches.is_empty() || self.forwarded.is_some();
        if out || self.may_have_run {
            Outcome::MayHaveRun(reason)
        } else {
            Outcome::NotRun(reason)
        }
    }

    pub(super) fn is_from_peer(&self) -> bool {
        matches!(self.origin, Origin::Peer(..))
    }
}
