//! The network between owners and executors: delays, losses and partitions of orders.

use guavacart_jobs::{Effect, Event, OrderFailure, OrderTarget, RunNumber, RunOutcome, TaskKey};
use guavacart_types::{Span, Timestamp};
use rand::Rng;

use crate::{
    executor::Running,
    maintenance::{LATE_MS, maintenance_answer},
    simulation::{FAULTS_END_MS, SimEvent, Simulation, index_of},
};

/// Time from the start of a run to the crash that it causes.
const CRASH_DELAY_MS: u64 = 10;
/// Time after the completion of a job in which an owner that does not know of it may start tasks.
const MAX_UNAWARE_MS: u64 = 1_000;

/// Owners that reach an executor while others do not.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reach {
    Newest,
    Superseded,
    /// Owners with an even or an odd index.
    EveryOther(usize),
}

#[derive(Clone, Copy)]
pub(crate) struct Partition {
    pub(crate) until: u64,
    pub(crate) reach: Reach,
}

impl Simulation {
    pub(crate) fn is_reachable(&self, owner: usize, index: usize) -> bool {
        let executor = &self.executors[index];
        if !executor.is_up || executor.unreachable_until > self.now {
            return false;
        }
        let partition = self.partitions[index].filter(|partition| partition.until > self.now);
        partition.is_none_or(|partition| match partition.reach {
            Reach::Newest => self.owners[owner].superseded_at.is_none(),
            Reach::Superseded => self.owners[owner].superseded_at.is_some(),
            Reach::EveryOther(remainder) => owner % 2 == remainder,
        })
    }

    pub(crate) fn send(&mut self, owner: usize, order: Effect) {
        let sent = self.now;
        let are_faults_over = self.now > FAULTS_END_MS;
        let is_delayed = !are_faults_over && self.rng.random_bool(self.faults.delayed_orders);
        let is_delayed = is_delayed && !self.is_for_other_incarnation(&order);
        let is_lost = !are_faults_over && self.rng.random_bool(self.faults.lost_answers);
        let delay = if is_delayed {
            self.rng.random_range(2_000..12_000)
        } else {
            self.rng.random_range(1..8)
        };
        let is_save = matches!(order, Effect::Save(_));
        let answered = is_save || !(is_delayed || is_lost);
        if !answered {
            let event = failure_event(&order, sent, OrderFailure::NoAnswer);
            if let Some(event) = event {
                self.schedule(self.now + 350, SimEvent::Deliver(owner, event));
            }
        }
        let delay = if is_save { 5 } else { delay };
        let index = target_of(&order).map(|target| index_of(&target.id));
        let queued_in = index
            .filter(|_| is_delayed)
            .map(|index| self.queue_of(owner, index).unwrap_or_default());
        let order = SimEvent::Order {
            owner,
            order,
            sent,
            answered,
            queued_in,
        };
        self.schedule(self.now + delay, order);
    }

    pub(crate) fn receive_order(&mut self, owner: usize, order: Effect, sent: u64, answered: bool) {
        if let Effect::Save(_) = order {
            self.save(owner, order);
            return;
        }
        let Some(target) = target_of(&order) else {
            self.receive_machine_call(owner, &order, sent, answered);
            return;
        };
        let index = index_of(&target.id);
        let is_current = target.id == self.executor_id(index);
        if !self.is_reachable(owner, index) {
            self.miss_order(owner, order, sent, answered);
            return;
        }
        let event = if is_current && self.is_for_other_incarnation(&order) {
            self.meet_other_incarnation(index, &order, sent)
        } else if is_current {
            self.execute(index, &order, sent)
        } else {
            failure_event(&order, sent, OrderFailure::OtherIncarnation)
        };
        if let Some(event) = event.filter(|_| answered) {
            if self.faults.unseen_restarts > 0 {
                self.schedule_answer(owner, index, order, sent, event);
                return;
            }
            let wait = match &order {
                Effect::Hold(_, order) => order.wait.0 / 4,
                _ => 0,
            };
            let delay = self.rng.random_range(1..8) + wait;
            self.schedule(self.now + delay, SimEvent::Deliver(owner, event));
        }
    }

    pub(crate) fn execute(&mut self, index: usize, order: &Effect, sent: u64) -> Option<Event> {
        let executor = self.executor_id(index);
        let now = self.now;
        self.trace(|| format!("x{index} carries out {order:?}, sent at {sent}"));
        Some(match order {
            Effect::Hold(_, order) => {
                let result = self.executors[index].hold(now, order);
                let report = result.map(|(report, acknowledged)| {
                    self.observer.record_acknowledged(&acknowledged, self.seed);
                    report
                });
                Event::HoldAnswered {
                    executor,
                    sent: Timestamp(sent),
                    report,
                    is_long_poll: order.wait > Span::ZERO,
                }
            }
            Effect::Start(_, order) => {
                let duration = self.draw_duration();
                let is_service = self.is_service(order.task);
                let running = Running {
                    run: order.run,
                    done_at: (!is_service).then_some(now + duration),
                    fails: self.rng.random_bool(0.08),
                };
                let result = self.executors[index].start(now, order, running);
                if result == Ok(true) {
                    self.check_job_is_open(order.task, sent);
                    let executors = &self.executors;
                    let capacity = executors[index].capacity.known_by(now);
                    self.observer
                        .check_start(now, order.task, index, executors, capacity, self.seed);
                    self.services.record_start(order.task);
                    let started_at = self.executors[index].started_at;
                    let finish = SimEvent::Finish(index, started_at, order.task, order.run);
                    self.schedule(now + duration, finish);
                    if self.crashes_executors(order.task) {
                        self.observer.check_crashing_start(order.task, self.seed);
                        let crash = SimEvent::CrashUnderRun(index, started_at);
                        self.schedule(now + CRASH_DELAY_MS, crash);
                    }
                }
                Event::StartAnswered {
                    executor,
                    task: order.task,
                    run: order.run,
                    result: result.map(|_| self.executors[index].clock(now)),
                }
            }
            Effect::Stop {
                task, run, epoch, ..
            } => {
                let known = self.executors[index].running.get(task);
                let has_run = known.is_some_and(|known| known.run <= *run);
                let result = self.executors[index].stop(now, *epoch, *task, *run);
                let is_ended = has_run && !self.executors[index].running.contains_key(task);
                if is_ended && result.is_ok() {
                    self.stop_service(index, *task, *run, now - sent >= LATE_MS);
                }
                Event::StopAnswered {
                    executor,
                    task: *task,
                    run: *run,
                    result,
                }
            }
            _ => return None,
        })
    }

    /// Checks that no start was sent longer than [`MAX_UNAWARE_MS`] after the completion of its job
    /// was stored.
    fn check_job_is_open(&self, task: TaskKey, sent: u64) {
        let completed_at = self.store.completed_at(task.step.job);
        assert!(
            completed_at.is_none_or(|at| sent <= at + MAX_UNAWARE_MS),
            "seed {}: start of {task} sent at {sent} after its job was completed at {completed_at:?}",
            self.seed
        );
    }

    pub(crate) fn finish(&mut self, index: usize, started_at: u64, task: TaskKey, run: RunNumber) {
        let now = self.now;
        let executor = &mut self.executors[index];
        executor.expire_lease(now);
        let running = executor.running.get(&task);
        let Some(running) =
            running.filter(|running| running.run == run && executor.started_at == started_at)
        else {
            return;
        };
        if !executor.is_up || running.done_at.is_none() {
            return;
        }
        let outcome = if running.fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        executor.end_run(now, task, outcome);
        self.trace(|| format!("x{index} ends {task} as {outcome:?}"));
        if outcome == RunOutcome::Done {
            self.observer.record_done(task);
        }
    }
}

pub(crate) fn target_of(order: &Effect) -> Option<&OrderTarget> {
    match order {
        Effect::Hold(target, _) | Effect::Start(target, _) => Some(target),
        Effect::Stop { target, .. } | Effect::Pace { target, .. } => Some(target),
        _ => None,
    }
}

/// Returns the event that reports the failure of an order to its owner.
pub(crate) fn failure_event(order: &Effect, sent: u64, failure: OrderFailure) -> Option<Event> {
    if let Effect::BeginMaintenance(order) = order {
        let result = Err(failure);
        return Some(maintenance_answer(order, result));
    }
    if let Effect::ListMachines = order {
        return Some(Event::MachinesListed {
            sent: Timestamp(sent),
            machines: Vec::new(),
        });
    }
    let executor = target_of(order)?.id.clone();
    Some(match order {
        Effect::Hold(_, order) => Event::HoldAnswered {
            executor,
            sent: Timestamp(sent),
            report: Err(failure),
            is_long_poll: order.wait > Span::ZERO,
        },
        Effect::Start(_, order) => Event::StartAnswered {
            executor,
            task: order.task,
            run: order.run,
            result: Err(failure),
        },
        Effect::Stop { task, run, .. } => Event::StopAnswered {
            executor,
            task: *task,
            run: *run,
            result: Err(failure),
        },
        _ => return None,
    })
}
