//! Four operators race with patches while the store fails and instances restart.

mod history;
mod operator;
mod watch;

use std::{sync::Arc, time::Duration};

use guavacart_config::CONFIG_KEY;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use self::{history::History, operator::Accepted, watch::Watch};
use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    clock::now_us,
    cluster::{Cluster, ClusterSpec},
    progress::Progress,
    store::Outage,
    summary::{Summary, Target},
};

/// Operators at work.
const OPERATORS: u32 = 4;
/// Patches that each of them gets accepted.
const PATCHES: u32 = 50;
/// Share of the store's writes whose answer is lost.
const LOST_ANSWERS: f64 = 0.1;
/// How long each of the two outages of the store lasts.
const OUTAGE: Duration = Duration::from_secs(3);
/// The instance that is cut off from the store, but not from its peers.
const CUT_OFF: &str = "e4";
/// Longest wait for the last patch to be in force everywhere.
const SETTLE: Duration = Duration::from_secs(20);
/// Longest time from acceptance to in force everywhere, 99th percentile, in milliseconds.
const IN_FORCE_MS: f64 = 8_000.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "config-race",
    about: "four operators submit 200 patches under outages, lost answers and restarts",
    baselines: &[],
    seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(config_race(cx))
}

/// A time in which an instance was cut off, in microseconds of the lab's clock.
#[derive(Clone, Copy, Debug)]
struct Cut {
    from_us: u64,
    to_us: u64,
}

async fn config_race(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = ClusterSpec {
        instances: 4,
        network: true,
        logs: cx.logs.clone(),
        ..ClusterSpec::small(cx.seed)
    };
    let cluster = Arc::new(Cluster::open(spec).await?);
    let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
    let watch = Watch::spawn(Arc::clone(&cluster));
    let faults = |f: &mut crate::store::StoreFaults| f.lost_answers = LOST_ANSWERS;
    cluster.store.set_faults(faults);
    let mut operators = JoinSet::new();
    for operator in 1..=OPERATORS {
        let pace = cx.length / PATCHES;
        let seed = guavacart_types::deterministic_random(cx.seed, u64::from(operator));
        operators.spawn(operator::run(Arc::clone(&cluster), operator, pace, seed));
    }
    let cut = disturb(&cluster, cx.length).await?;
    let mut accepted = Vec::new();
    let mut conflicts = 0;
    let mut repeats = 0;
    while let Some(ended) = operators.join_next().await {
        let told = ended?;
        accepted.extend(told.accepted);
        conflicts += told.conflicts;
        repeats += told.repeats;
    }
    cluster.store.set_faults(|f| f.lost_answers = 0.0);
    settle(&cluster, &accepted, &watch).await;
    drop(progress);
    let mut summary = summarise(&cx, &cluster, &accepted, &watch, cut).await;
    summary.detail("conflicts", f64::from(conflicts));
    summary.detail("repeats_after_lost_or_refused", f64::from(repeats));
    Ok(summary)
}

/// Cuts one instance off, stops the store twice, and restarts two instances.
async fn disturb(cluster: &Cluster, length: Duration) -> Result<Cut, ScenarioError> {
    let begun = Instant::now();
    let at = |share: f64| sleep_until(begun + length.mul_f64(share));
    at(0.1).await;
    let from_us = now_us();
    if let Some(network) = &cluster.network {
        network.cut(&[CUT_OFF.into()], &["store".into()]).await;
    }
    at(0.2).await;
    outage(cluster, Outage::Refusing).await;
    at(0.35).await;
    cluster.kill("e2").await?;
    sleep(Duration::from_secs(1)).await;
    cluster.start_instance("e2", 1).await?;
    at(0.5).await;
    outage(cluster, Outage::Silent).await;
    at(0.65).await;
    cluster.stop("e3").await?;
    cluster.start_instance("e3", 2).await?;
    at(0.9).await;
    let to_us = now_us();
    if let Some(network) = &cluster.network {
        network.heal().await;
    }
    at(1.0).await;
    Ok(Cut { from_us, to_us })
}

async fn outage(cluster: &Cluster, outage: Outage) {
    cluster.store.set_faults(|f| f.outage = outage);
    sleep(OUTAGE).await;
    cluster.store.set_faults(|f| f.outage = Outage::None);
}

/// Waits until the last patch is in force everywhere or the time is up; the summary tells which.
async fn settle(cluster: &Cluster, accepted: &[Accepted], watch: &Watch) {
    let last = accepted.iter().map(|a| a.number).max().unwrap_or_default();
    let deadline = Instant::now() + SETTLE;
    while !watch.is_everywhere(&cluster.running(), last) && Instant::now() < deadline {
        sleep(Duration::from_millis(100)).await;
    }
}

async fn summarise(
    cx: &ScenarioCx,
    cluster: &Cluster,
    accepted: &[Accepted],
    watch: &Watch,
    cut: Cut,
) -> Summary {
    let mut summary = Summary::of_attempts(SCENARIO.name, cx.seed, &[]);
    let writes = cluster.store.history();
    let writes: Vec<_> = writes.into_iter().filter(|w| w.key == CONFIG_KEY).collect();
    let history = History::of(&writes);
    summary.violations = cluster.violations().await;
    summary.violations.config_reverted += history.reverted(accepted) + watch.reverted();
    summary.violations.config_lost = history.missing(accepted);
    let running = cluster.running();
    let lags = watch.lags(&history, &running);
    let cut_off = lags.of(CUT_OFF, cut.from_us, cut.to_us);
    let wanted = f64::from(OPERATORS * PATCHES);
    summary.targets = vec![
        Target::at_least("min_accepted_patches", wanted, accepted.len() as f64),
        Target::at_most("patches_applied_twice_or_unasked", 0.0, {
            history.unclaimed(accepted) as f64
        }),
        Target::at_most("gaps_in_the_numbers", 0.0, history.gaps() as f64),
        Target::at_most("never_in_force_somewhere", 0.0, lags.never() as f64),
        Target::at_most("p99_in_force_everywhere_ms", IN_FORCE_MS, {
            lags.everywhere().quantile(0.99)
        }),
        Target::at_most(
            "p99_in_force_cut_off_ms",
            IN_FORCE_MS,
            cut_off.quantile(0.99),
        ),
        Target::at_least("min_patches_while_cut_off", 1.0, cut_off.len() as f64),
    ];
    let everywhere = lags.everywhere();
    summary.detail("in_force_everywhere_p50_ms", everywhere.quantile(0.5));
    summary.detail("in_force_everywhere_max_ms", everywhere.quantile(1.0));
    summary.detail("in_force_cut_off_p50_ms", cut_off.quantile(0.5));
    summary.detail("in_force_cut_off_max_ms", cut_off.quantile(1.0));
    summary.detail("cut_off_patches", cut_off.len() as f64);
    summary.detail("lost_answers", cluster.store.lost_answers() as f64);
    summary.detail("unclean_stops", cluster.unclean_stops() as f64);
    summary
}
