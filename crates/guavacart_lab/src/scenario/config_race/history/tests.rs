//! Checks that each kind of fault in a history is counted in the right category.

#![allow(clippy::unwrap_used)]

use guavacart_config::{Accepted as Recorded, CONFIG_KEY, ConfigRecord, Patch};
use guavacart_types::ConfigNumber;
use serde_json::json;

use super::{super::operator::Accepted, History};
use crate::store::RecordedWrite;

/// Returns the writes of one patch after another, each of which sets the weight of team `a`.
fn writes(weights: &[u64]) -> Vec<RecordedWrite> {
    let mut record = ConfigRecord::default();
    let mut writes = Vec::new();
    for (n, weight) in (0..).zip(weights) {
        let patch = Patch {
            id: format!("p{n}").parse().unwrap(),
            base: ConfigNumber(n),
            change: json!({ "teams": { "a": { "weight": weight } } }),
        };
        let Recorded::New(next) = record.accept(&patch).unwrap() else {
            unreachable!("each id is new");
        };
        record = next;
        writes.push(RecordedWrite {
            at_us: n,
            key: CONFIG_KEY.into(),
            revision: n + 1,
            value: Some(record.encode()),
        });
    }
    writes
}

fn accepted(weight: u64, number: u64) -> Accepted {
    Accepted {
        team: "a".into(),
        weight,
        number,
    }
}

/// Returns `(gaps, missing, unclaimed, reverted)` of a history; configuration 1 needs no accepted
/// patch.
fn faults(writes: &[RecordedWrite], accepted: &[Accepted]) -> (u64, u64, u64, u64) {
    let history = History::of(writes);
    (
        history.gaps(),
        history.missing(accepted),
        history.unclaimed(accepted),
        history.reverted(accepted),
    )
}

macro_rules! faults {
    ($($name:ident: $writes:expr, [$($accepted:expr),*] => $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(faults(&$writes, &[$($accepted),*]), $faults);
        }
    )*};
}

faults! {
    complete_history_has_no_fault:
        writes(&[1, 2, 3]), [accepted(2, 2), accepted(3, 3)] => (0, 0, 0, 0);
    accepted_patch_was_never_written:
        writes(&[1, 2]), [accepted(2, 2), accepted(3, 3)] => (0, 1, 0, 0);
    accepted_number_has_another_weight:
        writes(&[1, 2]), [accepted(3, 2)] => (0, 1, 0, 1);
    written_patch_was_not_reported_as_accepted:
        writes(&[1, 2, 3]), [accepted(2, 2)] => (0, 0, 1, 1);
    later_write_undoes_accepted_patch:
        writes(&[1, 2, 1]), [accepted(2, 2)] => (0, 0, 1, 1);
    number_reported_for_two_patches:
        writes(&[1, 2]), [accepted(2, 2), accepted(2, 2)] => (0, 0, 1, 0);
    write_is_missing:
        [&writes(&[1, 2, 3])[..1], &writes(&[1, 2, 3])[2..]].concat(),
        [accepted(3, 3)] => (1, 0, 0, 0);
    write_has_a_lower_number:
        [writes(&[1, 2]), writes(&[1])].concat(), [accepted(2, 2)] => (1, 0, 0, 0);
}
