//! Tests of the report on steps that find no room.

mod support;

use guavacart_jobs::{Decision, Effect, RoomShortage};
use guavacart_types::Processors;
use support::{Harness, job, step};

fn shortages(harness: &Harness) -> Vec<RoomShortage> {
    let reports = harness.effects().iter().filter_map(|effect| match effect {
        Effect::Log(Decision::NoRoom(shortage)) => Some(shortage.clone()),
        _ => None,
    });
    reports.collect()
}

/// Guards against a wait for room that leaves no trace in the log, or one line a pass.
#[test]
fn a_step_without_room_is_reported_once_a_second() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.accept(1, job(vec![step(7)]));
    let mut large = step(1);
    large.resources.processors.0 = 6_000;
    harness.accept(2, job(vec![large]));
    harness.run_for(400);
    assert_eq!(shortages(&harness), []);
    harness.run_for(3_000);
    let reports = shortages(&harness);
    assert!((2..=4).contains(&reports.len()), "{reports:?}");
    assert_eq!(reports[0].free, Processors(2_000));
    assert_eq!(reports[0].largest, Processors(2_000));
    assert_eq!(reports[0].executors_without_short_tasks, 2);
}
