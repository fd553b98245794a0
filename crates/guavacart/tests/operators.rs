//! An operator drives two real instances by the command alone.

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
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);

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

    fn file(&self, name: &str, text: &str) {
        fs::write(self.dir.path().join(name), text).unwrap();
    }

    fn status(&self, at: usize) -> serde_json::Value {
        let (code, text) = self.run(at, READER, &["status", "--json"]);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).unwrap()
    }

    /// Repeats a reading call until its text holds `expected`.
    fn until(&self, at: usize, args: &[&str], expected: &str) {
        let begun = Instant::now();
        loop {
            let (status, text) = self.run(at, READER, args);
            if text.contains(expected) {
                return;
            }
            assert!(
                begun.elapsed() < LIMIT,
                "{args:?} ended with {status}: {text}"
            );
            thread::sleep(Duration::from_millis(100));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_patches_reads_and_reports() {
    let deployment = Deployment::start().await;
    tokio::task::block_in_place(|| operate(&deployment));
}

fn operate(it: &Deployment) {
    it.until(0, &["status", "--json"], "\"e2\"");
    it.until(1, &["status", "--json"], "\"e1\"");
    it.file(
        "one.json",
        r#"{"services": {"engine": {}}, "teams": {"a": {}}}"#,
    );
    it.file("two.json", r#"{"services": {"engine": {"slots": 4}}}"#);
    it.file("bad.json", r#"{"services": {"engine": {"slots": 0}}}"#);
    let dry = it.run(
        0,
        READER,
        &["patch", "--base", "0", "--dry-run", "one.json"],
    );
    assert_eq!(dry.0, 0, "{}", dry.1);
    let patch = ["patch", "--base", "0", "--id", "p1", "one.json"];
    assert_eq!(it.run(0, READER, &patch).0, 1, "a reader submits no patch");
    assert_eq!(it.run(0, WRITER, &patch), (0, "1\n".into()));
    assert_eq!(
        it.run(1, WRITER, &patch),
        (0, "1\n".into()),
        "a repeat is the same patch"
    );
    let wait = it.run(0, READER, &["config", "wait", "1", "--timeout", "20s"]);
    assert_eq!(wait.0, 0, "{}", wait.1);
    let conflict = it.run(0, WRITER, &["patch", "--base", "0", "two.json"]);
    assert_eq!(conflict.0, 1);
    assert!(
        conflict
            .1
            .contains("changed since the base: services.engine.slots")
    );
    let invalid = it.run(0, WRITER, &["patch", "--base", "1", "bad.json"]);
    assert!(
        invalid
            .1
            .contains("services.engine.slots: 0 is below 1; give at least 1")
    );
    assert_eq!(
        it.run(1, WRITER, &["patch", "--base", "1", "two.json"]).1,
        "2\n"
    );
    let diff = it.run(0, READER, &["config", "diff", "1", "2"]);
    assert_eq!(diff, (0, "services.engine.slots: 8 -> 4\n".into()));
    it.until(0, &["config", "show"], "\"slots\": 4");
    let earlier = it.run(0, READER, &["config", "show", "--version", "1"]);
    assert!(earlier.1.contains("\"slots\": 8"), "{}", earlier.1);
    it.until(0, &["report", "burn"], "2 asked, 2 answered");
    assert_eq!(
        it.run(0, READER, &["report", "burn", "--svg", "burn.svg"])
            .0,
        0
    );
    assert!(
        fs::read_to_string(it.dir.path().join("burn.svg"))
            .unwrap()
            .contains("<svg")
    );
    let status = it.status(0);
    assert_eq!(status["configs"].as_array().unwrap().len(), 2);
    assert_eq!(status["configs"][0]["number"], 2);
    assert_eq!(status["store"]["failures_in_a_row"], 0);
    assert!(status["store"]["calls"][0]["total"].as_u64() > Some(0));
    let no_workers = |channel: &&serde_json::Value| channel["channel"] != "workers";
    let control = status["control"].as_array().unwrap();
    for channel in control.iter().filter(no_workers) {
        let sent = channel["sent_bytes"].as_u64();
        assert!(sent > Some(0), "{channel} has carried nothing");
    }
    it.store
        .set_faults(|faults| faults.outage = Outage::Refusing);
    let out = it.run(0, WRITER, &["patch", "--base", "2", "one.json"]);
    assert_eq!(out.0, 3, "{}", out.1);
    let failures = it.status(0)["store"]["failures_in_a_row"].as_u64();
    assert!(failures >= Some(8), "a patch tries eight times");
    assert_eq!(it.run(0, READER, &["config", "show"]).0, 0);
}
