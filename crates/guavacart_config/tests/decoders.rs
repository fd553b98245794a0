//! Decoders do not panic on any input, and the configurations that they accept are valid.

#![allow(clippy::unwrap_used)]

use guavacart_config::{ConfigRecord, Configuration, Patch, Settings, validate};
use guavacart_types::ConfigNumber;
use proptest::{collection::vec, prelude::*};
use serde_json::{Map, Value, json};

/// Keys of a configuration, names, and one unknown key.
const KEYS: &[&str] = &[
    "services",
    "engine",
    "slots",
    "short_slots",
    "deadline",
    "objectives",
    "latency_ppm",
    "teams",
    "a",
    "weight",
    "quota",
    "cells",
    "racks",
    "sharing",
    "weights",
    "batch_classes",
    "number",
    "é",
];

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 64, 6, |inner| {
        let key = proptest::sample::select(KEYS).prop_map(str::to_owned);
        let object = vec((key, inner.clone()), 0..6)
            .prop_map(|pairs| Value::Object(pairs.into_iter().collect::<Map<_, _>>()));
        prop_oneof![vec(inner, 0..4).prop_map(Value::from), object]
    })
}

fn toml_text() -> impl Strategy<Value = String> {
    let key = prop_oneof![
        proptest::sample::select(
            &["instance", "callers", "linger", "limits", "access", "teams"][..]
        )
        .prop_map(str::to_owned),
        "[a-z\"é]{0,6}",
    ];
    let value = prop_oneof![
        "\"[a-z0-9:.é]{0,12}\"",
        "-?[0-9]{1,12}",
        "\\{ env = \"[A-Z]{1,4}\" \\}",
        ".{0,8}"
    ];
    let line = (key, value).prop_map(|(key, value)| format!("{key} = {value}"));
    let section = prop_oneof![
        Just("[limits]".to_owned()),
        Just("[access.teams]".to_owned())
    ];
    vec(prop_oneof![4 => line, 1 => section], 0..10).prop_map(|lines| lines.join("\n"))
}

fn patch(change: Value) -> Patch {
    Patch {
        id: "p".parse().unwrap(),
        base: ConfigNumber(0),
        change,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_algorithm: proptest::test_runner::RngAlgorithm::ChaCha,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn settings_from_any_text_do_not_panic(text in ".{0,200}") {
        let _ = Settings::read(&text, &|_| None);
    }

    #[test]
    fn faults_of_any_settings_have_a_place(text in toml_text()) {
        let err = Settings::read(&text, &|_| Some("x".to_owned())).unwrap_err();
        prop_assert!(!err.diagnostics.is_empty());
        prop_assert!(err.diagnostics.iter().all(|d| d.place.line >= 1 && d.place.column >= 1));
    }

    #[test]
    fn patches_from_any_json_are_valid_or_rejected(change in json_value()) {
        match patch(change).apply(&Configuration::default()) {
            Ok(next) => prop_assert!(validate(&next).is_ok()),
            Err(err) => prop_assert!(!err.to_string().is_empty()),
        }
    }

    #[test]
    fn records_from_random_bytes_are_rejected(bytes in vec(any::<u8>(), 0..300)) {
        prop_assert!(ConfigRecord::decode(&bytes).is_err());
    }

    #[test]
    fn records_from_any_json_do_not_panic(current in json_value(), versions in json_value()) {
        let value = json!({"current": current, "versions": versions, "patches": []});
        let _ = ConfigRecord::decode(value.to_string().as_bytes());
    }

    #[test]
    fn truncated_or_altered_records_are_rejected_or_valid(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let bytes = ConfigRecord::default().encode();
        let at = at.index(bytes.len());
        prop_assert!(ConfigRecord::decode(&bytes[..at]).is_err());
        let mut changed = bytes;
        changed[at] = byte;
        if let Ok(record) = ConfigRecord::decode(&changed) {
            prop_assert!(validate(&record.current).is_ok());
        }
    }
}
