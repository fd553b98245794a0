//! The right to act: recent evidence that the view is unchanged.

use std::collections::BTreeMap;

use guavacart_types::{Timestamp, ViewNumber};

use super::{
    RIGHT_SPAN,
    heartbeat::Heartbeat,
    view::{Member, View, majority},
};

#[cfg(test)]
mod tests;

/// What a member last attested to this instance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Confirmation {
    view: ViewNumber,
    /// This instance's clock when it sent the heartbeat that was echoed.
    asked_at: Timestamp,
}

/// Evidence for the view, and whether this instance may attest it to others.
#[derive(Debug)]
pub(super) struct OwnershipLease {
    /// By incarnation: a later one attests nothing for an earlier one.
    confirmations: BTreeMap<Member, Confirmation>,
    store: Option<Confirmation>,
    last_run: Timestamp,
    /// When the process ran again after a pause; evidence asked for before it proves nothing.
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

    /// Notes that the process runs at `now`; a gap longer than the right's span is a pause.
    pub(super) fn note_running(&mut self, now: Timestamp) {
        if now.since(self.last_run) > RIGHT_SPAN {
            self.resumed_at = Some(now);
        }
        self.last_run = self.last_run.max(now);
    }

    /// True if this instance may attest the view that it is in.
    pub(super) fn may_confirm(&self) -> bool {
        self.resumed_at.is_none()
    }

    /// The store showed the view `number` in answer to a read asked for at `asked_at`.
    pub(super) fn record_store_read(&mut self, asked_at: Timestamp, number: ViewNumber) {
        let newer = self.store.is_none_or(|seen| seen.asked_at < asked_at);
        if newer {
            let view = number;
            self.store = Some(Confirmation { view, asked_at });
        }
        self.end_pause(asked_at);
    }

    /// A peer told which view it is in and which heartbeat of ours it had by then.
    pub(super) fn record_heartbeat(&mut self, me: &Member, view: &View, heartbeat: &Heartbeat) {
        let Some(echo) = heartbeat.echo else {
            return;
        };
        if echo.incarnation != me.incarnation || !heartbeat.attesting {
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
            asked_at: echo.sent_at,
        };
        let from = heartbeat.from.clone();
        let newest = self.confirmations.entry(from).or_insert(confirmation);
        *newest = confirmation.max(*newest);
    }

    /// Forgets what was attested by incarnations that are no members of `view`.
    pub(super) fn retain_members(&mut self, view: &View) {
        self.confirmations.retain(|member, _| view.contains(member));
    }

    /// True if each other member attested the view when asked at `since` or later.
    pub(super) fn is_confirmed_by_all(&self, since: Timestamp, me: &Member, view: &View) -> bool {
        let others = view.members.iter().filter(|m| m.member != *me);
        let mut seen = others.map(|m| self.confirmations.get(&m.member));
        seen.all(|seen| seen.is_some_and(|s| s.view == view.number && s.asked_at >= since))
    }

    /// The end of the right to act in `view`, or none without evidence.
    pub(super) fn expires_at(&self, now: Timestamp, me: &Member, view: &View) -> Option<Timestamp> {
        let by_store = self
            .store
            .filter(|seen| seen.view == view.number)
            .map(|seen| seen.asked_at + RIGHT_SPAN);
        let by_peers = self
            .quorum_confirmed_at(now, me, view)
            .map(|asked_at| asked_at + RIGHT_SPAN);
        by_store.max(by_peers)
    }

    /// The latest time such that a majority of the view attested it when asked then or later.
    fn quorum_confirmed_at(&self, now: Timestamp, me: &Member, view: &View) -> Option<Timestamp> {
        if !self.may_confirm() {
            return None;
        }
        let mut asked: Vec<Timestamp> = view
            .members
            .iter()
            .filter_map(|m| {
                if m.member == *me {
                    return Some(now);
                }
                let seen = self.confirmations.get(&m.member)?;
                (seen.view == view.number).then_some(seen.asked_at)
            })
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(majority(view.members.len()) - 1).copied()
    }

    fn end_pause(&mut self, asked_at: Timestamp) {
        if self.resumed_at.is_some_and(|at| asked_at >= at) {
            self.resumed_at = None;
        }
    }
}
