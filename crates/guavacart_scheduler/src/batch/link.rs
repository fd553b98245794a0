//! The state of one worker that an owner keeps outside the journal: calls, leases and reports.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Attempt, ByteSize, Span, TaskId, Timestamp};

use super::worker::AttemptId;
use crate::membership::CLOCK_DRIFT_MARGIN;

/// How long an attempt may run after its last renewal; longer than a takeover of the cell.
pub const ATTEMPT_LEASE: Span = Span::secs(12);
/// Time between two calls to a worker if nothing makes the next call urgent.
pub const SYNC_INTERVAL: Span = Span::secs(1);
/// Shortest time between two calls to a worker.
const MIN_SYNC_INTERVAL: Span = Span::millis(20);
/// Number of unanswered calls with grants at which no more grants are sent. An answer of the worker
/// removes the calls older than [`MAX_LOST_CALL_AGE`] from the count.
const MAX_UNANSWERED_GRANTS: usize = 2;
/// Age after which an unanswered call can no longer reach the worker and renew a lease.
const MAX_LOST_CALL_AGE: Span = Span::secs(30);
/// Time without an answer after which a worker gets no more tasks.
const MAX_SILENCE: Span = Span::secs(4);
/// Number of failures in a row after which a worker is on probation.
const PROBATION_FAILURES: u32 = 2;
/// Length of the first probation; doubles with each further failure.
const FIRST_PROBATION: Span = Span::secs(5);
/// Greatest length of a probation.
const MAX_PROBATION: Span = Span::secs(600);
/// Greatest number of tasks on a worker until one has finished or has run for [`PROOF_RUN_TIME`].
const MAX_UNPROVEN_TASKS: u32 = 4;
/// Run time of an attempt after which its worker counts as proven.
const PROOF_RUN_TIME: Span = Span::secs(2);

/// Speed of a task that is not throttled, in percent.
pub(super) const FULL_SPEED: u32 = 100;

/// An attempt that holds resources on the worker.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    /// Value of [`super::journal::Journal::durable_count`] from which on the placement is durable.
    pub(super) placed_change: u64,
    /// Value of [`super::journal::Journal::durable_count`] from which on the decision to stop is
    /// durable.
    pub(super) stop_change: Option<u64>,
    /// When the worker first reported the attempt as running.
    pub(super) confirmed_at: Option<Timestamp>,
    pub(super) placed_at: Timestamp,
    pub(super) progress_ppm: u32,
    /// The greatest amount of memory that the attempt was seen to take.
    pub(super) peak: ByteSize,
    /// Speed limit of the attempt, in percent; `None` if none was ever set.
    pub(super) throttle: Option<u32>,
    /// Speed limit that was last sent to the worker, in percent.
    pub(super) throttle_sent: Option<u32>,
}

impl Tracked {
    pub(super) fn new(placed_change: u64, placed_at: Timestamp) -> Self {
        Self {
            placed_change,
            stop_change: None,
            confirmed_at: None,
            placed_at,
            progress_ppm: 0,
            peak: ByteSize::default(),
            throttle: None,
            throttle_sent: None,
        }
    }
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) sync: u64,
    sent_at: Timestamp,
    grants: bool,
}

/// The state of one worker as known to the owner of its cell.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) call: Option<Call>,
    next_call: Timestamp,
    /// When the worker last answered, or when the previous owner could last have renewed leases.
    answered_at: Timestamp,
    /// Times of unanswered calls that could start attempts or renew leases.
    unanswered_grants: Vec<Timestamp>,
    pub(super) tracked: BTreeMap<AttemptId, Tracked>,
    /// Ended attempts, each with the value of [`super::journal::Journal::durable_count`] from which
    /// on its end is durable.
    pub(super) ended: BTreeMap<AttemptId, u64>,
    /// Attempts that the worker runs although the cell has not placed them there.
    pub(super) unknown_attempts: BTreeSet<AttemptId>,
    /// True once an attempt has finished or has run for [`PROOF_RUN_TIME`] under this owner.
    proven: bool,
    probation_until: Timestamp,
}

impl WorkerLink {
    /// Creates the state of a worker for an owner whose ownership began at `owned_since`.
    ///
    /// A call of the previous owner may still renew leases once, so it counts as an unanswered
    /// call.
    pub(super) fn new(owned_since: Timestamp) -> Self {
        Self {
            call: None,
            next_call: owned_since,
            answered_at: owned_since,
            unanswered_grants: vec![owned_since],
            tracked: BTreeMap::new(),
            ended: BTreeMap::new(),
            unknown_attempts: BTreeSet::new(),
            proven: false,
            probation_until: Timestamp::default(),
        }
    }

    /// Moves the next call forward because there is something to send.
    pub(super) fn call_soon(&mut self, now: Timestamp) {
        let earliest = now + MIN_SYNC_INTERVAL;
        self.next_call = self.next_call.min(earliest);
    }

    /// True if a call may be made now.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.call.is_none() && now >= self.next_call
    }

    /// True if calls may still renew leases and start attempts.
    pub(super) fn may_grant(&self) -> bool {
        self.unanswered_grants.len() < MAX_UNANSWERED_GRANTS
    }

    pub(super) fn call_sent(&mut self, now: Timestamp, sync: u64, grants: bool) {
        self.call = Some(Call {
            sync,
            sent_at: now,
            grants,
        });
        self.next_call = now + SYNC_INTERVAL;
    }

    /// Ends the call `sync`; returns `None` if another call or none is in progress.
    pub(super) fn call_ended(&mut self, sync: u64) -> Option<Call> {
        let call = self.call.filter(|call| call.sync == sync)?;
        self.call = None;
        Some(call)
    }

    pub(super) fn answered(&mut self, now: Timestamp) {
        self.answered_at = now;
        self.unanswered_grants
            .retain(|at| now.since(*at) < MAX_LOST_CALL_AGE);
    }

    pub(super) fn unanswered(&mut self, call: Call) {
        if call.grants {
            self.unanswered_grants.push(call.sent_at);
        }
    }

    /// The time by which every lease on the worker has expired, whatever calls are still in
    /// progress.
    ///
    /// `last_peer_renewal` is the latest time at which another member may have renewed leases.
    pub(super) fn leases_end(&self, last_peer_renewal: Timestamp) -> Timestamp {
        let in_progress = self.call.is_some_and(|call| call.grants);
        let renewals = 1 + self.unanswered_grants.len() as u64 + u64::from(in_progress);
        self.answered_at.max(last_peer_renewal) + ATTEMPT_LEASE * renewals + CLOCK_DRIFT_MARGIN
    }

    /// True if the worker has not reported an attempt yet, so that an unanswered call may still
    /// start the attempt.
    pub(super) fn has_unconfirmed(&self) -> bool {
        self.tracked.values().any(|t| t.confirmed_at.is_none())
    }

    /// Puts the worker on probation if it has failed too often in a row.
    pub(super) fn record_failure(&mut self, now: Timestamp, failures_in_a_row: u32) {
        if failures_in_a_row >= PROBATION_FAILURES {
            let doublings = (failures_in_a_row - PROBATION_FAILURES).min(16);
            let span = (FIRST_PROBATION * (1 << doublings)).min(MAX_PROBATION);
            self.probation_until = self.probation_until.max(now + span);
        }
    }

    /// Marks the worker as proven and ends its probation.
    pub(super) fn record_success(&mut self) {
        self.proven = true;
        self.probation_until = Timestamp::default();
    }

    /// Marks the worker as proven if one of its attempts has run long enough.
    pub(super) fn update_proven(&mut self, now: Timestamp) {
        let ran_long_enough = |t: &Tracked| {
            t.confirmed_at
                .is_some_and(|at| now.since(at) >= PROOF_RUN_TIME)
        };
        self.proven |= self.tracked.values().any(ran_long_enough);
    }

    /// True if the worker is on probation and gets at most one task at a time.
    pub(super) fn is_on_probation(failures_in_a_row: u32) -> bool {
        failures_in_a_row >= PROBATION_FAILURES
    }

    /// When a worker on probation may get a task again.
    pub(super) fn probation_until(&self) -> Timestamp {
        self.probation_until
    }

    /// Number of attempts that the worker has reported as running.
    pub(super) fn running(&self) -> usize {
        let confirmed = self.tracked.values().filter(|t| t.confirmed_at.is_some());
        confirmed.count()
    }

    /// Number of further tasks that the worker may take now.
    pub(super) fn task_slots(&self, now: Timestamp, failures_in_a_row: u32) -> u32 {
        if now.since(self.answered_at) > MAX_SILENCE {
            return 0;
        }
        let placed = u32::try_from(self.tracked.len()).unwrap_or(u32::MAX);
        if Self::is_on_probation(failures_in_a_row) {
            let is_over = now >= self.probation_until;
            return u32::from(is_over && placed == 0);
        }
        if self.proven {
            return u32::MAX;
        }
        MAX_UNPROVEN_TASKS.saturating_sub(placed)
    }

    /// Marks all speed limits as not sent, since the call that carried them may not have arrived.
    pub(super) fn resend_throttles(&mut self) {
        for tracked in self.tracked.values_mut() {
            tracked.throttle_sent = None;
        }
    }

    /// Tracks an attempt that is placed on this worker according to the journal.
    pub(super) fn track(&mut self, task: &TaskId, attempt: Attempt, stopping: bool, at: Timestamp) {
        let id = AttemptId {
            task: task.clone(),
            attempt,
        };
        let mut tracked = Tracked::new(0, at);
        tracked.stop_change = stopping.then_some(0);
        // The previous owner may have throttled the attempt, which the journal does not record.
        tracked.throttle = Some(FULL_SPEED);
        self.tracked.insert(id, tracked);
    }
}
