//! A soak of real nodes with many executors, which checks every order that the executors get.
//!
//! `GUAVACART_SEEDS` seeds from `GUAVACART_SEED` on are run, with `GUAVACART_NODES` nodes,
//! `GUAVACART_EXECUTORS` executors, `GUAVACART_WAVES` waves of maintenance and
//! `GUAVACART_BUSY_THREADS` threads that keep processors busy.

#![allow(clippy::print_stdout, reason = "the figures of each seed are reported")]

mod bursts;
mod configurations;
mod faults;
#[path = "../../../../platform/tests/fake_platform/fleet/mod.rs"]
mod fleet;
#[path = "../../../../platform/tests/support/gate.rs"]
mod gate;
#[path = "../../../../platform/tests/fake_platform/http.rs"]
mod http;
mod load;
#[path = "../../../../platform/tests/support/loopback.rs"]
mod loopback;
#[path = "../soak/node.rs"]
mod node;
#[path = "../soak/request.rs"]
mod request;
mod restarts;
#[path = "../../../../platform/tests/fake_platform/store.rs"]
mod store;
mod submitter;

use std::{
    env,
    path::PathBuf,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use bursts::Bursts;
use configurations::Versions;
use faults::Faults;
use fleet::Fleet;
use load::Load;
use node::Node;
use submitter::{Accepted, BUSY, LONG_RUNNING_TASKS, PREFIX, SPARSE, Submitter, Workload};

/// Seeds that are run if `GUAVACART_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 2;
/// Nodes if `GUAVACART_NODES` is not set.
const DEFAULT_NODES: u64 = 4;
/// Executors if `GUAVACART_EXECUTORS` is not set.
const DEFAULT_EXECUTORS: u64 = 24;
/// Time after the last fault within which all jobs and waves are completed.
const COMPLETION_TIME: Duration = Duration::from_secs(40);

/// Held by the test that runs: all tests of a process use the same addresses.
static ADDRESSES: Mutex<()> = Mutex::new(());

/// A kind of run.
struct Scenario {
    name: &'static str,
    /// First seed if `GUAVACART_SEED` is not set.
    first_seed: u64,
    workload: &'static Workload,
    /// How long faults come.
    fault_period: Duration,
    /// Starts the series of faults of a seed.
    begin_faults: fn(&Faults, u64) -> Vec<JoinHandle<()>>,
    /// Number of waves of maintenance of a seed.
    waves: fn(u64) -> u64,
    /// Number of busy threads of a seed.
    busy_threads: fn(u64) -> usize,
}

const UPKEEPS: Scenario = Scenario {
    name: "executors",
    first_seed: 1,
    workload: &BUSY,
    fault_period: Duration::from_secs(10),
    begin_faults: |faults, seed| {
        vec![
            faults.spawn(seed * 10, 2_000..6_000, Faults::disturb_owner),
            faults.spawn(seed * 10 + 1, 2_000..9_000, Faults::disturb_node),
            faults.spawn(seed * 10 + 2, 500..4_000, Faults::crash_executors),
            faults.spawn(seed * 10 + 3, 500..6_000, Faults::delay_orders),
            faults.spawn(seed * 10 + 4, 500..6_000, Faults::disturb_machine_service),
            faults.spawn(seed * 10 + 5, 100..1_000, Faults::end_owner_in_wave),
            faults.spawn(seed * 10 + 6, 1_000..6_000, Faults::flap_executors),
        ]
    },
    waves: |seed| seed % 2 + 1,
    busy_threads: |_| 0,
};

/// In some seeds the owner stays, in others it changes often.
const RESTARTS: Scenario = Scenario {
    name: "restarts",
    first_seed: 5,
    workload: &SPARSE,
    fault_period: Duration::from_secs(20),
    begin_faults: |faults, seed| {
        let mut series = vec![
            faults.spawn(seed * 10, 1_000..4_000, Faults::cut_off_after_restart),
            faults.spawn(seed * 10 + 1, 3_000..8_000, Faults::cut_off_after_restart),
            faults.spawn(seed * 10 + 2, 500..4_000, Faults::change_configuration),
            faults.spawn(seed * 10 + 3, 500..4_000, Faults::hang_up),
        ];
        let owner_pause_ms = if seed % 4 == 3 {
            1_500..5_000
        } else {
            4_000..12_000
        };
        if seed % 4 != 1 {
            series.extend([
                faults.spawn(seed * 10 + 4, owner_pause_ms, Faults::disturb_owner),
                faults.spawn(seed * 10 + 5, 4_000..12_000, Faults::disturb_node),
                faults.spawn(seed * 10 + 6, 2_000..10_000, Faults::delay_orders),
            ]);
        }
        series
    },
    waves: |_| 0,
    busy_threads: |seed| if seed % 3 == 0 { usize::MAX } else { 0 },
};

fn number(variable: &str) -> Option<u64> {
    let text = env::var(variable).ok()?;
    Some(text.parse().expect("a number"))
}

#[test]
fn tasks_run_once_and_executors_are_not_overfilled_under_faults() {
    run_seeds(&UPKEEPS);
}

#[test]
fn tasks_run_once_when_restarted_executors_are_cut_off() {
    run_seeds(&RESTARTS);
}

fn run_seeds(scenario: &Scenario) {
    let _addresses = ADDRESSES.lock().unwrap_or_else(PoisonError::into_inner);
    let first = number("GUAVACART_SEED").unwrap_or(scenario.first_seed);
    let seeds = first..first + number("GUAVACART_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let mut violations = Vec::new();
    for seed in seeds {
        let found = run(scenario, seed);
        violations.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

fn run(scenario: &Scenario, seed: u64) -> Vec<String> {
    let node_count = number("GUAVACART_NODES").unwrap_or(DEFAULT_NODES) as usize;
    let executors = number("GUAVACART_EXECUTORS").unwrap_or(DEFAULT_EXECUTORS) as usize;
    let waves = number("GUAVACART_WAVES").unwrap_or_else(|| (scenario.waves)(seed));
    let busy_threads = number("GUAVACART_BUSY_THREADS").map(|threads| threads as usize);
    let load = Load::spawn(busy_threads.unwrap_or_else(|| (scenario.busy_threads)(seed)));
    let versions = Arc::new(Versions::default());
    let run = format!("{}-{seed}", scenario.name);
    let record = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{run}.txt"));
    let fleet = Arc::new(Fleet::spawn(seed, executors, &versions.next(&[]), &record));
    let nodes: Vec<Arc<Node>> = (0..node_count)
        .map(|number| {
            let cloud = Some(fleet.cloud_address);
            Arc::new(Node::spawn(&run, number, fleet.store_address, cloud))
        })
        .collect();
    let weak: Vec<Weak<Node>> = nodes.iter().map(Arc::downgrade).collect();
    fleet.set_in_touch(move |name| {
        let mut nodes = weak.iter().filter_map(Weak::upgrade);
        let node = nodes.find(|node| node.name == name);
        node.is_some_and(|node| !node.was_disturbed_since(Instant::now()))
    });
    wait_until_serving(&nodes);
    let is_over = Arc::new(AtomicBool::new(false));
    let submitters: Vec<_> = (0..nodes.len())
        .map(|number| {
            let submitter = Submitter::new(seed, number, &nodes, &fleet, scenario.workload);
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || submitter.run(&is_over))
        })
        .collect();
    let bursts = Arc::new(Bursts::new(&nodes, &fleet, &is_over));
    let faults = Faults {
        nodes: nodes.clone(),
        fleet: Arc::clone(&fleet),
        bursts: Arc::clone(&bursts),
        versions,
        executors,
        end: Instant::now() + scenario.fault_period,
    };
    let series = (scenario.begin_faults)(&faults, seed);
    faults.begin_waves(seed * 10 + 7, waves);
    thread::sleep(faults.end.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    for series in series {
        series.join().expect("a series of faults");
    }
    fleet.note("the faults are over");
    let jobs = submitters
        .into_iter()
        .flat_map(|submitter| submitter.join().expect("a client"));
    let jobs: Vec<Accepted> = jobs.chain(bursts.end()).collect();
    let mut violations = check_end(&nodes, &fleet, &jobs);
    let rules = ["TWICE", "LIMIT", "ONE", "MIXED", "UNASKED"];
    let broken = fleet.violations();
    let counts = rules.map(|rule| {
        let count = broken.iter().filter(|text| text.starts_with(rule)).count();
        format!("{rule} {count}")
    });
    println!(
        "seed {seed}: {node_count} nodes, {executors} executors, {waves} waves, {} busy threads, \
         {} jobs, {} starts, {} faults of nodes; {}; {} not completed",
        load.len(),
        jobs.len(),
        fleet.starts(),
        nodes.iter().map(|node| node.faults()).sum::<u64>(),
        counts.join(", "),
        violations.len(),
    );
    violations.splice(0..0, broken);
    violations
}

fn wait_until_serving(nodes: &[Arc<Node>]) {
    let end = Instant::now() + Duration::from_secs(30);
    for node in nodes {
        while request::count(node, PREFIX) != Some(200) {
            assert!(Instant::now() < end, "{} does not serve", node.name);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Checks that all accepted jobs are completed or, if they are long-running, run, and that all waves
/// are completed.
fn check_end(nodes: &[Arc<Node>], fleet: &Fleet, jobs: &[Accepted]) -> Vec<String> {
    let end = Instant::now() + COMPLETION_TIME;
    let mut violations: Vec<String> = nodes.iter().flat_map(|node| node.own_ends()).collect();
    let mut wait_for = |what: &str, problem: &dyn Fn() -> Option<String>| {
        while let Some(problem) = problem() {
            if Instant::now() >= end {
                violations.push(format!("{what} {problem} at the end"));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    };
    for job in jobs {
        wait_for(&format!("job {}", job.id), &|| {
            if job.is_long_running {
                let active = fleet.active_tasks(&job.id);
                return (active != LONG_RUNNING_TASKS).then(|| format!("has {active} tasks"));
            }
            let state = request::state(&nodes[0], PREFIX, &job.id);
            (state.as_deref() != Some("completed")).then(|| format!("is {state:?}"))
        });
    }
    wait_for("waves", &|| {
        let open = fleet.open_waves();
        (!open.is_empty()).then(|| format!("{open:?} are not completed"))
    });
    violations
}
