use std::net::SocketAddr;

use guavacart_types::{DataCentre, Incarnation, InstanceId, ViewNumber};

use super::*;
use crate::{
    directory::{ListedInstance, Role},
    membership::{Heartbeat, Load},
};

const NOW: Timestamp = Timestamp(100_000);

fn member(id: &str, incarnation: u64) -> ViewMember {
    let id: InstanceId = id.parse().unwrap();
    let incarnation = Incarnation(incarnation);
    let data_centre: DataCentre = "dc".parse().unwrap();
    ViewMember {
        member: Member { id, incarnation },
        data_centre,
    }
}

fn heartbeat(from: ViewMember, leaving: bool) -> Heartbeat {
    Heartbeat {
        from: from.member,
        data_centre: from.data_centre,
        sent_at: Timestamp(1),
        echo: None,
        view_number: ViewNumber(5),
        view: None,
        confirming: true,
        leaving,
        delegation: None,
        reachable: Vec::new(),
        config: Default::default(),
        load: Load::default(),
    }
}

fn directory(ids: &[&str]) -> Directory {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let entry = |id: &&str| ListedInstance {
        data_centre: "dc".parse().unwrap(),
        address,
        leaving: false,
        role: Role::Entry {
            id: id.parse().unwrap(),
        },
    };
    let mut directory = Directory::default();
    directory.replace(NOW, ids.iter().map(entry).collect());
    directory
}

/// Returns the members that `a` proposes after view 5 of `a`, `b` and `c`. `received` lists the senders
/// of heartbeats and whether each is leaving.
///
/// The senders report each other as reachable unless `isolated`.
fn proposal(
    received: &[(ViewMember, bool)],
    listed: &[&str],
    open: usize,
    isolated: bool,
) -> Option<Vec<String>> {
    let me = member("a", 1);
    let earlier = |number| EarlierView {
        number: ViewNumber(number as u64),
        members: Vec::new(),
    };
    let view = View {
        number: ViewNumber(5),
        members: ["a", "b", "c"].map(|id| member(id, 1)).to_vec(),
        open: (0..open).map(earlier).collect(),
    };
    let mut peers = Peers::new(me.member.clone());
    peers.adopt_view(Timestamp(0), &view);
    let reachable = |from: &ViewMember| {
        let others = received.iter().map(|(other, _)| other);
        let others = others.filter(|other| *other != from && !isolated);
        others.map(|other| other.member.clone()).collect()
    };
    for (from, leaving) in received {
        let mut heartbeat = heartbeat(from.clone(), *leaving);
        heartbeat.reachable = reachable(from);
        peers.apply_heartbeat(NOW, heartbeat);
    }
    let directory = directory(listed);
    peers.apply_listing(NOW, &directory);
    let inputs = Inputs {
        now: NOW,
        me: &me,
        view: &view,
        peers: &peers,
        closed_views: &ClosedViews::default(),
        directory: &directory,
        leaving: false,
        started_at: Timestamp(0),
        mismatched_since: Timestamp(0),
    };
    let members = desired_members(&inputs);
    if members == view.members {
        return None;
    }
    let name = |m: &ViewMember| format!("{}#{}", m.member.id, m.member.incarnation);
    propose(&inputs, members).map(|view| view.members.iter().map(name).collect())
}

macro_rules! proposes {
    ($($name:ident: $received:expr, $listed:expr, $open:expr => $members:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<&[&str]> = $members;
            let proposed = proposal(&$received, &$listed, $open, false);
            assert_eq!(proposed.as_deref(), expected.map(|w| w.iter().map(|m| m.to_string()).collect::<Vec<_>>()).as_deref());
        }
    )*};
}

proposes! {
    nothing_while_all_are_reachable: [(member("b", 1), false), (member("c", 1), false)], ["a", "b", "c"], 0 => None;
    removal_of_a_silent_member: [(member("b", 1), false)], ["a", "b", "c"], 0 => Some(&["a#1", "b#1"]);
    removal_of_a_leaving_member: [(member("b", 1), false), (member("c", 1), true)], ["a", "b", "c"], 0 => Some(&["a#1", "b#1"]);
    nothing_without_a_majority: [], ["a", "b", "c"], 0 => None;
    removal_of_a_delisted_majority: [], ["a"], 0 => Some(&["a#1"]);
    addition_of_a_listed_newcomer: [(member("b", 1), false), (member("c", 1), false), (member("d", 1), false)], ["a", "b", "c", "d"], 0 => Some(&["a#1", "b#1", "c#1", "d#1"]);
    nothing_for_an_unlisted_newcomer: [(member("b", 1), false), (member("c", 1), false), (member("d", 1), false)], ["a", "b", "c"], 0 => None;
    replacement_of_a_restarted_member: [(member("b", 1), false), (member("c", 2), false)], ["a", "b", "c"], 0 => Some(&["a#1", "b#1", "c#2"]);
    nothing_while_too_many_views_are_open: [(member("b", 1), false)], ["a", "b", "c"], 16 => None;
}

#[test]
fn nothing_for_a_newcomer_that_other_members_cannot_reach() {
    let received = ["b", "c", "d"].map(|id| (member(id, 1), false));
    let proposed = proposal(&received, &["a", "b", "c", "d"], 0, true);
    assert_eq!(proposed, None);
}
