//! Stored records of a job's progress, from which the next owner continues: tasks that are done,
//! runs that failed, and checkpoints.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;

use crate::RunNumber;

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue's rules allow, or crashed the executors that started it.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
}

/// Durable record of a job's progress.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobProgress {
    /// Set once the job has ended.
    pub outcome: Option<JobOutcome>,
    /// Unix time in milliseconds at which the job ended; 0 while the job is open.
    pub ended_unix_ms: u64,
    /// True once a task of the job has been started.
    pub has_started: bool,
    /// Records by occurrence and step index. A step without done tasks, failed runs or checkpoints
    /// may have no record.
    pub steps: BTreeMap<(u32, u16), StepProgress>,
    /// Runs under which an executor crashed, or may have crashed, before they proved harmless.
    /// Records without such runs end before this field.
    #[serde(
        default,
        skip_serializing_if = "BTreeMap::is_empty",
        deserialize_with = "crashed_if_present"
    )]
    pub crashed: CrashedRuns,
}

/// Runs under which an executor crashed, by occurrence, step index and task index.
pub type CrashedRuns = BTreeMap<(u32, u16, u16), BTreeSet<RunNumber>>;

/// Reads the last field of [`JobProgress`], which is absent from records without crashes.
fn crashed_if_present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<CrashedRuns, D::Error> {
    Ok(CrashedRuns::deserialize(deserializer).unwrap_or_default())
}

/// Durable record of one step in one occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepProgress {
    /// Indices of the tasks that are done.
    pub done: BTreeSet<u16>,
    /// Failed runs, by task index.
    pub failed: BTreeMap<u16, BTreeSet<RunNumber>>,
    /// Newest checkpoints of tasks that are not done, by task index.
    pub checkpoints: BTreeMap<u16, SmolStr>,
}
