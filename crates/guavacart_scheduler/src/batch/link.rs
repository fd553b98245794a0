//! What an owner knows of one worker beyond the journal: calls, leases and what it reported.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Attempt, ByteSize, Span, TaskId, Timestamp};

use super::worker::AttemptId;
use crate::membership::DRIFT_MARGIN;

/// How long an attempt may run after its last renewal; longer than a take-over.
pub const LEASE: Span = Span::secs(12);
/// Time between two calls to a worker that nothing is to be told.
pub const SYNC_INTERVAL: Span = Span::secs(1);
/// Shortest time between two calls to a worker.
const SYNC_FLOOR: Span = Span::millis(20);
/// Renewals without an answer after which none is sent until the worker answers.
const MAX_LOST_RENEWALS: usize = 2;
/// Age after which a call without an answer is no longer counted as one that may renew.
const LOST_CALL_LIFE: Span = Span::secs(30);
/// Time without an answer after which a worker gets no more tasks.
const SILENCE_SPAN: Span = Span::secs(4);
/// Failures in a row after which a worker is on probation.
const PROBATION_FAILURES: u32 = 2;
/// First time on probation; doubles with each further failure.
const PROBATION_BASE: Span = Span::secs(5);
/// Longest time on probation.
const PROBATION_LIMIT: Span = Span::secs(600);
/// Tasks that a worker gets until one of them finished or ran for [`PROOF_SPAN`].
const UNPROVEN_TASKS: u32 = 4;
/// Run time of an attempt that proves its worker.
const PROOF_SPAN: Span = Span::secs(2);

/// Speed of a task that is not throttled, in percent.
pub(super) const FULL_SPEED: u32 = 100;

/// One attempt that holds resources on the worker.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    /// The record that makes the placement durable.
    pub(super) durable: u64,
    /// The record that makes the stop durable.
    pub(super) stop: Option<u64>,
    /// When the worker first reported it as running.
    pub(super) seen_at: Option<Timestamp>,
    pub(super) placed_at: Timestamp,
    pub(super) progress_ppm: u32,
    /// The most memory that it was seen to take.
    pub(super) peak: ByteSize,
    pub(super) throttle: Option<u32>,
    pub(super) throttle_sent: Option<u32>,
}

impl Tracked {
    pub(super) fn new(durable: u64, placed_at: Timestamp) -> Self {
        Self {
            durable,
            stop: None,
            seen_at: None,
            placed_at,
            progress_ppm: 0,
            peak: ByteSize::default(),
            throttle: None,
            throttle_sent: None,
        }
    }
}

/// A call under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) sync: u64,
    sent_at: Timestamp,
    grants: bool,
}

/// What an owner knows of one worker.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) call: Option<Call>,
    next_call: Timestamp,
    /// When the worker last answered, or the last owner before this one could last have renewed.
    answered_at: Timestamp,
    /// Calls that granted leases and were not answered.
    lost: Vec<Timestamp>,
    pub(super) tracked: BTreeMap<AttemptId, Tracked>,
    /// Ended attempts and the record that makes the end durable.
    pub(super) ended: BTreeMap<AttemptId, u64>,
    /// Attempts that the worker runs and the cell does not know as placed there.
    pub(super) strays: BTreeSet<AttemptId>,
    proven: bool,
    probation_until: Timestamp,
}

impl Link {
    /// A worker under an owner that began at `owned_since`.
    ///
    /// Calls of the owner before may still renew once; each counts as lost.
    pub(super) fn new(owned_since: Timestamp) -> Self {
        Self {
            call: None,
            next_call: owned_since,
            answered_at: owned_since,
            lost: vec![owned_since],
            tracked: BTreeMap::new(),
            ended: BTreeMap::new(),
            strays: BTreeSet::new(),
            proven: false,
            probation_until: Timestamp::default(),
        }
    }

    /// Brings the next call forward because there is something to tell.
    pub(super) fn hurry(&mut self, now: Timestamp) {
        let floor = now + SYNC_FLOOR;
        self.next_call = self.next_call.min(floor);
    }

    /// True if a call may be made now.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.call.is_none() && now >= self.next_call
    }

    /// True if calls may still renew and start.
    pub(super) fn may_grant(&self) -> bool {
        self.lost.len() < MAX_LOST_RENEWALS
    }

    pub(super) fn called(&mut self, now: Timestamp, sync: u64, grants: bool) {
        self.call = Some(Call {
            sync,
            sent_at: now,
            grants,
        });
        self.next_call = now + SYNC_INTERVAL;
    }

    /// Ends the call `sync`; false if it is not the one under way.
    pub(super) fn returned(&mut self, sync: u64) -> Option<Call> {
        let call = self.call.filter(|call| call.sync == sync)?;
        self.call = None;
        Some(call)
    }

    pub(super) fn answered(&mut self, now: Timestamp) {
        self.answered_at = now;
        self.lost.retain(|at| now.since(*at) < LOST_CALL_LIFE);
    }

    pub(super) fn unanswered(&mut self, call: Call) {
        if call.grants {
            self.lost.push(call.sent_at);
        }
    }

    /// The time by which every lease on the worker has lapsed, whatever calls are still under way.
    ///
    /// `contact` is the latest time at which another member may have renewed leases.
    pub(super) fn leases_end(&self, contact: Timestamp) -> Timestamp {
        let under_way = self.call.is_some_and(|call| call.grants);
        let renewals = 1 + self.lost.len() as u64 + u64::from(under_way);
        self.answered_at.max(contact) + LEASE * renewals + DRIFT_MARGIN
    }

    /// True if some attempt may still be started by a call that got no answer.
    pub(super) fn has_unconfirmed(&self) -> bool {
        self.tracked.values().any(|t| t.seen_at.is_none())
    }

    /// Notes failures in a row after one more attempt failed.
    pub(super) fn failed(&mut self, now: Timestamp, failures_in_a_row: u32) {
        if failures_in_a_row >= PROBATION_FAILURES {
            let doublings = (failures_in_a_row - PROBATION_FAILURES).min(16);
            let span = (PROBATION_BASE * (1 << doublings)).min(PROBATION_LIMIT);
            self.probation_until = self.probation_until.max(now + span);
        }
    }

    /// Notes that the worker does work.
    pub(super) fn worked(&mut self) {
        self.proven = true;
        self.probation_until = Timestamp::default();
    }

    /// Notes running attempts that have run for long enough.
    pub(super) fn review_proof(&mut self, now: Timestamp) {
        let ran = |t: &Tracked| t.seen_at.is_some_and(|at| now.since(at) >= PROOF_SPAN);
        self.proven |= self.tracked.values().any(ran);
    }

    /// True if the worker gets at most one task to try.
    pub(super) fn is_on_probation(failures_in_a_row: u32) -> bool {
        failures_in_a_row >= PROBATION_FAILURES
    }

    /// When a worker on probation may be tried again.
    pub(super) fn probation_until(&self) -> Timestamp {
        self.probation_until
    }

    /// Attempts that the worker has reported as running.
    pub(super) fn running(&self) -> usize {
        let seen = self.tracked.values().filter(|t| t.seen_at.is_some());
        seen.count()
    }

    /// How many more tasks the worker may take now.
    pub(super) fn openings(&self, now: Timestamp, failures_in_a_row: u32) -> u32 {
        if now.since(self.answered_at) > SILENCE_SPAN {
            return 0;
        }
        let held = u32::try_from(self.tracked.len()).unwrap_or(u32::MAX);
        if Self::is_on_probation(failures_in_a_row) {
            let over = now >= self.probation_until;
            return u32::from(over && held == 0);
        }
        if self.proven {
            return u32::MAX;
        }
        UNPROVEN_TASKS.saturating_sub(held)
    }

    /// Has all speeds told again, since the call that told them may not have arrived.
    pub(super) fn forget_speeds(&mut self) {
        for tracked in self.tracked.values_mut() {
            tracked.throttle_sent = None;
        }
    }

    /// Tracks what the journal says is placed there.
    pub(super) fn adopt(&mut self, task: &TaskId, attempt: Attempt, stopping: bool, at: Timestamp) {
        let id = AttemptId {
            task: task.clone(),
            attempt,
        };
        let mut tracked = Tracked::new(0, at);
        tracked.stop = stopping.then_some(0);
        // The owner before may have throttled it, which the journal does not say.
        tracked.throttle = Some(FULL_SPEED);
        self.tracked.insert(id, tracked);
    }
}
