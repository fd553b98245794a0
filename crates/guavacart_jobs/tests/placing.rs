//! Tests of which tasks are placed when not all of them fit.

mod support;

use guavacart_jobs::{Decision, Effect, Event, LossReason, OrderFailure, Step};
use support::{Harness, job, one_task_job, step};

/// Guards against a placement pass that ends after trying only steps whose required label no
/// executor has.
#[test]
fn steps_that_never_fit_do_not_delay_other_jobs() {
    let mut harness = Harness::new(&["a", "b"]);
    let impossible = Step {
        required_label: Some("nowhere".into()),
        ..step(1)
    };
    for key in 1..=200 {
        harness.accept(key, job(vec![impossible.clone()]));
    }
    harness.accept(1_000, one_task_job());
    harness.run_for(1_000);
    assert!(
        harness.next_start().is_some(),
        "the job that fits was not started within 1 s"
    );
}

/// Guards against a gang that starts with a part of its members because the others do not fit.
#[test]
fn a_gang_starts_with_all_members_or_none() {
    let gang = |count| Step {
        is_gang: true,
        ..step(count)
    };
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, job(vec![gang(9)]));
    harness.run_for(500);
    assert!(
        harness.next_start().is_none(),
        "9 members were started where 8 fit"
    );
    harness.accept(2, job(vec![gang(8)]));
    harness.run_for(500);
    let members = std::iter::from_fn(|| harness.next_start()).collect::<Vec<_>>();
    assert_eq!(members.len(), 8);
    assert!(members.iter().all(|member| member.run == members[0].run));
}

/// Guards against gang members that continue to run after other members failed to start.
#[test]
fn a_gang_is_stopped_when_a_member_fails_to_start() {
    let mut harness = Harness::new(&["a", "b"]);
    let gang = Step {
        is_gang: true,
        ..step(4)
    };
    harness.fail_starts_on("b", OrderFailure::Unhealthy);
    harness.accept(
        1,
        job(vec![Step {
            max_per_executor: Some(2),
            ..gang
        }]),
    );
    harness.run_for(400);
    let is_not_started = |effect: &Effect| {
        matches!(
            effect,
            Effect::Log(Decision::Lost {
                why: LossReason::NotStarted,
                ..
            })
        )
    };
    assert!(harness.effects().iter().any(is_not_started));
    let is_stopped_on_a =
        |effect: &&Effect| matches!(effect, Effect::Stop { target, .. } if target.id.0 == "a");
    let stopped = harness.effects().iter().filter(is_stopped_on_a).count();
    assert_eq!(stopped, 2, "the members on executor a were not stopped");
}

#[test]
fn max_per_executor_limits_the_tasks_of_a_step() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(
        1,
        job(vec![Step {
            max_per_executor: Some(1),
            ..step(4)
        }]),
    );
    harness.run_for(500);
    let started = std::iter::from_fn(|| harness.next_start()).collect::<Vec<_>>();
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].executor, started[1].executor);
}

#[test]
fn cancelling_a_job_stops_its_runs_and_starts_no_others() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, job(vec![step(6)]));
    harness.run_for(100);
    let started = std::iter::from_fn(|| harness.next_start()).count();
    assert_eq!(started, 4, "4 of 6 tasks fit");
    harness.apply(Event::JobCancelled(guavacart_jobs::JobKey(1)));
    harness.run_for(2_000);
    let stops = harness
        .effects()
        .iter()
        .filter(|effect| matches!(effect, Effect::Stop { .. }));
    assert_eq!(stops.count(), 4);
    assert!(harness.next_start().is_none());
}

/// Guards against a service task that waits forever because it avoids the only executor, on which
/// its runs failed.
#[test]
fn a_service_task_restarts_on_an_executor_with_failed_runs_if_no_other_has_room() {
    let mut harness = Harness::new(&["a"]);
    let service = Step {
        is_long_running: true,
        ..step(1)
    };
    harness.accept(1, job(vec![service]));
    harness.run_for(100);
    for _ in 0..4 {
        let last = harness
            .next_start()
            .expect("the task is started within 3 s");
        harness.fail_run(&last);
        harness.run_for(3_000);
    }
    assert!(
        harness.next_start().is_some(),
        "the task was not started again within 3 s"
    );
}
