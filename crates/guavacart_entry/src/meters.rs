//! What this instance's control channels have carried, and how the store answers.

use guavacart_platform::Traffic;
use guavacart_types::Timestamp;
use serde::Serialize;

use crate::store_health::{StoreHealth, StoreStatus};

/// The meters of one instance; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    pub(crate) store_health: StoreHealth,
    pub(crate) heartbeats: Traffic,
    pub(crate) links: Traffic,
    pub(crate) store: Traffic,
    pub(crate) list: Traffic,
    pub(crate) workers: Traffic,
}

/// Bytes that one channel has carried since the start.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ChannelStatus {
    channel: &'static str,
    sent_bytes: u64,
    received_bytes: u64,
}

impl Meters {
    pub(crate) fn store_status(&self, now: Timestamp) -> StoreStatus {
        self.store_health.status(now)
    }

    /// The channels, in a fixed order.
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
