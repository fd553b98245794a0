//! What each peer last reported, and when.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{ConfigNumber, DataCentre, InstanceId, Span, Timestamp, ViewNumber};

use super::{
    HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT,
    delegation::Delegation,
    heartbeat::{Echo, Heartbeat, Load},
    view::{Member, View},
};
use crate::directory::Directory;

/// Longest time between two heartbeats received from a healthy peer: one lost, the next 100 ms late.
const TIMELY_SPAN: Span = Span::millis(HEARTBEAT_INTERVAL.0 * 2 + 100);
/// Longest time until the instance list shows an instance that has started.
const LIST_LAG: Span = Span::secs(10);

/// The last heartbeat received from a peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) data_centre: DataCentre,
    pub(super) received_at: Timestamp,
    pub(super) view_number: ViewNumber,
    pub(super) confirming: bool,
    pub(super) leaving: bool,
    pub(super) reachable: Vec<Member>,
    sent_at: Timestamp,
    config: ConfigNumber,
    load: Load,
}

/// All peers: those that have sent heartbeats and those that are only listed or in a view.
#[derive(Debug)]
pub(super) struct Peers {
    me: Member,
    by_id: BTreeMap<InstanceId, Peer>,
    listed: BTreeSet<InstanceId>,
    /// When the instance list was last read.
    list_read_at: Option<Timestamp>,
    last_sent: BTreeMap<InstanceId, Timestamp>,
    /// When each member of an adopted view was first seen in one. Counts as the member's last contact
    /// until a heartbeat arrives.
    known_since: BTreeMap<Member, Timestamp>,
    /// The delegations made by members of the view and its open earlier views. Kept after a member has
    /// ended, because others still act by its delegation.
    delegations: BTreeMap<Member, Delegation>,
}

impl Peers {
    pub(super) fn new(me: Member) -> Self {
        Self {
            me,
            by_id: BTreeMap::new(),
            listed: BTreeSet::new(),
            list_read_at: None,
            last_sent: BTreeMap::new(),
            known_since: BTreeMap::new(),
            delegations: BTreeMap::new(),
        }
    }

    pub(super) fn apply_listing(&mut self, now: Timestamp, directory: &Directory) {
        self.listed = directory.entries.keys().cloned().collect();
        self.list_read_at = Some(now);
    }

    /// Notes the members of an adopted view and its open earlier views, and drops all others.
    pub(super) fn adopt_view(&mut self, now: Timestamp, view: &View) {
        let earlier = view.open.iter().flat_map(|e| &e.members);
        let named: BTreeSet<&Member> = view
            .members
            .iter()
            .chain(earlier)
            .map(|m| &m.member)
            .collect();
        self.known_since.retain(|member, _| named.contains(member));
        self.delegations.retain(|member, _| named.contains(member));
        for member in named {
            self.known_since.entry(member.clone()).or_insert(now);
        }
    }

    /// Applies a heartbeat, unless a later one or one of a later incarnation was received before.
    ///
    /// True if the peer's view, incarnation or delegation differs from the one last reported.
    pub(super) fn apply_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> bool {
        let id = heartbeat.from.id.clone();
        let order = (heartbeat.from.incarnation, heartbeat.sent_at);
        let stale = self
            .by_id
            .get(&id)
            .is_some_and(|peer| (peer.member.incarnation, peer.sent_at) >= order);
        if stale {
            return false;
        }
        let delegated = self.note_delegation(&heartbeat);
        let peer = Peer {
            member: heartbeat.from,
            data_centre: heartbeat.data_centre,
            received_at: now,
            view_number: heartbeat.view_number,
            confirming: heartbeat.confirming,
            leaving: heartbeat.leaving,
            reachable: heartbeat.reachable,
            sent_at: heartbeat.sent_at,
            config: heartbeat.config,
            load: heartbeat.load,
        };
        let changed = self.by_id.get(&id).is_none_or(|before| {
            before.member != peer.member || before.view_number != peer.view_number
        });
        self.by_id.insert(id, peer);
        changed || delegated
    }

    /// Records the sender's delegation; true if it is new or has changed.
    fn note_delegation(&mut self, heartbeat: &Heartbeat) -> bool {
        let Some(delegation) = &heartbeat.delegation else {
            return false;
        };
        let from = heartbeat.from.clone();
        let before = self.delegations.insert(from, delegation.clone());
        before.as_ref() != Some(delegation)
    }

    pub(super) fn get(&self, id: &InstanceId) -> Option<&Peer> {
        self.by_id.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_id.values()
    }

    pub(super) fn is_reachable(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|peer| now.since(peer.received_at) < HEARTBEAT_TIMEOUT)
    }

    /// True if a heartbeat of this incarnation was received within [`HEARTBEAT_TIMEOUT`].
    pub(super) fn is_incarnation_reachable(&self, member: &Member, now: Timestamp) -> bool {
        self.peer_of_incarnation(member)
            .is_some_and(|peer| now.since(peer.received_at) < HEARTBEAT_TIMEOUT)
    }

    /// True if at most one heartbeat of the peer is overdue.
    pub(super) fn is_timely(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|peer| now.since(peer.received_at) < TIMELY_SPAN)
    }

    /// True if the platform no longer lists `member`.
    ///
    /// False if the list may have been made before the member started.
    pub(super) fn is_delisted(&self, member: &Member) -> bool {
        let Some((list_read_at, known_since)) = self.list_read_at.zip(self.known_since.get(member))
        else {
            return false;
        };
        !self.listed.contains(&member.id) && list_read_at.since(*known_since) > LIST_LAG
    }

    /// Returns when the last heartbeat of `member` was received, or when the member was first seen in a
    /// view if none was.
    pub(super) fn last_contact(&self, member: &Member) -> Option<Timestamp> {
        match self.by_id.get(&member.id) {
            Some(peer) if peer.member == *member => Some(peer.received_at),
            _ => self.known_since.get(member).copied(),
        }
    }

    /// True if a heartbeat of `member` was received within [`HEARTBEAT_TIMEOUT`], or the member was
    /// first seen in a view within that time.
    pub(super) fn is_presumed_alive(&self, member: &Member, now: Timestamp) -> bool {
        let since = self.last_contact(member);
        since.is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT)
    }

    /// Returns the members that are presumed alive, in order of id.
    pub(super) fn reachable_members(&self, now: Timestamp) -> Vec<Member> {
        let received = self.by_id.values().map(|peer| &peer.member);
        let known: BTreeSet<&Member> = received.chain(self.known_since.keys()).collect();
        let present = known
            .into_iter()
            .filter(|m| **m != self.me && self.is_presumed_alive(m, now));
        present.cloned().collect()
    }

    /// True if a later incarnation of the instance is known, so that `member` has ended.
    pub(super) fn is_superseded(&self, member: &Member) -> bool {
        if member.id == self.me.id {
            return self.me.incarnation > member.incarnation;
        }
        self.by_id
            .get(&member.id)
            .is_some_and(|peer| peer.member.incarnation > member.incarnation)
    }

    /// True if `member` is known to no longer confirm the view `number`.
    pub(super) fn has_stopped_confirming(&self, member: &Member, number: ViewNumber) -> bool {
        self.has_reported_later_view(member, number) || self.is_superseded(member)
    }

    /// True if `member` itself has reported a later view than `number`.
    ///
    /// A later incarnation does not count: this instance may not know what `member` delegated before
    /// it ended.
    pub(super) fn has_reported_later_view(&self, member: &Member, number: ViewNumber) -> bool {
        let peer = self.peer_of_incarnation(member);
        peer.is_some_and(|peer| peer.view_number > number)
    }

    /// Returns the delegation that `member` announced.
    pub(super) fn delegation(&self, member: &Member) -> Option<&Delegation> {
        self.delegations.get(member)
    }

    /// True if `member` can act for another member in the view `number`.
    pub(super) fn can_accept_delegation(
        &self,
        member: &Member,
        number: ViewNumber,
        now: Timestamp,
    ) -> bool {
        let peer = self.peer_of_incarnation(member);
        let is_able = peer.is_some_and(|p| p.confirming && !p.leaving && p.view_number == number);
        is_able && self.is_reachable(&member.id, now)
    }

    fn peer_of_incarnation(&self, member: &Member) -> Option<&Peer> {
        let peer = self.by_id.get(&member.id)?;
        (peer.member == *member).then_some(peer)
    }

    pub(super) fn view_number(&self, id: &InstanceId) -> Option<ViewNumber> {
        self.by_id.get(id).map(|peer| peer.view_number)
    }

    pub(super) fn echo(&self, id: &InstanceId) -> Option<Echo> {
        self.by_id.get(id).map(|peer| Echo {
            incarnation: peer.member.incarnation,
            sent_at: peer.sent_at,
        })
    }

    pub(super) fn load(&self, id: &InstanceId) -> Option<(&Load, Timestamp)> {
        self.by_id
            .get(id)
            .map(|peer| (&peer.load, peer.received_at))
    }

    pub(super) fn newest_config(&self) -> Option<(InstanceId, ConfigNumber)> {
        let newest = self.by_id.values().max_by_key(|peer| peer.config)?;
        Some((newest.member.id.clone(), newest.config))
    }

    pub(super) fn configs(&self, now: Timestamp) -> Vec<(InstanceId, ConfigNumber)> {
        let live = self
            .by_id
            .values()
            .filter(|peer| now.since(peer.received_at) < HEARTBEAT_TIMEOUT);
        live.map(|peer| (peer.member.id.clone(), peer.config))
            .collect()
    }

    /// Returns the listed peers and view members to which a heartbeat is due, or all of them if
    /// `at_once`.
    pub(super) fn heartbeat_targets(
        &self,
        now: Timestamp,
        at_once: bool,
        view: &View,
        me: &InstanceId,
    ) -> Vec<InstanceId> {
        let members = view.members.iter().map(|m| &m.member.id);
        let all: BTreeSet<&InstanceId> = self.listed.iter().chain(members).collect();
        let is_due = |id: &InstanceId| {
            let last = self.last_sent.get(id);
            at_once || last.is_none_or(|at| now.since(*at) >= HEARTBEAT_INTERVAL)
        };
        all.into_iter()
            .filter(|id| *id != me && is_due(id))
            .cloned()
            .collect()
    }

    /// True if a peer with an outdated view may be sent the newer one now: no heartbeat went to it within
    /// the last tick.
    pub(super) fn is_correction_due(&self, id: &InstanceId, now: Timestamp) -> bool {
        let last = self.last_sent.get(id);
        last.is_none_or(|at| now.since(*at) >= super::MAX_TICK_INTERVAL)
    }

    pub(super) fn record_sent(&mut self, id: &InstanceId, now: Timestamp) {
        self.last_sent.insert(id.clone(), now);
    }
}
