//! Start and stop orders and their results.

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    runs::{PendingStop, Phase, Run},
};
use crate::{
    Decision, Effect, ExecutorId, JobKey, LossReason, OrderFailure, RefusalReason, RunNumber,
    StartOrder, TaskKey, Ticket, policy::wait::WaitEnd,
};

/// Delay before an unanswered stop order is repeated.
const STOP_REPEAT_DELAY: Span = Span::millis(350);
/// Backoff for an executor that reported itself unhealthy.
const UNHEALTHY_BACKOFF: Span = Span::millis(1_000);
/// Backoff for an executor that refused or did not understand a start order, for example for lack
/// of room, whose other incarnation answered, or to which no connection was made.
const REFUSED_BACKOFF: Span = Span::millis(300);

impl State {
    /// Orders the start of a run and reserves the run's resources from now on.
    pub(super) fn start_run(
        &mut self,
        x: usize,
        task: TaskKey,
        run: RunNumber,
        ticket: Option<Ticket>,
    ) {
        let Some(deadline_ms) = self.extend_lease(x) else {
            return;
        };
        let Some(step) = self.spec(task) else {
            return;
        };
        let image = self.interference.known_image(step.image.as_ref());
        let new_run = Run {
            run,
            size: step.reserved(),
            processor_demand: step.resources.processors.0,
            is_best_effort: step.is_best_effort,
            tail_target: step.tail_target,
            phase: Phase::Sent,
            listed_by: None,
            deadline_ms,
            since: self.now,
            stop: None,
            percent: 0,
            pace: 100,
            image,
            over_since: None,
            tail_ms: None,
            tail_at: Timestamp(0),
            is_tail_new: false,
            slowed_since: None,
            has_checkpoints: step.has_checkpoints,
            idle_reports: 0,
            paced_at: Timestamp(0),
            overuse_reports: 0,
            checkpoint: None,
            is_job_unknown: false,
        };
        let checkpoint = self.task(task).and_then(|task| task.checkpoint.clone());
        let payload = self.jobs[&task.step.job].job.payload.clone();
        let entry = &self.jobs[&task.step.job];
        let ready_since = entry.state(task.step).map(|state| state.ready_since);
        let waited = self.now.since(ready_since.unwrap_or(self.now));
        let priority = self.rules(entry).priority;
        self.record_start(priority, step.is_long_running, waited);
        let send_until = self.start_may_be_sent_until(x);
        let executor = &mut self.executors[x];
        let decision = Decision::Placed {
            task,
            run,
            executor: executor.id.clone(),
            free: executor.free(),
            age: self.now.since(executor.last_report_at),
            waited,
        };
        executor.add(self.now, task, new_run);
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Start(
            self.executors[x].order_target(),
            StartOrder {
                epoch: self.epoch,
                task,
                run,
                payload,
                deadline_ms,
                checkpoint,
                ticket,
                send_until,
            },
        ));
        self.record_placement(x, task, run);
        self.set_lease_timer(x);
    }

    /// Records where a task runs.
    pub(super) fn record_placement(&mut self, x: usize, key: TaskKey, run: RunNumber) {
        let Some(entry) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        entry.progress.has_started = true;
        let Some(state) = entry.state_mut(key.step) else {
            return;
        };
        state.waiting.remove(&key.index);
        let is_empty = state.waiting.is_empty();
        if let Some(task) = state.tasks.get_mut(usize::from(key.index)) {
            task.placement = Some((x, run));
            task.last_run = task.last_run.max(run);
        }
        if is_empty {
            self.ready.remove(&key.step);
            self.end_rack_wait(key.step, WaitEnd::Started);
        }
    }

    /// Applies the result of a start order; on success, the reading of the executor's clock.
    pub(super) fn on_start_result(
        &mut self,
        id: &ExecutorId,
        task: TaskKey,
        run: RunNumber,
        result: Result<u64, OrderFailure>,
    ) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        let now = self.now;
        let is_not_sent = matches!(
            result,
            Err(OrderFailure::NotSent | OrderFailure::OtherIncarnation)
        );
        if !is_not_sent {
            let is_answered = result != Err(OrderFailure::NoAnswer);
            self.record_start_arrival(x, task, run, is_answered);
        }
        if let Ok(clock_ms) = result {
            let known = self.executors[x].runs.get(&task);
            let sent = known.filter(|known| known.run == run);
            let sent = sent.map_or(now, |known| known.since);
            self.check_clock(x, sent, clock_ms);
        }
        let Some(known) = self.executors[x].runs.get_mut(&task) else {
            return;
        };
        if known.run != run || known.phase != Phase::Sent {
            return;
        }
        let Err(failure) = result else {
            known.phase = Phase::Running(now);
            let taken = now.since(known.since);
            self.record_start_answer(taken);
            self.hold_if_needed(x);
            return;
        };
        self.effects.push(Effect::Log(Decision::OrderFailed {
            executor: id.clone(),
            task: Some(task),
            failure,
        }));
        self.start_failed(x, task, failure);
    }

    /// Handles a failed start order. The run is marked lost, unless it may have started or this
    /// owner was fenced.
    fn start_failed(&mut self, x: usize, task: TaskKey, failure: OrderFailure) {
        match failure {
            OrderFailure::NoAnswer => {
                if let Some(run) = self.executors[x].runs.get_mut(&task) {
                    run.phase = Phase::Unanswered;
                }
                self.hold_immediately(x);
                return;
            }
            OrderFailure::Refused(RefusalReason::Fenced) => {
                self.effects.push(Effect::StepDown);
                return;
            }
            OrderFailure::Refused(RefusalReason::BadTicket) => self.drop_ticket(x, task.step),
            OrderFailure::Refused(_) | OrderFailure::Rejected => self.back_off(x, REFUSED_BACKOFF),
            OrderFailure::Unhealthy => self.back_off(x, UNHEALTHY_BACKOFF),
            OrderFailure::OtherIncarnation | OrderFailure::NotSent => {
                self.back_off(x, REFUSED_BACKOFF);
            }
        }
        self.mark_lost(x, task, LossReason::NotStarted);
        self.hold_immediately(x);
    }

    pub(super) fn back_off(&mut self, x: usize, backoff: Span) {
        let until = self.now + backoff;
        let executor = &mut self.executors[x];
        executor.backoff_until = executor.backoff_until.max(until);
        self.set_timer(backoff, Timer::Place);
    }

    /// Stops every run of a job on all executors.
    pub(super) fn stop_job(&mut self, key: JobKey) {
        for x in 0..self.executors.len() {
            let tasks: Vec<TaskKey> = self.executors[x]
                .runs
                .keys()
                .filter(|task| task.step.job == key)
                .copied()
                .collect();
            for task in tasks {
                self.stop_run(x, task, "the job is over");
            }
        }
    }

    /// Orders the stop of a run. Its resources stay reserved until the run is known to be over.
    pub(super) fn stop_run(&mut self, x: usize, task: TaskKey, why: &'static str) {
        let now = self.now;
        let executor = &mut self.executors[x];
        let Some(run) = executor.runs.get_mut(&task) else {
            return;
        };
        if run.stop.is_some() {
            return;
        }
        run.stop = Some(PendingStop {
            sent: now,
            answered: None,
        });
        let decision = Decision::Stopping {
            task,
            run: run.run,
            executor: executor.id.clone(),
            why,
        };
        self.effects.push(Effect::Log(decision));
        self.send_stop(x, task);
        self.set_timer(STOP_REPEAT_DELAY, Timer::RepeatStops(x));
    }

    /// Keeps those of the expired runs whose start orders were not answered.
    pub(super) fn keep_lapsed_starts(&mut self, x: usize, expired: &[TaskKey]) {
        let executor = &mut self.executors[x];
        let is_unanswered = |run: &Run| matches!(run.phase, Phase::Sent | Phase::Unanswered);
        let runs = expired.iter().filter_map(|task| {
            let run = executor.runs.get(task)?;
            is_unanswered(run).then_some((*task, run.run))
        });
        executor.lapsed_starts.extend(runs.map(|run| (run, None)));
    }

    /// Stops the runs that an executor may still start after their lease, so that it refuses to.
    pub(super) fn stop_lapsed_starts(&mut self, x: usize) {
        let now = self.now;
        let executor = &mut self.executors[x];
        let target = executor.order_target();
        let runs = &executor.runs;
        let is_adopted = |(task, run)| runs.get(&task).is_some_and(|known: &Run| known.run == run);
        executor.lapsed_starts.retain(|key, _| !is_adopted(*key));
        for ((task, run), sent) in &mut executor.lapsed_starts {
            if sent.is_some_and(|sent| now.since(sent) < STOP_REPEAT_DELAY) {
                continue;
            }
            *sent = Some(now);
            self.effects.push(Effect::Stop {
                target: target.clone(),
                task: *task,
                run: *run,
                epoch: self.epoch,
            });
        }
    }

    fn send_stop(&mut self, x: usize, task: TaskKey) {
        let executor = &self.executors[x];
        if let Some(run) = executor.runs.get(&task) {
            self.effects.push(Effect::Stop {
                target: executor.order_target(),
                task,
                run: run.run,
                epoch: self.epoch,
            });
        }
    }

    pub(super) fn on_stop_result(
        &mut self,
        id: &ExecutorId,
        task: TaskKey,
        run: RunNumber,
        result: Result<(), OrderFailure>,
    ) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        if result == Err(OrderFailure::Refused(RefusalReason::Fenced)) {
            self.effects.push(Effect::StepDown);
            return;
        }
        if result.is_ok() {
            self.executors[x].lapsed_starts.remove(&(task, run));
        }
        let now = self.now;
        let Some(known) = self.executors[x].runs.get_mut(&task) else {
            return;
        };
        if known.run != run {
            return;
        }
        match (result, &mut known.stop) {
            (Ok(()), Some(stop)) => {
                stop.answered = Some(now);
                self.hold_immediately(x);
            }
            (Err(_), _) => self.set_timer(STOP_REPEAT_DELAY, Timer::RepeatStops(x)),
            (Ok(()), None) => {}
        }
    }

    pub(super) fn repeat_unanswered_stops(&mut self, x: usize) {
        let now = self.now;
        let is_due = |run: &Run| {
            let stop = run.stop.filter(|stop| stop.answered.is_none());
            stop.is_some_and(|stop| now.since(stop.sent) >= STOP_REPEAT_DELAY)
        };
        let due: Vec<TaskKey> = self.executors[x]
            .runs
            .iter()
            .filter(|(_, run)| is_due(run))
            .map(|(task, _)| *task)
            .collect();
        if due.is_empty() {
            return;
        }
        for task in due {
            if let Some(stop) = self.executors[x]
                .runs
                .get_mut(&task)
                .and_then(|run| run.stop.as_mut())
            {
                stop.sent = now;
            }
            self.send_stop(x, task);
        }
        self.set_timer(STOP_REPEAT_DELAY, Timer::RepeatStops(x));
    }
}
