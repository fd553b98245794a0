//! Services and batch work on the same workers.
//!
//! A table that is hidden from guavacart says how much each class of batch work slows the service.
//! A call runs the policy under test, its baselines and two controls side by side. Each run has its
//! own instances, endpoints and workers, and the same load from the same seed. All runs share one
//! machine at the same time, so that noise on the machine affects all of them alike.

mod load;
mod measure;
mod plot;
mod site;

use std::{fs, sync::Arc, time::Duration};

use smol_str::SmolStr;
use tokio::{task::JoinSet, time::Instant};

use self::{
    load::Timing,
    measure::{Comparison, Run},
    site::{CYMRU, PAMOJA, Site},
};
use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    cluster::{Cluster, ClusterError},
    summary::Summary,
};

/// Policies that run side by side; the first one is guavacart's own.
const POLICIES: &[&str] = &["learned", "none", "static", "reactive"];
/// Shortest run that contains all waves and leaves time to recover after the change of the hidden
/// table.
const MIN_LENGTH: Duration = Duration::from_secs(60);
/// Time from the moment when all clusters are ready to the start of the load.
const START_DELAY: Duration = Duration::from_millis(200);

pub(super) const COLOCATE_PAMOJA: Scenario = Scenario {
    name: "colocate-pamoja",
    description: "services and batch work on 10 workers, Pamoja's weights; at least 60 s, 6 runs at once",
    baselines: &["none", "static", "reactive"],
    default_seconds: 60,
    run: |cx| -> ScenarioRun { Box::pin(colocate(cx, &PAMOJA)) },
};

pub(super) const COLOCATE_CYMRU: Scenario = Scenario {
    name: "colocate-cymru",
    description: "services and batch work on 10 workers, Cymru's weights; at least 60 s, 6 runs at once",
    baselines: &["none", "static", "reactive"],
    default_seconds: 60,
    run: |cx| -> ScenarioRun { Box::pin(colocate(cx, &CYMRU)) },
};

/// What a run consists of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunKind {
    /// Services and batch work under this policy.
    Colocated(&'static str),
    /// Services alone.
    WithoutBatch,
    /// Batch work alone.
    WithoutServices,
}

impl RunKind {
    fn name(self) -> &'static str {
        match self {
            Self::Colocated(policy) => policy,
            Self::WithoutBatch => "without_batch",
            Self::WithoutServices => "without_services",
        }
    }

    fn policy(self) -> &'static str {
        match self {
            Self::Colocated(policy) => policy,
            // No policy may limit batch work here, since this control shows its largest throughput.
            Self::WithoutBatch | Self::WithoutServices => "none",
        }
    }
}

async fn colocate(cx: ScenarioCx, site: &'static Site) -> Result<Summary, ScenarioError> {
    let timing = Timing::of(cx.load_length.max(MIN_LENGTH));
    let main_policy = cx.baseline.as_deref().unwrap_or(POLICIES[0]);
    let mut starting_clusters = JoinSet::new();
    for kind in run_kinds() {
        let cx = cx.clone();
        starting_clusters
            .spawn(async move { Ok::<_, ScenarioError>((kind, open(&cx, site, kind).await?)) });
    }
    let mut clusters = Vec::new();
    while let Some(result) = starting_clusters.join_next().await {
        clusters.push(result??);
    }
    let start = Instant::now() + START_DELAY;
    let mut running_loads = JoinSet::new();
    for (kind, cluster) in clusters {
        running_loads.spawn(load::run(
            cx.seed,
            site,
            timing.clone(),
            start,
            kind,
            cluster,
        ));
    }
    let mut runs = Vec::new();
    while let Some(run) = running_loads.join_next().await {
        runs.push(run?);
    }
    let comparison = Comparison::of(&timing, runs);
    if let Some(dir) = &cx.log_dir {
        let path = dir.join(format!("{}-{}.svg", site.scenario, cx.seed));
        if let Err(err) = plot::draw(&path, site, &timing, &comparison) {
            tracing::error!(%err, path = %path.display(), "cannot write the plot");
        }
    }
    Ok(comparison.summary(cx.seed, site, main_policy))
}

fn run_kinds() -> impl Iterator<Item = RunKind> {
    let colocated = POLICIES.iter().map(|policy| RunKind::Colocated(policy));
    colocated.chain([RunKind::WithoutBatch, RunKind::WithoutServices])
}

async fn open(cx: &ScenarioCx, site: &Site, kind: RunKind) -> Result<Arc<Cluster>, ClusterError> {
    let mut spec = site.cluster(cx.seed, kind.policy());
    if let Some(dir) = &cx.log_dir {
        let dir = dir.join(kind.name());
        fs::create_dir_all(&dir)?;
        spec.logs = Some(dir);
    }
    Ok(Arc::new(Cluster::open(spec).await?))
}

/// Returns the name of a measurement with the run that it belongs to, as `name.run`.
fn measurement_name(name: &str, run: &str) -> SmolStr {
    SmolStr::new(format!("{name}.{run}"))
}

impl Run {
    fn is(&self, name: &str) -> bool {
        self.kind.name() == name
    }
}
