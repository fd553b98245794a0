//! Reads and writes the record of the membership view in the platform's store.

use guavacart_platform::store::{Store, StoreError, WriteResult};
use guavacart_scheduler::membership::{MembershipEvent, Swap, View};
use guavacart_types::{Revision, Timestamp};
use guavacart_wire::{decode_view, encode_view};
use tracing::warn;

/// The record's key.
const VIEW_KEY: &str = "view";

/// Reads the view; `requested_at` is when the reducer asked for the read.
pub(crate) fn read<S: Store>(store: &S, requested_at: Timestamp) -> MembershipEvent {
    let record = match store.get(VIEW_KEY) {
        Ok(Some(record)) => record,
        Ok(None) => {
            return MembershipEvent::ViewRead {
                requested_at,
                view: None,
                revision: Revision::default(),
            };
        }
        Err(err) => {
            warn!(event = "view_unread", error = %err, "the membership view could not be read from the store");
            return MembershipEvent::ViewReadFailed;
        }
    };
    match decode_view(&record.value) {
        Ok(view) => MembershipEvent::ViewRead {
            requested_at,
            view: Some(view),
            revision: record.revision,
        },
        Err(err) => {
            warn!(event = "view_damaged", key = VIEW_KEY, error = %err, "the record of the membership view cannot be decoded");
            MembershipEvent::ViewReadFailed
        }
    }
}

/// Writes the view if the record is still at the revision `expect`.
pub(crate) fn swap<S: Store>(store: &S, expect: Revision, view: View) -> MembershipEvent {
    let record = match encode_view(view.clone()) {
        Ok(record) => record,
        Err(err) => {
            warn!(event = "view_unencoded", error = %err, "the proposed membership view cannot be encoded");
            return MembershipEvent::ViewSwapEnded(Swap::Conflict);
        }
    };
    let swap = match store.put(VIEW_KEY, &record, expect) {
        Ok(WriteResult::Written(revision)) => Swap::Written(Box::new(view), revision),
        Ok(WriteResult::Conflict(_)) => Swap::Conflict,
        Err(StoreError::Unavailable { .. } | StoreError::TooLarge { .. }) => Swap::Conflict,
        Err(StoreError::Unknown { .. }) => Swap::Unknown,
    };
    MembershipEvent::ViewSwapEnded(swap)
}
