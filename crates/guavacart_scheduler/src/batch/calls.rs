//! Submitters' calls that wait at this instance for the owners of cells.

use std::collections::BTreeMap;

use guavacart_types::{CallId, Span, Timestamp};

use super::call::{JobReply, NotAccepted};

/// How long a call waits for the owner; longer than the owner holds an answer.
const CALL_LIMIT: Span = Span::secs(6);

/// A call that waits for one or several cells.
#[derive(Debug)]
struct Waiting {
    deadline: Timestamp,
    remaining: usize,
    merged: Option<JobReply>,
    /// True if the call changes nothing.
    reads: bool,
}

/// All calls that wait here.
#[derive(Debug, Default)]
pub(super) struct Calls {
    waiting: BTreeMap<CallId, Waiting>,
}

impl Calls {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Begins to wait for `parts` answers.
    pub(super) fn begin(&mut self, now: Timestamp, call: CallId, parts: usize, reads: bool) {
        let waiting = Waiting {
            deadline: now + CALL_LIMIT,
            remaining: parts,
            merged: None,
            reads,
        };
        self.waiting.insert(call, waiting);
    }

    /// Takes one answer; returns the whole answer when it was the last.
    pub(super) fn answered(&mut self, call: CallId, reply: JobReply) -> Option<JobReply> {
        let waiting = self.waiting.get_mut(&call)?;
        waiting.remaining -= 1;
        waiting.merged = Some(match waiting.merged.take() {
            None => reply,
            Some(merged) => merge(merged, reply),
        });
        if waiting.remaining > 0 {
            return None;
        }
        self.waiting.remove(&call)?.merged
    }

    /// The calls whose time is over, and what can truly be said.
    pub(super) fn expired(&mut self, now: Timestamp) -> Vec<(CallId, JobReply)> {
        let over = self.waiting.extract_if(.., |_, w| now >= w.deadline);
        let told = over.map(|(call, waiting)| {
            let reply = match waiting.reads {
                true => JobReply::NotAccepted(NotAccepted::NoOwner),
                false => JobReply::Unknown,
            };
            (call, reply)
        });
        told.collect()
    }
}

/// Two answers to parts of one call; a part that failed fails the whole.
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
