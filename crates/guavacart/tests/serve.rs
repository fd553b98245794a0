//! Tests the first line of output, the health check and the graceful stop of `guavacart serve`.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tempfile::TempDir;

/// A running instance, which is killed if the test ends before it stops.
struct Serve(Child);

impl Drop for Serve {
    fn drop(&mut self) {
        // The instance has already stopped unless the test failed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

const SETTINGS: &str = r#"
instance = "e1"
data_centre = "dc1"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
store = "127.0.0.1:1"
instance_list = "127.0.0.1:1"
linger = "0ms"
[access]
peer_key = "a-key-of-sixteen"
"#;

#[test]
fn serve_announces_its_addresses_and_stops_gracefully() {
    let dir = TempDir::new().unwrap();
    let settings = dir.path().join("settings.toml");
    fs::write(&settings, SETTINGS).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_guavacart"));
    command.arg("serve").arg("--settings").arg(settings);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut serve = Serve(command.spawn().unwrap());
    let mut line = String::new();
    let stdout = serve.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let announced: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(announced["event"], "listening");
    let callers = announced["callers"].as_str().unwrap();
    assert_ne!(announced["peers"], announced["callers"]);
    assert!(get(callers, "/v1/health").starts_with("HTTP/1.1 200"));
    let pid = Pid::from_raw(i32::try_from(serve.0.id()).unwrap());
    kill(pid, Signal::SIGTERM).unwrap();
    assert_eq!(serve.0.wait().unwrap().code(), Some(0));
}

fn get(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}
