//! Each fault of a history is counted as what it is.

#![allow(clippy::unwrap_used)]

use guavacart_config::{Accepted as Recorded, CONFIG_KEY, ConfigRecord, Patch};
use guavacart_types::ConfigNumber;
use serde_json::json;

use super::{super::operator::Accepted, History};
use crate::store::Write;

/// Weights that team `a` gets, one patch after the other.
fn writes(weights: &[u64]) -> Vec<Write> {
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
        writes.push(Write {
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

/// `(gaps, missing, unclaimed, reverted)` of a history; configuration 1 is nobody's.
fn faults(writes: &[Write], told: &[Accepted]) -> (u64, u64, u64, u64) {
    let history = History::of(writes);
    (
        history.gaps(),
        history.missing(told),
        history.unclaimed(told),
        history.reverted(told),
    )
}

macro_rules! faults {
    ($($name:ident: $writes:expr, [$($told:expr),*] => $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(faults(&$writes, &[$($told),*]), $faults);
        }
    )*};
}

faults! {
    a_whole_history_has_none: writes(&[1, 2, 3]), [accepted(2, 2), accepted(3, 3)] => (0, 0, 0, 0);
    an_accepted_patch_that_was_never_written:
        writes(&[1, 2]), [accepted(2, 2), accepted(3, 3)] => (0, 1, 0, 0);
    an_accepted_patch_whose_number_holds_another:
        writes(&[1, 2]), [accepted(3, 2)] => (0, 1, 0, 1);
    a_patch_that_nobody_was_told_of: writes(&[1, 2, 3]), [accepted(2, 2)] => (0, 0, 1, 1);
    a_later_write_that_undoes_one:
        writes(&[1, 2, 1]), [accepted(2, 2)] => (0, 0, 1, 1);
    a_number_told_twice: writes(&[1, 2]), [accepted(2, 2), accepted(2, 2)] => (0, 0, 1, 0);
    a_write_that_is_missing:
        [&writes(&[1, 2, 3])[..1], &writes(&[1, 2, 3])[2..]].concat(),
        [accepted(3, 3)] => (1, 0, 0, 0);
    a_write_that_goes_back:
        [writes(&[1, 2]), writes(&[1])].concat(), [accepted(2, 2)] => (1, 0, 0, 0);
}
