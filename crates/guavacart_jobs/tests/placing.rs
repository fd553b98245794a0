//! Who is placed when not everything can be.

mod support;

use guavacart_jobs::{Decision, Effect, Event, Loss, OrderFailure, Step};
use support::{Rig, job, one_task_job, step};

#[test]
fn steps_that_never_fit_do_not_keep_others_waiting() {
    let mut rig = Rig::new(&["a", "b"]);
    let impossible = Step {
        required_label: Some("nowhere".into()),
        ..step(1)
    };
    for key in 1..=200 {
        rig.accept(key, job(vec![impossible.clone()]));
    }
    rig.accept(1_000, one_task_job());
    rig.run_for(1_000);
    assert!(
        rig.started().is_some(),
        "the job that fits was not started within 1 s"
    );
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let gang = |count| Step {
        is_gang: true,
        ..step(count)
    };
    let mut rig = Rig::new(&["a", "b"]);
    rig.accept(1, job(vec![gang(9)]));
    rig.run_for(500);
    assert!(
        rig.started().is_none(),
        "9 members were started where 8 fit"
    );
    rig.accept(2, job(vec![gang(8)]));
    rig.run_for(500);
    let members = std::iter::from_fn(|| rig.started()).collect::<Vec<_>>();
    assert_eq!(members.len(), 8);
    assert!(members.iter().all(|member| member.run == members[0].run));
}

#[test]
fn a_gang_is_stopped_whole_when_a_member_is_missing() {
    let mut rig = Rig::new(&["a", "b"]);
    let gang = Step {
        is_gang: true,
        ..step(4)
    };
    rig.refuse_starts_on("b", OrderFailure::Unhealthy);
    rig.accept(
        1,
        job(vec![Step {
            max_per_executor: Some(2),
            ..gang
        }]),
    );
    rig.run_for(400);
    let is_missing = |effect: &Effect| {
        matches!(
            effect,
            Effect::Log(Decision::Lost {
                why: Loss::NotStarted,
                ..
            })
        )
    };
    assert!(rig.seen().iter().any(is_missing));
    let is_stopped_on_a =
        |effect: &&Effect| matches!(effect, Effect::Stop { target, .. } if target.id.0 == "a");
    let stopped = rig.seen().iter().filter(is_stopped_on_a).count();
    assert_eq!(stopped, 2, "the members on the other executor go on alone");
}

#[test]
fn tasks_of_one_step_keep_to_their_bound_on_each_executor() {
    let mut rig = Rig::new(&["a", "b"]);
    rig.accept(
        1,
        job(vec![Step {
            max_per_executor: Some(1),
            ..step(4)
        }]),
    );
    rig.run_for(500);
    let started = std::iter::from_fn(|| rig.started()).collect::<Vec<_>>();
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].executor, started[1].executor);
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_no_more() {
    let mut rig = Rig::new(&["a"]);
    rig.accept(1, job(vec![step(6)]));
    rig.run_for(100);
    let started = std::iter::from_fn(|| rig.started()).count();
    assert_eq!(started, 4, "4 of 6 tasks fit");
    rig.tell(Event::Cancelled(guavacart_jobs::JobKey(1)));
    rig.run_for(2_000);
    let stops = rig
        .seen()
        .iter()
        .filter(|effect| matches!(effect, Effect::Stop { .. }));
    assert_eq!(stops.count(), 4);
    assert!(rig.started().is_none());
}

#[test]
fn a_lasting_task_takes_an_executor_on_which_runs_failed_if_no_other_has_room() {
    let mut rig = Rig::new(&["a"]);
    let lasting = Step {
        is_lasting: true,
        ..step(1)
    };
    rig.accept(1, job(vec![lasting]));
    rig.run_for(100);
    for _ in 0..4 {
        let last = rig.started().expect("the task is started within 3 s");
        rig.fail(&last);
        rig.run_for(3_000);
    }
    assert!(
        rig.started().is_some(),
        "the task was not started again within 3 s"
    );
}
