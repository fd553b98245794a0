//! Counts the calls of the store and how it answers them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use guavacart_platform::store::{Entry, Store, StoreError, Swapped, Versioned};
use guavacart_types::{Revision, Timestamp};
use serde::Serialize;

use crate::{clock::Clock, rate::Rate};

/// Kinds of the store's calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoreCall {
    /// Read of a key.
    Get,
    /// Conditional write.
    Put,
    /// Conditional delete.
    Delete,
    /// Keys and values below a prefix.
    Range,
    /// Wait for a change.
    Watch,
}

/// A store whose calls are counted; clones count together.
#[derive(Clone, Debug)]
pub(crate) struct CountedStore<S> {
    store: S,
    health: StoreHealth,
}

/// How the store answered so far.
#[derive(Clone, Debug)]
pub(crate) struct StoreHealth {
    clock: Clock,
    record: Arc<Mutex<Record>>,
}

#[derive(Debug, Default)]
struct Record {
    answered_at: Option<Timestamp>,
    failures_in_a_row: u32,
    calls: BTreeMap<StoreCall, Rate>,
}

/// The store as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StoreStatus {
    /// Milliseconds since its last whole answer; absent before the first.
    answered_ms: Option<u64>,
    /// Calls without a whole answer since then.
    failures_in_a_row: u32,
    calls: Vec<CallsStatus>,
}

/// Calls of one kind.
#[derive(Clone, Debug, Serialize)]
struct CallsStatus {
    kind: StoreCall,
    total: u64,
    /// Mean of the last whole seconds that [`Rate`] keeps.
    per_second: f64,
}

impl StoreHealth {
    pub(crate) fn new(clock: Clock) -> Self {
        let record = Arc::default();
        Self { clock, record }
    }

    /// What is known at `now`.
    pub(crate) fn status(&self, now: Timestamp) -> StoreStatus {
        let record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = record.calls.iter();
        StoreStatus {
            answered_ms: record.answered_at.map(|at| now.since(at).0),
            failures_in_a_row: record.failures_in_a_row,
            calls: calls
                .map(|(kind, rate)| CallsStatus {
                    kind: *kind,
                    total: rate.total(),
                    per_second: rate.per_second(now),
                })
                .collect(),
        }
    }

    fn called(&self, kind: StoreCall) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record
            .calls
            .entry(kind)
            .or_default()
            .count(self.clock.now());
    }

    fn ended<T>(&self, result: &Result<T, StoreError>) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            // A value that is too large is refused before or by a store that answers.
            Ok(_) | Err(StoreError::TooLarge { .. }) => {
                record.answered_at = Some(self.clock.now());
                record.failures_in_a_row = 0;
            }
            Err(StoreError::Unavailable { .. } | StoreError::Unknown { .. }) => {
                record.failures_in_a_row = record.failures_in_a_row.saturating_add(1);
            }
        }
    }
}

impl<S: Store> CountedStore<S> {
    pub(crate) fn new(store: S, health: StoreHealth) -> Self {
        Self { store, health }
    }

    fn counted<T>(
        &self,
        kind: StoreCall,
        call: impl FnOnce(&S) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.health.called(kind);
        let result = call(&self.store);
        self.health.ended(&result);
        result
    }
}

impl<S: Store> Store for CountedStore<S> {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.counted(StoreCall::Get, |store| store.get(key))
    }

    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<Swapped, StoreError> {
        self.counted(StoreCall::Put, |store| store.put(key, value, expect))
    }

    fn delete(&self, key: &str, expect: Revision) -> Result<Swapped, StoreError> {
        self.counted(StoreCall::Delete, |store| store.delete(key, expect))
    }

    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError> {
        self.counted(StoreCall::Range, |store| store.range(prefix, after, limit))
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.counted(StoreCall::Watch, |store| store.watch(key, after, wait))
    }
}
