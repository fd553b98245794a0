//! Two instances are cut from the store and the rest, then a whole data centre is.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, HALF, OWN, unanswered},
};
use crate::{
    caller::Attempt,
    clock::now_us,
    summary::{Summary, Target},
};

/// Instances that are cut off first.
const FEW: usize = 2;
/// Time after the healing by which requests are answered again.
const RECOVERY: Duration = Duration::from_secs(8);
const STORE: &str = "store";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "partition",
    about: "two instances, then a data centre, are cut from the store and the rest",
    baselines: &[],
    seconds: 72,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(partition(cx))
}

async fn partition(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let mut spec = load::spec(&cx);
    spec.network = true;
    let bench = Bench::open(cx, spec).await?;
    let sixth = bench.cx.length / 6;
    let start = now_us();
    let load = bench.offer(vec![bench.short(OWN, HALF)], bench.cx.length);
    let (load, ()) = tokio::join!(load, disturb(&bench, sixth));
    load?;
    let own = bench.attempts(OWN);
    let at = |span: Duration| start + span.as_micros() as u64;
    let within = |from: Duration, to: Duration| {
        let (from, to) = (at(from), at(to));
        let chosen = own.iter().filter(|a| (from..to).contains(&a.due_us));
        let chosen: Vec<Attempt> = chosen.cloned().collect();
        unanswered(&chosen).len() as f64
    };
    let healed = within(sixth * 2 + RECOVERY, sixth * 3) + within(sixth * 4 + RECOVERY, sixth * 6);
    let mut summary = bench.summary(SCENARIO.name).await;
    summary.targets = vec![Target::at_most("unanswered_after_healing", 0.0, healed)];
    summary.detail("unanswered_two_cut", within(sixth, sixth * 2));
    summary.detail("unanswered_data_centre_cut", within(sixth * 3, sixth * 4));
    summary.detail("unanswered", unanswered(&own).len() as f64);
    Ok(summary)
}

/// Two instances are cut off in the second sixth of the run, a data centre in the fourth.
async fn disturb(bench: &Bench, sixth: Duration) {
    let Some(network) = &bench.cluster.network else {
        return;
    };
    let (two, others) = few(bench);
    sleep(sixth).await;
    network.cut(&two, &others).await;
    sleep(sixth).await;
    network.heal().await;
    let (inside, outside) = data_centre(bench);
    sleep(sixth).await;
    network.cut(&inside, &outside).await;
    sleep(sixth).await;
    network.heal().await;
}

/// The first instances; all others and the store.
fn few(bench: &Bench) -> (Vec<SmolStr>, Vec<SmolStr>) {
    let mut all = instances(bench);
    let mut others = all.split_off(FEW);
    others.push(STORE.into());
    (all, others)
}

/// Instances and endpoints of the first data centre; those of all others, and the store.
fn data_centre(bench: &Bench) -> (Vec<SmolStr>, Vec<SmolStr>) {
    let spec = &bench.cluster.spec;
    let first = spec.data_centre(0);
    let instances = instances(bench).into_iter().enumerate();
    let instances = instances.map(|(i, name)| (spec.data_centre(i), name));
    let endpoints =
        (0..spec.endpoints).map(|i| (spec.endpoint_data_centre(i), format_smolstr!("p{}", i + 1)));
    let (inside, outside): (Vec<_>, Vec<_>) = instances
        .chain(endpoints)
        .partition(|(place, _)| *place == first);
    let names = |parties: Vec<(SmolStr, SmolStr)>| parties.into_iter().map(|(_, name)| name);
    let outside = names(outside).chain([STORE.into()]).collect();
    (names(inside).collect(), outside)
}

fn instances(bench: &Bench) -> Vec<SmolStr> {
    let count = bench.cluster.spec.instances;
    (1..=count).map(|i| format_smolstr!("e{i}")).collect()
}
