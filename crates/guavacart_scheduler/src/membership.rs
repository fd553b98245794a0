//! The members of the deployment, the owner of each key, and the ownership lease.
//!
//! A view is the membership configuration under one number. The store holds the newest one, and every
//! change increments the number. Each key has one owner in a view, found by rendezvous hashing. An
//! owner may act only while it has a quorum lease: its members or the store have confirmed within
//! [`OWNERSHIP_LEASE_SPAN`] that the view is unchanged.

mod closed_views;
mod delegation;
mod heartbeat;
mod lease;
mod peers;
mod proposal;
mod view;

use guavacart_types::{
    ConfigNumber, DataCentre, InstanceId, Revision, Span, Timestamp, ViewNumber,
};
use serde::{Deserialize, Serialize};

use self::{
    closed_views::ClosedViews, delegation::OwnDelegation, lease::OwnershipLease, peers::Peers,
};
pub use self::{
    delegation::Delegation,
    heartbeat::{Echo, Heartbeat, Load, ServiceLoad},
    view::{EarlierView, Member, View, ViewMember},
};
use crate::{Effect, Start, directory::Directory};

/// Longest time between two ticks.
pub const MAX_TICK_INTERVAL: Span = Span::millis(50);
/// Time between two heartbeats to one peer.
pub const HEARTBEAT_INTERVAL: Span = Span::millis(400);
/// How long an owner may act after the request that confirmed that the view is unchanged.
pub const OWNERSHIP_LEASE_SPAN: Span = Span::secs(3);
/// Allowance for clocks that run at different rates. A new owner adds it to
/// [`OWNERSHIP_LEASE_SPAN`] when it waits for the lease of an earlier owner to expire.
pub const CLOCK_DRIFT_MARGIN: Span = Span::millis(300);
/// Time without a heartbeat after which a member counts as unreachable and is removed from the view.
pub const HEARTBEAT_TIMEOUT: Span = Span::millis(2_000);
/// Time between two reads of the view from the store.
const VIEW_READ_INTERVAL: Span = Span::secs(1);
/// Longest time that a graceful stop waits to be removed from the view.
const LEAVE_LIMIT: Span = Span::secs(10);

/// An input of the membership part.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembershipEvent {
    /// A peer's heartbeat arrived. The runtime has authenticated it and checked that it is no replay.
    Heartbeat(Box<Heartbeat>),
    /// The store answered a read of the view.
    ViewRead {
        /// When the read was requested, by this instance's clock.
        requested_at: Timestamp,
        /// The stored view, or `None` if the key does not exist.
        view: Option<View>,
        /// The revision of the key in the store.
        revision: Revision,
    },
    /// A read of the view failed.
    ViewReadFailed,
    /// A compare-and-swap of the view ended.
    ViewSwapEnded(Swap),
}

/// The outcome of a compare-and-swap of the view in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Swap {
    /// This view was stored at this revision.
    Written(Box<View>, Revision),
    /// The key has another revision than expected; nothing was written.
    Conflict,
    /// No answer arrived; the write may have taken effect.
    Unknown,
}

/// Actions of the membership part that the runtime has to carry out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembershipEffect {
    /// Send a heartbeat to a peer.
    SendHeartbeat {
        /// The receiving peer.
        to: InstanceId,
        /// The heartbeat's content.
        heartbeat: Box<Heartbeat>,
    },
    /// Read the view from the store.
    ReadView,
    /// Store the view if the key still has the revision `expect`.
    SwapView {
        /// The revision of the view that the proposed one replaces.
        expect: Revision,
        /// The proposed view.
        view: Box<View>,
    },
    /// The view with this number is now in force on this instance.
    ViewAdopted(ViewNumber),
}

/// Whether this instance owns a key, and who does if not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// This instance owns the key, and no earlier owner can still act.
    Owner,
    /// This instance owns the key, but an owner in an earlier view may still act.
    Pending,
    /// Another member owns the key.
    Other(InstanceId),
    /// The view has no members, or every member that the key was delegated to has delegated it in turn.
    Nobody,
}

/// The view in force, the peers, and the ownership lease of this instance.
#[derive(Debug)]
pub struct Membership {
    me: ViewMember,
    view: View,
    revision: Revision,
    peers: Peers,
    lease: OwnershipLease,
    closed_views: ClosedViews,
    own_delegation: OwnDelegation,
    load: Load,
    config: ConfigNumber,
    leaving_since: Option<Timestamp>,
    store_read_at: Option<Timestamp>,
    next_read: Timestamp,
    next_proposal: Timestamp,
    swap_pending: bool,
    started_at: Timestamp,
    generation: u64,
    /// Since when the view's members have differed from the members it should have.
    mismatched_since: Option<Timestamp>,
}

impl Membership {
    pub(crate) fn new(start: &Start) -> Self {
        let me = ViewMember {
            member: start.member.clone(),
            data_centre: start.data_centre.clone(),
        };
        Self {
            lease: OwnershipLease::new(start.now),
            peers: Peers::new(start.member.clone()),
            closed_views: ClosedViews::default(),
            view: View::default(),
            revision: Revision::default(),
            own_delegation: OwnDelegation::default(),
            load: Load::default(),
            config: ConfigNumber::default(),
            leaving_since: None,
            store_read_at: None,
            next_read: start.now,
            next_proposal: start.now,
            swap_pending: false,
            started_at: start.now,
            generation: 0,
            mismatched_since: None,
            me,
        }
    }

    /// Returns this instance's id and incarnation.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns this instance's data centre.
    pub fn data_centre(&self) -> &DataCentre {
        &self.me.data_centre
    }

    /// Returns the view in force on this instance.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// True if this incarnation is a member of the view in force.
    pub fn is_member(&self) -> bool {
        self.view.contains(&self.me.member)
    }

    /// Returns when this instance's ownership lease expires, or `None` if it has no valid lease.
    pub fn lease_expires_at(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.is_member() {
            return None;
        }
        self.lease
            .expires_at(now, &self.me.member, &self.view)
            .filter(|until| *until > now)
    }

    /// True if this instance has an ownership lease at `now` and may act for the keys it owns.
    pub fn may_act(&self, now: Timestamp) -> bool {
        self.lease_expires_at(now).is_some()
    }

    /// Changes whenever [`Self::ownership`] may have changed for some key, so that callers can
    /// cache it.
    ///
    /// Does not change when the ownership lease expires; check [`Self::may_act`] each time.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether this instance owns `key`. Members in the data centre `preferred` rank first.
    pub fn ownership(&self, key: &str, preferred: Option<&DataCentre>) -> Ownership {
        let members = &self.view.members;
        let Some(owner) = self.resolve_owner(members, self.view.number, key, preferred) else {
            return Ownership::Nobody;
        };
        if owner.member != self.me.member {
            return Ownership::Other(owner.member.id.clone());
        }
        let blocked = self
            .view
            .open
            .iter()
            .filter(|earlier| !self.closed_views.is_closed(earlier.number))
            .any(|earlier| self.may_still_act(earlier, key, preferred));
        if blocked {
            Ownership::Pending
        } else {
            Ownership::Owner
        }
    }

    /// Returns the members by their rank for `key`, the owner first. Delegations are not followed.
    pub fn ranking(&self, key: &str, preferred: Option<&DataCentre>) -> Vec<&ViewMember> {
        self.view.ranking(key, preferred)
    }

    /// Returns this instance's load as last noted by the request part.
    pub fn own_load(&self) -> &Load {
        &self.load
    }

    /// Returns the load that a peer last reported and when the report was received.
    pub fn peer_load(&self, peer: &InstanceId) -> Option<(&Load, Timestamp)> {
        self.peers.load(peer)
    }

    /// True if a heartbeat of `peer` was received within [`HEARTBEAT_TIMEOUT`].
    pub fn is_reachable(&self, peer: &InstanceId, now: Timestamp) -> bool {
        self.peers.is_reachable(peer, now)
    }

    /// True if a heartbeat was received within [`HEARTBEAT_TIMEOUT`] from the incarnation of `peer`
    /// that is a member of the view.
    pub fn is_member_reachable(&self, peer: &InstanceId, now: Timestamp) -> bool {
        let mut members = self.view.members.iter();
        let member = members.find(|m| m.member.id == *peer);
        member.is_some_and(|m| self.peers.is_incarnation_reachable(&m.member, now))
    }

    /// True if every other member of the view has acknowledged a heartbeat that this instance sent at
    /// `since` or later.
    pub fn is_acknowledged_by_all(&self, since: Timestamp) -> bool {
        self.lease
            .is_confirmed_by_all(since, &self.me.member, &self.view)
    }

    /// True if at most one heartbeat of `peer` is overdue.
    pub fn is_timely(&self, peer: &InstanceId, now: Timestamp) -> bool {
        self.peers.is_timely(peer, now)
    }

    /// Returns the other members of the view whose instance sent a heartbeat within
    /// [`HEARTBEAT_TIMEOUT`], in order of id.
    pub fn reachable_members(&self, now: Timestamp) -> Vec<&InstanceId> {
        let is_reachable = |m: &&ViewMember| {
            m.member != self.me.member && self.peers.is_reachable(&m.member.id, now)
        };
        let members = self.view.members.iter().filter(is_reachable);
        members.map(|m| &m.member.id).collect()
    }

    /// Returns the peer with the newest configuration, if that is newer than this instance's.
    pub(crate) fn newest_config(&self) -> Option<(InstanceId, ConfigNumber)> {
        self.peers
            .newest_config()
            .filter(|(_, number)| *number > self.config)
    }

    /// Returns the configuration number in force at each reachable peer.
    pub fn peer_configs(&self, now: Timestamp) -> Vec<(InstanceId, ConfigNumber)> {
        self.peers.configs(now)
    }

    pub(crate) fn update_local_report(&mut self, load: Load, config: ConfigNumber) {
        self.load = load;
        self.config = config;
    }

    /// Starts to leave: the next heartbeats ask the peers to remove this instance from the view.
    pub(crate) fn leave(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.send_heartbeats(now, true, effects);
        }
    }

    /// True once no member relies on this instance, or leaving has taken longer than [`LEAVE_LIMIT`].
    pub(crate) fn has_left(&self, now: Timestamp) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let alone = self.view.members.len() <= 1;
        let announced = self.own_delegation.is_announced(now);
        !self.is_member() || alone || announced || now.since(since) > LEAVE_LIMIT
    }

    /// True once a graceful stop has been requested.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Notes that the process runs at `now`. Called before an event is applied, so that a pause of the
    /// process is detected first.
    pub(crate) fn note_running(&mut self, now: Timestamp) {
        self.lease.note_running(now);
    }

    pub(crate) fn apply_listing(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        effects: &mut Vec<Effect>,
    ) {
        self.peers.apply_listing(now, directory);
        self.update(now, directory, effects);
    }

    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        effects: &mut Vec<Effect>,
    ) {
        if now >= self.next_read {
            self.read_view(now, effects);
        }
        self.delegate(now, effects);
        self.send_heartbeats(now, false, effects);
        self.update(now, directory, effects);
    }

    pub(crate) fn apply(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        event: MembershipEvent,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            MembershipEvent::Heartbeat(heartbeat) => {
                self.apply_heartbeat(now, *heartbeat, effects);
            }
            MembershipEvent::ViewRead {
                requested_at,
                view,
                revision,
            } => self.apply_view_read(now, requested_at, view, revision, effects),
            MembershipEvent::ViewReadFailed => {}
            MembershipEvent::ViewSwapEnded(swap) => self.apply_swap(now, swap, effects),
        }
        self.update(now, directory, effects);
    }

    fn read_view(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.next_read = now + VIEW_READ_INTERVAL;
        effects.push(MembershipEffect::ReadView.into());
    }

    fn apply_heartbeat(
        &mut self,
        now: Timestamp,
        mut heartbeat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        if heartbeat.from.id == self.me.member.id {
            return;
        }
        if let Some(view) = heartbeat.view.take() {
            self.adopt(now, *view, effects);
        }
        self.lease
            .record_heartbeat(&self.me.member, &self.view, &heartbeat);
        let behind = heartbeat.view_number < self.view.number;
        let from = heartbeat.from.id.clone();
        if self.peers.apply_heartbeat(now, heartbeat) {
            self.generation += 1;
        }
        if behind && self.peers.is_correction_due(&from, now) {
            self.send_heartbeat(now, &from, effects);
        }
    }

    fn apply_view_read(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        view: Option<View>,
        revision: Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.store_read_at = Some(now);
        let number = view.as_ref().map_or(ViewNumber::default(), |v| v.number);
        if number >= self.view.number {
            self.revision = revision;
        }
        if let Some(view) = view {
            self.adopt(now, view, effects);
        }
        self.lease.record_store_read(requested_at, number);
    }

    fn apply_swap(&mut self, now: Timestamp, swap: Swap, effects: &mut Vec<Effect>) {
        self.swap_pending = false;
        match swap {
            Swap::Written(view, revision) => {
                self.revision = revision;
                self.adopt(now, *view, effects);
                self.send_heartbeats(now, true, effects);
            }
            Swap::Conflict | Swap::Unknown => self.read_view(now, effects),
        }
    }

    fn adopt(&mut self, now: Timestamp, view: View, effects: &mut Vec<Effect>) {
        if view.number <= self.view.number {
            return;
        }
        self.view = view;
        self.generation += 1;
        self.mismatched_since = None;
        self.closed_views.retain(&self.view);
        self.lease.retain_members(&self.view);
        self.peers.adopt_view(now, &self.view);
        self.next_proposal = now + proposal::SETTLE_SPAN;
        effects.push(MembershipEffect::ViewAdopted(self.view.number).into());
        self.send_heartbeats(now, true, effects);
    }

    /// Updates which earlier views are closed, and proposes a view if the members should change.
    fn update(&mut self, now: Timestamp, directory: &Directory, effects: &mut Vec<Effect>) {
        let closed = self
            .closed_views
            .update(now, &self.me.member, &self.view, &self.peers);
        if closed {
            self.generation += 1;
        }
        let may_propose = self.store_read_at.is_some() && self.lease.may_confirm();
        if self.swap_pending || now < self.next_proposal || !may_propose {
            return;
        }
        let Some(view) = self.proposal(now, directory) else {
            return;
        };
        self.swap_pending = true;
        self.next_proposal = now + proposal::RETRY_SPAN;
        let expect = self.revision;
        let view = Box::new(view);
        effects.push(MembershipEffect::SwapView { expect, view }.into());
    }

    fn proposal(&mut self, now: Timestamp, directory: &Directory) -> Option<View> {
        let inputs = proposal::Inputs {
            now,
            me: &self.me,
            view: &self.view,
            peers: &self.peers,
            closed_views: &self.closed_views,
            directory,
            leaving: self.is_leaving(),
            started_at: self.started_at,
            mismatched_since: self.mismatched_since.unwrap_or(now),
        };
        let members = proposal::desired_members(&inputs);
        if members == self.view.members {
            self.mismatched_since = None;
            return None;
        }
        self.mismatched_since = Some(inputs.mismatched_since);
        proposal::propose(&inputs, members)
    }

    /// True if another member owns `key` in an earlier view and may still act for it.
    fn may_still_act(
        &self,
        earlier: &EarlierView,
        key: &str,
        preferred: Option<&DataCentre>,
    ) -> bool {
        let Some(owner) = self.resolve_owner(&earlier.members, earlier.number, key, preferred)
        else {
            return false;
        };
        if owner.member == self.me.member {
            return false;
        }
        !self
            .peers
            .has_reported_later_view(&owner.member, earlier.number)
    }

    /// Returns the member that acts for `key` in a view, following delegations.
    fn resolve_owner<'a>(
        &'a self,
        members: &'a [ViewMember],
        number: ViewNumber,
        key: &str,
        preferred: Option<&DataCentre>,
    ) -> Option<&'a ViewMember> {
        let rank = |m: &ViewMember| view::rank(m, key, preferred);
        let delegation = |member: &Member| {
            if *member == self.me.member {
                self.own_delegation.get()
            } else {
                self.peers.delegation(member)
            }
        };
        delegation::resolve_owner(members, number, rank, delegation)
    }

    /// Delegates this instance's keys if it is leaving and the view has not changed in time.
    fn delegate(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let overdue = self
            .leaving_since
            .is_some_and(|since| now.since(since) >= delegation::DELEGATE_AFTER);
        if !overdue || !self.may_act(now) {
            return;
        }
        if self.own_delegation.delegate(now, &self.view, &self.peers) {
            self.generation += 1;
            self.send_heartbeats(now, true, effects);
        }
    }

    fn send_heartbeats(&mut self, now: Timestamp, at_once: bool, effects: &mut Vec<Effect>) {
        for to in self
            .peers
            .heartbeat_targets(now, at_once, &self.view, &self.me.member.id)
        {
            self.send_heartbeat(now, &to, effects);
        }
    }

    fn send_heartbeat(&mut self, now: Timestamp, to: &InstanceId, effects: &mut Vec<Effect>) {
        let peer_number = self.peers.view_number(to);
        let behind = peer_number.is_some_and(|number| number < self.view.number);
        let heartbeat = Heartbeat {
            from: self.me.member.clone(),
            data_centre: self.me.data_centre.clone(),
            sent_at: now,
            echo: self.peers.echo(to),
            view_number: self.view.number,
            view: behind.then(|| Box::new(self.view.clone())),
            confirming: self.lease.may_confirm(),
            leaving: self.is_leaving(),
            delegation: self.own_delegation.get().cloned(),
            reachable: self.peers.reachable_members(now),
            config: self.config,
            load: self.load.clone(),
        };
        self.peers.record_sent(to, now);
        let to = to.clone();
        let heartbeat = Box::new(heartbeat);
        effects.push(MembershipEffect::SendHeartbeat { to, heartbeat }.into());
    }
}
