//! What a submitter hands in.

use guavacart_types::{Resources, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::{QueueName, QueueRules};

/// Most tasks of one step.
const MAX_TASKS: u32 = 10_000;
/// Most steps of one job.
const MAX_STEPS: usize = 1_000;

/// A job of dependent steps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// The queue that took it.
    pub queue: QueueName,
    /// The queue's rules when it was taken; they apply on after the queue has been removed.
    pub rules: QueueRules,
    /// When it was taken, in Unix milliseconds by the taking instance's clock.
    pub accepted_unix_ms: u64,
    /// What its tasks are to do; handed to executors as it came.
    pub payload: SmolStr,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Set if the steps run several times.
    pub schedule: Option<Schedule>,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// How many tasks.
    pub count: u16,
    /// What each takes.
    pub size: Resources,
    /// Rough length of a task.
    pub estimate: Span,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Its tasks save their progress.
    pub has_checkpoints: bool,
    /// Its tasks run only all together.
    pub is_gang: bool,
    /// Its tasks are slower on more than one rack.
    pub prefers_one_rack: bool,
    /// Label that the executor must have.
    pub required_label: Option<SmolStr>,
    /// Rack where its data lies.
    pub data_rack: Option<SmolStr>,
    /// Most tasks of one occurrence on one executor.
    pub max_per_executor: Option<u16>,
    /// Copies of a task may run at once.
    pub allows_copies: bool,
    /// Its tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: Option<SmolStr>,
    /// Bound for the tail of the response times of a lasting task.
    pub tail_target: Option<Span>,
    /// Its tasks use processors that others leave unused, without being counted.
    pub is_filler: bool,
    /// Most tasks that the scheduler may take away at a time.
    pub may_miss: Option<u16>,
}

impl Step {
    /// What one task commits of an executor.
    pub fn committed(&self) -> Resources {
        let mut size = self.size;
        if self.is_filler {
            size.processors.0 = 0;
        }
        size
    }
}

/// When the steps of a repeated job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// The first occurrence, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// From one occurrence to the next.
    pub interval: Span,
    /// How many occurrences.
    pub count: u32,
}

/// Why a job is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobError {
    /// No steps, or too many.
    #[error("the job has {0} steps; give 1 to {MAX_STEPS}")]
    Steps(usize),
    /// No tasks, or too many.
    #[error("step {step} has {count} tasks; give 1 to {MAX_TASKS}")]
    Tasks {
        /// The step.
        step: usize,
        /// Its tasks.
        count: u32,
    },
    /// A step waits for one that is not before it.
    #[error("step {step} waits for step {after}; name earlier steps only")]
    After {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
}

impl Job {
    /// Checks what the types leave open.
    ///
    /// # Errors
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), JobError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobError::Steps(self.steps.len()));
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let count = u32::from(spec.count);
            if count == 0 || count > MAX_TASKS {
                return Err(JobError::Tasks { step, count });
            }
            if let Some(&after) = spec.after.iter().find(|after| usize::from(**after) >= step) {
                return Err(JobError::After { step, after });
            }
        }
        Ok(())
    }

    /// How often its steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// When that occurrence is due, in Unix milliseconds; `None` for at once.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let offset = schedule.interval.0.saturating_mul(u64::from(occurrence));
        Some(schedule.first_unix_ms.saturating_add(offset))
    }

    /// Estimated length of the longest chain of steps from each step on.
    pub fn chains_from(&self) -> Vec<Span> {
        let mut chains: Vec<Span> = self.steps.iter().map(|step| step.estimate).collect();
        for (index, step) in self.steps.iter().enumerate().rev() {
            for before in step.after.iter().map(|before| usize::from(*before)) {
                let through = self.steps[before].estimate + chains[index];
                chains[before] = chains[before].max(through);
            }
        }
        chains
    }

    /// Estimated length of the longest chain of steps.
    pub fn longest_chain(&self) -> Span {
        self.chains_from().into_iter().max().unwrap_or(Span::ZERO)
    }
}
