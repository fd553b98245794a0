//! 5% of the connections between all parties, one in twenty, are reset, truncated, delayed or
//! half-open.

use std::{sync::Arc, time::Duration};

use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun, demo::caller_specs};
use crate::{
    cluster::{Cluster, ClusterSpec},
    fault::Faults,
    progress::Progress,
    summary::{Summary, Target},
};

/// Share of connections with a fault; each of the four faults gets an equal part.
const FAULT_SHARE: f64 = 0.05;
/// Share of datagrams that the network drops.
const DATAGRAM_LOSS_SHARE: f64 = 0.01;
/// Delay that a slow connection adds in each direction.
const ADDED_DELAY: Duration = Duration::from_millis(100);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "bad-network",
    description: "5% of connections reset, truncated, delayed or half-open between all parties",
    baselines: &[],
    default_seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(bad_network(cx))
}

async fn bad_network(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = ClusterSpec {
        logs: cx.log_dir.clone(),
        network: true,
        ..ClusterSpec::small(cx.seed)
    };
    let cluster = Arc::new(Cluster::open(spec).await?);
    if let Some(network) = &cluster.network {
        network.set_faults(set_fault_rates).await;
    }
    let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
    let caller_specs = caller_specs(&cluster.spec);
    let mut callers = cluster.spawn_callers(caller_specs, cx.load_length, cx.seed);
    while let Some(result) = callers.join_next().await {
        result?;
    }
    drop(progress);
    Ok(summarise(&cx, &cluster).await)
}

fn set_fault_rates(faults: &mut Faults) {
    let share = FAULT_SHARE / 4.0;
    faults.reset = share;
    faults.truncate = share;
    faults.half_open = share;
    faults.slow = share;
    faults.slow_by = ADDED_DELAY;
    faults.loss = DATAGRAM_LOSS_SHARE;
}

async fn summarise(cx: &ScenarioCx, cluster: &Cluster) -> Summary {
    let attempts = cluster.attempt_log.attempts();
    let mut summary = Summary::of_attempts(SCENARIO.name, cx.seed, &attempts);
    summary.violations = cluster.violations().await;
    summary.add_reasons(&attempts);
    let wrong_answers = summary.violations.partial_or_foreign_answer as f64;
    summary.targets = vec![Target::at_most(
        "wrong_partial_or_foreign_answers",
        0.0,
        wrong_answers,
    )];
    if let Some(network) = &cluster.network {
        let (connections, faulty) = network.counts().await;
        summary.add_detail("connections", connections as f64);
        summary.add_detail("connections_harmed", faulty as f64);
    }
    summary
}
