//! Drains machines and orders them down.

use guavacart_types::{Span, Timestamp};

use super::{
    super::{State, runs::Run},
    LIST_DELAY, LIST_INTERVAL,
    wave::{self, Phase, Recording},
};
use crate::{
    Decision, Effect, MachineId, MachineState, MaintenanceOrder, OrderFailure, RefusalReason,
    TaskKey, WaveNumber,
};

/// Time that tasks on a machine get to end before the machine goes down.
pub(super) const DRAIN_TIME: Span = Span::millis(2_500);
/// Time since the last confirmation of the ownership after which no machine is ordered down; less
/// than the ownership lease, so that a successor has not begun.
pub(super) const MAX_UNCONFIRMED_ORDER: Span = Span::millis(1_000);
/// Delay before an order that got no answer, or that the platform was too busy for, is repeated.
const ORDER_RETRY_DELAY: Span = Span::millis(1_000);
/// Delay before a machine whose order was refused is tried again.
const REFUSED_DELAY: Span = Span::millis(5_000);

impl State {
    /// Keeps work away from a draining machine, and orders it down once it is empty enough and the
    /// order is recorded.
    pub(super) fn drain(&mut self, number: WaveNumber, id: &MachineId) {
        let x = self.executor_on(id);
        if let Some(x) = x {
            self.executors[x].is_machine_draining = true;
            self.stop_dispensable_tasks(x);
        }
        let Some(progress) = self.maintenance.progress_mut(number, id) else {
            return;
        };
        let Phase::Draining(since) = progress.phase else {
            return;
        };
        let recording = progress.recording;
        let not_before = progress.not_before.max(self.earliest_order(id));
        match wave::state_of(&self.maintenance.machines, id) {
            Some(MachineState::Up) if !self.is_drained(id, since) => return,
            Some(MachineState::Up) => {}
            // The answer to a repeated order tells whether it is this wave's maintenance.
            Some(MachineState::Maintenance) if recording == Recording::Stored => {}
            Some(_) if recording == Recording::Unneeded => {
                if let Some(progress) = self.maintenance.progress_mut(number, id) {
                    progress.phase = Phase::Pending;
                }
                self.give_work_again(id);
                return;
            }
            _ => return,
        }
        match recording {
            Recording::Unneeded => {
                if let Some(progress) = self.maintenance.progress_mut(number, id) {
                    progress.recording = Recording::Requested;
                    progress.executor = x;
                }
                self.saving.must_record_maintenance = true;
                self.saving.is_flush_due = true;
            }
            Recording::Requested => {}
            Recording::Stored if not_before > self.now => {
                self.list_machines_by(not_before.since(self.now));
            }
            Recording::Stored if !self.may_order_down(number, id) => {
                self.list_machines_by(LIST_INTERVAL);
            }
            Recording::Stored => self.order_down(number, id),
        }
    }

    /// True if the runs on a draining machine are known, and none is left or none that lasts and the
    /// others have had time to end.
    fn is_drained(&self, id: &MachineId, since: Timestamp) -> bool {
        let has_time_passed = self.now.since(since) >= DRAIN_TIME;
        let Some(x) = self.executor_on(id) else {
            // An executor that joins gets work only once its entry is read.
            let machine = self.maintenance.machines.get(id);
            return has_time_passed || machine.is_some_and(|machine| machine.executor.is_none());
        };
        if self.unreconciled.contains(&x) {
            return false;
        }
        let mut runs = self.executors[x].runs.iter();
        let may_last =
            |(task, run): (&TaskKey, &Run)| run.is_job_unknown || self.is_long_running(*task);
        self.executors[x].runs.is_empty() || (has_time_passed && !runs.any(may_last))
    }

    /// True if the wave allows one more machine to be down. Earlier owners may have recorded more
    /// orders than that, since one that was refused stays recorded.
    fn may_order_down(&self, number: WaveNumber, id: &MachineId) -> bool {
        let wave = &self.maintenance.waves[&number];
        let is_in_doubt = wave.machines[id].is_in_doubt;
        let may_be_down = |other: &MachineId| {
            let in_waves = self.maintenance.waves.values();
            let mut in_waves = in_waves.filter_map(|wave| wave.machines.get(other));
            in_waves.any(|m| m.is_ordered_down() || (m.may_be_carried_out() && !is_in_doubt))
        };
        let others = wave.machines.keys().filter(|other| *other != id);
        others.filter(|other| may_be_down(other)).count() < wave.max_down
    }

    /// Orders a machine down, unless a successor may have begun.
    fn order_down(&mut self, number: WaveNumber, id: &MachineId) {
        let now = self.now;
        if !self
            .ownership
            .is_confirmed_since(now - MAX_UNCONFIRMED_ORDER)
        {
            self.await_confirmation();
            return;
        }
        let x = self.executor_on(id);
        let recorded = self.maintenance.waves[&number].machines[id].executor;
        let executor = recorded.filter(|x| !self.is_gone(*x)).or(x).or(recorded);
        if let Some(progress) = self.maintenance.progress_mut(number, id) {
            progress.phase = Phase::Ordered;
            progress.ordered_at = now;
            progress.executor = executor;
        }
        let machine = id.clone();
        self.effects.push(Effect::Log(Decision::MaintenanceBegun {
            machine: machine.clone(),
            wave: number,
        }));
        self.effects
            .push(Effect::BeginMaintenance(MaintenanceOrder {
                machine,
                wave: number,
                epoch: self.epoch,
            }));
    }

    /// Sends the orders whose records are stored now.
    pub(in crate::state) fn on_orders_recorded(&mut self, recorded: Vec<(WaveNumber, MachineId)>) {
        for (number, id) in recorded {
            if let Some(progress) = self.maintenance.progress_mut(number, &id) {
                progress.recording = Recording::Stored;
            }
            self.drain(number, &id);
        }
    }

    /// Stops long-running tasks on the executor as far as `max_unavailable` of their steps allows.
    fn stop_dispensable_tasks(&mut self, x: usize) {
        let tasks: Vec<TaskKey> = self.executors[x].runs.keys().copied().collect();
        for task in tasks {
            if self.is_long_running(task) && self.may_stop(task) {
                self.stop_run(x, task, "its machine is due for maintenance");
            }
        }
    }

    /// True if the task's step can spare this task in addition to those that are already
    /// unavailable.
    pub(in crate::state) fn may_stop(&self, key: TaskKey) -> bool {
        let Some(step) = self.spec(key) else {
            return true;
        };
        let Some(max_unavailable) = step.max_unavailable else {
            return true;
        };
        let Some(state) = self.jobs.get(&key.step.job).and_then(|e| e.state(key.step)) else {
            return true;
        };
        let is_unavailable = |index: usize| {
            let Some((x, _)) = state.tasks[index].placement else {
                return true;
            };
            let task = key.step.task(u16::try_from(index).unwrap_or(u16::MAX));
            let run = self.executors[x].runs.get(&task);
            self.executors[x].failed_holds > 0
                || !self.executors[x].has_seen_epoch
                || run.is_none_or(|run| run.percent < 100 || run.stop.is_some())
        };
        let others = (0..state.tasks.len()).filter(|index| *index != usize::from(key.index));
        let unavailable = others.filter(|index| is_unavailable(*index)).count();
        unavailable < usize::from(max_unavailable)
    }

    /// Applies the result of an order to take a machine down.
    pub(in crate::state) fn on_maintenance(
        &mut self,
        number: WaveNumber,
        id: &MachineId,
        result: Result<(), OrderFailure>,
    ) {
        let now = self.now;
        let Some(progress) = self.maintenance.progress_mut(number, id) else {
            return;
        };
        let x = progress.executor;
        let is_refused = matches!(
            result,
            Err(OrderFailure::Refused(_) | OrderFailure::Rejected)
        );
        progress.is_in_doubt |= result == Err(OrderFailure::NoAnswer);
        if progress.phase == Phase::Ordered {
            progress.phase = match result {
                Ok(()) => Phase::Begun(now),
                Err(_) if is_refused && !progress.is_in_doubt => Phase::Pending,
                Err(_) => Phase::Draining(now),
            };
            progress.not_before = now
                + if is_refused {
                    REFUSED_DELAY
                } else {
                    ORDER_RETRY_DELAY
                };
        }
        self.effects
            .push(Effect::Log(Decision::MaintenanceAnswered {
                machine: id.clone(),
                executor: x.map(|x| self.executors[x].id.clone()),
                runs: x.map_or(0, |x| self.executors[x].runs.len()),
                result,
            }));
        match result {
            Ok(()) => {
                self.saving.must_record_maintenance = true;
                self.list_machines_by(LIST_DELAY);
            }
            Err(OrderFailure::Refused(RefusalReason::Fenced)) => {
                self.effects.push(Effect::StepDown);
            }
            Err(_) if is_refused => self.give_work_again(id),
            Err(_) => {}
        }
    }
}
