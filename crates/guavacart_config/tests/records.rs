//! The record in the store: history, patch ids, and the 1 MiB limit.

#![allow(clippy::unwrap_used)]

use guavacart_config::{Accepted, ConfigRecord, Patch, PatchError, RecordError};
use guavacart_types::ConfigNumber;
use serde_json::{Value, json};

/// Longest value that the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn patch(id: &str, base: u64, change: Value) -> Patch {
    Patch {
        id: id.parse().unwrap(),
        base: ConfigNumber(base),
        change,
    }
}

fn accepted(record: &ConfigRecord, patch: &Patch) -> ConfigRecord {
    match record.accept(patch).unwrap() {
        Accepted::New(next) => next,
        Accepted::Before(number) => panic!("already accepted as {number}"),
    }
}

fn weight(n: u64) -> Value {
    json!({"teams": {"a": {"weight": n}}})
}

/// A record after `count` patches `p0`, `p1`, ...
fn after(count: u64) -> ConfigRecord {
    (0..count).fold(ConfigRecord::default(), |record, n| {
        accepted(&record, &patch(&format!("p{n}"), n, weight(n + 1)))
    })
}

#[test]
fn a_repeat_answers_with_the_same_number() {
    let record = after(3);
    let repeat = patch("p1", 1, weight(2));
    assert_eq!(
        record.accept(&repeat).unwrap(),
        Accepted::Before(ConfigNumber(2))
    );
}

#[test]
fn an_id_of_other_contents_is_rejected() {
    let err = after(3).accept(&patch("p1", 1, weight(9))).unwrap_err();
    assert!(matches!(
        err,
        PatchError::IdReused {
            number: ConfigNumber(2),
            ..
        }
    ));
}

#[test]
fn a_conflict_names_the_keys_that_changed_since() {
    let record = after(2);
    let record = accepted(&record, &patch("q", 2, json!({"services": {"engine": {}}})));
    let err = record.accept(&patch("r", 2, weight(5))).unwrap_err();
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
fn a_conflict_beyond_the_versions_kept_says_so() {
    let err = after(100).accept(&patch("r", 2, weight(5))).unwrap_err();
    assert!(matches!(err, PatchError::Conflict { changed: None, .. }));
}

#[test]
fn a_base_older_than_the_ids_kept_is_told_apart_from_a_conflict() {
    let err = after(520).accept(&patch("p0", 0, weight(1))).unwrap_err();
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
    assert_eq!(record.oldest(), ConfigNumber(36));
    let kept = record.version(ConfigNumber(40)).unwrap();
    assert_eq!(kept.teams[&"a".parse().unwrap()].weight, 40);
    assert!(record.version(ConfigNumber(101)).is_none());
}

#[test]
fn bytes_round_trip() {
    let record = after(5);
    assert_eq!(ConfigRecord::decode(&record.encode()).unwrap(), record);
}

/// Racks whose cell nearly fills the largest configuration.
fn most_racks() -> Vec<String> {
    (0..87_000).map(|rack| format!("r{rack:05}")).collect()
}

#[test]
fn the_largest_record_fits_the_store() {
    let longest_id = |n: u64| format!("{n:0>128}");
    let small = (0..520).fold(ConfigRecord::default(), |record, n| {
        accepted(&record, &patch(&longest_id(n), n, weight(n + 1)))
    });
    let change = json!({"cells": {"c1": {"racks": most_racks()}}});
    let largest = accepted(&small, &patch(&longest_id(520), 520, change));
    let largest = accepted(&largest, &patch(&longest_id(521), 521, weight(1)));
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
        kept.oldest(),
        ConfigNumber(522),
        "no earlier version had room"
    );
}

#[test]
fn as_many_versions_are_kept_as_fit() {
    let change = json!({"cells": {"c1": {"racks": &most_racks()[..20_000]}}});
    let record = accepted(&ConfigRecord::default(), &patch("cells", 0, change));
    let record = (1..9).fold(record, |record, n| {
        accepted(&record, &patch(&format!("p{n}"), n, weight(n)))
    });
    let kept = ConfigRecord::decode(&record.encode()).unwrap();
    assert_eq!(
        kept.oldest(),
        ConfigNumber(5),
        "five of 180 kB fit in 1 MiB"
    );
}

#[test]
fn a_record_that_breaks_a_rule_is_not_taken() {
    let mut value: Value = serde_json::from_slice(&after(1).encode()).unwrap();
    value["current"]["teams"]["a"]["weight"] = json!(0);
    let err = ConfigRecord::decode(value.to_string().as_bytes()).unwrap_err();
    assert!(matches!(err, RecordError::Invalid { .. }));
}

#[test]
fn a_record_whose_numbers_fall_is_not_taken() {
    let mut value: Value = serde_json::from_slice(&after(2).encode()).unwrap();
    value["current"]["number"] = json!(1);
    let err = ConfigRecord::decode(value.to_string().as_bytes()).unwrap_err();
    assert!(matches!(err, RecordError::Order { .. }));
}
