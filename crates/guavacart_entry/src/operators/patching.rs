//! Submits a patch to the configuration.
//!
//! Each round reads the record, applies the patch and writes the record by compare-and-swap. If the
//! answer to a write is lost, the next round finds out by the patch's id whether it was applied.

use std::{thread, time::Duration};

use guavacart_config::{
    self as config, CONFIG_KEY, Change, ConfigRecord, Patch, PatchError, RecordError, diff,
};
use guavacart_platform::store::{Store, StoreError, WriteResult};
use guavacart_types::{ConfigNumber, PatchId, Revision};
use thiserror::Error;

use crate::operators::configuration::{ReadError, read_record};

/// Most rounds of reading and writing before the submission fails.
const MAX_ROUNDS: u32 = 8;
/// Pause before each further round.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// A patch that was accepted, or would be.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// The number of the configuration that the patch created or would create.
    pub number: ConfigNumber,
    /// The keys that the patch would change; set for a dry run only.
    pub changes: Option<Vec<Change>>,
}

/// Why a patch is not known to be accepted.
#[derive(Clone, Debug, Error)]
pub enum SubmitError {
    /// The patch was rejected and changed nothing.
    #[error(transparent)]
    Rejected(#[from] PatchError),
    /// The store failed before anything was written; the patch changed nothing.
    #[error("{0}; the patch was not applied")]
    Unavailable(StoreError),
    /// The record is damaged; the patch changed nothing.
    #[error("{0}; the patch was not applied")]
    Record(RecordError),
    /// In every round another patch was written first; the patch changed nothing.
    #[error("other patches came first; the patch was not applied; submit it again")]
    Contended,
    /// The answer to a write was lost, and no later round could determine the result.
    #[error("{cause}; patch {id} may have been accepted; submit it again with the same id")]
    Unknown {
        /// The patch's id.
        id: PatchId,
        /// The error of the last write whose answer was lost.
        cause: StoreError,
    },
}

/// The result of one round of reading and writing.
enum Round {
    /// The patch is accepted, by this round or an earlier one.
    Done(Accepted),
    /// The record changed between the read and the write.
    Raced,
    /// The store failed before anything was written.
    Failed(StoreError),
    /// The write may have taken effect, now or later.
    AnswerLost(StoreError),
}

/// Submits a patch; if it was already accepted, returns the same number again.
///
/// Blocks during store calls and the pauses between rounds.
///
/// # Errors
/// Returns why the patch is not known to be accepted.
pub fn submit<S: Store>(store: &S, patch: &Patch) -> Result<Accepted, SubmitError> {
    // The last write whose answer was lost; if there is one, a later failure does not show that the
    // patch was not applied.
    let mut answer_lost = None;
    let mut failed = None;
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            thread::sleep(ROUND_PAUSE);
        }
        match run_round(store, patch)? {
            Round::Done(accepted) => return Ok(accepted),
            Round::Raced => failed = None,
            Round::Failed(err) => failed = Some(err),
            Round::AnswerLost(err) => answer_lost = Some(err),
        }
    }
    let id = patch.id.clone();
    Err(match (answer_lost, failed) {
        (Some(cause), _) => SubmitError::Unknown { id, cause },
        (None, Some(err)) => SubmitError::Unavailable(err),
        (None, None) => SubmitError::Contended,
    })
}

/// Validates a patch against the record and returns what it would change.
///
/// # Errors
/// Returns why the patch would be rejected, or why the record cannot be read.
pub fn dry_run<S: Store>(store: &S, patch: &Patch) -> Result<Accepted, SubmitError> {
    let (record, _) = read_record(store).map_err(to_submit_error)?;
    match record.accept(patch)? {
        config::Accepted::AlreadyAccepted(number) => Ok(Accepted {
            number,
            changes: Some(Vec::new()),
        }),
        config::Accepted::New(next) => Ok(Accepted {
            number: next.current.number,
            changes: Some(diff(&record.current, &next.current)),
        }),
    }
}

/// Reads the record, applies the patch and tries to write the result.
fn run_round<S: Store>(store: &S, patch: &Patch) -> Result<Round, SubmitError> {
    let (record, revision) = match read_record(store) {
        Ok(found) => found,
        Err(ReadError::Store(err)) => return Ok(Round::Failed(err)),
        Err(ReadError::Record(err)) => return Err(SubmitError::Record(err)),
    };
    match record.accept(patch)? {
        config::Accepted::AlreadyAccepted(number) => Ok(Round::Done(accepted(number))),
        config::Accepted::New(next) => Ok(write_record(store, &next, revision)),
    }
}

fn write_record<S: Store>(store: &S, next: &ConfigRecord, revision: Revision) -> Round {
    match store.put(CONFIG_KEY, &next.encode(), revision) {
        Ok(WriteResult::Written(_)) => Round::Done(accepted(next.current.number)),
        Ok(WriteResult::Conflict(_)) => Round::Raced,
        Err(err @ StoreError::Unknown { .. }) => Round::AnswerLost(err),
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

fn to_submit_error(err: ReadError) -> SubmitError {
    match err {
        ReadError::Store(err) => SubmitError::Unavailable(err),
        ReadError::Record(err) => SubmitError::Record(err),
    }
}
