//! What the controller is told of tasks and what it decides.

use std::fmt;

use guavacart_types::{Attempt, BatchClass, ServiceName, Span, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

use super::history::Pressure;

/// A task that runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Where it runs.
    pub worker: WorkerId,
    /// Its class.
    pub class: BatchClass,
    /// Its pressure at full speed.
    pub pressure: Pressure,
    /// Its speed now, in percent.
    pub percent: u32,
    /// How much of it is done, in parts per million.
    pub progress_ppm: u32,
    /// Work that a stop without a checkpoint would lose.
    pub at_stake: Span,
}

/// What is to be done with a task, cheapest first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Run it at this speed, in percent; 100 gives it its full speed back.
    Throttle {
        /// The speed.
        percent: u32,
    },
    /// Save a checkpoint, stop it and place it elsewhere.
    Move,
    /// Stop it and place it elsewhere from its start.
    Stop,
}

impl Action {
    /// True if the task loses its place.
    pub fn is_eviction(&self) -> bool {
        matches!(self, Self::Move | Self::Stop)
    }
}

/// Why something was decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// The service is crowded and the class adds to its latency.
    Crowded {
        /// The service.
        service: ServiceName,
        /// Latency that the worker's batch work adds, in thousandths.
        added: u32,
        /// How much it may add, in thousandths.
        allowed: u32,
    },
    /// The worker's batch work adds more to the service's latency than it may.
    Disturbs {
        /// The service.
        service: ServiceName,
        /// Latency that the worker's batch work adds, in thousandths.
        added: u32,
        /// How much it may add, in thousandths.
        allowed: u32,
    },
    /// Throttling all has not been enough for so long.
    Lasting {
        /// The service.
        service: ServiceName,
        /// How long.
        since: Span,
    },
    /// There is room for the task's full speed.
    Room,
    /// The policy gives batch work a fixed share.
    FixedShare,
    /// A report showed too great a latency.
    Reported {
        /// The service.
        service: ServiceName,
        /// The latency over the undisturbed one, in thousandths.
        added: u32,
    },
}

impl fmt::Display for Why {
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
            Self::Lasting { service, since } => {
                write!(
                    f,
                    "throttling has not been enough for {service} for {since}"
                )
            }
            Self::Room => f.write_str("there is room for its full speed"),
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

/// One thing to be done, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Where.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// What.
    pub action: Action,
    /// Why.
    pub why: Why,
}
