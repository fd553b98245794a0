//! 62 tasks start per second on 65 workers, while the store's calls are counted.

use std::time::Duration;

use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, Testbed},
};
use crate::{
    clock::now_ms,
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Tasks that are submitted per second.
const STARTS_PER_S: u64 = 62;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 4_000;
/// Processors of each task; the running tasks together use a quarter of the workers' processors.
const CORES_PER_TASK: u64 = 2;
/// Most writes to the store allowed in any one second.
const MAX_WRITES_PER_S: f64 = 300.0;
/// Limit for the 99th percentile of the time from submission to start, in milliseconds; capacity is
/// free throughout.
const MAX_START_P99_MS: f64 = 500.0;
/// Longest wait for the last tasks to end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Run time of the warm-up tasks.
const WARM_UP_TASK_TIME: Duration = Duration::from_secs(4);
const INSTANCES: usize = 8;
const WORKERS: usize = 65;
/// Phase that runs guavacart's own policy.
const OWN_PHASE: &str = "steady";
const WRITE_PER_START: &str = "write-per-start";
const FIRST_FIT: &str = "first-fit";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "batch-steady",
    description: "62 task starts per second on 65 workers",
    baselines: &[WRITE_PER_START, FIRST_FIT],
    default_seconds: 60,
    run,
};

/// What was measured in one phase.
struct Measurements {
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
    let testbed = Testbed::open(&cx, batch::two_cells(&cx, INSTANCES, WORKERS)).await?;
    warm_up(&testbed).await?;
    let own = measure(&testbed, OWN_PHASE).await?;
    let baseline = match cx.baseline.as_deref() {
        Some(name) => {
            let sharing = match name {
                WRITE_PER_START => json!({ "journal": "each" }),
                _ => json!({ "placement": "first-fit" }),
            };
            testbed
                .change_config(1, &json!({ "sharing": sharing }))
                .await?;
            Some((name, measure(&testbed, name).await?))
        }
        None => None,
    };
    let mut summary = testbed.summary(SCENARIO.name).await;
    let rate = own.starts / cx.load_length.as_secs_f64();
    let writes = own.writes / own.starts.max(1.0);
    // The target is fewer than one write per start, but `at_most` includes its limit.
    let largest_below_one = 1.0 - f64::EPSILON;
    summary.targets.extend([
        Target::at_least("min_starts_per_second", STARTS_PER_S as f64, rate),
        Target::at_most(
            "peak_store_writes_per_second",
            MAX_WRITES_PER_S,
            own.peak_writes,
        ),
        Target::at_most("store_writes_per_start", largest_below_one, writes),
        Target::at_most(
            "submitted_to_start_p99_ms",
            MAX_START_P99_MS,
            own.start_p99_ms,
        ),
    ]);
    summary.add_detail("submitted_to_start_p50_ms", own.start_p50_ms);
    if let Some((name, measured)) = baseline {
        let name = name.replace('-', "_");
        let mut add = |what: &str, value| summary.add_detail(&format!("{name}_{what}"), value);
        add("starts", measured.starts);
        add(
            "store_writes_per_start",
            measured.writes / measured.starts.max(1.0),
        );
        add("peak_store_writes_per_second", measured.peak_writes);
        add("submitted_to_start_p50_ms", measured.start_p50_ms);
        add("submitted_to_start_p99_ms", measured.start_p99_ms);
    }
    Ok(summary)
}

/// Fills every worker with tasks once, so that no worker is on probation when the load begins.
async fn warm_up(testbed: &Testbed) -> Result<(), ScenarioError> {
    let template = JobTemplate::normal(4, CORES_PER_TASK, WARM_UP_TASK_TIME.as_millis() as u64);
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..WORKERS)
        .map(|n| testbed.job("warm", n, &template))
        .collect();
    testbed.submit_jobs(jobs?, Duration::ZERO).await?;
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    Ok(())
}

async fn measure(testbed: &Testbed, phase: &str) -> Result<Measurements, ScenarioError> {
    let seconds = testbed.cx.load_length.as_secs();
    let count = usize::try_from(STARTS_PER_S * seconds).unwrap_or(usize::MAX);
    let template = JobTemplate::normal(1, CORES_PER_TASK, RUN_MS);
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..count)
        .map(|n| testbed.job(phase, n, &template))
        .collect();
    let from = now_ms() / 1_000;
    testbed.submit_jobs(jobs?, testbed.cx.load_length).await?;
    let to = now_ms() / 1_000;
    let writes = testbed.cluster.store.calls().writes_by_second();
    let window: Vec<u64> = writes.range(from..to).map(|(_, n)| *n).collect();
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    let latencies = testbed.start_latencies(phase);
    Ok(Measurements {
        starts: latencies.len() as f64,
        writes: window.iter().sum::<u64>() as f64,
        peak_writes: window.iter().max().copied().unwrap_or_default() as f64,
        start_p50_ms: latencies.quantile_ms(0.5),
        start_p99_ms: latencies.quantile_ms(0.99),
    })
}
