//! The record that is stored under one key: the current configuration, earlier configurations and
//! the ids of accepted patches.

use std::collections::VecDeque;

use guavacart_types::{ConfigNumber, PatchId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::{
    configuration::Configuration,
    diff::diff,
    patch::{Patch, PatchError},
    validate::{Problem, validate},
};

/// Key of the record in the store.
pub const CONFIG_KEY: &str = "config/current";
/// Maximum size of the record, in bytes: the largest value that the store accepts.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Bytes between two configurations in the record: the comma of the JSON array.
const SEPARATOR_BYTES: usize = 1;
/// Maximum number of earlier configurations that are kept.
const MAX_VERSIONS: usize = 64;
/// Maximum number of patch ids that are kept.
const MAX_PATCH_IDS: usize = 512;

/// The current configuration, earlier configurations and the accepted patches.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// The current configuration.
    pub current: Configuration,
    /// Earlier configurations, oldest first, without those dropped for space.
    versions: VecDeque<Configuration>,
    /// Accepted patches, oldest first.
    patches: VecDeque<AppliedPatch>,
}

/// An accepted patch: its id, the number of the configuration that it made, and a hash of its
/// contents that distinguishes a repeat of the patch from another patch with the same id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct AppliedPatch {
    id: PatchId,
    number: ConfigNumber,
    digest: u64,
}

/// Result of accepting a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum Accepted {
    /// The patch is accepted; this is the new record, which the caller must write to the store.
    New(ConfigRecord),
    /// The patch was accepted before, as the configuration with this number.
    AlreadyAccepted(ConfigNumber),
}

/// Reason why bytes are not a valid record.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RecordError {
    /// The bytes cannot be decoded.
    #[error("{CONFIG_KEY} cannot be read: {cause}")]
    Unreadable {
        /// Message of the decoder.
        cause: SmolStr,
    },
    /// The current configuration of the record breaks a rule.
    #[error("{CONFIG_KEY} holds a configuration that breaks {} rules", problems.len())]
    Invalid {
        /// All problems of the configuration.
        problems: Vec<Problem>,
    },
    /// The numbers of the configurations in the record do not increase.
    #[error("{CONFIG_KEY} holds number {found} after {before}")]
    Order {
        /// Number that is too low.
        found: ConfigNumber,
        /// Number of the configuration before it.
        before: ConfigNumber,
    },
}

impl ConfigRecord {
    /// Returns the configuration with a number, or `None` if it is no longer kept or does not exist
    /// yet.
    pub fn configuration(&self, number: ConfigNumber) -> Option<&Configuration> {
        if number == self.current.number {
            return Some(&self.current);
        }
        self.versions.iter().find(|kept| kept.number == number)
    }

    /// Returns the number of the oldest configuration that is kept.
    pub fn oldest_number(&self) -> ConfigNumber {
        let oldest = self.versions.front().unwrap_or(&self.current);
        oldest.number
    }

    /// Applies a patch to the record. A repeat of an accepted patch changes nothing.
    ///
    /// # Errors
    /// Returns the reason why the patch is rejected; for a conflict, with the keys that changed
    /// since the base of the patch.
    pub fn accept(&self, patch: &Patch) -> Result<Accepted, PatchError> {
        if let Some(applied) = self.patches.iter().find(|applied| applied.id == patch.id) {
            return applied.accept_repeat(patch);
        }
        if patch.base != self.current.number {
            return Err(self.conflict(patch.base));
        }
        let next = patch.apply(&self.current)?;
        Ok(Accepted::New(self.with_accepted(next, patch)))
    }

    /// Encodes the record for the store. Drops the oldest configurations if the record would exceed
    /// the largest value that the store accepts.
    pub fn encode(&self) -> Vec<u8> {
        let without_versions = Self {
            versions: VecDeque::new(),
            ..self.clone()
        };
        let mut free_bytes = MAX_RECORD_BYTES.saturating_sub(json(&without_versions).len());
        let mut versions = VecDeque::new();
        for version in self.versions.iter().rev() {
            let len = json(version).len() + SEPARATOR_BYTES;
            let Some(left) = free_bytes.checked_sub(len) else {
                break;
            };
            free_bytes = left;
            versions.push_front(version.clone());
        }
        json(&Self {
            versions,
            ..without_versions
        })
    }

    /// Decodes a record from the store and validates it.
    ///
    /// # Errors
    /// Returns the reason why the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let record: Self =
            serde_json::from_slice(bytes).map_err(|err| RecordError::Unreadable {
                cause: SmolStr::from(err.to_string()),
            })?;
        validate(&record.current).map_err(|problems| RecordError::Invalid { problems })?;
        record.check_order()?;
        Ok(record)
    }

    fn check_order(&self) -> Result<(), RecordError> {
        let numbers: Vec<_> = self
            .versions
            .iter()
            .chain([&self.current])
            .map(|kept| kept.number)
            .collect();
        for pair in numbers.windows(2) {
            let (before, found) = (pair[0], pair[1]);
            if found <= before {
                return Err(RecordError::Order { found, before });
            }
        }
        Ok(())
    }

    fn conflict(&self, base: ConfigNumber) -> PatchError {
        let current = self.current.number;
        let ids_dropped = self.patches.len() == MAX_PATCH_IDS;
        if let Some(first) = self.patches.front()
            && ids_dropped
            && base.next() < first.number
        {
            let oldest = first.number;
            return PatchError::TooOld {
                base,
                oldest,
                current,
            };
        }
        let changed = self.configuration(base).map(|base_configuration| {
            let changes = diff(base_configuration, &self.current);
            changes.into_iter().map(|change| change.key).collect()
        });
        PatchError::Conflict {
            base,
            current,
            changed,
        }
    }

    fn with_accepted(&self, next: Configuration, patch: &Patch) -> Self {
        let mut record = self.clone();
        record.patches.push_back(AppliedPatch {
            id: patch.id.clone(),
            number: next.number,
            digest: patch.digest(),
        });
        record.versions.push_back(record.current);
        record.current = next;
        let excess = record.versions.len().saturating_sub(MAX_VERSIONS);
        record.versions.drain(..excess);
        let excess = record.patches.len().saturating_sub(MAX_PATCH_IDS);
        record.patches.drain(..excess);
        record
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a record has only text keys and finite numbers")
}

impl AppliedPatch {
    fn accept_repeat(&self, patch: &Patch) -> Result<Accepted, PatchError> {
        if self.digest == patch.digest() {
            return Ok(Accepted::AlreadyAccepted(self.number));
        }
        Err(PatchError::IdReused {
            id: self.id.clone(),
            number: self.number,
        })
    }
}
