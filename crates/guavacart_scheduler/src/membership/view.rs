//! The view: the record in the store that lists the members of the deployment.

use guavacart_types::{DataCentre, Incarnation, InstanceId, ViewNumber, rendezvous_weight};
use serde::{Deserialize, Serialize};

/// One incarnation of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// The instance's id.
    pub id: InstanceId,
    /// The incarnation, which differs after a restart.
    pub incarnation: Incarnation,
}

/// A member of a view and its data centre.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ViewMember {
    /// The instance and its incarnation.
    pub member: Member,
    /// The member's data centre.
    pub data_centre: DataCentre,
}

/// A replaced view whose owners may still act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EarlierView {
    /// The number of the view.
    pub number: ViewNumber,
    /// The members of the view.
    pub members: Vec<ViewMember>,
}

/// The membership configuration of the deployment under one number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Incremented with each change; 0 means that there is no view yet.
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

    /// Returns the owner of `key`. Members in the data centre `preferred` rank first.
    pub fn owner(&self, key: &str, preferred: Option<&DataCentre>) -> Option<&ViewMember> {
        owner(&self.members, key, preferred)
    }

    /// Returns all members by their rank for `key`, the owner first.
    pub fn ranking(&self, key: &str, preferred: Option<&DataCentre>) -> Vec<&ViewMember> {
        let mut ranking: Vec<&ViewMember> = self.members.iter().collect();
        ranking.sort_by_key(|m| std::cmp::Reverse(rank(m, key, preferred)));
        ranking
    }
}

/// Returns the member that owns `key` among `members`.
pub(super) fn owner<'a>(
    members: &'a [ViewMember],
    key: &str,
    preferred: Option<&DataCentre>,
) -> Option<&'a ViewMember> {
    members.iter().max_by_key(|m| rank(m, key, preferred))
}

/// Returns the size of the smallest majority of `members`.
pub(super) fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Returns the member's rank for `key`; the member with the greatest rank owns the key.
pub(super) fn rank(member: &ViewMember, key: &str, preferred: Option<&DataCentre>) -> (bool, u64) {
    let near = preferred.is_some_and(|dc| *dc == member.data_centre);
    (near, rendezvous_weight(member.member.id.as_str(), key))
}
