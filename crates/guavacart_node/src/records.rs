//! The product's own records in the store.

#[cfg(test)]
pub(crate) mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;

/// Who owns; its epoch is the revision at which this record was created.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRecord {
    /// The owner's name, for logs.
    pub(crate) name: SmolStr,
    /// Where its links are.
    pub(crate) links: SocketAddr,
}

/// The bytes of a record; these types hold nothing that cannot be encoded.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_else(|err| {
        tracing::error!(cause = %err, "a record cannot be encoded; it is written empty");
        Vec::new()
    })
}

/// The record that the bytes hold, if they hold one of this version.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
