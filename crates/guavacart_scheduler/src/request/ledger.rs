//! The request ids that this instance has recorded as one of their holders.
//!
//! The holders of an id are the members of a view that rank first for the id in a rendezvous hash.
//! When the view changes, members of the earlier view hand their ids over to the new holders. The
//! ledger tracks for which ids this instance has a complete history: only for these can it answer
//! that an id was not seen before.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{
    CallId, Incarnation, InstanceId, RequestId, Span, Timestamp, ViewNumber, rendezvous_weight,
};

use super::{ClaimAnswer, RecordedId};
use crate::membership::{Member, View};

/// Number of holders of one request id.
const HOLDERS_PER_ID: usize = 3;
/// Number of holders that must answer [`ClaimAnswer::New`] before a claim is granted: any two
/// sets of this size have a holder in common.
const QUORUM: usize = 2;
/// Maximum number of ids that are kept.
const MAX_IDS: usize = 500_000;
/// Maximum number of adopted views that are remembered.
const MAX_VIEWS: usize = 64;
/// Number of the first view of a deployment.
const FIRST_VIEW: ViewNumber = ViewNumber(1);

/// The recorded claim of a request id.
#[derive(Clone, Debug)]
struct RecordedClaim {
    claimant: Member,
    call: CallId,
    at: Timestamp,
}

/// A view that this instance has adopted, and the handovers received for it.
#[derive(Clone, Debug)]
struct AdoptedView {
    number: ViewNumber,
    members: Vec<InstanceId>,
    /// Incarnations of the members, in the same order.
    incarnations: Vec<Incarnation>,
    /// True if this incarnation of this instance is a member.
    is_member: bool,
    since: Timestamp,
    /// Members of the previous view whose complete handover has arrived.
    handed_over_by: Vec<InstanceId>,
    /// Members of the previous view, as reported in the handovers.
    previous_members: Vec<InstanceId>,
}

/// The request ids that this instance has recorded as a holder.
#[derive(Debug)]
pub(super) struct Ledger {
    me: InstanceId,
    ids: BTreeMap<RequestId, RecordedClaim>,
    /// When ids were recorded, oldest first; released and repeated claims leave extra entries.
    expiry_order: VecDeque<(Timestamp, RequestId)>,
    views: VecDeque<AdoptedView>,
    /// Complete handovers for views that this instance has not adopted yet.
    early_handovers: Vec<(ViewNumber, InstanceId, Vec<InstanceId>)>,
}

impl Ledger {
    pub(super) fn new(me: InstanceId) -> Self {
        Self {
            me,
            ids: BTreeMap::new(),
            expiry_order: VecDeque::new(),
            views: VecDeque::new(),
            early_handovers: Vec::new(),
        }
    }

    /// Returns the number of the adopted view, in which claims are answered.
    pub(super) fn view(&self) -> ViewNumber {
        self.views
            .back()
            .map_or(ViewNumber(0), |adopted| adopted.number)
    }

    /// Adopts a newer view.
    pub(super) fn adopt(&mut self, now: Timestamp, view: &View, me: &Member) {
        let members = view.members.iter().map(|m| &m.member);
        let mut adopted = AdoptedView {
            number: view.number,
            members: members.clone().map(|m| m.id.clone()).collect(),
            incarnations: members.map(|m| m.incarnation).collect(),
            is_member: view.contains(me),
            since: now,
            handed_over_by: Vec::new(),
            previous_members: Vec::new(),
        };
        for (number, from, previous_members) in std::mem::take(&mut self.early_handovers) {
            if number == view.number {
                adopted.add_handover(from, previous_members);
            } else if number > view.number {
                self.early_handovers.push((number, from, previous_members));
            }
        }
        self.views.push_back(adopted);
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
        }
    }

    /// Forgets ids older than the retention span.
    pub(super) fn expire(&mut self, now: Timestamp, retention: Span) {
        while let Some((at, id)) = self.expiry_order.front() {
            if now.since(*at) <= retention {
                break;
            }
            if self.ids.get(id).is_some_and(|claim| claim.at <= *at) {
                self.ids.remove(id);
            }
            self.expiry_order.pop_front();
        }
    }

    /// Records the claim of an id by `call` of `claimant` and returns whether the id is new.
    pub(super) fn claim(
        &mut self,
        now: Timestamp,
        retention: Span,
        view: ViewNumber,
        claimant: &Member,
        call: CallId,
        id: &RequestId,
    ) -> ClaimAnswer {
        if view != self.view() || !self.is_holder(id) {
            return ClaimAnswer::WrongView;
        }
        if let Some(claim) = self.ids.get(id) {
            if claim.call != call || claim.claimant != *claimant {
                return ClaimAnswer::Seen;
            }
        } else if self.ids.len() >= MAX_IDS {
            return ClaimAnswer::WrongView;
        }
        let claimant = claimant.clone();
        self.record(
            id.clone(),
            RecordedClaim {
                claimant,
                call,
                at: now,
            },
        );
        if self.knows_history(now, retention, id) {
            ClaimAnswer::New
        } else {
            ClaimAnswer::HistoryUnknown
        }
    }

    /// Forgets an id whose request was not run, if `call` of `claimant` has claimed it.
    pub(super) fn release(&mut self, claimant: &Member, call: CallId, id: &RequestId) {
        let is_same = |claim: &RecordedClaim| claim.call == call && claim.claimant == *claimant;
        if self.ids.get(id).is_some_and(is_same) {
            self.ids.remove(id);
        }
    }

    /// Records the ids handed over by a member of the previous view.
    pub(super) fn apply_handover(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        view: ViewNumber,
        previous_members: Vec<InstanceId>,
        ids: Vec<RecordedId>,
        complete: bool,
    ) {
        for recorded in ids {
            let at = now - recorded.age;
            let (claimant, call) = (recorded.claimant, recorded.call);
            if !self.ids.contains_key(&recorded.id) {
                self.record(recorded.id, RecordedClaim { claimant, call, at });
            }
        }
        if !complete {
            return;
        }
        let from = from.clone();
        if view > self.view() {
            self.early_handovers.push((view, from, previous_members));
        } else if let Some(adopted) = self.views.iter_mut().find(|adopted| adopted.number == view) {
            adopted.add_handover(from, previous_members);
        }
    }

    /// Returns the handover for each other member of a view: the ids that the member is a new
    /// holder of, and whether this instance knows all of them.
    pub(super) fn handovers(
        &self,
        now: Timestamp,
        retention: Span,
        view: ViewNumber,
    ) -> Vec<Handover> {
        let Some(index) = self.views.iter().position(|adopted| adopted.number == view) else {
            return Vec::new();
        };
        let current = &self.views[index];
        let Some(previous) = index.checked_sub(1).and_then(|i| self.views.get(i)) else {
            return Vec::new();
        };
        if !previous.is_member {
            return Vec::new();
        }
        let none_skipped = previous.number.next() == current.number;
        let complete = none_skipped && self.knows_all_ids(now, retention, index - 1);
        let others = current.members.iter().filter(|id| **id != self.me);
        let handover = |to: &InstanceId| Handover {
            to: to.clone(),
            view: current.number,
            previous_members: previous.members.clone(),
            ids: self.ids_for(now, to, previous, current),
            complete,
        };
        others.map(handover).collect()
    }

    /// Returns the ids that `to` is a holder of in `current` but was not in `previous`.
    fn ids_for(
        &self,
        now: Timestamp,
        to: &InstanceId,
        previous: &AdoptedView,
        current: &AdoptedView,
    ) -> Vec<RecordedId> {
        let is_new = |id: &RequestId| {
            let is_holder = holders(&current.members, id).contains(&to);
            let stayed = previous.incarnation_of(to) == current.incarnation_of(to);
            is_holder && !(stayed && holders(&previous.members, id).contains(&to))
        };
        let new_ids = self.ids.iter().filter(|(id, _)| is_new(id));
        let recorded_id = |(id, claim): (&RequestId, &RecordedClaim)| RecordedId {
            id: id.clone(),
            claimant: claim.claimant.clone(),
            call: claim.call,
            age: now.since(claim.at),
        };
        new_ids.map(recorded_id).collect()
    }

    fn record(&mut self, id: RequestId, claim: RecordedClaim) {
        let at = claim.at;
        let index = self.expiry_order.partition_point(|(other, _)| *other <= at);
        self.expiry_order.insert(index, (at, id.clone()));
        self.ids.insert(id, claim);
    }

    fn is_holder(&self, id: &RequestId) -> bool {
        let current = self.views.back();
        current.is_some_and(|adopted| self.is_holder_in(adopted, id))
    }

    /// True if this incarnation of this instance is a holder of an id in a view.
    fn is_holder_in(&self, adopted: &AdoptedView, id: &RequestId) -> bool {
        adopted.is_member && holders(&adopted.members, id).contains(&&self.me)
    }

    /// True if this instance would know of every claim of an id within the retention span.
    ///
    /// Walks back through the views that this instance was a holder in, until one needs no handover
    /// or a quorum of the previous holders has handed over its ids.
    fn knows_history(&self, now: Timestamp, retention: Span, id: &RequestId) -> bool {
        for (index, adopted) in self.views.iter().enumerate().rev() {
            if !self.is_holder_in(adopted, id) {
                return false;
            }
            if needs_no_handover(adopted, now, retention) {
                return true;
            }
            let previous = holders(&adopted.previous_members, id);
            let handed_over = adopted
                .handed_over_by
                .iter()
                .filter(|from| previous.contains(from));
            if handed_over.count() >= quorum(previous.len()) {
                return true;
            }
            if !self.follows(index) {
                return false;
            }
        }
        false
    }

    /// True if this instance knows every id that it is a holder of in the view at `index`.
    ///
    /// At most one member of the previous view may be missing from the handovers.
    fn knows_all_ids(&self, now: Timestamp, retention: Span, index: usize) -> bool {
        let Some(adopted) = self.views.get(index) else {
            return false;
        };
        if !adopted.is_member {
            return false;
        }
        if needs_no_handover(adopted, now, retention) {
            return true;
        }
        let knew_all = self.follows(index) && self.knows_all_ids(now, retention, index - 1);
        let handed_over = adopted.handed_over_by.len() + usize::from(knew_all);
        let previous = if knew_all {
            self.views[index - 1].members.len()
        } else {
            adopted.previous_members.len()
        };
        handed_over >= 1 && handed_over + 1 >= previous
    }

    /// True if this instance skipped no view between the one at `index` and the one before it.
    fn follows(&self, index: usize) -> bool {
        let previous = index.checked_sub(1).and_then(|i| self.views.get(i));
        let adopted = self.views.get(index);
        match (previous, adopted) {
            (Some(previous), Some(adopted)) => previous.number.next() == adopted.number,
            _ => false,
        }
    }
}

impl AdoptedView {
    /// Records the complete handover of a member of the previous view; it may arrive repeatedly.
    fn add_handover(&mut self, from: InstanceId, previous_members: Vec<InstanceId>) {
        if !self.handed_over_by.contains(&from) {
            self.handed_over_by.push(from);
        }
        self.previous_members = previous_members;
    }

    fn incarnation_of(&self, id: &InstanceId) -> Option<Incarnation> {
        let index = self.members.iter().position(|other| other == id)?;
        self.incarnations.get(index).copied()
    }
}

/// The ids to hand over to one member of a new view.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) to: InstanceId,
    pub(super) view: ViewNumber,
    pub(super) previous_members: Vec<InstanceId>,
    pub(super) ids: Vec<RecordedId>,
    pub(super) complete: bool,
}

/// Returns how many of an id's holders must answer that it is new.
pub(super) fn quorum(holders: usize) -> usize {
    holders.clamp(1, QUORUM)
}

/// Returns the holders of an id among `members`.
pub(super) fn holders<'a>(members: &'a [InstanceId], id: &RequestId) -> Vec<&'a InstanceId> {
    let key = format!("request/{id}");
    let mut ranking: Vec<(u64, &InstanceId)> = members
        .iter()
        .map(|m| (rendezvous_weight(m.as_str(), &key), m))
        .collect();
    ranking.sort_unstable_by(|a, b| b.cmp(a));
    ranking.truncate(HOLDERS_PER_ID);
    ranking.into_iter().map(|(_, m)| m).collect()
}

/// True if no id claimed before a view can still matter: it is the first view, or it was adopted
/// longer ago than the retention span.
fn needs_no_handover(adopted: &AdoptedView, now: Timestamp, retention: Span) -> bool {
    adopted.number == FIRST_VIEW || now.since(adopted.since) > retention
}
