//! Holds: leases, ends and lists of what runs.

use guavacart_types::{Incarnation, Span, Timestamp};

use super::{
    IDLE_LOOK, State, Timer,
    fleet::{Phase, Run},
    pacing::uncertain,
};
use crate::{
    Decision, Effect, ExecutorId, HoldOrder, HoldReport, JobKey, Loss, OrderFailure, Refusal,
    RunEnded, RunListed, TaskKey,
};

/// Longest wait of a hold for an end; also how often leases are extended.
const HOLD_WAIT: Span = Span::millis(1_000);
/// The same where a serving task's tail is watched; tails are told each half second.
const WATCHING_WAIT: Span = Span::millis(500);
/// Pause between holds while ends wait to be saved; the save's end cuts it short.
const UNSAVED_PAUSE: Span = Span::millis(120);
/// First pause after a hold without an answer; doubled with each further one.
const FIRST_PAUSE: Span = Span::millis(100);
/// Longest such pause.
const LONGEST_PAUSE: Span = Span::millis(800);
/// Time in which a job becomes known whose runs are listed; the inbox is read within it.
const FOREIGN_PATIENCE: Span = Span::millis(2_500);
/// Added to the longest lease for what an earlier owner may have ordered.
const EARLIER_OWNER_MARGIN: Span = Span::millis(400);

/// An end whose job is not known yet.
#[derive(Debug)]
pub(super) struct Orphan {
    executor: usize,
    incarnation: Option<Incarnation>,
    end: RunEnded,
    since: Timestamp,
}

impl State {
    /// Sends the next hold if there is something to hold, to learn or to acknowledge.
    pub(super) fn hold_if_wanted(&mut self, x: usize) {
        let executor = &self.fleet[x];
        if executor.waiting.is_some() || executor.looking.is_some() {
            return;
        }
        let may_run = !executor.runs.is_empty() || self.unresolved.contains(&x);
        if executor.registration.is_none() && !may_run {
            return;
        }
        let is_idle = executor.is_fenced
            && executor.runs.is_empty()
            && executor.acknowledged >= executor.durable;
        if is_idle && self.now.since(executor.heard) < IDLE_LOOK {
            self.timers
                .insert((executor.heard + IDLE_LOOK, Timer::Hold(x)));
            return;
        }
        // A hold does not wait while the executor lists ends that are not acknowledged.
        let is_unsaved = executor.seen > executor.durable;
        if is_unsaved && self.now.since(executor.heard) < UNSAVED_PAUSE {
            self.timers
                .insert((executor.heard + UNSAVED_PAUSE, Timer::Hold(x)));
            return;
        }
        let must_wait = executor.is_fenced && !executor.runs.is_empty() && !is_unsaved;
        self.hold(x, must_wait);
    }

    /// Asks for the lists at once, beside a hold that waits.
    pub(super) fn look(&mut self, x: usize) {
        if self.fleet[x].looking.is_some() {
            self.fleet[x].looks_again = true;
        } else {
            self.hold(x, false);
        }
    }

    fn hold(&mut self, x: usize, must_wait: bool) {
        // The lease of an executor that does not answer must be left to run out.
        let deadline_ms = if self.fleet[x].misses == 0 {
            self.extend_lease(x)
        } else {
            None
        };
        let watches = self.fleet[x].serves() && self.fleet[x].filler_wish > 0;
        let executor = &mut self.fleet[x];
        let wait = match (must_wait, watches) {
            (false, _) => Span::ZERO,
            (true, true) => WATCHING_WAIT,
            (true, false) => HOLD_WAIT,
        };
        // Another incarnation may answer, which counts its ends anew.
        let acknowledged = if executor.may_acknowledge() {
            executor.durable
        } else {
            0
        };
        if must_wait {
            executor.waiting = Some(acknowledged);
        } else {
            executor.looking = Some(acknowledged);
        }
        let order = HoldOrder {
            epoch: self.epoch,
            deadline_ms,
            acknowledged,
            wait,
        };
        self.effects
            .push(Effect::Hold(executor.target.clone(), order));
        self.watch_lapse(x);
    }

    /// Sets the timer for when the executor's lease has certainly run out.
    pub(super) fn watch_lapse(&mut self, x: usize) {
        let at = if self.fleet[x].clock.is_none() && self.unresolved.contains(&x) {
            Some(self.earlier_leases_end())
        } else {
            self.fleet[x].lapses_at()
        };
        if let Some(at) = at {
            self.timers.retain(|(_, timer)| *timer != Timer::Lapse(x));
            self.timers
                .insert((at.max(self.now + Span(1)), Timer::Lapse(x)));
        }
    }

    /// When every lease that an earlier owner extended has certainly run out.
    fn earlier_leases_end(&self) -> Timestamp {
        self.began + self.bounds.max_lease + EARLIER_OWNER_MARGIN
    }

    pub(super) fn check_lapse(&mut self, x: usize) {
        let executor = &self.fleet[x];
        let is_over = if executor.clock.is_none() {
            self.now >= self.earlier_leases_end()
        } else {
            executor.lapses_at().is_some_and(|at| self.now >= at)
        };
        if !is_over {
            self.watch_lapse(x);
            return;
        }
        self.lose_all(x, Loss::Lapsed);
        self.resolve(x);
        if self.fleet[x].registration.is_none() && self.fleet[x].is_recorded {
            self.saving.must_record_fleet = true;
        }
    }

    pub(super) fn held(
        &mut self,
        id: &ExecutorId,
        sent: Timestamp,
        report: Result<HoldReport, OrderFailure>,
        is_waiting: bool,
    ) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        let executor = &mut self.fleet[x];
        let (told, looks_again) = if is_waiting {
            (executor.waiting.take(), false)
        } else {
            (
                executor.looking.take(),
                std::mem::take(&mut executor.looks_again),
            )
        };
        match report {
            Ok(report) => self.take_report(x, sent, told.unwrap_or_default(), report),
            Err(failure) => self.hold_failed(x, failure),
        }
        if looks_again && self.fleet[x].misses == 0 {
            self.look(x);
        } else if self.fleet[x].misses == 0 {
            self.hold_if_wanted(x);
        }
    }

    fn hold_failed(&mut self, x: usize, failure: OrderFailure) {
        if failure == OrderFailure::Refused(Refusal::Fenced) {
            self.effects.push(Effect::StepDown);
            return;
        }
        let executor = &mut self.fleet[x];
        executor.misses += 1;
        let doublings = executor.misses.min(5) - 1;
        let pause = Span(FIRST_PAUSE.0 << doublings).min(LONGEST_PAUSE);
        let is_first = executor.misses == 1;
        let executor = executor.id.clone();
        if is_first {
            self.effects.push(Effect::Log(Decision::OrderFailed {
                executor,
                task: None,
                failure,
            }));
        }
        self.set_timer(pause, Timer::Hold(x));
    }

    /// Takes in the answer to a hold that acknowledged the ends up to `told`.
    fn take_report(&mut self, x: usize, sent: Timestamp, told: u64, report: HoldReport) {
        let known = self.fleet[x].incarnation;
        if known.is_some_and(|known| report.incarnation < known) {
            return;
        }
        self.take_incarnation(x, &report);
        let executor = &mut self.fleet[x];
        if executor
            .clock
            .is_none_or(|(reading, _)| reading <= report.clock_ms)
        {
            executor.clock = Some((report.clock_ms, self.now));
        }
        if executor.lease_end_ms == 0 {
            // What an earlier owner may have granted is not known, only that it is no longer than this.
            executor.lease_end_ms = report.clock_ms + self.bounds.max_lease.0;
        }
        executor.heard = self.now;
        executor.is_suspect = false;
        if std::mem::take(&mut executor.misses) > 0 || !executor.is_fenced {
            executor.is_fenced = true;
            self.must_place = true;
        }
        for end in &report.ended {
            if end.number > self.fleet[x].seen {
                self.fleet[x].seen = end.number;
                self.saving.has_ends = true;
                if self.jobs.contains_key(&end.task.step.job) {
                    self.settle(x, end);
                } else {
                    self.keep_orphan(x, end.clone());
                }
            }
        }
        for listed in &report.running {
            self.take_listed(x, sent, listed);
        }
        if !report.is_partial {
            self.find_unlisted(x, sent, &report);
            self.resolve(x);
        }
        let executor = &mut self.fleet[x];
        executor.acknowledged = executor.acknowledged.max(told.min(executor.durable));
        self.set_paces(x);
        self.watch_lapse(x);
    }

    fn take_incarnation(&mut self, x: usize, report: &HoldReport) {
        let executor = &mut self.fleet[x];
        if executor.incarnation == Some(report.incarnation) {
            return;
        }
        let is_first = executor.incarnation.is_none();
        executor.incarnation = Some(report.incarnation);
        if is_first {
            return;
        }
        executor.clock = None;
        executor.lease_end_ms = 0;
        executor.seen = 0;
        executor.durable = 0;
        executor.acknowledged = 0;
        executor.strikes = 0;
        executor.is_fenced = false;
        // Starts may have reached the new incarnation already, or may yet; its lists tell which runs
        // are over, and deadlines by the earlier clock tell nothing.
        for run in executor.runs.values_mut() {
            run.deadline_ms = 0;
        }
    }

    fn take_listed(&mut self, x: usize, sent: Timestamp, listed: &RunListed) {
        let now = self.now;
        let Some(run) = self.fleet[x].runs.get_mut(&listed.task) else {
            self.take_unknown(x, sent, listed);
            return;
        };
        if run.run != listed.run {
            return;
        }
        run.phase = Phase::Running(match run.phase {
            Phase::Running(since) => since,
            Phase::Sent | Phase::Doubtful => now,
        });
        run.percent = listed.percent;
        if !listed.checkpoint.is_empty() {
            run.checkpoint = Some(listed.checkpoint.clone());
        }
        self.take_usage(x, listed);
    }

    /// A run that this owner did not start, or that began after it was given up.
    fn take_unknown(&mut self, x: usize, sent: Timestamp, listed: &RunListed) {
        let task = self.task(listed.task);
        if task.is_some_and(|task| listed.run <= task.closed_run) {
            return;
        }
        if !self.jobs.contains_key(&listed.task.step.job) {
            let run = self.run_of(listed, sent);
            let free = self.fleet[x].free();
            self.fleet[x].add(
                self.now,
                listed.task,
                Run {
                    size: free,
                    is_foreign: true,
                    ..run
                },
            );
            self.set_timer(FOREIGN_PATIENCE, Timer::Foreign(x));
            return;
        }
        self.adopt_or_stop(x, sent, listed);
    }

    /// Takes over a run of a known job, or stops it if the task is elsewhere or over.
    fn adopt_or_stop(&mut self, x: usize, sent: Timestamp, listed: &RunListed) {
        self.begin_listed(listed.task);
        let task = self.task(listed.task);
        let is_free = task.is_some_and(|task| !task.is_done && task.placed.is_none());
        let is_open = self
            .jobs
            .get(&listed.task.step.job)
            .is_some_and(|entry| !entry.is_over());
        let run = self.run_of(listed, sent);
        self.fleet[x].add(self.now, listed.task, run);
        if !(is_free && is_open) {
            self.stop_run(x, listed.task, "the run is not wanted");
            return;
        }
        let executor = self.fleet[x].id.clone();
        self.effects.push(Effect::Log(Decision::Adopted {
            task: listed.task,
            run: listed.run,
            executor,
        }));
        self.occupy(x, listed.task, listed.run);
    }

    fn run_of(&mut self, listed: &RunListed, sent: Timestamp) -> Run {
        let image = self.spec(listed.task).and_then(|step| step.image.clone());
        let image = self.interference.image(image.as_ref());
        let spec = self.spec(listed.task);
        Run {
            run: listed.run,
            size: spec.map(crate::Step::committed).unwrap_or_default(),
            wish: spec.map_or(0, |step| step.size.processors.0),
            is_filler: spec.is_some_and(|step| step.is_filler),
            tail_target: spec.and_then(|step| step.tail_target),
            phase: Phase::Running(sent),
            deadline_ms: 0,
            since: sent,
            stop: None,
            percent: listed.percent,
            // An earlier owner may have paced it.
            pace: uncertain(100),
            image,
            over_since: None,
            tail_ms: None,
            tail_at: Timestamp(0),
            is_tail_new: false,
            slowed_since: None,
            has_checkpoints: spec.is_some_and(|step| step.has_checkpoints),
            idle_looks: 0,
            checkpoint: (!listed.checkpoint.is_empty()).then(|| listed.checkpoint.clone()),
            is_foreign: false,
        }
    }

    /// A job has become known of which runs may have been listed before.
    pub(super) fn know_foreign(&mut self, job: JobKey) {
        for x in 0..self.fleet.len() {
            let foreign = self.fleet[x].runs.iter();
            let foreign = foreign.filter(|(task, run)| task.step.job == job && run.is_foreign);
            let rows: Vec<(Timestamp, RunListed)> = foreign
                .map(|(task, run)| (run.since, relisted(*task, run)))
                .collect();
            for (since, row) in rows {
                self.fleet[x].remove(self.now, row.task);
                self.adopt_or_stop(x, since, &row);
            }
        }
    }

    /// Keeps an end until its job is known, so that it is not acknowledged without a record.
    fn keep_orphan(&mut self, x: usize, end: RunEnded) {
        self.orphans.push(Orphan {
            executor: x,
            incarnation: self.fleet[x].incarnation,
            end,
            since: self.now,
        });
        self.set_timer(FOREIGN_PATIENCE, Timer::Orphans);
    }

    /// Settles the ends that waited for this job.
    pub(super) fn settle_orphans(&mut self, job: JobKey) {
        let is_of = |orphan: &Orphan| orphan.end.task.step.job == job;
        let known: Vec<Orphan> = self
            .orphans
            .extract_if(.., |orphan| is_of(orphan))
            .collect();
        for orphan in known {
            self.settle(orphan.executor, &orphan.end);
        }
    }

    /// Ends whose job has not become known belong to jobs that are no longer kept.
    pub(super) fn drop_orphans(&mut self) {
        let now = self.now;
        self.orphans
            .retain(|orphan| now.since(orphan.since) < FOREIGN_PATIENCE);
        self.saving.has_ends = true;
    }

    /// Greatest end of an executor that may be acknowledged once the records are written.
    pub(super) fn settled_up_to(&self, x: usize) -> u64 {
        let incarnation = self.fleet[x].incarnation;
        let mine = self.orphans.iter();
        let mine = mine.filter(|o| o.executor == x && o.incarnation == incarnation);
        let first = mine.map(|orphan| orphan.end.number).min();
        first.map_or(self.fleet[x].seen, |first| {
            self.fleet[x].seen.min(first - 1)
        })
    }

    /// Stops runs whose job has not become known for a while.
    pub(super) fn stop_foreign(&mut self, x: usize) {
        let now = self.now;
        let is_old = |run: &Run| run.is_foreign && now.since(run.since) >= FOREIGN_PATIENCE;
        let old = self.fleet[x].runs.iter().filter(|(_, run)| is_old(run));
        let old: Vec<TaskKey> = old.map(|(task, _)| *task).collect();
        for task in old {
            self.stop_run(x, task, "its job is not known");
        }
    }

    /// Runs that a complete list does not show any more.
    fn find_unlisted(&mut self, x: usize, sent: Timestamp, report: &HoldReport) {
        let is_listed = |task: &TaskKey, run: &Run| {
            let same = |row: &RunListed| row.task == *task && row.run == run.run;
            report.running.iter().any(same)
        };
        let mut lost = Vec::new();
        let mut to_stop = Vec::new();
        for (task, run) in &self.fleet[x].runs {
            if is_listed(task, run) {
                continue;
            }
            let is_stopped = run.stop.and_then(|stop| stop.answered);
            match run.phase {
                Phase::Running(confirmed) if confirmed < sent => lost.push((*task, Loss::Unlisted)),
                _ if is_stopped.is_some_and(|answered| answered < sent) => {
                    lost.push((*task, Loss::StoppedBefore));
                }
                Phase::Doubtful if run.deadline_ms != 0 && report.clock_ms > run.deadline_ms => {
                    lost.push((*task, Loss::NotStarted));
                }
                Phase::Doubtful if run.stop.is_none() => to_stop.push(*task),
                Phase::Running(_) | Phase::Doubtful | Phase::Sent => {}
            }
        }
        for (task, why) in lost {
            self.lose(x, task, why);
        }
        for task in to_stop {
            self.stop_run(x, task, "its start was not answered and it is not listed");
        }
    }
}

/// What the list said of a run that was kept until its job is known.
fn relisted(task: TaskKey, run: &Run) -> RunListed {
    RunListed {
        task,
        run: run.run,
        checkpoint: run.checkpoint.clone().unwrap_or_default(),
        percent: run.percent,
        usage: None,
    }
}
