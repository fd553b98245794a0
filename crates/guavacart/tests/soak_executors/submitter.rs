//! Jobs, and clients that submit them to one node over a connection that they keep until the process is
//! gone.

use std::{
    io::BufReader,
    net::TcpStream,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};

use crate::{
    fleet::{Fleet, TaskSize},
    node::Node,
    request::request,
};

/// Prefix of the queue that clients use.
pub(crate) const PREFIX: &str = "/jobs/";
/// Tasks of a long-running job.
pub(crate) const LONG_RUNNING_TASKS: usize = 4;

/// Sizes of the jobs that are submitted.
pub(crate) struct Sizes {
    /// How long tasks work, in milliseconds.
    work_ms: &'static [u64],
    /// Quarters of a processor that a task needs.
    quarters: Range<u64>,
    /// Tasks of a step.
    tasks: Range<usize>,
    max_steps: usize,
}

/// Tasks that mostly end before a lease does.
const SHORT_TASKS: Sizes = Sizes {
    work_ms: &[100, 1_000, 3_000, 4_000],
    quarters: 2..12,
    tasks: 1..10,
    max_steps: 2,
};
/// Tasks that go on for longer than any lease that is not extended.
pub(crate) const LONG_TASKS: Sizes = Sizes {
    work_ms: &[8_000, 10_000, 12_000, 15_000],
    quarters: 4..8,
    tasks: 4..12,
    max_steps: 1,
};

/// What each client submits.
pub(crate) struct Workload {
    sizes: Sizes,
    /// Pauses between two jobs, in milliseconds.
    pause_ms: Range<u64>,
    /// Jobs, among the first ones, that are long-running.
    long_running_jobs: usize,
}

/// Many jobs, which keep most executors busy.
pub(crate) const BUSY: Workload = Workload {
    sizes: SHORT_TASKS,
    pause_ms: 100..600,
    long_running_jobs: 1,
};
/// Few jobs, which leave most executors idle.
pub(crate) const SPARSE: Workload = Workload {
    sizes: Sizes {
        work_ms: &[1_000, 8_000, 12_000],
        quarters: 2..12,
        tasks: 1..3,
        max_steps: 2,
    },
    pause_ms: 1_500..5_000,
    long_running_jobs: 0,
};

/// A job that was accepted.
pub(crate) struct Accepted {
    pub(crate) id: String,
    pub(crate) is_long_running: bool,
}

/// A job that is to be submitted.
pub(crate) struct Job {
    id: String,
    is_long_running: bool,
    sizes: Vec<TaskSize>,
    body: String,
}

impl Job {
    pub(crate) fn new(rng: &mut StdRng, id: String, sizes: &Sizes, is_long_running: bool) -> Self {
        let steps = if is_long_running {
            vec![long_running_step()]
        } else {
            steps(rng, sizes)
        };
        let (steps, sizes): (Vec<Value>, Vec<TaskSize>) = steps.into_iter().unzip();
        let body = json!({"spec": "x", "steps": steps}).to_string();
        Self {
            id,
            is_long_running,
            sizes,
            body,
        }
    }
}

fn long_running_step() -> (Value, TaskSize) {
    let size = TaskSize {
        cpu: 2_000,
        mem_mb: 1_000,
        length: None,
    };
    let step = json!({"count": LONG_RUNNING_TASKS, "cpu": size.cpu, "mem-mb": size.mem_mb,
        "long-running": true});
    (step, size)
}

fn steps(rng: &mut StdRng, sizes: &Sizes) -> Vec<(Value, TaskSize)> {
    let count = rng.random_range(1..=sizes.max_steps);
    let steps = (0..count).map(|number| {
        let ms = *sizes.work_ms.choose(rng).expect("a length");
        let size = TaskSize {
            cpu: rng.random_range(sizes.quarters.clone()) * 250,
            mem_mb: rng.random_range(1..10) * 400,
            length: Some(Duration::from_millis(ms)),
        };
        let tasks = rng.random_range(sizes.tasks.clone());
        let mut step = json!({"count": tasks, "cpu": size.cpu, "mem-mb": size.mem_mb,
            "estimate-ms": ms});
        if let Some(earlier) = number.checked_sub(1) {
            step["after"] = json!([earlier]);
        }
        (step, size)
    });
    steps.collect()
}

/// The node that a client uses, and the connection to it.
pub(crate) struct Target {
    node: usize,
    connection: Option<BufReader<TcpStream>>,
}

impl Target {
    pub(crate) fn new(node: usize) -> Self {
        Self {
            node,
            connection: None,
        }
    }

    /// Submits a job until it is accepted or `is_over`.
    pub(crate) fn submit(
        &mut self,
        rng: &mut StdRng,
        job: Job,
        nodes: &[Arc<Node>],
        fleet: &Fleet,
        is_over: &AtomicBool,
    ) -> Option<Accepted> {
        fleet.add_job(&job.id, &job.sizes);
        let path = format!("{PREFIX}{}", job.id);
        // A request without an answer arrives again with the same id, at any node.
        while !is_over.load(Ordering::SeqCst) {
            let node = &nodes[self.node];
            let answer = request(&mut self.connection, node, "POST", &path, &job.body);
            if let Some((200, _)) = answer {
                return Some(Accepted {
                    id: job.id,
                    is_long_running: job.is_long_running,
                });
            }
            if answer.is_none() {
                self.use_node(rng.random_range(0..nodes.len()));
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Uses that node for the next request, over a new connection.
    fn use_node(&mut self, node: usize) {
        self.node = node;
        self.connection = None;
    }
}

/// A client of one node.
pub(crate) struct Submitter {
    rng: StdRng,
    number: usize,
    nodes: Vec<Arc<Node>>,
    fleet: Arc<Fleet>,
    workload: &'static Workload,
}

impl Submitter {
    pub(crate) fn new(
        seed: u64,
        number: usize,
        nodes: &[Arc<Node>],
        fleet: &Arc<Fleet>,
        workload: &'static Workload,
    ) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed * 1_000 + number as u64),
            number,
            nodes: nodes.to_vec(),
            fleet: Arc::clone(fleet),
            workload,
        }
    }

    /// Submits jobs until `is_over`; returns those that were accepted.
    pub(crate) fn run(mut self, is_over: &AtomicBool) -> Vec<Accepted> {
        let mut accepted = Vec::new();
        let mut target = Target::new(self.number);
        let mut jobs = 0;
        while !is_over.load(Ordering::SeqCst) {
            jobs += 1;
            let id = format!("{:08x}{jobs:08x}", self.number + 1);
            let is_long_running = jobs <= self.workload.long_running_jobs;
            let rng = &mut self.rng;
            let job = Job::new(rng, id, &self.workload.sizes, is_long_running);
            accepted.extend(target.submit(rng, job, &self.nodes, &self.fleet, is_over));
            if target.node != self.number {
                target.use_node(self.number);
            }
            let pause = self.rng.random_range(self.workload.pause_ms.clone());
            thread::sleep(Duration::from_millis(pause));
        }
        accepted
    }
}
