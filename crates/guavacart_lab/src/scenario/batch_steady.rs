//! 62 task starts a second on all workers, with the store's calls counted.

use std::time::Duration;

use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, Shape},
};
use crate::{
    clock::now_ms,
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Task starts in a second.
const STARTS: u64 = 62;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 4_000;
/// Processors of a task; all tasks together take a quarter of the workers.
const CORES: u64 = 2;
/// Most writes to the store in any second.
const MOST_WRITES: f64 = 300.0;
/// Longest time from submission to start with free capacity, in milliseconds.
const START_MS: f64 = 500.0;
/// Time for the last tasks to end.
const SETTLE: Duration = Duration::from_secs(30);
/// Time in which workers prove themselves.
const WARM_UP: Duration = Duration::from_secs(4);
const INSTANCES: usize = 8;
const WORKERS: usize = 65;
const OWN: &str = "steady";
const WRITE_PER_START: &str = "write-per-start";
const FIRST_FIT: &str = "first-fit";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "batch-steady",
    about: "62 task starts a second on 65 workers",
    baselines: &[WRITE_PER_START, FIRST_FIT],
    seconds: 60,
    run,
};

/// What one phase came to.
struct Figures {
    starts: f64,
    writes: f64,
    peak_writes: f64,
    start_p50_ms: f64,
    start_p99_ms: f64,
}

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(batch_steady(cx))
}

async fn batch_steady(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::spec(&cx, INSTANCES, WORKERS)).await?;
    warm_up(&bench).await?;
    let own = measure(&bench, OWN).await?;
    let baseline = match cx.baseline.as_deref() {
        Some(name) => {
            let sharing = match name {
                WRITE_PER_START => json!({ "journal": "each" }),
                _ => json!({ "placement": "first-fit" }),
            };
            bench.change(1, &json!({ "sharing": sharing })).await?;
            Some((name, measure(&bench, name).await?))
        }
        None => None,
    };
    let mut summary = bench.summary(SCENARIO.name).await;
    let rate = own.starts / cx.length.as_secs_f64();
    let writes = own.writes / own.starts.max(1.0);
    // A little less than one, since the target is fewer than one.
    let least_below_one = 1.0 - f64::EPSILON;
    summary.targets.extend([
        Target::at_least("min_starts_per_second", STARTS as f64, rate),
        Target::at_most("peak_store_writes_per_second", MOST_WRITES, own.peak_writes),
        Target::at_most("store_writes_per_start", least_below_one, writes),
        Target::at_most("submitted_to_start_p99_ms", START_MS, own.start_p99_ms),
    ]);
    summary.detail("submitted_to_start_p50_ms", own.start_p50_ms);
    if let Some((name, other)) = baseline {
        let name = name.replace('-', "_");
        let mut add = |what: &str, value| summary.detail(&format!("{name}_{what}"), value);
        add("starts", other.starts);
        add(
            "store_writes_per_start",
            other.writes / other.starts.max(1.0),
        );
        add("peak_store_writes_per_second", other.peak_writes);
        add("submitted_to_start_p50_ms", other.start_p50_ms);
        add("submitted_to_start_p99_ms", other.start_p99_ms);
    }
    Ok(summary)
}

/// Fills every worker once, so that none is on trial when the run begins.
async fn warm_up(bench: &Bench) -> Result<(), ScenarioError> {
    let shape = Shape::normal(4, CORES, WARM_UP.as_millis() as u64);
    let jobs: Result<Vec<JobSpec>, ScenarioError> =
        (0..WORKERS).map(|n| bench.job("warm", n, &shape)).collect();
    bench.offer(jobs?, Duration::ZERO).await?;
    bench.cluster.jobs.wait_finished(SETTLE).await;
    Ok(())
}

async fn measure(bench: &Bench, phase: &str) -> Result<Figures, ScenarioError> {
    let seconds = bench.cx.length.as_secs();
    let count = usize::try_from(STARTS * seconds).unwrap_or(usize::MAX);
    let shape = Shape::normal(1, CORES, RUN_MS);
    let jobs: Result<Vec<JobSpec>, ScenarioError> =
        (0..count).map(|n| bench.job(phase, n, &shape)).collect();
    let from = now_ms() / 1_000;
    bench.offer(jobs?, bench.cx.length).await?;
    let to = now_ms() / 1_000;
    let writes = bench.cluster.store.calls().writes_by_second();
    let window: Vec<u64> = writes.range(from..to).map(|(_, n)| *n).collect();
    bench.cluster.jobs.wait_finished(SETTLE).await;
    let times = bench.start_times(phase);
    Ok(Figures {
        starts: times.len() as f64,
        writes: window.iter().sum::<u64>() as f64,
        peak_writes: window.iter().max().copied().unwrap_or_default() as f64,
        start_p50_ms: times.quantile_ms(0.5),
        start_p99_ms: times.quantile_ms(0.99),
    })
}
