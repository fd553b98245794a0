//! The load of peers as last reported, corrected by the requests forwarded to them since.

use std::collections::{BTreeMap, VecDeque};

use guavacart_config::Queueing;
use guavacart_types::{InstanceId, ServiceName, Span, TeamName, Timestamp};

use super::RequestHead;
use crate::{
    Cx,
    membership::{Load, ServiceLoad},
};

/// The load that one peer reported with outcomes, and the requests forwarded to the peer.
#[derive(Debug, Default)]
struct Peer {
    reported: Option<(Load, Timestamp)>,
    forwards: VecDeque<Forward>,
}

/// A request that was forwarded to a peer.
#[derive(Debug)]
struct Forward {
    at: Timestamp,
    service: ServiceName,
    team: TeamName,
}

/// Estimates the wait of requests that are forwarded to peers.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerLoads {
    /// Records a request that was forwarded to a peer.
    pub(super) fn sent(&mut self, to: &InstanceId, head: &RequestHead, now: Timestamp) {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.forwards.push_back(Forward {
            at: now,
            service: head.service.clone(),
            team: head.team.clone(),
        });
    }

    /// Records the load that a peer reported with the outcome of a forward.
    pub(super) fn reported(&mut self, from: &InstanceId, load: Load, now: Timestamp) {
        let peer = self.peers.entry(from.clone()).or_default();
        while peer
            .forwards
            .front()
            .is_some_and(|forward| forward.at < now)
        {
            peer.forwards.pop_front();
        }
        peer.reported = Some((load, now));
    }

    /// Returns how long a request that takes `service_time` would wait at a peer, or `None` if the
    /// peer has reported no slots for the service.
    pub(super) fn wait(
        &mut self,
        cx: &Cx<'_>,
        id: &InstanceId,
        head: &RequestHead,
        service_time: Span,
    ) -> Option<Span> {
        let peer = self.peers.entry(id.clone()).or_default();
        let from_heartbeat = cx.membership.peer_load(id);
        let from_outcome = peer.reported.as_ref().map(|(load, at)| (load, *at));
        let (load, at) = newest(from_heartbeat, from_outcome)?;
        while peer.forwards.front().is_some_and(|forward| forward.at < at) {
            peer.forwards.pop_front();
        }
        let mut entries = load.services.iter();
        let entry = entries.find(|entry| entry.service == head.service)?;
        if entry.slots == 0 {
            return None;
        }
        let forwards = peer.forwards.iter().filter(|s| s.service == head.service);
        let own = forwards.clone().filter(|s| s.team == head.team).count() as u64;
        let forwards = forwards.count() as u64;
        let free = u64::from(entry.free);
        if entry.queued == 0 && forwards < free {
            return Some(Span::ZERO);
        }
        let ahead = requests_ahead(cx, entry, head, own, forwards - own) + 1;
        let ahead = ahead.saturating_sub(free.min(forwards)).max(1);
        Some(Span(ahead * service_time.0 / u64::from(entry.slots) + 1))
    }

    /// Forgets the reported load of a peer and the requests forwarded to the peer.
    pub(super) fn forget(&mut self, id: &InstanceId) {
        self.peers.remove(id);
    }
}

fn newest<'a>(
    from_heartbeat: Option<(&'a Load, Timestamp)>,
    from_outcome: Option<(&'a Load, Timestamp)>,
) -> Option<(&'a Load, Timestamp)> {
    match (from_heartbeat, from_outcome) {
        (Some(h), Some(o)) => Some(if o.1 >= h.1 { o } else { h }),
        (h, o) => h.or(o),
    }
}

/// Returns how many requests are served before a new one at a peer, from the queue that the peer
/// reported and the requests forwarded since.
fn requests_ahead(
    cx: &Cx<'_>,
    entry: &ServiceLoad,
    head: &RequestHead,
    own_sent: u64,
    others_sent: u64,
) -> u64 {
    let service = cx.configuration.services.get(&head.service);
    if service.is_some_and(|service| service.queueing == Queueing::Fifo) {
        return u64::from(entry.queued) + own_sent + others_sent;
    }
    let weight = |team: &TeamName| {
        let team = cx.configuration.teams.get(team);
        u64::from(team.map_or(1, |team| team.weight.max(1)))
    };
    let is_own = |team: &TeamName| *team == head.team;
    let waiting = entry.teams.iter().find(|(team, _)| is_own(team));
    let own = waiting.map_or(0, |(_, n)| u64::from(*n)) + own_sent;
    let share = |team: &TeamName| (own + 1) * weight(team) / weight(&head.team);
    let others = entry.teams.iter().filter(|(team, _)| !is_own(team));
    let others = others.map(|(team, n)| u64::from(*n).min(share(team)));
    own + others.sum::<u64>() + others_sent.min(own + 1)
}
