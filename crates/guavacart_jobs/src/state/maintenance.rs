//! Takes machines down for maintenance in waves.
//!
//! An order is recorded in the store before it is sent, so that the next owner counts the machine as
//! down and does not begin the wave anew. The platform's answer does not tell whether a machine went
//! down by the order or had its maintenance before; what became of its executor shows only in a list
//! that was requested after the order.

mod draining;
mod wave;

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Span, Timestamp};

use super::{State, Timer};
use crate::{
    Decision, Effect, ExecutorId, LossReason, Machine, MachineId, MaintenanceRecord,
    MaintenanceWave, MaintenanceWaveState, WaveNumber,
};
use draining::{DRAIN_TIME, MAX_UNCONFIRMED_ORDER};
use wave::{Machines, Phase, Progress, Recording, Wave};

/// Interval between reads of the machine list while a wave is in progress.
const LIST_INTERVAL: Span = Span::millis(1_000);
/// Delay before a list that an answer calls for, so that one list serves several answers.
const LIST_DELAY: Span = Span::millis(100);

/// Waves and the latest list of machines.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    waves: BTreeMap<WaveNumber, Wave>,
    /// Records of earlier owners' waves that were not requested from this owner.
    earlier: MaintenanceRecord,
    /// Machines that earlier owners have ordered down, in any wave.
    ordered_earlier: BTreeSet<MachineId>,
    machines: Machines,
    /// When the latest list was requested.
    listed_at: Timestamp,
    is_listing: bool,
    /// When the list is requested next.
    next_list_at: Option<Timestamp>,
}

impl Maintenance {
    /// The state of an owner that has read the record of earlier owners.
    pub(super) fn new(record: MaintenanceRecord) -> Self {
        let waves = record.waves.values();
        let ordered = waves.flat_map(|wave| wave.machines.keys().cloned());
        Self {
            ordered_earlier: ordered.collect(),
            earlier: record,
            ..Self::default()
        }
    }

    fn progress_mut(&mut self, number: WaveNumber, id: &MachineId) -> Option<&mut Progress> {
        self.waves.get_mut(&number)?.machines.get_mut(id)
    }

    fn is_open(&self) -> bool {
        self.waves.values().any(|wave| !wave.is_completed)
    }

    /// True if the machine is being taken down in any wave.
    fn is_active(&self, id: &MachineId) -> bool {
        let mut in_waves = self.waves.values().filter_map(|wave| wave.machines.get(id));
        in_waves.any(Progress::is_active)
    }

    /// True if the list shows the executor on a machine that is being taken down.
    pub(super) fn is_taking_down(&self, executor: &ExecutorId) -> bool {
        let mut machines = self.machines.values();
        let machine = machines.find(|machine| machine.executor.as_ref() == Some(executor));
        machine.is_some_and(|machine| self.is_active(&machine.id))
    }

    /// Orders that the next save records.
    pub(super) fn unrecorded_orders(&self) -> Vec<(WaveNumber, MachineId)> {
        self.machines_where(|progress| progress.recording == Recording::Requested)
    }

    fn machines_where(&self, is_met: impl Fn(&Progress) -> bool) -> Vec<(WaveNumber, MachineId)> {
        let mut found = Vec::new();
        for (number, wave) in &self.waves {
            let machines = wave.machines.iter().filter(|(_, m)| is_met(m));
            found.extend(machines.map(|(id, _)| (*number, id.clone())));
        }
        found
    }
}

impl State {
    pub(super) fn add_wave(&mut self, request: MaintenanceWave) {
        let number = request.number;
        if self.maintenance.waves.contains_key(&number) {
            return;
        }
        let wave = match self.maintenance.earlier.waves.remove(&number) {
            None => Wave::new(&request),
            Some(record) => {
                // A list shows whether it is finished.
                let begun_at = self.now - self.bounds.maintenance;
                let index_of = |id: &_| self.by_id.get(id).copied();
                Wave::restore(&request, &record, index_of, begun_at, self.now)
            }
        };
        if wave.is_completed {
            // The record no longer names the machines, and the last order may be recent.
            let machines = wave.machines.keys().cloned();
            self.maintenance.ordered_earlier.extend(machines);
        }
        self.effects.push(Effect::Log(Decision::WaveBegun {
            wave: number,
            machines: wave.machines.len(),
            begun: wave.begun(),
        }));
        let state = if wave.is_completed {
            MaintenanceWaveState::Completed
        } else {
            MaintenanceWaveState::Running
        };
        // Orders of earlier owners may be carried out at any time.
        let ordered = wave.machines.values().filter(|m| m.is_active());
        for x in ordered.filter_map(|m| m.executor) {
            self.executors[x].is_machine_draining = true;
        }
        self.maintenance.waves.insert(number, wave);
        self.save_wave(number, state);
        self.list_machines();
    }

    /// Earliest time of an order to a machine. An earlier owner's order may be recent.
    fn earliest_order(&self, id: &MachineId) -> Timestamp {
        if self.maintenance.ordered_earlier.contains(id) {
            self.owner_since + self.bounds.min_holder_interval + MAX_UNCONFIRMED_ORDER
        } else {
            self.owner_since
        }
    }

    /// The record of all waves, for the next owner.
    pub(super) fn maintenance_record(&self) -> MaintenanceRecord {
        let mut record = self.maintenance.earlier.clone();
        let id_of = |x: usize| self.executors[x].id.clone();
        let waves = self.maintenance.waves.iter();
        let waves = waves.map(|(number, wave)| (*number, wave.record(id_of)));
        record.waves.extend(waves);
        record
    }

    /// Requests the list of machines and sets the time of the next one.
    fn list_machines(&mut self) {
        if !self.maintenance.is_open() {
            return;
        }
        if std::mem::replace(&mut self.maintenance.is_listing, true) {
            self.list_machines_by(LIST_DELAY);
            return;
        }
        self.effects.push(Effect::ListMachines);
        self.list_machines_by(LIST_INTERVAL);
    }

    /// Requests the list of machines after this time at the latest.
    fn list_machines_by(&mut self, delay: Span) {
        let at = self.now + delay;
        let next = &mut self.maintenance.next_list_at;
        if next.is_none_or(|known| at < known) {
            *next = Some(at);
            self.set_timer(delay, Timer::Maintenance);
        }
    }

    pub(super) fn advance_maintenance(&mut self) {
        self.advance_waves();
        let is_due = |at: &mut Timestamp| *at <= self.now;
        if self.maintenance.next_list_at.take_if(is_due).is_some() {
            self.list_machines();
        }
    }

    /// Applies a list of machines that was requested at `sent`; an empty list could not be read.
    pub(super) fn on_machine_list(&mut self, sent: Timestamp, machines: Vec<Machine>) {
        self.maintenance.is_listing = false;
        if machines.is_empty() {
            return;
        }
        let machines = machines.into_iter();
        self.maintenance.machines = machines.map(|m| (m.id.clone(), m)).collect();
        self.maintenance.listed_at = sent;
        for wave in self.maintenance.waves.values_mut() {
            for (id, progress) in &mut wave.machines {
                let is_listed = self.maintenance.machines.contains_key(id);
                progress.apply_listing(is_listed, sent);
            }
        }
        self.resolve_executors_of_ordered_machines();
        self.finish_machines();
        self.advance_waves();
    }

    /// Applies what the list shows of executors whose machines were ordered down before it was
    /// requested.
    fn resolve_executors_of_ordered_machines(&mut self) {
        let listed_at = self.maintenance.listed_at;
        let is_ordered = |m: &Progress| m.executor.is_some() && m.ordered_at <= listed_at;
        for (number, id) in self.maintenance.machines_where(is_ordered) {
            let Some(progress) = self.maintenance.progress_mut(number, &id) else {
                continue;
            };
            let has_answered =
                matches!(progress.phase, Phase::Begun(answered) if answered <= listed_at);
            let Some(x) = progress.executor else {
                continue;
            };
            if wave::has_left(&self.maintenance.machines, &id, &self.executors[x].id) {
                // The executor may have started again since the list was read.
                if self.executors[x].last_report_sent <= listed_at && !self.is_gone(x) {
                    self.executor_went_down(x);
                }
                continue;
            }
            if !has_answered {
                continue;
            }
            // The machine has had its maintenance before this executor joined.
            if let Some(progress) = self.maintenance.progress_mut(number, &id) {
                progress.executor = None;
                self.saving.must_record_maintenance = true;
            }
        }
    }

    /// Drops an executor whose machine is down, with all its runs. The machine's next executor
    /// registers under a new entry.
    fn executor_went_down(&mut self, x: usize) {
        let executor = &mut self.executors[x];
        let registration = executor.registration.take();
        executor.down_incarnation = registration
            .and_then(|registration| registration.incarnation)
            .or(executor.incarnation);
        executor.has_seen_epoch = false;
        executor.crash_watch.is_leaving = true;
        self.mark_all_lost(x, LossReason::MachineDown);
        self.mark_reconciled(x);
        // The next owner does not have to wait for the executor.
        self.saving.must_record_executors = true;
    }

    /// Finds machines that the list shows up again after their maintenance.
    fn finish_machines(&mut self) {
        let now = self.now;
        let listed_at = self.maintenance.listed_at;
        let time = self.bounds.maintenance;
        let is_due = |m: &Progress| matches!(m.phase, Phase::Begun(at) if at <= listed_at && now.since(at) >= time);
        for (number, id) in self.maintenance.machines_where(is_due) {
            if !wave::is_up(&self.maintenance.machines, &id) {
                continue;
            }
            if let Some(progress) = self.maintenance.progress_mut(number, &id) {
                progress.phase = Phase::Finished;
                self.saving.must_record_maintenance = true;
            }
            self.give_work_again(&id);
        }
    }

    /// Lets a machine's executor get work again, unless another wave takes the machine down.
    fn give_work_again(&mut self, id: &MachineId) {
        if let Some(x) = self.executor_on(id) {
            self.executors[x].is_machine_draining = self.maintenance.is_active(id);
            self.needs_placement = true;
        }
    }

    fn advance_waves(&mut self) {
        let waves = self.maintenance.waves.iter();
        let open = waves.filter(|(_, wave)| !wave.is_completed);
        let open: Vec<WaveNumber> = open.map(|(number, _)| *number).collect();
        for number in open {
            self.advance_wave(number);
        }
    }

    fn advance_wave(&mut self, number: WaveNumber) {
        self.drain_next_machines(number);
        for id in self.draining_machines(number) {
            self.drain(number, &id);
        }
        let Some(wave) = self.maintenance.waves.get_mut(&number) else {
            return;
        };
        if wave.is_over() {
            wave.is_completed = true;
            self.saving.must_record_maintenance = true;
            self.save_wave(number, MaintenanceWaveState::Completed);
        }
    }

    /// Chooses the machines to drain next, up to the wave's `max_down`, those with the fewest runs
    /// first.
    fn drain_next_machines(&mut self, number: WaveNumber) {
        loop {
            let wave = &self.maintenance.waves[&number];
            // A machine that is down for another wave is down as well.
            let ids = wave.machines.keys();
            let active = ids.filter(|id| self.maintenance.is_active(id)).count();
            if active >= wave.max_down {
                return;
            }
            let load = |id: &MachineId| {
                let x = self.executor_on(id);
                x.map_or(0, |x| self.executors[x].runs.len())
            };
            let is_free = |(id, m): &(&MachineId, &Progress)| {
                m.phase == Phase::Pending
                    && m.not_before <= self.now
                    && wave::is_up(&self.maintenance.machines, id)
                    && !self.maintenance.is_active(id)
            };
            let free = wave.machines.iter().filter(is_free);
            let next = free.min_by_key(|(id, _)| load(id));
            let Some(next) = next.map(|(id, _)| id.clone()) else {
                return;
            };
            let now = self.now;
            if let Some(progress) = self.maintenance.progress_mut(number, &next) {
                progress.phase = Phase::Draining(now);
            }
            self.set_timer(DRAIN_TIME, Timer::Maintenance);
        }
    }

    fn draining_machines(&self, number: WaveNumber) -> Vec<MachineId> {
        let machines = self.maintenance.waves[&number].machines.iter();
        let draining = machines.filter(|(_, m)| matches!(m.phase, Phase::Draining(_)));
        draining.map(|(id, _)| id.clone()).collect()
    }

    /// The executor on a machine, as of the last machine list.
    fn executor_on(&self, id: &MachineId) -> Option<usize> {
        let executor = self.maintenance.machines.get(id)?.executor.as_ref()?;
        self.by_id.get(executor).copied()
    }
}
