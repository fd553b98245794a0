use guavacart_types::{DataCentre, Incarnation, InstanceId, Span};

use super::*;
use crate::{
    directory::Directory,
    membership::{Heartbeat, Load, ViewMember},
};

const NOW: Timestamp = Timestamp(100_000);
const CLOSE_DELAY: Span = Span::millis(OWNERSHIP_LEASE_SPAN.0 + CLOCK_DRIFT_MARGIN.0);

fn member(id: &str, incarnation: u64) -> ViewMember {
    let id: InstanceId = id.parse().unwrap();
    let incarnation = Incarnation(incarnation);
    let data_centre: DataCentre = "dc".parse().unwrap();
    ViewMember {
        member: Member { id, incarnation },
        data_centre,
    }
}

/// Returns view 6 with the member `a`, and view 5 with the members `a` to `d` still open.
fn view() -> View {
    let earlier = EarlierView {
        number: ViewNumber(5),
        members: ["a", "b", "c", "d"].map(|id| member(id, 1)).to_vec(),
    };
    View {
        number: ViewNumber(6),
        members: vec![member("a", 1)],
        open: vec![earlier],
    }
}

fn heartbeat(from: ViewMember, view: u64) -> Heartbeat {
    Heartbeat {
        from: from.member,
        data_centre: from.data_centre,
        sent_at: Timestamp(1),
        echo: None,
        view_number: ViewNumber(view),
        view: None,
        confirming: true,
        leaving: false,
        delegation: None,
        reachable: Vec::new(),
        config: Default::default(),
        load: Load::default(),
    }
}

/// True if view 5 is closed `waited` after the heartbeats `received` arrived and, if `list_is_read`,
/// an empty instance list was read.
fn is_closed(received: &[Heartbeat], list_is_read: bool, waited: Span) -> bool {
    let me = member("a", 1).member;
    let view = view();
    let mut peers = Peers::new(me.clone());
    peers.adopt_view(Timestamp(0), &view);
    for heartbeat in received {
        peers.apply_heartbeat(NOW, heartbeat.clone());
    }
    if list_is_read {
        peers.apply_listing(NOW, &Directory::default());
    }
    let mut closed_views = ClosedViews::default();
    closed_views.update(NOW, &me, &view, &peers);
    closed_views.update(NOW + waited, &me, &view, &peers);
    closed_views.is_closed(ViewNumber(5))
}

macro_rules! closed {
    ($($name:ident: $received:expr, $listed:expr, $waited:expr => $closed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_closed(&$received, $listed, $waited), $closed);
        }
    )*};
}

const PAST_CLOSE_DELAY: Span = Span::millis(CLOSE_DELAY.0 + 1);

closed! {
    closed_after_a_majority_left_and_the_delay: [heartbeat(member("b", 1), 6), heartbeat(member("c", 1), 7)], false, PAST_CLOSE_DELAY => true;
    open_during_the_delay: [heartbeat(member("b", 1), 6), heartbeat(member("c", 1), 7)], false, CLOSE_DELAY => false;
    open_while_only_half_have_left: [heartbeat(member("b", 1), 6)], false, PAST_CLOSE_DELAY => false;
    open_while_half_remain_in_the_view: [heartbeat(member("b", 1), 6), heartbeat(member("c", 1), 5)], false, PAST_CLOSE_DELAY => false;
    closed_by_a_restarted_member: [heartbeat(member("b", 1), 6), heartbeat(member("c", 2), 0)], false, PAST_CLOSE_DELAY => true;
    closed_by_delisted_silent_members: [], true, PAST_CLOSE_DELAY => true;
    open_while_delisted_members_send_heartbeats: [heartbeat(member("b", 1), 5), heartbeat(member("c", 1), 5), heartbeat(member("d", 1), 5)], true, CLOSE_DELAY => false;
}
