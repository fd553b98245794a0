//! Settings of an entry instance without a platform, and raw connections to the instance.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use guavacart_config::{Access, Limits, Secret, Settings};
use guavacart_types::{ByteSize, Span};

/// Longest wait for an answer before a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// An address on which nothing listens.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

pub(crate) fn settings() -> Settings {
    let mut access = Access {
        peer_key: Secret::new("0123456789abcdef0123456789abcdef"),
        ..Access::default()
    };
    let team = "north".parse().unwrap();
    access.teams.insert(team, Secret::new("the team's token"));
    Settings {
        instance: "e1".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        callers: ([127, 0, 0, 1], 0).into(),
        peers: ([127, 0, 0, 1], 0).into(),
        store: UNUSED_ADDRESS.into(),
        instance_list: UNUSED_ADDRESS.into(),
        limits: Limits {
            head: ByteSize::kib(8),
            body: ByteSize::kib(4),
            connections: 20,
            head_time: Span::millis(300),
            body_time: Span::millis(300),
        },
        access,
        linger: Span::ZERO,
        metrics: None,
    }
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Sends a request and reads the answer until the listener closes the connection.
pub(crate) fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    // Fails if the listener closes before it has read the whole request.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Returns the status of an HTTP answer, or `closed` if there is no answer.
pub(crate) fn status(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    text.split(' ').nth(1).unwrap_or("closed").to_owned()
}

pub(crate) fn is_healthy(address: SocketAddr) -> bool {
    let health = "GET /v1/health HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\r\n";
    status(&exchange(address, health.as_bytes())) == "200"
}
