//! Tests of an owner whose event loop is behind.

mod support;

use guavacart_jobs::Job;
use support::{Harness, job, step};

/// Lag of an overloaded owner's event loop.
const LONG_LAG_MS: u64 = 60;
/// Most starts a second that can wait while the loop is behind: half of what an owner on half a core
/// carries out.
const MAX_STARTS_WHEN_BEHIND: usize = 650;

fn harness_of(executors: usize) -> Harness {
    let ids: Vec<String> = (0..executors).map(|x| format!("e{x}")).collect();
    Harness::new(&ids.iter().map(String::as_str).collect::<Vec<_>>())
}

/// A job of a queue that is less urgent than the others.
fn patient_job(tasks: u16) -> Job {
    let mut job = job(vec![step(tasks)]);
    job.queue = "later".into();
    job.rules.priority = 2;
    job
}

fn starts(harness: &mut Harness) -> usize {
    std::iter::from_fn(|| harness.next_start()).count()
}

/// Guards against urgent starts that wait behind hundreds of others at an owner without processor
/// time.
#[test]
fn an_owner_that_is_behind_starts_few_tasks_that_can_wait() {
    let mut harness = harness_of(1_000);
    harness.set_loop_lag(LONG_LAG_MS);
    for key in 1..=90 {
        harness.accept(key, patient_job(39));
    }
    let mut run_with_urgent_jobs = |key| {
        harness.accept(key, job(vec![step(1)]));
        harness.run_for(500);
        starts(&mut harness)
    };
    run_with_urgent_jobs(100);
    let started = run_with_urgent_jobs(101) + run_with_urgent_jobs(102);
    assert!(started > 2, "nothing that can wait is started");
    assert!(started <= MAX_STARTS_WHEN_BEHIND, "{started} starts in 1 s");
}

/// Guards against urgent tasks that wait for those that can.
#[test]
fn an_owner_that_is_behind_starts_urgent_tasks_at_once() {
    let mut harness = harness_of(200);
    harness.set_loop_lag(LONG_LAG_MS);
    for key in 1..=20 {
        harness.accept(key, patient_job(39));
    }
    harness.run_for(300);
    starts(&mut harness);
    harness.accept(100, job(vec![step(9)]));
    harness.run_for(3);
    assert!(starts(&mut harness) >= 9, "an urgent step waits");
}

/// Guards against a wait for batches that outlasts the overload.
#[test]
fn an_owner_that_has_caught_up_starts_all_that_waits() {
    let mut harness = harness_of(200);
    harness.set_loop_lag(LONG_LAG_MS);
    for key in 1..=20 {
        harness.accept(key, patient_job(39));
    }
    harness.run_for(300);
    harness.set_loop_lag(0);
    harness.run_for(1_000);
    assert_eq!(starts(&mut harness), 780);
}

/// Guards against steps that are compared with all executors while nothing of them may start.
#[test]
fn steps_that_wait_for_the_next_batch_are_not_compared_with_executors() {
    let mut harness = harness_of(200);
    harness.set_loop_lag(LONG_LAG_MS);
    for key in 1..=20 {
        harness.accept(key, patient_job(39));
    }
    harness.accept(99, job(vec![step(1)]));
    harness.run_for(300);
    let before = harness.placement_checks();
    for key in 100..110 {
        harness.accept(key, patient_job(39));
        harness.run_for(10);
    }
    let checks = harness.placement_checks() - before;
    // Two batches of 39, which end within the second step.
    let most = 2 * (2 * 200 + 39);
    assert!(checks <= most, "{checks} comparisons in 100 ms");
}

/// Load: many steps without room, so that passes are far between. Guards against small batches that
/// slow an owner that is not behind.
#[test]
fn batches_do_not_slow_an_owner_that_is_not_behind() {
    let mut harness = harness_of(200);
    let sized = |count: u16, millicores: u64| {
        let mut job = patient_job(count);
        job.steps[0].resources.processors.0 = millicores;
        job
    };
    harness.accept(1, sized(800, 1_900));
    // Each is smaller than those before it, so that it is compared although they found no room.
    for key in 2..=60 {
        harness.accept(key, sized(1, 7_000 - key));
    }
    harness.run_for(1_000);
    starts(&mut harness);
    harness.accept(100, sized(180, 300));
    harness.run_for(150);
    assert_eq!(starts(&mut harness), 180);
}

/// Guards against a backlog that outlasts the urgent work, at an owner whose other calls alone keep it
/// behind.
#[test]
fn an_owner_that_is_behind_works_its_backlog_off_once_nothing_is_urgent() {
    let mut harness = harness_of(1_000);
    harness.set_loop_lag(LONG_LAG_MS);
    for key in 1..=90 {
        harness.accept(key, patient_job(39));
    }
    harness.run_for(3_000);
    assert_eq!(starts(&mut harness), 90 * 39);
}
