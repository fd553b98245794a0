//! Heartbeats as UDP datagrams: version, payload, tag.

use guavacart_scheduler::membership::Heartbeat;

use crate::{
    HeartbeatWire, TAG_BYTES, VERSION, WireError,
    seal::{tag, verify},
};

/// Stands between the receiver's id, which never holds it, and the message.
const SEPARATOR: [u8; 1] = [0];

/// Encodes a heartbeat for the instance `to`.
///
/// # Errors
/// Returns [`WireError::Payload`] if the heartbeat cannot be encoded.
pub fn seal_datagram(key: &[u8], to: &str, heartbeat: Heartbeat) -> Result<Vec<u8>, WireError> {
    let mut buf = vec![VERSION];
    buf.extend(postcard::to_stdvec(&HeartbeatWire::from(heartbeat))?);
    let tag = tag(key, &[to.as_bytes(), &SEPARATOR, &buf]);
    buf.extend(tag);
    Ok(buf)
}

/// Decodes a heartbeat that was sent to the instance `me`.
///
/// A replayed heartbeat passes here; its receiver drops it by its sender's clock.
///
/// # Errors
/// Returns why the datagram was not taken.
pub fn open_datagram(key: &[u8], me: &str, datagram: &[u8]) -> Result<Heartbeat, WireError> {
    let len = datagram.len();
    if len < 1 + TAG_BYTES {
        return Err(WireError::Short { len });
    }
    let (buf, received) = datagram.split_at(len - TAG_BYTES);
    verify(key, &[me.as_bytes(), &SEPARATOR, buf], received)?;
    let found = buf[0];
    if found != VERSION {
        let expected = VERSION;
        return Err(WireError::Version { found, expected });
    }
    let wire: HeartbeatWire = postcard::from_bytes(&buf[1..])?;
    Heartbeat::try_from(wire)
}
