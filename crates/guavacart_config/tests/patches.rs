//! Patches: the configurations that they result in, and the reasons for which they are rejected.

#![allow(clippy::unwrap_used)]

use guavacart_config::{Configuration, Patch, PatchError, diff};
use guavacart_types::ConfigNumber;
use serde_json::{Value, json};

fn patch(base: u64, change: Value) -> Patch {
    Patch {
        id: "p1".parse().unwrap(),
        base: ConfigNumber(base),
        change,
    }
}

fn initial() -> Configuration {
    let change = json!({
        "services": {"engine": {}},
        "teams": {"a": {"weight": 2}},
        "cells": {"c1": {"racks": ["r1", "r2"]}},
    });
    patch(0, change).apply(&Configuration::default()).unwrap()
}

fn problems_of(change: Value) -> String {
    match patch(1, change).apply(&initial()) {
        Err(PatchError::Invalid { problems }) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
        other => panic!("expected an invalid patch, got {other:?}"),
    }
}

#[test]
fn a_patch_is_merged_and_increases_the_number() {
    let change = json!({"services": {"engine": {"slots": 4}}, "teams": {"a": null, "b": {}}});
    let next = patch(1, change).apply(&initial()).unwrap();
    assert_eq!(next.number, ConfigNumber(2));
    let engine = &next.services[&"engine".parse().unwrap()];
    assert_eq!((engine.slots, engine.connections), (4, 60));
    assert_eq!(next.teams.len(), 1);
    let changes: Vec<String> = diff(&initial(), &next)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!("difference", changes.join("\n"));
}

#[test]
fn a_base_that_is_not_current_is_a_conflict() {
    let err = patch(0, json!({})).apply(&initial()).unwrap_err();
    assert!(matches!(
        err,
        PatchError::Conflict {
            base: ConfigNumber(0),
            ..
        }
    ));
}

macro_rules! rejected {
    ($($name:ident: $change:tt;)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(
                concat!("rejected_", stringify!($name)),
                problems_of(json!($change))
            );
        }
    )*};
}

rejected! {
    not_an_object: [1];
    number_is_set: {"number": 9};
    unknown_section: {"service": {}};
    unknown_key: {"services": {"engine": {"slot": 3, "queue": 4}}};
    wrong_type: {"services": {"engine": {"slots": "x", "deadline": -1}}, "teams": 3};
    bad_name: {"teams": {"a b": {}}};
    quota_without_memory: {"teams": {"a": {"quota": {"processors": 1}}}};
    no_slots: {"services": {"engine": {"slots": 0}}};
    all_slots_short: {"services": {"engine": {"short_slots": 8}}};
    deadlines_out_of_order: {"services": {"engine": {"deadline": 70000, "long_time": 1}}};
    objectives_out_of_bounds: {"services": {"engine": {"objectives": {"availability_ppm": 1000000, "latency": 0, "latency_ppm": 0}}}};
    no_weight: {"teams": {"a": {"weight": 0}}};
    percent_out_of_bounds: {"batch_classes": {"deck": {"throttled_percent": 101}}};
    rack_in_two_cells: {"cells": {"c2": {"racks": ["r2"]}, "c3": {"racks": []}}};
    rack_twice_in_one_cell: {"cells": {"c1": {"racks": ["r1", "r2", "r1"]}}};
    cell_removed: {"cells": {"c1": null, "c2": {"racks": ["r3"]}}};
    rack_removed_from_its_cell: {"cells": {"c1": {"racks": []}}};
    rack_moved_to_another_cell: {"cells": {"c1": {"racks": []}, "c2": {"racks": ["r1"]}}};
    joined_later_is_set: {"cells": {"c1": {"joined_later": true}}};
    all_weights_zero: {"sharing": {"weights": {"tail": 0, "crest": 0, "throughput": 0, "evictions": 0}}};
}

#[test]
fn a_configuration_too_large_for_the_store_is_rejected() {
    let before = ["r1", "r2"].map(str::to_owned);
    let more = (0..80_000).map(|n| format!("rack-{n}"));
    let racks: Vec<String> = before.into_iter().chain(more).collect();
    let change = json!({"cells": {"c1": {"racks": racks}}});
    assert!(problems_of(change).contains("remove services, teams, classes or cells"));
}

#[test]
fn at_most_32_problems_are_reported() {
    let unknown: serde_json::Map<_, _> = (0..5_000).map(|n| (format!("k{n}"), json!(1))).collect();
    assert_eq!(problems_of(Value::Object(unknown)).lines().count(), 32);
    let teams: serde_json::Map<_, _> = (0..5_000)
        .map(|n| (format!("t{n}"), json!({"weight": 0})))
        .collect();
    assert_eq!(problems_of(json!({"teams": teams})).lines().count(), 32);
}

#[test]
fn a_cell_added_to_existing_cells_is_marked_as_joined_later() {
    let change = json!({"cells": {"c2": {"racks": ["r3"]}}});
    let next = patch(1, change).apply(&initial()).unwrap();
    let joined = |id: &str| next.cells[&id.parse().unwrap()].joined_later;
    assert!(joined("c2") && !joined("c1"));
}
