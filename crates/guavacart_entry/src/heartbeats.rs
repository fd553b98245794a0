//! Sends and receives the heartbeats of entry instances over UDP.

use std::{net::UdpSocket, sync::Arc};

use flume::Sender;
use guavacart_config::Secret;
use guavacart_platform::Traffic;
use guavacart_scheduler::{
    Event,
    membership::{Heartbeat, MembershipEvent},
};
use guavacart_types::InstanceId;
use guavacart_wire::{open_datagram, seal_datagram};
use tracing::debug;

use crate::{listing::PeerAddresses, metrics::Metrics, reducer_thread::Input};

/// Size of the receive buffer; no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Sends sealed heartbeats from the peers' UDP socket.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatSender {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) addresses: PeerAddresses,
    pub(crate) key: Secret,
    pub(crate) traffic: Traffic,
}

impl HeartbeatSender {
    /// Sends a heartbeat.
    ///
    /// A failure is only logged, since any datagram may be lost. Sends nothing if the peer's
    /// address is not known.
    pub(crate) fn send(&self, to: &InstanceId, heartbeat: Heartbeat) {
        let Some(address) = self.addresses.get(to) else {
            return;
        };
        match seal_datagram(self.key.as_bytes(), to.as_str(), heartbeat) {
            Ok(datagram) => match self.socket.send_to(&datagram, address) {
                Ok(sent) => self.traffic.sent(sent),
                Err(err) => debug!(event = "heartbeat_unsent", to = %to, error = %err),
            },
            Err(err) => debug!(event = "heartbeat_unsent", to = %to, error = %err),
        }
    }
}

/// Receives heartbeats and passes the valid ones to the reducer, until the inbox closes.
pub(crate) fn receive(
    socket: &UdpSocket,
    me: &InstanceId,
    key: &Secret,
    metrics: &Metrics,
    traffic: &Traffic,
    inbox: &Sender<Input>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf) else {
            metrics.count("heartbeats.unreceived");
            continue;
        };
        traffic.received(len);
        let heartbeat = match open_datagram(key.as_bytes(), me.as_str(), &buf[..len]) {
            Ok(heartbeat) => heartbeat,
            Err(err) => {
                metrics.count("heartbeats.refused");
                debug!(event = "heartbeat_refused", from = %from, error = %err);
                continue;
            }
        };
        let heartbeat = MembershipEvent::Heartbeat(Box::new(heartbeat));
        let input = Input::Event(Event::Membership(heartbeat));
        if inbox.send(input).is_err() {
            return;
        }
    }
}
