//! Schedules jobs of dependent steps on executors that run tasks under leases.
//!
//! [`State`] is one reducer over all events, with effects as data. It has no clock, socket, thread,
//! random source or log. Exactly one instance, the owner, runs it at a time; the fencing epoch that
//! each order carries keeps an earlier owner from acting beside it.

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
