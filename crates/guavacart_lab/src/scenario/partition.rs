//! Two instances are cut off from the store and the other instances; later, a whole data centre is
//! cut off from the store and the other data centres.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, HALF_LOAD, OWN_PHASE, Testbed, unanswered},
};
use crate::{
    caller::Attempt,
    clock::now_us,
    summary::{Summary, Target},
};

/// Number of instances in the first partition.
const CUT_INSTANCES: usize = 2;
/// Time after the end of a partition within which requests are answered again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
const STORE: &str = "store";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "partition",
    description: "two instances, then a data centre, are cut off from the store and the others",
    baselines: &[],
    default_seconds: 72,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(partition(cx))
}

async fn partition(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let mut spec = load::request_cluster(&cx);
    spec.network = true;
    let testbed = Testbed::open(cx, spec).await?;
    let sixth = testbed.cx.load_length / 6;
    let start_us = now_us();
    let load = testbed.run_load(
        vec![testbed.short(OWN_PHASE, HALF_LOAD)],
        testbed.cx.load_length,
    );
    let (load, ()) = tokio::join!(load, inject_partitions(&testbed, sixth));
    load?;
    let attempts = testbed.attempts(OWN_PHASE);
    let at = |span: Duration| start_us + span.as_micros() as u64;
    let unanswered_between = |from: Duration, to: Duration| {
        let (from, to) = (at(from), at(to));
        let due_between = attempts.iter().filter(|a| (from..to).contains(&a.due_us));
        let due_between: Vec<Attempt> = due_between.cloned().collect();
        unanswered(&due_between).len() as f64
    };
    let unanswered_after_healing = unanswered_between(sixth * 2 + RECOVERY_TIME, sixth * 3)
        + unanswered_between(sixth * 4 + RECOVERY_TIME, sixth * 6);
    let mut summary = testbed.summary(SCENARIO.name).await;
    summary.targets = vec![Target::at_most(
        "unanswered_after_healing",
        0.0,
        unanswered_after_healing,
    )];
    summary.add_detail("unanswered_two_cut", unanswered_between(sixth, sixth * 2));
    summary.add_detail(
        "unanswered_data_centre_cut",
        unanswered_between(sixth * 3, sixth * 4),
    );
    summary.add_detail("unanswered", unanswered(&attempts).len() as f64);
    Ok(summary)
}

/// Cuts off two instances in the second sixth of the run, and a data centre in the fourth.
async fn inject_partitions(testbed: &Testbed, sixth: Duration) {
    let Some(network) = &testbed.cluster.network else {
        return;
    };
    let (cut_off, others) = first_instances(testbed);
    sleep(sixth).await;
    network.cut(&cut_off, &others).await;
    sleep(sixth).await;
    network.heal().await;
    let (inside, outside) = first_data_centre(testbed);
    sleep(sixth).await;
    network.cut(&inside, &outside).await;
    sleep(sixth).await;
    network.heal().await;
}

/// Returns the instances of the first partition, and all other instances with the store.
fn first_instances(testbed: &Testbed) -> (Vec<SmolStr>, Vec<SmolStr>) {
    let mut all = instances(testbed);
    let mut others = all.split_off(CUT_INSTANCES);
    others.push(STORE.into());
    (all, others)
}

/// Returns the instances and endpoints of the first data centre, and those of all other data
/// centres with the store.
fn first_data_centre(testbed: &Testbed) -> (Vec<SmolStr>, Vec<SmolStr>) {
    let spec = &testbed.cluster.spec;
    let chosen = spec.data_centre(0);
    let instances = instances(testbed).into_iter().enumerate();
    let instances = instances.map(|(i, name)| (spec.data_centre(i), name));
    let endpoints =
        (0..spec.endpoints).map(|i| (spec.endpoint_data_centre(i), format_smolstr!("p{}", i + 1)));
    let (inside, outside): (Vec<_>, Vec<_>) = instances
        .chain(endpoints)
        .partition(|(data_centre, _)| *data_centre == chosen);
    let names = |members: Vec<(SmolStr, SmolStr)>| members.into_iter().map(|(_, name)| name);
    let outside = names(outside).chain([STORE.into()]).collect();
    (names(inside).collect(), outside)
}

fn instances(testbed: &Testbed) -> Vec<SmolStr> {
    let count = testbed.cluster.spec.instances;
    (1..=count).map(|i| format_smolstr!("e{i}")).collect()
}
