//! Tests of how service tasks get room on full executors.

mod support;

use std::collections::BTreeSet;

use guavacart_jobs::{Event, JobKey, Step};
use support::{Harness, StartedRun, job, step};

const SERVICE: JobKey = JobKey(1_000);
/// Time between two ends of short tasks on an executor.
const END_INTERVAL_MS: u64 = 400;

/// A service whose tasks need as much as `size` short tasks.
fn service(task_count: u16, size: u64) -> Step {
    let mut step = Step {
        is_long_running: true,
        ..step(task_count)
    };
    step.resources.processors.0 *= size;
    step
}

/// Executors full of short tasks, with more of these waiting than can end in a test.
struct Full {
    harness: Harness,
    running: Vec<StartedRun>,
    services: Vec<StartedRun>,
}

impl Full {
    fn new(executors: &[&str]) -> Self {
        let mut harness = Harness::new(executors);
        for key in 1..=20 {
            harness.accept(JobKey(key).0, job(vec![step(20)]));
        }
        let mut full = Self {
            harness,
            running: Vec::new(),
            services: Vec::new(),
        };
        full.run_for(100);
        full
    }

    fn run_for(&mut self, ms: u64) {
        self.harness.run_for(ms);
        while let Some(started) = self.harness.next_start() {
            if started.task.step.job == SERVICE {
                self.services.push(started);
            } else {
                self.running.push(started);
            }
        }
    }

    /// Ends one short task on each executor, and reports the ends.
    fn end_one_on_each(&mut self) {
        let mut executors = BTreeSet::new();
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| executors.insert(run.executor.clone()));
        self.running = running;
        let ended: Vec<StartedRun> = ended;
        ended.iter().for_each(|run| self.harness.complete_run(run));
        self.harness.report_ends();
        self.run_for(END_INTERVAL_MS);
    }
}

/// Guards against a service task that waits as long as smaller tasks take each free part of its
/// room.
#[test]
fn a_service_task_starts_although_smaller_tasks_wait() {
    let mut full = Full::new(&["a", "b"]);
    full.harness.accept(SERVICE.0, job(vec![service(1, 3)]));
    (0..4).for_each(|_| full.end_one_on_each());
    assert_eq!(
        full.services.len(),
        1,
        "the room of 4 tasks on each executor"
    );
}

/// Guards against a service task that returns to the executor on which it fails, because the others
/// never have room for it.
#[test]
fn a_service_task_leaves_an_executor_on_which_it_fails() {
    let mut full = Full::new(&["a", "b", "c"]);
    full.harness.accept(SERVICE.0, job(vec![service(1, 3)]));
    (0..4).for_each(|_| full.end_one_on_each());
    let first = full.services[0].clone();
    full.harness.fail_run(&first);
    (0..5).for_each(|_| full.end_one_on_each());
    assert_eq!(full.services.len(), 2, "the task starts again once");
    assert_ne!(full.services[1].executor, first.executor);
}

/// Guards against services that wait in numbers and leave no room to other tasks.
#[test]
fn waiting_services_leave_most_executors_to_other_tasks() {
    let mut full = Full::new(&["a", "b", "c", "d"]);
    full.harness.accept(SERVICE.0, job(vec![service(40, 4)]));
    full.run_for(10);
    full.end_one_on_each();
    assert_eq!(full.running.len(), 15, "room is kept on one of 4 executors");
}

/// Guards against room that is kept for a job that is over.
#[test]
fn a_cancelled_service_keeps_no_room() {
    let mut full = Full::new(&["a"]);
    full.harness.accept(SERVICE.0, job(vec![service(1, 4)]));
    full.run_for(10);
    full.end_one_on_each();
    assert_eq!(full.running.len(), 3, "the room is kept for the service");
    full.harness.apply(Event::JobCancelled(SERVICE));
    full.run_for(200);
    assert_eq!(full.running.len(), 4, "the room is free for other tasks");
}
