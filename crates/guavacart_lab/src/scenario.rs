//! The table of scenarios.

mod bad_network;
mod colocate;
mod demo;

use std::{future::Future, path::PathBuf, pin::Pin, time::Duration};

use smol_str::SmolStr;
use thiserror::Error;

use crate::{cluster::ClusterError, summary::Summary};

/// What a scenario is run with.
#[derive(Clone, Debug)]
pub struct ScenarioCx {
    /// Seed of all that is random.
    pub seed: u64,
    /// How long load is offered.
    pub length: Duration,
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
    /// Runs it.
    pub run: fn(ScenarioCx) -> ScenarioRun,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    demo::SCENARIO,
    bad_network::SCENARIO,
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
