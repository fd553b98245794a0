//! 2,000 jobs are cancelled at the same time while 400 other jobs continue.

use std::time::Duration;

use tokio::{task::JoinSet, time::Instant};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, SUBMIT_TIMEOUT, Testbed},
};
use crate::{
    batch_ledger::TaskAttemptEnd,
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Jobs that are cancelled; each has one task.
const CANCELLED_JOBS: usize = 2_000;
/// Jobs that are not cancelled; each has one task.
const KEPT_JOBS: usize = 400;
const CORES_PER_TASK: u64 = 1;
/// Run time of the tasks that are cancelled, in milliseconds: too long for a task to end before the
/// cancellation.
const CANCELLED_TASK_MS: u64 = 60_000;
const KEPT_TASK_MS: u64 = 5_000;
const WORKERS: usize = 24;
const INSTANCES: usize = 4;
/// Time over which the submissions of all jobs are spread.
const SUBMISSION_TIME: Duration = Duration::from_secs(8);
/// Longest wait for the other jobs to end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "cancel-wave",
    description: "2,000 jobs are cancelled at once; 400 others continue",
    baselines: &[],
    default_seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(cancel_wave(cx))
}

async fn cancel_wave(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let testbed = Testbed::open(&cx, batch::two_cells(&cx, INSTANCES, WORKERS)).await?;
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..CANCELLED_JOBS + KEPT_JOBS)
        .map(|n| job(&testbed, n))
        .collect();
    let jobs = jobs?;
    let to_cancel: Vec<JobSpec> = jobs
        .iter()
        .filter(|j| is_to_be_cancelled(j))
        .cloned()
        .collect();
    testbed.submit_jobs(jobs, SUBMISSION_TIME).await?;
    let running = testbed.running_tasks();
    let start = Instant::now();
    let confirmed = cancel(&testbed, to_cancel).await?;
    let elapsed = start.elapsed();
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    let is_interrupted = |end: &TaskAttemptEnd| *end != TaskAttemptEnd::Finished;
    let interrupted = testbed.attempts("rest").into_values().flatten();
    let interrupted =
        interrupted.filter(|attempt| attempt.end.is_some_and(|(_, end)| is_interrupted(&end)));
    let interrupted = interrupted.count() as f64;
    let kept_attempts = testbed.attempts("rest").into_values().flatten();
    let finished =
        kept_attempts.filter(|attempt| matches!(attempt.end, Some((_, TaskAttemptEnd::Finished))));
    let finished = finished.count() as f64;
    let mut summary = testbed.summary(SCENARIO.name).await;
    summary.targets.extend([
        Target::at_least("min_confirmed", CANCELLED_JOBS as f64, confirmed as f64),
        Target::at_least("min_rest_finished", KEPT_JOBS as f64, finished),
        Target::at_most("rest_not_finished_at_once", 0.0, interrupted),
        Target::at_most("running_at_the_end", 0.0, testbed.running_tasks() as f64),
    ]);
    summary.add_detail("running_before", running as f64);
    summary.add_detail("last_confirmed_s", elapsed.as_secs_f64());
    Ok(summary)
}

/// Returns the `n`th job: in each group of six, one job is kept and five are cancelled.
fn job(testbed: &Testbed, n: usize) -> Result<JobSpec, ScenarioError> {
    let group_size = (CANCELLED_JOBS + KEPT_JOBS) / KEPT_JOBS;
    match n % group_size {
        0 => testbed.job(
            "rest",
            n,
            &JobTemplate::normal(1, CORES_PER_TASK, KEPT_TASK_MS),
        ),
        _ => testbed.job(
            "wave",
            n,
            &JobTemplate::normal(1, CORES_PER_TASK, CANCELLED_TASK_MS),
        ),
    }
}

fn is_to_be_cancelled(job: &JobSpec) -> bool {
    job.id.as_str().starts_with("wave-")
}

/// Cancels all jobs at once; returns how many cancellations were confirmed.
async fn cancel(testbed: &Testbed, to_cancel: Vec<JobSpec>) -> Result<usize, ScenarioError> {
    let mut calls = JoinSet::new();
    for job in to_cancel {
        let client = testbed.cluster.jobs.clone();
        calls.spawn(async move { client.cancel(&job.id, SUBMIT_TIMEOUT).await });
    }
    let mut confirmed = 0;
    while let Some(result) = calls.join_next().await {
        confirmed += usize::from(result?);
    }
    Ok(confirmed)
}
