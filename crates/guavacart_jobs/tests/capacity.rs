//! Tests of executors whose capacity changes while they run, and of what is reserved on them.

mod support;

use guavacart_jobs::Step;
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
