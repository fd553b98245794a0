//! Counters shown in the instance's status: bytes per control channel and the store's health.

use guavacart_platform::Traffic;
use guavacart_types::Timestamp;
use serde::Serialize;

use crate::store_health::{StoreHealth, StoreStatus};

/// The counters of one instance; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct StatusCounters {
    pub(crate) store_health: StoreHealth,
    pub(crate) heartbeats: Traffic,
    pub(crate) links: Traffic,
    pub(crate) store: Traffic,
    pub(crate) list: Traffic,
    pub(crate) workers: Traffic,
}

/// Bytes sent and received on one control channel since the process started.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ChannelStatus {
    channel: &'static str,
    sent_bytes: u64,
    received_bytes: u64,
}

impl StatusCounters {
    pub(crate) fn store_status(&self, now: Timestamp) -> StoreStatus {
        self.store_health.status(now)
    }

    /// Returns the byte counts of all channels, in a fixed order.
    pub(crate) fn channels(&self) -> Vec<ChannelStatus> {
        let channels = [
            ("heartbeats", &self.heartbeats),
            ("links", &self.links),
            ("store", &self.store),
            ("list", &self.list),
            ("workers", &self.workers),
        ];
        let status = |(channel, traffic): (&'static str, &Traffic)| {
            let (sent_bytes, received_bytes) = traffic.bytes();
            ChannelStatus {
                channel,
                sent_bytes,
                received_bytes,
            }
        };
        channels.map(status).into()
    }
}
