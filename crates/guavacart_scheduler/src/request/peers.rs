//! What peers have to spare, corrected by what was forwarded to them since.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{InstanceId, ServiceName, Span, Timestamp};

use crate::{
    Cx,
    membership::{Load, ServiceLoad},
};

/// What this instance itself knows of one peer.
#[derive(Debug, Default)]
struct Peer {
    told: Option<(Load, Timestamp)>,
    sent: VecDeque<(Timestamp, ServiceName)>,
}

/// Peers as far as forwards to them are concerned.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerLoads {
    /// Counts a forward.
    pub(super) fn sent(&mut self, to: &InstanceId, service: &ServiceName, now: Timestamp) {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.sent.push_back((now, service.clone()));
    }

    /// Takes the load that came with the outcome of a forward.
    pub(super) fn told(&mut self, from: &InstanceId, load: Load, now: Timestamp) {
        let peer = self.peers.entry(from.clone()).or_default();
        while peer.sent.front().is_some_and(|(at, _)| *at < now) {
            peer.sent.pop_front();
        }
        peer.told = Some((load, now));
    }

    /// How long a request that takes `cost` would wait at a peer; none if it serves none such.
    pub(super) fn wait(
        &mut self,
        cx: &Cx<'_>,
        id: &InstanceId,
        service: &ServiceName,
        cost: Span,
    ) -> Option<Span> {
        let peer = self.peers.entry(id.clone()).or_default();
        let heard = cx.membership.peer_load(id);
        let told = peer.told.as_ref().map(|(load, at)| (load, *at));
        let (load, at) = newest(heard, told)?;
        while peer.sent.front().is_some_and(|(sent, _)| *sent < at) {
            peer.sent.pop_front();
        }
        let entry = load.services.iter().find(|entry| entry.service == *service);
        let since = peer.sent.iter().filter(|(_, name)| name == service).count();
        estimate(entry?, since as u64, cost)
    }

    /// Forgets a peer.
    pub(super) fn forget(&mut self, id: &InstanceId) {
        self.peers.remove(id);
    }
}

fn newest<'a>(
    heard: Option<(&'a Load, Timestamp)>,
    told: Option<(&'a Load, Timestamp)>,
) -> Option<(&'a Load, Timestamp)> {
    match (heard, told) {
        (Some(h), Some(t)) => Some(if t.1 >= h.1 { t } else { h }),
        (h, t) => h.or(t),
    }
}

fn estimate(entry: &ServiceLoad, since: u64, cost: Span) -> Option<Span> {
    if entry.slots == 0 {
        return None;
    }
    let free = u64::from(entry.free);
    if entry.queued == 0 && since < free {
        return Some(Span::ZERO);
    }
    let before = u64::from(entry.queued) + since + 1 - free.min(since);
    Some(Span(before * cost.0 / u64::from(entry.slots) + 1))
}
