//! Every entry instance and a third of the endpoints are replaced gracefully under half load.

use std::sync::Arc;

use smol_str::format_smolstr;
use tokio::{task::JoinSet, time::Instant};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, HALF_LOAD, OWN_PHASE, Testbed, unanswered},
};
use crate::{
    cluster::{Cluster, ClusterError},
    host::Host,
    summary::{Summary, Target},
};

/// Endpoints that are replaced at the same time.
const REPLACED_AT_ONCE: usize = 4;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "drain",
    description: "every entry instance and a third of the endpoints are replaced gracefully",
    baselines: &[],
    default_seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(drain(cx))
}

async fn drain(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let load = testbed.run_load(
        vec![testbed.short(OWN_PHASE, HALF_LOAD)],
        testbed.cx.load_length,
    );
    let started = Instant::now();
    let replacement = async {
        tokio::try_join!(replace_instances(&testbed), replace_endpoints(&testbed))?;
        Ok::<_, ScenarioError>(started.elapsed())
    };
    let ((), elapsed) = tokio::try_join!(load, replacement)?;
    let mut summary = testbed.summary(SCENARIO.name).await;
    let violations = summary.violations;
    let unclean = testbed.cluster.unclean_stops() as f64;
    let unanswered = unanswered(&testbed.attempts(OWN_PHASE)).len();
    summary.targets = vec![
        Target::at_most("cut_off", 0.0, violations.cut_off_by_shutdown as f64),
        Target::at_most("late_new_work", 0.0, violations.late_new_work as f64),
        Target::at_most("unanswered", 0.0, unanswered as f64),
        Target::at_most("stops_without_exit_0", 0.0, unclean),
        Target::at_most(
            "replaced_within_s",
            testbed.cx.load_length.as_secs_f64(),
            elapsed.as_secs_f64(),
        ),
    ];
    Ok(summary)
}

async fn replace_instances(testbed: &Testbed) -> Result<(), ScenarioError> {
    let cluster = &testbed.cluster;
    let count = cluster.spec.instances;
    for i in 0..count {
        let name = format_smolstr!("e{}", count + i + 1);
        cluster.start_instance(&name, i).await?;
        cluster.wait_healthy(count + 1).await?;
        cluster.stop(&format!("e{}", i + 1)).await?;
    }
    Ok(())
}

async fn replace_endpoints(testbed: &Testbed) -> Result<(), ScenarioError> {
    let cluster = &testbed.cluster;
    let count = cluster.spec.endpoints;
    let replaced: Vec<usize> = (0..count / 3).collect();
    for batch in replaced.chunks(REPLACED_AT_ONCE) {
        let mut leaving = JoinSet::new();
        for i in batch {
            let processors = cluster.spec.capacity.processors.0;
            let host = Host::open(processors, Arc::clone(&cluster.interference));
            cluster.start_endpoint(count + i, host).await?;
            leaving.spawn(remove_endpoint(Arc::clone(cluster), *i));
        }
        while let Some(result) = leaving.join_next().await {
            result??;
        }
    }
    Ok(())
}

/// Removes endpoint `i` gracefully.
///
/// An endpoint with an even `i` also refuses new work itself; one with an odd `i` is only announced
/// as leaving in the list.
async fn remove_endpoint(cluster: Arc<Cluster>, i: usize) -> Result<(), ClusterError> {
    cluster
        .drain_endpoint(&format!("p{}", i + 1), i.is_multiple_of(2))
        .await
}
