//! Tests that a request without a deadline gets the deadline of its service, and that a request whose
//! deadline has passed is not run.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    time::{Duration, Instant},
};

use guavacart_config::{CONFIG_KEY, ConfigRecord, Patch};
use guavacart_lab::{
    endpoint::Endpoint,
    host::Host,
    instance::{AccessSettings, Instance, InstanceSettings},
    instance_list::InstanceList,
    request_ledger::RequestLedger,
    store::Store,
};
use guavacart_platform::{
    HttpStore,
    instance_list::{ListedInstanceWire, RoleWire},
    store::Store as _,
};
use guavacart_types::Revision;
use serde_json::json;
use tempfile::TempDir;

/// Time limit for a condition to hold.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Service time of one request in microseconds, longer than the deadline of the service `brief`.
const WORK_US: u64 = 400_000;

fn settings(store: SocketAddr, list: SocketAddr) -> InstanceSettings {
    InstanceSettings {
        instance: "e1".into(),
        data_centre: "dc1".into(),
        callers: "127.0.0.1:0".parse().unwrap(),
        peers: "127.0.0.1:0".parse().unwrap(),
        store,
        instance_list: list,
        linger: "0ms".into(),
        access: AccessSettings {
            peer_key: "a-key-of-sixteen".into(),
            reader: "the-reader-token".into(),
            writer: "the-writer-token".into(),
            teams: [("a".into(), "the-token-of-a".into())].into(),
        },
    }
}

/// Stores a configuration with the services `engine` and `brief`.
fn configure(store: SocketAddr) {
    let brief = json!({ "deadline": 100, "admission": false });
    let patch = Patch {
        id: "p1".parse().unwrap(),
        base: Default::default(),
        change: json!({ "services": { "engine": {}, "brief": brief }, "teams": { "a": {} } }),
    };
    let record = ConfigRecord::default();
    let guavacart_config::Accepted::New(record) = record.accept(&patch).unwrap() else {
        unreachable!("the first patch of an empty record is new");
    };
    HttpStore::open(store, WAIT_LIMIT)
        .put(CONFIG_KEY, &record.encode(), Revision::default())
        .unwrap();
}

fn call(at: SocketAddr, service: &str, id: &str, headers: &str) -> String {
    let body = json!({ "work_us": WORK_US, "nonce": 1 }).to_string();
    let len = body.len();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    write!(
        stream,
        "POST /v1/services/{service} HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\
         Guavacart-Team: a\r\nAuthorization: Bearer the-token-of-a\r\n\
         Guavacart-Request-Id: {id}\r\nGuavacart-Idempotent: true\r\n{headers}\
         Content-Length: {len}\r\n\r\n{body}"
    )
    .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response.to_lowercase()
}

/// Repeats a request until the instance knows the service and can use its endpoint, and returns the
/// response.
fn call_until_ready(at: SocketAddr, service: &str) -> String {
    let started = Instant::now();
    for n in 0.. {
        let response = call(at, service, &format!("{service}-{n}"), "");
        let is_unready = response.contains("guavacart-reason: unknown")
            || response.contains("guavacart-reason: no_endpoint")
            || response.contains("guavacart-outcome: not-run");
        if !is_unready || started.elapsed() > WAIT_LIMIT {
            return response;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    unreachable!("the loop ends only by returning");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_without_a_deadline_gets_that_of_its_service() {
    let store = Store::bind(1).await.unwrap();
    let list = InstanceList::bind(Duration::from_millis(50)).await.unwrap();
    let mut endpoints = Vec::new();
    for service in ["engine", "brief"] {
        let host = Host::open(32_000, Default::default());
        let (id, name) = (service.parse().unwrap(), service.parse().unwrap());
        let endpoint = Endpoint::bind(id, name, host, RequestLedger::default())
            .await
            .unwrap();
        list.register(ListedInstanceWire {
            data_centre: "dc1".into(),
            address: endpoint.address(),
            leaving: false,
            role: RoleWire::Endpoint {
                id: service.into(),
                service: service.into(),
                worker: None,
            },
        });
        endpoints.push(endpoint);
    }
    tokio::task::block_in_place(|| {
        configure(store.address());
        let dir = TempDir::new().unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_guavacart"));
        let settings = settings(store.address(), list.address());
        let entry = Instance::spawn(binary, dir.path(), &settings).unwrap();
        list.register(ListedInstanceWire {
            data_centre: "dc1".into(),
            address: entry.peers(),
            leaving: false,
            role: RoleWire::Entry { id: "e1".into() },
        });
        let at = entry.callers();
        let default_deadline = call_until_ready(at, "engine");
        assert!(
            default_deadline.contains("guavacart-outcome: answered"),
            "{default_deadline}"
        );
        let timed_out = call_until_ready(at, "brief");
        assert!(
            timed_out.contains("guavacart-outcome: may-have-run"),
            "{timed_out}"
        );
        assert!(
            timed_out.contains("guavacart-reason: deadline_passed"),
            "{timed_out}"
        );
        let own_deadline = call(at, "brief", "named", "Guavacart-Deadline-Ms: 5000\r\n");
        assert!(
            own_deadline.contains("guavacart-outcome: answered"),
            "{own_deadline}"
        );
        let passed = call(at, "engine", "passed", "Guavacart-Deadline-Ms: 0\r\n");
        assert!(passed.contains("guavacart-outcome: not-run"), "{passed}");
        assert!(
            passed.contains("guavacart-reason: deadline_passed"),
            "{passed}"
        );
    });
    drop(endpoints);
}
