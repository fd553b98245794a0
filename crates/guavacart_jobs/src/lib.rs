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
mod ids;
mod job;
mod learned;
mod progress;
mod state;

pub use configuration::{AdvicePolicy, Configuration, HttpLimits, Pool, Queue, QueueRules};
pub use effect::{Decision, Effect, HoldOrder, Loss, SaveOrder, StartOrder, UpkeepOrder};
pub use event::{Event, HoldReport, HowEnded, OrderFailure, Refusal, RunEnded, RunListed};
pub use executor::{Machine, MachineState, Registration, Target, Wave, WaveState};
pub use ids::{
    ExecutorId, JobKey, JobKeyError, MachineId, PoolName, QueueName, RunNumber, StepKey, TaskKey,
    Ticket, WaveNumber,
};
pub use job::{Job, JobError, Schedule, Step};
pub use learned::{Learned, LearnedImage};
pub use progress::{JobOutcome, Progress, StepProgress};
pub use state::{
    Accepted, Bounds, JobState, Snapshot, State, StateSummary, TAKES_JOBS_UNCONFIRMED,
};
