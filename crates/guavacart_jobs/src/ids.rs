//! Ids of jobs, steps, tasks, runs, executors, queues and machines.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Number of hexadecimal digits in a job key.
const JOB_KEY_DIGITS: usize = 16;

/// Key of a job, chosen by its submitter and written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

/// A text is not a valid job key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a job id; give 16 lower-case hexadecimal digits")]
pub struct JobKeyError {
    /// Text that was given.
    pub text: SmolStr,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = JobKeyError;

    fn from_str(text: &str) -> Result<Self, JobKeyError> {
        let err = || JobKeyError { text: text.into() };
        let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_KEY_DIGITS || !text.bytes().all(is_digit) {
            return Err(err());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| err())
    }
}

/// Key of one step in one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Index of the occurrence, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl StepKey {
    /// Returns the key of the task with this index in the step.
    pub fn task(self, index: u16) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Key of one task of a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Index of the task in the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// Number of a run of a task. A later run has a greater number, also under a later owner.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u64);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! string_ids {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    )*};
}

string_ids! {
    /// Id of an executor, which may keep its id when it restarts.
    ExecutorId;
    /// Id of a machine, which runs one executor at a time.
    MachineId;
    /// Name of a pool of executors.
    PoolName;
    /// Name of a queue that jobs are submitted to.
    QueueName;
    /// Permission from the advice service to run a step on one executor.
    Ticket;
}

/// Number of a maintenance wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

impl fmt::Display for WaveNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
