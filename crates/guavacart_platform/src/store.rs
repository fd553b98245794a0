//! The platform's key-value store.

use std::time::Duration;

use guavacart_types::Revision;
use smol_str::SmolStr;
use thiserror::Error;

/// A value and the revision at which it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The value.
    pub value: Vec<u8>,
    /// Its revision.
    pub revision: Revision,
}

/// The store's answer to a conditional write or delete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swapped {
    /// The write took effect at this revision.
    Written(Revision),
    /// The key is at another revision; nothing was written.
    Conflict(Revision),
}

/// A key, its revision and its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: SmolStr,
    /// What stands there.
    pub versioned: Versioned,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The store refused the call or was not reached; nothing was written.
    #[error("the store is unavailable for {key}: {cause}; the call is repeated")]
    Unavailable {
        /// The key.
        key: SmolStr,
        /// What the connection or the store said.
        cause: SmolStr,
    },
    /// The call was sent and no whole answer came; a write may have taken effect.
    #[error("the store's answer for {key} was lost: {cause}; read the key to learn what stands")]
    Unknown {
        /// The key.
        key: SmolStr,
        /// What became of the connection.
        cause: SmolStr,
    },
    /// The value is larger than the store takes.
    #[error("the value for {key} has {len} bytes; the store takes at most {limit}")]
    TooLarge {
        /// The key.
        key: SmolStr,
        /// The value's length in bytes.
        len: usize,
        /// The store's limit in bytes.
        limit: usize,
    },
}

/// Longest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The platform's key-value store; calls block and are safe to make from many threads.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes a key if it is at the revision `expect`; 0 stands for an absent key.
    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<Swapped, StoreError>;

    /// Deletes a key if it is at the revision `expect`.
    fn delete(&self, key: &str, expect: Revision) -> Result<Swapped, StoreError>;

    /// Reads up to `limit` keys that begin with `prefix` and follow `after`, in order.
    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError>;

    /// Waits until a key's revision is greater than `after`; none if `wait` passed first.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;
}
