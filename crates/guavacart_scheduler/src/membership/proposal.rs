//! When the view should change, and to what.

use guavacart_types::{Span, Timestamp, weight};

use super::{
    SILENCE_LIMIT,
    closure::Closures,
    peers::{Peer, Peers},
    view::{EarlierView, Member, View, ViewMember, majority},
};
use crate::directory::Directory;

#[cfg(test)]
mod tests;

/// Rest after a view was adopted, so that changes gather.
pub(super) const SETTLE_SPAN: Span = Span::millis(400);
/// Time until a proposal that got no answer is made again.
pub(super) const RETRY_SPAN: Span = Span::millis(500);
/// How long each member waits for those that rank before it to propose.
const TURN_SPAN: Span = Span::millis(500);
/// Most earlier views that a record names; further changes wait until some are closed.
const MAX_OPEN: usize = 16;
/// How recently a majority must have been heard by the proposer.
///
/// Shorter than [`SILENCE_LIMIT`] by two heartbeats: an instance cut off from all others hears the
/// last of some later than that of others, and must not propose in between.
const FRESH_SPAN: Span = Span::millis(1_200);
/// How long a newcomer listens before it founds a view of its own.
const FOUND_SPAN: Span = Span::millis(800);

/// All that a proposal rests on.
pub(super) struct Grounds<'a> {
    pub(super) now: Timestamp,
    pub(super) me: &'a ViewMember,
    pub(super) view: &'a View,
    pub(super) peers: &'a Peers,
    pub(super) closures: &'a Closures,
    pub(super) directory: &'a Directory,
    pub(super) leaving: bool,
    pub(super) started_at: Timestamp,
    /// Since when the members differ from the wanted ones.
    pub(super) wanted_since: Timestamp,
}

/// The view that should follow with `members`, if this instance is to propose one now.
pub(super) fn propose(grounds: &Grounds<'_>, members: Vec<ViewMember>) -> Option<View> {
    if members.is_empty() || grounds.view.open.len() >= MAX_OPEN {
        return None;
    }
    if !hears_majority(grounds) || !is_my_turn(grounds) {
        return None;
    }
    Some(View {
        number: grounds.view.number.next(),
        members,
        open: still_open(grounds),
    })
}

/// The members that the next view should have, in order of id.
pub(super) fn wanted(grounds: &Grounds<'_>) -> Vec<ViewMember> {
    let keep = |m: &&ViewMember| m.member != grounds.me.member && stays(grounds, &m.member);
    let mut members: Vec<ViewMember> = grounds.view.members.iter().filter(keep).cloned().collect();
    let newcomers = grounds.peers.iter().filter(|peer| joins(grounds, peer));
    members.extend(newcomers.map(|peer| ViewMember {
        member: peer.member.clone(),
        data_centre: peer.data_centre.clone(),
    }));
    if !grounds.leaving {
        members.push(grounds.me.clone());
    }
    members.sort();
    members.dedup_by(|a, b| a.member.id == b.member.id);
    members
}

/// True if a member of the view should remain one.
fn stays(grounds: &Grounds<'_>, member: &Member) -> bool {
    let peers = grounds.peers;
    if peers.is_superseded(member) || peers.get(&member.id).is_some_and(|peer| peer.leaving) {
        return false;
    }
    is_heard_by_half(grounds, member)
}

/// True if half of the members that are heard, this instance included, hear `member`.
///
/// Where two instances do not reach each other but others reach both, neither drives the other out.
fn is_heard_by_half(grounds: &Grounds<'_>, member: &Member) -> bool {
    let others = grounds.view.members.iter().map(|m| &m.member);
    let fresh = others.filter(|m| is_fresh(grounds, m));
    let peers = fresh
        .filter_map(|m| grounds.peers.get(&m.id))
        .filter(|peer| peer.member != *member);
    let mut voters = 1;
    let mut votes = usize::from(grounds.peers.is_present(member, grounds.now));
    for peer in peers {
        voters += 1;
        votes += usize::from(peer.hears.contains(member));
    }
    votes * 2 >= voters
}

/// True if a peer outside the view should become a member.
fn joins(grounds: &Grounds<'_>, peer: &Peer) -> bool {
    let listed = grounds.directory.entries.get(&peer.member.id);
    let heard = grounds.peers.is_heard(&peer.member.id, grounds.now);
    let outside = !grounds.view.contains(&peer.member);
    let ready = peer.attesting && !peer.leaving && listed.is_some_and(|e| !e.leaving);
    outside && heard && ready && is_heard_by_half(grounds, &peer.member)
}

/// True if a majority of the view is heard, not counting those that the platform lists no more.
fn hears_majority(grounds: &Grounds<'_>) -> bool {
    let view = grounds.view;
    if view.members.is_empty() {
        return true;
    }
    let counts = |m: &&ViewMember| {
        m.member == grounds.me.member
            || is_fresh(grounds, &m.member)
            || grounds.peers.is_superseded(&m.member)
            || grounds.peers.is_gone(&m.member)
    };
    view.members.iter().filter(counts).count() >= majority(view.members.len())
}

fn is_fresh(grounds: &Grounds<'_>, member: &Member) -> bool {
    let heard = grounds.peers.get(&member.id).map(|peer| peer.heard_at);
    heard.is_some_and(|at| grounds.now.since(at) < FRESH_SPAN)
}

/// Members propose in an order that differs from view to view; newcomers come last.
fn is_my_turn(grounds: &Grounds<'_>) -> bool {
    let key = grounds.view.number.to_string();
    let my_weight = weight(grounds.me.member.id.as_str(), &key);
    let before_me = |m: &&ViewMember| {
        let id = &m.member.id;
        let heard = grounds.peers.is_heard(id, grounds.now);
        *id != grounds.me.member.id && heard && weight(id.as_str(), &key) > my_weight
    };
    if grounds.view.contains(&grounds.me.member) {
        let rank = grounds.view.members.iter().filter(before_me).count();
        return grounds.now.since(grounds.wanted_since) >= TURN_SPAN * rank as u64;
    }
    let live = |m: &&ViewMember| grounds.peers.is_heard(&m.member.id, grounds.now);
    let anyone_live = grounds.view.members.iter().any(|m| live(&m));
    let patience = if anyone_live {
        SILENCE_LIMIT
    } else {
        FOUND_SPAN
    };
    grounds.now.since(grounds.started_at) >= patience
}

fn still_open(grounds: &Grounds<'_>) -> Vec<EarlierView> {
    let view = grounds.view;
    let is_open = |e: &&EarlierView| !grounds.closures.is_closed(e.number);
    let mut open: Vec<EarlierView> = view.open.iter().filter(is_open).cloned().collect();
    if !view.members.is_empty() {
        open.push(EarlierView {
            number: view.number,
            members: view.members.clone(),
        });
    }
    open
}
