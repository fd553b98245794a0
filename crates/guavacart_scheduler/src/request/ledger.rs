//! The request ids that this instance holds, and for which of them it knows all that came before.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{
    CallId, Incarnation, InstanceId, RequestId, Span, Timestamp, ViewNumber, weight,
};

use super::{ClaimAnswer, HeldId};
use crate::membership::{Member, View};

/// Holders of one request id.
const HOLDERS: usize = 3;
/// Holders that must call an id new before it is granted: any two such sets share one.
const QUORUM: usize = 2;
/// Most ids that are held.
const MAX_IDS: usize = 500_000;
/// Most views that are looked back on.
const MAX_VIEWS: usize = 64;
/// The number of the first view of a deployment.
const FIRST_VIEW: ViewNumber = ViewNumber(1);

#[derive(Clone, Debug)]
struct Held {
    asker: Member,
    call: CallId,
    at: Timestamp,
}

/// A view that this instance was in.
#[derive(Clone, Debug)]
struct Era {
    number: ViewNumber,
    members: Vec<InstanceId>,
    /// The starts of the members, in the same order.
    starts: Vec<Incarnation>,
    /// True if this start of this instance is a member.
    mine: bool,
    since: Timestamp,
    /// Members of the view before that handed over all that they knew.
    covered: Vec<InstanceId>,
    /// The view before as those members knew it.
    before: Vec<InstanceId>,
}

/// The request ids that this instance holds.
#[derive(Debug)]
pub(super) struct Ledger {
    me: InstanceId,
    ids: BTreeMap<RequestId, Held>,
    order: VecDeque<(Timestamp, RequestId)>,
    eras: VecDeque<Era>,
    /// Handovers for a view that this instance has not adopted yet.
    early: Vec<(ViewNumber, InstanceId, Vec<InstanceId>)>,
}

impl Ledger {
    pub(super) fn new(me: InstanceId) -> Self {
        Self {
            me,
            ids: BTreeMap::new(),
            order: VecDeque::new(),
            eras: VecDeque::new(),
            early: Vec::new(),
        }
    }

    /// The view that claims are answered in.
    pub(super) fn view(&self) -> ViewNumber {
        self.eras.back().map_or(ViewNumber(0), |era| era.number)
    }

    /// Takes a newer view.
    pub(super) fn adopt(&mut self, now: Timestamp, view: &View, me: &Member) {
        let members = view.members.iter().map(|m| &m.member);
        let mut era = Era {
            number: view.number,
            members: members.clone().map(|m| m.id.clone()).collect(),
            starts: members.map(|m| m.incarnation).collect(),
            mine: view.contains(me),
            since: now,
            covered: Vec::new(),
            before: Vec::new(),
        };
        for (number, from, before) in std::mem::take(&mut self.early) {
            if number == view.number {
                era.cover(from, before);
            } else if number > view.number {
                self.early.push((number, from, before));
            }
        }
        self.eras.push_back(era);
        if self.eras.len() > MAX_VIEWS {
            self.eras.pop_front();
        }
    }

    /// Forgets what is older than `keep`.
    pub(super) fn expire(&mut self, now: Timestamp, keep: Span) {
        while let Some((at, id)) = self.order.front() {
            if now.since(*at) <= keep {
                break;
            }
            if self.ids.get(id).is_some_and(|held| held.at <= *at) {
                self.ids.remove(id);
            }
            self.order.pop_front();
        }
    }

    /// Records a claim of `call` at `asker` and tells what was known.
    pub(super) fn claim(
        &mut self,
        now: Timestamp,
        keep: Span,
        view: ViewNumber,
        asker: &Member,
        call: CallId,
        id: &RequestId,
    ) -> ClaimAnswer {
        if view != self.view() || !self.is_holder(id) {
            return ClaimAnswer::WrongView;
        }
        if let Some(held) = self.ids.get(id) {
            if held.call != call || held.asker != *asker {
                return ClaimAnswer::Seen;
            }
        } else if self.ids.len() >= MAX_IDS {
            return ClaimAnswer::WrongView;
        }
        let asker = asker.clone();
        self.record(
            id.clone(),
            Held {
                asker,
                call,
                at: now,
            },
        );
        if self.knows(now, keep, id) {
            ClaimAnswer::New
        } else {
            ClaimAnswer::Unsure
        }
    }

    /// Forgets an id that its claimant did not dispatch.
    pub(super) fn release(&mut self, asker: &Member, call: CallId, id: &RequestId) {
        let same = |held: &Held| held.call == call && held.asker == *asker;
        if self.ids.get(id).is_some_and(same) {
            self.ids.remove(id);
        }
    }

    /// Takes the ids of a holder of the view before.
    pub(super) fn take_over(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        view: ViewNumber,
        before: Vec<InstanceId>,
        ids: Vec<HeldId>,
        complete: bool,
    ) {
        for held in ids {
            let at = now - held.age;
            let (asker, call) = (held.asker, held.call);
            if !self.ids.contains_key(&held.id) {
                self.record(held.id, Held { asker, call, at });
            }
        }
        if !complete {
            return;
        }
        let from = from.clone();
        if view > self.view() {
            self.early.push((view, from, before));
        } else if let Some(era) = self.eras.iter_mut().find(|era| era.number == view) {
            era.cover(from, before);
        }
    }

    /// What each other member of a view is to be told: its ids and whether they are all.
    pub(super) fn handovers(&self, now: Timestamp, keep: Span, view: ViewNumber) -> Vec<Handover> {
        let Some(place) = self.eras.iter().position(|era| era.number == view) else {
            return Vec::new();
        };
        let last = &self.eras[place];
        let Some(before) = place.checked_sub(1).and_then(|i| self.eras.get(i)) else {
            return Vec::new();
        };
        if !before.mine {
            return Vec::new();
        }
        let follows = before.number.next() == last.number;
        let complete = follows && self.knows_all(now, keep, place - 1);
        let others = last.members.iter().filter(|id| **id != self.me);
        let handover = |to: &InstanceId| Handover {
            to: to.clone(),
            view: last.number,
            before: before.members.clone(),
            ids: self.ids_for(now, to, before, last),
            complete,
        };
        others.map(handover).collect()
    }

    /// The ids that `to` is a holder of in `era` and was not in the one before.
    fn ids_for(&self, now: Timestamp, to: &InstanceId, before: &Era, era: &Era) -> Vec<HeldId> {
        let is_new = |id: &RequestId| {
            let now_holds = holders(&era.members, id).contains(&to);
            let stayed = before.start_of(to) == era.start_of(to);
            now_holds && !(stayed && holders(&before.members, id).contains(&to))
        };
        let theirs = self.ids.iter().filter(|(id, _)| is_new(id));
        let held = |(id, held): (&RequestId, &Held)| HeldId {
            id: id.clone(),
            asker: held.asker.clone(),
            call: held.call,
            age: now.since(held.at),
        };
        theirs.map(held).collect()
    }

    fn record(&mut self, id: RequestId, held: Held) {
        let at = held.at;
        let place = self.order.partition_point(|(other, _)| *other <= at);
        self.order.insert(place, (at, id.clone()));
        self.ids.insert(id, held);
    }

    fn is_holder(&self, id: &RequestId) -> bool {
        let last = self.eras.back();
        last.is_some_and(|era| self.held(era, id))
    }

    /// True if this start of this instance was a holder of an id.
    fn held(&self, era: &Era, id: &RequestId) -> bool {
        era.mine && holders(&era.members, id).contains(&&self.me)
    }

    /// True if no id could have been recorded without this instance knowing it.
    fn knows(&self, now: Timestamp, keep: Span, id: &RequestId) -> bool {
        for (place, era) in self.eras.iter().enumerate().rev() {
            if !self.held(era, id) {
                return false;
            }
            if is_base(era, now, keep) {
                return true;
            }
            let old = holders(&era.before, id);
            let told = era.covered.iter().filter(|from| old.contains(from));
            if told.count() >= quorum(old.len()) {
                return true;
            }
            if !self.follows(place) {
                return false;
            }
        }
        false
    }

    /// True if this instance knows every id that it is a holder of in the era at `place`.
    fn knows_all(&self, now: Timestamp, keep: Span, place: usize) -> bool {
        let Some(era) = self.eras.get(place) else {
            return false;
        };
        if !era.mine {
            return false;
        }
        if is_base(era, now, keep) {
            return true;
        }
        let stayed = self.follows(place) && self.knows_all(now, keep, place - 1);
        let covered = era.covered.len() + usize::from(stayed);
        let before = if stayed {
            self.eras[place - 1].members.len()
        } else {
            era.before.len()
        };
        covered >= 1 && covered + 1 >= before
    }

    /// True if the era at `place` follows the one before it without a view between.
    fn follows(&self, place: usize) -> bool {
        let before = place.checked_sub(1).and_then(|i| self.eras.get(i));
        let era = self.eras.get(place);
        match (before, era) {
            (Some(before), Some(era)) => before.number.next() == era.number,
            _ => false,
        }
    }
}

impl Era {
    /// Notes a member of the view before that told all that it knew; it may tell it again.
    fn cover(&mut self, from: InstanceId, before: Vec<InstanceId>) {
        if !self.covered.contains(&from) {
            self.covered.push(from);
        }
        self.before = before;
    }

    fn start_of(&self, id: &InstanceId) -> Option<Incarnation> {
        let place = self.members.iter().position(|other| other == id)?;
        self.starts.get(place).copied()
    }
}

/// Ids that one member of a new view is to be told.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) to: InstanceId,
    pub(super) view: ViewNumber,
    pub(super) before: Vec<InstanceId>,
    pub(super) ids: Vec<HeldId>,
    pub(super) complete: bool,
}

/// How many of an id's holders must call it new.
pub(super) fn quorum(holders: usize) -> usize {
    holders.clamp(1, QUORUM)
}

/// The holders of an id among `members`.
pub(super) fn holders<'a>(members: &'a [InstanceId], id: &RequestId) -> Vec<&'a InstanceId> {
    let key = format!("request/{id}");
    let mut ranking: Vec<(u64, &InstanceId)> = members
        .iter()
        .map(|m| (weight(m.as_str(), &key), m))
        .collect();
    ranking.sort_unstable_by(|a, b| b.cmp(a));
    ranking.truncate(HOLDERS);
    ranking.into_iter().map(|(_, m)| m).collect()
}

fn is_base(era: &Era, now: Timestamp, keep: Span) -> bool {
    era.number == FIRST_VIEW || now.since(era.since) > keep
}
