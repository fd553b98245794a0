//! Passes over the steps that wait, in the order in which they start.

use guavacart_types::Span;

use super::{State, Timer};
use crate::{
    Job, QueuePolicy, StepKey,
    policy::order::{Chance, Timing},
};

/// Most steps that may stay without room in one pass after a comparison with many executors; limits the
/// time of a pass under overload. Steps that are skipped cost little and do not count: hundreds of them
/// would keep the pass from steps behind them that have room.
const MAX_UNPLACED_STEPS: usize = 48;
/// Comparisons from which a step counts as compared with many executors.
const MANY_CHECKS: u64 = 60;
/// Comparisons that cost as much as the rank of a step.
const CHECKS_PER_RANK: usize = 2;
/// Comparisons that cost as much as a step that is skipped.
const CHECKS_PER_SKIPPED_STEP: usize = 6;
/// Steps that each pass tries first, in order of rank.
const STEPS_ALWAYS_TRIED: usize = 24;
/// Delay before the next pass if a pass was cut short.
const NEXT_PASS_DELAY: Span = Span::millis(50);
/// Delay until the next pass while steps wait for headroom of service tasks.
const HEADROOM_RETRY_INTERVAL: Span = Span::millis(150);

/// Position of a step in the order of starts; the lowest rank starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    priority: u32,
    chance: Chance,
    /// Latest start that is on time, in Unix milliseconds.
    pub(super) latest_start: u64,
    step: StepKey,
}

impl State {
    /// Starts the tasks that fit, in order of rank.
    pub(super) fn place(&mut self) {
        if self.ready.is_empty() || self.is_placement_suspended() {
            return;
        }
        self.begin_pass();
        self.place_in_order();
        self.try_new_steps();
        let is_behind = self.is_behind();
        self.pass_work.end(self.now, is_behind);
        // Steps that wait for the next batch have not been compared with the new room.
        if !self.is_batch_awaited() {
            for executor in &mut self.executors {
                executor.has_new_room = false;
            }
        }
    }

    /// Starts tasks of urgent new steps while the next pass is some time off.
    pub(super) fn place_between_passes(&mut self) {
        if self.new_steps.is_empty() || self.is_placement_suspended() {
            return;
        }
        self.begin_pass();
        self.try_new_steps();
        self.pass_work.end_between_passes();
    }

    /// Starts tasks of the steps that became ready since this was last called, if none that waits is
    /// more urgent. A pass that is cut short may not have come to them.
    fn try_new_steps(&mut self) {
        let new_steps = std::mem::take(&mut self.new_steps);
        let priority = |key: &StepKey| {
            let entry = self.jobs.get(&key.job)?;
            Some(self.rules(entry).priority)
        };
        let most_urgent = self.ready.iter().filter_map(priority).min();
        let is_urgent = |key: &StepKey| self.ready.contains(key) && priority(key) == most_urgent;
        let urgent = new_steps.into_iter().filter(is_urgent);
        let mut urgent: Vec<Rank> = urgent.filter_map(|key| self.rank(key)).collect();
        urgent.sort_unstable();
        for rank in urgent {
            self.place_step(rank.step);
        }
    }

    fn place_in_order(&mut self) {
        self.update_expected_loads();
        self.place_claimed();
        let mut ranks: Vec<Rank> = self
            .ready
            .iter()
            .filter_map(|key| self.rank(*key))
            .collect();
        ranks.sort_unstable();
        self.pass_work.count_overhead(ranks.len() * CHECKS_PER_RANK);
        // The first steps in rank are tried in each pass; the others are tried in rotation.
        let rest = ranks.split_off(ranks.len().min(STEPS_ALWAYS_TRIED));
        let start = if rest.is_empty() {
            0
        } else {
            self.rotation_offset % rest.len()
        };
        let (before, after) = rest.split_at(start);
        let (mut tried, mut unplaced) = (0, 0);
        let mut is_cut_short = false;
        for rank in ranks.iter().chain(after).chain(before) {
            if !self.may_start_priority(rank.priority) {
                continue;
            }
            let checks = self.pass_work.checks_in_pass();
            self.place_step(rank.step);
            let was_compared = self.pass_work.checks_in_pass() - checks >= MANY_CHECKS;
            self.pass_work.count_overhead(CHECKS_PER_SKIPPED_STEP);
            tried += 1;
            unplaced += usize::from(was_compared && self.ready.contains(&rank.step));
            if unplaced >= MAX_UNPLACED_STEPS {
                self.rotation_offset = start + tried - STEPS_ALWAYS_TRIED.min(tried);
                self.set_timer(NEXT_PASS_DELAY, Timer::Place);
                is_cut_short = true;
                break;
            }
        }
        self.report_room_shortage(ranks.iter().chain(&rest).map(|rank| rank.step));
        if !is_cut_short {
            self.rotation_offset = 0;
            self.schedule_headroom_retry();
        }
    }

    /// Schedules the next pass while best-effort tasks wait, since no event signals that headroom
    /// is available again.
    fn schedule_headroom_retry(&mut self) {
        if self.ready.is_empty() || self.next_headroom_retry > self.now {
            return;
        }
        self.next_headroom_retry = self.now + HEADROOM_RETRY_INTERVAL;
        self.set_timer(HEADROOM_RETRY_INTERVAL, Timer::Place);
    }

    /// The rank of a step; `None` while tasks of the job may still run under an earlier owner.
    pub(super) fn rank(&self, key: StepKey) -> Option<Rank> {
        let entry = self.jobs.get(&key.job)?;
        if entry.may_have_earlier_runs && !self.unreconciled.is_empty() {
            return None;
        }
        let rules = self.rules(entry);
        Some(self.rank_by(rules, &entry.job, &entry.critical_paths, key))
    }

    /// The rank of a step of a job, which may not have been accepted.
    pub(super) fn rank_by(
        &self,
        rules: &QueuePolicy,
        job: &Job,
        critical_paths: &[Span],
        key: StepKey,
    ) -> Rank {
        let longest = critical_paths
            .iter()
            .map(|path| path.0)
            .max()
            .unwrap_or_default();
        let remaining = critical_paths
            .get(usize::from(key.step))
            .map_or(0, |path| path.0);
        let due = job.due_unix_ms(key.occurrence);
        let from = due.unwrap_or(job.accepted_unix_ms);
        let stretched = (longest as f32 * rules.stretch) as u64;
        let timing = Timing {
            now: self.unix_ms,
            begun: from,
            allowed: rules.base_time + Span(stretched),
            remaining: Span(remaining),
        };
        let step = job.steps.get(usize::from(key.step));
        Rank {
            priority: rules.priority,
            chance: timing.chance(step.is_some_and(|step| step.is_long_running)),
            latest_start: timing.latest_start(),
            step: key,
        }
    }
}
