//! The store is down, then slow, then loses answers; no request may be refused or go unanswered.

use std::time::Duration;

use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, HALF_LOAD, OWN_PHASE, Testbed, unanswered},
};
use crate::{
    store::Outage,
    summary::{Summary, Target},
};

/// Latency that the slow store adds to each call.
const ADDED_LATENCY: Duration = Duration::from_millis(1_500);
/// Share of writes whose answer the store loses in the last phase.
const LOST_ANSWER_SHARE: f64 = 0.5;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "store-outage",
    description: "the store is down for two thirds of the run, then slow, then loses answers",
    baselines: &[],
    default_seconds: 90,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(store_outage(cx))
}

async fn store_outage(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let load = testbed.run_load(
        vec![testbed.short(OWN_PHASE, HALF_LOAD)],
        testbed.cx.load_length,
    );
    let (load, ()) = tokio::join!(load, inject_faults(&testbed));
    load?;
    let mut summary = testbed.summary(SCENARIO.name).await;
    let unanswered = unanswered(&testbed.attempts(OWN_PHASE)).len();
    summary.targets = vec![
        Target::at_most("refused", 0.0, summary.refused as f64),
        Target::at_most("unanswered", 0.0, unanswered as f64),
    ];
    Ok(summary)
}

/// During the first half of the outage the store refuses calls; during the second half it does not
/// answer them. After the outage it is slow, and then loses answers.
async fn inject_faults(testbed: &Testbed) {
    let store = &testbed.cluster.store;
    let ninth = testbed.cx.load_length / 9;
    sleep(ninth / 2).await;
    store.set_faults(|f| f.outage = Outage::Refusing);
    sleep(ninth * 3).await;
    store.set_faults(|f| f.outage = Outage::Silent);
    sleep(ninth * 3).await;
    store.set_faults(|f| {
        f.outage = Outage::None;
        f.latency = ADDED_LATENCY;
    });
    sleep(ninth).await;
    store.set_faults(|f| {
        f.latency = Duration::ZERO;
        f.lost_answers = LOST_ANSWER_SHARE;
    });
    sleep(ninth).await;
    store.set_faults(|f| f.lost_answers = 0.0);
}
