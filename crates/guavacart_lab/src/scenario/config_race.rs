//! Four operators submit patches at the same time while the store fails and instances restart.

mod history;
mod operator;
mod watch;

use std::{sync::Arc, time::Duration};

use guavacart_config::CONFIG_KEY;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use self::{history::History, operator::Accepted, watch::ConfigWatch};
use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    clock::now_us,
    cluster::{Cluster, ClusterSpec},
    progress::Progress,
    store::Outage,
    summary::{Summary, Target},
};

/// Operators that submit patches at the same time.
const OPERATORS: u32 = 4;
/// Patches that each operator submits until they are accepted.
const PATCHES_PER_OPERATOR: u32 = 50;
/// Share of writes to the store whose answer is lost.
const LOST_ANSWER_SHARE: f64 = 0.1;
/// How long each of the two outages of the store lasts.
const OUTAGE_TIME: Duration = Duration::from_secs(3);
/// The instance that is cut off from the store, but not from its peers.
const CUT_OFF_INSTANCE: &str = "e4";
/// Longest wait for the last patch to be in force everywhere.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Limit for the 99th percentile of the time from the write of a patch until it is in force
/// everywhere, in milliseconds.
const MAX_IN_FORCE_MS: f64 = 8_000.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "config-race",
    description: "four operators submit 200 patches under outages, lost answers and restarts",
    baselines: &[],
    default_seconds: 60,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(config_race(cx))
}

/// The period in which an instance was cut off, in microseconds of the lab's clock.
#[derive(Clone, Copy, Debug)]
struct CutOffPeriod {
    from_us: u64,
    to_us: u64,
}

async fn config_race(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = ClusterSpec {
        instances: 4,
        network: true,
        logs: cx.log_dir.clone(),
        ..ClusterSpec::small(cx.seed)
    };
    let cluster = Arc::new(Cluster::open(spec).await?);
    let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
    let watch = ConfigWatch::spawn(Arc::clone(&cluster));
    let faults = |f: &mut crate::store::StoreFaults| f.lost_answers = LOST_ANSWER_SHARE;
    cluster.store.set_faults(faults);
    let mut operators = JoinSet::new();
    for operator in 1..=OPERATORS {
        let interval = cx.load_length / PATCHES_PER_OPERATOR;
        let seed = guavacart_types::deterministic_random(cx.seed, u64::from(operator));
        operators.spawn(operator::run(
            Arc::clone(&cluster),
            operator,
            interval,
            seed,
        ));
    }
    let cut_off_period = inject_faults(&cluster, cx.load_length).await?;
    let mut accepted = Vec::new();
    let mut conflicts = 0;
    let mut repeats = 0;
    while let Some(result) = operators.join_next().await {
        let outcome = result?;
        accepted.extend(outcome.accepted);
        conflicts += outcome.conflicts;
        repeats += outcome.repeats;
    }
    cluster.store.set_faults(|f| f.lost_answers = 0.0);
    wait_until_in_force(&cluster, &accepted, &watch).await;
    drop(progress);
    let mut summary = summarise(&cx, &cluster, &accepted, &watch, cut_off_period).await;
    summary.add_detail("conflicts", f64::from(conflicts));
    summary.add_detail("repeats_after_lost_or_refused", f64::from(repeats));
    Ok(summary)
}

/// Cuts off one instance, makes the store fail twice, and restarts two instances.
async fn inject_faults(cluster: &Cluster, length: Duration) -> Result<CutOffPeriod, ScenarioError> {
    let start = Instant::now();
    let at = |share: f64| sleep_until(start + length.mul_f64(share));
    at(0.1).await;
    let from_us = now_us();
    if let Some(network) = &cluster.network {
        network
            .cut(&[CUT_OFF_INSTANCE.into()], &["store".into()])
            .await;
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
    Ok(CutOffPeriod { from_us, to_us })
}

async fn outage(cluster: &Cluster, outage: Outage) {
    cluster.store.set_faults(|f| f.outage = outage);
    sleep(OUTAGE_TIME).await;
    cluster.store.set_faults(|f| f.outage = Outage::None);
}

/// Waits until the last patch is in force everywhere, or until [`SETTLE_TIMEOUT`] has passed.
///
/// The summary shows whether the patch is in force everywhere.
async fn wait_until_in_force(cluster: &Cluster, accepted: &[Accepted], watch: &ConfigWatch) {
    let last = accepted.iter().map(|a| a.number).max().unwrap_or_default();
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !watch.is_in_force_everywhere(&cluster.running(), last) && Instant::now() < deadline {
        sleep(Duration::from_millis(100)).await;
    }
}

async fn summarise(
    cx: &ScenarioCx,
    cluster: &Cluster,
    accepted: &[Accepted],
    watch: &ConfigWatch,
    cut_off_period: CutOffPeriod,
) -> Summary {
    let mut summary = Summary::of_attempts(SCENARIO.name, cx.seed, &[]);
    let writes = cluster.store.history();
    let writes: Vec<_> = writes.into_iter().filter(|w| w.key == CONFIG_KEY).collect();
    let history = History::of(&writes);
    summary.violations = cluster.violations().await;
    summary.violations.config_reverted += history.reverted(accepted) + watch.reverts();
    summary.violations.config_lost = history.missing(accepted);
    let running = cluster.running();
    let lags = watch.lags(&history, &running);
    let cut_off_delays = lags.of_instance(
        CUT_OFF_INSTANCE,
        cut_off_period.from_us,
        cut_off_period.to_us,
    );
    let expected = f64::from(OPERATORS * PATCHES_PER_OPERATOR);
    summary.targets = vec![
        Target::at_least("min_accepted_patches", expected, accepted.len() as f64),
        Target::at_most("patches_applied_twice_or_unasked", 0.0, {
            history.unclaimed(accepted) as f64
        }),
        Target::at_most("gaps_in_the_numbers", 0.0, history.gaps() as f64),
        Target::at_most(
            "never_in_force_somewhere",
            0.0,
            lags.never_in_force() as f64,
        ),
        Target::at_most("p99_in_force_everywhere_ms", MAX_IN_FORCE_MS, {
            lags.everywhere().quantile(0.99)
        }),
        Target::at_most(
            "p99_in_force_cut_off_ms",
            MAX_IN_FORCE_MS,
            cut_off_delays.quantile(0.99),
        ),
        Target::at_least(
            "min_patches_while_cut_off",
            1.0,
            cut_off_delays.len() as f64,
        ),
    ];
    let everywhere = lags.everywhere();
    summary.add_detail("in_force_everywhere_p50_ms", everywhere.quantile(0.5));
    summary.add_detail("in_force_everywhere_max_ms", everywhere.quantile(1.0));
    summary.add_detail("in_force_cut_off_p50_ms", cut_off_delays.quantile(0.5));
    summary.add_detail("in_force_cut_off_max_ms", cut_off_delays.quantile(1.0));
    summary.add_detail("cut_off_patches", cut_off_delays.len() as f64);
    summary.add_detail("lost_answers", cluster.store.lost_answers() as f64);
    summary.add_detail("unclean_stops", cluster.unclean_stops() as f64);
    summary
}
