//! Leases of executors: how far orders extend them, and when the owner considers them expired.

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    executors::Executor,
    ownership::MAX_ORDER_DELAY,
    runs::{Phase, Run},
};
use crate::{Decision, Effect, LossReason, RunNumber, TaskKey};

/// Part of the longest lease that an order requests, in percent; the rest allows for a slow answer.
const LEASE_PERCENT: u64 = 75;
/// Slowest rate of an executor's clock, in percent of true time, with a margin of 1.
pub(super) const SLOWEST_CLOCK_PERCENT: u64 = 97;
/// Largest difference between the expected and the actual clock reading that slow answers can
/// explain.
const CLOCK_TOLERANCE: Span = Span::millis(1_000);

/// The true time in which a span has passed on the slowest allowed clock.
fn by_slowest_clock(span: Span) -> Span {
    Span(span.0 * 100 / SLOWEST_CLOCK_PERCENT + 1)
}

impl Executor {
    /// The executor's clock at `now`, extrapolated from the last reading.
    pub(super) fn clock_at(&self, now: Timestamp) -> Option<u64> {
        let (reading, read_at) = self.clock?;
        Some(reading + now.since(read_at).0)
    }

    /// The reading of the executor's clock that is expected now, unless `reading` may have been taken
    /// between `sent` and now. A large difference means that another incarnation answered.
    fn clock_mismatch(&self, sent: Timestamp, now: Timestamp, reading: u64) -> Option<u64> {
        let (earlier, read_at) = self.clock?;
        let since_reading = sent.since(read_at).0 * SLOWEST_CLOCK_PERCENT / 100;
        let least = (earlier + since_reading).saturating_sub(read_at.since(sent).0);
        let most = earlier + now.since(read_at).0;
        let may_fit = least.saturating_sub(CLOCK_TOLERANCE.0)..=most + CLOCK_TOLERANCE.0;
        (!may_fit.contains(&reading)).then_some(most)
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

    /// True if a hold may have a deadline. The lease of an executor that does not answer must be allowed
    /// to expire, and a deadline must not reach another incarnation than the one on whose clock it is.
    pub(super) fn may_extend_lease(&self) -> bool {
        let is_open = |run: &Run| run.phase == Phase::Unanswered && run.stop.is_none();
        self.failed_holds == 0
            && self.has_seen_epoch
            && self.clock_suspect_since.is_none()
            && !self.runs.values().any(is_open)
    }

    /// Notes that an order with a deadline may have reached the executor until `at`.
    pub(super) fn record_extension(&mut self, at: Timestamp) {
        self.lease_extended_at = self.lease_extended_at.max(at);
    }

    /// Notes that an order with a deadline on the clock of an earlier incarnation may have reached the
    /// executor until `now`.
    pub(super) fn record_stray_order(&mut self, now: Timestamp) {
        self.stray_order_at = self.stray_order_at.max(now);
    }

    /// True if the start of a run was ordered for an earlier incarnation than the known one, or if this
    /// is not known any more.
    fn is_stray_start(
        &self,
        now: Timestamp,
        max_lease: Span,
        task: TaskKey,
        run: RunNumber,
    ) -> bool {
        let has_restarted = self.restart_seen_at != Timestamp(0);
        let known = self.runs.get(&task).filter(|known| known.run == run);
        known.map_or(
            has_restarted && now.since(self.restart_seen_at) <= max_lease,
            |known| known.deadline_ms == 0,
        )
    }

    /// When the lease of the known incarnation has expired; `None` if no incarnation is known.
    fn lease_expires_at(&self, max_lease: Span) -> Option<Timestamp> {
        let (reading, read_at) = self.clock?;
        let left = self.lease_end_ms.saturating_sub(reading);
        let expires_at = read_at + by_slowest_clock(Span(left));
        if self.stray_order_at == Timestamp(0) {
            return Some(expires_at);
        }
        Some(expires_at.max(self.stray_order_at + by_slowest_clock(max_lease)))
    }

    /// When a run is over if the executor does not report any more.
    ///
    /// A deadline means nothing to the clock of another incarnation, which then grants the longest lease.
    /// A run that the known incarnation may not have started lasts that long after the last order with a
    /// deadline.
    fn run_expires_at(&self, run: &Run, max_lease: Span) -> Option<Timestamp> {
        let expires_at = self.lease_expires_at(max_lease)?;
        if self.has_confirmed(run) {
            return Some(expires_at);
        }
        Some(expires_at.max(self.lease_extended_at + by_slowest_clock(max_lease)))
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
        executor.record_extension(self.now + MAX_ORDER_DELAY);
        Some(deadline)
    }

    /// Notes that a start whose answer or failure has come may have extended the lease. One without an
    /// answer may still be on its way.
    pub(super) fn record_start_arrival(
        &mut self,
        x: usize,
        task: TaskKey,
        run: RunNumber,
        is_answered: bool,
    ) {
        let (now, max_lease) = (self.now, self.bounds.max_lease);
        let arrives_until = if is_answered {
            now
        } else {
            now + MAX_ORDER_DELAY
        };
        let executor = &mut self.executors[x];
        executor.record_extension(arrives_until);
        if executor.is_stray_start(now, max_lease, task, run) {
            executor.record_stray_order(arrives_until);
        }
    }

    /// Compares the clock reading in the answer to a start that was ordered at `sent` with the expected
    /// one. If they differ, a report is requested that names the incarnation.
    pub(super) fn check_clock(&mut self, x: usize, sent: Timestamp, reading_ms: u64) {
        let executor = &mut self.executors[x];
        let Some(expected_ms) = executor.clock_mismatch(sent, self.now, reading_ms) else {
            return;
        };
        if executor.clock_suspect_since.replace(self.now).is_none() {
            self.effects.push(Effect::Log(Decision::ClockMismatch {
                executor: executor.id.clone(),
                incarnation: executor.incarnation,
                expected_ms,
                reading_ms,
            }));
        }
        self.hold_immediately(x);
    }

    /// When the lease of the known incarnation has expired; `None` if no incarnation is known.
    pub(super) fn lease_expires_at(&self, x: usize) -> Option<Timestamp> {
        self.executors[x].lease_expires_at(self.bounds.max_lease)
    }

    /// Makes sure that the executor's lease is checked when it has expired by the slowest allowed
    /// clock. A check that is due earlier stays, since it sets the timer again.
    pub(super) fn set_lease_timer(&mut self, x: usize) {
        let at = if self.executors[x].clock.is_none() && self.unreconciled.contains(&x) {
            Some(self.next_check_of_earlier_leases())
        } else {
            self.lease_expires_at(x)
        };
        if let Some(at) = at {
            self.check_lease_at(x, at);
        }
    }

    fn check_lease_at(&mut self, x: usize, at: Timestamp) {
        let at = at.max(self.now + Span(1));
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

    /// Marks the runs of the executor lost whose leases have expired.
    pub(super) fn check_lease_expiry(&mut self, x: usize) {
        self.executors[x].lease_check_at = None;
        let is_over = if self.executors[x].clock.is_none() {
            self.have_earlier_leases_expired()
        } else {
            self.lease_expires_at(x).is_some_and(|at| self.now >= at)
        };
        if !is_over {
            self.set_lease_timer(x);
            return;
        }
        self.expire_runs(x);
        let earlier_expire_at = self.earlier_runs_expire_at(x);
        if earlier_expire_at > self.now {
            self.check_lease_at(x, earlier_expire_at);
            return;
        }
        self.mark_reconciled(x);
        if self.executors[x].registration.is_none() && self.executors[x].is_recorded {
            self.saving.must_record_executors = true;
        }
    }

    /// When all runs are over that earlier owners may have started on an executor after its first list.
    /// They may be in an incarnation that is not known.
    fn earlier_runs_expire_at(&self, x: usize) -> Timestamp {
        let executor = &self.executors[x];
        if executor.clock.is_none() || !self.unreconciled.contains(&x) {
            return self.now;
        }
        self.earlier_starts_end_at(x) + by_slowest_clock(self.bounds.max_lease)
    }

    /// Marks the runs lost whose leases have expired, and checks the others when the next of them
    /// expires.
    fn expire_runs(&mut self, x: usize) {
        let (now, max_lease) = (self.now, self.bounds.max_lease);
        let executor = &self.executors[x];
        let expires_at = |run: &Run| executor.run_expires_at(run, max_lease).unwrap_or(now);
        let runs = executor.runs.iter();
        let expired = runs.filter(|(_, run)| expires_at(run) <= now);
        let expired: Vec<TaskKey> = expired.map(|(task, _)| *task).collect();
        let others = executor.runs.values().map(expires_at);
        let next = others.filter(|at| *at > now).min();
        if let Some(next) = next {
            self.check_lease_at(x, next);
        }
        if expired.is_empty() {
            return;
        }
        self.log_lease_expiry(x, &expired);
        self.keep_lapsed_runs(x, &expired);
        self.keep_lapsed_starts(x, &expired);
        for task in expired {
            self.mark_lost(x, task, LossReason::Lapsed);
        }
    }

    fn log_lease_expiry(&mut self, x: usize, expired: &[TaskKey]) {
        let executor = &self.executors[x];
        let runs = expired.iter().filter_map(|task| executor.runs.get(task));
        let unconfirmed = runs.filter(|run| !executor.has_confirmed(run));
        self.effects.push(Effect::Log(Decision::LeaseExpired {
            executor: executor.id.clone(),
            incarnation: executor.incarnation,
            runs: expired.len(),
            unconfirmed_runs: unconfirmed.count(),
            since_report: self.now.since(executor.last_report_at),
            since_order: self.now.since(executor.lease_extended_at),
            is_clock_suspect: executor.clock_suspect_since.is_some(),
        }));
    }
}
