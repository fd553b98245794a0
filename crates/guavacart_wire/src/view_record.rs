//! The view as it stands in the store: version, payload.

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

/// Decodes the store's record of the view.
///
/// # Errors
/// Returns why the record was not taken.
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
