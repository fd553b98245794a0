//! Delegation: a leaving owner hands its keys to other members while the view cannot change, for
//! example because the store is down.

use guavacart_types::{InstanceId, Span, Timestamp, ViewNumber};
use serde::{Deserialize, Serialize};

use super::{
    peers::Peers,
    view::{Member, View, ViewMember},
};

/// How long a leaving member waits for the view to change before it delegates its keys.
pub(super) const DELEGATE_AFTER: Span = Span::secs(2);
/// How long a member announces its delegation in heartbeats before its process may stop.
pub(super) const ANNOUNCE_SPAN: Span = Span::millis(1_500);

/// The members that act in one view for the keys that a leaving member owns in it.
///
/// An incarnation delegates at most once. From then on it does not act in that view and announces the
/// delegation in every heartbeat, so that a peer which learns that the member has adopted a later view
/// learns of the delegation too.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delegation {
    /// The view that the delegation applies to.
    pub view: ViewNumber,
    /// The members among which the keys are divided, in order of id.
    pub to: Vec<InstanceId>,
}

/// This instance's own delegation, if it has made one.
#[derive(Debug, Default)]
pub(super) struct OwnDelegation {
    announced: Option<(Delegation, Timestamp)>,
}

impl OwnDelegation {
    pub(super) fn get(&self) -> Option<&Delegation> {
        self.announced.as_ref().map(|(delegation, _)| delegation)
    }

    /// True once the delegation has been announced for [`ANNOUNCE_SPAN`].
    pub(super) fn is_announced(&self, now: Timestamp) -> bool {
        let made_at = self.announced.as_ref().map(|(_, at)| *at);
        made_at.is_some_and(|at| now.since(at) >= ANNOUNCE_SPAN)
    }

    /// Delegates to the members of `view` that can accept; true if a delegation was made by this call.
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

/// Returns the member that acts for a key in the view `number`, following delegations. `rank` ranks the
/// members for the key.
///
/// Returns `None` if there are no members or the delegations form a cycle.
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
