//! The clients of the store and the instance list against responses that are truncated, invalid or
//! missing.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use guavacart_platform::{
    HttpStore,
    instance_list::{HttpInstanceList, InstanceList, InstanceListError},
    store::{MAX_VALUE_BYTES, Store, StoreError, WriteResult},
};
use guavacart_types::Revision;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers the request on the first connection with `answer` and closes it.
fn server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        let mut buf = [0; 1024];
        while !received.windows(4).any(|w| w == b"\r\n\r\n") {
            let n = stream.read(&mut buf).unwrap();
            received.extend_from_slice(&buf[..n]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn kind(err: &StoreError) -> &'static str {
    match err {
        StoreError::Unavailable { .. } => "unavailable",
        StoreError::Unknown { .. } => "unknown",
        StoreError::TooLarge { .. } => "too large",
    }
}

macro_rules! failing_writes {
    ($($name:ident: $answer:literal => $kind:literal;)*) => {$(
        #[test]
        fn $name() {
            let store = HttpStore::open(server($answer), TIMEOUT);
            let err = store.put("k", b"v", Revision(0)).unwrap_err();
            assert_eq!(kind(&err), $kind, "{err}");
        }
    )*};
}

failing_writes! {
    truncated_body: "HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 10\r\n\r\nfour" => "unknown";
    closed_without_a_response: "" => "unknown";
    response_without_content_length: "HTTP/1.1 200 OK\r\nRevision: 1\r\n\r\n" => "unknown";
    response_without_revision: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" => "unknown";
    unexpected_status: "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n" => "unknown";
    store_outage: "HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n" => "unavailable";
}

#[test]
fn refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let err = HttpStore::open(address, TIMEOUT).get("k").unwrap_err();
    assert_eq!(kind(&err), "unavailable");
}

#[test]
fn value_over_the_limit_is_not_sent() {
    let store = HttpStore::open(SocketAddr::from(([127, 0, 0, 1], 9)), TIMEOUT);
    let value = vec![0; MAX_VALUE_BYTES + 1];
    let err = store.put("k", &value, Revision(0)).unwrap_err();
    assert_eq!(kind(&err), "too large");
}

#[test]
fn conflict_returns_the_current_revision() {
    let answer = "HTTP/1.1 409 Conflict\r\nRevision: 7\r\nContent-Length: 0\r\n\r\n";
    let store = HttpStore::open(server(answer), TIMEOUT);
    let result = store.put("k", b"v", Revision(0)).unwrap();
    assert_eq!(result, WriteResult::Conflict(Revision(7)));
}

#[test]
fn range_with_invalid_hex_is_unknown() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n[{\"key\":\"k\",\"revision\":1,\"value\":\"0x\"}]  ";
    let store = HttpStore::open(server(answer), TIMEOUT);
    assert_eq!(kind(&store.range("k", "", 1).unwrap_err()), "unknown");
}

#[test]
fn instance_list_with_an_invalid_id_is_refused() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 95\r\n\r\n[{\"data_centre\":\"a b\",\"address\":\"127.0.0.1:1\",\"leaving\":false,\"role\":{\"entry\":{\"id\":\"e1\"}}}]    ";
    let list = HttpInstanceList::open(server(answer), TIMEOUT);
    let err = list.read(None).unwrap_err();
    assert!(matches!(err, InstanceListError::Id { .. }), "{err}");
}
