//! Messages between entry instances about requests, except forwards and their outcomes.

use guavacart_types::{CallId, InstanceId, RequestId, Span, ViewNumber};
use serde::{Deserialize, Serialize};

use crate::membership::Member;

/// A message between entry instances about requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestMessage {
    /// The sender no longer waits for a call that it forwarded.
    Cancel {
        /// The sender's id of the call.
        call: CallId,
    },
    /// The sender asks a holder to record a non-idempotent request before it is dispatched.
    Claim {
        /// The sender, with its incarnation.
        claimant: Member,
        /// The sender's id of the call.
        call: CallId,
        /// The request id to record.
        id: RequestId,
        /// The view in which the receiver is a holder of the id.
        view: ViewNumber,
    },
    /// A holder's answer to a claim.
    ClaimAnswered {
        /// The sender of the claim; another incarnation of that instance ignores the answer.
        claimant: Member,
        /// The id that the sender of the claim gave the call.
        call: CallId,
        /// The view number from the claim.
        view: ViewNumber,
        /// What the holder knows of the id.
        answer: ClaimAnswer,
    },
    /// The request was not run and its id may be claimed again.
    Release {
        /// The sender, which claimed the id.
        claimant: Member,
        /// The sender's id of the call.
        call: CallId,
        /// The request id to forget.
        id: RequestId,
    },
    /// Ids that the receiver is a holder of from `view` on, sent by a member of the previous view.
    Handover {
        /// The view that made the receiver a holder.
        view: ViewNumber,
        /// Members of the previous view, as known to the sender.
        previous_members: Vec<InstanceId>,
        /// The ids with their claims.
        ids: Vec<RecordedId>,
        /// True if the sender knew every id that it was a holder of in the previous view.
        complete: bool,
    },
}

/// A request id that a holder has recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedId {
    /// The recorded request id.
    pub id: RequestId,
    /// The instance that claimed the id, with its incarnation.
    pub claimant: Member,
    /// The claiming instance's id of the call.
    pub call: CallId,
    /// Time since the claim was recorded.
    pub age: Span,
}

/// A holder's answer to the claim of a request id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The id is recorded now. The holder has a complete history and had not seen the id before.
    New,
    /// The id is recorded now. The holder has no complete history, so the id may have been claimed
    /// before.
    HistoryUnknown,
    /// The id was claimed before by another call.
    Seen,
    /// The id is not recorded: the holder has adopted another view, is not a holder of the id in its
    /// view, or has no room for another id.
    WrongView,
}
