//! Checks that no instance goes back to a configuration with a lower number.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    header::{AUTHORIZATION, HOST},
};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::task::JoinHandle;

use super::READER;
use crate::{client, sync::lock};

/// Time between two polls of an instance.
const POLL_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls each instance for the number of its configuration.
#[derive(Debug, Default)]
pub(super) struct ConfigWatch {
    polls: Mutex<BTreeMap<SmolStr, JoinHandle<()>>>,
    reverted: Arc<AtomicU64>,
}

/// The part of an instance's status that is checked.
#[derive(Deserialize)]
struct Status {
    config: u64,
}

impl ConfigWatch {
    /// Starts to poll an instance at `address`, without a fault proxy.
    pub(super) fn add(&self, name: &str, address: SocketAddr) {
        let poll = tokio::spawn(poll(address, Arc::clone(&self.reverted)));
        if let Some(old) = lock(&self.polls).insert(name.into(), poll) {
            old.abort();
        }
    }

    /// Stops polling an instance.
    pub(super) fn remove(&self, name: &str) {
        if let Some(old) = lock(&self.polls).remove(name) {
            old.abort();
        }
    }

    /// Returns how often an instance's number was lower than an earlier one.
    pub(super) fn reverted(&self) -> u64 {
        self.reverted.load(Ordering::Relaxed)
    }
}

impl Drop for ConfigWatch {
    fn drop(&mut self) {
        for poll in lock(&self.polls).values() {
            poll.abort();
        }
    }
}

async fn poll(address: SocketAddr, reverted: Arc<AtomicU64>) {
    let mut interval = tokio::time::interval(POLL_PERIOD);
    let mut highest = 0;
    loop {
        interval.tick().await;
        let Some(number) = config_number(address).await else {
            continue;
        };
        if number < highest {
            reverted.fetch_add(1, Ordering::Relaxed);
        }
        highest = highest.max(number);
    }
}

async fn config_number(address: SocketAddr) -> Option<u64> {
    let req = Request::get("/v1/status")
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, format!("Bearer {READER}"))
        .body(Full::<Bytes>::default())
        .ok()?;
    let res = client::call(address, req, POLL_TIMEOUT).await.ok()?;
    let status: Status = serde_json::from_slice(res.body()).ok()?;
    Some(status.config)
}
