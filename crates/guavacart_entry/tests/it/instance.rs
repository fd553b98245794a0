//! An entry instance without a platform, and raw connections to it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use guavacart_config::{Access, Limits, Secret, Settings};
use guavacart_types::{ByteSize, Span};

/// Longest wait for an answer before a test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// An address where nothing listens.
const NOWHERE: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

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
        store: NOWHERE.into(),
        instance_list: NOWHERE.into(),
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
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Sends bytes and reads until the listener closes.
pub(crate) fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    // The listener may close before it has read all that is sent.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// The status of an HTTP answer, or `closed` for none.
pub(crate) fn status(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    text.split(' ').nth(1).unwrap_or("closed").to_owned()
}

pub(crate) fn is_unharmed(address: SocketAddr) -> bool {
    let health = "GET /v1/health HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\r\n";
    status(&exchange(address, health.as_bytes())) == "200"
}
