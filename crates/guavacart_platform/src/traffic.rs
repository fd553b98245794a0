//! Counts the bytes that a channel carries.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Bytes that a channel has carried, heads of HTTP messages included, TCP, UDP and IP not.
///
/// Clones count together.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Counts bytes that were sent.
    pub fn sent(&self, bytes: usize) {
        self.0.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that were received.
    pub fn received(&self, bytes: usize) {
        self.0.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes sent and bytes received so far.
    pub fn bytes(&self) -> (u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.0.sent), load(&self.0.received))
    }
}
