//! The owner of a cell is paused again and again while another member takes the cell over.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::{Instant, sleep};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, Bench, LOOK, Shape},
};
use crate::{
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Longest offset of a pause within an owner's work: several records.
const OFFSET_US: u64 = 400_000;
/// Longest wait for the cell to be taken over.
const WAIT: Duration = Duration::from_secs(20);
/// Time that both work on after a pause.
const BOTH: Duration = Duration::from_secs(2);
const TASKS_A_JOB: u32 = 10;
const CORES: u64 = 2;
const RUN_MS: u64 = 400;
/// Tasks that are submitted in a second.
const RATE: u64 = 60;
const WORKERS: usize = 8;
/// Two that race, and one that lets a majority stand while one of them is paused.
const INSTANCES: usize = 3;
/// Time for all tasks to end.
const SETTLE: Duration = Duration::from_secs(60);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "racing-owners",
    about: "owners of one cell are paused at many points while others take it over",
    baselines: &[],
    seconds: 80,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(racing_owners(cx))
}

async fn racing_owners(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let bench = Bench::open(&cx, batch::one_cell(&cx, INSTANCES, WORKERS)).await?;
    let tasks = RATE * cx.length.as_secs();
    let count = usize::try_from(tasks / u64::from(TASKS_A_JOB)).unwrap_or(usize::MAX);
    let shape = Shape::normal(TASKS_A_JOB, CORES, RUN_MS);
    let jobs: Result<Vec<JobSpec>, ScenarioError> =
        (0..count).map(|n| bench.job("race", n, &shape)).collect();
    let (submitted, paused) = tokio::join!(bench.offer(jobs?, cx.length), pause(&bench));
    submitted?;
    let (pauses, stolen) = paused?;
    bench.cluster.jobs.wait_finished(SETTLE).await;
    let mut summary = bench.summary(SCENARIO.name).await;
    let left = bench.cluster.jobs.unfinished().len() as f64;
    summary.targets.extend([
        Target::at_most("jobs_unfinished", 0.0, left),
        Target::at_least("min_taken_over_in_a_pause", 1.0, stolen as f64),
    ]);
    summary.detail("pauses", pauses as f64);
    Ok(summary)
}

/// Pauses the owner at a drawn point of its work until another one has taken the cell over, for
/// the length of the run; how often it was paused, and how often the cell was taken over then.
async fn pause(bench: &Bench) -> Result<(u64, u64), ScenarioError> {
    let end = Instant::now() + bench.cx.length;
    let (mut pauses, mut stolen) = (0, 0);
    while Instant::now() < end {
        let offset = deterministic_random(bench.cx.seed, pauses) % OFFSET_US;
        sleep(BOTH + Duration::from_micros(offset)).await;
        let Some(owner) = bench.owner("c1") else {
            continue;
        };
        pauses += 1;
        let before = bench.journals().takeovers;
        bench.cluster.pause(&owner).await?;
        let deadline = Instant::now() + WAIT;
        while bench.journals().takeovers == before && Instant::now() < deadline {
            sleep(LOOK).await;
        }
        stolen += u64::from(bench.journals().takeovers > before);
        bench.cluster.resume(&owner).await?;
    }
    Ok((pauses, stolen))
}
