//! Evidence that this owner has not been superseded.
//!
//! An executor refuses the orders of a superseded owner only if it has seen the newer epoch, and an
//! executor that has restarted has seen none. What this owner concludes from silence, or from an
//! executor without that memory, therefore waits until the store has confirmed the ownership lease
//! after the observation. So does all that it knew before a time in which it was held up.

use guavacart_types::{Span, Timestamp};

use super::{MAX_UNCONFIRMED_ACCEPT_TIME, State, leases::SLOWEST_CLOCK_PERCENT};
use crate::Effect;

/// Longest outage of the store in which runs go on.
const BRIDGED_OUTAGE: Span = Span::millis(7_000);
/// Added to the time that earlier owners' leases last, for orders that were still on their way.
const EARLIER_LEASE_MARGIN: Span = Span::millis(400);
/// Delay before a conclusion that lacks a confirmation is tried again.
const CONFIRMATION_RETRY_DELAY: Span = Span::millis(50);
/// Shortest lease with which a run is started.
const MIN_START_LEASE: Span = Span::millis(1_000);
/// Time since the last confirmation in which runs are started on executors that reported earlier.
/// The owner's lease lasts at least as long.
const START_VALIDITY: Span = MAX_UNCONFIRMED_ACCEPT_TIME;
/// Greatest age of an executor's report, from when it was requested, on which a run is started after
/// that time.
const MAX_REPORT_AGE: Span = Span::millis(200);
/// Longest time from the decision to start a run until the order is sent.
const MAX_START_DELAY: Span = Span::millis(800);
/// Longest time on its way of an order that reaches an executor in its next incarnation.
pub(super) const MAX_ORDER_DELAY: Span = Span::millis(100);
/// Time from a successor's first order to an executor until no earlier owner's start order reaches
/// the executor any more.
const LAST_EARLIER_START: Span = Span(MAX_REPORT_AGE.0 + MAX_ORDER_DELAY.0);

/// Time without an event after which another node may have become the owner; the length of the
/// ownership lease.
const MAX_EVENT_GAP: Span = Span::millis(1_200);
/// Longest time until the next tick of an owner that is not held up.
pub(super) const MAX_TICK_INTERVAL: Span = Span(MAX_EVENT_GAP.0 / 2);

/// What is known of the ownership lease.
#[derive(Debug)]
pub(super) struct Ownership {
    /// When the newest renewal that the store confirmed was sent. No other owner had taken over
    /// before this time.
    confirmed_at: Timestamp,
    /// Time of the last observation that waits for a confirmation.
    awaited_since: Option<Timestamp>,
    /// When the first event after the last gap was applied.
    resumed_at: Timestamp,
    /// A renewal was requested and has not been confirmed.
    is_requested: bool,
}

impl Ownership {
    /// The ownership of an owner whose take-over is not confirmed yet.
    pub(super) fn unconfirmed() -> Self {
        Self {
            confirmed_at: Timestamp(0),
            awaited_since: None,
            resumed_at: Timestamp(0),
            is_requested: false,
        }
    }

    /// True if the store has confirmed the lease since the time `at`.
    pub(super) fn is_confirmed_since(&self, at: Timestamp) -> bool {
        at <= self.confirmed_at
    }
}

impl State {
    /// Time until which executors' leases may last. The next owner takes over after the last
    /// confirmation of this one, and counts on this time for executors that it cannot reach.
    pub(super) fn leases_may_last_until(&self) -> Timestamp {
        self.ownership.confirmed_at + self.longest_unconfirmed_lease()
    }

    /// Longest time from the last confirmation of an owner until its leases expire.
    fn longest_unconfirmed_lease(&self) -> Span {
        self.usual_lease().max(BRIDGED_OUTAGE)
    }

    /// True if every lease that an earlier owner extended has expired. A successor may have extended
    /// them again, unless the ownership has been confirmed since.
    pub(super) fn have_earlier_leases_expired(&mut self) -> bool {
        let expire_at = self.earlier_leases_expire_at();
        if self.now < expire_at {
            return false;
        }
        let is_confirmed = self.ownership.is_confirmed_since(expire_at);
        if !is_confirmed {
            self.await_confirmation();
        }
        is_confirmed
    }

    /// When to check next whether the leases of earlier owners have expired.
    pub(super) fn next_check_of_earlier_leases(&self) -> Timestamp {
        let expire_at = self.earlier_leases_expire_at();
        if expire_at > self.now {
            expire_at
        } else {
            self.now + CONFIRMATION_RETRY_DELAY
        }
    }

    /// When every lease that an earlier owner extended has expired, even by the slowest allowed
    /// clock.
    fn earlier_leases_expire_at(&self) -> Timestamp {
        let longest = self.longest_unconfirmed_lease().0;
        let by_slowest_clock = Span(longest * 100 / SLOWEST_CLOCK_PERCENT);
        self.owner_since + by_slowest_clock + EARLIER_LEASE_MARGIN
    }

    /// True if executors' leases can be extended far enough for new runs, and the ownership has been
    /// confirmed since this owner was held up.
    pub(super) fn may_start_runs(&self) -> bool {
        self.ownership.is_confirmed_since(self.ownership.resumed_at)
            && self.now + MIN_START_LEASE <= self.leases_may_last_until()
    }

    /// Sets the time of an event. After a gap, nothing starts until the ownership is confirmed.
    pub(super) fn advance_to(&mut self, now: Timestamp) {
        let gap = now.since(self.now);
        self.now = now;
        if gap >= MAX_EVENT_GAP {
            self.ownership.resumed_at = now;
            self.await_confirmation();
        }
    }

    /// True if a run may be started on the executor.
    ///
    /// A successor does not rely on the executor's lists before the validity of the last confirmation
    /// is over. After that time, only a new report shows that no successor has reached this
    /// incarnation of the executor.
    pub(super) fn may_start_on(&self, x: usize) -> bool {
        self.now <= self.may_start_until(x)
    }

    fn may_start_until(&self, x: usize) -> Timestamp {
        let by_confirmation = self.ownership.confirmed_at + START_VALIDITY;
        by_confirmation.max(self.executors[x].last_report_sent + MAX_REPORT_AGE)
    }

    /// Latest time at which a start that is decided now may be sent to the executor.
    pub(super) fn start_may_be_sent_until(&self, x: usize) -> Timestamp {
        self.may_start_until(x)
            .min(self.now + MAX_START_DELAY)
            .min(self.evacuations_hold_until())
    }

    /// Like [`Self::may_start_on`]; otherwise requests the missing report. The report leads to the
    /// next pass.
    pub(super) fn check_start_on(&mut self, x: usize) -> bool {
        if self.may_start_on(x) {
            return true;
        }
        self.executors[x].has_waiting_starts = true;
        if self.executors[x].immediate_hold.is_none() {
            self.hold_immediately(x);
        }
        false
    }

    /// When the lists of an executor that has reported first show all that earlier owners have started
    /// there, if they are requested then. Starts on an incarnation that has ended are over.
    pub(super) fn earlier_starts_end_at(&self, x: usize) -> Timestamp {
        if !self.has_predecessor {
            return Timestamp(0);
        }
        let validity_end = self.predecessor_confirmed_until + START_VALIDITY;
        let first_report_at = self.executors[x].first_report_at.unwrap_or(self.now);
        validity_end.max(first_report_at) + LAST_EARLIER_START
    }

    /// Records that the store confirmed a renewal of the ownership lease that was sent at `at`.
    pub(super) fn on_ownership_confirmed(&mut self, at: Timestamp) {
        let were_leases_shortened = self.leases_may_last_until() < self.now + self.usual_lease();
        let ownership = &mut self.ownership;
        let is_first = ownership.confirmed_at == Timestamp(0);
        ownership.confirmed_at = ownership.confirmed_at.max(at);
        ownership.is_requested = false;
        if were_leases_shortened && !is_first {
            self.extend_shortened_leases();
        }
        let ownership = &mut self.ownership;
        let is_awaited = |since: &mut Timestamp| *since <= at;
        if ownership.awaited_since.take_if(is_awaited).is_some() {
            self.needs_placement = true;
        }
    }

    /// Extends leases that were shortened while the ownership was not confirmed, without waiting for
    /// the next holds.
    fn extend_shortened_leases(&mut self) {
        for x in 0..self.executors.len() {
            let executor = &self.executors[x];
            if !executor.runs.is_empty() && executor.failed_holds == 0 {
                self.hold_immediately(x);
            }
        }
    }

    /// Has the ownership lease confirmed soon, for an observation that was made now.
    pub(super) fn await_confirmation(&mut self) {
        self.ownership.awaited_since = Some(self.now);
    }

    /// Requests a renewal if an observation waits for one.
    pub(super) fn request_awaited_confirmation(&mut self) {
        let ownership = &mut self.ownership;
        if ownership.awaited_since.is_some() && !ownership.is_requested {
            ownership.is_requested = true;
            self.effects.push(Effect::ConfirmOwnership);
        }
    }
}
