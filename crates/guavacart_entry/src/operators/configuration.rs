//! Current and earlier configurations and their differences, from the record in the store.

use guavacart_config::{CONFIG_KEY, Change, ConfigRecord, Configuration, RecordError, diff};
use guavacart_platform::store::{Store, StoreError};
use guavacart_types::{ConfigNumber, Revision};
use serde::Serialize;
use thiserror::Error;

use crate::operators::answer::Answer;

/// Why the configuration record cannot be read.
#[derive(Clone, Debug, Error)]
pub(crate) enum ReadError {
    /// A store call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The record is damaged.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// Why a configuration cannot be shown.
#[derive(Clone, Debug, Error)]
pub(crate) enum VersionError {
    /// The record cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The record has no configuration with this number.
    #[error("configuration {number} is not kept; {oldest} to {current} are")]
    NotKept {
        /// The requested number.
        number: ConfigNumber,
        /// The oldest number that is kept.
        oldest: ConfigNumber,
        /// The number of the current configuration.
        current: ConfigNumber,
    },
}

#[derive(Serialize)]
struct Differences {
    from: ConfigNumber,
    to: ConfigNumber,
    changes: Vec<Change>,
}

/// Answers with the configuration `number`.
pub fn version<S: Store>(store: &S, number: ConfigNumber) -> Answer {
    match find_version(store, number) {
        Ok(configuration) => Answer::ok(&configuration),
        Err(err) => err.into(),
    }
}

/// Answers with the keys that differ between two configurations.
pub fn difference<S: Store>(store: &S, from: ConfigNumber, to: ConfigNumber) -> Answer {
    match find_difference(store, from, to) {
        Ok(differences) => Answer::ok(&differences),
        Err(err) => err.into(),
    }
}

fn find_version<S: Store>(store: &S, number: ConfigNumber) -> Result<Configuration, VersionError> {
    let (record, _) = read_record(store)?;
    kept_version(&record, number).cloned()
}

fn find_difference<S: Store>(
    store: &S,
    from: ConfigNumber,
    to: ConfigNumber,
) -> Result<Differences, VersionError> {
    let (record, _) = read_record(store)?;
    let changes = diff(kept_version(&record, from)?, kept_version(&record, to)?);
    Ok(Differences { from, to, changes })
}

/// Reads the record and its revision; returns an empty record if the store has none.
pub(crate) fn read_record<S: Store>(store: &S) -> Result<(ConfigRecord, Revision), ReadError> {
    match store.get(CONFIG_KEY)? {
        None => Ok((ConfigRecord::default(), Revision::default())),
        Some(found) => Ok((ConfigRecord::decode(&found.value)?, found.revision)),
    }
}

fn kept_version(
    record: &ConfigRecord,
    number: ConfigNumber,
) -> Result<&Configuration, VersionError> {
    record
        .configuration(number)
        .ok_or_else(|| VersionError::NotKept {
            number,
            oldest: record.oldest_number(),
            current: record.current.number,
        })
}
