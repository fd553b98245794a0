//! Tests the output of `guavacart node --check` and `guavacart explain`.

use std::{
    fs,
    io::Write,
    net::TcpListener,
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use rstest::rstest;

const SETTINGS: &str = r#"
node = "n-1"
ip = "127.0.0.1"
internal-ports = [7720, 7735]
[listen]
front = "127.0.0.1:8161"
[bounds]
grace-s = 6
[platform]
address = "127.0.0.1:8169"
"#;

const LOGS: &str = r#"
  0.2 n-2 {"timestamp":"2026-01-01T00:00:02Z","level":"INFO","event":"placed","task":"00000000000000aa.0.0.1","run":1}
  0.1 n-1 {"timestamp":"2026-01-01T00:00:01Z","level":"INFO","event":"submitted","job":"00000000000000aa","outcome":"Stored"}
  0.3 n-2 {"timestamp":"2026-01-01T00:00:03Z","level":"INFO","event":"placed","task":"00000000000000bb.0.0.1","run":1}
not a line of ours with 00000000000000aa
"#;

fn run(args: &[&str]) -> (bool, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_guavacart"))
        .args(args)
        .output();
    let output = output.expect("the guavacart binary can be started");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    (
        output.status.success(),
        text(output.stdout),
        text(output.stderr),
    )
}

fn file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let dir = tempfile::tempdir().expect("a temporary folder can be created");
    let path = dir.path().join(name);
    fs::write(&path, text).expect("the file can be written");
    let path = path.to_str().expect("the path is UTF-8").to_owned();
    (dir, path)
}

#[test]
fn valid_settings_have_no_faults() {
    let (_dir, path) = file("node.toml", SETTINGS);
    let (ok, out, _) = run(&["node", "--settings", &path, "--check"]);
    assert!(ok);
    assert_eq!(out, "settings of n-1: no faults\n");
}

#[rstest]
#[case::no_ports("[7720, 7735]", "[]", "internal-ports is empty")]
#[case::no_store("address = \"127.0.0.1:8169\"", "", "missing field `address`")]
#[case::not_toml("node =", "node", "expected")]
fn faults_are_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let (_dir, path) = file("node.toml", &SETTINGS.replacen(from, to, 1));
    let (ok, _, err) = run(&["node", "--settings", &path, "--check"]);
    assert!(!ok);
    assert!(err.contains(expected), "{err}");
}

/// Guards against the end of a node that gets SIGHUP before it handles signals.
#[test]
fn hang_up_while_the_settings_are_read_does_not_end_a_node() {
    let dir = tempfile::tempdir().expect("a temporary folder can be created");
    let path = dir.path().join("node.toml");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.expect("mkfifo can be started").success());
    let mut node = Command::new(env!("CARGO_BIN_EXE_guavacart"))
        .args(["node", "--settings"])
        .arg(&path)
        .stdout(Stdio::null())
        .spawn()
        .expect("the guavacart binary can be started");
    let pid = Pid::from_raw(i32::try_from(node.id()).expect("a process id"));
    // Opening the pipe waits until the node opens it to read its settings.
    let mut pipe = fs::OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("a pipe");
    signal::kill(pid, Signal::SIGHUP).expect("a running node");
    let [front, ready, links] = [free_port(), free_port(), free_port()];
    let listen = format!("[listen]\nready = \"127.0.0.1:{ready}\"");
    let settings = SETTINGS.replace("8161", &front).replace("7720", &links);
    let settings = settings.replace("[listen]", &listen);
    pipe.write_all(settings.as_bytes())
        .expect("the node reads its settings");
    drop(pipe);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(node.try_wait().expect("a status"), None);
    signal::kill(pid, Signal::SIGKILL).expect("a running node");
    node.wait().expect("an exit status");
}

fn free_port() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener
        .local_addr()
        .expect("an address")
        .port()
        .to_string()
}

/// Guards against the loss of the last lines of the log.
#[test]
fn node_that_cannot_bind_logs_the_reason() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = taken.local_addr().expect("an address").port().to_string();
    let (_dir, path) = file("node.toml", &SETTINGS.replace("7720", &port));
    for _ in 0..20 {
        let (ok, out, _) = run(&["node", "--settings", &path]);
        assert!(!ok);
        assert!(out.contains("cannot_run"), "{out}");
    }
}

#[test]
fn explain_prints_the_lines_of_one_job_in_order_of_time() {
    let (_dir, path) = file("logs.txt", LOGS);
    let (ok, out, _) = run(&["explain", "00000000000000aa", &path]);
    assert!(ok);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 2, "{out}");
    assert!(
        lines[0].contains("submitted") && lines[0].contains("outcome=Stored"),
        "{out}"
    );
    assert!(
        lines[1].contains("placed") && lines[1].contains("run=1"),
        "{out}"
    );
}

#[test]
fn explain_reports_an_unknown_id() {
    let (_dir, path) = file("logs.txt", LOGS);
    let (ok, _, err) = run(&["explain", "00000000000000cc", &path]);
    assert!(!ok);
    assert!(err.contains("no line names 00000000000000cc"), "{err}");
}
