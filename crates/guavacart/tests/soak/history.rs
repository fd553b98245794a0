//! The configurations that were written, and which of them an answer may rely on.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;

/// Prefixes of the routes; each configuration has some of them.
pub(crate) const PREFIXES: [&str; 6] = ["/p0/", "/p1/", "/p2/", "/p3/", "/p4/", "/p5/"];
/// Longest time from the acknowledgement of a change until it is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

struct Version {
    number: u64,
    prefixes: BTreeSet<&'static str>,
    sent: Instant,
    acknowledged: Option<Instant>,
}

/// One answered request.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) prefix: &'static str,
    pub(crate) status: u16,
    pub(crate) sent: Instant,
    pub(crate) answered: Instant,
    /// True if the answer must hold at some moment between the two times, without a delay.
    pub(crate) is_exact: bool,
    /// True if the node may not have reached the store lately.
    pub(crate) is_disturbed: bool,
}

/// All configurations of a run, in order.
pub(crate) struct History {
    versions: Mutex<Vec<Version>>,
    requests: AtomicU64,
    served: AtomicU64,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            versions: Mutex::default(),
            requests: AtomicU64::new(0),
            served: AtomicU64::new(0),
        }
    }

    /// Returns the first configuration, which has all routes.
    pub(crate) fn begin(&self) -> String {
        let text = self.next(PREFIXES.into_iter().collect());
        self.acknowledge();
        text
    }

    /// Returns the next configuration, which is about to be written.
    pub(crate) fn next(&self, prefixes: BTreeSet<&'static str>) -> String {
        let mut versions = self.versions.lock().expect("no panic");
        let number = versions
            .last()
            .map_or(1, |last| last.number + 1 + last.number % 3);
        let routes = prefixes.iter().map(|prefix| {
            json!({"name": format!("r-{}", prefix.trim_matches('/')), "host": "h.example",
                "prefix": prefix, "service": "pool", "max-attempts": 3, "stretch": 1.5})
        });
        let text = json!({"version": number, "routes": routes.collect::<Vec<_>>(),
            "services": [{"name": "pool"}]});
        versions.push(Version {
            number,
            prefixes,
            sent: Instant::now(),
            acknowledged: None,
        });
        text.to_string()
    }

    /// Records that the store has acknowledged the newest configuration.
    pub(crate) fn acknowledge(&self) {
        let mut versions = self.versions.lock().expect("no panic");
        if let Some(newest) = versions.last_mut() {
            newest.acknowledged = Some(Instant::now());
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.versions.lock().expect("no panic").len()
    }

    pub(crate) fn first_prefix(&self) -> &'static str {
        PREFIXES[0]
    }

    pub(crate) fn newest_has(&self, prefix: &str) -> bool {
        let versions = self.versions.lock().expect("no panic");
        versions
            .last()
            .is_some_and(|newest| newest.prefixes.contains(prefix))
    }

    pub(crate) fn counts(&self) -> (u64, u64) {
        (
            self.requests.load(Ordering::Relaxed),
            self.served.load(Ordering::Relaxed),
        )
    }

    /// Checks an answer against the versions from `oldest` on, the oldest that the process may still
    /// use. Returns the oldest that it may use after this answer: the first with the same outcome,
    /// since the owner may have stored a job under a newer one than the process knows.
    pub(crate) fn check(&self, answer: &Answer, oldest: usize) -> Result<usize, String> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let has_route = match answer.status {
            200 => true,
            404 => false,
            _ => return Ok(oldest),
        };
        self.served
            .fetch_add(u64::from(has_route), Ordering::Relaxed);
        // A queue that exists is answered for while the store cannot be read.
        let from = match (answer.is_exact, has_route && answer.is_disturbed) {
            (true, _) => Some(answer.sent),
            (false, true) => None,
            (false, false) => answer.sent.checked_sub(APPLY_TIME),
        };
        let versions = self.versions.lock().expect("no panic");
        let mut same = (oldest..versions.len()).filter(|index| {
            let version = &versions[*index];
            let is_known = version.sent <= answer.answered;
            is_known && version.prefixes.contains(answer.prefix) == has_route
        });
        let was_in_force = |index: usize| {
            let replaced = versions.get(index + 1).and_then(|next| next.acknowledged);
            replaced.is_none_or(|replaced| from.is_none_or(|from| replaced >= from))
        };
        let first = same.next();
        match first {
            Some(first) if was_in_force(first) || same.any(was_in_force) => Ok(first),
            _ => {
                let newest = versions.last().map(|newest| newest.number);
                Err(format!(
                    "no version explains {answer:?}; the newest is {newest:?}"
                ))
            }
        }
    }
}
