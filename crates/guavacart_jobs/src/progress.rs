//! What is kept of a job beyond its owner: which tasks are done, which runs have failed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::RunNumber;

/// How a job has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its submitter took it back.
    Cancelled,
}

/// The durable record of a job's progress.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Set once the job has ended.
    pub outcome: Option<JobOutcome>,
    /// When it ended, in Unix milliseconds; 0 before.
    pub ended_unix_ms: u64,
    /// A task has been started.
    pub has_begun: bool,
    /// Steps of occurrences with something to tell.
    pub steps: BTreeMap<(u32, u16), StepProgress>,
}

/// The durable record of a step.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepProgress {
    /// Tasks that are done.
    pub done: BTreeSet<u16>,
    /// Failed runs, by task.
    pub failed: BTreeMap<u16, BTreeSet<RunNumber>>,
    /// Newest checkpoints of tasks that are not done.
    pub saved: BTreeMap<u16, SmolStr>,
}
