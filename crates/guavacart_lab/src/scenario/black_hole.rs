//! Three of 24 workers fail every task as soon as it starts.

use std::time::Duration;

use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, Testbed},
};
use crate::{
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Workers that fail every task: the first ones by id.
const FAILING_WORKERS: [&str; 3] = ["w1", "w2", "w3"];
/// Largest share of all attempts that may go to the failing workers.
const MAX_ATTEMPT_SHARE: f64 = 0.01;
const TASKS_PER_JOB: u32 = 10;
const CORES_PER_TASK: u64 = 2;
const RUN_MS: u64 = 1_000;
const WORKERS: usize = 24;
const INSTANCES: usize = 3;
/// Tasks that are submitted per second.
const TASKS_PER_S: u64 = 100;
/// Longest wait for all tasks to end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
const FIRST_FIT: &str = "first-fit";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "black-hole",
    description: "3 of 24 workers fail every task as soon as it starts",
    baselines: &[FIRST_FIT],
    default_seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(black_hole(cx))
}

async fn black_hole(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let testbed = Testbed::open(&cx, batch::two_cells(&cx, INSTANCES, WORKERS)).await?;
    let (share, attempts) = measure(&testbed, "own").await?;
    let baseline = match &cx.baseline {
        Some(_) => {
            let sharing = json!({ "sharing": { "placement": FIRST_FIT } });
            testbed.change_config(1, &sharing).await?;
            Some(measure(&testbed, FIRST_FIT).await?)
        }
        None => None,
    };
    let mut summary = testbed.summary(SCENARIO.name).await;
    let unfinished = testbed.cluster.jobs.unfinished().len() as f64;
    summary.targets.extend([
        Target::at_most("share_of_attempts_there", MAX_ATTEMPT_SHARE, share),
        Target::at_most("jobs_unfinished", 0.0, unfinished),
    ]);
    summary.add_detail("attempts", attempts);
    if let Some((share, attempts)) = baseline {
        summary.add_detail("first_fit_share_of_attempts_there", share);
        summary.add_detail("first_fit_attempts", attempts);
    }
    Ok(summary)
}

/// Runs one phase; returns the share of attempts on the failing workers, and the number of all
/// attempts.
async fn measure(testbed: &Testbed, phase: &str) -> Result<(f64, f64), ScenarioError> {
    for worker in testbed.cluster.workers() {
        let fails = FAILING_WORKERS.contains(&worker.id().as_str());
        worker.switch(|s| s.fails_every_task = fails);
    }
    let tasks = TASKS_PER_S * testbed.cx.load_length.as_secs();
    let count = usize::try_from(tasks / u64::from(TASKS_PER_JOB)).unwrap_or(usize::MAX);
    let template = JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, RUN_MS);
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..count)
        .map(|n| testbed.job(phase, n, &template))
        .collect();
    testbed.submit_jobs(jobs?, testbed.cx.load_length).await?;
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    let attempts_by_task = testbed.attempts(phase);
    let all_attempts = attempts_by_task.values().flatten();
    let (mut on_failing_workers, mut attempts) = (0_u32, 0_u32);
    for attempt in all_attempts {
        attempts += 1;
        on_failing_workers += u32::from(FAILING_WORKERS.contains(&attempt.worker.as_str()));
    }
    let share = f64::from(on_failing_workers) / f64::from(attempts.max(1));
    Ok((share, f64::from(attempts)))
}
