//! Encoding of the messages between entry instances and of the records that they store.
//!
//! Messages and records begin with a version byte, followed by a payload encoded with `postcard`.
//! The link greetings ([`Hello`] and [`Welcome`]) have no version byte. `postcard` encodes by
//! position, so the order and types of fields and variants are part of the format; field and variant
//! names are not.

mod batch;
mod datagram;
mod error;
mod frame;
mod heartbeat;
mod journal;
mod request;
mod seal;
mod view_record;

pub use batch::{decode_peer_batch, encode_peer_batch};
pub use datagram::{open_datagram, seal_datagram};
pub use error::WireError;
pub use frame::{Frame, MAX_FRAME_BYTES, Question};
pub use heartbeat::HeartbeatWire;
pub use journal::{
    Manifest, decode_manifest, decode_record, decode_snapshot, encode_manifest, encode_record,
    encode_snapshot,
};
pub use request::{AnswerWire, ForwardWire, OutcomeWire, RequestHeadWire, RequestMessageWire};
pub use seal::{Hello, LinkSeal, NONCE_BYTES, Nonce, TAG_BYTES, Welcome};
pub use view_record::{decode_view, encode_view};

/// Version of the messages between entry instances and of the stored view.
///
/// Journal records and snapshots have a version of their own.
pub const VERSION: u8 = 1;
