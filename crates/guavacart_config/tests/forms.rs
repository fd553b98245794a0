//! Fixed JSON of the configuration record in the store.
//!
//! A test fails if the encoded form of the record changes, since an instance of an earlier build
//! would then misread it. Values within one type differ, so that exchanged names are noticed.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, fmt::Debug};

use guavacart_config::{
    Accepted, BatchRule, Cell, ConfigRecord, Configuration, JournalWrites, Objectives, Patch,
    PatchError, Placement, Queueing, Service, Sharing, SharingPolicy, Team, Weights,
};
use guavacart_types::{Accelerators, ByteSize, ConfigNumber, Processors, Resources, Span};
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

/// Asserts that `value` has exactly the form `fixed` and that `fixed` decodes to exactly `value`.
fn assert_form<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: &T, fixed: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), fixed);
    assert_eq!(serde_json::from_str::<T>(fixed).unwrap(), *value);
}

fn configuration() -> Configuration {
    let engine = Service {
        slots: 11,
        connections: 12,
        short_slots: 3,
        queue_entries: 14,
        queue_bytes: ByteSize(15),
        deadline: Span(16),
        longest_deadline: Span(20),
        short_time: Span(17),
        long_time: Span(18),
        queueing: Queueing::Fifo,
        admission: false,
        objectives: Objectives {
            availability_ppm: 21,
            latency: Span(22),
            latency_ppm: 23,
        },
    };
    let quota = Resources {
        processors: Processors(25),
        memory: ByteSize(26),
        accelerators: Accelerators(27),
    };
    let red = Team {
        weight: 24,
        quota: Some(quota),
    };
    let recode = BatchRule {
        throttled_percent: 28,
        checkpoints: true,
    };
    let cell = |racks: &[&str], joined_later| Cell {
        racks: racks.iter().map(|rack| rack.parse().unwrap()).collect(),
        joined_later,
    };
    Configuration {
        number: ConfigNumber(2),
        services: BTreeMap::from([
            ("engine".parse().unwrap(), engine),
            ("plain".parse().unwrap(), Service::default()),
        ]),
        teams: BTreeMap::from([
            ("blue".parse().unwrap(), Team::default()),
            ("red".parse().unwrap(), red),
        ]),
        batch_classes: BTreeMap::from([("recode".parse().unwrap(), recode)]),
        cells: BTreeMap::from([
            ("c1".parse().unwrap(), cell(&["r1", "r2"], false)),
            ("c2".parse().unwrap(), cell(&["r3"], true)),
        ]),
        sharing: Sharing {
            policy: SharingPolicy::Static,
            weights: Weights {
                tail: 31,
                crest: 32,
                throughput: 33,
                evictions: 34,
            },
            evictions_per_minute: 35,
            placement: Placement::FirstFit,
            journal: JournalWrites::Each,
        },
    }
}

const CONFIGURATION: &str = r#"
{"number":2,"services":{"engine":{"slots":11,"connections":12,"short_slots":3,"queue_entries":14,
"queue_bytes":15,"deadline":16,"longest_deadline":20,"short_time":17,"long_time":18,
"queueing":"fifo","admission":false,"objectives":{"availability_ppm":21,"latency":22,
"latency_ppm":23}},"plain":{"slots":8,"connections":60,"short_slots":2,"queue_entries":2000,
"queue_bytes":16777216,"deadline":2000,"longest_deadline":60000,"short_time":20,"long_time":2000,
"queueing":"fair","admission":true,"objectives":{"availability_ppm":999000,"latency":500,
"latency_ppm":990000}}},"teams":{"blue":{"weight":1,"quota":null},"red":{"weight":24,
"quota":{"processors":25,"memory":26,"accelerators":27}}},
"batch_classes":{"recode":{"throttled_percent":28,"checkpoints":true}},
"cells":{"c1":{"racks":["r1","r2"]},"c2":{"racks":["r3"],"joined_later":true}},
"sharing":{"policy":"static","weights":{"tail":31,"crest":32,"throughput":33,"evictions":34},
"evictions_per_minute":35,"placement":"first-fit","journal":"each"}}
"#;

const VERSIONS: &str = r#"
[{"number":0,"services":{},"teams":{},"batch_classes":{},"cells":{},"sharing":{"policy":"learned",
"weights":{"tail":1,"crest":1,"throughput":1,"evictions":1},"evictions_per_minute":6,
"placement":"least-loaded","journal":"grouped"}},{"number":1,"services":{},
"teams":{"a":{"weight":5,"quota":null}},"batch_classes":{},"cells":{},
"sharing":{"policy":"learned","weights":{"tail":1,"crest":1,"throughput":1,"evictions":1},
"evictions_per_minute":6,"placement":"least-loaded","journal":"grouped"}}]
"#;

const PATCHES: &str = r#"
[{"id":"p1","number":1,"digest":12303472956750857682},{"id":"p2","number":2,
"digest":12714819877801907655}]
"#;

/// The text without its line breaks, which only keep the lines short.
fn joined(text: &str) -> String {
    text.lines().collect()
}

fn fixed_record() -> String {
    let [current, versions, patches] = [CONFIGURATION, VERSIONS, PATCHES].map(joined);
    format!(r#"{{"current":{current},"versions":{versions},"patches":{patches}}}"#)
}

/// The patches of the record; digests of their contents tell a repeat from another patch.
fn patches() -> [Patch; 2] {
    let patch = |id: &str, base, change| Patch {
        id: id.parse().unwrap(),
        base: ConfigNumber(base),
        change,
    };
    [
        patch("p1", 0, json!({"teams": {"a": {"weight": 5}}})),
        patch("p2", 1, json!({"teams": {"a": {"weight": 6}}})),
    ]
}

#[test]
fn configuration_form() {
    assert_form(&configuration(), &joined(CONFIGURATION));
}

#[test]
fn record_form() {
    let mut record = ConfigRecord::default();
    for patch in patches() {
        let Accepted::New(next) = record.accept(&patch).unwrap() else {
            panic!("{} was accepted before", patch.id);
        };
        record = next;
    }
    record.current = configuration();
    let fixed = fixed_record();
    assert_eq!(String::from_utf8(record.encode()).unwrap(), fixed);
    assert_eq!(ConfigRecord::decode(fixed.as_bytes()).unwrap(), record);
}

#[test]
fn record_keeps_patch_numbers_and_digests() {
    let fixed = fixed_record();
    let record = ConfigRecord::decode(fixed.as_bytes()).unwrap();
    for (number, patch) in (1..).map(ConfigNumber).zip(patches()) {
        assert_eq!(
            record.accept(&patch).unwrap(),
            Accepted::AlreadyAccepted(number)
        );
        let other = Patch {
            change: json!({"teams": {}}),
            ..patch
        };
        let err = record.accept(&other).unwrap_err();
        assert!(matches!(err, PatchError::IdReused { .. }), "{err:?}");
    }
}

#[rstest]
#[case::fair(Queueing::Fair, "fair")]
#[case::fifo(Queueing::Fifo, "fifo")]
fn queueing_form(#[case] value: Queueing, #[case] fixed: &str) {
    assert_form(&value, &format!("{fixed:?}"));
}

#[rstest]
#[case::least_loaded(Placement::LeastLoaded, "least-loaded")]
#[case::first_fit(Placement::FirstFit, "first-fit")]
fn placement_form(#[case] value: Placement, #[case] fixed: &str) {
    assert_form(&value, &format!("{fixed:?}"));
}

#[rstest]
#[case::grouped(JournalWrites::Grouped, "grouped")]
#[case::each(JournalWrites::Each, "each")]
fn journal_writes_form(#[case] value: JournalWrites, #[case] fixed: &str) {
    assert_form(&value, &format!("{fixed:?}"));
}

#[rstest]
#[case::learned(SharingPolicy::Learned, "learned")]
#[case::none(SharingPolicy::None, "none")]
#[case::fixed(SharingPolicy::Static, "static")]
#[case::reactive(SharingPolicy::Reactive, "reactive")]
fn sharing_policy_form(#[case] value: SharingPolicy, #[case] fixed: &str) {
    assert_form(&value, &format!("{fixed:?}"));
}
