//! Leases of executors: how far orders extend them, and when the owner considers them expired.

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    executors::Executor,
    runs::{Phase, Run},
};
use crate::{Decision, Effect, LossReason};

/// Part of the longest lease that an order requests, in percent; the rest allows for a slow answer.
const LEASE_PERCENT: u64 = 75;
/// Slowest rate of an executor's clock, in percent of true time, with a margin of 1.
pub(super) const SLOWEST_CLOCK_PERCENT: u64 = 97;
/// Largest difference between the expected and the actual clock reading that slow answers can
/// explain.
const CLOCK_TOLERANCE: Span = Span::millis(1_000);

impl Executor {
    /// The executor's clock at `now`, extrapolated from the last reading.
    pub(super) fn clock_at(&self, now: Timestamp) -> Option<u64> {
        let (reading, read_at) = self.clock?;
        Some(reading + now.since(read_at).0)
    }

    /// The expected reading of the executor's clock, unless `reading` is close to it. A large
    /// difference means that another incarnation answered.
    fn clock_mismatch(&self, now: Timestamp, reading: u64) -> Option<u64> {
        let (earlier, read_at) = self.clock?;
        let passed = now.since(read_at).0;
        let tolerated = passed * (100 - SLOWEST_CLOCK_PERCENT) / 100 + CLOCK_TOLERANCE.0;
        let expected = earlier + passed;
        (reading.abs_diff(expected) > tolerated).then_some(expected)
    }

    /// True if the known incarnation has started the run: it has listed the run, or has answered a
    /// hold that was sent after the answer to the run's start.
    pub(super) fn has_confirmed(&self, run: &Run) -> bool {
        let is_listed = run.listed_by.is_some() && run.listed_by == self.incarnation;
        let answered_at = match run.phase {
            Phase::Running(answered_at) => Some(answered_at),
            Phase::Sent | Phase::Unanswered => None,
        };
        is_listed || answered_at.is_some_and(|at| at < self.last_report_sent)
    }

    /// When the executor's lease has expired, even by the slowest allowed clock.
    pub(super) fn lease_expires_at(&self) -> Option<Timestamp> {
        let (reading, read_at) = self.clock?;
        let left = self.lease_end_ms.saturating_sub(reading);
        Some(read_at + Span(left * 100 / SLOWEST_CLOCK_PERCENT + 1))
    }
}

impl State {
    /// The lease that an order requests.
    pub(super) fn usual_lease(&self) -> Span {
        Span(self.bounds.max_lease.0 * LEASE_PERCENT / 100)
    }

    /// Returns the deadline for an order to the executor and extends the lease assumed for it to
    /// this deadline. `None` if the executor's clock is not known, or if the ownership has not been
    /// confirmed for so long that leases may not be extended.
    pub(super) fn extend_lease(&mut self, x: usize) -> Option<u64> {
        let lease = self
            .usual_lease()
            .min(self.leases_may_last_until().since(self.now));
        if lease == Span::ZERO {
            return None;
        }
        let executor = &mut self.executors[x];
        let deadline = executor.clock_at(self.now)? + lease.0;
        executor.lease_end_ms = executor.lease_end_ms.max(deadline);
        executor.lease_extended_at = self.now;
        Some(deadline)
    }

    /// Compares the clock reading in the answer to a start with the expected one.
    pub(super) fn check_clock(&mut self, x: usize, reading_ms: u64) {
        let executor = &mut self.executors[x];
        let Some(expected_ms) = executor.clock_mismatch(self.now, reading_ms) else {
            return;
        };
        let is_new = !std::mem::replace(&mut executor.is_clock_suspect, true);
        if is_new {
            self.effects.push(Effect::Log(Decision::ClockMismatch {
                executor: executor.id.clone(),
                incarnation: executor.incarnation,
                expected_ms,
                reading_ms,
            }));
        }
    }

    /// Makes sure that the executor's lease is checked when it has expired by the slowest allowed
    /// clock. A check that is due earlier stays, since it sets the timer again.
    pub(super) fn set_lease_timer(&mut self, x: usize) {
        let at = if self.executors[x].clock.is_none() && self.unreconciled.contains(&x) {
            Some(self.next_check_of_earlier_leases())
        } else {
            self.executors[x].lease_expires_at()
        };
        let Some(at) = at.map(|at| at.max(self.now + Span(1))) else {
            return;
        };
        let known = self.executors[x].lease_check_at;
        if known.is_some_and(|known| known <= at) {
            return;
        }
        if let Some(known) = known {
            self.timers.remove(&(known, Timer::LeaseExpiry(x)));
        }
        self.executors[x].lease_check_at = Some(at);
        self.timers.insert((at, Timer::LeaseExpiry(x)));
    }

    /// Marks all runs of the executor lost if its lease has expired.
    pub(super) fn check_lease_expiry(&mut self, x: usize) {
        self.executors[x].lease_check_at = None;
        let executor = &self.executors[x];
        let is_over = if executor.clock.is_none() {
            self.have_earlier_leases_expired()
        } else {
            executor.lease_expires_at().is_some_and(|at| self.now >= at)
        };
        if !is_over {
            self.set_lease_timer(x);
            return;
        }
        self.log_lease_expiry(x);
        self.keep_lapsed_runs(x);
        self.keep_lapsed_starts(x);
        self.mark_all_lost(x, LossReason::Lapsed);
        self.mark_reconciled(x);
        if self.executors[x].registration.is_none() && self.executors[x].is_recorded {
            self.saving.must_record_executors = true;
        }
    }

    fn log_lease_expiry(&mut self, x: usize) {
        let executor = &self.executors[x];
        if executor.runs.is_empty() {
            return;
        }
        let runs = executor.runs.values();
        let unconfirmed = runs.filter(|run| !executor.has_confirmed(run));
        self.effects.push(Effect::Log(Decision::LeaseExpired {
            executor: executor.id.clone(),
            incarnation: executor.incarnation,
            runs: executor.runs.len(),
            unconfirmed_runs: unconfirmed.count(),
            since_report: self.now.since(executor.last_report_at),
            since_order: self.now.since(executor.lease_extended_at),
            is_clock_suspect: executor.is_clock_suspect,
        }));
    }
}
