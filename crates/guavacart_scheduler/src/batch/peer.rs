//! What entry instances tell one another about batch work.

use guavacart_types::{CallId, CellId};
use serde::{Deserialize, Serialize};

use super::{
    call::{JobCall, JobReply},
    handoff::{HandOff, Room},
};

/// A message between entry instances about batch work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerBatch {
    /// A submitter's call for a cell that the receiver owns.
    Call {
        /// The sender's call.
        call: CallId,
        /// The cell.
        cell: CellId,
        /// What is asked.
        request: JobCall,
    },
    /// The answer to a call.
    Reply {
        /// The asker's call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
    /// What a cell of the sender could take.
    Room {
        /// The cell.
        cell: CellId,
        /// Its room.
        room: Room,
    },
    /// About tasks that move to or from a cell of the receiver.
    HandOff {
        /// The receiver's cell.
        cell: CellId,
        /// What is said.
        message: HandOff,
    },
}
