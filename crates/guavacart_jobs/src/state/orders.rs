//! Starts and stops, and the answers to them.

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    fleet::{Phase, Run, Stopping},
};
use crate::{
    Decision, Effect, ExecutorId, JobKey, Loss, OrderFailure, Refusal, RunNumber, StartOrder,
    TaskKey, Ticket,
};

/// Pause before a stop without an answer is repeated.
const STOP_REPEAT: Span = Span::millis(350);
/// Rest of an executor that called itself unhealthy.
const UNHEALTHY_REST: Span = Span::millis(1_000);
/// Rest of an executor that refused for want of room, or could not be connected.
const REFUSED_REST: Span = Span::millis(300);

impl State {
    /// Orders a start; the room is committed from now on.
    pub(super) fn start(
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
        let image = self.interference.known(step.image.as_ref());
        let order = Run {
            run,
            size: step.committed(),
            wish: step.size.processors.0,
            is_filler: step.is_filler,
            tail_target: step.tail_target,
            phase: Phase::Sent,
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
            idle_looks: 0,
            checkpoint: None,
            is_foreign: false,
        };
        let checkpoint = self.task(task).and_then(|task| task.checkpoint.clone());
        let payload = self.jobs[&task.step.job].job.payload.clone();
        let executor = &mut self.fleet[x];
        let decision = Decision::Placed {
            task,
            run,
            executor: executor.id.clone(),
            free: executor.free(),
            age: self.now.since(executor.heard),
        };
        executor.add(self.now, task, order);
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Start(
            self.fleet[x].target.clone(),
            StartOrder {
                epoch: self.epoch,
                task,
                run,
                payload,
                deadline_ms,
                checkpoint,
                ticket,
            },
        ));
        self.occupy(x, task, run);
        self.watch_lapse(x);
    }

    /// Notes where a task runs.
    pub(super) fn occupy(&mut self, x: usize, key: TaskKey, run: RunNumber) {
        let Some(entry) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        entry.progress.has_begun = true;
        let Some(state) = entry.state_mut(key.step) else {
            return;
        };
        state.waiting.remove(&key.index);
        let is_empty = state.waiting.is_empty();
        if let Some(task) = state.tasks.get_mut(usize::from(key.index)) {
            task.placed = Some((x, run));
            task.last_run = task.last_run.max(run);
        }
        if is_empty {
            self.ready.remove(&key.step);
        }
    }

    pub(super) fn started(
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
        if let Ok(clock_ms) = result {
            self.fleet[x].check_clock(now, clock_ms);
        }
        let Some(known) = self.fleet[x].runs.get_mut(&task) else {
            return;
        };
        if known.run != run || known.phase != Phase::Sent {
            return;
        }
        let Err(failure) = result else {
            known.phase = Phase::Running(now);
            self.hold_if_wanted(x);
            return;
        };
        self.effects.push(Effect::Log(Decision::OrderFailed {
            executor: id.clone(),
            task: Some(task),
            failure,
        }));
        self.start_failed(x, task, failure);
    }

    fn start_failed(&mut self, x: usize, task: TaskKey, failure: OrderFailure) {
        match failure {
            OrderFailure::NoAnswer => {
                if let Some(run) = self.fleet[x].runs.get_mut(&task) {
                    run.phase = Phase::Doubtful;
                }
                self.look(x);
                return;
            }
            OrderFailure::Refused(Refusal::Fenced) => {
                self.effects.push(Effect::StepDown);
                return;
            }
            OrderFailure::Refused(Refusal::BadTicket) => self.drop_ticket(x, task.step),
            OrderFailure::Refused(_) | OrderFailure::Rejected => self.rest(x, REFUSED_REST),
            OrderFailure::Unhealthy => self.rest(x, UNHEALTHY_REST),
            OrderFailure::OtherIncarnation | OrderFailure::NotSent => {
                self.rest(x, REFUSED_REST);
            }
        }
        self.lose(x, task, Loss::NotStarted);
        self.look(x);
    }

    fn rest(&mut self, x: usize, rest: Span) {
        let until = self.now + rest;
        let executor = &mut self.fleet[x];
        executor.rests_until = executor.rests_until.max(until);
        self.set_timer(rest, Timer::Place);
    }

    /// Stops every run of a job, wherever it is.
    pub(super) fn stop_job(&mut self, key: JobKey) {
        for x in 0..self.fleet.len() {
            let tasks: Vec<TaskKey> = self.fleet[x]
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

    /// Orders a stop; the room stays committed until the end is certain.
    pub(super) fn stop_run(&mut self, x: usize, task: TaskKey, why: &'static str) {
        let now = self.now;
        let executor = &mut self.fleet[x];
        let Some(run) = executor.runs.get_mut(&task) else {
            return;
        };
        if run.stop.is_some() {
            return;
        }
        run.stop = Some(Stopping {
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
        self.set_timer(STOP_REPEAT, Timer::Stop(x));
    }

    fn send_stop(&mut self, x: usize, task: TaskKey) {
        let executor = &self.fleet[x];
        if let Some(run) = executor.runs.get(&task) {
            self.effects.push(Effect::Stop {
                target: executor.target.clone(),
                task,
                run: run.run,
                epoch: self.epoch,
            });
        }
    }

    pub(super) fn stopped(
        &mut self,
        id: &ExecutorId,
        task: TaskKey,
        run: RunNumber,
        result: Result<(), OrderFailure>,
    ) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        if result == Err(OrderFailure::Refused(Refusal::Fenced)) {
            self.effects.push(Effect::StepDown);
            return;
        }
        let now = self.now;
        let Some(known) = self.fleet[x].runs.get_mut(&task) else {
            return;
        };
        if known.run != run {
            return;
        }
        match (result, &mut known.stop) {
            (Ok(()), Some(stop)) => {
                stop.answered = Some(now);
                self.look(x);
            }
            (Err(_), _) => self.set_timer(STOP_REPEAT, Timer::Stop(x)),
            (Ok(()), None) => {}
        }
    }

    pub(super) fn repeat_stops(&mut self, x: usize) {
        let now = self.now;
        let is_due = |run: &Run| {
            let stop = run.stop.filter(|stop| stop.answered.is_none());
            stop.is_some_and(|stop| now.since(stop.sent) >= STOP_REPEAT)
        };
        let due: Vec<TaskKey> = self.fleet[x]
            .runs
            .iter()
            .filter(|(_, run)| is_due(run))
            .map(|(task, _)| *task)
            .collect();
        if due.is_empty() {
            return;
        }
        for task in due {
            if let Some(stop) = self.fleet[x]
                .runs
                .get_mut(&task)
                .and_then(|run| run.stop.as_mut())
            {
                stop.sent = now;
            }
            self.send_stop(x, task);
        }
        self.set_timer(STOP_REPEAT, Timer::Stop(x));
    }
}
