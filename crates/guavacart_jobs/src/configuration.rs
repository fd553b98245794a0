//! The operator's configuration: queues, pools and limits.

use guavacart_types::{ByteSize, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{PoolName, QueueName};

/// One numbered configuration, in full.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number; later ones are greater.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools of executors.
    pub pools: Vec<Pool>,
    /// Limits on submitters' HTTP requests.
    pub limits: HttpLimits,
}

/// Where jobs are submitted, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The host that requests name.
    pub host: SmolStr,
    /// What the path begins with.
    pub prefix: SmolStr,
    /// How its jobs are treated.
    pub rules: QueueRules,
}

/// How a queue's jobs are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueRules {
    /// The executors that run its tasks.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work within which a job is on time.
    pub stretch: f32,
    /// Added to the stretched chain.
    pub target: Span,
    /// Set if only the advice service knows the executors that may run a step.
    pub advice: Option<AdvicePolicy>,
}

/// What asking for advice costs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvicePolicy {
    /// Time for each question.
    pub decision: Span,
    /// More time for each executor named.
    pub per_executor: Span,
    /// How long a ticket is valid.
    pub validity: Span,
}

/// A pool of executors.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Its executors reject what does not fit.
    pub checks_admission: bool,
    /// Its machines are off.
    pub is_spare: bool,
}

/// Limits on submitters' HTTP requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Longest head.
    pub head: ByteSize,
    /// Longest body.
    pub body: ByteSize,
    /// Longest time for a head.
    pub head_timeout: Span,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Span,
}

impl Configuration {
    /// The queue with the longest prefix that `path` begins with at `host`, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.iter().filter_map(|queue| {
            let rest = path.strip_prefix(queue.prefix.as_str())?;
            queue
                .host
                .eq_ignore_ascii_case(host)
                .then_some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// True if executors of that pool may be given work.
    pub fn has_pool_on(&self, name: &PoolName) -> bool {
        self.pools
            .iter()
            .any(|pool| pool.name == *name && !pool.is_spare)
    }
}
