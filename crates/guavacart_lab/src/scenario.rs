//! The scenarios that the lab can run, and how one is started.

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

/// The options that a scenario is run with.
#[derive(Clone, Debug)]
pub struct ScenarioCx {
    /// Seed of every random choice in the run.
    pub seed: u64,
    /// How long each phase of the scenario offers load.
    pub load_length: Duration,
    /// Size of the cluster in the request and batch scenarios.
    pub size: Size,
    /// The baseline to run in place of guavacart's own policy, or in addition to it; `None` runs no
    /// baseline.
    pub baseline: Option<SmolStr>,
    /// Directory for the log files of the instances; `None` writes none.
    pub log_dir: Option<PathBuf>,
    /// True to write progress lines to stderr during the run.
    pub progress: bool,
}

/// Why a scenario ended without a summary.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The cluster could not be started or controlled.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The requested baseline is not one of the scenario's baselines.
    #[error("scenario {scenario} has no baseline {baseline}; it has {known}")]
    Baseline {
        /// Name of the scenario.
        scenario: SmolStr,
        /// The baseline that was requested.
        baseline: SmolStr,
        /// The scenario's baselines, separated by commas, or `none`.
        known: SmolStr,
    },
    /// A Tokio task of the lab panicked or was cancelled.
    #[error("a task of the lab failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// The future of a running scenario; it returns the summary.
pub type ScenarioRun = Pin<Box<dyn Future<Output = Result<Summary, ScenarioError>> + Send>>;

/// A scenario: a set-up, its load and faults, and the targets that the result is compared with.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for the list of scenarios.
    pub description: &'static str,
    /// Baselines that the scenario can be run with.
    pub baselines: &'static [&'static str],
    /// Default length of the load, in seconds; 0 if the scenario does not depend on the length.
    pub default_seconds: u64,
    /// Starts the scenario.
    pub run: fn(ScenarioCx) -> ScenarioRun,
}

/// All scenarios, in the order in which they are listed.
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

/// Returns the scenario with this name.
pub fn find_scenario(name: &str) -> Option<&'static Scenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}

impl Scenario {
    /// Runs the scenario.
    ///
    /// Returns [`ScenarioError::Baseline`] if the scenario does not have the requested baseline.
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
