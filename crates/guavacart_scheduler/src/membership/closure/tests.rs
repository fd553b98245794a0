use guavacart_types::{DataCentre, Incarnation, InstanceId, Span};

use super::*;
use crate::{
    directory::Directory,
    membership::{Heartbeat, Load, ViewMember},
};

const NOW: Timestamp = Timestamp(100_000);
const WAIT: Span = Span::millis(RIGHT_SPAN.0 + DRIFT_MARGIN.0);

fn member(id: &str, incarnation: u64) -> ViewMember {
    let id: InstanceId = id.parse().unwrap();
    let incarnation = Incarnation(incarnation);
    let data_centre: DataCentre = "dc".parse().unwrap();
    ViewMember {
        member: Member { id, incarnation },
        data_centre,
    }
}

/// View 6 of `a` alone, with view 5 of `a` to `d` still open.
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
        attesting: true,
        leaving: false,
        delegation: None,
        hears: Vec::new(),
        config: Default::default(),
        load: Load::default(),
    }
}

/// True if view 5 is closed `waited` after `heard` arrived and the empty list was read.
fn is_closed(heard: &[Heartbeat], list_is_read: bool, waited: Span) -> bool {
    let me = member("a", 1).member;
    let view = view();
    let mut peers = Peers::new(me.clone());
    peers.adopted(Timestamp(0), &view);
    for heartbeat in heard {
        peers.heard(NOW, heartbeat.clone());
    }
    if list_is_read {
        peers.listed(NOW, &Directory::default());
    }
    let mut closures = Closures::default();
    closures.review(NOW, &me, &view, &peers);
    closures.review(NOW + waited, &me, &view, &peers);
    closures.is_closed(ViewNumber(5))
}

macro_rules! closed {
    ($($name:ident: $heard:expr, $listed:expr, $waited:expr => $closed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_closed(&$heard, $listed, $waited), $closed);
        }
    )*};
}

const LONG: Span = Span::millis(WAIT.0 + 1);

closed! {
    majority_after_the_wait: [heartbeat(member("b", 1), 6), heartbeat(member("c", 1), 7)], false, LONG => true;
    majority_before_the_wait: [heartbeat(member("b", 1), 6), heartbeat(member("c", 1), 7)], false, WAIT => false;
    half: [heartbeat(member("b", 1), 6)], false, LONG => false;
    still_in_the_view: [heartbeat(member("b", 1), 6), heartbeat(member("c", 1), 5)], false, LONG => false;
    superseded: [heartbeat(member("b", 1), 6), heartbeat(member("c", 2), 0)], false, LONG => true;
    gone_and_silent: [], true, LONG => true;
    not_listed_but_heard: [heartbeat(member("b", 1), 5), heartbeat(member("c", 1), 5), heartbeat(member("d", 1), 5)], true, WAIT => false;
}
