//! When to propose the next view, and with which members.

use guavacart_types::{Span, Timestamp, rendezvous_weight};

use super::{
    HEARTBEAT_TIMEOUT,
    closed_views::ClosedViews,
    peers::{Peer, Peers},
    view::{EarlierView, Member, View, ViewMember, majority},
};
use crate::directory::Directory;

#[cfg(test)]
mod tests;

/// Wait after a view was adopted, so that several changes go into one proposal.
pub(super) const SETTLE_SPAN: Span = Span::millis(400);
/// Time until a proposal is repeated.
pub(super) const RETRY_SPAN: Span = Span::millis(500);
/// How long each member waits for each reachable member that ranks before it to propose.
const TURN_SPAN: Span = Span::millis(500);
/// Maximum number of open earlier views that a view lists. Further changes wait until one of them
/// is closed.
const MAX_OPEN_VIEWS: usize = 16;
/// Age of a member's last heartbeat up to which the member counts for the proposer's majority.
///
/// Shorter than [`HEARTBEAT_TIMEOUT`] by two heartbeats. The last heartbeats that an isolated
/// instance received differ in age. Without the difference, it could propose to remove the members
/// already past [`HEARTBEAT_TIMEOUT`] while a majority still seems reachable.
const FRESH_SPAN: Span = Span::millis(1_200);
/// How long a newcomer that reaches no member waits before it proposes a view itself.
const BOOTSTRAP_DELAY: Span = Span::millis(800);

/// The state that a proposal is based on.
pub(super) struct Inputs<'a> {
    pub(super) now: Timestamp,
    pub(super) me: &'a ViewMember,
    pub(super) view: &'a View,
    pub(super) peers: &'a Peers,
    pub(super) closed_views: &'a ClosedViews,
    pub(super) directory: &'a Directory,
    pub(super) leaving: bool,
    pub(super) started_at: Timestamp,
    /// Since when the view's members have differed from the desired ones.
    pub(super) mismatched_since: Timestamp,
}

/// Returns the next view with `members` if this instance should propose it now.
pub(super) fn propose(inputs: &Inputs<'_>, members: Vec<ViewMember>) -> Option<View> {
    if members.is_empty() || inputs.view.open.len() >= MAX_OPEN_VIEWS {
        return None;
    }
    if !has_quorum(inputs) || !is_my_turn(inputs) {
        return None;
    }
    Some(View {
        number: inputs.view.number.next(),
        members,
        open: open_views(inputs),
    })
}

/// Returns the members that the next view should have, in order of id.
pub(super) fn desired_members(inputs: &Inputs<'_>) -> Vec<ViewMember> {
    let keep = |m: &&ViewMember| m.member != inputs.me.member && should_stay(inputs, &m.member);
    let mut members: Vec<ViewMember> = inputs.view.members.iter().filter(keep).cloned().collect();
    let newcomers = inputs.peers.iter().filter(|peer| should_join(inputs, peer));
    members.extend(newcomers.map(|peer| ViewMember {
        member: peer.member.clone(),
        data_centre: peer.data_centre.clone(),
    }));
    if !inputs.leaving {
        members.push(inputs.me.clone());
    }
    members.sort();
    members.dedup_by(|a, b| a.member.id == b.member.id);
    members
}

/// True if a member of the view should stay in the next view.
fn should_stay(inputs: &Inputs<'_>, member: &Member) -> bool {
    let peers = inputs.peers;
    if peers.is_superseded(member) || peers.get(&member.id).is_some_and(|peer| peer.leaving) {
        return false;
    }
    is_reachable_by_half(inputs, member)
}

/// True if at least half of the reachable members, including this instance, presume `member` alive.
///
/// Two instances that cannot reach each other do not remove each other while the others reach both.
fn is_reachable_by_half(inputs: &Inputs<'_>, member: &Member) -> bool {
    let others = inputs.view.members.iter().map(|m| &m.member);
    let fresh = others.filter(|m| is_fresh(inputs, m));
    let peers = fresh
        .filter_map(|m| inputs.peers.get(&m.id))
        .filter(|peer| peer.member != *member);
    let mut voters = 1;
    let mut votes = usize::from(inputs.peers.is_presumed_alive(member, inputs.now));
    for peer in peers {
        voters += 1;
        votes += usize::from(peer.reachable.contains(member));
    }
    votes * 2 >= voters
}

/// True if a peer outside the view should be in the next view.
fn should_join(inputs: &Inputs<'_>, peer: &Peer) -> bool {
    let listed = inputs.directory.entries.get(&peer.member.id);
    let reachable = inputs.peers.is_reachable(&peer.member.id, inputs.now);
    let outside = !inputs.view.contains(&peer.member);
    let ready = peer.confirming && !peer.leaving && listed.is_some_and(|e| !e.leaving);
    outside && reachable && ready && is_reachable_by_half(inputs, &peer.member)
}

/// True if a majority of the view's members is reachable or known to have ended: superseded by a later
/// incarnation, or no longer listed by the platform.
fn has_quorum(inputs: &Inputs<'_>) -> bool {
    let view = inputs.view;
    if view.members.is_empty() {
        return true;
    }
    let counts_for_quorum = |m: &&ViewMember| {
        m.member == inputs.me.member
            || is_fresh(inputs, &m.member)
            || inputs.peers.is_superseded(&m.member)
            || inputs.peers.is_delisted(&m.member)
    };
    view.members.iter().filter(counts_for_quorum).count() >= majority(view.members.len())
}

fn is_fresh(inputs: &Inputs<'_>, member: &Member) -> bool {
    let received_at = inputs.peers.get(&member.id).map(|peer| peer.received_at);
    received_at.is_some_and(|at| inputs.now.since(at) < FRESH_SPAN)
}

/// True once every reachable member that ranks before this instance has had its turn to propose.
///
/// The order of members differs from view to view. Newcomers come last: they wait for
/// [`HEARTBEAT_TIMEOUT`] after their start while any member is reachable.
fn is_my_turn(inputs: &Inputs<'_>) -> bool {
    let key = inputs.view.number.to_string();
    let my_weight = rendezvous_weight(inputs.me.member.id.as_str(), &key);
    let ranks_before_me = |m: &&ViewMember| {
        let id = &m.member.id;
        let reachable = inputs.peers.is_reachable(id, inputs.now);
        *id != inputs.me.member.id && reachable && rendezvous_weight(id.as_str(), &key) > my_weight
    };
    if inputs.view.contains(&inputs.me.member) {
        let rank = inputs.view.members.iter().filter(ranks_before_me).count();
        return inputs.now.since(inputs.mismatched_since) >= TURN_SPAN * rank as u64;
    }
    let reachable = |m: &&ViewMember| inputs.peers.is_reachable(&m.member.id, inputs.now);
    let any_reachable = inputs.view.members.iter().any(|m| reachable(&m));
    let delay = if any_reachable {
        HEARTBEAT_TIMEOUT
    } else {
        BOOTSTRAP_DELAY
    };
    inputs.now.since(inputs.started_at) >= delay
}

fn open_views(inputs: &Inputs<'_>) -> Vec<EarlierView> {
    let view = inputs.view;
    let is_open = |e: &&EarlierView| !inputs.closed_views.is_closed(e.number);
    let mut open: Vec<EarlierView> = view.open.iter().filter(is_open).cloned().collect();
    if !view.members.is_empty() {
        open.push(EarlierView {
            number: view.number,
            members: view.members.clone(),
        });
    }
    open
}
