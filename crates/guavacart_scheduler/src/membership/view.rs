//! The one small record that says who the members are.

use guavacart_types::{DataCentre, Incarnation, InstanceId, ViewNumber, weight};
use serde::{Deserialize, Serialize};

/// One start of one entry instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// A member and where it runs.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ViewMember {
    /// The instance and its incarnation.
    pub member: Member,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// A view that a later one has replaced but whose owners may still act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EarlierView {
    /// Its number.
    pub number: ViewNumber,
    /// Its members.
    pub members: Vec<ViewMember>,
}

/// The members of the deployment under one number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Grows by one with each change; 0 stands for no view at all.
    pub number: ViewNumber,
    /// The members, in order of id.
    pub members: Vec<ViewMember>,
    /// Earlier views not yet known to be closed.
    pub open: Vec<EarlierView>,
}

impl View {
    /// True if this incarnation is a member.
    pub fn contains(&self, member: &Member) -> bool {
        self.members.iter().any(|m| m.member == *member)
    }

    /// The owner of `key`, sought in the data centre `preferred` first.
    pub fn owner(&self, key: &str, preferred: Option<&DataCentre>) -> Option<&ViewMember> {
        owner(&self.members, key, preferred)
    }

    /// All members by their weight for `key`, those of `preferred` first.
    pub fn ranking(&self, key: &str, preferred: Option<&DataCentre>) -> Vec<&ViewMember> {
        let mut ranking: Vec<&ViewMember> = self.members.iter().collect();
        ranking.sort_by_key(|m| std::cmp::Reverse(rank(m, key, preferred)));
        ranking
    }
}

/// The member that owns `key` among `members`.
pub(super) fn owner<'a>(
    members: &'a [ViewMember],
    key: &str,
    preferred: Option<&DataCentre>,
) -> Option<&'a ViewMember> {
    members.iter().max_by_key(|m| rank(m, key, preferred))
}

/// More than half of `members`.
pub(super) fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// The member's place for `key`; the greatest owns it.
pub(super) fn rank(member: &ViewMember, key: &str, preferred: Option<&DataCentre>) -> (bool, u64) {
    let near = preferred.is_some_and(|dc| *dc == member.data_centre);
    (near, weight(member.member.id.as_str(), key))
}
