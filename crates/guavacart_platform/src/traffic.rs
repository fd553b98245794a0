//! Counters of the bytes sent and received by a client.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Counts the bytes that a client or channel has sent and received.
///
/// Bytes of HTTP start lines and headers are counted, those of TCP, UDP and IP headers are not. Clones
/// share their counters.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Adds `bytes` to the bytes sent.
    pub fn sent(&self, bytes: usize) {
        self.0.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds `bytes` to the bytes received.
    pub fn received(&self, bytes: usize) {
        self.0.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent and the bytes received so far.
    pub fn bytes(&self) -> (u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.0.sent), load(&self.0.received))
    }
}
