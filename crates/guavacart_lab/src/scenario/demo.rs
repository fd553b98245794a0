//! The demo: three instances serve four teams and run a batch job, while the configuration is
//! patched, one instance is killed and one stops gracefully.

use std::{sync::Arc, time::Duration};

use guavacart_types::{ByteSize, Class, Processors, Resources};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    caller::{CallPath, CallerSpec, Schedule},
    cluster::{Cluster, ClusterSpec, team_token},
    jobs::JobSpec,
    progress::Progress,
    summary::{Summary, Target},
};

/// Short requests per second of each team.
const SHORT_REQUESTS_PER_S: f64 = 60.0;
/// Long requests per second of each team.
const LONG_REQUESTS_PER_S: f64 = 1.5;
/// Service time of a short request.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Service time of a long request.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(400);
/// Tasks of the batch job.
const TASKS: u32 = 60;
/// Run time of a task, in milliseconds.
const TASK_MS: u64 = 500;
/// Longest wait for the batch job to end after the load.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the job to be accepted.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "demo",
    description: "3 instances at a tenth of Pamoja's size; one is killed, one stops, a patch is applied",
    baselines: &[],
    default_seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(demo(cx))
}

async fn demo(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = ClusterSpec {
        logs: cx.log_dir.clone(),
        ..ClusterSpec::small(cx.seed)
    };
    let cluster = Arc::new(Cluster::open(spec).await?);
    let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
    let specs = caller_specs(&cluster.spec);
    let mut callers = cluster.spawn_callers(specs, cx.load_length, cx.seed);
    let submitter = tokio::spawn(submit(Arc::clone(&cluster), cx.seed));
    inject_faults(&cluster, cx.load_length).await?;
    while let Some(result) = callers.join_next().await {
        result?;
    }
    submitter.await?;
    // After a timeout, the summary shows how many tasks have finished.
    cluster.jobs.wait_finished(SETTLE_TIMEOUT).await;
    drop(progress);
    Ok(summarise(&cx, &cluster).await)
}

/// Returns the callers of short and of long requests of every team.
pub(super) fn caller_specs(cluster: &ClusterSpec) -> Vec<CallerSpec> {
    let mut specs = Vec::new();
    for team in &cluster.teams {
        specs.push(caller(
            cluster,
            team,
            Class::Short,
            SHORT_REQUESTS_PER_S,
            SHORT_SERVICE_TIME,
        ));
        specs.push(caller(
            cluster,
            team,
            Class::Long,
            LONG_REQUESTS_PER_S,
            LONG_SERVICE_TIME,
        ));
    }
    specs
}

fn caller(
    cluster: &ClusterSpec,
    team: &SmolStr,
    class: Class,
    rate: f64,
    service_time: Duration,
) -> CallerSpec {
    CallerSpec {
        name: format_smolstr!("{team}-{class}"),
        call_path: CallPath::Entry,
        service: cluster.service.clone(),
        team: team.clone(),
        token: Some(team_token(team)),
        class,
        schedule: Schedule::constant(rate),
        idempotent_share: 0.5,
        deadline: Duration::from_secs(2),
        service_time,
        request_bytes: 2_000,
        answer_bytes: 4_000,
        repeat_share: 0.5,
        give_up_share: 0.01,
        give_up_after: Duration::from_millis(10),
    }
}

async fn submit(cluster: Arc<Cluster>, seed: u64) {
    let Ok(id) = format!("demo-{seed}").parse() else {
        return;
    };
    let spec = JobSpec {
        id,
        team: cluster.spec.teams[0].clone(),
        class: "deck".into(),
        tasks: TASKS,
        resources: Resources {
            processors: Processors::cores(2),
            memory: ByteSize::gib(4),
            ..Resources::default()
        },
        expected_ms: TASK_MS,
        priority: "normal".into(),
        payload: json!({ "run_ms": TASK_MS }),
    };
    let submitted = cluster.jobs.submit(&spec, SUBMIT_TIMEOUT).await;
    tracing::info!(?submitted, "submitted the batch job");
}

/// Patches the configuration at 0.25 of the run, kills an instance at 0.4 and stops one gracefully
/// at 0.6; each lost instance is replaced.
async fn inject_faults(cluster: &Cluster, length: Duration) -> Result<(), ScenarioError> {
    sleep(length.mul_f64(0.25)).await;
    let change = json!({ "services": { "engine": { "queue_entries": 1_500 } } });
    cluster.patch(1, "lab-2", &change).await?;
    sleep(length.mul_f64(0.15)).await;
    cluster.kill("e2").await?;
    cluster.start_instance("e4", 1).await?;
    sleep(length.mul_f64(0.2)).await;
    cluster.start_instance("e5", 2).await?;
    cluster.stop("e3").await?;
    Ok(())
}

async fn summarise(cx: &ScenarioCx, cluster: &Cluster) -> Summary {
    let attempts = cluster.attempt_log.attempts();
    let mut summary = Summary::of_attempts(SCENARIO.name, cx.seed, &attempts);
    let batch = cluster.batch.counts();
    summary.tasks_submitted = cluster.jobs.tasks_submitted();
    summary.tasks_finished = batch.finished;
    summary.evictions = batch.evictions;
    summary.violations = cluster.violations().await;
    let answered = summary.answered as f64 / (summary.requests as f64).max(1.0);
    let unclean = cluster.unclean_stops() as f64;
    summary.targets = vec![
        Target::at_least("min_answered_share", 0.95, answered),
        Target::at_least(
            "min_tasks_finished",
            f64::from(TASKS),
            batch.finished as f64,
        ),
        Target::at_most("graceful_stops_without_exit_0", 0.0, unclean),
    ];
    summary.add_reasons(&attempts);
    let endpoints = cluster.requests.counts();
    let (accepted, rejected, unknown) = cluster.jobs.counts();
    summary.add_detail("jobs_accepted", accepted as f64);
    summary.add_detail("jobs_rejected", rejected as f64);
    summary.add_detail("jobs_unknown", unknown as f64);
    summary.add_detail("endpoint_runs", endpoints.runs as f64);
    summary.add_detail("peak_busy", f64::from(endpoints.peak_busy));
    summary.add_detail("task_starts", batch.starts as f64);
    summary
}
