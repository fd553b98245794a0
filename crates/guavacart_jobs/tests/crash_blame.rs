//! Tests of tasks that crash the executors that start them, and of innocent tasks beside them.

mod support;

use guavacart_jobs::{ExecutorId, JobOutcome, Step};
use support::{Harness, StartedRun, job, one_task_job, step};

const EXECUTORS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Job whose task crashes executors.
const CRASHING: u64 = 1;

fn new_starts(harness: &mut Harness) -> Vec<StartedRun> {
    std::iter::from_fn(|| harness.next_start()).collect()
}

/// Crashes each executor that starts the crashing task, for `ms`; returns the number of these
/// starts.
fn run_with_crashes(harness: &mut Harness, ms: u64) -> usize {
    let mut starts = 0;
    for _ in 0..ms / 20 {
        harness.run_for(20);
        let started = new_starts(harness);
        let crashing = started.iter().filter(|run| run.task.step.job.0 == CRASHING);
        let executors: Vec<ExecutorId> = crashing.map(|run| run.executor.clone()).collect();
        starts += executors.len();
        if !executors.is_empty() {
            harness.crash(&executors);
        }
    }
    starts
}

/// Guards against a task that crashes one executor after another for ever.
#[test]
fn a_task_that_crashes_executors_is_given_up() {
    let mut harness = Harness::new(&EXECUTORS);
    harness.accept(CRASHING, one_task_job());
    assert_eq!(run_with_crashes(&mut harness, 40_000), 3);
    assert_eq!(harness.outcome(CRASHING), Some(JobOutcome::Failed));
}

/// Guards against a long-running task that crashes executors for ever, since it may fail without a
/// limit.
#[test]
fn a_long_running_task_that_crashes_executors_is_given_up() {
    let mut harness = Harness::new(&EXECUTORS);
    let service = Step {
        is_long_running: true,
        ..step(1)
    };
    harness.accept(CRASHING, job(vec![service]));
    assert_eq!(run_with_crashes(&mut harness, 40_000), 3);
    assert_eq!(harness.outcome(CRASHING), Some(JobOutcome::Failed));
}

/// Guards against innocent jobs that fail because their tasks start beside one that crashes
/// executors.
#[test]
fn jobs_beside_a_task_that_crashes_executors_do_not_fail() {
    let mut harness = Harness::new(&EXECUTORS);
    harness.accept(CRASHING, one_task_job());
    for key in 2..=12 {
        harness.accept(key, one_task_job());
    }
    let starts = run_with_crashes(&mut harness, 60_000);
    assert!((3..=4).contains(&starts), "{starts} starts");
    assert_eq!(harness.outcome(CRASHING), Some(JobOutcome::Failed));
    for key in 2..=12 {
        assert_eq!(harness.outcome(key), None, "job {key} ended");
    }
}

/// Guards against a count that ends with its owner.
#[test]
fn crashes_count_across_owners() {
    let mut harness = Harness::new(&EXECUTORS);
    harness.accept(CRASHING, one_task_job());
    let mut starts = 0;
    while starts < 2 {
        starts += run_with_crashes(&mut harness, 20);
    }
    harness.run_for(100);
    let mut next = harness.take_over();
    let running = new_starts(&mut harness);
    let running: Vec<ExecutorId> = running.into_iter().map(|run| run.executor).collect();
    if !running.is_empty() {
        next.crash(&running);
    }
    starts += running.len() + run_with_crashes(&mut next, 40_000);
    assert!(starts <= 4, "{starts} starts");
    assert_eq!(next.outcome(CRASHING), Some(JobOutcome::Failed));
}

/// Guards against jobs that fail because all executors crash together, as in a power loss, each
/// time soon after their tasks started.
#[test]
fn jobs_do_not_fail_when_all_executors_crash_together() {
    let mut harness = Harness::new(&EXECUTORS);
    for key in 1..=8 {
        harness.accept(key, one_task_job());
    }
    let service = Step {
        is_long_running: true,
        max_per_executor: Some(1),
        ..step(6)
    };
    harness.accept(9, job(vec![service]));
    let all: Vec<ExecutorId> = EXECUTORS.iter().map(|id| ExecutorId::from(*id)).collect();
    for _ in 0..3 {
        harness.run_for(300);
        harness.crash(&all);
    }
    harness.run_for(10_000);
    for key in 1..=9 {
        assert_eq!(harness.outcome(key), None, "job {key} ended");
    }
}
