//! The product's own records in the store.

#[cfg(test)]
pub(crate) mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;

/// Names the owner; its epoch is the revision at which this record was created.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRecord {
    /// The owner's name, for logs and to recognise a record of an earlier term of the same node.
    pub(crate) name: SmolStr,
    /// Address of the owner's links.
    pub(crate) links: SocketAddr,
}

/// Encodes a record; none of the record types has a value that cannot be encoded.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_else(|err| {
        tracing::error!(cause = %err, "a record cannot be encoded; it is written empty");
        Vec::new()
    })
}

/// Decodes a record; `None` if the bytes hold no record of this version.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
