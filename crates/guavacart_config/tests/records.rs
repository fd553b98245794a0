//! The stored record: earlier configurations, patch ids, and the limit of 1 MiB.

#![allow(clippy::unwrap_used)]

use guavacart_config::{Accepted, ConfigRecord, Patch, PatchError, RecordError};
use guavacart_types::ConfigNumber;
use serde_json::{Value, json};

/// Largest value that the store accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn patch(id: &str, base: u64, change: Value) -> Patch {
    Patch {
        id: id.parse().unwrap(),
        base: ConfigNumber(base),
        change,
    }
}

fn accept(record: &ConfigRecord, patch: &Patch) -> ConfigRecord {
    match record.accept(patch).unwrap() {
        Accepted::New(next) => next,
        Accepted::AlreadyAccepted(number) => panic!("already accepted as {number}"),
    }
}

fn set_weight(n: u64) -> Value {
    json!({"teams": {"a": {"weight": n}}})
}

/// Returns the record after `count` patches `p0`, `p1`, ...
fn after(count: u64) -> ConfigRecord {
    (0..count).fold(ConfigRecord::default(), |record, n| {
        accept(&record, &patch(&format!("p{n}"), n, set_weight(n + 1)))
    })
}

#[test]
fn a_repeated_patch_returns_the_same_number() {
    let record = after(3);
    let repeat = patch("p1", 1, set_weight(2));
    assert_eq!(
        record.accept(&repeat).unwrap(),
        Accepted::AlreadyAccepted(ConfigNumber(2))
    );
}

#[test]
fn a_reused_id_with_different_contents_is_rejected() {
    let err = after(3).accept(&patch("p1", 1, set_weight(9))).unwrap_err();
    assert!(matches!(
        err,
        PatchError::IdReused {
            number: ConfigNumber(2),
            ..
        }
    ));
}

#[test]
fn a_conflict_lists_the_keys_that_changed_since_the_base() {
    let record = after(2);
    let record = accept(&record, &patch("q", 2, json!({"services": {"engine": {}}})));
    let err = record.accept(&patch("r", 2, set_weight(5))).unwrap_err();
    let PatchError::Conflict {
        current,
        changed: Some(changed),
        ..
    } = err
    else {
        panic!("expected a conflict, got {err:?}");
    };
    assert_eq!(current, ConfigNumber(3));
    assert!(
        changed
            .iter()
            .all(|key| key.starts_with("services.engine."))
    );
    assert!(changed.contains(&"services.engine.slots".into()));
}

#[test]
fn a_conflict_with_a_dropped_base_lists_no_keys() {
    let err = after(100)
        .accept(&patch("r", 2, set_weight(5)))
        .unwrap_err();
    assert!(matches!(err, PatchError::Conflict { changed: None, .. }));
}

#[test]
fn a_base_older_than_the_kept_ids_is_reported_as_too_old() {
    let err = after(520)
        .accept(&patch("p0", 0, set_weight(1)))
        .unwrap_err();
    assert!(matches!(
        err,
        PatchError::TooOld {
            oldest: ConfigNumber(9),
            ..
        }
    ));
}

#[test]
fn earlier_versions_are_kept_in_order() {
    let record = after(100);
    assert_eq!(record.oldest_number(), ConfigNumber(36));
    let kept = record.configuration(ConfigNumber(40)).unwrap();
    assert_eq!(kept.teams[&"a".parse().unwrap()].weight, 40);
    assert!(record.configuration(ConfigNumber(101)).is_none());
}

#[test]
fn a_record_decodes_to_the_encoded_record() {
    let record = after(5);
    assert_eq!(ConfigRecord::decode(&record.encode()).unwrap(), record);
}

/// Returns racks for one cell that nearly fills a configuration of the maximum size.
fn racks_of_largest_cell() -> Vec<String> {
    (0..87_000).map(|rack| format!("r{rack:05}")).collect()
}

#[test]
fn the_largest_record_fits_the_store() {
    let longest_id = |n: u64| format!("{n:0>128}");
    let small = (0..520).fold(ConfigRecord::default(), |record, n| {
        accept(&record, &patch(&longest_id(n), n, set_weight(n + 1)))
    });
    let change = json!({"cells": {"c1": {"racks": racks_of_largest_cell()}}});
    let largest = accept(&small, &patch(&longest_id(520), 520, change));
    let largest = accept(&largest, &patch(&longest_id(521), 521, set_weight(1)));
    let bytes = largest.encode();
    assert!(
        bytes.len() > MAX_VALUE_BYTES / 5 * 4,
        "{} bytes",
        bytes.len()
    );
    assert!(bytes.len() <= MAX_VALUE_BYTES, "{} bytes", bytes.len());
    let kept = ConfigRecord::decode(&bytes).unwrap();
    assert_eq!(kept.current.number, ConfigNumber(522));
    assert_eq!(
        kept.oldest_number(),
        ConfigNumber(522),
        "no earlier configuration should fit"
    );
}

#[test]
fn the_latest_versions_that_fit_are_kept() {
    let change = json!({"cells": {"c1": {"racks": &racks_of_largest_cell()[..20_000]}}});
    let record = accept(&ConfigRecord::default(), &patch("cells", 0, change));
    let record = (1..9).fold(record, |record, n| {
        accept(&record, &patch(&format!("p{n}"), n, set_weight(n)))
    });
    let kept = ConfigRecord::decode(&record.encode()).unwrap();
    assert_eq!(
        kept.oldest_number(),
        ConfigNumber(5),
        "five configurations of 180 kB should fit in 1 MiB"
    );
}

#[test]
fn a_record_with_an_invalid_configuration_is_rejected() {
    let mut value: Value = serde_json::from_slice(&after(1).encode()).unwrap();
    value["current"]["teams"]["a"]["weight"] = json!(0);
    let err = ConfigRecord::decode(value.to_string().as_bytes()).unwrap_err();
    assert!(matches!(err, RecordError::Invalid { .. }));
}

#[test]
fn a_record_with_decreasing_numbers_is_rejected() {
    let mut value: Value = serde_json::from_slice(&after(2).encode()).unwrap();
    value["current"]["number"] = json!(1);
    let err = ConfigRecord::decode(value.to_string().as_bytes()).unwrap_err();
    assert!(matches!(err, RecordError::Order { .. }));
}
