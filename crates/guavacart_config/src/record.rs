//! The record under one key of the store: the configuration, its history and the patch ids.

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
/// Longest record, in bytes: the longest value that the store takes.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Bytes between two configurations in the record.
const SEPARATOR_BYTES: usize = 1;
/// Most earlier configurations kept.
const MAX_VERSIONS: usize = 64;
/// Most patch ids kept.
const MAX_PATCHES: usize = 512;

/// The current configuration, earlier ones and the patches that made them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// The configuration in force.
    pub current: Configuration,
    /// Earlier configurations, oldest first.
    versions: VecDeque<Configuration>,
    /// Accepted patches, oldest first.
    patches: VecDeque<AppliedPatch>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct AppliedPatch {
    id: PatchId,
    number: ConfigNumber,
    digest: u64,
}

/// What became of a patch that is in force.
#[derive(Clone, Debug, PartialEq)]
pub enum Accepted {
    /// The patch makes this record, which is still to be written.
    New(ConfigRecord),
    /// The record already holds the patch, under this number.
    Before(ConfigNumber),
}

/// Why bytes are not a record.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RecordError {
    /// The bytes cannot be read.
    #[error("{CONFIG_KEY} cannot be read: {cause}")]
    Unreadable {
        /// What the decoder said.
        cause: SmolStr,
    },
    /// The record's configuration breaks a rule.
    #[error("{CONFIG_KEY} holds a configuration that breaks {} rules", problems.len())]
    Invalid {
        /// Each key with its fault.
        problems: Vec<Problem>,
    },
    /// The record's numbers are out of order.
    #[error("{CONFIG_KEY} holds number {found} after {before}")]
    Order {
        /// The number that is too low.
        found: ConfigNumber,
        /// The number before it.
        before: ConfigNumber,
    },
}

impl ConfigRecord {
    /// A configuration by its number; none if it is no longer kept or not yet made.
    pub fn version(&self, number: ConfigNumber) -> Option<&Configuration> {
        if number == self.current.number {
            return Some(&self.current);
        }
        self.versions.iter().find(|kept| kept.number == number)
    }

    /// The number of the oldest configuration kept.
    pub fn oldest(&self) -> ConfigNumber {
        let oldest = self.versions.front().unwrap_or(&self.current);
        oldest.number
    }

    /// What a patch makes of the record.
    ///
    /// # Errors
    /// Why the patch is rejected, with the keys that changed since its base.
    pub fn accept(&self, patch: &Patch) -> Result<Accepted, PatchError> {
        if let Some(applied) = self.patches.iter().find(|applied| applied.id == patch.id) {
            return applied.repeated_by(patch);
        }
        if patch.base != self.current.number {
            return Err(self.conflict(patch.base));
        }
        let next = patch.apply(&self.current)?;
        Ok(Accepted::New(self.followed_by(next, patch)))
    }

    /// The bytes that the store keeps; the oldest versions go where they would not fit.
    pub fn encode(&self) -> Vec<u8> {
        let without = Self {
            versions: VecDeque::new(),
            ..self.clone()
        };
        let mut room = MAX_RECORD_BYTES.saturating_sub(json(&without).len());
        let mut versions = VecDeque::new();
        for version in self.versions.iter().rev() {
            let len = json(version).len() + SEPARATOR_BYTES;
            let Some(left) = room.checked_sub(len) else {
                break;
            };
            room = left;
            versions.push_front(version.clone());
        }
        json(&Self {
            versions,
            ..without
        })
    }

    /// Reads the bytes that the store keeps.
    ///
    /// # Errors
    /// Why the bytes are not a record.
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
        let forgotten = self.patches.len() == MAX_PATCHES;
        if let Some(first) = self.patches.front()
            && forgotten
            && base.next() < first.number
        {
            let oldest = first.number;
            return PatchError::TooOld {
                base,
                oldest,
                current,
            };
        }
        let changed = self.version(base).map(|seen| {
            let changes = diff(seen, &self.current);
            changes.into_iter().map(|change| change.key).collect()
        });
        PatchError::Conflict {
            base,
            current,
            changed,
        }
    }

    fn followed_by(&self, next: Configuration, patch: &Patch) -> Self {
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
        let excess = record.patches.len().saturating_sub(MAX_PATCHES);
        record.patches.drain(..excess);
        record
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a record has only text keys and finite numbers")
}

impl AppliedPatch {
    fn repeated_by(&self, patch: &Patch) -> Result<Accepted, PatchError> {
        if self.digest == patch.digest() {
            return Ok(Accepted::Before(self.number));
        }
        Err(PatchError::IdReused {
            id: self.id.clone(),
            number: self.number,
        })
    }
}
