//! Earlier views whose owners can no longer act.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Timestamp, ViewNumber};

use super::{
    DRIFT_MARGIN, RIGHT_SPAN,
    peers::Peers,
    view::{EarlierView, Member, View, majority},
};

#[cfg(test)]
mod tests;

/// Which earlier views are closed, as far as this instance can tell.
#[derive(Debug, Default)]
pub(super) struct ClosedViews {
    /// When a majority of the view's members was first known to have adopted a later one.
    majority_left_at: BTreeMap<ViewNumber, Timestamp>,
    closed: BTreeSet<ViewNumber>,
}

impl ClosedViews {
    pub(super) fn is_closed(&self, number: ViewNumber) -> bool {
        self.closed.contains(&number)
    }

    /// Forgets views that the record no longer names.
    pub(super) fn retain(&mut self, view: &View) {
        let is_open = |number: &ViewNumber| view.open.iter().any(|e| e.number == *number);
        self.majority_left_at.retain(|number, _| is_open(number));
        self.closed.retain(is_open);
    }

    /// Looks for views that have become closed; true if there are any.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        me: &Member,
        view: &View,
        peers: &Peers,
    ) -> bool {
        let before = self.closed.len();
        for earlier in &view.open {
            if self.closed.contains(&earlier.number) {
                continue;
            }
            if !is_left_by_majority(now, me, earlier, peers) {
                continue;
            }
            let since = *self.majority_left_at.entry(earlier.number).or_insert(now);
            if now.since(since) > RIGHT_SPAN + DRIFT_MARGIN {
                self.closed.insert(earlier.number);
            }
        }
        self.closed.len() != before
    }
}

/// True if a majority of the earlier view's members attests it no more.
fn is_left_by_majority(now: Timestamp, me: &Member, earlier: &EarlierView, peers: &Peers) -> bool {
    let left = earlier
        .members
        .iter()
        .filter(|m| has_left(now, me, &m.member, earlier.number, peers))
        .count();
    left >= majority(earlier.members.len())
}

fn has_left(
    now: Timestamp,
    me: &Member,
    member: &Member,
    number: ViewNumber,
    peers: &Peers,
) -> bool {
    if member == me || peers.has_stopped_confirming(member, number) {
        return true;
    }
    let is_silent = peers
        .last_contact(member)
        .is_none_or(|at| now.since(at) > RIGHT_SPAN + DRIFT_MARGIN);
    peers.is_delisted(member) && is_silent
}
