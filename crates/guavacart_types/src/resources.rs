//! The resources that a worker has or a task requires.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Accelerators, ByteSize, Processors};

/// An amount of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub processors: Processors,
    /// Memory, in bytes.
    pub memory: ByteSize,
    /// Number of whole accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// Returns true if each of the three amounts is at most the amount in `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.processors <= other.processors
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Returns the sum of each amount, saturating at the largest value.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors: Processors(self.processors.0.saturating_add(other.processors.0)),
            memory: ByteSize(self.memory.0.saturating_add(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// Returns the difference of each amount, or `None` if any amount in `other` is larger.
    pub fn minus(&self, other: &Self) -> Option<Self> {
        Some(Self {
            processors: Processors(self.processors.0.checked_sub(other.processors.0)?),
            memory: ByteSize(self.memory.0.checked_sub(other.memory.0)?),
            accelerators: Accelerators(self.accelerators.0.checked_sub(other.accelerators.0)?),
        })
    }

    /// Returns each amount multiplied by `times`, saturating at the largest value.
    #[must_use]
    pub fn times(&self, times: u32) -> Self {
        Self {
            processors: Processors(self.processors.0.saturating_mul(u64::from(times))),
            memory: ByteSize(self.memory.0.saturating_mul(u64::from(times))),
            accelerators: Accelerators(self.accelerators.0.saturating_mul(times)),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            processors,
            memory,
            accelerators,
        } = self;
        write!(
            f,
            "{processors} processors, {memory}, {accelerators} accelerators"
        )
    }
}
