//! The table of scenarios.

mod bad_network;
mod batch;
mod batch_chaos;
mod batch_steady;
mod black_hole;
mod cancel_wave;
mod colocate;
mod config_race;
mod crest;
mod demo;
mod drain;
mod fair;
mod hol;
mod idle_cost;
mod instance_loss;
mod load;
mod misdeclared;
mod partition;
mod racing_owners;
mod slopes;
mod steady;
mod store_outage;
mod takeover;
mod urgent;

use std::{future::Future, path::PathBuf, pin::Pin, time::Duration};

use smol_str::SmolStr;
use thiserror::Error;

use crate::{
    cluster::{ClusterError, Size},
    summary::Summary,
};

/// What a scenario is run with.
#[derive(Clone, Debug)]
pub struct ScenarioCx {
    /// Seed of all that is random.
    pub seed: u64,
    /// How long load is offered, in each phase.
    pub length: Duration,
    /// Whose size the request scenarios take.
    pub size: Size,
    /// The baseline to run in place of guavacart's own policy, or beside it.
    pub baseline: Option<SmolStr>,
    /// Where instances log.
    pub logs: Option<PathBuf>,
    /// True if progress is written to stderr.
    pub progress: bool,
}

/// Why a scenario has no summary.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The set-up failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The scenario has no such baseline.
    #[error("scenario {scenario} has no baseline {baseline}; it has {known}")]
    Baseline {
        /// The scenario.
        scenario: SmolStr,
        /// What was asked for.
        baseline: SmolStr,
        /// What there is.
        known: SmolStr,
    },
    /// A task of the lab itself failed.
    #[error("a task of the lab failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// What a scenario returns when it is run.
pub type ScenarioRun = Pin<Box<dyn Future<Output = Result<Summary, ScenarioError>> + Send>>;

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows, in one line.
    pub about: &'static str,
    /// Baselines that it can be run with.
    pub baselines: &'static [&'static str],
    /// Seconds of load unless others are asked for.
    pub seconds: u64,
    /// Runs it.
    pub run: fn(ScenarioCx) -> ScenarioRun,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    demo::SCENARIO,
    steady::SCENARIO,
    hol::SCENARIO,
    fair::SCENARIO,
    crest::SCENARIO,
    instance_loss::SCENARIO,
    store_outage::SCENARIO,
    drain::SCENARIO,
    bad_network::SCENARIO,
    partition::SCENARIO,
    slopes::SCENARIO,
    config_race::SCENARIO,
    idle_cost::SCENARIO,
    batch_steady::SCENARIO,
    batch_chaos::SCENARIO,
    takeover::SCENARIO,
    urgent::SCENARIO,
    cancel_wave::SCENARIO,
    black_hole::SCENARIO,
    misdeclared::SCENARIO,
    racing_owners::SCENARIO,
    colocate::COLOCATE_PAMOJA,
    colocate::COLOCATE_CYMRU,
];

/// The scenario of this name.
pub fn find(name: &str) -> Option<&'static Scenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}

impl Scenario {
    /// Runs the scenario, unless it does not know the baseline.
    pub async fn start(&self, cx: ScenarioCx) -> Result<Summary, ScenarioError> {
        if let Some(baseline) = &cx.baseline
            && !self.baselines.contains(&baseline.as_str())
        {
            return Err(ScenarioError::Baseline {
                scenario: self.name.into(),
                baseline: baseline.clone(),
                known: match self.baselines {
                    [] => "none".into(),
                    known => known.join(", ").into(),
                },
            });
        }
        (self.run)(cx).await
    }
}
