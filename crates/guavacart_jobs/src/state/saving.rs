//! Writes progress to the store, with many records in one call.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Span, Timestamp};

use super::{State, Timer};
use crate::{
    Effect, JobKey, LearnedInterference, MachineId, MaintenanceWaveState, SaveOrder, WaveNumber,
};

/// Longest time for which run ends are collected before they are written. The end of a job is
/// written at once.
const FLUSH_DELAY: Span = Span::millis(50);

/// Interval at which the learned model is written for the next owner.
const LEARNED_INTERVAL: Span = Span::secs(2);

/// Changes to be written, and the save in progress.
#[derive(Debug, Default)]
pub(super) struct Saving {
    dirty: BTreeSet<JobKey>,
    waves: BTreeMap<WaveNumber, MaintenanceWaveState>,
    /// The record of executors with runs must be written.
    pub(super) must_record_executors: bool,
    /// The record of orders in maintenance waves must be written.
    pub(super) must_record_maintenance: bool,
    /// Run ends were received that are not acknowledged.
    pub(super) has_unacknowledged_ends: bool,
    /// The changes must be written now.
    pub(super) is_flush_due: bool,
    is_timer_set: bool,
    /// Earliest time at which the learned model is written again.
    next_learned_save: Timestamp,
    last_save: u64,
    in_flight: Option<InFlightSave>,
}

#[derive(Debug)]
struct InFlightSave {
    number: u64,
    /// Jobs whose written record contains their end.
    ended: Vec<JobKey>,
    /// Executors in the written record of executors with runs, if the save contains one.
    recorded: Option<BTreeSet<usize>>,
    /// Orders to machines that the save records for the first time.
    orders: Vec<(WaveNumber, MachineId)>,
    /// Number of the last run end that the save covers, by executor and incarnation.
    applied_ends: Vec<(usize, guavacart_types::Incarnation, u64)>,
}

impl State {
    /// Records that a job's progress must be written.
    pub(super) fn mark_dirty(&mut self, key: JobKey, immediately: bool) {
        self.saving.dirty.insert(key);
        self.saving.is_flush_due |= immediately;
    }

    pub(super) fn save_wave(&mut self, wave: WaveNumber, state: MaintenanceWaveState) {
        self.saving.waves.insert(wave, state);
        self.saving.is_flush_due = true;
    }

    /// Writes the collected changes if they are due, one save at a time.
    pub(super) fn flush_if_due(&mut self) {
        let has_work = !self.saving.dirty.is_empty() || self.saving.has_unacknowledged_ends;
        let has_work = has_work || !self.saving.waves.is_empty();
        let has_work = has_work || self.saving.must_record_executors;
        let has_work = has_work || self.saving.must_record_maintenance;
        if !has_work || self.saving.in_flight.is_some() {
            return;
        }
        if !self.saving.is_flush_due {
            if !std::mem::replace(&mut self.saving.is_timer_set, true) {
                self.set_timer(FLUSH_DELAY, Timer::Flush);
            }
            return;
        }
        self.flush();
    }

    fn flush(&mut self) {
        let saving = &mut self.saving;
        saving.is_flush_due = false;
        saving.is_timer_set = false;
        saving.has_unacknowledged_ends = false;
        saving.last_save += 1;
        let jobs: Vec<JobKey> = std::mem::take(&mut saving.dirty).into_iter().collect();
        let waves = std::mem::take(&mut saving.waves).into_iter().collect();
        let number = saving.last_save;
        let progress: Vec<_> = jobs
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(key)?.progress.clone())))
            .collect();
        let unacknowledged = |(x, executor): (usize, &super::executors::Executor)| {
            let incarnation = executor.incarnation?;
            let last_end = self.last_applied_end(x);
            (last_end > executor.last_stored_end).then_some((x, incarnation, last_end))
        };
        let applied_ends = self
            .executors
            .iter()
            .enumerate()
            .filter_map(unacknowledged)
            .collect();
        let ended = progress
            .iter()
            .filter(|(_, record)| record.outcome.is_some());
        let ended = ended.map(|(key, _)| *key).collect();
        let must_record = std::mem::take(&mut self.saving.must_record_executors);
        let executors_with_runs = must_record.then(|| self.executors_with_runs());
        let recorded = executors_with_runs.as_ref().map(|targets| {
            let recorded = targets.iter().map(|target| self.by_id.get(&target.id));
            recorded.flatten().copied().collect::<BTreeSet<usize>>()
        });
        // An executor that the new record leaves out gets work only after the next record names it,
        // also if its entry comes back before this one is stored.
        if let Some(recorded) = &recorded {
            for (x, executor) in self.executors.iter_mut().enumerate() {
                executor.is_recorded &= recorded.contains(&x);
            }
        }
        let must_record_maintenance = std::mem::take(&mut self.saving.must_record_maintenance);
        let maintenance = must_record_maintenance.then(|| self.maintenance_record());
        let orders = if must_record_maintenance {
            self.maintenance.unrecorded_orders()
        } else {
            Vec::new()
        };
        self.saving.in_flight = Some(InFlightSave {
            number,
            ended,
            orders,
            applied_ends,
            recorded,
        });
        let learned = self.learned_if_due();
        self.effects.push(Effect::Save(SaveOrder {
            number,
            progress,
            waves,
            maintenance,
            executors_with_runs,
            learned,
        }));
    }

    /// The learned model, if it was not written recently. It is only written together with other
    /// changes.
    fn learned_if_due(&mut self) -> Option<LearnedInterference> {
        if self.interference.is_empty() || self.saving.next_learned_save > self.now {
            return None;
        }
        self.saving.next_learned_save = self.now + LEARNED_INTERVAL;
        Some(self.learned())
    }

    pub(super) fn on_saved(&mut self, number: u64) {
        let Some(saved) = self
            .saving
            .in_flight
            .take_if(|in_flight| in_flight.number == number)
        else {
            return;
        };
        for key in saved.ended {
            if let Some(entry) = self.jobs.get_mut(&key) {
                entry.stored_outcome = entry.stored_outcome.or(entry.progress.outcome);
            }
        }
        if let Some(recorded) = saved.recorded {
            recorded
                .into_iter()
                .for_each(|x| self.executors[x].is_recorded = true);
            self.needs_placement = true;
        }
        self.on_orders_recorded(saved.orders);
        for (x, incarnation, last_end) in saved.applied_ends {
            let executor = &mut self.executors[x];
            if executor.incarnation == Some(incarnation) {
                executor.last_stored_end = executor.last_stored_end.max(last_end);
            }
            self.hold_if_needed(x);
        }
    }
}
