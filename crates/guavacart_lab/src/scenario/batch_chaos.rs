//! 10,000 tasks run while owners are killed and paused, leases expire, and the store has an outage
//! and loses answers.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, Testbed},
};
use crate::{
    jobs::{JobSpec, Submitted},
    store::Outage,
    summary::{Summary, Target},
};

/// Tasks of each job.
const TASKS_PER_JOB: u32 = 50;
/// Number of jobs: together they have 10,000 tasks.
const JOBS: usize = 200;
/// Every 20th job has tasks that run longer than a lease, so that leases expire while they run.
const LONG_JOB_INTERVAL: usize = 20;
/// Run time of the tasks of these long jobs, in milliseconds.
const LONG_TASK_MS: u64 = 16_000;
/// Workers in the cluster.
const WORKERS: usize = 24;
/// Entry instances at the start.
const INSTANCES: usize = 4;
/// Share of writes to the store whose answer is lost.
const LOST_ANSWER_SHARE: f64 = 0.05;
/// How long the store does not answer.
const OUTAGE_TIME: Duration = Duration::from_secs(30);
/// How long an owner is paused: longer than its permission to act lasts.
const OWNER_PAUSE: Duration = Duration::from_secs(8);
/// How long a worker is paused: longer than the lease of a task.
const WORKER_PAUSE: Duration = Duration::from_secs(16);
/// The worker that is killed.
const KILLED_WORKER: &str = "w8";
/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait for the tasks to end after the load and the faults.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "batch-chaos",
    description: "10,000 tasks; owners killed and paused, leases expire, store fails and loses answers",
    baselines: &[],
    default_seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(batch_chaos(cx))
}

async fn batch_chaos(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let testbed = Testbed::open(&cx, batch::two_cells(&cx, INSTANCES, WORKERS)).await?;
    testbed
        .cluster
        .store
        .set_faults(|f| f.lost_answers = LOST_ANSWER_SHARE);
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..JOBS).map(|n| job(&testbed, n)).collect();
    let (submitted, faults) = tokio::join!(
        testbed.submit_jobs(jobs?, cx.load_length),
        inject_faults(&testbed)
    );
    faults?;
    let accepted = submitted?
        .iter()
        .filter(|s| **s == Submitted::Accepted)
        .count();
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    testbed.cluster.store.set_faults(|f| f.lost_answers = 0.0);
    let mut summary = testbed.summary(SCENARIO.name).await;
    let finished = summary.tasks_finished as f64;
    let expected = JOBS as f64 * f64::from(TASKS_PER_JOB);
    let lapsed = testbed.cluster.batch.counts().lapsed as f64;
    summary.targets.extend([
        Target::at_least("min_tasks_finished", expected, finished),
        // Without an expired lease, the run would not test expiry at all.
        Target::at_least("min_attempts_lapsed", 1.0, lapsed),
    ]);
    summary.add_detail("jobs_accepted", accepted as f64);
    Ok(summary)
}

fn job(testbed: &Testbed, n: usize) -> Result<JobSpec, ScenarioError> {
    let random = deterministic_random(testbed.cx.seed, n as u64);
    let run_ms = match n.is_multiple_of(LONG_JOB_INTERVAL) {
        true => LONG_TASK_MS,
        false => 200 + random % 1_000,
    };
    testbed.job(
        "chaos",
        n,
        &JobTemplate::normal(TASKS_PER_JOB, 1 + random % 3, run_ms),
    )
}

/// Runs two rounds of faults; between them, kills a worker, and kills an owner while the store is
/// out.
async fn inject_faults(testbed: &Testbed) -> Result<(), ScenarioError> {
    sleep(FAULT_INTERVAL).await;
    fault_round(testbed, "c1", INSTANCES + 1).await?;
    testbed.cluster.kill_worker(KILLED_WORKER);
    sleep(FAULT_INTERVAL).await;
    let store = &testbed.cluster.store;
    store.set_faults(|f| f.outage = Outage::Silent);
    sleep(OUTAGE_TIME / 2).await;
    kill_owner(testbed, "c1", INSTANCES + 2).await?;
    sleep(OUTAGE_TIME / 2).await;
    store.set_faults(|f| f.outage = Outage::None);
    sleep(FAULT_INTERVAL).await;
    fault_round(testbed, "c2", INSTANCES + 3).await
}

/// Pauses every fifth worker, kills the owner of `cell`, and pauses the owner that follows it.
async fn fault_round(
    testbed: &Testbed,
    cell: &str,
    replacement: usize,
) -> Result<(), ScenarioError> {
    let workers = testbed.cluster.workers();
    let paused = workers.iter().step_by(5);
    for worker in paused.clone() {
        worker.switch(|s| s.paused = true);
    }
    kill_owner(testbed, cell, replacement).await?;
    sleep(WORKER_PAUSE - OWNER_PAUSE).await;
    let owner = testbed.owner(cell);
    if let Some(owner) = &owner {
        testbed.cluster.pause(owner).await?;
    }
    sleep(OWNER_PAUSE).await;
    if let Some(owner) = &owner {
        testbed.cluster.resume(owner).await?;
    }
    for worker in paused {
        worker.switch(|s| s.paused = false);
    }
    Ok(())
}

/// Kills the owner of a cell and starts the instance number `replacement` in its place.
async fn kill_owner(
    testbed: &Testbed,
    cell: &str,
    replacement: usize,
) -> Result<(), ScenarioError> {
    if let Some(owner) = testbed.owner(cell) {
        testbed.cluster.kill(&owner).await?;
        let name = format!("e{replacement}");
        testbed.cluster.start_instance(&name, replacement).await?;
    }
    Ok(())
}
