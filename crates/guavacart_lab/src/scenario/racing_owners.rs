//! The owner of a cell is paused repeatedly, at random points of its work, until another instance
//! has taken the cell over.

use std::time::Duration;

use guavacart_types::deterministic_random;
use tokio::time::{Instant, sleep};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    batch::{self, JobTemplate, POLL_INTERVAL, Testbed},
};
use crate::{
    jobs::JobSpec,
    summary::{Summary, Target},
};

/// Largest random offset of a pause, in microseconds; an owner writes several records in this
/// time.
const MAX_OFFSET_US: u64 = 400_000;
/// Longest wait for another instance to take the cell over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the earlier and the new owner both run between two pauses.
const OVERLAP_TIME: Duration = Duration::from_secs(2);
const TASKS_PER_JOB: u32 = 10;
const CORES_PER_TASK: u64 = 2;
const RUN_MS: u64 = 400;
/// Tasks that are submitted per second.
const TASKS_PER_S: u64 = 60;
const WORKERS: usize = 8;
/// Two instances that compete, and a third, so that a majority remains while one is paused.
const INSTANCES: usize = 3;
/// Longest wait for all tasks to end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "racing-owners",
    description: "the owner of a cell is paused at many points while another takes the cell over",
    baselines: &[],
    default_seconds: 80,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(racing_owners(cx))
}

async fn racing_owners(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let testbed = Testbed::open(&cx, batch::one_cell(&cx, INSTANCES, WORKERS)).await?;
    let tasks = TASKS_PER_S * cx.load_length.as_secs();
    let count = usize::try_from(tasks / u64::from(TASKS_PER_JOB)).unwrap_or(usize::MAX);
    let template = JobTemplate::normal(TASKS_PER_JOB, CORES_PER_TASK, RUN_MS);
    let jobs: Result<Vec<JobSpec>, ScenarioError> = (0..count)
        .map(|n| testbed.job("race", n, &template))
        .collect();
    let (submitted, result) = tokio::join!(
        testbed.submit_jobs(jobs?, cx.load_length),
        pause_owners(&testbed)
    );
    submitted?;
    let (pauses, taken_over) = result?;
    testbed.cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    let mut summary = testbed.summary(SCENARIO.name).await;
    let unfinished = testbed.cluster.jobs.unfinished().len() as f64;
    summary.targets.extend([
        Target::at_most("jobs_unfinished", 0.0, unfinished),
        Target::at_least("min_taken_over_in_a_pause", 1.0, taken_over as f64),
    ]);
    summary.add_detail("pauses", pauses as f64);
    Ok(summary)
}

/// For the length of the run, pauses the owner at a random point until another instance has taken
/// the cell over or [`TAKEOVER_TIMEOUT`] has passed.
///
/// Returns the number of pauses, and the number of pauses in which the cell was taken over.
async fn pause_owners(testbed: &Testbed) -> Result<(u64, u64), ScenarioError> {
    let end = Instant::now() + testbed.cx.load_length;
    let (mut pauses, mut taken_over) = (0, 0);
    while Instant::now() < end {
        let offset = deterministic_random(testbed.cx.seed, pauses) % MAX_OFFSET_US;
        sleep(OVERLAP_TIME + Duration::from_micros(offset)).await;
        let Some(owner) = testbed.owner("c1") else {
            continue;
        };
        pauses += 1;
        let before = testbed.check_journals().takeovers;
        testbed.cluster.pause(&owner).await?;
        let deadline = Instant::now() + TAKEOVER_TIMEOUT;
        while testbed.check_journals().takeovers == before && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        taken_over += u64::from(testbed.check_journals().takeovers > before);
        testbed.cluster.resume(&owner).await?;
    }
    Ok((pauses, taken_over))
}
