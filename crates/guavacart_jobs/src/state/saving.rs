//! Writes progress to the store, many records in one call.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Span, Timestamp};

use super::{State, Timer};
use crate::{Effect, JobKey, Learned, SaveOrder, WaveNumber, WaveState};

/// Longest time that ends gather before they are written; a job's end is written at once.
const GATHER: Span = Span::millis(50);

/// How often what was learned is written for the next owner.
const LEARNED_INTERVAL: Span = Span::secs(2);

/// What is to be written, and what is being written.
#[derive(Debug, Default)]
pub(super) struct Saving {
    dirty: BTreeSet<JobKey>,
    waves: BTreeMap<WaveNumber, WaveState>,
    /// The record of the fleet is to be written.
    pub(super) must_record_fleet: bool,
    /// Ends were taken in that are not acknowledged.
    pub(super) has_ends: bool,
    /// The gathering time is over.
    pub(super) is_due: bool,
    is_timed: bool,
    /// When what was learned is written again.
    learned_at: Timestamp,
    last: u64,
    under_way: Option<UnderWay>,
}

#[derive(Debug)]
struct UnderWay {
    save: u64,
    /// Jobs whose written record tells their end.
    ended: Vec<JobKey>,
    /// Executors that the record of the fleet names, if it is written.
    recorded: Option<Vec<usize>>,
    /// Ends taken in when the records were made, by executor.
    seen: Vec<(usize, guavacart_types::Incarnation, u64)>,
}

impl State {
    /// Notes that a job's record has changed.
    pub(super) fn must_save(&mut self, key: JobKey, at_once: bool) {
        self.saving.dirty.insert(key);
        self.saving.is_due |= at_once;
    }

    pub(super) fn save_wave(&mut self, wave: WaveNumber, state: WaveState) {
        self.saving.waves.insert(wave, state);
        self.saving.is_due = true;
    }

    /// Writes what has gathered, one save at a time.
    pub(super) fn flush_if_due(&mut self) {
        let has_work = !self.saving.dirty.is_empty() || self.saving.has_ends;
        let has_work = has_work || !self.saving.waves.is_empty();
        let has_work = has_work || self.saving.must_record_fleet;
        if !has_work || self.saving.under_way.is_some() {
            return;
        }
        if !self.saving.is_due {
            if !std::mem::replace(&mut self.saving.is_timed, true) {
                self.set_timer(GATHER, Timer::Flush);
            }
            return;
        }
        self.flush();
    }

    fn flush(&mut self) {
        let saving = &mut self.saving;
        saving.is_due = false;
        saving.is_timed = false;
        saving.has_ends = false;
        saving.last += 1;
        let jobs: Vec<JobKey> = std::mem::take(&mut saving.dirty).into_iter().collect();
        let waves = std::mem::take(&mut saving.waves).into_iter().collect();
        let save = saving.last;
        let records: Vec<_> = jobs
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(key)?.progress.clone())))
            .collect();
        let unacknowledged = |(x, executor): (usize, &super::fleet::Executor)| {
            let incarnation = executor.incarnation?;
            let settled = self.settled_up_to(x);
            (settled > executor.durable).then_some((x, incarnation, settled))
        };
        let seen = self
            .fleet
            .iter()
            .enumerate()
            .filter_map(unacknowledged)
            .collect();
        let ended = records
            .iter()
            .filter(|(_, record)| record.outcome.is_some());
        let ended = ended.map(|(key, _)| *key).collect();
        let must_record = std::mem::take(&mut self.saving.must_record_fleet);
        let fleet = must_record.then(|| self.recorded_fleet());
        let recorded = fleet.iter().flatten();
        let recorded = recorded.filter_map(|target| self.by_id.get(&target.id).copied());
        self.saving.under_way = Some(UnderWay {
            save,
            ended,
            seen,
            recorded: fleet.is_some().then(|| recorded.collect()),
        });
        let learned = self.learned_if_due();
        self.effects.push(Effect::Save(SaveOrder {
            save,
            records,
            waves,
            fleet,
            learned,
        }));
    }

    /// What has been learned, if it was not written lately; it goes with what is written anyway.
    fn learned_if_due(&mut self) -> Option<Learned> {
        if self.interference.is_empty() || self.saving.learned_at > self.now {
            return None;
        }
        self.saving.learned_at = self.now + LEARNED_INTERVAL;
        Some(self.learned())
    }

    pub(super) fn saved(&mut self, save: u64) {
        let Some(done) = self
            .saving
            .under_way
            .take_if(|under_way| under_way.save == save)
        else {
            return;
        };
        for key in done.ended {
            if let Some(entry) = self.jobs.get_mut(&key) {
                entry.shown = entry.shown.or(entry.progress.outcome);
            }
        }
        if let Some(recorded) = done.recorded {
            self.fleet
                .iter_mut()
                .for_each(|executor| executor.is_recorded = false);
            recorded
                .into_iter()
                .for_each(|x| self.fleet[x].is_recorded = true);
            self.must_place = true;
        }
        for (x, incarnation, seen) in done.seen {
            let executor = &mut self.fleet[x];
            if executor.incarnation == Some(incarnation) {
                executor.durable = executor.durable.max(seen);
            }
            self.hold_if_wanted(x);
        }
    }
}
