//! Tests of innocent tasks on executors that crash again and again by themselves.

mod support;

use guavacart_jobs::{ExecutorId, JobOutcome, Step};
use support::{Harness, job, step};

const CRASHES: usize = 4;
/// Time from each crash to the next.
const CYCLE_MS: u64 = 2_000;
/// Longest time from the last restart to the start of a task that waits for the executor.
const MAX_WAIT_MS: u64 = 3_500;

/// Guards against a job that fails because the only executor that suits it crashes again and again.
#[test]
#[ignore = "known red: issue 34"]
fn a_job_does_not_fail_by_the_crash_loop_of_its_only_executor() {
    for down_ms in (100..1_900).step_by(100) {
        run_in_crash_loop(down_ms);
    }
}

fn run_in_crash_loop(down_ms: u64) {
    let mut harness = Harness::new(&["p", "q", "r", "s", "t", "u"]);
    let pinned = Step {
        required_label: Some("p".into()),
        ..step(1)
    };
    harness.accept(1, job(vec![pinned]));
    harness.run_for(500);
    let executor = [ExecutorId::from("p")];
    for _ in 0..CRASHES {
        harness.crash_for(&executor, down_ms);
        harness.run_for(CYCLE_MS - down_ms);
    }
    assert_eq!(harness.outcome(1), None, "down for {down_ms} ms");
    harness.run_for(MAX_WAIT_MS + down_ms - CYCLE_MS);
    let started = std::iter::from_fn(|| harness.next_start()).last();
    let started = started.expect("a start after the last crash");
    harness.run_for(1_000);
    harness.complete_run(&started);
    harness.report_ends();
    harness.run_for(500);
    assert_eq!(
        harness.outcome(1),
        Some(JobOutcome::Completed),
        "down for {down_ms} ms"
    );
}
