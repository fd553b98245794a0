//! Holds: the platform's long-poll calls that extend leases and return run ends and the list of
//! runs.

use guavacart_types::{Incarnation, Span, Timestamp};

use super::{
    IDLE_HOLD_INTERVAL, State, Timer,
    executors::UnansweredHold,
    runs::{Phase, Run},
};
use crate::{
    Decision, Effect, ExecutorId, HoldOrder, HoldReport, ListedRun, LossReason, OrderFailure,
    RefusalReason, TaskKey,
};

/// Longest wait of a hold for a run end, and thus the interval between lease extensions.
const HOLD_TIMEOUT: Span = Span::millis(1_000);
/// The wait of a hold while the tail latency of a service task is watched closely. Executors report tail
/// latencies every half second.
const TAIL_HOLD_TIMEOUT: Span = Span::millis(500);
/// Delay between holds while run ends wait to be stored. The next hold is sent earlier if the save
/// finishes earlier.
const UNSAVED_ENDS_DELAY: Span = Span::millis(120);
/// Longest time from sending a hold until it has reached the executor, over a connection that has to be
/// opened first.
const MAX_HOLD_DELAY: Span = Span::millis(500);
/// Delay after the first failed hold; doubled with each further failure.
const FIRST_RETRY_DELAY: Span = Span::millis(100);
/// Backoff for an executor whose report came too late for the starts that wait for it.
const SLOW_REPORT_BACKOFF: Span = Span::millis(300);
/// Longest delay after a failed hold.
const MAX_RETRY_DELAY: Span = Span::millis(800);

impl State {
    /// Sends the next hold if there are runs, unread lists or unacknowledged run ends, or if the last
    /// report of an idle executor is [`IDLE_HOLD_INTERVAL`] old.
    pub(super) fn hold_if_needed(&mut self, x: usize) {
        let executor = &self.executors[x];
        if executor.long_poll_hold.is_some() || executor.immediate_hold.is_some() {
            return;
        }
        let may_run = !executor.runs.is_empty() || self.unreconciled.contains(&x);
        if executor.registration.is_none() && !may_run {
            return;
        }
        let is_reconciling = executor.has_seen_epoch && self.unreconciled.contains(&x);
        if is_reconciling && self.earlier_starts_end_at(x) > self.now {
            self.timers
                .insert((self.earlier_starts_end_at(x), Timer::Hold(x)));
            return;
        }
        let is_idle = executor.has_seen_epoch
            && !is_reconciling
            && executor.runs.is_empty()
            && executor.last_acknowledged_end >= executor.last_stored_end;
        if is_idle && self.now.since(executor.last_report_at) < IDLE_HOLD_INTERVAL {
            self.timers
                .insert((executor.last_report_at + IDLE_HOLD_INTERVAL, Timer::Hold(x)));
            return;
        }
        // A hold returns at once while the executor lists run ends that are not acknowledged.
        let is_unsaved = executor.last_received_end > executor.last_stored_end;
        if is_unsaved && self.now.since(executor.last_report_at) < UNSAVED_ENDS_DELAY {
            self.timers
                .insert((executor.last_report_at + UNSAVED_ENDS_DELAY, Timer::Hold(x)));
            return;
        }
        let may_wait = executor.has_seen_epoch && !is_reconciling;
        let must_wait = may_wait && !executor.runs.is_empty() && !is_unsaved;
        self.send_hold(x, must_wait);
    }

    /// Requests the executor's lists at once, in parallel to a long-poll hold.
    pub(super) fn hold_immediately(&mut self, x: usize) {
        if self.executors[x].immediate_hold.is_some() {
            self.executors[x].repeats_immediate_hold = true;
        } else {
            self.send_hold(x, false);
        }
    }

    fn send_hold(&mut self, x: usize, must_wait: bool) {
        let may_extend = self.executors[x].may_extend_lease();
        let deadline_ms = may_extend.then(|| self.extend_lease(x)).flatten();
        let wait = match (must_wait, self.watches_tails_closely(x)) {
            (false, _) => Span::ZERO,
            (true, true) => TAIL_HOLD_TIMEOUT,
            (true, false) => HOLD_TIMEOUT,
        };
        let executor = &mut self.executors[x];
        let acknowledged = executor.end_to_acknowledge(self.now);
        let unanswered = Some(UnansweredHold {
            acknowledged,
            has_deadline: deadline_ms.is_some(),
            is_for_former: false,
        });
        if must_wait {
            executor.long_poll_hold = unanswered;
        } else {
            executor.immediate_hold = unanswered;
        }
        let order = HoldOrder {
            epoch: self.epoch,
            deadline_ms,
            acknowledged,
            wait,
        };
        self.effects
            .push(Effect::Hold(executor.order_target(), order));
        self.set_lease_timer(x);
    }

    /// Applies the result of a hold that was sent at `sent`; `is_long_poll` is true for
    /// a long-poll hold and false for an immediate one.
    pub(super) fn on_hold_result(
        &mut self,
        id: &ExecutorId,
        sent: Timestamp,
        report: Result<HoldReport, OrderFailure>,
        is_long_poll: bool,
    ) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        let executor = &mut self.executors[x];
        let (hold, repeats_immediate_hold) = if is_long_poll {
            (executor.long_poll_hold.take(), false)
        } else {
            (
                executor.immediate_hold.take(),
                std::mem::take(&mut executor.repeats_immediate_hold),
            )
        };
        match report {
            Ok(report) => {
                let acknowledged = hold.map_or(0, |hold| hold.acknowledged);
                self.apply_report(x, sent, acknowledged, report);
            }
            Err(failure) => {
                if hold.is_some_and(|hold| hold.has_deadline) {
                    executor.record_extension(self.now.min(sent + MAX_HOLD_DELAY));
                }
                self.hold_failed(x, failure);
            }
        }
        if hold.is_some_and(|hold| hold.has_deadline && hold.is_for_former) {
            self.executors[x].record_stray_order(self.now);
        }
        if repeats_immediate_hold && self.executors[x].failed_holds == 0 {
            self.hold_immediately(x);
        } else if self.executors[x].failed_holds == 0 {
            self.hold_if_needed(x);
        }
    }

    /// Applies a report that came after its hold was counted as failed, unless the report to a later
    /// hold has been applied.
    pub(super) fn on_late_report(&mut self, id: &ExecutorId, sent: Timestamp, report: HoldReport) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        let executor = &mut self.executors[x];
        if sent <= executor.restart_seen_at {
            executor.record_stray_order(self.now);
        }
        if sent < executor.last_report_sent {
            return;
        }
        self.apply_report(x, sent, 0, report);
        self.hold_if_needed(x);
    }

    fn hold_failed(&mut self, x: usize, failure: OrderFailure) {
        if failure == OrderFailure::Refused(RefusalReason::Fenced) {
            self.effects.push(Effect::StepDown);
            return;
        }
        let executor = &mut self.executors[x];
        executor.failed_holds += 1;
        executor.silent_at = self.now;
        let doublings = executor.failed_holds.min(5) - 1;
        let delay = Span(FIRST_RETRY_DELAY.0 << doublings).min(MAX_RETRY_DELAY);
        let is_first = executor.failed_holds == 1;
        let executor = executor.id.clone();
        if is_first {
            self.watch_failure(x);
            self.effects.push(Effect::Log(Decision::OrderFailed {
                executor,
                task: None,
                failure,
            }));
        }
        self.set_timer(delay, Timer::Hold(x));
    }

    /// Applies the answer to a hold that acknowledged the run ends up to `acknowledged`.
    fn apply_report(&mut self, x: usize, sent: Timestamp, acknowledged: u64, report: HoldReport) {
        // An incarnation that began earlier by its own account is a later one if it was asked after the
        // last report, since the time of day of its machine may have been set back.
        let executor = &self.executors[x];
        let began_earlier = |known: Incarnation| report.incarnation < known;
        if executor.incarnation.is_some_and(began_earlier) && sent <= executor.last_report_at {
            return;
        }
        self.update_incarnation(x, &report);
        let executor = &mut self.executors[x];
        if executor
            .clock
            .is_none_or(|(reading, _)| reading <= report.clock_ms)
        {
            executor.clock = Some((report.clock_ms, self.now));
        }
        let outlasts_lease = !report.running.is_empty() && report.clock_ms > executor.lease_end_ms;
        if executor.lease_end_ms == 0 || outlasts_lease {
            // The lease granted by an earlier owner, or by an order that this one has not counted, is
            // not known, but it is at most the longest lease.
            executor.lease_end_ms = report.clock_ms + self.bounds.max_lease.0;
        }
        executor.last_report_at = self.now;
        executor.last_report_sent = executor.last_report_sent.max(sent);
        executor.clock_suspect_since.take_if(|since| *since <= sent);
        let is_reachable_again = std::mem::take(&mut executor.failed_holds) > 0;
        let is_new = !std::mem::replace(&mut executor.has_seen_epoch, true);
        if is_new {
            executor.epoch_seen_at = self.now;
            executor.first_report_at.get_or_insert(self.now);
        }
        // The report that the starts wait for is the answer to an immediate hold.
        let has_waiting_starts =
            executor.immediate_hold.is_none() && std::mem::take(&mut executor.has_waiting_starts);
        let may_have_room = is_reachable_again || is_new || has_waiting_starts;
        executor.has_new_room |= may_have_room;
        self.needs_placement |= may_have_room;
        if has_waiting_starts && !self.may_start_on(x) {
            self.back_off(x, SLOW_REPORT_BACKOFF);
        }
        if is_new {
            self.await_confirmation();
        }
        for end in &report.ended {
            if end.number > self.executors[x].last_received_end {
                self.executors[x].last_received_end = end.number;
                self.saving.has_unacknowledged_ends = true;
                if self.jobs.contains_key(&end.task.step.job) {
                    self.apply_end(x, end);
                } else {
                    self.keep_orphan(x, end.clone());
                }
            }
        }
        for listed in &report.running {
            self.apply_listed_run(x, sent, listed);
        }
        if !report.has_more_ends {
            self.resolve_unlisted_runs(x, sent, &report);
            if sent >= self.earlier_starts_end_at(x) {
                self.mark_reconciled(x);
            }
        }
        self.stop_lapsed_starts(x);
        self.clear_proven(x);
        self.remove_replaced_by(x, sent);
        let executor = &mut self.executors[x];
        let had_room = executor.has_room_for_end();
        executor.last_acknowledged_end = executor
            .last_acknowledged_end
            .max(acknowledged.min(executor.last_stored_end));
        let has_new_room = !had_room && executor.has_room_for_end();
        executor.has_new_room |= has_new_room;
        self.needs_placement |= has_new_room;
        self.set_paces(x);
        self.set_lease_timer(x);
    }

    fn update_incarnation(&mut self, x: usize, report: &HoldReport) {
        let executor = &mut self.executors[x];
        if executor.incarnation == Some(report.incarnation) {
            return;
        }
        let is_first = executor.incarnation.is_none();
        executor.incarnation = Some(report.incarnation);
        if is_first {
            return;
        }
        self.effects.push(Effect::Log(Decision::ExecutorRestarted {
            executor: executor.id.clone(),
            incarnation: report.incarnation,
            runs: executor.runs.len(),
            acknowledged: executor.last_acknowledged_end,
        }));
        self.executor_restarted(x, report);
        self.forget_speed(x, "it restarted");
        self.drop_tickets(x);
        let executor = &mut self.executors[x];
        executor.clock = None;
        executor.lease_end_ms = 0;
        executor.stray_order_at = executor.lease_extended_at;
        executor.restart_seen_at = self.now;
        executor.last_received_end = 0;
        executor.last_stored_end = 0;
        executor.last_acknowledged_end = 0;
        // What these holds acknowledge are ends of the earlier incarnation.
        let in_flight = executor.long_poll_hold.iter_mut();
        for hold in in_flight.chain(&mut executor.immediate_hold) {
            hold.acknowledged = 0;
            hold.is_for_former = true;
        }
        executor.failures = 0;
        executor.has_seen_epoch = false;
        // Start orders may have reached the new incarnation, or may still reach it. Its lists show
        // which runs are over; deadlines on the clock of the earlier incarnation are meaningless.
        for run in executor.runs.values_mut() {
            run.deadline_ms = 0;
        }
    }

    fn apply_listed_run(&mut self, x: usize, sent: Timestamp, listed: &ListedRun) {
        let now = self.now;
        let incarnation = self.executors[x].incarnation;
        let Some(run) = self.executors[x].runs.get_mut(&listed.task) else {
            self.apply_unknown_run(x, sent, listed);
            return;
        };
        if run.run != listed.run {
            // An executor has one run of a task at most: another owner's has replaced this one.
            if matches!(run.phase, Phase::Running(confirmed) if confirmed < sent) {
                self.mark_lost(x, listed.task, LossReason::Unlisted);
                self.adopt_or_stop(x, sent, listed);
            }
            return;
        }
        run.phase = Phase::Running(match run.phase {
            Phase::Running(since) => since,
            Phase::Sent | Phase::Unanswered => now,
        });
        run.listed_by = incarnation;
        run.percent = listed.percent;
        if !listed.checkpoint.is_empty() {
            run.checkpoint = Some(listed.checkpoint.clone());
        }
        self.apply_usage(x, listed);
        self.observe_running(x, listed.task);
    }

    /// Finds runs that are missing from a complete list, and marks them lost or stops them.
    fn resolve_unlisted_runs(&mut self, x: usize, sent: Timestamp, report: &HoldReport) {
        let is_listed = |task: &TaskKey, run: &Run| {
            let is_same_run = |listed: &ListedRun| listed.task == *task && listed.run == run.run;
            report.running.iter().any(is_same_run)
        };
        let mut lost = Vec::new();
        let mut to_stop = Vec::new();
        for (task, run) in &self.executors[x].runs {
            if is_listed(task, run) {
                continue;
            }
            let is_stopped = run.stop.and_then(|stop| stop.answered);
            match run.phase {
                Phase::Running(confirmed) if confirmed < sent => {
                    lost.push((*task, LossReason::Unlisted));
                }
                _ if is_stopped.is_some_and(|answered| answered < sent) => {
                    lost.push((*task, LossReason::StoppedBefore));
                }
                Phase::Unanswered if run.deadline_ms != 0 && report.clock_ms > run.deadline_ms => {
                    lost.push((*task, LossReason::NotStarted));
                }
                Phase::Unanswered if run.stop.is_none() && run.since < sent => {
                    to_stop.push(*task);
                }
                Phase::Running(_) | Phase::Unanswered | Phase::Sent => {}
            }
        }
        for (task, why) in lost {
            self.mark_lost(x, task, why);
        }
        for task in to_stop {
            self.stop_run(x, task, "its start was not answered and it is not listed");
        }
    }
}
