//! The store is down, then slow, then loses answers; no request is refused because of it.

use std::time::Duration;

use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, HALF, OWN, unanswered},
};
use crate::{
    store::Outage,
    summary::{Summary, Target},
};

/// Time that the store adds to each call while it is slow.
const SLOW_BY: Duration = Duration::from_millis(1_500);
/// Share of writes whose answers it loses at last.
const LOST: f64 = 0.5;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "store-outage",
    about: "the store is down for two thirds of the run, then slow, then loses answers",
    baselines: &[],
    seconds: 90,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(store_outage(cx))
}

async fn store_outage(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let load = bench.offer(vec![bench.short(OWN, HALF)], bench.cx.length);
    let (load, ()) = tokio::join!(load, disturb(&bench));
    load?;
    let mut summary = bench.summary(SCENARIO.name).await;
    let unanswered = unanswered(&bench.attempts(OWN)).len();
    summary.targets = vec![
        Target::at_most("refused", 0.0, summary.refused as f64),
        Target::at_most("unanswered", 0.0, unanswered as f64),
    ];
    Ok(summary)
}

/// Half of the outage refuses calls, the other half swallows them.
async fn disturb(bench: &Bench) {
    let store = &bench.cluster.store;
    let ninth = bench.cx.length / 9;
    sleep(ninth / 2).await;
    store.set_faults(|f| f.outage = Outage::Refusing);
    sleep(ninth * 3).await;
    store.set_faults(|f| f.outage = Outage::Silent);
    sleep(ninth * 3).await;
    store.set_faults(|f| {
        f.outage = Outage::None;
        f.latency = SLOW_BY;
    });
    sleep(ninth).await;
    store.set_faults(|f| {
        f.latency = Duration::ZERO;
        f.lost_answers = LOST;
    });
    sleep(ninth).await;
    store.set_faults(|f| f.lost_answers = 0.0);
}
