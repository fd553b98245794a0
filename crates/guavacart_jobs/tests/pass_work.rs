//! Tests of the work that placement takes when more tasks wait than fit.

mod support;

use guavacart_jobs::Step;
use support::{Harness, job, step};

/// Most comparisons of executors with steps per second, whatever the numbers of executors, waiting
/// steps and run ends.
const MAX_CHECKS_PER_S: u64 = 220_000;

fn harness_of(executors: usize) -> Harness {
    let ids: Vec<String> = (0..executors).map(|x| format!("e{x}")).collect();
    Harness::new(&ids.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Load: all executors are full, hundreds of steps wait, and hundreds of runs end each second.
/// Guards against passes whose work grows with all three, so that an owner falls further behind
/// the more it is late.
#[test]
fn placement_work_is_bounded_while_executors_are_full() {
    let mut harness = harness_of(200);
    for key in 1..=400 {
        harness.accept(key, job(vec![step(4)]));
    }
    harness.run_for(1_000);
    let before = harness.placement_checks();
    for _ in 0..100 {
        for _ in 0..8 {
            let ended = harness.next_start().expect("the executors are full");
            harness.complete_run(&ended);
        }
        harness.run_for(10);
    }
    harness.run_for(1_000);
    let checks = harness.placement_checks() - before;
    assert!(
        checks <= 2 * MAX_CHECKS_PER_S,
        "{checks} comparisons in 2 s"
    );
    let started = std::iter::from_fn(|| harness.next_start()).count();
    assert_eq!(started, 800, "each place that became free is filled again");
}

/// Load: one wide step with room for all of its tasks. Guards against a comparison of all executors
/// for each task.
#[test]
fn a_wide_step_compares_executors_once() {
    let mut harness = harness_of(300);
    let before = harness.placement_checks();
    harness.accept(1, job(vec![step(200)]));
    assert!(harness.placement_checks() - before <= 300 + 200);
    harness.run_for(50);
    let started = std::iter::from_fn(|| harness.next_start()).count();
    assert_eq!(started, 200);
}

/// Load: steps that fit nowhere wait beside one that fits. Guards against a shortage of one kind
/// that hides room for another.
#[test]
fn a_step_that_finds_no_room_hides_no_smaller_step() {
    let mut harness = harness_of(3);
    let mut large = step(1);
    large.resources.processors.0 = 9_000;
    harness.accept(1, job(vec![large]));
    let label = Step {
        required_label: Some("nowhere".into()),
        ..step(1)
    };
    harness.accept(2, job(vec![label]));
    harness.accept(3, job(vec![step(12)]));
    harness.run_for(100);
    let started = std::iter::from_fn(|| harness.next_start()).count();
    assert_eq!(started, 12);
}

/// Load: full executors, one step that fits on none, and a run that ends every few milliseconds.
/// Guards against a comparison of all executors with the waiting step at each end.
#[test]
fn a_step_without_room_is_not_compared_with_executors_that_stay_full() {
    let mut harness = harness_of(300);
    harness.accept(1, job(vec![step(1_200)]));
    let mut large = step(1);
    large.resources.processors.0 = 9_000;
    harness.accept(2, job(vec![large]));
    harness.run_for(500);
    let before = harness.placement_checks();
    for _ in 0..200 {
        let ended = harness.next_start().expect("the executors are full");
        harness.complete_run(&ended);
        harness.report_ends();
        harness.run_for(5);
    }
    let checks = harness.placement_checks() - before;
    assert!(checks <= 12 * 300, "{checks} comparisons in 1 s");
}

/// Guards against a waiting step that misses the room that a run's end leaves.
#[test]
fn a_step_without_room_starts_where_the_last_run_in_its_way_ends() {
    let mut harness = harness_of(3);
    harness.accept(1, job(vec![step(12)]));
    let mut large = step(1);
    large.resources.processors.0 = 4_000;
    harness.accept(2, job(vec![large]));
    harness.run_for(50);
    let running: Vec<_> = std::iter::from_fn(|| harness.next_start()).collect();
    assert_eq!(running.len(), 12);
    let first = running[0].executor.clone();
    let on_first = running.iter().filter(|run| run.executor == first).take(2);
    on_first.for_each(|run| harness.complete_run(run));
    harness.report_ends();
    harness.run_for(10);
    let started = harness.next_start().expect("two runs have ended");
    assert_eq!(started.executor, first);
}

/// Load: many steps without room, so that passes are far between, and urgent jobs for which there is
/// room. Guards against urgent tasks that wait for the next pass.
#[test]
fn urgent_steps_start_before_the_next_pass() {
    let mut harness = harness_of(200);
    let sized = |count: u16, millicores: u64| {
        let mut step = step(count);
        step.resources.processors.0 = millicores;
        job(vec![step])
    };
    let later = |count, millicores| {
        let mut job = sized(count, millicores);
        job.queue = "later".into();
        job.rules.priority = 2;
        job
    };
    harness.accept(1, later(800, 1_900));
    // Each is smaller than those before it, so that it is compared although they found no room.
    for key in 2..=60 {
        harness.accept(key, later(1, 7_000 - key));
    }
    harness.run_for(1_000);
    while harness.next_start().is_some() {}
    for key in 100..120 {
        let accepted_at = harness.now();
        harness.accept(key, sized(1, 300));
        harness.run_for(13);
        let started = harness.next_start().expect("there is room");
        let delay = started.started_at - accepted_at;
        assert!(delay <= 5, "the start took {delay} ms");
    }
}
