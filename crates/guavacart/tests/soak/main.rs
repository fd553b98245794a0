//! A soak of real nodes: the configuration changes in series while connections go silent, the store
//! turns nodes away, watches miss changes, and processes are stopped, killed and restarted.
//!
//! `GUAVACART_SEEDS` seeds from `GUAVACART_SEED` on are run, with `GUAVACART_NODES` nodes.

#![allow(clippy::print_stdout, reason = "the figures of each seed are reported")]

mod client;
#[path = "../../../../platform/tests/fake_platform/mod.rs"]
mod fake_platform;
#[path = "../../../../platform/tests/support/gate.rs"]
mod gate;
mod history;
#[path = "../../../../platform/tests/support/loopback.rs"]
mod loopback;
mod node;
mod request;

use std::{
    env,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use client::Client;
use fake_platform::FakePlatform;
use history::{History, PREFIXES};
use node::Node;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Seeds that are run if `GUAVACART_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 3;
/// Nodes of each run if `GUAVACART_NODES` is not set.
const DEFAULT_NODES: usize = 4;
/// How long faults and changes come.
const FAULT_PERIOD: Duration = Duration::from_secs(12);
/// Time after the last fault in which all nodes serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Series of faults that overlap.
const FAULT_SERIES: u64 = 3;

fn number(variable: &str, default: u64) -> u64 {
    let text = env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn configurations_are_in_force_and_jobs_complete_under_faults() {
    let first = number("GUAVACART_SEED", 1);
    let nodes = usize::try_from(number("GUAVACART_NODES", DEFAULT_NODES as u64)).expect("a count");
    for seed in first..first + number("GUAVACART_SEEDS", DEFAULT_SEEDS) {
        let violations = run(seed, nodes);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

fn run(seed: u64, nodes: usize) -> Vec<String> {
    let history = Arc::new(History::new());
    let platform = FakePlatform::spawn(&history.begin());
    let nodes: Vec<Arc<Node>> = (0..nodes)
        .map(|number| {
            Arc::new(Node::spawn(
                &format!("soak-{seed}"),
                number,
                platform.store,
                None,
            ))
        })
        .collect();
    wait_until_serving(&nodes, &history);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let client = Client::new(seed, number, Arc::clone(node), Arc::clone(&history));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || client.run(&is_over))
        })
        .collect();
    let end = Instant::now() + FAULT_PERIOD;
    let faults: Vec<_> = (0..FAULT_SERIES)
        .map(|series| {
            let rng = StdRng::seed_from_u64(seed * FAULT_SERIES + series);
            let nodes = nodes.clone();
            thread::spawn(move || disturb(rng, &nodes, end))
        })
        .collect();
    change_configuration(seed, &platform, &history, end);
    for series in faults {
        series.join().expect("a series of faults");
    }
    platform.set_watches_deaf(false);
    thread::sleep(RECOVERY_TIME);
    is_over.store(true, Ordering::SeqCst);
    let mut violations = Vec::new();
    let mut jobs = Vec::new();
    for client in clients {
        let client = client.join().expect("a client");
        violations.extend(client.violations);
        jobs.extend(client.accepted);
    }
    violations.extend(check_end(&nodes, &history, &jobs));
    violations.extend(platform.restarted_after_end());
    let (requests, served) = history.counts();
    println!(
        "seed {seed}: {} nodes, {} versions, {requests} requests, {served} answered with 200, {} jobs, {} faults",
        nodes.len(),
        history.len(),
        jobs.len(),
        nodes.iter().map(|node| node.faults()).sum::<u64>(),
    );
    violations
}

fn wait_until_serving(nodes: &[Arc<Node>], history: &History) {
    let end = Instant::now() + Duration::from_secs(30);
    for node in nodes {
        while request::count(node, history.first_prefix()) != Some(200) {
            assert!(Instant::now() < end, "{} does not serve", node.name);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Writes configurations in quick succession; at times the watches miss them.
fn change_configuration(seed: u64, platform: &FakePlatform, history: &History, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        platform.set_watches_deaf(rng.random_bool(0.3));
        thread::sleep(Duration::from_millis(rng.random_range(20..1_500)));
        let prefixes = PREFIXES.iter().filter(|_| rng.random_bool(0.6));
        let write = history.next(prefixes.copied().collect());
        platform.write("op/config", &write);
        history.acknowledge();
    }
}

/// Applies faults to random nodes until `end`.
fn disturb(mut rng: StdRng, nodes: &[Arc<Node>], end: Instant) {
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(rng.random_range(50..1_200)));
        let node = &nodes[rng.random_range(0..nodes.len())];
        let length = Duration::from_millis(rng.random_range(50..2_500));
        match rng.random_range(0..8) {
            0 | 1 => node.silence_connections(),
            2 => node.cut_from_store(length),
            3 => node.limit_rate(length),
            4 => node.pause(length),
            5 => node.kill(length / 4),
            6 => node.terminate(),
            _ => node.hang_up(),
        }
    }
}

/// Checks that all nodes serve the newest configuration, and that all accepted jobs are completed.
fn check_end(nodes: &[Arc<Node>], history: &History, jobs: &[String]) -> Vec<String> {
    let mut violations = Vec::new();
    for node in nodes {
        violations.extend(node.own_ends());
        for prefix in PREFIXES {
            let wanted = if history.newest_has(prefix) { 200 } else { 404 };
            let status = request::count(node, prefix);
            if status != Some(wanted) {
                violations.push(format!(
                    "{} {prefix}: {status:?} at the end, not {wanted}",
                    node.name
                ));
            }
        }
    }
    let prefix = PREFIXES.iter().find(|prefix| history.newest_has(prefix));
    let Some(prefix) = prefix else {
        return violations;
    };
    let end = Instant::now() + RECOVERY_TIME;
    for job in jobs {
        let mut state = request::state(&nodes[0], prefix, job);
        while state.as_deref() != Some("completed") {
            if Instant::now() >= end {
                violations.push(format!("job {job} is {state:?} at the end"));
                break;
            }
            thread::sleep(Duration::from_millis(50));
            state = request::state(&nodes[0], prefix, job);
        }
    }
    violations
}
