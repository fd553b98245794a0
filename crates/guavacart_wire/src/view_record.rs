//! The stored form of the view: a version byte, then the payload.

use guavacart_scheduler::membership::View;

use crate::{VERSION, WireError, heartbeat::ViewWire};

/// Encodes the view for the store.
///
/// # Errors
/// Returns [`WireError::Payload`] if the view cannot be encoded.
pub fn encode_view(view: View) -> Result<Vec<u8>, WireError> {
    let wire = ViewWire::from(view);
    Ok(postcard::to_extend(&wire, vec![VERSION])?)
}

/// Decodes the stored view.
///
/// # Errors
/// Returns [`WireError::Short`] for an empty record, [`WireError::Version`] for another version,
/// [`WireError::Payload`] if the payload cannot be decoded and [`WireError::Invalid`] for an earlier view
/// whose number is not less than that of the view.
pub fn decode_view(record: &[u8]) -> Result<View, WireError> {
    let Some((&found, payload)) = record.split_first() else {
        return Err(WireError::Short { len: 0 });
    };
    if found != VERSION {
        let expected = VERSION;
        return Err(WireError::Version { found, expected });
    }
    let wire: ViewWire = postcard::from_bytes(payload)?;
    View::try_from(wire)
}
