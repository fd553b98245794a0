//! Submits a patch: read the record, apply, compare-and-swap, settle a lost answer by the patch's id.

use std::{thread, time::Duration};

use guavacart_config::{
    self as config, CONFIG_KEY, Change, ConfigRecord, Patch, PatchError, RecordError, diff,
};
use guavacart_platform::store::{Store, StoreError, Swapped};
use guavacart_types::{ConfigNumber, PatchId, Revision};
use thiserror::Error;

use crate::operators::configuration::{ReadError, read_record};

/// Rounds of reading and writing before a patch is given up.
const ATTEMPTS: u32 = 8;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(100);

/// A patch that is in force, or would be.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Its number.
    pub number: ConfigNumber,
    /// What it would change, for a dry run.
    pub changes: Option<Vec<Change>>,
}

/// Why a patch is not known to be in force.
#[derive(Clone, Debug, Error)]
pub enum SubmitError {
    /// The patch was rejected and changed nothing.
    #[error(transparent)]
    Rejected(#[from] PatchError),
    /// The store was not reached; the patch changed nothing.
    #[error("{0}; the patch was not applied")]
    Unavailable(StoreError),
    /// The record is damaged; the patch changed nothing.
    #[error("{0}; the patch was not applied")]
    Record(RecordError),
    /// Other patches came first each time; the patch changed nothing.
    #[error("other patches came first; the patch was not applied; submit it again")]
    Contended,
    /// A write was sent whose answer was lost, and the record cannot be read.
    #[error("{cause}; patch {id} may have been accepted; submit it again with the same id")]
    Unknown {
        /// The patch.
        id: PatchId,
        /// What the store's client said last.
        cause: StoreError,
    },
}

/// What one round of reading and writing came to.
enum Round {
    Done(Accepted),
    /// The record changed between the read and the write.
    Lost,
    /// The store failed before anything was written.
    Failed(StoreError),
    /// The write may have taken effect, now or later.
    Unsettled(StoreError),
}

/// Submits a patch; a repeat of an accepted one answers with the same number.
///
/// Blocks for the store's calls and the pauses between them.
///
/// # Errors
/// Why the patch is not known to be in force.
pub fn submit<S: Store>(store: &S, patch: &Patch) -> Result<Accepted, SubmitError> {
    // The last lost answer; while there is one, a failure says nothing of the patch's fate.
    let mut unsettled = None;
    let mut failed = None;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            thread::sleep(PAUSE);
        }
        match round(store, patch)? {
            Round::Done(accepted) => return Ok(accepted),
            Round::Lost => failed = None,
            Round::Failed(err) => failed = Some(err),
            Round::Unsettled(err) => unsettled = Some(err),
        }
    }
    let id = patch.id.clone();
    Err(match (unsettled, failed) {
        (Some(cause), _) => SubmitError::Unknown { id, cause },
        (None, Some(err)) => SubmitError::Unavailable(err),
        (None, None) => SubmitError::Contended,
    })
}

/// Validates a patch against the record and tells what it would change.
///
/// # Errors
/// Why it would be rejected, or why the record cannot be read.
pub fn dry_run<S: Store>(store: &S, patch: &Patch) -> Result<Accepted, SubmitError> {
    let (record, _) = read_record(store).map_err(not_read)?;
    match record.accept(patch)? {
        config::Accepted::Before(number) => Ok(Accepted {
            number,
            changes: Some(Vec::new()),
        }),
        config::Accepted::New(next) => Ok(Accepted {
            number: next.current.number,
            changes: Some(diff(&record.current, &next.current)),
        }),
    }
}

fn round<S: Store>(store: &S, patch: &Patch) -> Result<Round, SubmitError> {
    let (record, revision) = match read_record(store) {
        Ok(found) => found,
        Err(ReadError::Store(err)) => return Ok(Round::Failed(err)),
        Err(ReadError::Record(err)) => return Err(SubmitError::Record(err)),
    };
    match record.accept(patch)? {
        config::Accepted::Before(number) => Ok(Round::Done(accepted(number))),
        config::Accepted::New(next) => Ok(write(store, &next, revision)),
    }
}

fn write<S: Store>(store: &S, next: &ConfigRecord, revision: Revision) -> Round {
    match store.put(CONFIG_KEY, &next.encode(), revision) {
        Ok(Swapped::Written(_)) => Round::Done(accepted(next.current.number)),
        Ok(Swapped::Conflict(_)) => Round::Lost,
        Err(err @ StoreError::Unknown { .. }) => Round::Unsettled(err),
        Err(err @ (StoreError::Unavailable { .. } | StoreError::TooLarge { .. })) => {
            Round::Failed(err)
        }
    }
}

fn accepted(number: ConfigNumber) -> Accepted {
    Accepted {
        number,
        changes: None,
    }
}

fn not_read(err: ReadError) -> SubmitError {
    match err {
        ReadError::Store(err) => SubmitError::Unavailable(err),
        ReadError::Record(err) => SubmitError::Record(err),
    }
}
