//! Configurations that change in series. The queue that clients use is in all of them.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};

use crate::{faults::Faults, fleet::POOL, submitter::PREFIX};

/// Queues besides the one that clients use.
const OTHER_QUEUES: std::ops::RangeInclusive<u64> = 2..=5;

/// Versions of the configuration.
#[derive(Default)]
pub(crate) struct Versions {
    last: AtomicU64,
}

impl Versions {
    /// Returns the next configuration, with the queues of these numbers besides the one in use.
    pub(crate) fn next(&self, others: &[u64]) -> String {
        let version = self.last.fetch_add(1, Ordering::SeqCst) + 1;
        let route = |name: String, prefix: &str| {
            json!({"name": name, "host": "h.example", "prefix": prefix, "service": POOL,
                "max-attempts": 3, "stretch": 1.5})
        };
        let mut routes: Vec<Value> = vec![route("r-1".to_owned(), PREFIX)];
        let others = others.iter();
        routes.extend(others.map(|number| route(format!("r-{number}"), &format!("/p{number}/"))));
        json!({"version": version, "routes": routes,
            "services": [{"name": POOL, "admission-check": false}]})
        .to_string()
    }
}

impl Faults {
    /// Writes a few configurations in quick succession.
    pub(crate) fn change_configuration(&self, rng: &mut StdRng) {
        for _ in 0..rng.random_range(1..5) {
            let others = OTHER_QUEUES.filter(|_| rng.random_bool(0.6));
            let others: Vec<u64> = others.collect();
            self.fleet.write_configuration(&self.versions.next(&others));
            thread::sleep(Duration::from_millis(rng.random_range(10..300)));
        }
    }
}
