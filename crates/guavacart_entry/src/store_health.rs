//! Counts the calls made to the platform's store and tracks whether it answers them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use guavacart_platform::store::{Entry, Store, StoreError, Versioned, WriteResult};
use guavacart_types::{Revision, Timestamp};
use serde::Serialize;

use crate::{clock::Clock, rate::Rate};

/// The kinds of store calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoreCall {
    /// Reads one key.
    Get,
    /// Writes a key if it is at the expected revision.
    Put,
    /// Deletes a key if it is at the expected revision.
    Delete,
    /// Reads the keys and values under a prefix.
    Range,
    /// Waits until a key changes.
    Watch,
}

/// A store whose calls are counted; clones share the counters.
#[derive(Clone, Debug)]
pub(crate) struct CountedStore<S> {
    store: S,
    health: StoreHealth,
}

/// The results of the store calls since the process started; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct StoreHealth {
    clock: Clock,
    stats: Arc<Mutex<StoreStats>>,
}

#[derive(Debug, Default)]
struct StoreStats {
    /// When the store last gave a complete answer.
    answered_at: Option<Timestamp>,
    failures_in_a_row: u32,
    calls: BTreeMap<StoreCall, Rate>,
}

/// The store's health as seen by this instance.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StoreStatus {
    /// Milliseconds since the store's last complete answer; absent before the first.
    answered_ms: Option<u64>,
    /// Calls without a complete answer since then.
    failures_in_a_row: u32,
    calls: Vec<CallStats>,
}

/// Counters of one kind of call.
#[derive(Clone, Debug, Serialize)]
struct CallStats {
    kind: StoreCall,
    total: u64,
    /// Mean rate over the window of [`Rate`].
    per_second: f64,
}

impl StoreHealth {
    pub(crate) fn new(clock: Clock) -> Self {
        let stats = Arc::default();
        Self { clock, stats }
    }

    /// Returns the store's status at `now`.
    pub(crate) fn status(&self, now: Timestamp) -> StoreStatus {
        let stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = stats.calls.iter();
        StoreStatus {
            answered_ms: stats.answered_at.map(|at| now.since(at).0),
            failures_in_a_row: stats.failures_in_a_row,
            calls: calls
                .map(|(kind, rate)| CallStats {
                    kind: *kind,
                    total: rate.total(),
                    per_second: rate.per_second(now),
                })
                .collect(),
        }
    }

    /// Counts a call that is about to be made.
    fn record_call(&self, kind: StoreCall) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.calls.entry(kind).or_default().count(self.clock.now());
    }

    /// Records whether the store answered a call.
    fn record_result<T>(&self, result: &Result<T, StoreError>) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            // Does not count as a failure of the store: either the client refused the value before
            // the call, or the store answered.
            Ok(_) | Err(StoreError::TooLarge { .. }) => {
                stats.answered_at = Some(self.clock.now());
                stats.failures_in_a_row = 0;
            }
            Err(StoreError::Unavailable { .. } | StoreError::Unknown { .. }) => {
                stats.failures_in_a_row = stats.failures_in_a_row.saturating_add(1);
            }
        }
    }
}

impl<S: Store> CountedStore<S> {
    pub(crate) fn new(store: S, health: StoreHealth) -> Self {
        Self { store, health }
    }

    /// Makes a call and records the call and its result.
    fn count_call<T>(
        &self,
        kind: StoreCall,
        call: impl FnOnce(&S) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.health.record_call(kind);
        let result = call(&self.store);
        self.health.record_result(&result);
        result
    }
}

impl<S: Store> Store for CountedStore<S> {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.count_call(StoreCall::Get, |store| store.get(key))
    }

    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<WriteResult, StoreError> {
        self.count_call(StoreCall::Put, |store| store.put(key, value, expect))
    }

    fn delete(&self, key: &str, expect: Revision) -> Result<WriteResult, StoreError> {
        self.count_call(StoreCall::Delete, |store| store.delete(key, expect))
    }

    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError> {
        self.count_call(StoreCall::Range, |store| store.range(prefix, after, limit))
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.count_call(StoreCall::Watch, |store| store.watch(key, after, wait))
    }
}
