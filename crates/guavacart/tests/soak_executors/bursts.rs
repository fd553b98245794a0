//! Bursts of jobs with long tasks, submitted to several nodes at once.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    fleet::Fleet,
    node::Node,
    submitter::{Accepted, Job, LONG_TASKS, Target},
};

/// Jobs of one burst.
const JOBS: std::ops::RangeInclusive<usize> = 2..=4;

struct Submitted {
    jobs: usize,
    threads: Vec<JoinHandle<Option<Accepted>>>,
}

/// All bursts of a run.
pub(crate) struct Bursts {
    nodes: Vec<Arc<Node>>,
    fleet: Arc<Fleet>,
    is_over: Arc<AtomicBool>,
    submitted: Mutex<Submitted>,
}

impl Bursts {
    pub(crate) fn new(nodes: &[Arc<Node>], fleet: &Arc<Fleet>, is_over: &Arc<AtomicBool>) -> Self {
        Self {
            nodes: nodes.to_vec(),
            fleet: Arc::clone(fleet),
            is_over: Arc::clone(is_over),
            submitted: Mutex::new(Submitted {
                jobs: 0,
                threads: Vec::new(),
            }),
        }
    }

    /// Submits jobs in parallel, without waiting for the answers.
    pub(crate) fn submit(&self, rng: &mut StdRng) {
        let mut submitted = self.submitted.lock().expect("no panic");
        for _ in 0..rng.random_range(JOBS) {
            submitted.jobs += 1;
            let id = format!("{:08x}{:08x}", u32::MAX, submitted.jobs);
            let mut rng = StdRng::seed_from_u64(rng.random());
            let job = Job::new(&mut rng, id, &LONG_TASKS, false);
            let mut target = Target::new(rng.random_range(0..self.nodes.len()));
            let (nodes, fleet) = (self.nodes.clone(), Arc::clone(&self.fleet));
            let is_over = Arc::clone(&self.is_over);
            submitted.threads.push(thread::spawn(move || {
                target.submit(&mut rng, job, &nodes, &fleet, &is_over)
            }));
        }
    }

    /// Ends the submission; returns the jobs that were accepted.
    pub(crate) fn end(&self) -> Vec<Accepted> {
        self.is_over.store(true, Ordering::SeqCst);
        let mut submitted = self.submitted.lock().expect("no panic");
        let threads = submitted.threads.drain(..);
        threads
            .filter_map(|thread| thread.join().expect("a client"))
            .collect()
    }
}
