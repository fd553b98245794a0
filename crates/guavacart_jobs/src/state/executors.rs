//! Executors and their runs.

use std::collections::BTreeMap;

use guavacart_types::{Incarnation, Resources, Span, Timestamp};

use super::{
    State, Timer,
    crash_blame::CrashWatch,
    headroom::DEFAULT_FORECAST,
    interference::Shares,
    runs::{Run, ServiceImage},
};
use crate::{
    Decision, Effect, Exclusion, ExecutorAddress, ExecutorId, LossReason, OrderTarget,
    Registration, RunNumber, TaskKey,
};

/// Runs and unacknowledged ends of one executor up to which it gets work; less than the 500 ends of
/// one list.
const MAX_UNREAD_ENDS: usize = 400;
/// Greatest age of an executor's last report at which run ends are acknowledged to it.
const MAX_ACKNOWLEDGED_REPORT_AGE: Span = Span::millis(200);
/// Failed runs of different tasks in a row after which an executor gets a penalty.
const FAILURES_TO_PENALTY: u32 = 2;
/// Average use of reserved processors by service tasks, in percent.
const RESERVED_USE_PERCENT: u64 = 60;
/// First penalty; doubled with each further failure.
const FIRST_PENALTY: Span = Span::millis(1_500);
/// Longest penalty.
const MAX_PENALTY: Span = Span::secs(12);

/// A hold that was sent and is not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnansweredHold {
    /// The last run end that the hold acknowledges.
    pub(super) acknowledged: u64,
    pub(super) has_deadline: bool,
    /// The hold was meant for an earlier incarnation than the known one.
    pub(super) is_for_former: bool,
}

/// One executor across all its incarnations.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) id: ExecutorId,
    pub(super) registration: Option<Registration>,
    /// The stored record of executors with runs names the executor, so that the next owner asks
    /// it for its runs.
    pub(super) is_recorded: bool,
    pub(super) target: ExecutorAddress,
    /// Another executor may be, or may have been, at the same address.
    pub(super) shares_address: bool,
    /// When the executor's entry was last read.
    pub(super) entry_read_at: Timestamp,
    pub(super) capacity: Resources,
    pub(super) incarnation: Option<Incarnation>,
    /// When the executor was last found to have restarted; 0 if it was not.
    pub(super) restart_seen_at: Timestamp,
    /// The last reading of the executor's clock, in milliseconds, and when the answer with this
    /// reading was received.
    pub(super) clock: Option<(u64, Timestamp)>,
    /// The current incarnation has seen this owner's epoch.
    pub(super) has_seen_epoch: bool,
    /// When the current incarnation first showed that it has seen this owner's epoch.
    pub(super) epoch_seen_at: Timestamp,
    /// When the executor first reported to this owner, in any incarnation.
    pub(super) first_report_at: Option<Timestamp>,
    /// Latest deadline that the executor may have been given, on its clock.
    pub(super) lease_end_ms: u64,
    /// Latest time at which an order with a deadline may have reached the executor, in any
    /// incarnation.
    pub(super) lease_extended_at: Timestamp,
    /// Latest time at which an order with a deadline on the clock of an earlier incarnation may have
    /// reached the known one; 0 if there is none.
    pub(super) stray_order_at: Timestamp,
    /// When the lease is checked next; the time of the executor's `LeaseExpiry` timer.
    pub(super) lease_check_at: Option<Timestamp>,
    /// Number of the last run end that was received.
    pub(super) last_received_end: u64,
    /// Number of the last run end that is stored.
    pub(super) last_stored_end: u64,
    /// Number of the last run end that was acknowledged in an answered hold.
    pub(super) last_acknowledged_end: u64,
    /// The unanswered hold that waits for run ends.
    pub(super) long_poll_hold: Option<UnansweredHold>,
    /// The unanswered hold that does not wait.
    pub(super) immediate_hold: Option<UnansweredHold>,
    /// Another immediate hold is sent once the current one is answered.
    pub(super) repeats_immediate_hold: bool,
    /// When an answer last contained a clock reading that does not fit the known incarnation, unless
    /// a report was requested since.
    pub(super) clock_suspect_since: Option<Timestamp>,
    /// Failed holds in a row.
    pub(super) failed_holds: u32,
    /// When the last answer to a hold was applied.
    pub(super) last_report_at: Timestamp,
    /// When the newest of the answered holds was sent.
    pub(super) last_report_sent: Timestamp,
    /// Tasks wait for the next report, to start on the executor.
    pub(super) has_waiting_starts: bool,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Runs whose lease has expired without an answer to their start orders, and when their stops
    /// were last sent. The next incarnation may still carry out these orders.
    pub(super) lapsed_starts: BTreeMap<(TaskKey, RunNumber), Option<Timestamp>>,
    /// Resources that are reserved for runs.
    pub(super) used: Resources,
    /// Tasks may fit here that did not fit in the last pass.
    pub(super) has_new_room: bool,
    /// Runs whose size is not known, since their jobs are not known yet.
    runs_of_unknown_size: usize,
    /// Shares of the executor that its best-effort tasks use, by image.
    pub(super) best_effort_shares: Shares,
    /// The best-effort shares averaged over the same time as a reported tail latency, computed up
    /// to `averaged_until`.
    pub(super) averaged_shares: Shares,
    pub(super) averaged_until: Timestamp,
    /// Best-effort load expected here, in thousandths of the executor, after weighting; see
    /// [`super::demand`].
    pub(super) expected_load: i64,
    /// Processors that the best-effort tasks on the executor demand, in thousandths.
    pub(super) best_effort_demand: u64,
    /// Images of the service tasks on the executor.
    pub(super) service_images: Vec<ServiceImage>,
    /// Until when the executor gets no more best-effort tasks, to protect its service tasks.
    pub(super) no_best_effort_until: Timestamp,
    /// Failures since the last completed task or restart.
    pub(super) failures: u32,
    /// Until when the executor gets no start orders, since it refused one, reported itself unhealthy
    /// or could not be reached.
    pub(super) backoff_until: Timestamp,
    /// Until when the executor is used only as a last choice, since runs failed there.
    pub(super) penalty_until: Timestamp,
    /// The incarnation that went down with its machine.
    pub(super) down_incarnation: Option<Incarnation>,
    /// The machine is drained before its maintenance.
    pub(super) is_machine_draining: bool,
    /// The executor's data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// When the executor gets work again after its data centre was evacuated.
    pub(super) returns_at: Timestamp,
    pub(super) crash_watch: CrashWatch,
    /// When best-effort tasks on the executor last shared processors with others.
    pub(super) contended_at: Timestamp,
    /// When a hold to the executor last failed.
    pub(super) silent_at: Timestamp,
}

impl Executor {
    pub(super) fn new(target: ExecutorAddress, now: Timestamp) -> Self {
        Self {
            id: target.id.clone(),
            target,
            shares_address: false,
            entry_read_at: Timestamp(0),
            capacity: Resources::default(),
            registration: None,
            is_recorded: false,
            incarnation: None,
            restart_seen_at: Timestamp(0),
            clock: None,
            has_seen_epoch: false,
            epoch_seen_at: now,
            first_report_at: None,
            lease_end_ms: 0,
            lease_extended_at: now,
            stray_order_at: Timestamp(0),
            lease_check_at: None,
            last_received_end: 0,
            last_stored_end: 0,
            last_acknowledged_end: 0,
            long_poll_hold: None,
            immediate_hold: None,
            repeats_immediate_hold: false,
            clock_suspect_since: None,
            failed_holds: 0,
            last_report_at: now,
            last_report_sent: Timestamp(0),
            has_waiting_starts: false,
            runs: BTreeMap::new(),
            lapsed_starts: BTreeMap::new(),
            used: Resources::default(),
            has_new_room: true,
            runs_of_unknown_size: 0,
            best_effort_shares: Shares::new(),
            averaged_shares: Shares::new(),
            averaged_until: now,
            expected_load: 0,
            best_effort_demand: 0,
            service_images: Vec::new(),
            no_best_effort_until: Timestamp(0),
            failures: 0,
            backoff_until: Timestamp(0),
            penalty_until: Timestamp(0),
            down_incarnation: None,
            is_machine_draining: false,
            is_evacuated: false,
            returns_at: Timestamp(0),
            crash_watch: CrashWatch::default(),
            contended_at: Timestamp(0),
            silent_at: Timestamp(0),
        }
    }

    /// The target of an order to the known incarnation.
    pub(super) fn order_target(&self) -> OrderTarget {
        OrderTarget {
            id: self.target.id.clone(),
            address: self.target.address,
            incarnation: self.incarnation,
        }
    }

    /// True if service tasks run on the executor.
    pub(super) fn has_service_tasks(&self) -> bool {
        !self.service_images.is_empty()
    }

    /// Resources that are not reserved; none while the size of a run is not known, or while the runs
    /// reserve more of any resource than the executor has.
    pub(super) fn free(&self) -> Resources {
        if self.runs_of_unknown_size > 0 {
            return Resources::default();
        }
        self.capacity.minus(&self.used).unwrap_or_default()
    }

    /// Processors that are neither reserved nor demanded by best-effort tasks, in thousandths;
    /// negative where best-effort tasks have to share processors.
    pub(super) fn leftover(&self) -> i64 {
        let free = i64::try_from(self.free().processors.0).unwrap_or(i64::MAX);
        free - i64::try_from(self.best_effort_demand).unwrap_or(i64::MAX)
    }

    /// The last stored run end, if the next hold is to acknowledge it; else 0.
    ///
    /// The executor's next incarnation numbers its run ends from 1 again, so that an
    /// acknowledgement that reaches it would drop ends that were never read. Ends are therefore
    /// acknowledged only once, and only if the known incarnation has just answered and no start can have
    /// reached a later one.
    pub(super) fn end_to_acknowledge(&self, now: Timestamp) -> u64 {
        let may_acknowledge = self.failed_holds == 0
            && now.since(self.last_report_at) <= MAX_ACKNOWLEDGED_REPORT_AGE
            && self.has_seen_epoch
            && self.clock_suspect_since.is_none()
            && self.runs.values().all(|run| self.has_confirmed(run));
        if may_acknowledge && self.last_stored_end > self.last_acknowledged_end {
            self.last_stored_end
        } else {
            0
        }
    }

    /// True if one list has room for the ends of one more run. A list that is cut off shows neither
    /// which runs are over nor that a start was not carried out.
    pub(super) fn has_room_for_end(&self) -> bool {
        let unacknowledged = self
            .last_received_end
            .saturating_sub(self.last_acknowledged_end);
        usize::try_from(unacknowledged).is_ok_and(|ends| ends + self.runs.len() < MAX_UNREAD_ENDS)
    }

    /// Load with one more best-effort task, in thousandths of the executor.
    pub(super) fn best_effort_load(&self, demand: u64) -> u64 {
        let capacity = self.capacity.processors.0.max(1);
        let in_use = self.used.processors.0 * RESERVED_USE_PERCENT / 100;
        (in_use + self.best_effort_demand + demand) * 1_000 / capacity
    }

    pub(super) fn add(&mut self, now: Timestamp, task: TaskKey, run: Run) {
        self.update_averaged_shares(now);
        self.used = self.used.plus(&run.size);
        self.runs_of_unknown_size += usize::from(run.is_job_unknown);
        let is_best_effort = run.is_best_effort;
        if is_best_effort {
            self.best_effort_demand += run.processor_demand;
        }
        if run.tail_target.is_some() {
            let mut known = self.service_images.iter_mut();
            match known.find(|service| service.image == run.image) {
                Some(service) => service.count += 1,
                None => self.service_images.push(ServiceImage {
                    image: run.image,
                    count: 1,
                    forecast: DEFAULT_FORECAST,
                }),
            }
        }
        self.runs.insert(task, run);
        if is_best_effort {
            self.update_best_effort_shares();
        }
        self.record_contention(now);
    }

    pub(super) fn remove(&mut self, now: Timestamp, task: TaskKey) -> Option<Run> {
        self.update_averaged_shares(now);
        self.record_contention(now);
        let run = self.runs.remove(&task)?;
        self.has_new_room = true;
        self.used = self.used.minus(&run.size).unwrap_or_default();
        self.runs_of_unknown_size -= usize::from(run.is_job_unknown);
        if run.is_best_effort {
            self.best_effort_demand -= run.processor_demand;
            self.update_best_effort_shares();
        }
        if run.tail_target.is_some() {
            let image = run.image;
            if let Some(service) = self.service_images.iter_mut().find(|s| s.image == image) {
                service.count -= 1;
            }
            self.service_images.retain(|service| service.count > 0);
        }
        Some(run)
    }

    /// The number of runs of one step.
    pub(super) fn runs_of(&self, step: crate::StepKey) -> usize {
        self.runs.range(step.task(0)..=step.task(u16::MAX)).count()
    }
}

impl State {
    /// True if the executor can be given work and has no penalty.
    pub(super) fn is_usable(&self, x: usize) -> bool {
        self.executors[x].penalty_until <= self.now && self.accepts_work(x)
    }

    /// True unless the entry describes another incarnation than the one that answers holds, which may
    /// have another capacity and other labels.
    fn has_current_entry(&self, x: usize) -> bool {
        let executor = &self.executors[x];
        let registered = executor.registration.as_ref().and_then(|r| r.incarnation);
        match (registered, executor.incarnation) {
            (Some(registered), Some(known)) => registered == known,
            _ => true,
        }
    }

    /// True if the executor can be given work, possibly only as a last choice.
    pub(super) fn accepts_work(&self, x: usize) -> bool {
        self.work_exclusion(x).is_none()
    }

    /// Why the executor can be given no work, apart from its room; the first reason that applies.
    pub(super) fn work_exclusion(&self, x: usize) -> Option<Exclusion> {
        let executor = &self.executors[x];
        let Some(registration) = &executor.registration else {
            return Some(Exclusion::NoEntry);
        };
        if !self.may_start_runs() || self.are_entries_outdated() || self.are_evacuations_outdated()
        {
            return Some(Exclusion::OwnerNotReady);
        }
        if registration.is_draining || executor.is_machine_draining {
            return Some(Exclusion::Draining);
        }
        if executor.is_evacuated || executor.returns_at > self.now {
            return Some(Exclusion::Evacuated);
        }
        let is_ready = executor.has_seen_epoch
            && self.ownership.is_confirmed_since(executor.epoch_seen_at)
            && executor.is_recorded
            && self.has_current_entry(x)
            && executor.has_room_for_end()
            && executor.failed_holds == 0
            && executor.backoff_until <= self.now
            && executor.clock.is_some()
            && executor.clock_suspect_since.is_none();
        (!is_ready).then_some(Exclusion::NotReady)
    }

    /// True if the executor has no entry, and nothing that it may run is known.
    pub(super) fn is_gone(&self, x: usize) -> bool {
        let executor = &self.executors[x];
        executor.registration.is_none()
            && executor.runs.is_empty()
            && !self.unreconciled.contains(&x)
    }

    /// Records that all runs of earlier owners on the executor are known.
    pub(super) fn mark_reconciled(&mut self, x: usize) {
        if self.unreconciled.remove(&x) && self.unreconciled.is_empty() {
            self.needs_placement = true;
        }
    }

    /// Treats all runs of the executor as over.
    pub(super) fn mark_all_lost(&mut self, x: usize, why: LossReason) {
        let tasks: Vec<TaskKey> = self.executors[x].runs.keys().copied().collect();
        for task in tasks {
            self.mark_lost(x, task, why);
        }
    }

    /// Treats a run as over although the executor did not report its end.
    pub(super) fn mark_lost(&mut self, x: usize, task: TaskKey, why: LossReason) {
        let Some(run) = self.executors[x].remove(self.now, task) else {
            return;
        };
        let executor = self.executors[x].id.clone();
        self.effects.push(Effect::Log(Decision::Lost {
            task,
            run: run.run,
            executor,
            why,
        }));
        if matches!(why, LossReason::NotStarted | LossReason::StoppedBefore) {
            self.withdraw_crash(task, run.run);
        }
        self.requeue_task(task, run.run, run.checkpoint);
        // An executor that refuses a start has reported that the run is over.
        if why != LossReason::NotStarted {
            let now = self.now;
            if let Some(task) = self.task_mut(task) {
                task.lost_at = now;
                task.lost_run = run.run;
            }
            self.await_confirmation();
        }
        self.needs_placement = true;
    }

    /// Counts a failed run against the executor.
    pub(super) fn record_failure(&mut self, x: usize, why: &'static str) {
        let executor = &mut self.executors[x];
        executor.failures += 1;
        if executor.failures < FAILURES_TO_PENALTY {
            return;
        }
        let doublings = (executor.failures - FAILURES_TO_PENALTY).min(4);
        let penalty = Span(FIRST_PENALTY.0 << doublings).min(MAX_PENALTY);
        executor.penalty_until = self.now + penalty;
        let decision = Decision::Trusted {
            executor: executor.id.clone(),
            is_trusted: false,
            why,
        };
        self.effects.push(Effect::Log(decision));
        self.set_timer(penalty, Timer::Place);
    }

    pub(super) fn clear_failures(&mut self, x: usize) {
        self.executors[x].failures = 0;
    }
}
