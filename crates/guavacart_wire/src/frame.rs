//! The messages on the TCP links between entry instances.

use serde::{Deserialize, Serialize};

use crate::{ForwardWire, OutcomeWire, PeerRequestWire, VERSION, WireError};

/// Longest frame, in bytes; holds the largest body and the largest configuration.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// A forwarded request.
    Forward(ForwardWire),
    /// The outcome of a forwarded request.
    Outcome(OutcomeWire),
    /// Claims, cancellations and hand-overs of requests.
    Request(PeerRequestWire),
    /// A message about batch work, encoded by the batch module.
    Batch(Vec<u8>),
    /// A question that any instance can answer from memory.
    Ask {
        /// The asker's number of it.
        id: u64,
        /// What is asked.
        question: Question,
    },
    /// The answer to an [`Frame::Ask`].
    Reply {
        /// The asker's number.
        id: u64,
        /// The answer, as JSON.
        body: Vec<u8>,
    },
}

/// What one instance may ask another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Question {
    /// The configuration in force.
    Configuration,
    /// The service-level record.
    Burn,
    /// The status.
    Status,
}

impl Frame {
    /// Encodes the frame: version, then payload.
    ///
    /// # Errors
    /// Returns [`WireError::TooLong`] for a frame that no peer would take.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let buf = postcard::to_extend(self, vec![VERSION])?;
        let len = buf.len();
        if len > MAX_FRAME_BYTES {
            let limit = MAX_FRAME_BYTES;
            return Err(WireError::TooLong { len, limit });
        }
        Ok(buf)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// Returns why the frame was not taken.
    pub fn decode(buf: &[u8]) -> Result<Self, WireError> {
        let Some((&found, payload)) = buf.split_first() else {
            return Err(WireError::Short { len: 0 });
        };
        if found != VERSION {
            let expected = VERSION;
            return Err(WireError::Version { found, expected });
        }
        Ok(postcard::from_bytes(payload)?)
    }
}
