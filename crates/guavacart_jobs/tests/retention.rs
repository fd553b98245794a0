//! Tests of how long cancels are kept.

mod support;

use guavacart_jobs::{Effect, Event, JobKey, JobOutcome};
use support::{Harness, one_task_job};

/// Longer than the retention of the harness and the interval of its checks.
const RETENTION_MS: u64 = 625_000;
/// Shorter than the retention of the harness.
const WITHIN_RETENTION_MS: u64 = 590_000;

fn removed_tombstones(harness: &Harness) -> Vec<JobKey> {
    let removed = harness.effects().iter().filter_map(|effect| match effect {
        Effect::DeleteTombstones(jobs) => Some(jobs.clone()),
        _ => None,
    });
    removed.flatten().collect()
}

/// Guards against cancels of unknown jobs that are kept for good.
#[test]
fn the_cancel_of_a_job_that_never_came_is_removed_after_the_retention() {
    let mut harness = Harness::new(&["x"]);
    harness.apply(Event::JobCancelled(JobKey(9)));
    harness.run_for(WITHIN_RETENTION_MS);
    harness.apply(Event::JobCancelled(JobKey(9)));
    assert_eq!(removed_tombstones(&harness), []);
    harness.run_for(RETENTION_MS - WITHIN_RETENTION_MS);
    assert_eq!(removed_tombstones(&harness), [JobKey(9)]);
    harness.run_for(RETENTION_MS);
    assert_eq!(removed_tombstones(&harness), [JobKey(9)], "removed once");
}

/// Guards against a tombstone that is removed although its job came after all.
#[test]
fn a_job_that_comes_after_its_cancel_is_cancelled_and_keeps_its_cancel() {
    let mut harness = Harness::new(&["x"]);
    harness.apply(Event::JobCancelled(JobKey(9)));
    harness.accept(9, one_task_job());
    harness.run_for(WITHIN_RETENTION_MS);
    assert_eq!(harness.outcome(9), Some(JobOutcome::Cancelled));
    assert!(harness.next_start().is_none());
    harness.run_for(RETENTION_MS);
    assert_eq!(removed_tombstones(&harness), []);
}
