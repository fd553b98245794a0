//! Messages on the TCP links between entry instances.

use serde::{Deserialize, Serialize};

use crate::{ForwardWire, OutcomeWire, RequestMessageWire, VERSION, WireError};

/// Maximum length of a frame in bytes; large enough for the largest body and the largest
/// configuration.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// A forwarded request.
    Forward(ForwardWire),
    /// The outcome of a forwarded request.
    Outcome(OutcomeWire),
    /// A claim, claim answer, release, cancellation or handover of requests.
    Request(RequestMessageWire),
    /// A message about batch work, encoded by [`crate::encode_peer_batch`].
    Batch(Vec<u8>),
    /// A question that any instance can answer from memory.
    Question {
        /// The number that the sender gave the question.
        id: u64,
        /// What the sender wants to know.
        question: Question,
    },
    /// The answer to a [`Frame::Question`].
    Reply {
        /// The number of the question that is answered.
        id: u64,
        /// The answer as JSON.
        body: Vec<u8>,
    },
}

/// What one entry instance can ask another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Question {
    /// The configuration in force.
    Configuration,
    /// The snapshot of the service-level recorder, from which burn rates of error budgets are computed.
    Burn,
    /// The status of the instance.
    Status,
}

impl Frame {
    /// Encodes the frame: a version byte, then the payload.
    ///
    /// # Errors
    /// Returns [`WireError::TooLong`] for a frame longer than [`MAX_FRAME_BYTES`], which a peer would
    /// refuse, and [`WireError::Payload`] if the frame cannot be encoded.
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
    /// Returns [`WireError::Short`] for an empty frame, [`WireError::Version`] for another version and
    /// [`WireError::Payload`] if the payload cannot be decoded.
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
