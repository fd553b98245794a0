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

/// Returns a heartbeat that echoes the one that `a` sent at `requested_at`.
fn heartbeat(from: Member, view: u64, requested_at: u64) -> Heartbeat {
    Heartbeat {
        from,
        data_centre: data_centre(),
        sent_at: Timestamp(1),
        echo: Some(Echo {
            incarnation: Incarnation(1),
            sent_at: Timestamp(requested_at),
        }),
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

/// Returns when the lease of `a` in view 5 of `ids` expires after `heartbeats`.
fn expiry(ids: &[&str], heartbeats: &[Heartbeat]) -> Option<u64> {
    let (me, view) = (member("a", 1), view(ids));
    let mut lease = OwnershipLease::new(NOW);
    for heartbeat in heartbeats {
        lease.record_heartbeat(&me, &view, heartbeat);
    }
    lease.expires_at(NOW, &me, &view).map(|at| at.0)
}

macro_rules! lease_expires {
    ($($name:ident: $ids:expr, $heartbeats:expr => $until:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(expiry(&$ids, &$heartbeats), $until);
        }
    )*};
}

lease_expires! {
    single_member_needs_no_confirmation: ["a"], [] => Some(103_000);
    no_lease_without_confirmation: ["a", "b"], [] => None;
    lease_starts_at_the_confirmed_request: ["a", "b"], [heartbeat(member("b", 1), 5, 99_000)] => Some(102_000);
    no_lease_from_two_of_four: ["a", "b", "c", "d"], [heartbeat(member("b", 1), 5, 99_000)] => None;
    oldest_confirmation_of_the_majority_counts: ["a", "b", "c", "d"], [
        heartbeat(member("b", 1), 5, 99_000),
        heartbeat(member("c", 1), 5, 98_000),
    ] => Some(101_000);
    delayed_heartbeat_does_not_shorten_the_lease: ["a", "b"], [
        heartbeat(member("b", 1), 5, 99_000),
        heartbeat(member("b", 1), 5, 90_000),
    ] => Some(102_000);
    confirmation_of_an_earlier_view_does_not_count: ["a", "b"], [heartbeat(member("b", 1), 4, 99_000)] => None;
    report_of_a_later_view_ends_the_lease: ["a", "b"], [
        heartbeat(member("b", 1), 5, 99_000),
        heartbeat(member("b", 1), 6, 99_500),
    ] => None;
    confirmation_by_another_incarnation_does_not_count: ["a", "b"], [heartbeat(member("b", 2), 5, 99_000)] => None;
    confirmation_by_a_non_member_does_not_count: ["a", "b"], [heartbeat(member("c", 1), 5, 99_000)] => None;
}

#[test]
fn a_store_read_extends_the_lease_from_its_request() {
    let mut lease = OwnershipLease::new(NOW);
    lease.record_store_read(Timestamp(99_000), ViewNumber(5));
    let (me, view) = (member("a", 1), view(&["a", "b"]));
    assert_eq!(lease.expires_at(NOW, &me, &view), Some(Timestamp(102_000)));
    lease.record_store_read(Timestamp(99_500), ViewNumber(6));
    assert_eq!(lease.expires_at(NOW, &me, &view), None);
}

#[test]
fn a_paused_member_confirms_nothing_until_its_view_is_confirmed() {
    let (me, view) = (member("a", 1), view(&["a", "b"]));
    let mut lease = OwnershipLease::new(NOW);
    let resumed = NOW + OWNERSHIP_LEASE_SPAN + OWNERSHIP_LEASE_SPAN;
    lease.note_running(resumed);
    assert!(!lease.may_confirm());
    lease.record_store_read(NOW, ViewNumber(5));
    assert!(!lease.may_confirm());
    lease.record_heartbeat(&me, &view, &heartbeat(member("b", 1), 5, resumed.0));
    assert!(lease.may_confirm());
}
