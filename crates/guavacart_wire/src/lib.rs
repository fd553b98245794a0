//! Messages between entry instances and journal records, versioned and encoded by `postcard`.

mod datagram;
mod error;
mod frame;
mod heartbeat;
mod request;
mod seal;
mod view_record;

pub use datagram::{open_datagram, seal_datagram};
pub use error::WireError;
pub use frame::{Frame, MAX_FRAME_BYTES, Question};
pub use heartbeat::HeartbeatWire;
pub use request::{AnswerWire, ForwardWire, HeadWire, OutcomeWire, PeerRequestWire};
pub use seal::{Hello, LinkSeal, NONCE_BYTES, Nonce, TAG_BYTES, Welcome};
pub use view_record::{decode_view, encode_view};

/// Version of every message between entry instances.
pub const VERSION: u8 = 1;
