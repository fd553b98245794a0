//! Earlier views whose owners can no longer act.
//!
//! An owner in an earlier view keeps its lease while a majority of that view's members confirms the
//! view. Once a majority has stopped, the lease expires within [`OWNERSHIP_LEASE_SPAN`] by the
//! owner's clock. [`CLOCK_DRIFT_MARGIN`] allows for clocks that run at different rates. After both
//! the view is closed.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Timestamp, ViewNumber};

use super::{
    CLOCK_DRIFT_MARGIN, OWNERSHIP_LEASE_SPAN,
    peers::Peers,
    view::{EarlierView, Member, View, majority},
};

#[cfg(test)]
mod tests;

/// The earlier views that are closed, as far as this instance knows.
#[derive(Debug, Default)]
pub(super) struct ClosedViews {
    /// When this instance first knew that a majority of the view's members no longer confirms it.
    majority_left_at: BTreeMap<ViewNumber, Timestamp>,
    closed: BTreeSet<ViewNumber>,
}

impl ClosedViews {
    pub(super) fn is_closed(&self, number: ViewNumber) -> bool {
        self.closed.contains(&number)
    }

    /// Drops the views that `view` no longer lists as open.
    pub(super) fn retain(&mut self, view: &View) {
        let is_open = |number: &ViewNumber| view.open.iter().any(|e| e.number == *number);
        self.majority_left_at.retain(|number, _| is_open(number));
        self.closed.retain(is_open);
    }

    /// Closes the earlier views whose owners can no longer act; true if any were closed.
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
            if now.since(since) > OWNERSHIP_LEASE_SPAN + CLOCK_DRIFT_MARGIN {
                self.closed.insert(earlier.number);
            }
        }
        self.closed.len() != before
    }
}

/// True if a majority of the earlier view's members no longer confirms it.
fn is_left_by_majority(now: Timestamp, me: &Member, earlier: &EarlierView, peers: &Peers) -> bool {
    let left = earlier
        .members
        .iter()
        .filter(|m| has_left(now, me, &m.member, earlier.number, peers))
        .count();
    left >= majority(earlier.members.len())
}

/// True if `member` no longer confirms the view `number`: it is this instance, has adopted a later
/// view, was superseded, or is no longer listed and has been silent for the whole lease.
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
        .is_none_or(|at| now.since(at) > OWNERSHIP_LEASE_SPAN + CLOCK_DRIFT_MARGIN);
    peers.is_delisted(member) && is_silent
}
