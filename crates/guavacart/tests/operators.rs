//! Tests that an operator can manage two running entry instances by the command alone.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::Path,
    process::{Command, Output},
    thread,
    time::{Duration, Instant},
};

use guavacart_lab::{
    instance::{AccessSettings, Instance, InstanceSettings},
    instance_list::InstanceList,
    store::{Outage, Store},
};
use guavacart_platform::instance_list::{ListedInstanceWire, RoleWire};
use smol_str::SmolStr;
use tempfile::TempDir;

const WRITER: &str = "the-writer-token";
const READER: &str = "the-reader-token";
/// Time limit for a condition to hold.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A store, an instance list and two entry instances.
struct Deployment {
    dir: TempDir,
    store: Store,
    list: InstanceList,
    instances: Vec<Instance>,
}

impl Deployment {
    async fn start() -> Self {
        let store = Store::bind(1).await.unwrap();
        let list = InstanceList::bind(Duration::from_millis(50)).await.unwrap();
        let mut deployment = Self {
            dir: TempDir::new().unwrap(),
            store,
            list,
            instances: Vec::new(),
        };
        deployment.spawn("e1");
        deployment.spawn("e2");
        deployment
    }

    fn spawn(&mut self, name: &str) {
        let settings = InstanceSettings {
            instance: name.into(),
            data_centre: "dc1".into(),
            callers: "127.0.0.1:0".parse().unwrap(),
            peers: "127.0.0.1:0".parse().unwrap(),
            store: self.store.address(),
            instance_list: self.list.address(),
            linger: "0ms".into(),
            access: AccessSettings {
                peer_key: "a-key-of-sixteen".into(),
                reader: READER.into(),
                writer: WRITER.into(),
                teams: [(SmolStr::new("a"), SmolStr::new("the-token-of-a"))].into(),
            },
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_guavacart"));
        let instance = Instance::spawn(binary, self.dir.path(), &settings).unwrap();
        self.list.register(ListedInstanceWire {
            data_centre: "dc1".into(),
            address: instance.peers(),
            leaving: false,
            role: RoleWire::Entry { id: name.into() },
        });
        self.instances.push(instance);
    }

    fn run(&self, at: usize, token: &str, args: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_guavacart"));
        command.current_dir(self.dir.path()).args(args);
        command.env("GUAVACART_ENTRY", self.instances[at].callers().to_string());
        command.env("GUAVACART_TOKEN", token);
        let Output {
            status,
            stdout,
            stderr,
        } = command.output().unwrap();
        let text = [stdout, stderr].concat();
        (status.code().unwrap(), String::from_utf8(text).unwrap())
    }

    fn write_file(&self, name: &str, text: &str) {
        fs::write(self.dir.path().join(name), text).unwrap();
    }

    fn status(&self, at: usize) -> serde_json::Value {
        let (code, text) = self.run(at, READER, &["status", "--json"]);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).unwrap()
    }

    /// Repeats a command with the reader's token until its output contains `expected`.
    fn run_until(&self, at: usize, args: &[&str], expected: &str) {
        let started = Instant::now();
        loop {
            let (status, text) = self.run(at, READER, args);
            if text.contains(expected) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "{args:?} ended with {status}: {text}"
            );
            thread::sleep(Duration::from_millis(100));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_patches_and_reads_the_configuration_and_reports_burn() {
    let deployment = Deployment::start().await;
    tokio::task::block_in_place(|| operate(&deployment));
}

fn operate(deployment: &Deployment) {
    deployment.run_until(0, &["status", "--json"], "\"e2\"");
    deployment.run_until(1, &["status", "--json"], "\"e1\"");
    deployment.write_file(
        "one.json",
        r#"{"services": {"engine": {}}, "teams": {"a": {}}}"#,
    );
    deployment.write_file("two.json", r#"{"services": {"engine": {"slots": 4}}}"#);
    deployment.write_file("bad.json", r#"{"services": {"engine": {"slots": 0}}}"#);
    let dry = deployment.run(
        0,
        READER,
        &["patch", "--base", "0", "--dry-run", "one.json"],
    );
    assert_eq!(dry.0, 0, "{}", dry.1);
    let patch = ["patch", "--base", "0", "--id", "p1", "one.json"];
    assert_eq!(
        deployment.run(0, READER, &patch).0,
        1,
        "a reader may not submit a patch"
    );
    assert_eq!(deployment.run(0, WRITER, &patch), (0, "1\n".into()));
    assert_eq!(
        deployment.run(1, WRITER, &patch),
        (0, "1\n".into()),
        "a repeated patch is applied only once"
    );
    let wait = deployment.run(0, READER, &["config", "wait", "1", "--timeout", "20s"]);
    assert_eq!(wait.0, 0, "{}", wait.1);
    let conflict = deployment.run(0, WRITER, &["patch", "--base", "0", "two.json"]);
    assert_eq!(conflict.0, 1);
    assert!(
        conflict
            .1
            .contains("changed since the base: services.engine.slots")
    );
    let invalid = deployment.run(0, WRITER, &["patch", "--base", "1", "bad.json"]);
    assert!(
        invalid
            .1
            .contains("services.engine.slots: 0 is below 1; give at least 1")
    );
    assert_eq!(
        deployment
            .run(1, WRITER, &["patch", "--base", "1", "two.json"])
            .1,
        "2\n"
    );
    let diff = deployment.run(0, READER, &["config", "diff", "1", "2"]);
    assert_eq!(diff, (0, "services.engine.slots: 8 -> 4\n".into()));
    deployment.run_until(0, &["config", "show"], "\"slots\": 4");
    let earlier = deployment.run(0, READER, &["config", "show", "--version", "1"]);
    assert!(earlier.1.contains("\"slots\": 8"), "{}", earlier.1);
    deployment.run_until(0, &["report", "burn"], "2 asked, 2 answered");
    assert_eq!(
        deployment
            .run(0, READER, &["report", "burn", "--svg", "burn.svg"])
            .0,
        0
    );
    assert!(
        fs::read_to_string(deployment.dir.path().join("burn.svg"))
            .unwrap()
            .contains("<svg")
    );
    let status = deployment.status(0);
    assert_eq!(status["configs"].as_array().unwrap().len(), 2);
    assert_eq!(status["configs"][0]["number"], 2);
    assert_eq!(status["store"]["failures_in_a_row"], 0);
    assert!(status["store"]["calls"][0]["total"].as_u64() > Some(0));
    let is_not_of_workers = |channel: &&serde_json::Value| channel["channel"] != "workers";
    let control = status["control"].as_array().unwrap();
    for channel in control.iter().filter(is_not_of_workers) {
        let sent = channel["sent_bytes"].as_u64();
        assert!(sent > Some(0), "no bytes were sent on {channel}");
    }
    deployment
        .store
        .set_faults(|faults| faults.outage = Outage::Refusing);
    let out = deployment.run(0, WRITER, &["patch", "--base", "2", "one.json"]);
    assert_eq!(out.0, 3, "{}", out.1);
    let failures = deployment.status(0)["store"]["failures_in_a_row"].as_u64();
    assert!(
        failures >= Some(8),
        "a patch tries to reach the store eight times"
    );
    assert_eq!(deployment.run(0, READER, &["config", "show"]).0, 0);
}
