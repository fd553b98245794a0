//! Runs that this owner did not start, and runs and ends of jobs that are not known yet.

use guavacart_types::{Incarnation, Span, Timestamp};

use super::{
    State, Timer,
    jobs::Task,
    pacing::unconfirmed_pace,
    runs::{Phase, Run},
};
use crate::{Decision, Effect, EndedRun, JobKey, ListedRun, TaskKey, policy::speed::Counted};

/// Time in which the job of a listed run becomes known; the owner reads the inbox of accepted jobs
/// in the store within this time.
const UNKNOWN_JOB_TIMEOUT: Span = Span::millis(2_500);

/// The end of a run whose job is not known yet.
#[derive(Debug)]
pub(super) struct Orphan {
    executor: usize,
    incarnation: Option<Incarnation>,
    end: EndedRun,
    since: Timestamp,
}

impl State {
    /// Handles a listed run that this owner did not start or has given up.
    pub(super) fn apply_unknown_run(&mut self, x: usize, sent: Timestamp, listed: &ListedRun) {
        let is_over = |task: &Task| {
            let is_listed_again = listed.run == task.lost_run && sent > task.lost_at;
            listed.run <= task.last_ended_run && !is_listed_again
        };
        if self.task(listed.task).is_some_and(is_over) {
            return;
        }
        if !self.jobs.contains_key(&listed.task.step.job) {
            let run = self.run_from_list(x, listed, sent);
            let run = Run {
                is_job_unknown: true,
                ..run
            };
            self.executors[x].add(self.now, listed.task, run);
            self.set_timer(UNKNOWN_JOB_TIMEOUT, Timer::UnknownJobs(x));
            return;
        }
        self.adopt_or_stop(x, sent, listed);
    }

    /// Adopts a run of a known job, or stops the run if its task is done or placed elsewhere.
    pub(super) fn adopt_or_stop(&mut self, x: usize, sent: Timestamp, listed: &ListedRun) {
        self.begin_occurrence_of(listed.task);
        let task = self.task(listed.task);
        let is_free = task.is_some_and(|task| !task.is_done && task.placement.is_none());
        let is_open = self
            .jobs
            .get(&listed.task.step.job)
            .is_some_and(|entry| !entry.is_over());
        let run = self.run_from_list(x, listed, sent);
        self.executors[x].add(self.now, listed.task, run);
        if !(is_free && is_open) {
            self.stop_run(x, listed.task, "its task is over or runs elsewhere");
            return;
        }
        let executor = self.executors[x].id.clone();
        self.effects.push(Effect::Log(Decision::Adopted {
            task: listed.task,
            run: listed.run,
            executor,
        }));
        self.record_placement(x, listed.task, listed.run);
    }

    /// Creates a run that this owner did not start from its list entry.
    fn run_from_list(&mut self, x: usize, listed: &ListedRun, sent: Timestamp) -> Run {
        let image = self.spec(listed.task).and_then(|step| step.image.clone());
        let image = self.interference.register_image(image.as_ref());
        let spec = self.spec(listed.task);
        Run {
            run: listed.run,
            size: spec.map(crate::Step::reserved).unwrap_or_default(),
            processor_demand: spec.map_or(0, |step| step.resources.processors.0),
            is_best_effort: spec.is_some_and(|step| step.is_best_effort),
            tail_target: spec.and_then(|step| step.tail_target),
            phase: Phase::Running(sent),
            listed_by: self.executors[x].incarnation,
            deadline_ms: 0,
            since: sent,
            stop: None,
            percent: listed.percent,
            // An earlier owner may have changed the pace.
            pace: unconfirmed_pace(100),
            image,
            over_since: None,
            tail_ms: None,
            tail_at: Timestamp(0),
            is_tail_new: false,
            slowed_since: None,
            has_checkpoints: spec.is_some_and(|step| step.has_checkpoints),
            idle_reports: 0,
            paced_at: Timestamp(0),
            overuse_reports: 0,
            checkpoint: (!listed.checkpoint.is_empty()).then(|| listed.checkpoint.clone()),
            counted: Counted::Nothing,
            is_job_unknown: false,
        }
    }

    /// Adopts or stops the listed runs that were waiting for this job to become known.
    pub(super) fn adopt_waiting_runs(&mut self, job: JobKey) {
        for x in 0..self.executors.len() {
            let unknown = self.executors[x].runs.iter();
            let unknown = unknown.filter(|(task, run)| task.step.job == job && run.is_job_unknown);
            let listed_runs: Vec<(Timestamp, ListedRun)> = unknown
                .map(|(task, run)| (run.since, listed_run(*task, run)))
                .collect();
            for (since, listed) in listed_runs {
                self.executors[x].remove(self.now, listed.task);
                self.adopt_or_stop(x, since, &listed);
            }
        }
    }

    /// Keeps a run end until its job is known, so that the end is not acknowledged before it is
    /// recorded.
    pub(super) fn keep_orphan(&mut self, x: usize, end: EndedRun) {
        self.orphans.push(Orphan {
            executor: x,
            incarnation: self.executors[x].incarnation,
            end,
            since: self.now,
        });
        self.set_timer(UNKNOWN_JOB_TIMEOUT, Timer::OrphanExpiry);
    }

    /// Applies the run ends that were waiting for this job to become known.
    pub(super) fn apply_orphans(&mut self, job: JobKey) {
        let is_of_job = |orphan: &Orphan| orphan.end.task.step.job == job;
        let known: Vec<Orphan> = self
            .orphans
            .extract_if(.., |orphan| is_of_job(orphan))
            .collect();
        for orphan in known {
            self.apply_end(orphan.executor, &orphan.end);
        }
    }

    /// Drops run ends whose job has not become known in time; these jobs are no longer kept.
    pub(super) fn drop_expired_orphans(&mut self) {
        let now = self.now;
        self.orphans
            .retain(|orphan| now.since(orphan.since) < UNKNOWN_JOB_TIMEOUT);
        self.saving.has_unacknowledged_ends = true;
    }

    /// Number of the last run end of the executor that may be acknowledged once the current records
    /// are stored.
    pub(super) fn last_applied_end(&self, x: usize) -> u64 {
        let incarnation = self.executors[x].incarnation;
        let orphans = self.orphans.iter();
        let orphans = orphans.filter(|o| o.executor == x && o.incarnation == incarnation);
        let first = orphans.map(|orphan| orphan.end.number).min();
        first.map_or(self.executors[x].last_received_end, |first| {
            self.executors[x].last_received_end.min(first - 1)
        })
    }

    /// Stops runs whose job has not become known in time.
    pub(super) fn stop_unknown_job_runs(&mut self, x: usize) {
        let now = self.now;
        let is_old = |run: &Run| run.is_job_unknown && now.since(run.since) >= UNKNOWN_JOB_TIMEOUT;
        let old = self.executors[x].runs.iter().filter(|(_, run)| is_old(run));
        let old: Vec<TaskKey> = old.map(|(task, _)| *task).collect();
        for task in old {
            self.stop_run(x, task, "its job is not known");
        }
    }
}

/// Restores the list entry of a run that was kept until its job became known.
fn listed_run(task: TaskKey, run: &Run) -> ListedRun {
    ListedRun {
        task,
        run: run.run,
        checkpoint: run.checkpoint.clone().unwrap_or_default(),
        percent: run.percent,
        usage: None,
    }
}
