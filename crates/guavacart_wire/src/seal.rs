//! Authentication of messages between entry instances.
//!
//! A tag proves that the sender has the peer key. On a link, tags also detect replayed, lost and
//! reordered frames.

use guavacart_types::{Incarnation, InstanceId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::WireError;

/// Length of a tag in bytes: the first half of an HMAC-SHA-256.
pub const TAG_BYTES: usize = 16;
/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Random bytes from which the key of a link is derived, so that each link has its own key.
pub type Nonce = [u8; NONCE_BYTES];

/// Returns the tag of the concatenated `parts` under `key`.
pub(crate) fn compute_tag(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    for part in parts {
        mac.update(part);
    }
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}

/// Compares a received tag with the expected one in constant time.
pub(crate) fn verify_tag(key: &[u8], parts: &[&[u8]], received: &[u8]) -> Result<(), WireError> {
    let expected = compute_tag(key, parts);
    if bool::from(expected.ct_eq(received)) {
        Ok(())
    } else {
        Err(WireError::Tag)
    }
}

/// The first message on a link, sent by the instance that opens it (the dialler).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The id of the dialler.
    pub from: InstanceId,
    /// The dialler's incarnation.
    pub incarnation: Incarnation,
    /// The id of the instance that the dialler wants to reach.
    pub to: InstanceId,
    /// The dialler's nonce.
    pub nonce: Nonce,
}

/// The answer to a [`Hello`], sent by the instance that accepts the link (the acceptor).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Welcome {
    /// The id of the acceptor.
    pub from: InstanceId,
    /// The acceptor's nonce.
    pub nonce: Nonce,
}

/// Computes or checks the tags of the frames in one direction of one link.
///
/// Each tag covers the sequence number of its frame, so both ends must process all frames in order.
#[derive(Debug)]
pub struct LinkSeal {
    key: [u8; TAG_BYTES],
    sequence: u64,
}

impl LinkSeal {
    /// Derives the key of the link from the peer key, the two nonces and the ids of both ends.
    pub fn new(peer_key: &[u8], hello: &Hello, welcome: &Welcome) -> Self {
        let parts: [&[u8]; 5] = [
            b"link",
            &hello.nonce,
            &welcome.nonce,
            hello.from.as_str().as_bytes(),
            welcome.from.as_str().as_bytes(),
        ];
        Self {
            key: compute_tag(peer_key, &parts),
            sequence: 0,
        }
    }

    /// Returns the tag of the next frame to send.
    pub fn seal(&mut self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let sequence = self.next_sequence();
        compute_tag(&self.key, &[&sequence, payload])
    }

    /// Checks the tag of the next received frame.
    ///
    /// # Errors
    /// Returns [`WireError::Tag`] if the frame is forged or damaged, or if a frame was replayed, lost or
    /// reordered.
    pub fn open(&mut self, payload: &[u8], received: &[u8]) -> Result<(), WireError> {
        let sequence = self.next_sequence();
        verify_tag(&self.key, &[&sequence, payload], received)
    }

    fn next_sequence(&mut self) -> [u8; 8] {
        self.sequence += 1;
        self.sequence.to_le_bytes()
    }
}
