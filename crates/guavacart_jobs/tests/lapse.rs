//! What an executor that answers no more holds is taken as over once its lease has run out.

mod support;

use guavacart_jobs::{Decision, Effect, Loss};
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
