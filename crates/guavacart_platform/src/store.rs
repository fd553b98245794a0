//! Interface of the platform's key-value store.

use std::time::Duration;

use guavacart_types::Revision;
use smol_str::SmolStr;
use thiserror::Error;

/// A value and its revision.
///
/// The revision of a key changes with each write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The bytes of the value.
    pub value: Vec<u8>,
    /// The revision at which the value was written.
    pub revision: Revision,
}

/// The result of a conditional write or delete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write or delete took effect; the key now has this revision.
    Written(Revision),
    /// Nothing changed, since the key has this revision and not the expected one; 0 if the key is
    /// absent.
    Conflict(Revision),
}

/// One key with its value and revision, as returned by a range read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The whole key, including the prefix.
    pub key: SmolStr,
    /// The value of the key and its revision.
    pub versioned: Versioned,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The store was not reached or refused the call; nothing was written.
    #[error("the store is unavailable for {key}: {cause}; the call is repeated")]
    Unavailable {
        /// The key, or the prefix of a range read.
        key: SmolStr,
        /// What the connection or the store reported.
        cause: SmolStr,
    },
    /// The call may have been sent and no valid response came; a write may have taken effect.
    #[error("the store's answer for {key} was lost: {cause}; read the key to learn what stands")]
    Unknown {
        /// The key, or the prefix of a range read.
        key: SmolStr,
        /// What is wrong with the connection or the response.
        cause: SmolStr,
    },
    /// The value is longer than [`MAX_VALUE_BYTES`]; nothing was written.
    #[error("the value for {key} has {len} bytes; the store takes at most {limit}")]
    TooLarge {
        /// The key that was to be written.
        key: SmolStr,
        /// The value's length in bytes.
        len: usize,
        /// The store's limit in bytes.
        limit: usize,
    },
}

/// Maximum length of a value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Access to the platform's key-value store.
///
/// Calls block the thread. Several threads can make calls at the same time.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the value of a key; `None` if the key is absent.
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes a key if it has the revision `expect`; revision 0 means that the key must be absent.
    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<WriteResult, StoreError>;

    /// Deletes a key if it has the revision `expect`.
    fn delete(&self, key: &str, expect: Revision) -> Result<WriteResult, StoreError>;

    /// Reads up to `limit` keys that begin with `prefix` and are greater than `after`, in ascending order.
    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError>;

    /// Waits until the revision of a key is greater than `after` and returns the value; `None` if `wait`
    /// passes first.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;
}
