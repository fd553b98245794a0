//! What entry instances tell one another about requests, beside forwards and their outcomes.

use guavacart_types::{CallId, InstanceId, RequestId, Span, ViewNumber};
use serde::{Deserialize, Serialize};

use crate::membership::Member;

/// A message between entry instances about requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// The sender no longer waits for a call that it forwarded.
    Cancel {
        /// The sender's call.
        call: CallId,
    },
    /// The sender asks a holder to record a non-idempotent request before it is dispatched.
    Claim {
        /// The sender.
        asker: Member,
        /// The sender's call.
        call: CallId,
        /// The request.
        id: RequestId,
        /// The view that makes the receiver a holder.
        view: ViewNumber,
    },
    /// A holder's answer to a claim.
    Claimed {
        /// The asker; a later start of the same instance is another.
        asker: Member,
        /// The asker's call.
        call: CallId,
        /// The view that the claim named.
        view: ViewNumber,
        /// What the holder knows.
        answer: ClaimAnswer,
    },
    /// The request was not run and its id may be used again.
    Release {
        /// The sender, which claimed it.
        asker: Member,
        /// The sender's call.
        call: CallId,
        /// The request.
        id: RequestId,
    },
    /// Ids that the receiver is a holder of since the view `view`, from a holder of the view before.
    Handover {
        /// The view.
        view: ViewNumber,
        /// The members of the view before, as the sender knew it.
        before: Vec<InstanceId>,
        /// The ids.
        ids: Vec<HeldId>,
        /// True if the sender has held them for as long as ids are kept.
        complete: bool,
    },
}

/// A request id that a holder has recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldId {
    /// The id.
    pub id: RequestId,
    /// Who claimed it.
    pub asker: Member,
    /// The claimant's call.
    pub call: CallId,
    /// How long ago.
    pub age: Span,
}

/// What a holder of a request id knows of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// Recorded now and not seen before by a holder that would know.
    New,
    /// Recorded now; this holder is too new to know whether it was seen before.
    Unsure,
    /// Seen before.
    Seen,
    /// The receiver is not a holder in the view that it is in.
    WrongView,
}
