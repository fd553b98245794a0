//! Tests of the stand-in endpoint with guavacart's own client, and of the checks on callers.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use guavacart_lab::{
    caller::{self, AttemptLog, CallPath, CallerSpec, Ending, EntryAddresses, Schedule},
    checks::{StopWindow, Violations},
    endpoint::{Endpoint, SLOTS, WorkDone},
    host::{Host, SharedInterference},
    request_ledger::RequestLedger,
};
use guavacart_platform::endpoint::{
    Dispatch, EndpointAnswer, EndpointError, Endpoints, HttpEndpoints,
};
use guavacart_types::Class;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    endpoint: Endpoint,
    client: HttpEndpoints,
    ledger: RequestLedger,
}

impl Fixture {
    async fn open() -> Self {
        let ledger = RequestLedger::default();
        let host = Host::open(4_000, SharedInterference::default());
        let (id, service) = ("p1".parse().unwrap(), "engine".parse().unwrap());
        let endpoint = Endpoint::bind(id, service, host, ledger.clone())
            .await
            .unwrap();
        let client = HttpEndpoints::open();
        Self {
            endpoint,
            client,
            ledger,
        }
    }

    async fn run(&self, id: &str, work_us: u64) -> Result<EndpointAnswer, EndpointError> {
        let body = format!("{{\"work_us\":{work_us},\"nonce\":7,\"answer_bytes\":100}}");
        let dispatch = Dispatch {
            id: id.parse().unwrap(),
            body: Bytes::from(body),
            content_type: None,
            connections: 60,
            timeout: TIMEOUT,
        };
        let address = self.endpoint.address();
        self.client.run(address, dispatch, || true).await
    }
}

#[tokio::test]
async fn answer_is_whole_and_belongs_to_its_request() {
    let f = Fixture::open().await;
    let answer = f.run("r1", 10).await.unwrap();
    let done: WorkDone = serde_json::from_slice(&answer.body).unwrap();
    assert!(done.is_right("r1", 7, 100));
    assert!(!done.is_right("r2", 7, 100));
    assert!(!done.is_right("r1", 8, 100));
    assert!(!done.is_right("r1", 7, 99));
    assert_eq!(f.ledger.runs("r1").len(), 1);
}

#[tokio::test]
async fn request_beyond_the_slots_is_counted_and_refused() {
    let f = Arc::new(Fixture::open().await);
    let mut running = Vec::new();
    for i in 0..SLOTS {
        let f = Arc::clone(&f);
        running.push(tokio::spawn(async move {
            f.run(&format!("r{i}"), 1_000_000).await
        }));
    }
    while f.endpoint.busy() < SLOTS {
        tokio::task::yield_now().await;
    }
    let err = f.run("ninth", 10).await.unwrap_err();
    assert!(matches!(err, EndpointError::Busy { .. }), "{err}");
    for task in running {
        task.await.unwrap().unwrap();
    }
    let counts = f.ledger.counts();
    assert_eq!((counts.slots_exceeded, counts.peak_busy), (1, SLOTS));
    assert!(f.ledger.runs("ninth").is_empty());
}

#[tokio::test]
async fn work_continues_after_its_connection_breaks() {
    let f = Arc::new(Fixture::open().await);
    let running = tokio::spawn({
        let f = Arc::clone(&f);
        async move { f.run("r1", 1_000_000).await }
    });
    while f.endpoint.busy() == 0 {
        tokio::task::yield_now().await;
    }
    f.endpoint.drop_connections();
    let err = running.await.unwrap().unwrap_err();
    assert!(matches!(err, EndpointError::Broken { .. }), "{err}");
    while f.endpoint.busy() > 0 {
        tokio::task::yield_now().await;
    }
    assert!(f.ledger.runs("r1")[0].end_us.is_some());
}

#[tokio::test]
async fn leaving_endpoint_refuses_work_and_late_work_is_counted() {
    let f = Fixture::open().await;
    f.endpoint.leave(true);
    let err = f.run("r1", 10).await.unwrap_err();
    assert!(matches!(err, EndpointError::Leaving { .. }), "{err}");
    let health = f
        .client
        .health(f.endpoint.address(), TIMEOUT)
        .await
        .unwrap();
    assert!(health.leaving);
    f.endpoint.leave(false);
    f.run("r2", 10).await.unwrap();
    assert_eq!(f.ledger.counts().late_new_work, 0);
    f.endpoint.switch(|s| s.leaving_since_us = Some(0));
    while f.ledger.counts().late_new_work == 0 {
        f.run("r3", 10).await.unwrap();
    }
}

#[tokio::test]
async fn endpoint_can_fail_and_slow_down() {
    let f = Fixture::open().await;
    f.endpoint.switch(|s| s.fails = true);
    assert_eq!(f.run("r1", 10).await.unwrap().status, 500);
    f.endpoint.switch(|s| s.slow = 100.0);
    f.run("r2", 1_000).await.unwrap();
    let run = &f.ledger.runs("r2")[0];
    assert!(run.end_us.unwrap() - run.start_us >= 100_000);
}

fn spec(repeat_share: f64) -> CallerSpec {
    CallerSpec {
        name: "c".into(),
        call_path: CallPath::Direct,
        service: "engine".into(),
        team: "t".into(),
        token: None,
        class: Class::Short,
        schedule: Schedule::constant(200.0),
        idempotent_share: 0.0,
        deadline: TIMEOUT,
        service_time: Duration::from_micros(10),
        request_bytes: 500,
        answer_bytes: 100,
        repeat_share,
        give_up_share: 0.0,
        give_up_after: TIMEOUT,
    }
}

#[tokio::test]
async fn callers_record_every_answer() {
    let f = Fixture::open().await;
    let entry_addresses = EntryAddresses::open(vec![f.endpoint.address()]);
    let attempt_log = AttemptLog::default();
    let length = Duration::from_millis(200);
    caller::run(spec(0.0), entry_addresses, length, 1, attempt_log.clone()).await;
    let attempts = attempt_log.attempts();
    assert!(attempts.len() > 10);
    assert!(attempts.iter().all(|a| a.ending == Ending::Answered));
    let mut violations = Violations::default();
    violations.add_attempts(&attempts, &f.ledger);
    assert!(violations.is_empty());
}

#[tokio::test]
async fn ledgers_show_each_violation() {
    let f = Fixture::open().await;
    let entry_addresses = EntryAddresses::open(vec![f.endpoint.address()]);
    let attempt_log = AttemptLog::default();
    caller::run(
        spec(0.0),
        entry_addresses,
        Duration::from_millis(100),
        1,
        attempt_log.clone(),
    )
    .await;
    let mut attempts = attempt_log.attempts();
    attempts.truncate(4);
    let mut violations_after = |change: &dyn Fn(&mut caller::Attempt)| {
        change(&mut attempts[0]);
        let mut violations = Violations::default();
        violations.add_attempts(&attempts, &f.ledger);
        let stop = StopWindow {
            instance: "e1".into(),
            from_us: 0,
            to_us: u64::MAX,
        };
        violations.add_stops(&attempts, &[stop], |_| Some("e1".into()));
        violations
    };
    let none = Violations::default();
    let ends_with = |ending: Ending| move |a: &mut caller::Attempt| a.ending = ending.clone();
    let found = violations_after(&ends_with(Ending::NotRun("overloaded".into())));
    assert_eq!(
        found,
        Violations {
            false_not_run: 1,
            ..none
        }
    );
    let found = violations_after(&ends_with(Ending::MayHaveRun("peer_lost".into())));
    assert_eq!(found, none);
    let found = violations_after(&ends_with(Ending::Wrong));
    assert_eq!(
        found,
        Violations {
            partial_or_foreign_answer: 1,
            ..none
        }
    );
    let found = violations_after(&ends_with(Ending::Broken));
    assert_eq!(
        found,
        Violations {
            cut_off_by_shutdown: 1,
            ..none
        }
    );
    f.run(&attempt_log.attempts()[0].id, 10).await.unwrap();
    let found = violations_after(&ends_with(Ending::Answered));
    assert_eq!(
        found,
        Violations {
            duplicate_non_idempotent: 1,
            ..none
        }
    );
    let found = violations_after(&|a| a.idempotent = true);
    assert_eq!(found, none);
}
