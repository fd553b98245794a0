//! What the runs came to, against the controls.

use std::{collections::BTreeMap, time::Duration};

use guavacart_types::TaskId;

use super::{
    Part, figure,
    load::{Timing, run_ms},
    site::Site,
};
use crate::{
    batch_ledger::{self, BatchCounts, RunEnd},
    caller::{Attempt, Ending, latencies},
    checks::Violations,
    summary::{Summary, Target},
};

/// Latency within which an answer is good, as the shipped configurations promise.
const GOOD_US: u64 = 500_000;
/// Time after the hidden change by which the tail is to be back.
const RECOVERY_LIMIT_S: f64 = 60.0;
/// Reported when the tail did not come back before the end of the run, in seconds.
const NOT_RECOVERED_S: f64 = 3_600.0;
/// Least rest of a run that shows that the tail stays back.
const LEAST_REST: Duration = Duration::from_secs(8);
const TAIL_LIMIT: f64 = 1.15;
const CREST_LIMIT: f64 = 1.3;
const GOODPUT_LIMIT: f64 = 0.98;
const THROUGHPUT_LIMIT: f64 = 0.85;
const EVICTIONS_LIMIT: f64 = 0.25;
const REDONE_LIMIT: f64 = 0.01;

/// One run.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) part: Part,
    pub(super) start_us: u64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tasks: BTreeMap<TaskId, Vec<batch_ledger::Run>>,
    pub(super) counts: BatchCounts,
    pub(super) violations: Violations,
}

impl Run {
    /// Time since the start of the run at which a call was due.
    fn due(&self, attempt: &Attempt) -> Duration {
        Duration::from_micros(attempt.due_us.saturating_sub(self.start_us))
    }

    /// 99th percentile of the latency of the calls due within a window, in milliseconds.
    pub(super) fn p99_ms(&self, from: Duration, to: Duration) -> f64 {
        let within = |a: &Attempt| (from..to).contains(&self.due(a));
        latencies(&self.attempts, within).quantile_ms(0.99)
    }

    fn crest_p99_ms(&self, timing: &Timing) -> f64 {
        latencies(&self.attempts, |a| self.is_at_crest(timing, a)).quantile_ms(0.99)
    }

    fn is_at_crest(&self, timing: &Timing, attempt: &Attempt) -> bool {
        let due = self.due(attempt);
        let mut crests = timing.crests.iter();
        crests.any(|(from, to)| (*from..*to).contains(&due))
    }

    /// Good answers to calls at the crests.
    fn crest_goodput(&self, timing: &Timing) -> f64 {
        let good = |a: &&Attempt| {
            a.ending == Ending::Answered && a.latency_us() <= GOOD_US && self.is_at_crest(timing, a)
        };
        self.attempts.iter().filter(good).count() as f64
    }

    /// Work of the tasks that finished within a window, in seconds on idle workers.
    pub(super) fn work_s(&self, site: &Site, from: Duration, to: Duration) -> f64 {
        let mut work_ms = 0;
        for (task, runs) in &self.tasks {
            let finished = runs.iter().any(|run| match run.end {
                Some((at, RunEnd::Finished)) => {
                    let at = Duration::from_micros(at.saturating_sub(self.start_us));
                    (from..to).contains(&at)
                }
                _ => false,
            });
            if finished {
                work_ms += run_ms(site.noisy.class, task.job.as_str());
            }
        }
        work_ms as f64 / 1_000.0
    }

    /// Work done more than once, as a share of the tasks that finished.
    fn redone(&self) -> f64 {
        let finished = self.counts.finished.max(1) as f64;
        self.counts.redone_milli_tasks as f64 / 1_000.0 / finished
    }
}

/// All runs and when what happened in them.
#[derive(Debug)]
pub(super) struct Judged {
    timing: Timing,
    pub(super) runs: Vec<Run>,
}

/// What one run came to.
struct Measures {
    p99_ratio: f64,
    crest_p99_ratio: f64,
    crest_goodput: f64,
    throughput: f64,
    evictions: f64,
    redone: f64,
    recovery_s: f64,
}

impl Judged {
    pub(super) fn of(timing: &Timing, mut runs: Vec<Run>) -> Self {
        runs.sort_by_key(|run| run.part.name());
        let timing = timing.clone();
        Self { timing, runs }
    }

    pub(super) fn run(&self, name: &str) -> Option<&Run> {
        self.runs.iter().find(|run| run.is(name))
    }

    pub(super) fn summary(&self, seed: u64, site: &Site, looked_at: &str) -> Summary {
        let Some(main) = self.run(looked_at) else {
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

    /// Broken promises of all runs.
    fn violations(&self) -> Violations {
        let mut sum = Violations::default();
        for run in &self.runs {
            sum.add(&run.violations);
        }
        sum
    }

    fn targets(&self, site: &Site, main: &Run) -> Vec<Target> {
        let Some(m) = self.measures(site, main) else {
            return Vec::new();
        };
        let reactive = self.run("reactive").map_or(0, |run| run.counts.evictions);
        let allowed = reactive as f64 * EVICTIONS_LIMIT;
        vec![
            Target::at_most("p99_over_without_batch", TAIL_LIMIT, m.p99_ratio),
            Target::at_most(
                "crest_p99_over_without_batch",
                CREST_LIMIT,
                m.crest_p99_ratio,
            ),
            Target::at_least("min_crest_goodput", GOODPUT_LIMIT, m.crest_goodput),
            Target::at_least("min_throughput", THROUGHPUT_LIMIT, m.throughput),
            Target::at_most("evictions", allowed, m.evictions),
            Target::at_most("redone_share", REDONE_LIMIT, m.redone),
            Target::at_most("recovery_s", RECOVERY_LIMIT_S, m.recovery_s),
        ]
    }

    fn add_details(&self, summary: &mut Summary, site: &Site, run: &Run) {
        let name = run.part.name();
        let mut add = |what: &str, value: f64| {
            summary.details.insert(figure(what, name), value);
        };
        let length = self.timing.length;
        add("p99_ms", run.p99_ms(Duration::ZERO, length));
        add("crest_p99_ms", run.crest_p99_ms(&self.timing));
        add("work_s", run.work_s(site, Duration::ZERO, length));
        let Some(m) = self.measures(site, run) else {
            return;
        };
        if !matches!(run.part, Part::Both(_)) {
            return;
        }
        add("p99_ratio", m.p99_ratio);
        add("crest_p99_ratio", m.crest_p99_ratio);
        add("crest_goodput", m.crest_goodput);
        add("throughput", m.throughput);
        add("evictions", m.evictions);
        add("redone", m.redone);
        add("recovery_s", m.recovery_s);
    }

    fn measures(&self, site: &Site, run: &Run) -> Option<Measures> {
        let services = self.run(Part::WithoutBatch.name())?;
        let batch = self.run(Part::WithoutServices.name())?;
        let (zero, length) = (Duration::ZERO, self.timing.length);
        let crest = |run: &Run| run.crest_p99_ms(&self.timing);
        let goodput = |run: &Run| run.crest_goodput(&self.timing);
        Some(Measures {
            p99_ratio: run.p99_ms(zero, length) / services.p99_ms(zero, length),
            crest_p99_ratio: crest(run) / crest(services),
            crest_goodput: goodput(run) / goodput(services),
            // A worker's capacity for tasks is what its endpoint leaves, in both runs.
            throughput: run.work_s(site, zero, length) / batch.work_s(site, zero, length),
            evictions: run.counts.evictions as f64,
            redone: run.redone(),
            recovery_s: self.recovery_s(run, services),
        })
    }

    /// Seconds after the hidden change from which the tail is within its limit until the end.
    fn recovery_s(&self, run: &Run, control: &Run) -> f64 {
        let (change, length) = (self.timing.change, self.timing.length);
        let mut after = Duration::ZERO;
        while change + after + LEAST_REST <= length {
            let from = change + after;
            let limit = control.p99_ms(from, length) * TAIL_LIMIT;
            if run.p99_ms(from, length) <= limit {
                return after.as_secs_f64();
            }
            after += Duration::from_secs(1);
        }
        NOT_RECOVERED_S
    }
}
