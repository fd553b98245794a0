//! The owner of a full cell dies; the cell is taken over from its journal.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::{Instant, sleep};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, LOOK, Shape},
};
use crate::{
    clock::now_us,
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Tasks that run when the owner dies; the workers hold no more.
const RUNNING: usize = 600;
/// Tasks that wait then, in the run of the target and in a smaller one for the slopes.
const QUEUED: usize = 5_000;
const FEWER_QUEUED: usize = 1_250;
/// Processors of a task: ten tasks fill a worker.
const CORES: u64 = 3;
const WORKERS: usize = 60;
const INSTANCES: usize = 3;
const TASKS_A_JOB: u32 = 10;
/// Tasks beyond those that run and wait, for what ends before the death.
const SPARE: usize = 400;
/// Tasks that have ended when the owner dies, so that places come free all the time.
const ENDED: usize = 60;
/// Longest time until new tasks start and new jobs are accepted, in seconds.
const LIMIT_S: f64 = 10.0;
/// Longest wait for the workers to be full, and for the cell to be taken over.
const WAIT: Duration = Duration::from_secs(60);
/// Calls that the dead owner had sent have ended by then.
const SENT_US: u64 = 200_000;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "takeover",
    about: "the owner of a cell with 600 running and 5,000 queued tasks dies",
    baselines: &[],
    seconds: 0,
    run,
};

/// What one death came to.
struct Figures {
    bench: Bench,
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
    let few = measure(&cx, FEWER_QUEUED).await?;
    let few_summary = few.bench.summary(SCENARIO.name).await;
    let (few_tasks, few_bytes) = (few.running + few.queued, few.read_bytes);
    let few_s = few.started_s.max(few.accepted_s);
    // The first set-up ends before the second one starts.
    drop(few);
    let own = measure(&cx, QUEUED).await?;
    let mut summary = own.bench.summary(SCENARIO.name).await;
    summary.violations.add(&few_summary.violations);
    summary.targets.extend([
        Target::at_least("min_running", RUNNING as f64, own.running as f64),
        Target::at_least("min_queued", QUEUED as f64, own.queued as f64),
        Target::at_most("death_to_start_s", LIMIT_S, own.started_s),
        Target::at_most("death_to_accepted_s", LIMIT_S, own.accepted_s),
    ]);
    let tasks = own.running + own.queued;
    let slope = (own.read_bytes as f64 - few_bytes as f64) / (tasks as f64 - few_tasks as f64);
    summary.detail("read_bytes", own.read_bytes as f64);
    summary.detail("fewer_tasks", few_tasks as f64);
    summary.detail("fewer_read_bytes", few_bytes as f64);
    summary.detail("fewer_death_to_back_s", few_s);
    summary.detail("read_bytes_per_further_task", slope);
    Ok(summary)
}

async fn measure(cx: &ScenarioCx, queued: usize) -> Result<Figures, ScenarioError> {
    let bench = Bench::open(cx, batch::one_cell(cx, INSTANCES, WORKERS)).await?;
    let count = (RUNNING + queued + SPARE) / TASKS_A_JOB as usize;
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..count).map(|n| job(&bench, n)).collect();
    bench.offer(jobs?, Duration::from_secs(2)).await?;
    wait_started(&bench, RUNNING + ENDED).await;
    bench.wait_running(RUNNING, WAIT).await;
    let running = bench.running();
    let counts = bench.cluster.batch.counts();
    let submitted = bench.cluster.jobs.tasks_submitted();
    let started: u64 = bench.runs("takeover").len() as u64;
    let queued = usize::try_from(submitted - started).unwrap_or_default();
    tracing::info!(running, queued, ?counts, "the owner dies");
    let before = bench.cluster.store.calls().read_bytes("cell");
    let death_us = now_us();
    if let Some(owner) = bench.owner("c1") {
        bench.cluster.kill(&owner).await?;
    }
    let extra = vec![bench.job("after", 0, &Shape::normal(1, CORES, 100))?];
    let accepted = async {
        let accepted = bench.offer(extra, Duration::ZERO).await;
        accepted.map(|_| since_s(death_us, now_us()))
    };
    let (accepted_s, started_s) = tokio::join!(accepted, first_start(&bench, death_us));
    let read_bytes = bench.cluster.store.calls().read_bytes("cell") - before;
    Ok(Figures {
        running,
        queued,
        started_s,
        accepted_s: accepted_s?,
        read_bytes,
        bench,
    })
}

async fn wait_started(bench: &Bench, tasks: usize) {
    let deadline = Instant::now() + WAIT;
    while bench.runs("takeover").len() < tasks && Instant::now() < deadline {
        sleep(LOOK).await;
    }
}

/// Tasks of 10 to 40 s, so that some end in every second.
fn job(bench: &Bench, n: usize) -> Result<JobSpec, ScenarioError> {
    let run_ms = 10_000 + deterministic_random(bench.cx.seed, n as u64) % 30_000;
    let shape = Shape::normal(TASKS_A_JOB, CORES, run_ms);
    bench.job("takeover", n, &shape)
}

/// Seconds from the death to the first start that only a new owner can have asked for.
async fn first_start(bench: &Bench, death_us: u64) -> f64 {
    let deadline = Instant::now() + WAIT;
    while Instant::now() < deadline {
        let runs = bench.cluster.batch.runs();
        let starts = runs.values().flatten().map(|run| run.start_us);
        if let Some(first) = starts.filter(|at| *at > death_us + SENT_US).min() {
            return since_s(death_us, first);
        }
        sleep(LOOK).await;
    }
    f64::MAX
}

fn since_s(from_us: u64, to_us: u64) -> f64 {
    to_us.saturating_sub(from_us) as f64 / 1e6
}
