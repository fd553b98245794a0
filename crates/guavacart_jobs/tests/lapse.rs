//! What an executor that answers no more holds is taken as over once its lease has run out.

mod support;

use guavacart_jobs::{Decision, Effect, Job, Loss, Schedule};
use guavacart_types::Span;
use support::{Rig, one_task_job};

#[test]
fn a_silent_executor_loses_its_tasks_although_it_is_asked_again_and_again() {
    let mut rig = Rig::new(&["a", "b"]);
    rig.accept(1, one_task_job());
    rig.run_for(100);
    let first = rig.started().expect("the task is started");
    rig.go_silent(&first.executor);
    rig.run_for(12_000);
    let is_lapsed = |effect: &Effect| {
        matches!(
            effect,
            Effect::Log(Decision::Lost {
                why: Loss::Lapsed,
                ..
            })
        )
    };
    assert!(rig.seen().iter().any(is_lapsed), "the lease never ran out");
    let second = rig.started().expect("the task is started again");
    assert_ne!(first.executor, second.executor);
    assert!(second.run > first.run);
}

#[test]
fn an_earlier_owners_runs_go_on_when_executors_first_answer() {
    let mut rig = Rig::new(&["a", "b"]);
    rig.accept(1, one_task_job());
    rig.run_for(100);
    let first = rig.started().expect("the task is started");
    let mut next = rig.take_over();
    next.run_for(5_000);
    let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
    assert!(
        !next.seen().iter().any(is_lost),
        "a run that goes on was taken as over"
    );
    assert!(next.started().is_none(), "{first:?} was started again");
}

#[test]
fn a_run_of_an_occurrence_goes_on_under_an_owner_whose_clock_is_behind() {
    let mut rig = Rig::new(&["a", "b"]);
    rig.accept(
        1,
        Job {
            schedule: Some(Schedule {
                first_unix_ms: 5_000,
                interval: Span::secs(60),
                count: 1,
            }),
            ..one_task_job()
        },
    );
    rig.run_for(5_500);
    rig.started()
        .expect("the occurrence is started when it is due");
    let mut next = rig.take_over_with_clock(4_000);
    next.run_for(8_000);
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop { .. });
    assert!(
        !next.seen().iter().any(is_stop),
        "a run that goes on was stopped"
    );
    assert!(next.started().is_none(), "the task was started again");
}
