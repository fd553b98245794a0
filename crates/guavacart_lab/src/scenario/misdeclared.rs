//! Run times and sizes are declared ten times too large or too small, and some jobs never fit.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::Instant;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, Shape},
};
use crate::{
    jobs::{JobSpec, Submitted},
    summary::{Summary, Target},
};

/// Least throughput, of the run with true declarations.
const LEAST: f64 = 0.85;
/// By how much a declaration is off.
const FACTOR: u64 = 10;
/// One job in so many can never fit.
const IMPOSSIBLE_EVERY: usize = 50;
/// Processors that no worker holds.
const IMPOSSIBLE_CORES: u64 = 64;
const JOBS: usize = 400;
const TASKS_A_JOB: u32 = 10;
/// Processors that a task uses.
const CORES: u64 = 2;
const RUN_MS: u64 = 2_000;
const WORKERS: usize = 24;
const INSTANCES: usize = 3;
/// Time for all tasks to end.
const SETTLE: Duration = Duration::from_secs(120);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "misdeclared",
    about: "run times and sizes off by a factor of 10 both ways; 2% of jobs impossible",
    baselines: &[],
    seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(misdeclared(cx))
}

async fn misdeclared(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::spec(&cx, INSTANCES, WORKERS)).await?;
    let (true_s, _) = measure(&bench, "true", true_shape).await?;
    let (off_s, submitted) = measure(&bench, "off", off_shape).await?;
    let mut summary = bench.summary(SCENARIO.name).await;
    let rejected = submitted
        .iter()
        .filter(|s| matches!(s, Submitted::Rejected(_)));
    let rejected = rejected.count() as f64;
    let left = bench.cluster.jobs.unfinished().len() as f64;
    let impossible = (JOBS / IMPOSSIBLE_EVERY) as f64;
    summary.targets.extend([
        Target::at_least("min_throughput_share", LEAST, true_s / off_s),
        Target::at_most("jobs_unfinished", 0.0, left),
        Target::at_least("min_impossible_rejected", impossible, rejected),
    ]);
    summary.detail("true_s", true_s);
    summary.detail("misdeclared_s", off_s);
    Ok(summary)
}

/// Seconds until every task has ended, of jobs that are all submitted at once.
async fn measure(
    bench: &Bench,
    phase: &str,
    shape: fn(u64, usize) -> Shape,
) -> Result<(f64, Vec<Submitted>), ScenarioError> {
    let job = |n| bench.job(phase, n, &shape(bench.cx.seed, n));
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..JOBS).map(job).collect();
    let start = Instant::now();
    let submitted = bench.offer(jobs?, Duration::from_secs(1)).await?;
    bench.cluster.jobs.wait_finished(SETTLE).await;
    Ok((start.elapsed().as_secs_f64(), submitted))
}

fn true_shape(_: u64, n: usize) -> Shape {
    let tasks = Shape::normal(TASKS_A_JOB, CORES, RUN_MS);
    impossible(n).unwrap_or(tasks)
}

/// A third declares ten times too much, a third ten times too little, of time and of size.
fn off_shape(seed: u64, n: usize) -> Shape {
    let drawn = deterministic_random(seed, n as u64);
    let mut shape = Shape::normal(TASKS_A_JOB, CORES, RUN_MS);
    shape.uses = Some(batch::cores(CORES));
    shape.declared_ms = match drawn % 3 {
        0 => RUN_MS * FACTOR,
        1 => RUN_MS / FACTOR,
        _ => RUN_MS,
    };
    shape.milli_cores = match (drawn >> 8) % 3 {
        0 => CORES * 1_000 * FACTOR,
        1 => CORES * 1_000 / FACTOR,
        _ => CORES * 1_000,
    };
    impossible(n).unwrap_or(shape)
}

fn impossible(n: usize) -> Option<Shape> {
    let shape = Shape::normal(1, IMPOSSIBLE_CORES, RUN_MS);
    n.is_multiple_of(IMPOSSIBLE_EVERY).then_some(shape)
}
