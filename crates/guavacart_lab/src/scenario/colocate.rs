//! Services and batch work on the same workers, with a hidden table of how they slow each other.
//!
//! One call runs the policy that is looked at, its baselines and two controls side by side, each
//! with instances, endpoints and workers of its own and the same load from the same seed. All runs
//! share one machine at the same time, so that its noise strikes all of them alike.

mod load;
mod measure;
mod plot;
mod site;

use std::{fs, sync::Arc, time::Duration};

use smol_str::SmolStr;
use tokio::{task::JoinSet, time::Instant};

use self::{
    load::Timing,
    measure::{Judged, Run},
    site::{CYMRU, PAMOJA, Site},
};
use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    cluster::{Cluster, ClusterError},
    summary::Summary,
};

/// Policies that are run side by side; the first is guavacart's own.
const POLICIES: &[&str] = &["learned", "none", "static", "reactive"];
/// Shortest run that holds all waves and leaves time to come back after the hidden change.
const SHORTEST: Duration = Duration::from_secs(60);
/// Time between the start of all runs and the first call.
const LEAD: Duration = Duration::from_millis(200);

pub(super) const COLOCATE_PAMOJA: Scenario = Scenario {
    name: "colocate-pamoja",
    about: "services and batch work on 10 workers, Pamoja's weights; at least 60 s, 6 runs at once",
    baselines: &["none", "static", "reactive"],
    seconds: 60,
    run: |cx| -> ScenarioRun { Box::pin(colocate(cx, &PAMOJA)) },
};

pub(super) const COLOCATE_CYMRU: Scenario = Scenario {
    name: "colocate-cymru",
    about: "services and batch work on 10 workers, Cymru's weights; at least 60 s, 6 runs at once",
    baselines: &["none", "static", "reactive"],
    seconds: 60,
    run: |cx| -> ScenarioRun { Box::pin(colocate(cx, &CYMRU)) },
};

/// What takes part in one of the runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    /// Services and batch work under this policy.
    Both(&'static str),
    /// Services alone.
    WithoutBatch,
    /// Batch work alone.
    WithoutServices,
}

impl Part {
    fn name(self) -> &'static str {
        match self {
            Self::Both(policy) => policy,
            Self::WithoutBatch => "without_batch",
            Self::WithoutServices => "without_services",
        }
    }

    fn policy(self) -> &'static str {
        match self {
            Self::Both(policy) => policy,
            // What batch work could do at most is not to be held back by any policy.
            Self::WithoutBatch | Self::WithoutServices => "none",
        }
    }
}

async fn colocate(cx: ScenarioCx, site: &'static Site) -> Result<Summary, ScenarioError> {
    let timing = Timing::of(cx.length.max(SHORTEST));
    let looked_at = cx.baseline.as_deref().unwrap_or(POLICIES[0]);
    let mut opening = JoinSet::new();
    for part in parts() {
        let cx = cx.clone();
        opening.spawn(async move { Ok::<_, ScenarioError>((part, open(&cx, site, part).await?)) });
    }
    let mut clusters = Vec::new();
    while let Some(opened) = opening.join_next().await {
        clusters.push(opened??);
    }
    let start = Instant::now() + LEAD;
    let mut running = JoinSet::new();
    for (part, cluster) in clusters {
        running.spawn(load::run(
            cx.seed,
            site,
            timing.clone(),
            start,
            part,
            cluster,
        ));
    }
    let mut runs = Vec::new();
    while let Some(run) = running.join_next().await {
        runs.push(run?);
    }
    let judged = Judged::of(&timing, runs);
    if let Some(dir) = &cx.logs {
        let path = dir.join(format!("{}-{}.svg", site.scenario, cx.seed));
        if let Err(err) = plot::draw(&path, site, &timing, &judged) {
            tracing::error!(%err, path = %path.display(), "the plot could not be written");
        }
    }
    Ok(judged.summary(cx.seed, site, looked_at))
}

fn parts() -> impl Iterator<Item = Part> {
    let both = POLICIES.iter().map(|policy| Part::Both(policy));
    both.chain([Part::WithoutBatch, Part::WithoutServices])
}

async fn open(cx: &ScenarioCx, site: &Site, part: Part) -> Result<Arc<Cluster>, ClusterError> {
    let mut spec = site.cluster(cx.seed, part.policy());
    if let Some(dir) = &cx.logs {
        let dir = dir.join(part.name());
        fs::create_dir_all(&dir)?;
        spec.logs = Some(dir);
    }
    Ok(Arc::new(Cluster::open(spec).await?))
}

/// A figure's name with the run that it is of.
fn figure(name: &str, run: &str) -> SmolStr {
    SmolStr::new(format!("{name}.{run}"))
}

impl Run {
    fn is(&self, name: &str) -> bool {
        self.part.name() == name
    }
}
