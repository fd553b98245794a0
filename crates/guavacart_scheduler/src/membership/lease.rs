//! The ownership lease: recent confirmations that the view is unchanged.
//!
//! An owner may act for [`OWNERSHIP_LEASE_SPAN`] after it sent a request whose answer confirmed its
//! view. Either the store or a majority of the members has to confirm the view. The span counts
//! from the request, not from the answer, because the view may have changed while the answer was on
//! its way.

use std::collections::BTreeMap;

use guavacart_types::{Timestamp, ViewNumber};

use super::{
    OWNERSHIP_LEASE_SPAN,
    heartbeat::Heartbeat,
    view::{Member, View, majority},
};

#[cfg(test)]
mod tests;

/// A confirmation, by a member or the store, of which view is in force.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Confirmation {
    view: ViewNumber,
    /// When this instance sent the request that was answered, by its own clock. For a member, the
    /// request is the heartbeat that the member echoed.
    requested_at: Timestamp,
}

/// The confirmations of the view, and whether this instance may confirm the view to others.
#[derive(Debug)]
pub(super) struct OwnershipLease {
    /// Keyed by incarnation: a later incarnation confirms nothing on behalf of an earlier one.
    confirmations: BTreeMap<Member, Confirmation>,
    store: Option<Confirmation>,
    last_run: Timestamp,
    /// When the process resumed after a pause, until the view is confirmed again. Answers to requests
    /// from before that time do not count.
    resumed_at: Option<Timestamp>,
}

impl OwnershipLease {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            confirmations: BTreeMap::new(),
            store: None,
            last_run: now,
            resumed_at: None,
        }
    }

    /// Notes that the process runs at `now`. A gap longer than [`OWNERSHIP_LEASE_SPAN`] counts as a
    /// pause.
    pub(super) fn note_running(&mut self, now: Timestamp) {
        if now.since(self.last_run) > OWNERSHIP_LEASE_SPAN {
            self.resumed_at = Some(now);
        }
        self.last_run = self.last_run.max(now);
    }

    /// True if this instance may confirm its view to others; false after a pause until its own view is
    /// confirmed again.
    pub(super) fn may_confirm(&self) -> bool {
        self.resumed_at.is_none()
    }

    /// Records that the store returned the view `number` for a read requested at `requested_at`.
    pub(super) fn record_store_read(&mut self, requested_at: Timestamp, number: ViewNumber) {
        let newer = self
            .store
            .is_none_or(|last| last.requested_at < requested_at);
        if newer {
            let view = number;
            self.store = Some(Confirmation { view, requested_at });
        }
        self.end_pause(requested_at);
    }

    /// Records a peer's confirmation. The heartbeat reports the peer's view and echoes the last
    /// heartbeat that the peer had received from this instance when it sent its own.
    pub(super) fn record_heartbeat(&mut self, me: &Member, view: &View, heartbeat: &Heartbeat) {
        let Some(echo) = heartbeat.echo else {
            return;
        };
        if echo.incarnation != me.incarnation || !heartbeat.confirming {
            return;
        }
        if heartbeat.view_number == view.number {
            self.end_pause(echo.sent_at);
        }
        if !view.contains(&heartbeat.from) {
            return;
        }
        let confirmation = Confirmation {
            view: heartbeat.view_number,
            requested_at: echo.sent_at,
        };
        let from = heartbeat.from.clone();
        let newest = self.confirmations.entry(from).or_insert(confirmation);
        *newest = confirmation.max(*newest);
    }

    /// Drops the confirmations of incarnations that are not members of `view`.
    pub(super) fn retain_members(&mut self, view: &View) {
        self.confirmations.retain(|member, _| view.contains(member));
    }

    /// True if every other member confirmed the view in answer to a heartbeat sent at `since` or later.
    pub(super) fn is_confirmed_by_all(&self, since: Timestamp, me: &Member, view: &View) -> bool {
        let others = view.members.iter().filter(|m| m.member != *me);
        let mut confirmations = others.map(|m| self.confirmations.get(&m.member));
        confirmations.all(|c| c.is_some_and(|c| c.view == view.number && c.requested_at >= since))
    }

    /// Returns when the lease for `view` expires, or `None` if neither the store nor a majority has
    /// confirmed the view. The time may be in the past.
    pub(super) fn expires_at(&self, now: Timestamp, me: &Member, view: &View) -> Option<Timestamp> {
        let by_store = self
            .store
            .filter(|confirmation| confirmation.view == view.number)
            .map(|confirmation| confirmation.requested_at + OWNERSHIP_LEASE_SPAN);
        let by_peers = self
            .quorum_confirmed_at(now, me, view)
            .map(|requested_at| requested_at + OWNERSHIP_LEASE_SPAN);
        by_store.max(by_peers)
    }

    /// Returns the latest time such that a majority of members confirmed the view in answer to heartbeats
    /// sent at that time or later. This instance itself counts as confirming at `now`.
    fn quorum_confirmed_at(&self, now: Timestamp, me: &Member, view: &View) -> Option<Timestamp> {
        if !self.may_confirm() {
            return None;
        }
        let mut requested_at: Vec<Timestamp> = view
            .members
            .iter()
            .filter_map(|m| {
                if m.member == *me {
                    return Some(now);
                }
                let confirmation = self.confirmations.get(&m.member)?;
                (confirmation.view == view.number).then_some(confirmation.requested_at)
            })
            .collect();
        requested_at.sort_unstable_by(|a, b| b.cmp(a));
        requested_at.get(majority(view.members.len()) - 1).copied()
    }

    /// Ends a pause if the confirmation was requested after the process resumed.
    fn end_pause(&mut self, requested_at: Timestamp) {
        if self.resumed_at.is_some_and(|at| requested_at >= at) {
            self.resumed_at = None;
        }
    }
}
