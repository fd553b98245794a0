//! The history of pressure on each worker, so that a delayed report is matched with the tasks that ran
//! when it was measured.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    iter::Sum,
};

use guavacart_types::{BatchClass, Span, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};

/// Greatest age of a report that can be matched.
const HISTORY_SPAN: Span = Span::secs(30);
/// Time that a report covers, up to the time that it describes.
const REPORT_SPAN: Span = Span::secs(1);
/// Least duration of a pressure that shows in a report.
const MIN_SPAN: Span = Span::millis(50);
/// Most changes of pressure that are kept for one worker.
const MAX_ENTRIES: usize = 256;

/// Processors that tasks keep busy, in thousandths of the worker's processors.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Pressure(pub u32);

impl Pressure {
    /// Returns the pressure as a share of the worker's processors.
    pub(super) fn share(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl Sum for Pressure {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        Self(iter.fold(0, |sum, p| sum.saturating_add(p.0)))
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}‰", self.0)
    }
}

/// The pressure of each class on one worker.
pub type Pressures = BTreeMap<BatchClass, Pressure>;

/// The changes of pressure on each worker, oldest first.
#[derive(Debug, Default)]
pub(super) struct History {
    workers: BTreeMap<WorkerId, VecDeque<(Timestamp, Pressures)>>,
}

impl History {
    pub(super) fn record_pressure(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: &BatchClass,
        pressure: Pressure,
    ) {
        let entries = self.workers.entry(worker.clone()).or_default();
        let mut next = entries.back().map(|(_, p)| p.clone()).unwrap_or_default();
        let before = next.insert(class.clone(), pressure);
        if before.unwrap_or_default() == pressure {
            return;
        }
        next.retain(|_, pressure| *pressure > Pressure::default());
        match entries.back_mut() {
            Some((at, last)) if *at == now => *last = next,
            _ => entries.push_back((now, next)),
        }
        prune(now, entries);
    }

    /// Returns the pressures on `worker` in the [`REPORT_SPAN`] before `at` that lasted long enough to be
    /// measured; empty if the history no longer reaches back that far.
    pub(super) fn during(&self, worker: &WorkerId, at: Timestamp) -> Vec<Pressures> {
        let none = VecDeque::new();
        let entries = self.workers.get(worker).unwrap_or(&none);
        let from = at - REPORT_SPAN;
        let oldest = entries.front().is_some_and(|(since, _)| *since > from);
        if oldest && entries.len() >= MAX_ENTRIES {
            return Vec::new();
        }
        let idle = oldest || entries.is_empty();
        let mut seen: Vec<Pressures> = idle.then(Pressures::default).into_iter().collect();
        for (i, (since, pressures)) in entries.iter().enumerate() {
            let until = entries.get(i + 1).map_or(at, |(next, _)| (*next).min(at));
            let duration = until.since((*since).max(from));
            if *since <= at && (duration >= MIN_SPAN || until == at) {
                seen.push(pressures.clone());
            }
        }
        seen
    }

    /// Returns the current pressures on `worker`.
    pub(super) fn current(&self, worker: &WorkerId) -> Option<&Pressures> {
        let last = self.workers.get(worker).and_then(VecDeque::back)?;
        Some(&last.1)
    }

    /// True if tasks of `class` run on `worker` now.
    pub(super) fn is_running(&self, worker: &WorkerId, class: &BatchClass) -> bool {
        let current = self.current(worker);
        current.is_some_and(|pressures| pressures.contains_key(class))
    }

    /// Drops workers that are not among `listed`.
    pub(super) fn retain<T>(&mut self, listed: &BTreeMap<WorkerId, T>) {
        self.workers.retain(|worker, _| listed.contains_key(worker));
    }
}

/// Drops entries that ended more than [`HISTORY_SPAN`] ago, and the oldest beyond [`MAX_ENTRIES`].
fn prune(now: Timestamp, entries: &mut VecDeque<(Timestamp, Pressures)>) {
    let start = now - HISTORY_SPAN;
    while entries.len() > MAX_ENTRIES || entries.get(1).is_some_and(|(at, _)| *at <= start) {
        entries.pop_front();
    }
}
