//! Heartbeats as UDP datagrams: a version byte, the payload and an authentication tag.

use guavacart_scheduler::membership::Heartbeat;

use crate::{
    HeartbeatWire, TAG_BYTES, VERSION, WireError,
    seal::{compute_tag, verify_tag},
};

/// Separates the receiver's id from the message in the tag's input; ids never contain this byte.
const SEPARATOR: [u8; 1] = [0];

/// Encodes a heartbeat for the instance `to` and appends a tag computed with `key`.
///
/// The tag covers the receiver's id, so a datagram that reaches another instance is refused.
///
/// # Errors
/// Returns [`WireError::Payload`] if the heartbeat cannot be encoded.
pub fn seal_datagram(key: &[u8], to: &str, heartbeat: Heartbeat) -> Result<Vec<u8>, WireError> {
    let mut buf = vec![VERSION];
    buf.extend(postcard::to_stdvec(&HeartbeatWire::from(heartbeat))?);
    let tag = compute_tag(key, &[to.as_bytes(), &SEPARATOR, &buf]);
    buf.extend(tag);
    Ok(buf)
}

/// Checks the tag of a datagram that was sent to the instance `me` and decodes the heartbeat.
///
/// A replayed heartbeat passes this check. The membership protocol drops it later, because its
/// `sent_at` is not greater than that of the last heartbeat from the same sender.
///
/// # Errors
/// Returns [`WireError::Short`], [`WireError::Tag`], [`WireError::Version`], [`WireError::Payload`] or
/// [`WireError::Invalid`]; the datagram is to be dropped.
pub fn open_datagram(key: &[u8], me: &str, datagram: &[u8]) -> Result<Heartbeat, WireError> {
    let len = datagram.len();
    if len < 1 + TAG_BYTES {
        return Err(WireError::Short { len });
    }
    let (buf, received) = datagram.split_at(len - TAG_BYTES);
    verify_tag(key, &[me.as_bytes(), &SEPARATOR, buf], received)?;
    let found = buf[0];
    if found != VERSION {
        let expected = VERSION;
        return Err(WireError::Version { found, expected });
    }
    let wire: HeartbeatWire = postcard::from_bytes(&buf[1..])?;
    Heartbeat::try_from(wire)
}
