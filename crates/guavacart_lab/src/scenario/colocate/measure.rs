//! Measurements of the runs, compared with the controls.

use std::{collections::BTreeMap, time::Duration};

use guavacart_types::TaskId;

use super::{
    RunKind,
    load::{Timing, task_run_ms},
    measurement_name,
    site::Site,
};
use crate::{
    batch_ledger::{self, BatchCounts, TaskAttemptEnd},
    caller::{Attempt, Ending, latencies},
    checks::Violations,
    summary::{Summary, Target},
};

/// Longest latency of a good answer, in microseconds: the objective in the shipped configurations.
const MAX_GOOD_LATENCY_US: u64 = 500_000;
/// Limit for the time from the change of the hidden table until tail latency is back to normal, in
/// seconds.
const RECOVERY_LIMIT_S: f64 = 60.0;
/// Recovery time that is reported if tail latency did not recover before the end of the run, in
/// seconds.
const NOT_RECOVERED_S: f64 = 3_600.0;
/// Shortest remainder of a run from which a lasting recovery of tail latency can be concluded.
const MIN_REMAINING: Duration = Duration::from_secs(8);
/// Limit for the ratio of the 99th percentile to that without batch work.
const TAIL_LIMIT: f64 = 1.15;
/// Limit for the same ratio at the crests.
const CREST_LIMIT: f64 = 1.3;
/// Least goodput at the crests, relative to that without batch work.
const GOODPUT_LIMIT: f64 = 0.98;
/// Least batch throughput, relative to that without services.
const THROUGHPUT_LIMIT: f64 = 0.85;
/// Limit for the evictions, relative to those of the policy `reactive`.
const EVICTIONS_LIMIT: f64 = 0.25;
/// Limit for the work that is done more than once, as a share of the finished tasks.
const REDONE_LIMIT: f64 = 0.01;

/// What happened in one run.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) kind: RunKind,
    pub(super) start_us: u64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tasks: BTreeMap<TaskId, Vec<batch_ledger::TaskAttempt>>,
    pub(super) counts: BatchCounts,
    pub(super) violations: Violations,
}

impl Run {
    /// Returns when a request was due, as time since the start of the run.
    fn due_at(&self, attempt: &Attempt) -> Duration {
        Duration::from_micros(attempt.due_us.saturating_sub(self.start_us))
    }

    /// Returns the 99th percentile of the latency of the requests due within a window, in
    /// milliseconds.
    pub(super) fn p99_ms(&self, from: Duration, to: Duration) -> f64 {
        let is_due_within = |a: &Attempt| (from..to).contains(&self.due_at(a));
        latencies(&self.attempts, is_due_within).quantile_ms(0.99)
    }

    fn crest_p99_ms(&self, timing: &Timing) -> f64 {
        latencies(&self.attempts, |a| self.is_at_crest(timing, a)).quantile_ms(0.99)
    }

    fn is_at_crest(&self, timing: &Timing, attempt: &Attempt) -> bool {
        let due_at = self.due_at(attempt);
        let mut crests = timing.crests.iter();
        crests.any(|(from, to)| (*from..*to).contains(&due_at))
    }

    /// Returns the number of good answers to requests due at the crests.
    fn crest_goodput(&self, timing: &Timing) -> f64 {
        let is_good = |a: &&Attempt| {
            a.ending == Ending::Answered
                && a.latency_us() <= MAX_GOOD_LATENCY_US
                && self.is_at_crest(timing, a)
        };
        self.attempts.iter().filter(is_good).count() as f64
    }

    /// Returns the work of the tasks that finished within a window, in seconds on idle workers.
    pub(super) fn work_s(&self, site: &Site, from: Duration, to: Duration) -> f64 {
        let mut work_ms = 0;
        for (task, attempts) in &self.tasks {
            let finished = attempts.iter().any(|attempt| match attempt.end {
                Some((at, TaskAttemptEnd::Finished)) => {
                    let at = Duration::from_micros(at.saturating_sub(self.start_us));
                    (from..to).contains(&at)
                }
                _ => false,
            });
            if finished {
                work_ms += task_run_ms(site.noisy.class, task.job.as_str());
            }
        }
        work_ms as f64 / 1_000.0
    }

    /// Returns the work done more than once, as a share of the finished tasks.
    fn redone(&self) -> f64 {
        let finished = self.counts.finished.max(1) as f64;
        self.counts.redone_milli_tasks as f64 / 1_000.0 / finished
    }
}

/// All runs, sorted by name, and their schedule.
#[derive(Debug)]
pub(super) struct Comparison {
    timing: Timing,
    pub(super) runs: Vec<Run>,
}

/// The measurements of one run, relative to the controls where they are ratios.
struct Measurements {
    p99_ratio: f64,
    crest_p99_ratio: f64,
    crest_goodput: f64,
    throughput: f64,
    evictions: f64,
    redone: f64,
    recovery_s: f64,
}

impl Comparison {
    pub(super) fn of(timing: &Timing, mut runs: Vec<Run>) -> Self {
        runs.sort_by_key(|run| run.kind.name());
        let timing = timing.clone();
        Self { timing, runs }
    }

    pub(super) fn run(&self, name: &str) -> Option<&Run> {
        self.runs.iter().find(|run| run.is(name))
    }

    pub(super) fn summary(&self, seed: u64, site: &Site, main_policy: &str) -> Summary {
        let Some(main) = self.run(main_policy) else {
            return Summary::default();
        };
        let mut summary = Summary::of_attempts(site.scenario, seed, &main.attempts);
        summary.tasks_submitted = main.tasks.len() as u64;
        summary.tasks_finished = main.counts.finished;
        summary.evictions = main.counts.evictions;
        summary.violations = self.violations();
        summary.add_reasons(&main.attempts);
        for run in &self.runs {
            self.add_details(&mut summary, site, run);
        }
        summary.targets = self.targets(site, main);
        summary
    }

    /// Returns the sum of the violations of all runs.
    fn violations(&self) -> Violations {
        let mut sum = Violations::default();
        for run in &self.runs {
            sum.add(&run.violations);
        }
        sum
    }

    fn targets(&self, site: &Site, main: &Run) -> Vec<Target> {
        let Some(measured) = self.measurements(site, main) else {
            return Vec::new();
        };
        let reactive_evictions = self.run("reactive").map_or(0, |run| run.counts.evictions);
        let max_evictions = reactive_evictions as f64 * EVICTIONS_LIMIT;
        vec![
            Target::at_most("p99_over_without_batch", TAIL_LIMIT, measured.p99_ratio),
            Target::at_most(
                "crest_p99_over_without_batch",
                CREST_LIMIT,
                measured.crest_p99_ratio,
            ),
            Target::at_least("min_crest_goodput", GOODPUT_LIMIT, measured.crest_goodput),
            Target::at_least("min_throughput", THROUGHPUT_LIMIT, measured.throughput),
            Target::at_most("evictions", max_evictions, measured.evictions),
            Target::at_most("redone_share", REDONE_LIMIT, measured.redone),
            Target::at_most("recovery_s", RECOVERY_LIMIT_S, measured.recovery_s),
        ]
    }

    fn add_details(&self, summary: &mut Summary, site: &Site, run: &Run) {
        let name = run.kind.name();
        let mut add = |what: &str, value: f64| {
            summary.details.insert(measurement_name(what, name), value);
        };
        let length = self.timing.length;
        add("p99_ms", run.p99_ms(Duration::ZERO, length));
        add("crest_p99_ms", run.crest_p99_ms(&self.timing));
        add("work_s", run.work_s(site, Duration::ZERO, length));
        let Some(measured) = self.measurements(site, run) else {
            return;
        };
        if !matches!(run.kind, RunKind::Colocated(_)) {
            return;
        }
        add("p99_ratio", measured.p99_ratio);
        add("crest_p99_ratio", measured.crest_p99_ratio);
        add("crest_goodput", measured.crest_goodput);
        add("throughput", measured.throughput);
        add("evictions", measured.evictions);
        add("redone", measured.redone);
        add("recovery_s", measured.recovery_s);
    }

    fn measurements(&self, site: &Site, run: &Run) -> Option<Measurements> {
        let without_batch = self.run(RunKind::WithoutBatch.name())?;
        let without_services = self.run(RunKind::WithoutServices.name())?;
        let (zero, length) = (Duration::ZERO, self.timing.length);
        let crest_p99 = |run: &Run| run.crest_p99_ms(&self.timing);
        let goodput = |run: &Run| run.crest_goodput(&self.timing);
        Some(Measurements {
            p99_ratio: run.p99_ms(zero, length) / without_batch.p99_ms(zero, length),
            crest_p99_ratio: crest_p99(run) / crest_p99(without_batch),
            crest_goodput: goodput(run) / goodput(without_batch),
            // In both runs, batch tasks get only the capacity that the worker's endpoint leaves.
            throughput: run.work_s(site, zero, length)
                / without_services.work_s(site, zero, length),
            evictions: run.counts.evictions as f64,
            redone: run.redone(),
            recovery_s: self.recovery_s(run, without_batch),
        })
    }

    /// Returns the seconds after the change of the hidden table from which tail latency, taken over
    /// the rest of the run, is within its limit.
    fn recovery_s(&self, run: &Run, control: &Run) -> f64 {
        let (table_change, length) = (self.timing.table_change, self.timing.length);
        let mut after = Duration::ZERO;
        while table_change + after + MIN_REMAINING <= length {
            let from = table_change + after;
            let limit = control.p99_ms(from, length) * TAIL_LIMIT;
            if run.p99_ms(from, length) <= limit {
                return after.as_secs_f64();
            }
            after += Duration::from_secs(1);
        }
        NOT_RECOVERED_S
    }
}
