//! Messages between entry instances about batch work.

use guavacart_types::{CallId, CellId};
use serde::{Deserialize, Serialize};

use super::{
    call::{JobCall, JobReply},
    handoff::{FreeCapacity, HandOff},
};

/// A message between entry instances about batch work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerBatch {
    /// A submitter's call that concerns a cell of the receiver.
    Call {
        /// Id of the call at the sender.
        call: CallId,
        /// Cell that the call concerns.
        cell: CellId,
        /// What the submitter requests.
        request: JobCall,
    },
    /// The answer to a call.
    Reply {
        /// Id of the call at the receiver.
        call: CallId,
        /// The answer for the submitter.
        reply: JobReply,
    },
    /// The tasks that a cell of the sender could accept.
    FreeCapacity {
        /// Cell of the sender.
        cell: CellId,
        /// Free capacity of the cell.
        free_capacity: FreeCapacity,
    },
    /// A message about tasks that move to or from a cell of the receiver, or about shares of a
    /// quota.
    HandOff {
        /// Cell of the receiver.
        cell: CellId,
        /// Content of the message.
        message: HandOff,
    },
}
