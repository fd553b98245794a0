//! Tests of the stand-in store with guavacart's own client.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use guavacart_lab::store::{CallKind, Outage, Store as StandIn};
use guavacart_platform::{
    HttpStore,
    store::{Store, StoreError, WriteResult},
};
use guavacart_types::Revision;
use hyper::{Method, Request};

const TIMEOUT: Duration = Duration::from_secs(2);

async fn open() -> (StandIn, HttpStore) {
    let stand_in = StandIn::bind(1).await.unwrap();
    let store = HttpStore::open(stand_in.address(), TIMEOUT);
    (stand_in, store)
}

/// Runs blocking calls on a separate thread, so that the stand-in can answer them.
async fn blocking<T: Send + 'static>(
    store: &HttpStore,
    call: impl FnOnce(&HttpStore) -> T + Send + 'static,
) -> T {
    let store = store.clone();
    tokio::task::spawn_blocking(move || call(&store))
        .await
        .unwrap()
}

fn written(swapped: WriteResult) -> Revision {
    match swapped {
        WriteResult::Written(revision) => revision,
        WriteResult::Conflict(at) => panic!("conflict at {at}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn compare_and_swap_range_and_delete() {
    let (stand_in, store) = open().await;
    stand_in.keep_history("a/");
    blocking(&store, |s| {
        assert_eq!(s.get("a/1").unwrap(), None);
        let r1 = written(s.put("a/1", b"one", Revision(0)).unwrap());
        let conflict = s.put("a/1", b"two", Revision(0)).unwrap();
        assert_eq!(conflict, WriteResult::Conflict(r1));
        let r2 = written(s.put("a/1", b"\x00\xff", r1).unwrap());
        assert!(r2 > r1);
        written(s.put("a/2", b"", Revision(0)).unwrap());
        written(s.put("b", b"", Revision(0)).unwrap());
        let range = s.range("a/", "", 10).unwrap();
        assert_eq!(range.len(), 2);
        assert_eq!(range[0].versioned.value, b"\x00\xff");
        assert_eq!(s.range("a/", "a/1", 10).unwrap()[0].key, "a/2");
        assert_eq!(s.range("a/", "", 1).unwrap().len(), 1);
        assert_eq!(s.delete("a/1", r1).unwrap(), WriteResult::Conflict(r2));
        written(s.delete("a/1", r2).unwrap());
        assert_eq!(s.get("a/1").unwrap(), None);
    })
    .await;
    assert_eq!(stand_in.calls().total(CallKind::Put), 5);
    let kept: Vec<bool> = stand_in
        .history()
        .iter()
        .map(|w| w.value.is_some())
        .collect();
    assert_eq!(kept, [true, true, true, false]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_with_lost_answer_takes_effect() {
    let (stand_in, store) = open().await;
    stand_in.set_faults(|f| f.lost_answers = 1.0);
    blocking(&store, |s| {
        let err = s.put("k", b"v", Revision(0)).unwrap_err();
        assert!(matches!(err, StoreError::Unknown { .. }), "{err}");
        assert_eq!(s.get("k").unwrap().unwrap().value, b"v");
    })
    .await;
    assert_eq!(stand_in.lost_answers(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_in_an_outage_have_no_effect() {
    let (stand_in, store) = open().await;
    stand_in.set_faults(|f| f.outage = Outage::Refusing);
    let err = blocking(&store, |s| s.put("k", b"v", Revision(0)).unwrap_err()).await;
    assert!(matches!(err, StoreError::Unavailable { .. }), "{err}");
    stand_in.set_faults(|f| f.outage = Outage::Silent);
    let err = blocking(&store, |s| s.put("k", b"v", Revision(0)).unwrap_err()).await;
    assert!(matches!(err, StoreError::Unknown { .. }), "{err}");
    stand_in.set_faults(|f| f.outage = Outage::None);
    assert_eq!(blocking(&store, |s| s.get("k").unwrap()).await, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_returns_a_later_write() {
    let (stand_in, store) = open().await;
    let nothing = blocking(&store, |s| {
        s.watch("k", Revision(0), Duration::from_millis(20))
    })
    .await;
    assert_eq!(nothing.unwrap(), None);
    let watching = store.clone();
    let wait = Duration::from_secs(20);
    let watch = tokio::task::spawn_blocking(move || watching.watch("k", Revision(0), wait));
    while stand_in.calls().total(CallKind::Watch) < 2 {
        tokio::task::yield_now().await;
    }
    blocking(&store, |s| s.put("k", b"v", Revision(0)).unwrap()).await;
    assert_eq!(watch.await.unwrap().unwrap().unwrap().value, b"v");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expired_lease_removes_its_keys() {
    let (stand_in, store) = open().await;
    let send = async |method: Method, path: &str| {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "store");
        let req = req.body(Default::default()).unwrap();
        guavacart_lab::client::call(stand_in.address(), req, TIMEOUT)
            .await
            .unwrap()
    };
    let granted = send(Method::POST, "/v1/leases?ttl_ms=300").await;
    let granted: serde_json::Value = serde_json::from_slice(granted.body()).unwrap();
    let lease = granted["lease"].as_u64().unwrap();
    let bound = send(Method::PUT, &format!("/v1/kv/k?expect=0&lease={lease}")).await;
    assert_eq!(bound.status(), 200);
    let renewed = send(Method::POST, &format!("/v1/leases/{lease}")).await;
    assert_eq!(renewed.status(), 200);
    while blocking(&store, |s| s.get("k").unwrap()).await.is_some() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let expired = send(Method::POST, &format!("/v1/leases/{lease}")).await;
    assert_eq!(expired.status(), 404);
}
