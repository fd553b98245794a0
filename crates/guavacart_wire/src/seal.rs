//! Keyed tags: who holds the peer key, and nothing replayed.

use guavacart_types::{Incarnation, InstanceId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::WireError;

/// Bytes of a tag: HMAC-SHA-256 cut to half.
pub const TAG_BYTES: usize = 16;
/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Random bytes that make each link's key its own.
pub type Nonce = [u8; NONCE_BYTES];

/// The tag of `parts` under `key`.
pub(crate) fn tag(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    for part in parts {
        mac.update(part);
    }
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}

/// Compares a received tag in constant time.
pub(crate) fn verify(key: &[u8], parts: &[&[u8]], received: &[u8]) -> Result<(), WireError> {
    let expected = tag(key, parts);
    if bool::from(expected.ct_eq(received)) {
        Ok(())
    } else {
        Err(WireError::Tag)
    }
}

/// The dialler's first message on a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The dialler.
    pub from: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The instance that it means to reach.
    pub to: InstanceId,
    /// The dialler's nonce.
    pub nonce: Nonce,
}

/// The acceptor's answer to a [`Hello`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Welcome {
    /// The acceptor.
    pub from: InstanceId,
    /// The acceptor's nonce.
    pub nonce: Nonce,
}

/// Seals or opens the frames of one direction of one link, in order.
#[derive(Debug)]
pub struct LinkSeal {
    key: [u8; TAG_BYTES],
    sequence: u64,
}

impl LinkSeal {
    /// The seal that both ends derive from the peer key and the two nonces.
    pub fn new(peer_key: &[u8], hello: &Hello, welcome: &Welcome) -> Self {
        let parts: [&[u8]; 5] = [
            b"link",
            &hello.nonce,
            &welcome.nonce,
            hello.from.as_str().as_bytes(),
            welcome.from.as_str().as_bytes(),
        ];
        Self {
            key: tag(peer_key, &parts),
            sequence: 0,
        }
    }

    /// The tag of the next frame.
    pub fn seal(&mut self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let sequence = self.next();
        tag(&self.key, &[&sequence, payload])
    }

    /// Checks the next frame's tag, so that a replayed, lost or reordered frame is found.
    pub fn open(&mut self, payload: &[u8], received: &[u8]) -> Result<(), WireError> {
        let sequence = self.next();
        verify(&self.key, &[&sequence, payload], received)
    }

    fn next(&mut self) -> [u8; 8] {
        self.sequence += 1;
        self.sequence.to_le_bytes()
    }
}
