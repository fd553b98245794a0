//! Takes machines down for their upkeep, wave by wave.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Span, Timestamp};

use super::{State, Timer};
use crate::{
    Decision, Effect, Machine, MachineId, MachineState, OrderFailure, Refusal, TaskKey,
    UpkeepOrder, Wave, WaveNumber, WaveState,
};

/// How often the list of machines is read while a wave runs.
const LIST_INTERVAL: Span = Span::millis(1_000);
/// Time that tasks on a machine have to end before it goes down.
const DRAIN_TIME: Span = Span::millis(2_500);

/// Waves and machines.
#[derive(Debug, Default)]
pub(super) struct Upkeep {
    waves: BTreeMap<WaveNumber, WaveProgress>,
    machines: BTreeMap<MachineId, Machine>,
    is_listing: bool,
    is_timed: bool,
}

#[derive(Debug)]
struct WaveProgress {
    wave: Wave,
    /// Machines whose upkeep has not begun.
    to_do: BTreeSet<MachineId>,
    /// Machines that are emptied, and since when.
    closing: BTreeMap<MachineId, Timestamp>,
    /// Machines asked to go down that are not seen up again.
    down: BTreeMap<MachineId, Timestamp>,
    is_completed: bool,
}

impl State {
    pub(super) fn wave_asked(&mut self, wave: Wave) {
        let number = wave.number;
        if self.upkeep.waves.contains_key(&number) {
            return;
        }
        let progress = WaveProgress {
            to_do: wave.machines.iter().cloned().collect(),
            wave,
            closing: BTreeMap::new(),
            down: BTreeMap::new(),
            is_completed: false,
        };
        self.upkeep.waves.insert(number, progress);
        self.save_wave(number, WaveState::Running);
        self.list_machines();
    }

    fn list_machines(&mut self) {
        let is_open = self.upkeep.waves.values().any(|wave| !wave.is_completed);
        if is_open && !std::mem::replace(&mut self.upkeep.is_listing, true) {
            self.effects.push(Effect::ListMachines);
        }
        if is_open && !std::mem::replace(&mut self.upkeep.is_timed, true) {
            self.set_timer(LIST_INTERVAL, Timer::Upkeep);
        }
    }

    pub(super) fn machines_listed(&mut self, machines: Vec<Machine>) {
        self.upkeep.is_listing = false;
        if machines.is_empty() {
            return;
        }
        self.upkeep.machines = machines
            .into_iter()
            .map(|machine| (machine.id.clone(), machine))
            .collect();
        self.step_waves();
    }

    pub(super) fn drive_upkeep(&mut self) {
        self.upkeep.is_timed = false;
        self.step_waves();
        self.list_machines();
    }

    fn step_waves(&mut self) {
        let open: Vec<WaveNumber> = self
            .upkeep
            .waves
            .iter()
            .filter(|(_, wave)| !wave.is_completed)
            .map(|(number, _)| *number)
            .collect();
        for number in open {
            self.step_wave(number);
        }
    }

    fn step_wave(&mut self, number: WaveNumber) {
        self.see_returned(number);
        self.close_next(number);
        self.begin_emptied(number);
        let now = self.now;
        let Some(wave) = self.upkeep.waves.get_mut(&number) else {
            return;
        };
        let is_idle = wave.to_do.is_empty() && wave.closing.is_empty() && wave.down.is_empty();
        if is_idle && now.0 > 0 {
            wave.is_completed = true;
            self.save_wave(number, WaveState::Completed);
        }
    }

    /// Machines that are up again, or gone for good, are done.
    fn see_returned(&mut self, number: WaveNumber) {
        let now = self.now;
        let upkeep_time = self.bounds.upkeep;
        let Some(wave) = self.upkeep.waves.get_mut(&number) else {
            return;
        };
        let machines = &self.upkeep.machines;
        let is_up = |id: &MachineId| machines.get(id).is_none_or(|m| m.state == MachineState::Up);
        wave.down
            .retain(|id, since| now.since(*since) < upkeep_time || !is_up(id));
        if !machines.is_empty() {
            wave.to_do.retain(|id| machines.contains_key(id));
            wave.closing.retain(|id, _| machines.contains_key(id));
        }
    }

    /// Chooses machines to empty, the least busy first, as many as may be down.
    fn close_next(&mut self, number: WaveNumber) {
        loop {
            let wave = &self.upkeep.waves[&number];
            if wave.down.len() + wave.closing.len() >= wave.wave.cap.max(1) {
                return;
            }
            let load = |id: &MachineId| {
                let x = self.executor_on(id);
                x.map_or(0, |x| self.fleet[x].runs.len())
            };
            let is_up = |id: &&MachineId| {
                let machine = self.upkeep.machines.get(*id);
                machine.is_some_and(|machine| machine.state == MachineState::Up)
            };
            let next = wave.to_do.iter().filter(is_up).min_by_key(|id| load(id));
            let Some(next) = next.cloned() else {
                return;
            };
            let x = self.executor_on(&next);
            let now = self.now;
            if let Some(wave) = self.upkeep.waves.get_mut(&number) {
                wave.to_do.remove(&next);
                wave.closing.insert(next, now);
            }
            if let Some(x) = x {
                self.fleet[x].is_closing = true;
                self.empty(x);
            }
        }
    }

    fn executor_on(&self, id: &MachineId) -> Option<usize> {
        let executor = self.upkeep.machines.get(id)?.executor.as_ref()?;
        self.by_id.get(executor).copied()
    }

    /// Moves lasting tasks away as far as their steps may miss them.
    fn empty(&mut self, x: usize) {
        let tasks: Vec<TaskKey> = self.fleet[x].runs.keys().copied().collect();
        for task in tasks {
            if self.is_lasting(task) && self.may_stop(task) {
                self.stop_run(x, task, "its machine goes down for upkeep");
            }
        }
    }

    /// True if the task's step would not miss more tasks than it may.
    fn may_stop(&self, key: TaskKey) -> bool {
        let Some(step) = self.spec(key) else {
            return true;
        };
        let Some(may_miss) = step.may_miss else {
            return true;
        };
        let Some(state) = self.jobs.get(&key.step.job).and_then(|e| e.state(key.step)) else {
            return true;
        };
        let is_away = |index: usize| {
            let Some((x, _)) = state.tasks[index].placed else {
                return true;
            };
            let task = key.step.task(u16::try_from(index).unwrap_or(u16::MAX));
            let run = self.fleet[x].runs.get(&task);
            run.is_none_or(|run| run.percent < 100 || run.stop.is_some())
        };
        let others = (0..state.tasks.len()).filter(|index| *index != usize::from(key.index));
        let away = others.filter(|index| is_away(*index)).count();
        away < usize::from(may_miss)
    }

    /// Takes down machines that run nothing, or whose short tasks had time enough.
    fn begin_emptied(&mut self, number: WaveNumber) {
        let closing: Vec<(MachineId, Timestamp)> = self.upkeep.waves[&number]
            .closing
            .iter()
            .map(|(id, since)| (id.clone(), *since))
            .collect();
        for (machine, since) in closing {
            let x = self.executor_on(&machine);
            if let Some(x) = x {
                self.empty(x);
                let lasting = self.fleet[x].runs.keys().any(|task| self.is_lasting(*task));
                let is_empty = self.fleet[x].runs.is_empty();
                let had_time = self.now.since(since) >= DRAIN_TIME;
                if lasting || !(is_empty || had_time) {
                    continue;
                }
            }
            let now = self.now;
            if let Some(wave) = self.upkeep.waves.get_mut(&number) {
                wave.closing.remove(&machine);
                wave.down.insert(machine.clone(), now);
            }
            self.effects.push(Effect::Log(Decision::Upkeep {
                machine: machine.clone(),
                wave: number,
            }));
            self.effects.push(Effect::BeginUpkeep(UpkeepOrder {
                machine,
                wave: number,
                epoch: self.epoch,
            }));
        }
    }

    pub(super) fn upkeep_answered(
        &mut self,
        machine: &MachineId,
        result: Result<(), OrderFailure>,
    ) {
        if result == Err(OrderFailure::Refused(Refusal::Fenced)) {
            self.effects.push(Effect::StepDown);
            return;
        }
        let x = self.executor_on(machine);
        if let Some(x) = x {
            self.fleet[x].is_closing = false;
            if result.is_ok() {
                // Everything there has ended; a new executor comes under a new entry.
                self.fleet[x].registration = None;
                self.lose_all(x, crate::Loss::Reborn);
            }
        }
        if result.is_ok() {
            return;
        }
        // A call without an answer is repeated: a machine that had its upkeep answers so.
        let now = self.now;
        for wave in self.upkeep.waves.values_mut() {
            if wave.down.remove(machine).is_some() {
                wave.closing.insert(machine.clone(), now);
            }
        }
    }
}
