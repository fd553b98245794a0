//! What endpoints truly ran, by request id.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use smol_str::SmolStr;

use crate::{clock::now_us, sync::lock};

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Where.
    pub endpoint: SmolStr,
    /// Start, in microseconds of the lab's clock.
    pub start_us: u64,
    /// End, if it ended.
    pub end_us: Option<u64>,
}

/// What endpoints saw that no endpoint should see.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// Requests that came while all slots were taken.
    pub slots_exceeded: u64,
    /// Connections beyond the cap.
    pub connections_exceeded: u64,
    /// Runs that started too long after the announcement to leave.
    pub late_new_work: u64,
    /// Runs in all.
    pub runs: u64,
    /// Most runs at once at one endpoint.
    pub peak_busy: u32,
}

/// The ledger that all endpoints write.
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
    /// A request starts; the number names this run among those of the id.
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

    /// A run ends.
    pub fn end(&self, id: &SmolStr, run: usize) {
        let mut inner = lock(&self.inner);
        if let Some(run) = inner.runs.get_mut(id).and_then(|runs| runs.get_mut(run)) {
            run.end_us = Some(now_us());
        }
    }

    /// Changes the counts.
    pub fn count(&self, change: impl FnOnce(&mut EndpointCounts)) {
        change(&mut lock(&self.inner).counts);
    }

    /// The counts so far.
    pub fn counts(&self) -> EndpointCounts {
        lock(&self.inner).counts
    }

    /// The runs of a request, in order of their start.
    pub fn runs(&self, id: &str) -> Vec<RequestRun> {
        lock(&self.inner).runs.get(id).cloned().unwrap_or_default()
    }

    /// When each endpoint started its runs, in no order.
    pub fn starts(&self) -> HashMap<SmolStr, Vec<u64>> {
        let mut starts: HashMap<SmolStr, Vec<u64>> = HashMap::new();
        for run in lock(&self.inner).runs.values().flatten() {
            let endpoint = starts.entry(run.endpoint.clone()).or_default();
            endpoint.push(run.start_us);
        }
        starts
    }
}
