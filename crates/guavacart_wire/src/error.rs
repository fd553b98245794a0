//! Why a message was not taken.

use thiserror::Error;

/// Why a message was not taken; it is counted and dropped.
#[derive(Debug, Error)]
pub enum WireError {
    /// The message is shorter than its version and tag.
    #[error("the message has {len} bytes, fewer than its version and tag")]
    Short {
        /// Its length in bytes.
        len: usize,
    },
    /// The sender speaks another version.
    #[error("the message has version {found}, this instance speaks {expected}")]
    Version {
        /// The message's version.
        found: u8,
        /// This build's version.
        expected: u8,
    },
    /// The tag is wrong: another key, a replay or damage.
    #[error("the message's tag is wrong; check that all instances share one peer key")]
    Tag,
    /// The frame is longer than a frame may be.
    #[error("the frame has {len} bytes, at most {limit} are taken")]
    TooLong {
        /// Its length in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The payload is not a message of this version.
    #[error("the message cannot be decoded: {0}")]
    Payload(#[from] postcard::Error),
    /// The payload is a message that contradicts itself.
    #[error("the message contradicts itself: {what}")]
    Invalid {
        /// What is wrong with it.
        what: &'static str,
    },
    /// The other side is not the instance that was dialled.
    #[error("the link was answered by another instance than the one dialled")]
    Stranger,
}
