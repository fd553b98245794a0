//! One connection in twenty is reset, truncated, slow or half-open between all parties.

use std::{sync::Arc, time::Duration};

use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun, demo::caller_specs};
use crate::{
    cluster::{Cluster, ClusterSpec},
    fault::Faults,
    progress::Progress,
    summary::{Summary, Target},
};

/// Share of connections that are harmed, in four equal parts.
const HARMED: f64 = 0.05;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.01;
/// Delay of a slow connection, each way.
const SLOW_BY: Duration = Duration::from_millis(100);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "bad-network",
    about: "5% of connections reset, truncated, delayed or half-open between all parties",
    baselines: &[],
    seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(bad_network(cx))
}

async fn bad_network(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = ClusterSpec {
        logs: cx.logs.clone(),
        network: true,
        ..ClusterSpec::small(cx.seed)
    };
    let cluster = Arc::new(Cluster::open(spec).await?);
    if let Some(network) = &cluster.network {
        network.set_faults(harm).await;
    }
    let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
    let specs = caller_specs(&cluster.spec);
    let mut callers = cluster.spawn_callers(specs, cx.length, cx.seed);
    while let Some(ended) = callers.join_next().await {
        ended?;
    }
    drop(progress);
    Ok(summarise(&cx, &cluster).await)
}

fn harm(faults: &mut Faults) {
    let part = HARMED / 4.0;
    faults.reset = part;
    faults.truncate = part;
    faults.half_open = part;
    faults.slow = part;
    faults.slow_by = SLOW_BY;
    faults.loss = LOSS;
}

async fn summarise(cx: &ScenarioCx, cluster: &Cluster) -> Summary {
    let attempts = cluster.record.attempts();
    let mut summary = Summary::of_attempts(SCENARIO.name, cx.seed, &attempts);
    summary.violations = cluster.violations().await;
    summary.add_reasons(&attempts);
    let wrong = summary.violations.partial_or_foreign_answer as f64;
    summary.targets = vec![Target::at_most(
        "wrong_partial_or_foreign_answers",
        0.0,
        wrong,
    )];
    if let Some(network) = &cluster.network {
        let (connections, harmed) = network.counts().await;
        summary.detail("connections", connections as f64);
        summary.detail("connections_harmed", harmed as f64);
    }
    summary
}
