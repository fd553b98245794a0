//! The controller's input about tasks, and its decisions.

use std::fmt;

use guavacart_types::{Attempt, BatchClass, ServiceName, Span, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

use super::history::Pressure;

/// A running task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningTask {
    /// The task's id.
    pub task: TaskId,
    /// The attempt that runs.
    pub attempt: Attempt,
    /// The worker it runs on.
    pub worker: WorkerId,
    /// The batch class of its job.
    pub class: BatchClass,
    /// The pressure of the task at full speed.
    pub pressure: Pressure,
    /// The task's current speed, in percent of full speed.
    pub percent: u32,
    /// The task's progress, in parts per million.
    pub progress_ppm: u32,
    /// The work that is lost if the task stops without a checkpoint.
    pub unsaved_run_time: Span,
}

/// What to do with a task, the cheapest action first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Run the task at a speed; 100 percent restores full speed.
    Throttle {
        /// The speed in percent of full speed.
        percent: u32,
    },
    /// Save a checkpoint, stop the task and resume it on another worker.
    Move,
    /// Stop the task and start it over on another worker.
    Stop,
}

impl Action {
    /// True if the task has to leave its worker.
    pub fn is_eviction(&self) -> bool {
        matches!(self, Self::Move | Self::Stop)
    }
}

/// The reason for a decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionReason {
    /// The service is crowded and the worker's batch work adds to its latency.
    Crowded {
        /// The service that is slowed.
        service: ServiceName,
        /// Latency that the worker's batch work adds, in thousandths of the undisturbed one.
        added: u32,
        /// Latency that it is allowed to add, in thousandths of the undisturbed one.
        allowed: u32,
    },
    /// The worker's batch work adds more to the service's latency than allowed.
    Disturbs {
        /// The service that is slowed.
        service: ServiceName,
        /// Latency that the worker's batch work adds, in thousandths of the undisturbed one.
        added: u32,
        /// Latency that it is allowed to add, in thousandths of the undisturbed one.
        allowed: u32,
    },
    /// Throttling has not reduced the service's latency enough for some time.
    ThrottlingInsufficient {
        /// The service that is slowed.
        service: ServiceName,
        /// For how long throttling has not been enough.
        since: Span,
    },
    /// All services on the worker allow the task its full speed.
    FullSpeedAllowed,
    /// The policy gives batch work a fixed share.
    FixedShare,
    /// A report showed too high a latency.
    Reported {
        /// The service that is slowed.
        service: ServiceName,
        /// Latency above the undisturbed one, in thousandths of it.
        added: u32,
    },
}

impl fmt::Display for DecisionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crowded {
                service,
                added,
                allowed,
            } => write!(
                f,
                "{service} is crowded; batch work here adds {added}‰ to its latency and may add {allowed}‰"
            ),
            Self::Disturbs {
                service,
                added,
                allowed,
            } => write!(
                f,
                "batch work here adds {added}‰ to the latency of {service} and may add {allowed}‰"
            ),
            Self::ThrottlingInsufficient { service, since } => {
                write!(
                    f,
                    "throttling has not been enough for {service} for {since}"
                )
            }
            Self::FullSpeedAllowed => f.write_str("there is room for its full speed"),
            Self::FixedShare => f.write_str("batch work has a fixed share of each worker"),
            Self::Reported { service, added } => {
                write!(
                    f,
                    "a report showed {added}‰ over the usual latency of {service}"
                )
            }
        }
    }
}

/// A decision on one task, and the reason for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// The worker that runs the task.
    pub worker: WorkerId,
    /// The task's id.
    pub task: TaskId,
    /// The attempt that the decision applies to.
    pub attempt: Attempt,
    /// What to do with the task.
    pub action: Action,
    /// The reason, for the log.
    pub why: DecisionReason,
}
