//! Executors that restart under their ids and are cut off before owners read of the restart.

use guavacart_jobs::{Effect, Event, JobKey, OrderFailure};
use guavacart_types::{Span, Timestamp};
use rand::Rng;

use crate::{
    faults::{Fault, Faults},
    network::{failure_event, target_of},
    simulation::{EXECUTOR_COUNT, FAULTS_END_MS, JOB_COUNT, SimEvent, Simulation, index_of},
};

/// Longest time on its way of an order that an executor's next incarnation carries out.
const MAX_ORDER_DELAY_MS: u64 = 100;
/// The same if such orders are late.
const MAX_LATE_ORDER_DELAY_MS: u64 = 1_000;
/// Time after which an owner considers an order not answered, in addition to the order's wait.
const ANSWER_TIMEOUT_MS: u64 = 350;
/// Time up to which long runs start, so that jobs end in time.
const LONG_RUNS_END_MS: u64 = FAULTS_END_MS + 10_000;
/// Number of jobs with a service step.
const SERVICE_JOB_COUNT: u64 = 2;
/// Time at which service jobs are cancelled.
const SERVICES_END_MS: u64 = 95_000;

/// The next or last unseen restart of an executor.
#[derive(Clone, Copy)]
pub(crate) struct UnseenRestart {
    returns_at: u64,
    /// When the executor writes its entry.
    entry_at: u64,
}

/// An order whose answer is due.
pub(crate) struct PendingAnswer {
    owner: usize,
    index: usize,
    /// Incarnation that carried the order out.
    started_at: u64,
    order: Effect,
    sent: u64,
    event: Event,
}

pub(crate) fn unseen_restarts_and(faults: Faults) -> Faults {
    Faults {
        unseen_restarts: 4,
        ..faults
    }
}

impl Simulation {
    pub(crate) fn schedule_unseen_restarts(&mut self) {
        if self.faults.unseen_restarts == 0 {
            return;
        }
        for _ in 0..self.faults.unseen_restarts {
            let at = self.rng.random_range(1_000..FAULTS_END_MS);
            let left = self.rng.random_range(1..4);
            let first = self.rng.random_range(0..EXECUTOR_COUNT);
            self.schedule_unseen_restart(at, first, left);
            if self.rng.random_bool(0.4) {
                let distance = self.rng.random_range(1..EXECUTOR_COUNT);
                let second = (first + distance) % EXECUTOR_COUNT;
                let delay = self.rng.random_range(0..500);
                self.schedule_unseen_restart(at + delay, second, 1);
            }
        }
        if self.faults.waves == 0 {
            for key in (JOB_COUNT + 1..).take(SERVICE_JOB_COUNT as usize) {
                let at = self.rng.random_range(100..2_000);
                self.schedule(at, SimEvent::SubmitJob(JobKey(key)));
                self.schedule(SERVICES_END_MS, SimEvent::CancelJob(JobKey(key)));
            }
        }
    }

    fn schedule_unseen_restart(&mut self, at: u64, index: usize, left: u32) {
        let fault = Fault::RestartUnseen { index, left };
        self.schedule(at, SimEvent::Fault(fault));
    }

    /// Crashes an executor that returns within 0.5 s, is cut off from all owners soon after, and writes
    /// its entry at once, late, or after the cut. Another restart follows if any are left.
    pub(crate) fn restart_unseen(&mut self, index: usize, left: u32) {
        let is_short = self.rng.random_bool(0.5);
        let downtime = self
            .rng
            .random_range(0..if is_short { MAX_ORDER_DELAY_MS } else { 500 });
        let returns_at = self.now + downtime;
        let cut_at = returns_at + self.rng.random_range(20..2_500);
        let until = cut_at + self.rng.random_range(5_000..10_000);
        let entry_at = match self.rng.random_range(0..4) {
            0 => returns_at,
            1 => until + self.rng.random_range(0..1_000),
            _ => returns_at + self.rng.random_range(300..3_000),
        };
        if left > 1 {
            let next_index = if self.rng.random_bool(0.6) {
                index
            } else {
                self.rng.random_range(0..EXECUTOR_COUNT)
            };
            let next_at = until + self.rng.random_range(200..3_000);
            if next_at < FAULTS_END_MS {
                self.schedule_unseen_restart(next_at, next_index, left - 1);
            }
        }
        if !self.executors[index].is_up {
            return;
        }
        self.unseen_restarts[index] = Some(UnseenRestart {
            returns_at,
            entry_at,
        });
        self.crash(index, downtime);
        let cut = Fault::CutOffExecutor { index, until };
        self.schedule(cut_at, SimEvent::Fault(cut));
    }

    pub(crate) fn cut_off_executor(&mut self, index: usize, until: u64) {
        self.trace(|| format!("x{index} is cut off until {until}"));
        let executor = &mut self.executors[index];
        executor.unreachable_until = executor.unreachable_until.max(until);
    }

    /// Has an executor that has just restarted write its entry, at once or later.
    pub(crate) fn write_entry_of_restarted(&mut self, index: usize, earlier: u64) {
        let restart = self.unseen_restarts[index].filter(|restart| restart.returns_at == self.now);
        let Some(restart) = restart else {
            self.broadcast_entry(index);
            return;
        };
        self.executors[index].written_incarnation = earlier;
        let write = SimEvent::WriteIncarnation(index, self.now);
        self.schedule(restart.entry_at, write);
    }

    /// Writes the entry of an executor, if that still has the given start time.
    pub(crate) fn write_incarnation(&mut self, index: usize, started_at: u64) {
        if self.executors[index].started_at == started_at {
            self.trace(|| format!("x{index} writes its entry"));
            self.executors[index].written_incarnation = started_at;
            self.broadcast_entry(index);
        }
    }

    /// Draws when an order for an executor that is down reaches the next incarnation; `None` if it never
    /// does.
    fn draw_stray_arrival(&mut self, index: usize, sent: u64) -> Option<u64> {
        let restart = self.unseen_restarts[index]?;
        if self.executors[index].is_up || self.now >= restart.returns_at {
            return None;
        }
        let arrives_at = restart.returns_at + self.rng.random_range(1..20);
        let max_delay = if self.faults.late_stray_orders {
            MAX_LATE_ORDER_DELAY_MS
        } else {
            MAX_ORDER_DELAY_MS
        };
        let is_carried_out = arrives_at - sent <= max_delay && self.rng.random_bool(0.5);
        is_carried_out.then_some(arrives_at)
    }

    /// Handles an order for an executor that cannot be reached: it reaches the next incarnation, or is
    /// lost.
    pub(crate) fn miss_order(&mut self, owner: usize, order: Effect, sent: u64, answered: bool) {
        let index = target_of(&order).map(|target| index_of(&target.id));
        let may_stray = !self.faults.orders_reach_one_incarnation;
        let index = index.filter(|_| may_stray);
        let arrives_at = index.and_then(|index| self.draw_stray_arrival(index, sent));
        let timeout_at = sent + ANSWER_TIMEOUT_MS;
        let is_in_time = arrives_at.is_some_and(|at| at < timeout_at);
        if answered
            && !is_in_time
            && let Some(event) = failure_event(&order, sent, OrderFailure::NoAnswer)
        {
            let at = if arrives_at.is_some() {
                timeout_at.max(self.now)
            } else {
                self.now + ANSWER_TIMEOUT_MS
            };
            self.schedule(at, SimEvent::Deliver(owner, event));
        }
        if let Some(arrives_at) = arrives_at {
            let stray = SimEvent::Order {
                owner,
                order,
                sent,
                answered: answered && is_in_time,
                queued_in: None,
            };
            self.schedule(arrives_at, stray);
        }
    }

    /// Schedules the answer to an order that an executor has carried out. It is lost if the executor
    /// crashes or is cut off before.
    pub(crate) fn schedule_answer(
        &mut self,
        owner: usize,
        index: usize,
        order: Effect,
        sent: u64,
        event: Event,
    ) {
        let wait = match &order {
            Effect::Hold(_, order) if order.wait > Span::ZERO => {
                self.rng.random_range(order.wait.0 / 8..=order.wait.0)
            }
            _ => 0,
        };
        let answer = PendingAnswer {
            owner,
            index,
            started_at: self.executors[index].started_at,
            order,
            sent,
            event,
        };
        self.schedule(self.now + wait, SimEvent::Answer(Box::new(answer)));
    }

    /// Sends a due answer. The answer to a hold shows the executor's state at this time.
    pub(crate) fn send_answer(&mut self, answer: PendingAnswer) {
        let PendingAnswer {
            owner,
            index,
            started_at,
            order,
            sent,
            event,
        } = answer;
        let now = self.now;
        let delay = self.rng.random_range(1..8);
        let is_current = self.executors[index].started_at == started_at;
        if !is_current || !self.is_reachable(owner, index) {
            if let Some(event) = failure_event(&order, sent, OrderFailure::NoAnswer) {
                let at = now + ANSWER_TIMEOUT_MS;
                self.schedule(at, SimEvent::Deliver(owner, event));
            }
            return;
        }
        let event = match event {
            Event::HoldAnswered {
                executor,
                report: Ok(_),
                is_long_poll: true,
                ..
            } => Event::HoldAnswered {
                executor,
                sent: Timestamp(sent),
                report: Ok(self.executors[index].report(now)),
                is_long_poll: true,
            },
            event => event,
        };
        self.schedule(now + delay, SimEvent::Deliver(owner, event));
    }

    /// Draws the duration of a run.
    pub(crate) fn draw_duration(&mut self) -> u64 {
        let may_be_long = self.faults.unseen_restarts > 0 && self.now < LONG_RUNS_END_MS;
        let is_long = may_be_long && self.rng.random_bool(0.6);
        let (shortest, longest) = if is_long {
            (2_000, 12_000)
        } else {
            (100, 2_500)
        };
        self.rng.random_range(shortest..longest)
    }
}
