//! Declared run times and sizes are ten times too large or too small, and some jobs fit no worker.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::Instant;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, Testbed},
};
use crate::{
    jobs::{JobSpec, Submitted},
    summary::{Summary, Target},
};

/// Least throughput, relative to the run with accurate declarations.
const MIN_THROUGHPUT_SHARE: f64 = 0.85;
/// Ratio between the declared and the actual values, in either direction.
const MISDECLARED_FACTOR: u64 = 10;
/// Every 50th job fits no worker.
const IMPOSSIBLE_JOB_INTERVAL: usize = 50;
/// Processors of a task that fits no worker.
const IMPOSSIBLE_CORES: u64 = 64;
const JOBS: usize = 400;
const TASKS_PER_JOB: u32 = 10;
/// Processors that each task uses.
const CORES_PER_TASK: u64 = 2;
const RUN_MS: u64 = 2_000;
const WORKERS: usize = 24;
const INSTANCES: usize = 3;
/// Longest wait for all tasks to end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "misdeclared",
    description: "run times and sizes off by a factor of 10 both ways; 2% of jobs impossible",
    baselines: &[],
    default_seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(misdeclared(cx))
}

async fn misdeclared(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let testbed = Testbed::open(&cx, batch::two_cells(&cx, INSTANCES, WORKERS)).await?;
    let (accurate_s, _) = measure(&testbed, "true", accurate_job).await?;
    let (misdeclared_s, submitted) = measure(&testbed, "off", misdeclared_job).await?;
    let mut summary = testbed.summary(SCENARIO.name).await;
    let rejected = submitted
        .iter()
        .filter(|s| matches!(s, Submitted::Rejected(_)));
    let rejected = rejected.count() as f64;
    let unfinished = testbed.cluster.jobs.unfinished().len() as f64;
    let impossible_jobs = (JOBS / IMPOSSIBLE_JOB_INTERVAL) as f64;
    summary.targets.extend([
        Target::at_least(
            "min_throughput_share",
            MIN_THROUGHPUT_SHARE,
            accurate_s / misdeclared_s,
        ),
        Target::at_most("jobs_unfinished", 0.0, unfinished),
        Target::at_least("min_impossible_rejected", impossible_jobs, rejected),
    ]);
    summary.add_detail("true_s", accurate_s);
    summary.add_detail("misdeclared_s", misdeclared_s);
    Ok(summary)
}

/// Submits all jobs within a second; returns the seconds until every task has ended, and the
/// outcome of each submission.
async fn measure(
    testbed: &Testbed,
    phase: &str,
    template: fn(u64, usize) -> JobTemplate,
) -> Result<(f64, Vec<Submitted>), ScenarioError> {
    let job = |n| testbed.job(phase, n, &template(testbed.cx.seed, n));
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..JOBS).map(job).collect();
    let start = Instant::now();
    let submitted = testbed.submit_jobs(jobs?, Duration::from_secs(1)).await?;
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    Ok((start.elapsed().as_secs_f64(), submitted))
}

fn accurate_job(_: u64, n: usize) -> JobTemplate {
    let possible = JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, RUN_MS);
    impossible_job(n).unwrap_or(possible)
}

/// Run time and size each are declared ten times too large for a third of the jobs, ten times too
/// small for a third, and accurately for the rest.
fn misdeclared_job(seed: u64, n: usize) -> JobTemplate {
    let random = deterministic_random(seed, n as u64);
    let mut template = JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, RUN_MS);
    template.actual_usage = Some(batch::resources_for_cores(CORES_PER_TASK));
    template.declared_ms = match random % 3 {
        0 => RUN_MS * MISDECLARED_FACTOR,
        1 => RUN_MS / MISDECLARED_FACTOR,
        _ => RUN_MS,
    };
    template.milli_cores = match (random >> 8) % 3 {
        0 => CORES_PER_TASK * 1_000 * MISDECLARED_FACTOR,
        1 => CORES_PER_TASK * 1_000 / MISDECLARED_FACTOR,
        _ => CORES_PER_TASK * 1_000,
    };
    impossible_job(n).unwrap_or(template)
}

fn impossible_job(n: usize) -> Option<JobTemplate> {
    let template = JobTemplate::normal(1, IMPOSSIBLE_CORES, RUN_MS);
    n.is_multiple_of(IMPOSSIBLE_JOB_INTERVAL)
        .then_some(template)
}
