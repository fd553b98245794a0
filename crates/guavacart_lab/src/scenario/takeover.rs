//! The owner of a full cell is killed, and another instance takes the cell over from its journal.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::{Instant, sleep};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, POLL_INTERVAL, Testbed},
};
use crate::{
    clock::now_us,
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Tasks that run when the owner is killed; they fill all workers.
const RUNNING_TASKS: usize = 600;
/// Tasks that are queued when the owner is killed, in the run that the targets apply to.
const QUEUED_TASKS: usize = 5_000;
/// Tasks that are queued in a smaller run; the difference gives the bytes read per further task.
const FEWER_QUEUED_TASKS: usize = 1_250;
/// Processors of each task; ten tasks fill a worker.
const CORES_PER_TASK: u64 = 3;
const WORKERS: usize = 60;
const INSTANCES: usize = 3;
const TASKS_PER_JOB: u32 = 10;
/// Further tasks, in place of those that end before the owner is killed.
const EXTRA_TASKS: usize = 400;
/// Tasks that have ended when the owner is killed, so that capacity becomes free continuously.
const ENDED_TASKS: usize = 60;
/// Longest time from the kill until a task starts and until a job is accepted, in seconds.
const MAX_RECOVERY_S: f64 = 10.0;
/// Longest wait for the workers to be full, and longest wait for a start after the kill.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the kill, in microseconds, within which calls that the killed owner had already sent
/// can still start tasks.
const IN_FLIGHT_US: u64 = 200_000;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "takeover",
    description: "the owner of a cell with 600 running and 5,000 queued tasks is killed",
    baselines: &[],
    default_seconds: 0,
    run,
};

/// What was measured in one run, with the testbed of the run.
struct Measurements {
    testbed: Testbed,
    running: usize,
    queued: usize,
    started_s: f64,
    accepted_s: f64,
    read_bytes: u64,
}

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(takeover(cx))
}

async fn takeover(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let smaller = measure(&cx, FEWER_QUEUED_TASKS).await?;
    let smaller_summary = smaller.testbed.summary(SCENARIO.name).await;
    let (smaller_tasks, smaller_bytes) = (smaller.running + smaller.queued, smaller.read_bytes);
    let smaller_recovery_s = smaller.started_s.max(smaller.accepted_s);
    // Stops the first cluster before the second one starts.
    drop(smaller);
    let full = measure(&cx, QUEUED_TASKS).await?;
    let mut summary = full.testbed.summary(SCENARIO.name).await;
    summary.violations.add(&smaller_summary.violations);
    summary.targets.extend([
        Target::at_least("min_running", RUNNING_TASKS as f64, full.running as f64),
        Target::at_least("min_queued", QUEUED_TASKS as f64, full.queued as f64),
        Target::at_most("death_to_start_s", MAX_RECOVERY_S, full.started_s),
        Target::at_most("death_to_accepted_s", MAX_RECOVERY_S, full.accepted_s),
    ]);
    let tasks = full.running + full.queued;
    let slope =
        (full.read_bytes as f64 - smaller_bytes as f64) / (tasks as f64 - smaller_tasks as f64);
    summary.add_detail("read_bytes", full.read_bytes as f64);
    summary.add_detail("fewer_tasks", smaller_tasks as f64);
    summary.add_detail("fewer_read_bytes", smaller_bytes as f64);
    summary.add_detail("fewer_death_to_back_s", smaller_recovery_s);
    summary.add_detail("read_bytes_per_further_task", slope);
    Ok(summary)
}

async fn measure(cx: &ScenarioCx, queued: usize) -> Result<Measurements, ScenarioError> {
    let testbed = Testbed::open(cx, batch::one_cell(cx, INSTANCES, WORKERS)).await?;
    let count = (RUNNING_TASKS + queued + EXTRA_TASKS) / TASKS_PER_JOB as usize;
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..count).map(|n| job(&testbed, n)).collect();
    testbed.submit_jobs(jobs?, Duration::from_secs(2)).await?;
    wait_for_started(&testbed, RUNNING_TASKS + ENDED_TASKS).await;
    testbed.wait_for_running(RUNNING_TASKS, WAIT_TIMEOUT).await;
    let running = testbed.running_tasks();
    let counts = testbed.cluster.batch.counts();
    let submitted = testbed.cluster.jobs.tasks_submitted();
    let started: u64 = testbed.attempts("takeover").len() as u64;
    let queued = usize::try_from(submitted - started).unwrap_or_default();
    tracing::info!(running, queued, ?counts, "killing the owner");
    let before = testbed.cluster.store.calls().read_bytes("cell");
    let killed_us = now_us();
    if let Some(owner) = testbed.owner("c1") {
        testbed.cluster.kill(&owner).await?;
    }
    let later_job = vec![testbed.job("after", 0, &JobTemplate::normal(1, CORES_PER_TASK, 100))?];
    let accepted = async {
        let accepted = testbed.submit_jobs(later_job, Duration::ZERO).await;
        accepted.map(|_| seconds_between(killed_us, now_us()))
    };
    let (accepted_s, started_s) = tokio::join!(accepted, first_start_s(&testbed, killed_us));
    let read_bytes = testbed.cluster.store.calls().read_bytes("cell") - before;
    Ok(Measurements {
        running,
        queued,
        started_s,
        accepted_s: accepted_s?,
        read_bytes,
        testbed,
    })
}

async fn wait_for_started(testbed: &Testbed, tasks: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while testbed.attempts("takeover").len() < tasks && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the `n`th job; its tasks run 10 to 40 s, so that some tasks end in every second.
fn job(testbed: &Testbed, n: usize) -> Result<JobSpec, ScenarioError> {
    let run_ms = 10_000 + deterministic_random(testbed.cx.seed, n as u64) % 30_000;
    let template = JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, run_ms);
    testbed.job("takeover", n, &template)
}

/// Returns the seconds from the kill to the first task start that only the new owner can have
/// requested; `f64::MAX` if there is none within [`WAIT_TIMEOUT`].
async fn first_start_s(testbed: &Testbed, killed_us: u64) -> f64 {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        let attempts = testbed.cluster.batch.attempts();
        let starts = attempts.values().flatten().map(|attempt| attempt.start_us);
        if let Some(first) = starts.filter(|at| *at > killed_us + IN_FLIGHT_US).min() {
            return seconds_between(killed_us, first);
        }
        sleep(POLL_INTERVAL).await;
    }
    f64::MAX
}

fn seconds_between(from_us: u64, to_us: u64) -> f64 {
    to_us.saturating_sub(from_us) as f64 / 1e6
}
