//! Watches that no instance goes back to a lower configuration.

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

/// How often each instance is asked.
const POLL: Duration = Duration::from_millis(250);
/// Longest wait for its answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Asks each instance for its configuration's number again and again.
#[derive(Debug, Default)]
pub(super) struct ConfigWatch {
    polls: Mutex<BTreeMap<SmolStr, JoinHandle<()>>>,
    reverted: Arc<AtomicU64>,
}

/// The part of an instance's status that is watched.
#[derive(Deserialize)]
struct Seen {
    config: u64,
}

impl ConfigWatch {
    /// Watches an instance at its own address.
    pub(super) fn add(&self, name: &str, address: SocketAddr) {
        let poll = tokio::spawn(poll(address, Arc::clone(&self.reverted)));
        if let Some(old) = lock(&self.polls).insert(name.into(), poll) {
            old.abort();
        }
    }

    /// Ends the watch of an instance.
    pub(super) fn remove(&self, name: &str) {
        if let Some(old) = lock(&self.polls).remove(name) {
            old.abort();
        }
    }

    /// How often a number was lower than the one before.
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
    let mut interval = tokio::time::interval(POLL);
    let mut last = 0;
    loop {
        interval.tick().await;
        let Some(number) = ask(address).await else {
            continue;
        };
        if number < last {
            reverted.fetch_add(1, Ordering::Relaxed);
        }
        last = last.max(number);
    }
}

async fn ask(address: SocketAddr) -> Option<u64> {
    let req = Request::get("/v1/status")
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, format!("Bearer {READER}"))
        .body(Full::<Bytes>::default())
        .ok()?;
    let res = client::call(address, req, TIMEOUT).await.ok()?;
    let seen: Seen = serde_json::from_slice(res.body()).ok()?;
    Some(seen.config)
}
