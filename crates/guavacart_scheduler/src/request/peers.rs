//! What peers have to spare, corrected by what was forwarded to them since.

use std::collections::{BTreeMap, VecDeque};

use guavacart_config::Queueing;
use guavacart_types::{InstanceId, ServiceName, Span, TeamName, Timestamp};

use super::RequestHead;
use crate::{
    Cx,
    membership::{Load, ServiceLoad},
};

/// What this instance itself knows of one peer.
#[derive(Debug, Default)]
struct Peer {
    told: Option<(Load, Timestamp)>,
    sent: VecDeque<Sent>,
}

/// A forward.
#[derive(Debug)]
struct Sent {
    at: Timestamp,
    service: ServiceName,
    team: TeamName,
}

/// Peers as far as forwards to them are concerned.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerLoads {
    /// Counts a forward.
    pub(super) fn sent(&mut self, to: &InstanceId, head: &RequestHead, now: Timestamp) {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.sent.push_back(Sent {
            at: now,
            service: head.service.clone(),
            team: head.team.clone(),
        });
    }

    /// Takes the load that came with the outcome of a forward.
    pub(super) fn told(&mut self, from: &InstanceId, load: Load, now: Timestamp) {
        let peer = self.peers.entry(from.clone()).or_default();
        while peer.sent.front().is_some_and(|sent| sent.at < now) {
            peer.sent.pop_front();
        }
        peer.told = Some((load, now));
    }

    /// How long a request that takes `cost` would wait at a peer; none if it serves none such.
    pub(super) fn wait(
        &mut self,
        cx: &Cx<'_>,
        id: &InstanceId,
        head: &RequestHead,
        cost: Span,
    ) -> Option<Span> {
        let peer = self.peers.entry(id.clone()).or_default();
        let heard = cx.membership.peer_load(id);
        let told = peer.told.as_ref().map(|(load, at)| (load, *at));
        let (load, at) = newest(heard, told)?;
        while peer.sent.front().is_some_and(|sent| sent.at < at) {
            peer.sent.pop_front();
        }
        let mut entries = load.services.iter();
        let entry = entries.find(|entry| entry.service == head.service)?;
        if entry.slots == 0 {
            return None;
        }
        let since = peer.sent.iter().filter(|s| s.service == head.service);
        let own = since.clone().filter(|s| s.team == head.team).count() as u64;
        let since = since.count() as u64;
        let free = u64::from(entry.free);
        if entry.queued == 0 && since < free {
            return Some(Span::ZERO);
        }
        let before = before(cx, entry, head, own, since - own) + 1;
        let before = before.saturating_sub(free.min(since)).max(1);
        Some(Span(before * cost.0 / u64::from(entry.slots) + 1))
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

/// Requests that go before a new one at a peer, by those that wait there and those sent since.
fn before(
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
