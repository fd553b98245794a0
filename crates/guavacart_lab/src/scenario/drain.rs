//! Every entry instance and a third of the endpoints are replaced gracefully under load.

use std::sync::Arc;

use smol_str::format_smolstr;
use tokio::{task::JoinSet, time::Instant};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, HALF, OWN, unanswered},
};
use crate::{
    cluster::{Cluster, ClusterError},
    host::Host,
    summary::{Summary, Target},
};

/// Endpoints that leave at once.
const AT_ONCE: usize = 4;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "drain",
    about: "every entry instance and a third of the endpoints are replaced gracefully",
    baselines: &[],
    seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(drain(cx))
}

async fn drain(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let load = bench.offer(vec![bench.short(OWN, HALF)], bench.cx.length);
    let began = Instant::now();
    let roll = async {
        tokio::try_join!(replace_instances(&bench), replace_endpoints(&bench))?;
        Ok::<_, ScenarioError>(began.elapsed())
    };
    let ((), took) = tokio::try_join!(load, roll)?;
    let mut summary = bench.summary(SCENARIO.name).await;
    let violations = summary.violations;
    let unclean = bench.cluster.unclean_stops() as f64;
    let unanswered = unanswered(&bench.attempts(OWN)).len();
    summary.targets = vec![
        Target::at_most("cut_off", 0.0, violations.cut_off_by_shutdown as f64),
        Target::at_most("late_new_work", 0.0, violations.late_new_work as f64),
        Target::at_most("unanswered", 0.0, unanswered as f64),
        Target::at_most("stops_without_exit_0", 0.0, unclean),
        Target::at_most(
            "replaced_within_s",
            bench.cx.length.as_secs_f64(),
            took.as_secs_f64(),
        ),
    ];
    Ok(summary)
}

async fn replace_instances(bench: &Bench) -> Result<(), ScenarioError> {
    let cluster = &bench.cluster;
    let count = cluster.spec.instances;
    for i in 0..count {
        let name = format_smolstr!("e{}", count + i + 1);
        cluster.start_instance(&name, i).await?;
        cluster.wait_healthy(count + 1).await?;
        cluster.stop(&format!("e{}", i + 1)).await?;
    }
    Ok(())
}

async fn replace_endpoints(bench: &Bench) -> Result<(), ScenarioError> {
    let cluster = &bench.cluster;
    let count = cluster.spec.endpoints;
    let third: Vec<usize> = (0..count / 3).collect();
    for some in third.chunks(AT_ONCE) {
        let mut leaving = JoinSet::new();
        for i in some {
            let processors = cluster.spec.capacity.processors.0;
            let host = Host::open(processors, Arc::clone(&cluster.interference));
            cluster.start_endpoint(count + i, host).await?;
            leaving.spawn(leave(Arc::clone(cluster), *i));
        }
        while let Some(left) = leaving.join_next().await {
            left??;
        }
    }
    Ok(())
}

/// Every other endpoint refuses new work itself; of the rest only the list tells.
async fn leave(cluster: Arc<Cluster>, i: usize) -> Result<(), ClusterError> {
    cluster
        .leave_endpoint(&format!("p{}", i + 1), i.is_multiple_of(2))
        .await
}
