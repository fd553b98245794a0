//! A request without a deadline has its service's; one whose deadline has passed stays out.

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

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);
/// Service time of one request, longer than the deadline of the service `brief`.
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

/// Puts a configuration with two services in force.
fn configure(store: SocketAddr) {
    let brief = json!({ "deadline": 100, "admission": false });
    let patch = Patch {
        id: "p1".parse().unwrap(),
        base: Default::default(),
        change: json!({ "services": { "engine": {}, "brief": brief }, "teams": { "a": {} } }),
    };
    let record = ConfigRecord::default();
    let guavacart_config::Accepted::New(record) = record.accept(&patch).unwrap() else {
        unreachable!("the record is empty");
    };
    HttpStore::open(store, LIMIT)
        .put(CONFIG_KEY, &record.encode(), Revision::default())
        .unwrap();
}

fn call(at: SocketAddr, service: &str, id: &str, headers: &str) -> String {
    let body = json!({ "work_us": WORK_US, "nonce": 1 }).to_string();
    let len = body.len();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    write!(
        stream,
        "POST /v1/services/{service} HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\
         Guavacart-Team: a\r\nAuthorization: Bearer the-token-of-a\r\n\
         Guavacart-Request-Id: {id}\r\nGuavacart-Idempotent: true\r\n{headers}\
         Content-Length: {len}\r\n\r\n{body}"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.to_lowercase()
}

/// Repeats a request until the instance can use its endpoints.
fn call_until_ready(at: SocketAddr, service: &str) -> String {
    let begun = Instant::now();
    for n in 0.. {
        let answer = call(at, service, &format!("{service}-{n}"), "");
        let unready = answer.contains("guavacart-reason: unknown")
            || answer.contains("guavacart-reason: no_endpoint")
            || answer.contains("guavacart-outcome: not-run");
        if !unready || begun.elapsed() > LIMIT {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    unreachable!("the loop has no end but its return");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_services_deadline_stands_in_for_a_missing_one() {
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
        let whole = call_until_ready(at, "engine");
        assert!(whole.contains("guavacart-outcome: answered"), "{whole}");
        let cut = call_until_ready(at, "brief");
        assert!(cut.contains("guavacart-outcome: may-have-run"), "{cut}");
        assert!(cut.contains("guavacart-reason: deadline_passed"), "{cut}");
        let named = call(at, "brief", "named", "Guavacart-Deadline-Ms: 5000\r\n");
        assert!(named.contains("guavacart-outcome: answered"), "{named}");
        let passed = call(at, "engine", "passed", "Guavacart-Deadline-Ms: 0\r\n");
        assert!(passed.contains("guavacart-outcome: not-run"), "{passed}");
        assert!(
            passed.contains("guavacart-reason: deadline_passed"),
            "{passed}"
        );
    });
    drop(endpoints);
}
