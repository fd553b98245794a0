//! What entry instances tell one another about requests, beside forwards and their outcomes.

use guavacart_types::{CallId, RequestId, Span, ViewNumber};
use serde::{Deserialize, Serialize};

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
        /// The sender's call.
        call: CallId,
        /// The request.
        id: RequestId,
        /// The view that makes the receiver a holder.
        view: ViewNumber,
    },
    /// A holder's answer to a claim.
    Claimed {
        /// The asker's call.
        call: CallId,
        /// What the holder knows.
        answer: ClaimAnswer,
    },
    /// The request was not run and its id may be used again.
    Release {
        /// The request.
        id: RequestId,
    },
    /// Ids that the receiver is a holder of since the view `view`, from a holder of the view before.
    Handover {
        /// The view.
        view: ViewNumber,
        /// The ids and how long ago each was recorded.
        ids: Vec<(RequestId, Span)>,
        /// True if the sender has held them for as long as ids are kept.
        complete: bool,
    },
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
