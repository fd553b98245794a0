//! Calls of submitters to this instance that wait for the owners of cells.

use std::collections::BTreeMap;

use guavacart_types::{CallId, Span, Timestamp};

use super::call::{JobReply, NotAccepted};

/// How long a call waits for the owners; longer than an owner waits for a change to become durable
/// before it answers.
const CALL_TIMEOUT: Span = Span::secs(6);

/// A call that waits for the answers of one or several cells.
#[derive(Debug)]
struct PendingCall {
    deadline: Timestamp,
    remaining_parts: usize,
    merged: Option<JobReply>,
    /// True if the call changes nothing.
    is_read_only: bool,
}

/// All calls at this instance that wait for answers.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    pending: BTreeMap<CallId, PendingCall>,
}

impl PendingCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts to wait for `parts` answers.
    pub(super) fn begin(&mut self, now: Timestamp, call: CallId, parts: usize, is_read_only: bool) {
        let pending = PendingCall {
            deadline: now + CALL_TIMEOUT,
            remaining_parts: parts,
            merged: None,
            is_read_only,
        };
        self.pending.insert(call, pending);
    }

    /// Adds one answer; returns the merged answer after the last one.
    pub(super) fn add_answer(&mut self, call: CallId, reply: JobReply) -> Option<JobReply> {
        let pending = self.pending.get_mut(&call)?;
        pending.remaining_parts -= 1;
        pending.merged = Some(match pending.merged.take() {
            None => reply,
            Some(merged) => merge(merged, reply),
        });
        if pending.remaining_parts > 0 {
            return None;
        }
        self.pending.remove(&call)?.merged
    }

    /// Removes the calls whose deadline has passed, and returns the answer to each.
    ///
    /// A call that changes nothing was not accepted; for any other call the outcome is unknown.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<(CallId, JobReply)> {
        let expired = self.pending.extract_if(.., |_, call| now >= call.deadline);
        let replies = expired.map(|(call, pending)| {
            let reply = match pending.is_read_only {
                true => JobReply::NotAccepted(NotAccepted::NoOwner),
                false => JobReply::Unknown,
            };
            (call, reply)
        });
        replies.collect()
    }
}

/// Merges the answers to two parts of one call.
///
/// If one part of a list failed, the whole call failed. If one part of a cancellation failed, the
/// outcome of the whole call is unknown.
fn merge(one: JobReply, other: JobReply) -> JobReply {
    match (one, other) {
        (JobReply::Listing(mut jobs), JobReply::Listing(more)) => {
            jobs.extend(more);
            JobReply::Listing(jobs)
        }
        (JobReply::Cancelled(mut jobs), JobReply::Cancelled(more)) => {
            jobs.extend(more);
            JobReply::Cancelled(jobs)
        }
        (JobReply::Cancelled(_), _) | (_, JobReply::Cancelled(_)) => JobReply::Unknown,
        (JobReply::Listing(_), failed) | (failed, _) => failed,
    }
}
