//! Keys that a leaving owner hands to the other members while the view cannot change.

use guavacart_types::{InstanceId, Span, Timestamp, ViewNumber};
use serde::{Deserialize, Serialize};

use super::{
    peers::Peers,
    view::{Member, View, ViewMember},
};

/// How long a leaving member waits for the view to change before it delegates.
pub(super) const DELEGATE_AFTER: Span = Span::secs(2);
/// How long a member goes on telling of its delegation before it stops.
pub(super) const ANNOUNCE_SPAN: Span = Span::millis(1_500);

/// The members that act in one view for what a leaving member owns in it.
///
/// A member delegates at most once in its life, acts no more in that view from then on, and tells of
/// it in every heartbeat, so that whoever hears that it has adopted a later view also hears of this.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delegation {
    /// The view.
    pub view: ViewNumber,
    /// The members among whom its keys are divided, in order of id.
    pub to: Vec<InstanceId>,
}

/// This instance's own delegation and when it was made.
#[derive(Debug, Default)]
pub(super) struct OwnDelegation {
    announced: Option<(Delegation, Timestamp)>,
}

impl OwnDelegation {
    pub(super) fn get(&self) -> Option<&Delegation> {
        self.announced.as_ref().map(|(delegation, _)| delegation)
    }

    /// True once peers have had the time to hear of it.
    pub(super) fn is_announced(&self, now: Timestamp) -> bool {
        let made_at = self.announced.as_ref().map(|(_, at)| *at);
        made_at.is_some_and(|at| now.since(at) >= ANNOUNCE_SPAN)
    }

    /// Delegates to the live members of `view`; true if this has just been done.
    pub(super) fn delegate(&mut self, now: Timestamp, view: &View, peers: &Peers) -> bool {
        if self.announced.is_some() {
            return false;
        }
        let can_accept = |m: &&ViewMember| peers.can_accept_delegation(&m.member, view.number, now);
        let to: Vec<InstanceId> = view
            .members
            .iter()
            .filter(can_accept)
            .map(|m| m.member.id.clone())
            .collect();
        if to.is_empty() {
            return false;
        }
        let view = view.number;
        self.announced = Some((Delegation { view, to }, now));
        true
    }
}

/// The member that acts in the view `number` for `key`, delegations followed.
///
/// None if there are no members or delegations lead back to a member that has delegated.
pub(super) fn resolve_owner<'a>(
    members: &'a [ViewMember],
    number: ViewNumber,
    rank: impl Fn(&'a ViewMember) -> (bool, u64),
    delegation: impl Fn(&Member) -> Option<&'a Delegation>,
) -> Option<&'a ViewMember> {
    let mut owner = members.iter().max_by_key(|m| rank(m))?;
    for _ in 0..members.len() {
        let onward = delegation(&owner.member).filter(|d| d.view == number);
        let Some(onward) = onward else {
            return Some(owner);
        };
        let recipients = members.iter().filter(|m| onward.to.contains(&m.member.id));
        owner = recipients.max_by_key(|m| rank(m))?;
    }
    None
}
