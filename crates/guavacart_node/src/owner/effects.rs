//! Executes the reducer's effects.

use std::{
    rc::Rc,
    task::{Context, Waker},
};

use guavacart_jobs::{Decision, Effect, Event, ExecutorId, StepKey, Ticket};
use guavacart_types::{Span, Timestamp};
use tokio::{
    task,
    time::{self, Instant},
};

use super::Owner;
use crate::{Platform, clock, log};

/// Spawns a task and carries out its first part at once, so that an order is sent before what the
/// event loop has to do otherwise.
fn spawn_begun(task: impl Future<Output = ()> + 'static) {
    let mut task = Box::pin(task);
    let mut cx = Context::from_waker(Waker::noop());
    if task.as_mut().poll(&mut cx).is_pending() {
        task::spawn_local(task);
    }
}

impl<P: Platform> Owner<P> {
    /// Executes the effects of an event that was applied at `decided`.
    pub(super) fn execute(self: &Rc<Self>, effects: Vec<Effect>, decided: Timestamp) {
        for effect in effects {
            self.execute_one(effect, decided);
        }
    }

    fn execute_one(self: &Rc<Self>, effect: Effect, decided: Timestamp) {
        let owner = Rc::clone(self);
        let platform = self.shared.platform.clone();
        match effect {
            Effect::Log(decision) => {
                self.count(&decision);
                log::decision(self.epoch, self.unconfirmed_for(), &decision);
            }
            Effect::ConfirmOwnership => self.renew_now.notify_one(),
            Effect::StepDown => self.step_down("an executor has seen a greater epoch"),
            Effect::Hold(target, order) => {
                self.shared.counters.holds.add(1);
                task::spawn_local(owner.hold(target, order));
            }
            Effect::Start(target, order) => {
                self.shared.counters.starts.add(1);
                spawn_begun(owner.start_run(target, order, decided));
            }
            Effect::Stop {
                target,
                task,
                run,
                epoch,
            } => {
                self.shared.counters.stops.add(1);
                task::spawn_local(async move {
                    let executor = target.id.clone();
                    let order = platform.stop(target, task, run, epoch);
                    let result = owner.answer_in_time(order).await;
                    owner.apply(Event::StopAnswered {
                        executor,
                        task,
                        run,
                        result,
                    });
                });
            }
            Effect::Pace {
                target,
                task,
                run,
                percent,
                epoch,
            } => {
                self.shared.counters.paces.add(1);
                task::spawn_local(async move {
                    let executor = target.id.clone();
                    let order = platform.pace(target, task, run, percent, epoch);
                    let result = owner.answer_in_time(order).await;
                    owner.apply(Event::PaceAnswered {
                        executor,
                        task,
                        run,
                        percent,
                        result,
                    });
                });
            }
            Effect::Save(order) => {
                task::spawn_local(async move { owner.save(order).await });
            }
            Effect::DeleteJobs(jobs) => {
                task::spawn_local(async move { owner.delete_jobs(jobs).await });
            }
            Effect::DeleteTombstones(jobs) => {
                task::spawn_local(async move { owner.delete_tombstones(jobs).await });
            }
            Effect::AskAdvice {
                step,
                executors,
                wait,
            } => {
                task::spawn_local(async move {
                    let allowed = owner.advise(step, executors, wait).await;
                    owner.apply(Event::AdviceAnswered { step, allowed });
                });
            }
            Effect::MeasureLag { after } => {
                task::spawn_local(async move {
                    let due = Instant::now() + after.into();
                    time::sleep_until(due).await;
                    owner.apply(Event::LagMeasured(due.elapsed().into()));
                });
            }
            Effect::ListMachines => {
                task::spawn_local(async move {
                    let sent = clock::now();
                    let machines = platform.machines().await;
                    if machines.is_none() {
                        tracing::warn!(event = "no_machine_list");
                    }
                    let machines = machines.unwrap_or_default();
                    owner.apply(Event::MachinesListed { sent, machines });
                });
            }
            Effect::BeginMaintenance(order) => {
                self.shared.counters.maintenance_orders.add(1);
                task::spawn_local(owner.begin_maintenance(order, decided));
            }
        }
    }

    fn count(&self, decision: &Decision) {
        match decision {
            Decision::Lost { .. } => self.shared.counters.lost_runs.add(1),
            Decision::Adopted { .. } => self.shared.counters.adopted_runs.add(1),
            _ => {}
        }
    }

    async fn advise(
        &self,
        step: StepKey,
        executors: Vec<ExecutorId>,
        wait: Span,
    ) -> Option<Vec<(ExecutorId, Ticket)>> {
        // The advice service answers one call from a machine at a time.
        let _guard = self.advice_lock.lock().await;
        if !self.is_active() {
            return None;
        }
        self.shared.platform.advise(step, executors, wait).await
    }
}
