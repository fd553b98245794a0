//! 2,000 jobs are cancelled at once among others.

use std::time::Duration;

use tokio::{task::JoinSet, time::Instant};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, SUBMIT, Shape},
};
use crate::{
    batch_ledger::RunEnd,
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Jobs that are cancelled, of one task each.
const WAVE: usize = 2_000;
/// Jobs that are not.
const REST: usize = 400;
const CORES: u64 = 1;
/// Run time of the tasks that are cancelled; none ends before.
const WAVE_MS: u64 = 60_000;
const REST_MS: u64 = 5_000;
const WORKERS: usize = 24;
const INSTANCES: usize = 4;
/// Time over which all are submitted.
const SUBMISSION: Duration = Duration::from_secs(8);
/// Time for the rest to end.
const SETTLE: Duration = Duration::from_secs(60);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "cancel-wave",
    about: "2,000 jobs are cancelled at once; 400 others go on",
    baselines: &[],
    seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(cancel_wave(cx))
}

async fn cancel_wave(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::spec(&cx, INSTANCES, WORKERS)).await?;
    let jobs: Result<Vec<JobSpec>, ScenarioError> =
        (0..WAVE + REST).map(|n| job(&bench, n)).collect();
    let jobs = jobs?;
    let wave: Vec<JobSpec> = jobs.iter().filter(|j| is_wave(j)).cloned().collect();
    bench.offer(jobs, SUBMISSION).await?;
    let running = bench.running();
    let start = Instant::now();
    let confirmed = cancel(&bench, wave).await?;
    let took = start.elapsed();
    bench.cluster.jobs.wait_finished(SETTLE).await;
    let stopped = |end: &RunEnd| *end != RunEnd::Finished;
    let touched = bench.runs("rest").into_values().flatten();
    let touched = touched.filter(|run| run.end.is_some_and(|(_, end)| stopped(&end)));
    let touched = touched.count() as f64;
    let rest = bench.runs("rest").into_values().flatten();
    let finished = rest.filter(|run| matches!(run.end, Some((_, RunEnd::Finished))));
    let finished = finished.count() as f64;
    let mut summary = bench.summary(SCENARIO.name).await;
    summary.targets.extend([
        Target::at_least("min_confirmed", WAVE as f64, confirmed as f64),
        Target::at_least("min_rest_finished", REST as f64, finished),
        Target::at_most("rest_not_finished_at_once", 0.0, touched),
        Target::at_most("running_at_the_end", 0.0, bench.running() as f64),
    ]);
    summary.detail("running_before", running as f64);
    summary.detail("last_confirmed_s", took.as_secs_f64());
    Ok(summary)
}

/// Five of the wave, then one of the rest, in turn.
fn job(bench: &Bench, n: usize) -> Result<JobSpec, ScenarioError> {
    let every = (WAVE + REST) / REST;
    match n % every {
        0 => bench.job("rest", n, &Shape::normal(1, CORES, REST_MS)),
        _ => bench.job("wave", n, &Shape::normal(1, CORES, WAVE_MS)),
    }
}

fn is_wave(job: &JobSpec) -> bool {
    job.id.as_str().starts_with("wave-")
}

/// Cancels all jobs at once; how many were confirmed.
async fn cancel(bench: &Bench, wave: Vec<JobSpec>) -> Result<usize, ScenarioError> {
    let mut calls = JoinSet::new();
    for job in wave {
        let client = bench.cluster.jobs.clone();
        calls.spawn(async move { client.cancel(&job.id, SUBMIT).await });
    }
    let mut confirmed = 0;
    while let Some(ended) = calls.join_next().await {
        confirmed += usize::from(ended?);
    }
    Ok(confirmed)
}
