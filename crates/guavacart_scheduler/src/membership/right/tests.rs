use guavacart_types::{DataCentre, Incarnation, InstanceId, ViewNumber};

use super::*;
use crate::membership::{Echo, Load, ViewMember};

const NOW: Timestamp = Timestamp(100_000);

fn member(id: &str, incarnation: u64) -> Member {
    let id: InstanceId = id.parse().unwrap();
    let incarnation = Incarnation(incarnation);
    Member { id, incarnation }
}

fn data_centre() -> DataCentre {
    "dc".parse().unwrap()
}

fn view(ids: &[&str]) -> View {
    let entry = |id: &&str| ViewMember {
        member: member(id, 1),
        data_centre: data_centre(),
    };
    View {
        number: ViewNumber(5),
        members: ids.iter().map(entry).collect(),
        open: Vec::new(),
    }
}

/// A heartbeat that echoes what `a` sent at `asked_at`.
fn heartbeat(from: Member, view: u64, asked_at: u64) -> Heartbeat {
    Heartbeat {
        from,
        data_centre: data_centre(),
        sent_at: Timestamp(1),
        echo: Some(Echo {
            incarnation: Incarnation(1),
            sent_at: Timestamp(asked_at),
        }),
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

fn until(ids: &[&str], heartbeats: &[Heartbeat]) -> Option<u64> {
    let (me, view) = (member("a", 1), view(ids));
    let mut right = Right::new(NOW);
    for heartbeat in heartbeats {
        right.attested(&me, &view, heartbeat);
    }
    right.until(NOW, &me, &view).map(|at| at.0)
}

macro_rules! right_ends {
    ($($name:ident: $ids:expr, $heartbeats:expr => $until:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(until(&$ids, &$heartbeats), $until);
        }
    )*};
}

right_ends! {
    alone: ["a"], [] => Some(103_000);
    without_evidence: ["a", "b"], [] => None;
    of_two: ["a", "b"], [heartbeat(member("b", 1), 5, 99_000)] => Some(102_000);
    one_of_four_is_too_few: ["a", "b", "c", "d"], [heartbeat(member("b", 1), 5, 99_000)] => None;
    older_of_the_majority_counts: ["a", "b", "c", "d"], [
        heartbeat(member("b", 1), 5, 99_000),
        heartbeat(member("c", 1), 5, 98_000),
    ] => Some(101_000);
    late_heartbeat_takes_nothing_away: ["a", "b"], [
        heartbeat(member("b", 1), 5, 99_000),
        heartbeat(member("b", 1), 5, 90_000),
    ] => Some(102_000);
    earlier_view: ["a", "b"], [heartbeat(member("b", 1), 4, 99_000)] => None;
    later_view: ["a", "b"], [
        heartbeat(member("b", 1), 5, 99_000),
        heartbeat(member("b", 1), 6, 99_500),
    ] => None;
    other_incarnation: ["a", "b"], [heartbeat(member("b", 2), 5, 99_000)] => None;
    no_member: ["a", "b"], [heartbeat(member("c", 1), 5, 99_000)] => None;
}

#[test]
fn a_store_answer_counts_from_the_call() {
    let mut right = Right::new(NOW);
    right.read(Timestamp(99_000), ViewNumber(5));
    let (me, view) = (member("a", 1), view(&["a", "b"]));
    assert_eq!(right.until(NOW, &me, &view), Some(Timestamp(102_000)));
    right.read(Timestamp(99_500), ViewNumber(6));
    assert_eq!(right.until(NOW, &me, &view), None);
}

#[test]
fn a_paused_member_attests_nothing_until_fresh_news() {
    let (me, view) = (member("a", 1), view(&["a", "b"]));
    let mut right = Right::new(NOW);
    let resumed = NOW + RIGHT_SPAN + RIGHT_SPAN;
    right.observe(resumed);
    assert!(!right.is_attesting());
    right.read(NOW, ViewNumber(5));
    assert!(!right.is_attesting());
    right.attested(&me, &view, &heartbeat(member("b", 1), 5, resumed.0));
    assert!(right.is_attesting());
}
