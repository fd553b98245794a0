//! Faults of nodes, the store, executors and the service of machines.

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::index};

use crate::{
    bursts::Bursts,
    configurations::Versions,
    fleet::{Fleet, MachineService},
    node::Node,
};

/// Key of the owner's record in the store.
const OWNER: &str = "gc/owner";
/// Time before the first wave and between two waves, in milliseconds.
const WAVE_DELAY_MS: std::ops::Range<u64> = 500..3_000;

/// The system under test and what faults are applied with.
#[derive(Clone)]
pub(crate) struct Faults {
    pub(crate) nodes: Vec<Arc<Node>>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) bursts: Arc<Bursts>,
    pub(crate) versions: Arc<Versions>,
    pub(crate) executors: usize,
    pub(crate) end: Instant,
}

impl Faults {
    /// Runs `apply` with pauses until the end on a thread of its own.
    pub(crate) fn spawn(
        &self,
        seed: u64,
        pause_ms: std::ops::Range<u64>,
        apply: fn(&Self, &mut StdRng),
    ) -> thread::JoinHandle<()> {
        let faults = self.clone();
        let mut rng = StdRng::seed_from_u64(seed);
        thread::spawn(move || {
            loop {
                let pause = Duration::from_millis(rng.random_range(pause_ms.clone()));
                thread::sleep(pause);
                if Instant::now() >= faults.end {
                    return;
                }
                apply(&faults, &mut rng);
            }
        })
    }

    pub(crate) fn random_node(&self, rng: &mut StdRng) -> &Arc<Node> {
        &self.nodes[rng.random_range(0..self.nodes.len())]
    }

    /// The node that the owner's record names, or any.
    fn owner(&self, rng: &mut StdRng) -> &Arc<Node> {
        let record = self.fleet.value(OWNER).unwrap_or_default();
        let record = String::from_utf8_lossy(&record).into_owned();
        let owner = self.nodes.iter().find(|node| record.contains(&node.name));
        owner.unwrap_or_else(|| self.random_node(rng))
    }

    /// Applies a fault to the owner.
    pub(crate) fn disturb_owner(&self, rng: &mut StdRng) {
        let node = Arc::clone(self.owner(rng));
        self.disturb(&node, rng);
    }

    /// Applies a fault to a random node.
    pub(crate) fn disturb_node(&self, rng: &mut StdRng) {
        let node = Arc::clone(self.random_node(rng));
        self.disturb(&node, rng);
    }

    /// Applies a fault to a node, its path to the store, or the store.
    fn disturb(&self, node: &Node, rng: &mut StdRng) {
        let length = Duration::from_millis(rng.random_range(50..3_500));
        let ms = length.as_millis();
        let note = |text: &str| self.fleet.note(&format!("fault: {} {text}", node.name));
        match rng.random_range(0..9) {
            0 | 1 => {
                note(&format!("is killed, down for {} ms", ms / 4));
                node.kill(length / 4);
            }
            2 => {
                note("is stopped gracefully");
                node.terminate();
            }
            3 => {
                note(&format!("pauses for {ms} ms"));
                node.pause(length);
            }
            4 => {
                note(&format!("is cut from the store for {ms} ms"));
                node.cut_from_store(length);
            }
            5 => {
                note("gets no more answers on its connections to the store");
                node.silence_connections();
            }
            6 => {
                self.fleet.note("fault: the store drops its history");
                self.fleet.drop_history();
            }
            7 => {
                self.fleet.note("fault: the owner's key is revoked");
                self.fleet.revoke(OWNER);
            }
            _ => {
                self.fleet.note("fault: all nodes are stopped by turns");
                for node in &self.nodes {
                    node.terminate();
                }
            }
        }
    }

    /// Ends the owner some time after it has begun upkeeps.
    pub(crate) fn end_owner_in_wave(&self, rng: &mut StdRng) {
        let wanted = self.fleet.upkeeps() + rng.random_range(2..6);
        while self.fleet.upkeeps() < wanted {
            if Instant::now() >= self.end {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..4_000)));
        let node = self.owner(rng);
        self.fleet
            .note(&format!("fault: {} ends in a wave", node.name));
        if rng.random_bool(0.5) {
            node.kill(Duration::from_millis(rng.random_range(0..1_000)));
        } else {
            node.terminate();
        }
    }

    /// Crashes executors by turns, each for a short time, and revokes the owner's key meanwhile.
    pub(crate) fn flap_executors(&self, rng: &mut StdRng) {
        let turns = rng.random_range(5..25);
        let revoked_at = rng.random_range(0..turns);
        let group = rng.random_range(1..=self.executors / 4);
        self.fleet.note("fault: executors crash by turns");
        for turn in 0..turns {
            if turn == revoked_at {
                self.fleet.note("fault: the owner's key is revoked");
                self.fleet.revoke(OWNER);
            }
            let n = turn % group;
            self.fleet.crash(n, false);
            thread::sleep(Duration::from_millis(rng.random_range(10..150)));
            let has_new_id = rng.random_bool(0.1);
            self.fleet.restart(n, has_new_id, Duration::ZERO);
        }
    }

    /// Crashes some executors at once, and starts them again under the same id or a new one.
    pub(crate) fn crash_executors(&self, rng: &mut StdRng) {
        let count = rng.random_range(1..=self.executors / 6);
        let crashed: Vec<usize> = index::sample(rng, self.executors, count).into_vec();
        for n in &crashed {
            self.fleet.crash(*n, false);
        }
        thread::sleep(Duration::from_millis(rng.random_range(50..4_500)));
        for n in crashed {
            let has_new_id = rng.random_bool(0.3);
            self.fleet.restart(n, has_new_id, Duration::ZERO);
        }
    }

    /// Lets starts be carried out late.
    pub(crate) fn delay_orders(&self, rng: &mut StdRng) {
        self.fleet.note("fault: starts are carried out late");
        self.fleet.set_late_orders(rng.random_range(0.05..0.4));
        thread::sleep(Duration::from_millis(rng.random_range(500..2_500)));
        self.fleet.set_late_orders(0.0);
    }

    /// Slows the service of machines down or silences it.
    pub(crate) fn disturb_machine_service(&self, rng: &mut StdRng) {
        let service = if rng.random_bool(0.5) {
            MachineService::Slow
        } else {
            MachineService::Silent
        };
        self.fleet
            .note(&format!("fault: service of machines {service:?}"));
        self.fleet.set_machine_service(service);
        thread::sleep(Duration::from_millis(rng.random_range(500..3_000)));
        self.fleet.set_machine_service(MachineService::Prompt);
    }

    /// Requests waves of maintenance of a part of the machines each.
    pub(crate) fn begin_waves(&self, seed: u64, waves: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        for number in 1..=waves {
            thread::sleep(Duration::from_millis(rng.random_range(WAVE_DELAY_MS)));
            let count = rng.random_range(self.executors / 3..=self.executors / 2);
            let machines: BTreeSet<usize> = index::sample(&mut rng, self.executors, count)
                .into_iter()
                .collect();
            let cap = rng.random_range(self.executors / 6..=self.executors / 4);
            self.fleet.begin_wave(number, &machines, cap);
        }
    }
}
