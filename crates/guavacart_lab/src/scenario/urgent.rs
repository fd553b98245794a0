//! Urgent work comes to full workers and displaces what runs there.

use std::time::Duration;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, Shape},
};
use crate::{
    batch_ledger::{Run, RunEnd},
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Longest time from submission to start, in milliseconds.
const START_MS: f64 = 9_100.0;
/// Urgent tasks.
const URGENT: usize = 200;
/// Tasks that run when they come: four fill a worker.
const FULL: usize = WORKERS * 4;
/// Tasks of the batch work; more than the workers of either cell hold.
const BATCH: usize = 450;
const CORES: u64 = 8;
const TASKS_A_JOB: u32 = 5;
const BATCH_MS: u64 = 20_000;
const URGENT_MS: u64 = 2_000;
const WORKERS: usize = 65;
const INSTANCES: usize = 4;
/// Longest wait for the workers to be full.
const FILL: Duration = Duration::from_secs(30);
/// Time for all tasks to end.
const SETTLE: Duration = Duration::from_secs(120);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "urgent",
    about: "200 urgent tasks on 65 full workers",
    baselines: &[],
    seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(urgent(cx))
}

async fn urgent(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::spec(&cx, INSTANCES, WORKERS)).await?;
    let normal = Shape::normal(TASKS_A_JOB, CORES, BATCH_MS);
    bench
        .offer(
            jobs(&bench, "full", BATCH, &normal)?,
            Duration::from_secs(1),
        )
        .await?;
    bench.wait_running(FULL, FILL).await;
    let running = bench.running();
    let shape = Shape {
        priority: "urgent",
        ..Shape::normal(TASKS_A_JOB, CORES, URGENT_MS)
    };
    bench
        .offer(jobs(&bench, "urgent", URGENT, &shape)?, Duration::ZERO)
        .await?;
    bench.cluster.jobs.wait_finished(SETTLE).await;
    let times = bench.start_times("urgent");
    let mut summary = bench.summary(SCENARIO.name).await;
    let displaced: Vec<Vec<Run>> = bench
        .runs("full")
        .into_values()
        .filter(|runs| runs.iter().any(was_stopped))
        .collect();
    let badly = displaced.iter().filter(|runs| !resumed_once(runs)).count();
    let finished = summary.tasks_finished as f64;
    summary.targets.extend([
        Target::at_least("min_running_before", FULL as f64, running as f64),
        Target::at_least("min_urgent_started", URGENT as f64, times.len() as f64),
        Target::at_most("urgent_start_max_ms", START_MS, times.quantile_ms(1.0)),
        Target::at_most("displaced_not_resumed_once", 0.0, badly as f64),
        Target::at_least("min_tasks_finished", (BATCH + URGENT) as f64, finished),
    ]);
    summary.detail("urgent_start_p50_ms", times.quantile_ms(0.5));
    summary.detail("displaced", displaced.len() as f64);
    Ok(summary)
}

fn jobs(
    bench: &Bench,
    name: &str,
    tasks: usize,
    shape: &Shape,
) -> Result<Vec<JobSpec>, ScenarioError> {
    let count = tasks / TASKS_A_JOB as usize;
    (0..count).map(|n| bench.job(name, n, shape)).collect()
}

fn was_stopped(run: &Run) -> bool {
    matches!(run.end, Some((_, RunEnd::Stopped)))
}

/// True if each stop is followed by one run that goes on from where it stopped.
fn resumed_once(runs: &[Run]) -> bool {
    let pairs = runs.windows(2).all(|pair| {
        let goes_on = pair[1].checkpoint.is_some() && pair[1].from_ppm == pair[0].to_ppm;
        was_stopped(&pair[0]) && goes_on
    });
    let ended_well = |run: &Run| matches!(run.end, Some((_, RunEnd::Finished)));
    pairs && runs.last().is_some_and(ended_well)
}
