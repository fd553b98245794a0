//! Ids of jobs, steps, tasks, runs, executors, queues and machines.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Hexadecimal digits of a job's key.
const JOB_KEY_DIGITS: usize = 16;

/// A job's key, chosen by its submitter: 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

/// The text is not a job's key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a job id; give 16 lower-case hexadecimal digits")]
pub struct JobKeyError {
    /// What was given.
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

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Which occurrence, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u16,
}

impl StepKey {
    /// The task of this step with that index.
    pub fn task(self, index: u16) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Which task of the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// Counts the starts of a task, across all owners.
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

macro_rules! text_ids {
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

text_ids! {
    /// An executor's id; it may be born again under the same id.
    ExecutorId;
    /// A machine that executors run on, one after the other.
    MachineId;
    /// A pool of executors.
    PoolName;
    /// A queue that jobs are submitted to.
    QueueName;
    /// Permission from the advice service to run a step on one executor.
    Ticket;
}

/// The number of an upkeep wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

impl fmt::Display for WaveNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
