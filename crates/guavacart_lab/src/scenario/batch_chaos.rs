//! Owners die and pause, leases lapse, the store is out and loses answers.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, Shape},
};
use crate::{
    jobs::{JobSpec, Submitted},
    store::Outage,
    summary::{Summary, Target},
};

/// Tasks of one job.
const TASKS_A_JOB: u32 = 50;
/// Jobs; 10,000 tasks in all.
const JOBS: usize = 200;
/// One job in so many has tasks that outlast a lease, so that leases lapse under them.
const LONG_EVERY: usize = 20;
/// Run time of such a task, in milliseconds.
const LONG_MS: u64 = 16_000;
/// Workers.
const WORKERS: usize = 24;
/// Entry instances.
const INSTANCES: usize = 4;
/// Share of the store's answers to writes that are lost.
const LOST: f64 = 0.05;
/// How long the store is out.
const OUTAGE: Duration = Duration::from_secs(30);
/// How long an owner is paused: longer than its right to act.
const OWNER_PAUSE: Duration = Duration::from_secs(8);
/// How long a worker is paused: longer than a lease.
const WORKER_PAUSE: Duration = Duration::from_secs(16);
/// The worker that dies.
const DYING: &str = "w8";
/// Time between two faults.
const GAP: Duration = Duration::from_secs(4);
/// Time for the tasks to end after the last fault.
const SETTLE: Duration = Duration::from_secs(120);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "batch-chaos",
    about: "10,000 tasks; owners die and pause, leases lapse, the store is out and loses answers",
    baselines: &[],
    seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(batch_chaos(cx))
}

async fn batch_chaos(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::spec(&cx, INSTANCES, WORKERS)).await?;
    bench.cluster.store.set_faults(|f| f.lost_answers = LOST);
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..JOBS).map(|n| job(&bench, n)).collect();
    let (submitted, disturbed) = tokio::join!(bench.offer(jobs?, cx.length), disturb(&bench));
    disturbed?;
    let accepted = submitted?
        .iter()
        .filter(|s| **s == Submitted::Accepted)
        .count();
    bench.cluster.jobs.wait_finished(SETTLE).await;
    bench.cluster.store.set_faults(|f| f.lost_answers = 0.0);
    let mut summary = bench.summary(SCENARIO.name).await;
    let finished = summary.tasks_finished as f64;
    let all = JOBS as f64 * f64::from(TASKS_A_JOB);
    let lapsed = bench.cluster.batch.counts().lapsed as f64;
    summary.targets.extend([
        Target::at_least("min_tasks_finished", all, finished),
        // The run shows nothing of lapses without any.
        Target::at_least("min_attempts_lapsed", 1.0, lapsed),
    ]);
    summary.detail("jobs_accepted", accepted as f64);
    Ok(summary)
}

fn job(bench: &Bench, n: usize) -> Result<JobSpec, ScenarioError> {
    let drawn = deterministic_random(bench.cx.seed, n as u64);
    let run_ms = match n.is_multiple_of(LONG_EVERY) {
        true => LONG_MS,
        false => 200 + drawn % 1_000,
    };
    bench.job(
        "chaos",
        n,
        &Shape::normal(TASKS_A_JOB, 1 + drawn % 3, run_ms),
    )
}

/// Two rounds of a lapse, a death and a pause, with the outage and a death between.
async fn disturb(bench: &Bench) -> Result<(), ScenarioError> {
    sleep(GAP).await;
    round(bench, "c1", INSTANCES + 1).await?;
    bench.cluster.kill_worker(DYING);
    sleep(GAP).await;
    let store = &bench.cluster.store;
    store.set_faults(|f| f.outage = Outage::Silent);
    sleep(OUTAGE / 2).await;
    kill_owner(bench, "c1", INSTANCES + 2).await?;
    sleep(OUTAGE / 2).await;
    store.set_faults(|f| f.outage = Outage::None);
    sleep(GAP).await;
    round(bench, "c2", INSTANCES + 3).await
}

async fn round(bench: &Bench, cell: &str, newcomer: usize) -> Result<(), ScenarioError> {
    let workers = bench.cluster.workers();
    let paused = workers.iter().step_by(5);
    for worker in paused.clone() {
        worker.switch(|s| s.paused = true);
    }
    kill_owner(bench, cell, newcomer).await?;
    sleep(WORKER_PAUSE - OWNER_PAUSE).await;
    let owner = bench.owner(cell);
    if let Some(owner) = &owner {
        bench.cluster.pause(owner).await?;
    }
    sleep(OWNER_PAUSE).await;
    if let Some(owner) = &owner {
        bench.cluster.resume(owner).await?;
    }
    for worker in paused {
        worker.switch(|s| s.paused = false);
    }
    Ok(())
}

/// Kills the instance that owns a cell and starts another one.
async fn kill_owner(bench: &Bench, cell: &str, newcomer: usize) -> Result<(), ScenarioError> {
    if let Some(owner) = bench.owner(cell) {
        bench.cluster.kill(&owner).await?;
        let name = format!("e{newcomer}");
        bench.cluster.start_instance(&name, newcomer).await?;
    }
    Ok(())
}
