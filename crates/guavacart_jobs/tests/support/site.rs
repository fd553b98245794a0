//! Configuration and bounds of the deployment in the tests.

use guavacart_jobs::{Bounds, Configuration, HttpLimits, Pool, Queue, QueueRules};
use guavacart_types::{ByteSize, Span};

/// Longest lease that the executors grant.
pub(crate) const MAX_LEASE_MS: u64 = 6_000;

pub(crate) fn rules() -> QueueRules {
    QueueRules {
        pool: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target: Span(500),
        advice: None,
    }
}

pub(crate) fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            rules: rules(),
        }],
        pools: vec![Pool {
            name: "pool".into(),
            checks_admission: false,
            is_spare: false,
        }],
        limits: HttpLimits {
            head: ByteSize::kib(16),
            body: ByteSize::kib(256),
            head_timeout: Span::secs(3),
            idle_timeout: Span::secs(15),
        },
    }
}

pub(crate) fn bounds() -> Bounds {
    Bounds {
        max_lease: Span(MAX_LEASE_MS),
        retention: Span::secs(600),
        harm: Span::secs(4),
        upkeep: Span::secs(2),
    }
}
