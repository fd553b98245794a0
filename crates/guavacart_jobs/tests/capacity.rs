//! Tests of executors whose capacity changes while they run, and of what is reserved on them.

mod support;

use guavacart_jobs::{Decision, Effect, Event, JobKey, Step};
use guavacart_types::Processors;
use support::{Harness, job, step};

/// A step of one task that needs this many thousandths of processors.
fn step_of(millicores: u64) -> Step {
    let mut step = step(1);
    step.resources.processors = Processors(millicores);
    step
}

/// Starts one task of each size, as jobs 1, 2 and so on.
fn harness_with_runs(sizes: &[u64]) -> Harness {
    let mut harness = Harness::new(&["a"]);
    for (key, size) in (1..).zip(sizes) {
        harness.accept(key, job(vec![step_of(*size)]));
    }
    harness.run_for(100);
    for _ in sizes {
        harness.next_start().expect("each task fits");
    }
    harness
}

/// Guards against a run that reserves nothing because another run of an unknown job was listed
/// first.
#[test]
fn each_run_of_an_unknown_job_keeps_its_room() {
    let mut harness = harness_with_runs(&[2_000, 6_000]).take_over_before_jobs_are_read();
    harness.run_for(100);
    harness.read_job(1);
    harness.accept(3, job(vec![step_of(4_000)]));
    harness.run_for(500);
    assert!(
        harness.next_start().is_none(),
        "a task of 4 cores was started beside runs of 2 and 6 on an executor of 8"
    );
    harness.read_job(2);
    harness.run_for(500);
    assert!(harness.next_start().is_none(), "the executor is full");
}

/// Guards against a run of an unknown job that reserves only what a shrunk executor has left.
#[test]
fn a_run_of_an_unknown_job_keeps_its_room_when_capacity_grows() {
    let mut harness = harness_with_runs(&[6_000]).take_over_before_jobs_are_read();
    harness.set_capacity("a", 4_000, 8);
    harness.run_for(100);
    harness.set_capacity("a", 8_000, 16);
    harness.accept(2, job(vec![step_of(4_000)]));
    harness.run_for(500);
    assert!(
        harness.next_start().is_none(),
        "a task of 4 cores was started beside a run of 6 on an executor of 8"
    );
    harness.read_job(1);
    harness.accept(3, job(vec![step_of(2_000)]));
    harness.run_for(500);
    assert!(harness.next_start().is_some(), "2 cores are free");
}

/// Guards against starts by the capacity and labels of an executor's earlier incarnation.
#[test]
fn a_restarted_executor_gets_no_work_before_its_new_entry_is_read() {
    let mut harness = harness_with_runs(&[2_000]);
    harness.restart("a");
    harness.run_for(2_000);
    assert!(
        harness.next_start().is_none(),
        "a task was started by an entry of the earlier incarnation"
    );
    harness.set_capacity("a", 1_000, 16);
    harness.run_for(500);
    assert!(harness.next_start().is_none(), "2 cores do not fit in 1");
    harness.set_capacity("a", 2_000, 16);
    harness.run_for(500);
    assert!(harness.next_start().is_some(), "the lost task fits again");
}

/// Guards against starts by a capacity that the executor may no longer have, since the store does
/// not show it.
#[test]
fn nothing_starts_while_entries_cannot_be_read_for_too_long() {
    let mut harness = Harness::new(&["a"]);
    harness.set_store_down(true);
    harness.run_for(2_000);
    harness.accept(1, job(vec![step_of(2_000)]));
    harness.run_for(200);
    assert_eq!(started(&mut harness), 1, "the entry is 2 s old");
    harness.run_for(1_000);
    harness.accept(2, job(vec![step_of(2_000)]));
    harness.run_for(3_000);
    assert_eq!(started(&mut harness), 0, "the entry is 6 s old");
    harness.set_store_down(false);
    harness.run_for(1_000);
    assert_eq!(started(&mut harness), 0, "the entry may be from before");
    harness.run_for(500);
    assert_eq!(
        started(&mut harness),
        1,
        "the executor has written it again"
    );
}

fn started(harness: &mut Harness) -> usize {
    std::iter::from_fn(|| harness.next_start()).count()
}

/// Guards against starts on an executor that has shrunk, including starts that need only what it
/// has left of one resource, and against places that stay empty when it grows again.
#[test]
fn a_shrunk_executor_gets_work_again_once_all_that_runs_there_fits() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, job(vec![step_of(2_000), step_of(4_000)]));
    harness.run_for(100);
    let ending = harness.next_start().expect("the first task fits");
    harness.next_start().expect("the second task fits");
    harness.set_capacity("a", 5_000, 16);
    harness.accept(2, job(vec![step_of(1_000)]));
    harness.accept(
        3,
        job(vec![Step {
            is_best_effort: true,
            ..step_of(100)
        }]),
    );
    harness.run_for(3_000);
    assert_eq!(started(&mut harness), 0, "6 of 5 cores are in use");
    harness.complete_run(&ending);
    harness.run_for(1_500);
    assert_eq!(started(&mut harness), 2, "4 of 5 cores are in use");
    harness.accept(4, job(vec![step_of(3_000)]));
    harness.run_for(100);
    assert_eq!(started(&mut harness), 0, "5 of 5 cores are in use");
    harness.set_capacity("a", 8_000, 16);
    harness.run_for(100);
    assert_eq!(started(&mut harness), 1, "3 cores are free again");
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop { .. });
    assert!(!harness.effects().iter().any(is_stop), "runs go on");
}

/// Guards against room that is offered while the run that has it is only being stopped.
#[test]
fn a_run_that_is_being_stopped_keeps_its_room() {
    let mut harness = harness_with_runs(&[6_000]);
    harness.stop_answering(&"a".into());
    harness.apply(Event::JobCancelled(JobKey(1)));
    harness.run_for(1_000);
    harness.set_capacity("a", 4_000, 16);
    harness.set_capacity("a", 8_000, 16);
    harness.accept(2, job(vec![step_of(4_000)]));
    harness.run_for(1_000);
    let is_start = |effect: &&Effect| matches!(effect, Effect::Start(..));
    let starts = harness.effects().iter().filter(is_start).count();
    assert_eq!(starts, 1, "the stop was not answered");
}

/// Guards against a gang that is counted against the capacity before the executor shrank.
#[test]
fn a_gang_waits_until_all_members_fit_on_shrunk_executors() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.set_capacity("a", 2_000, 16);
    let gang = Step {
        is_gang: true,
        ..step(6)
    };
    harness.accept(1, job(vec![gang]));
    harness.run_for(1_000);
    assert_eq!(started(&mut harness), 0, "5 members fit");
    harness.set_capacity("a", 4_000, 16);
    harness.run_for(200);
    assert_eq!(started(&mut harness), 6);
}

/// Guards against a log line with each entry, and against none when capacity changes.
#[test]
fn each_change_of_capacity_is_logged_once() {
    let mut harness = harness_with_runs(&[2_000]);
    for _ in 0..3 {
        harness.set_capacity("a", 4_000, 16);
        harness.run_for(1_000);
    }
    let changes = harness.effects().iter().filter_map(|effect| match effect {
        Effect::Log(Decision::CapacityChanged {
            before,
            after,
            reserved,
            ..
        }) => Some([before, after, reserved].map(|amount| amount.processors.0)),
        _ => None,
    });
    assert_eq!(changes.collect::<Vec<_>>(), [[8_000, 4_000, 2_000]]);
}
