//! The operator's configuration: queues, pools and limits.

use guavacart_types::{ByteSize, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{PoolName, QueueName};

/// One complete version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number; a newer configuration has a greater one.
    pub version: u64,
    /// Queues that accept jobs.
    pub queues: Vec<Queue>,
    /// Pools of executors, in use and spare.
    pub pools: Vec<Pool>,
    /// Limits on the HTTP requests of submitters.
    pub limits: HttpLimits,
}

/// A queue that jobs are submitted to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name that jobs of the queue refer to.
    pub name: QueueName,
    /// Host name in requests to this queue, compared without regard to ASCII case.
    pub host: SmolStr,
    /// Prefix of the request path.
    pub prefix: SmolStr,
    /// Rules for the queue's jobs.
    pub rules: QueuePolicy,
}

/// Rules for scheduling a queue's jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Pool whose executors run the tasks.
    pub pool: PoolName,
    /// Priority of the jobs; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task at which its job fails; 0 counts as 1. Failed runs of
    /// service tasks do not count.
    pub max_attempts: u32,
    /// Factor on the estimated duration of a job's critical path. A job is on time if it takes at
    /// most that product plus `base_time`.
    pub stretch: f32,
    /// Time that is added to the product of `stretch` and the critical path.
    pub base_time: Span,
    /// Set if the advice service decides which executors may run a step.
    pub advice: Option<AdvicePolicy>,
}

/// Durations of a request to the advice service, and how long its tickets are valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvicePolicy {
    /// Time that the service takes for each request.
    pub base_time: Span,
    /// Additional time for each executor in the request.
    pub time_per_executor: Span,
    /// Time for which a ticket is valid.
    pub validity: Span,
}

/// A pool of executors.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name that queues and executors refer to.
    pub name: PoolName,
    /// True if its executors refuse runs that do not fit.
    pub checks_admission: bool,
    /// True if the pool's machines are switched off, so that the pool gets no work.
    pub is_spare: bool,
}

/// Limits on the HTTP requests of submitters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Maximum size of the request line and headers.
    pub max_head: ByteSize,
    /// Maximum size of the body.
    pub max_body: ByteSize,
    /// Maximum time to receive the request line and headers.
    pub head_timeout: Span,
    /// Maximum time without a request on an open connection.
    pub idle_timeout: Span,
}

impl Configuration {
    /// Returns the queue of `host` with the longest prefix of `path`, and the rest of the path.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.iter().filter_map(|queue| {
            let rest = path.strip_prefix(queue.prefix.as_str())?;
            queue
                .host
                .eq_ignore_ascii_case(host)
                .then_some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// The priority of the most urgent queues; 0 without queues.
    pub fn most_urgent_priority(&self) -> u32 {
        let priorities = self.queues.iter().map(|queue| queue.rules.priority);
        priorities.min().unwrap_or_default()
    }

    /// True if the pool exists and is not spare, so that its executors may get work.
    pub fn is_pool_active(&self, name: &PoolName) -> bool {
        self.pools
            .iter()
            .any(|pool| pool.name == *name && !pool.is_spare)
    }
}
