//! Where the tasks of a job would start, as reported to an operator.

use std::{collections::BTreeMap, fmt};

use guavacart_types::{DataCentre, Epoch, Resources};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{ExecutorId, PoolName};

/// Where the tasks of a job would start if the job were accepted now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Epoch of the owner that answers.
    pub epoch: Epoch,
    /// Pool of the job's queue.
    pub pool: PoolName,
    /// Priority of the job's queue; smaller is more urgent.
    pub priority: u32,
    /// Why nothing of the job starts now, whatever room the executors have.
    pub obstacle: Option<Obstacle>,
    /// Steps of other jobs that wait for room. Those that are more urgent start first.
    pub waiting_steps: u32,
    /// Steps that could start at once, each as if it were the only one.
    pub steps: Vec<StepExplanation>,
    /// Further steps that could start at once and are left out.
    pub omitted_steps: u32,
    /// Steps that start once others are done.
    pub later_steps: u32,
}

/// Why nothing of a job starts, whatever room the executors have.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// The pool of the queue is not active.
    InactivePool,
    /// The store has not confirmed the ownership lease recently enough.
    UnconfirmedOwnership,
    /// The executors' entries were last read too long ago.
    OutdatedEntries,
    /// The requests to evacuate data centres were last read too long ago.
    OutdatedEvacuations,
    /// The owner is new, and has not seen yet what all executors run.
    Takeover,
    /// The first occurrence is due later, at this Unix time in milliseconds.
    NotDue(u64),
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InactivePool => "the pool of the queue is not active",
            Self::UnconfirmedOwnership => "the store has not confirmed the ownership lease",
            Self::OutdatedEntries => "the executors' entries have not been read recently",
            Self::OutdatedEvacuations => "the evacuations have not been read recently",
            Self::Takeover => "the owner is new and has not seen yet what all executors run",
            Self::NotDue(unix_ms) => {
                return write!(f, "the first occurrence is due at Unix time {unix_ms} ms");
            }
        })
    }
}

/// Where the tasks of one step would start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepExplanation {
    /// Index of the step in the job, from 0.
    pub step: u16,
    /// Number of tasks.
    pub tasks: u16,
    /// Number of tasks for which there is room now; of a gang, all or 0. Those of a service step also
    /// start on executors with a penalty once no other has room.
    pub tasks_to_start: u16,
    /// Number of executors with room for one task.
    pub fitting_executors: u32,
    /// The first of these executors, best first.
    pub executors: Vec<RankedExecutor>,
    /// True for a service step for which only executors with a penalty have room.
    pub is_last_choice: bool,
    /// Number of the other executors by the reason that excludes them.
    pub excluded: BTreeMap<Exclusion, u32>,
    /// The wait of tasks for room at the preferred rack while there is room elsewhere, if there is one.
    pub rack_wait: Option<RackWait>,
}

/// An executor with room for a task, as placement ranks it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankedExecutor {
    /// 1 for the executor that gets the first task.
    pub rank: u16,
    /// Id of the executor.
    pub id: ExecutorId,
    /// Rack of the executor, if its entry gives one.
    pub rack: Option<SmolStr>,
    /// Data centre of the executor, if its entry gives one.
    pub data_centre: Option<DataCentre>,
    /// Resources that no run reserves.
    pub free: Resources,
    /// Lowest ratio of target to tail latency that is expected of its service tasks, with a task of the
    /// step if that is a best-effort task; `None` without service tasks.
    pub headroom: Option<f32>,
}

/// The rack that tasks of a step wait for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RackWait {
    /// The rack.
    pub rack: SmolStr,
    /// Number of tasks that would wait.
    pub tasks: u16,
    /// When they start on other racks too unless the wait is decided anew, as Unix time in
    /// milliseconds.
    pub until_unix_ms: u64,
}

/// Why an executor gets no task of a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// The executor has no entry.
    NoEntry,
    /// It belongs to another pool.
    OtherPool,
    /// It lacks room, or what is free is kept for a service task.
    Full,
    /// The owner may not start anything; see [`Obstacle`].
    OwnerNotReady,
    /// The executor or its machine is draining.
    Draining,
    /// Its data centre is evacuated, or gets work back step by step.
    Evacuated,
    /// It does not answer, has restarted, refused a start, or has too many unread ends.
    NotReady,
    /// Runs failed there.
    Penalty,
    /// One more best-effort task would harm its service tasks.
    Headroom,
    /// It is reserved for a task that may have crashed other executors.
    Isolated,
    /// It lacks the required label.
    Label,
    /// It is not on the preferred rack, and no task starts elsewhere now.
    Rack,
    /// It runs as many tasks of the step as it may.
    TaskLimit,
    /// The advice service has given no ticket for it.
    NoTicket,
    /// It is slow, and other executors are expected to end the task earlier.
    Slow,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoEntry => "without entry",
            Self::OtherPool => "in another pool",
            Self::Full => "without room",
            Self::OwnerNotReady => "usable once the owner is ready",
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::NotReady => "not ready",
            Self::Penalty => "with a penalty",
            Self::Headroom => "blocked for best-effort work",
            Self::Isolated => "reserved for a suspected task",
            Self::Label => "without the label",
            Self::Rack => "on other racks",
            Self::TaskLimit => "at the limit of tasks",
            Self::NoTicket => "without a ticket",
            Self::Slow => "slow",
        })
    }
}
