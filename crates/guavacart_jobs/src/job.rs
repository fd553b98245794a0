//! Jobs as their submitters describe them.

use guavacart_types::{Resources, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::{QueueName, QueuePolicy};

/// Maximum number of tasks in one step.
const MAX_TASKS_PER_STEP: u32 = 10_000;
/// Maximum number of steps in one job.
const MAX_STEPS_PER_JOB: usize = 1_000;

/// A job of dependent steps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Queue that accepted the job.
    pub queue: QueueName,
    /// Rules of the queue when the job was accepted. They apply once the queue has been
    /// removed from the configuration.
    pub rules: QueuePolicy,
    /// Unix time in milliseconds at which the job was accepted, by the clock of the instance that
    /// accepted the job.
    pub accepted_unix_ms: u64,
    /// Description of the work, passed to executors unchanged.
    pub payload: SmolStr,
    /// Steps of the job; a step depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Set if the steps run repeatedly.
    pub schedule: Option<Schedule>,
}

/// A group of equal tasks of a job, which differ only in their index.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub task_count: u16,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Estimated duration of a task.
    pub estimate: Span,
    /// Indices of earlier steps whose tasks must all be done before this step starts.
    pub dependencies: Vec<u16>,
    /// True if the tasks write checkpoints, from which a later run resumes.
    pub has_checkpoints: bool,
    /// True if the tasks form a gang: they run all together or not at all.
    pub is_gang: bool,
    /// True if the tasks run slower when they are spread over several racks.
    pub prefers_one_rack: bool,
    /// Label that an executor must have to run the tasks.
    pub required_label: Option<SmolStr>,
    /// Rack that stores the input data of the tasks.
    pub data_rack: Option<SmolStr>,
    /// Maximum number of tasks of one occurrence on one executor.
    pub max_per_executor: Option<u16>,
    /// True if several copies of a task may run at the same time.
    pub allows_copies: bool,
    /// True for service tasks, which run until the job is cancelled.
    pub is_long_running: bool,
    /// Image that the tasks run. Tasks of the same image are expected to interfere with others in
    /// the same way.
    pub image: Option<SmolStr>,
    /// Maximum tail latency of a service task.
    pub tail_target: Option<Span>,
    /// True for best-effort tasks, which use processors that others leave unused. Their processors
    /// are not counted as reserved.
    pub is_best_effort: bool,
    /// Maximum number of tasks that may be unavailable at once when the scheduler stops one of them
    /// for maintenance; `None` sets no limit.
    pub max_unavailable: Option<u16>,
}

impl Step {
    /// Returns the resources that one task reserves on its executor: none of the processors for a
    /// best-effort task.
    pub fn reserved(&self) -> Resources {
        let mut resources = self.resources;
        if self.is_best_effort {
            resources.processors.0 = 0;
        }
        resources
    }
}

/// Times at which a repeated job runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Time of the first occurrence, as Unix time in milliseconds.
    pub first_unix_ms: u64,
    /// Time from one occurrence to the next.
    pub interval: Span,
    /// Number of occurrences; 0 counts as 1.
    pub count: u32,
}

/// Why a job is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobError {
    /// The job has no steps or too many; holds their number.
    #[error("the job has {0} steps; give 1 to {MAX_STEPS_PER_JOB}")]
    Steps(usize),
    /// A step has no tasks or too many.
    #[error("step {step} has {count} tasks; give 1 to {MAX_TASKS_PER_STEP}")]
    Tasks {
        /// Index of the step.
        step: usize,
        /// Number of tasks in the step.
        count: u32,
    },
    /// A step depends on itself, on a later step or on a step that does not exist.
    #[error("step {step} depends on step {dependency}; name earlier steps only")]
    Dependency {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        dependency: u16,
    },
}

impl Job {
    /// Checks the rules that the types do not enforce: the numbers of steps and tasks, and that
    /// each step depends on earlier steps only.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), JobError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS_PER_JOB {
            return Err(JobError::Steps(self.steps.len()));
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let count = u32::from(spec.task_count);
            if count == 0 || count > MAX_TASKS_PER_STEP {
                return Err(JobError::Tasks { step, count });
            }
            if let Some(&dependency) = spec
                .dependencies
                .iter()
                .find(|dependency| usize::from(**dependency) >= step)
            {
                return Err(JobError::Dependency { step, dependency });
            }
        }
        Ok(())
    }

    /// Returns how many times the job runs: once without a schedule.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns when an occurrence is due, as Unix time in milliseconds; `None` for a job without a
    /// schedule, which is due at once.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let offset = schedule.interval.0.saturating_mul(u64::from(occurrence));
        Some(schedule.first_unix_ms.saturating_add(offset))
    }

    /// Returns, for each step, the estimated duration of the critical path that begins with that
    /// step.
    pub fn critical_paths_from(&self) -> Vec<Span> {
        let mut paths: Vec<Span> = self.steps.iter().map(|step| step.estimate).collect();
        for (index, step) in self.steps.iter().enumerate().rev() {
            for dependency in step
                .dependencies
                .iter()
                .map(|dependency| usize::from(*dependency))
            {
                let path = self.steps[dependency].estimate + paths[index];
                paths[dependency] = paths[dependency].max(path);
            }
        }
        paths
    }

    /// Returns the estimated duration of the job's critical path, its longest chain of dependent
    /// steps.
    pub fn critical_path(&self) -> Span {
        self.critical_paths_from()
            .into_iter()
            .max()
            .unwrap_or(Span::ZERO)
    }
}
