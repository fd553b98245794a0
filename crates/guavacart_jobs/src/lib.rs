//! Schedules jobs of dependent steps on executors that run tasks under leases.
//!
//! [`State`] is a reducer: [`State::apply`] takes an [`Event`] and returns the [`Effect`]s to carry
//! out. The reducer uses no clock, socket, thread, random source or log.
//!
//! One instance at a time, the owner, runs the reducer. Each order carries the owner's epoch, and
//! executors refuse orders of an earlier epoch, so that an earlier owner cannot act beside the
//! current one.

mod configuration;
mod effect;
mod event;
mod executor;
mod explanation;
mod ids;
mod job;
mod learned;
mod maintenance;
pub mod policy;
mod progress;
mod state;

pub use configuration::{AdvicePolicy, Configuration, HttpLimits, Pool, Queue, QueuePolicy};
pub use effect::{
    Decision, Effect, HoldOrder, LoadReport, LossReason, MaintenanceOrder, RoomShortage, SaveOrder,
    StartOrder,
};
pub use event::{EndedRun, Event, HoldReport, ListedRun, OrderFailure, RefusalReason, RunOutcome};
pub use executor::{ExecutorAddress, OrderTarget, Registration};
pub use explanation::{
    Exclusion, Explanation, Obstacle, RackWait, RankedExecutor, StepExplanation,
};
pub use ids::{
    ExecutorId, JobKey, JobKeyError, MachineId, PoolName, QueueName, RunNumber, StepKey, TaskKey,
    Ticket, WaveNumber,
};
pub use job::{Job, JobError, Schedule, Step};
pub use learned::{LearnedInterference, ServiceInterference};
pub use maintenance::{
    Machine, MachineState, MaintenanceRecord, MaintenanceWave, MaintenanceWaveState, OrderRecord,
    OrderState, WaveRecord,
};
pub use progress::{CrashedRuns, JobOutcome, JobProgress, StepProgress};
pub use state::{
    Bounds, ClockReadings, JobState, MAX_UNCONFIRMED_ACCEPT_TIME, Snapshot, State, StateSummary,
};
