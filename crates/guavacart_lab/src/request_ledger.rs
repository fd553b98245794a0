//! Ledger of the requests that stand-in endpoints ran, by request id.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use smol_str::SmolStr;

use crate::{clock::now_us, sync::lock};

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Endpoint that ran the request.
    pub endpoint: SmolStr,
    /// Start, in microseconds of the lab's clock.
    pub start_us: u64,
    /// End, in microseconds of the lab's clock; `None` while the run lasts.
    pub end_us: Option<u64>,
}

/// Totals of all endpoints: violations of their limits, and their load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// Requests that arrived while all slots were occupied.
    pub slots_exceeded: u64,
    /// Connections beyond the limit of an endpoint.
    pub connections_exceeded: u64,
    /// Runs that started after the grace period of a leaving endpoint.
    pub late_new_work: u64,
    /// All runs.
    pub runs: u64,
    /// Highest number of simultaneous runs at one endpoint.
    pub peak_busy: u32,
}

/// Ledger shared by all endpoints of a run.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: HashMap<SmolStr, Vec<RequestRun>>,
    counts: EndpointCounts,
}

impl RequestLedger {
    /// Records the start of a run and returns its index among the runs of `id`; `busy` is the
    /// number of runs at the endpoint, with this one.
    pub fn start(&self, id: &SmolStr, endpoint: &SmolStr, busy: u32) -> usize {
        let mut inner = lock(&self.inner);
        inner.counts.runs += 1;
        inner.counts.peak_busy = inner.counts.peak_busy.max(busy);
        let runs = inner.runs.entry(id.clone()).or_default();
        runs.push(RequestRun {
            endpoint: endpoint.clone(),
            start_us: now_us(),
            end_us: None,
        });
        runs.len() - 1
    }

    /// Records the end of run `run` of request `id`.
    pub fn end(&self, id: &SmolStr, run: usize) {
        let mut inner = lock(&self.inner);
        if let Some(run) = inner.runs.get_mut(id).and_then(|runs| runs.get_mut(run)) {
            run.end_us = Some(now_us());
        }
    }

    /// Changes the totals.
    pub fn update_counts(&self, change: impl FnOnce(&mut EndpointCounts)) {
        change(&mut lock(&self.inner).counts);
    }

    /// Returns the totals so far.
    pub fn counts(&self) -> EndpointCounts {
        lock(&self.inner).counts
    }

    /// Returns the runs of a request, in order of their start.
    pub fn runs(&self, id: &str) -> Vec<RequestRun> {
        lock(&self.inner).runs.get(id).cloned().unwrap_or_default()
    }

    /// Returns the start times of each endpoint's runs in microseconds of the lab's clock, in no
    /// particular order.
    pub fn starts(&self) -> HashMap<SmolStr, Vec<u64>> {
        let mut starts: HashMap<SmolStr, Vec<u64>> = HashMap::new();
        for run in lock(&self.inner).runs.values().flatten() {
            let endpoint = starts.entry(run.endpoint.clone()).or_default();
            endpoint.push(run.start_us);
        }
        starts
    }
}
