//! Three workers fail every task at once.

use std::time::Duration;

use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, Shape},
};
use crate::{
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Workers that fail every task; the first by id.
const BAD: [&str; 3] = ["w1", "w2", "w3"];
/// Most attempts that may go there, of all.
const MOST: f64 = 0.01;
const TASKS_A_JOB: u32 = 10;
const CORES: u64 = 2;
const RUN_MS: u64 = 1_000;
const WORKERS: usize = 24;
const INSTANCES: usize = 3;
/// Tasks that are submitted in a second.
const RATE: u64 = 100;
/// Time for all tasks to end.
const SETTLE: Duration = Duration::from_secs(60);
const FIRST_FIT: &str = "first-fit";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "black-hole",
    about: "3 of 24 workers fail every task at once",
    baselines: &[FIRST_FIT],
    seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(black_hole(cx))
}

async fn black_hole(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::spec(&cx, INSTANCES, WORKERS)).await?;
    let (share, all) = measure(&bench, "own").await?;
    let baseline = match &cx.baseline {
        Some(_) => {
            let sharing = json!({ "sharing": { "placement": FIRST_FIT } });
            bench.change(1, &sharing).await?;
            Some(measure(&bench, FIRST_FIT).await?)
        }
        None => None,
    };
    let mut summary = bench.summary(SCENARIO.name).await;
    let unfinished = bench.cluster.jobs.unfinished().len() as f64;
    summary.targets.extend([
        Target::at_most("share_of_attempts_there", MOST, share),
        Target::at_most("jobs_unfinished", 0.0, unfinished),
    ]);
    summary.detail("attempts", all);
    if let Some((share, all)) = baseline {
        summary.detail("first_fit_share_of_attempts_there", share);
        summary.detail("first_fit_attempts", all);
    }
    Ok(summary)
}

/// Share of the attempts that went to the workers that fail, and all attempts.
async fn measure(bench: &Bench, phase: &str) -> Result<(f64, f64), ScenarioError> {
    for worker in bench.cluster.workers() {
        let bad = BAD.contains(&worker.id().as_str());
        worker.switch(|s| s.fails_every_task = bad);
    }
    let tasks = RATE * bench.cx.length.as_secs();
    let count = usize::try_from(tasks / u64::from(TASKS_A_JOB)).unwrap_or(usize::MAX);
    let shape = Shape::normal(TASKS_A_JOB, CORES, RUN_MS);
    let jobs: Result<Vec<JobSpec>, ScenarioError> =
        (0..count).map(|n| bench.job(phase, n, &shape)).collect();
    bench.offer(jobs?, bench.cx.length).await?;
    bench.cluster.jobs.wait_finished(SETTLE).await;
    let runs = bench.runs(phase);
    let all = runs.values().flatten();
    let (mut there, mut attempts) = (0_u32, 0_u32);
    for run in all {
        attempts += 1;
        there += u32::from(BAD.contains(&run.worker.as_str()));
    }
    let share = f64::from(there) / f64::from(attempts.max(1));
    Ok((share, f64::from(attempts)))
}
