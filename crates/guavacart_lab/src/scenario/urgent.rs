//! Urgent tasks are submitted while all workers are full, and preempt tasks of normal priority.

use std::time::Duration;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, Testbed},
};
use crate::{
    batch_ledger::{TaskAttempt, TaskAttemptEnd},
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Limit for the time from submission to start of every urgent task, in milliseconds.
const MAX_START_MS: f64 = 9_100.0;
/// Urgent tasks that are submitted.
const URGENT_TASKS: usize = 200;
/// Tasks that run when the urgent ones are submitted; four fill a worker.
const FULL_TASKS: usize = WORKERS * 4;
/// Tasks of normal priority: more than fit on the workers, in either cell.
const BATCH_TASKS: usize = 450;
const CORES_PER_TASK: u64 = 8;
const TASKS_PER_JOB: u32 = 5;
const BATCH_TASK_MS: u64 = 20_000;
const URGENT_TASK_MS: u64 = 2_000;
const WORKERS: usize = 65;
const INSTANCES: usize = 4;
/// Longest wait until the workers are full.
const FILL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for all tasks to end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "urgent",
    description: "200 urgent tasks on 65 full workers",
    baselines: &[],
    default_seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(urgent(cx))
}

async fn urgent(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let testbed = Testbed::open(&cx, batch::two_cells(&cx, INSTANCES, WORKERS)).await?;
    let normal = JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, BATCH_TASK_MS);
    testbed
        .submit_jobs(
            jobs(&testbed, "full", BATCH_TASKS, &normal)?,
            Duration::from_secs(1),
        )
        .await?;
    testbed.wait_for_running(FULL_TASKS, FILL_TIMEOUT).await;
    let running = testbed.running_tasks();
    let template = JobTemplate {
        priority: "urgent",
        ..JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, URGENT_TASK_MS)
    };
    testbed
        .submit_jobs(
            jobs(&testbed, "urgent", URGENT_TASKS, &template)?,
            Duration::ZERO,
        )
        .await?;
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    let latencies = testbed.start_latencies("urgent");
    let mut summary = testbed.summary(SCENARIO.name).await;
    let preempted: Vec<Vec<TaskAttempt>> = testbed
        .attempts("full")
        .into_values()
        .filter(|attempts| attempts.iter().any(was_stopped))
        .collect();
    let not_resumed = preempted
        .iter()
        .filter(|attempts| !resumed_once(attempts))
        .count();
    let finished = summary.tasks_finished as f64;
    summary.targets.extend([
        Target::at_least("min_running_before", FULL_TASKS as f64, running as f64),
        Target::at_least(
            "min_urgent_started",
            URGENT_TASKS as f64,
            latencies.len() as f64,
        ),
        Target::at_most(
            "urgent_start_max_ms",
            MAX_START_MS,
            latencies.quantile_ms(1.0),
        ),
        Target::at_most("displaced_not_resumed_once", 0.0, not_resumed as f64),
        Target::at_least(
            "min_tasks_finished",
            (BATCH_TASKS + URGENT_TASKS) as f64,
            finished,
        ),
    ]);
    summary.add_detail("urgent_start_p50_ms", latencies.quantile_ms(0.5));
    summary.add_detail("displaced", preempted.len() as f64);
    Ok(summary)
}

fn jobs(
    testbed: &Testbed,
    name: &str,
    tasks: usize,
    template: &JobTemplate,
) -> Result<Vec<JobSpec>, ScenarioError> {
    let count = tasks / TASKS_PER_JOB as usize;
    (0..count).map(|n| testbed.job(name, n, template)).collect()
}

fn was_stopped(attempt: &TaskAttempt) -> bool {
    matches!(attempt.end, Some((_, TaskAttemptEnd::Stopped)))
}

/// Returns true if each stopped attempt is followed by one that resumes from a checkpoint where the
/// earlier one stopped, and the last attempt finished.
fn resumed_once(attempts: &[TaskAttempt]) -> bool {
    let all_resumed = attempts.windows(2).all(|pair| {
        let resumes = pair[1].checkpoint.is_some() && pair[1].from_ppm == pair[0].to_ppm;
        was_stopped(&pair[0]) && resumes
    });
    let is_finished =
        |attempt: &TaskAttempt| matches!(attempt.end, Some((_, TaskAttemptEnd::Finished)));
    all_resumed && attempts.last().is_some_and(is_finished)
}
