//! Errors of encoding and decoding.

use thiserror::Error;

/// Why a message could not be encoded or was refused.
///
/// A refused message is counted and dropped.
#[derive(Debug, Error)]
pub enum WireError {
    /// The message is too short to hold its version and, for a datagram, its tag.
    #[error("the message has only {len} bytes and is too short to hold its version and tag")]
    Short {
        /// The length of the message in bytes.
        len: usize,
    },
    /// The sender uses another version of the format.
    #[error(
        "the message has version {found}, but this instance uses version {expected}; run compatible builds on all instances"
    )]
    Version {
        /// The version in the message.
        found: u8,
        /// The version of this build.
        expected: u8,
    },
    /// The tag is wrong: the sender has another peer key, the message was meant for another instance,
    /// was replayed or reordered, or was damaged in transit.
    #[error("the tag of the message is wrong; check that all instances have the same peer key")]
    Tag,
    /// The frame is longer than [`crate::MAX_FRAME_BYTES`].
    #[error("the frame has {len} bytes; the limit is {limit} bytes")]
    TooLong {
        /// The length of the frame in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The payload cannot be encoded, or is not a message of this version.
    #[error("the message cannot be encoded or decoded: {0}")]
    Payload(#[from] postcard::Error),
    /// The payload can be decoded, but its values are inconsistent.
    #[error("the message is inconsistent: {what}")]
    Invalid {
        /// Which values are inconsistent.
        what: &'static str,
    },
    /// The link reached the wrong instance: the [`crate::Hello`] names another instance than the one that
    /// received it, or the [`crate::Welcome`] comes from another instance than the one dialled.
    #[error(
        "the link reached another instance than the one dialled; check the addresses in the instance list"
    )]
    WrongInstance,
}
