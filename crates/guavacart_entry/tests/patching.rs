//! Tests of patches submitted to a store that fails, loses answers or is written concurrently.

#![allow(clippy::unwrap_used)]

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use guavacart_config::{CONFIG_KEY, ConfigRecord, Patch, PatchError};
use guavacart_entry::operators::{
    Answer, Call, CallError, Role, dry_run, patching::SubmitError, submit, version,
};
use guavacart_platform::store::{Entry, Store, StoreError, Versioned, WriteResult};
use guavacart_types::{ConfigNumber, Revision};
use serde_json::{Value, json};

/// How the store handles a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// Handles the call correctly.
    None,
    /// Refuses the call.
    Down,
    /// Applies a write and loses the answer.
    AnswerLost,
    /// Loses a write before applying it; the caller gets no answer.
    WriteLost,
    /// Applies another operator's patch directly before the write.
    Raced,
}

#[derive(Default)]
struct Contents {
    value: Option<Versioned>,
    faults: VecDeque<Fault>,
    writes: u32,
}

/// An in-memory store of one key, with a queue of faults for the next calls.
#[derive(Clone, Default)]
struct FaultyStore(Arc<Mutex<Contents>>);

impl FaultyStore {
    fn with(faults: &[Fault]) -> Self {
        let store = Self::default();
        store.0.lock().unwrap().faults = faults.iter().copied().collect();
        store
    }

    fn record(&self) -> ConfigRecord {
        let value = self.0.lock().unwrap().value.clone().unwrap();
        ConfigRecord::decode(&value.value).unwrap()
    }

    fn writes(&self) -> u32 {
        self.0.lock().unwrap().writes
    }
}

impl Contents {
    fn write(&mut self, value: &[u8], expect: Revision) -> WriteResult {
        let revision = self.value.as_ref().map_or(Revision(0), |v| v.revision);
        if revision != expect {
            return WriteResult::Conflict(revision);
        }
        let revision = revision.next();
        let value = value.to_vec();
        self.value = Some(Versioned { value, revision });
        self.writes += 1;
        WriteResult::Written(revision)
    }

    fn write_rival_patch(&mut self) {
        let revision = self.value.as_ref().map_or(Revision(0), |v| v.revision);
        let rival = patch("rival", 0, weight(7));
        let config = ConfigRecord::default().accept(&rival).unwrap();
        let guavacart_config::Accepted::New(record) = config else {
            unreachable!("an empty record holds no patch");
        };
        self.write(&record.encode(), revision);
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        key: CONFIG_KEY.into(),
        cause: "down".into(),
    }
}

fn answer_lost() -> StoreError {
    StoreError::Unknown {
        key: CONFIG_KEY.into(),
        cause: "closed".into(),
    }
}

impl Store for FaultyStore {
    fn get(&self, _: &str) -> Result<Option<Versioned>, StoreError> {
        let mut contents = self.0.lock().unwrap();
        match contents.faults.pop_front() {
            Some(Fault::Down) => Err(unavailable()),
            Some(Fault::AnswerLost | Fault::WriteLost) => Err(answer_lost()),
            _ => Ok(contents.value.clone()),
        }
    }

    fn put(&self, _: &str, value: &[u8], expect: Revision) -> Result<WriteResult, StoreError> {
        let mut contents = self.0.lock().unwrap();
        match contents.faults.pop_front() {
            Some(Fault::Down) => Err(unavailable()),
            Some(Fault::WriteLost) => Err(answer_lost()),
            Some(Fault::AnswerLost) => {
                contents.write(value, expect);
                Err(answer_lost())
            }
            Some(Fault::Raced) => {
                contents.write_rival_patch();
                Ok(contents.write(value, expect))
            }
            _ => Ok(contents.write(value, expect)),
        }
    }

    fn delete(&self, _: &str, _: Revision) -> Result<WriteResult, StoreError> {
        Err(unavailable())
    }

    fn range(&self, _: &str, _: &str, _: u32) -> Result<Vec<Entry>, StoreError> {
        Err(unavailable())
    }

    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Option<Versioned>, StoreError> {
        Err(unavailable())
    }
}

fn patch(id: &str, base: u64, change: Value) -> Patch {
    Patch {
        id: id.parse().unwrap(),
        base: ConfigNumber(base),
        change,
    }
}

fn weight(n: u64) -> Value {
    json!({"teams": {"a": {"weight": n}}})
}

macro_rules! accepted_once {
    ($($name:ident: $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = FaultyStore::with(&$faults);
            let patch = patch("p", 0, weight(3));
            assert_eq!(submit(&store, &patch).unwrap().number, ConfigNumber(1));
            assert_eq!(submit(&store, &patch).unwrap().number, ConfigNumber(1));
            assert_eq!(store.writes(), 1);
            assert_eq!(store.record().current.number, ConfigNumber(1));
        }
    )*};
}

accepted_once! {
    accepted_when_nothing_fails: [];
    accepted_when_the_first_read_fails: [Fault::Down];
    accepted_when_the_write_is_refused: [Fault::None, Fault::Down];
    accepted_when_the_answer_is_lost: [Fault::None, Fault::AnswerLost];
    accepted_when_the_write_is_lost: [Fault::None, Fault::WriteLost];
    accepted_when_the_answer_is_lost_and_reads_fail: [Fault::None, Fault::AnswerLost, Fault::Down, Fault::AnswerLost, Fault::Down];
}

#[test]
fn a_conflict_lists_the_changed_keys() {
    let store = FaultyStore::with(&[Fault::None, Fault::Raced]);
    let err = submit(&store, &patch("p", 0, weight(3))).unwrap_err();
    let SubmitError::Rejected(PatchError::Conflict { changed, .. }) = &err else {
        panic!("expected a conflict, got {err:?}");
    };
    let changed = changed.as_deref().unwrap();
    assert_eq!(changed, ["teams.a.quota", "teams.a.weight"]);
    assert_eq!(Answer::from(err).status, 409);
}

#[test]
fn a_patch_is_not_applied_during_an_outage() {
    let store = FaultyStore::with(&[Fault::Down; 64]);
    let err = submit(&store, &patch("p", 0, weight(3))).unwrap_err();
    assert!(matches!(err, SubmitError::Unavailable(_)));
    assert_answer(err, 503, "not_applied");
    assert_eq!(store.writes(), 0);
}

#[test]
fn an_outage_after_a_lost_answer_makes_the_result_unknown() {
    let mut faults = vec![Fault::None, Fault::AnswerLost];
    faults.extend([Fault::Down; 64]);
    let store = FaultyStore::with(&faults);
    let patch = patch("p", 0, weight(3));
    let err = submit(&store, &patch).unwrap_err();
    assert_answer(err, 503, "unknown");
    store.0.lock().unwrap().faults.clear();
    assert_eq!(submit(&store, &patch).unwrap().number, ConfigNumber(1));
    assert_eq!(store.writes(), 1);
}

fn assert_answer(err: SubmitError, status: u16, fate: &str) {
    let answer = Answer::from(err);
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status, body["fate"].as_str()), (status, Some(fate)));
}

#[test]
fn an_invalid_patch_is_answered_with_key_reason_and_remedy() {
    let store = FaultyStore::default();
    let err = submit(&store, &patch("p", 0, weight(0))).unwrap_err();
    let answer = Answer::from(err);
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(answer.status, 422);
    assert_eq!(body["key"], "teams.a.weight");
    assert_eq!(body["reason"], "0 is below 1");
    assert_eq!(body["remedy"], "give at least 1");
    assert_eq!(store.writes(), 0);
}

#[test]
fn a_dry_run_writes_nothing_and_returns_the_changes() {
    let store = FaultyStore::default();
    let accepted = dry_run(&store, &patch("p", 0, weight(3))).unwrap();
    assert_eq!(accepted.number, ConfigNumber(1));
    assert!(
        accepted
            .changes
            .unwrap()
            .iter()
            .any(|c| c.key == "teams.a.weight")
    );
    assert_eq!(store.writes(), 0);
}

#[test]
fn versions_can_be_read_while_they_are_kept() {
    let store = FaultyStore::default();
    submit(&store, &patch("p", 0, weight(3))).unwrap();
    assert_eq!(version(&store, ConfigNumber(1)).status, 200);
    assert_eq!(version(&store, ConfigNumber(0)).status, 200);
    assert_eq!(version(&store, ConfigNumber(2)).status, 404);
}

#[test]
fn patches_of_concurrent_operators_are_applied_one_after_another() {
    let store = FaultyStore::default();
    std::thread::scope(|scope| {
        for operator in 0..4 {
            let store = &store;
            scope.spawn(move || submit_all(store, operator));
        }
    });
    let record = store.record();
    assert_eq!(record.current.number, ConfigNumber(40));
    let mut numbers: Vec<u64> = (0..4)
        .map(|o| {
            record.current.teams[&format!("t{o}").parse().unwrap()]
                .weight
                .into()
        })
        .collect();
    numbers.dedup();
    assert_eq!(numbers, [10], "each operator's last patch is in force");
}

/// Submits ten patches of one operator, each based on the latest number that the operator knows.
fn submit_all(store: &FaultyStore, operator: u32) {
    let mut base = 0;
    for n in 1..=10 {
        loop {
            let change = json!({"teams": {format!("t{operator}"): {"weight": n}}});
            match submit(
                store,
                &patch(&format!("o{operator}-{n}-{base}"), base, change),
            ) {
                Ok(accepted) => {
                    base = accepted.number.0;
                    break;
                }
                Err(SubmitError::Rejected(PatchError::Conflict { current, .. })) => {
                    base = current.0;
                }
                Err(err) => panic!("{err}"),
            }
        }
    }
}

macro_rules! calls {
    ($($name:ident: $method:literal $path:expr, $query:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(Call::parse($method, &$path, $query), $expected);
        }
    )*};
}

calls! {
    call_show: "GET" ["config"], "" => Ok(Call::Configuration);
    call_version: "GET" ["config", "versions", "7"], "" => Ok(Call::Version(ConfigNumber(7)));
    call_difference: "GET" ["config", "diff"], "from=1&to=2" => Ok(Call::Difference { from: ConfigNumber(1), to: ConfigNumber(2) });
    call_patch: "PATCH" ["config"], "base=1&id=p&dry_run=true" => Ok(Call::Patch { base: ConfigNumber(1), id: "p".parse().unwrap(), dry_run: true });
    call_without_base: "PATCH" ["config"], "id=p" => Err(CallError::Missing { key: "base" });
    call_with_another_method: "POST" ["config"], "" => Err(CallError::Method { allow: "GET, PATCH" });
    call_of_another_path: "GET" ["configs"], "" => Err(CallError::NotFound);
    call_status: "GET" ["status"], "" => Ok(Call::Status);
    call_burn: "GET" ["burn"], "" => Ok(Call::Burn);
    call_instances: "GET" ["config", "instances"], "" => Ok(Call::Instances);
}

#[test]
fn only_a_patch_without_dry_run_requires_the_writer() {
    let call = |query| Call::parse("PATCH", &["config"], query).unwrap().role();
    assert_eq!(call("base=0&id=p"), Role::Writer);
    assert_eq!(call("base=0&id=p&dry_run=true"), Role::Reader);
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn parsing_arbitrary_calls_does_not_panic(method in "[A-Z]{1,6}", path in "[a-z0-9/é]{0,30}", query in ".{0,40}") {
        let path: Vec<&str> = path.split('/').collect();
        let _ = Call::parse(&method, &path, &query);
    }
}
