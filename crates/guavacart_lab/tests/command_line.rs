//! Tests of the command line of `guavacart-lab` and of the handling of instance processes.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::Command,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use guavacart_lab::{
    caller::Schedule,
    instance::{AccessSettings, Instance, InstanceError, InstanceSettings},
    scenario::SCENARIOS,
    summary::Summary,
};
use tempfile::TempDir;

const LISTENING: &str =
    r#"echo '{"event":"listening","callers":"127.0.0.1:5","peers":"127.0.0.1:6"}'"#;

/// Held while a program file is written or started. A process forked while the file is being
/// written inherits the open file, and Linux refuses to run a file that is open for writing.
static PROGRAM_FILE_LOCK: Mutex<()> = Mutex::new(());

fn lab(args: &[&str]) -> (i32, String, String) {
    let _guard = PROGRAM_FILE_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let output = Command::new(env!("CARGO_BIN_EXE_guavacart-lab"))
        .args(args)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

macro_rules! exits {
    ($($name:ident: [$($arg:literal),*] => $code:literal, $text:literal;)*) => {$(
        #[test]
        fn $name() {
            let (code, out, err) = lab(&[$($arg),*]);
            assert_eq!(code, $code, "{out}{err}");
            assert!(format!("{out}{err}").contains($text), "{out}{err}");
        }
    )*};
}

exits! {
    help: ["--help"] => 0, "Exit codes";
    demo_help: ["demo", "--help"] => 0, "--seed";
    run_version: ["run", "--version"] => 0, "guavacart-lab 0";
    scenarios: ["scenarios"] => 0, "demo";
    unknown_command: ["dance"] => 2, "dance";
    unknown_option: ["demo", "--loud"] => 2, "loud";
    unknown_scenario: ["run", "dance"] => 2, "guavacart-lab scenarios";
    bad_number: ["demo", "--seed", "x"] => 2, "--seed";
    unknown_baseline: ["run", "demo", "--baseline", "none"] => 2, "no baseline";
}

#[test]
fn scenario_names_are_distinct() {
    let names: std::collections::BTreeSet<_> = SCENARIOS.iter().map(|s| s.name).collect();
    assert_eq!(names.len(), SCENARIOS.len());
}

#[test]
fn summary_has_the_stated_keys() {
    let line = serde_json::to_value(Summary::default()).unwrap();
    insta::assert_json_snapshot!(line);
}

#[test]
fn schedule_is_linear_between_points() {
    let at = Duration::from_secs;
    let schedule = Schedule::through(vec![(at(1), 10.0), (at(3), 30.0)]);
    let rates = [0, 1, 2, 3, 9].map(|s| schedule.rate(at(s)));
    assert_eq!(rates, [10.0, 10.0, 20.0, 30.0, 30.0]);
}

fn write_program(dir: &TempDir, script: &str) -> PathBuf {
    let path = dir.path().join("guavacart");
    fs::write(&path, format!("#!/bin/sh\n{script}\n")).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    path
}

fn spawn(dir: &TempDir, script: &str) -> Result<Instance, InstanceError> {
    let _guard = PROGRAM_FILE_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let any_port = "127.0.0.1:0".parse().unwrap();
    let settings = InstanceSettings {
        instance: "e1".into(),
        data_centre: "dc1".into(),
        callers: any_port,
        peers: any_port,
        store: any_port,
        instance_list: any_port,
        linger: "1s".into(),
        access: AccessSettings {
            peer_key: "k".into(),
            reader: "r".into(),
            writer: "w".into(),
            teams: BTreeMap::new(),
        },
    };
    Instance::spawn(&write_program(dir, script), dir.path(), &settings)
}

#[test]
fn instance_reports_its_addresses_and_stops() {
    let dir = tempfile::tempdir().unwrap();
    let script =
        format!("trap 'exit 0' TERM\necho first\n{LISTENING}\nwhile :; do sleep 0.02; done");
    let mut instance = spawn(&dir, &script).unwrap();
    assert_eq!(instance.callers().port(), 5);
    assert_eq!(instance.peers().port(), 6);
    assert!(instance.cpu_seconds().is_some());
    assert!(instance.is_running());
    assert_eq!(instance.stop(Duration::from_secs(10)).unwrap(), Some(0));
    assert!(!instance.is_running());
}

#[test]
fn instance_that_exits_without_listening_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    let err = spawn(&dir, "echo '{}'").unwrap_err();
    assert!(matches!(err, InstanceError::NotListening { .. }), "{err}");
}

#[test]
fn dropping_an_instance_kills_its_process() {
    let dir = tempfile::tempdir().unwrap();
    let script = format!("trap '' TERM\n{LISTENING}\nexec sleep 60");
    let mut instance = spawn(&dir, &script).unwrap();
    let err = instance.stop(Duration::from_millis(50)).unwrap_err();
    assert!(matches!(err, InstanceError::NotStopped { .. }), "{err}");
    let process = format!("/proc/{}", instance.pid());
    assert!(Path::new(&process).exists());
    drop(instance);
    assert!(!Path::new(&process).exists());
}
