//! Tests of when an owner considers a run over: only once its executor's lease has expired.

mod support;

use std::net::SocketAddr;

use guavacart_jobs::{
    Decision, Effect, Event, HoldReport, Job, LossReason, OrderFailure, Schedule, Step,
};
use guavacart_types::{Incarnation, Processors, Span, Timestamp};
use support::{Harness, job, one_task_job, step};

/// Guards against a lease that never expires for the owner because each unanswered hold extends it.
#[test]
fn tasks_of_an_unresponsive_executor_restart_when_its_lease_expires() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    let first = harness.next_start().expect("the task is started");
    harness.stop_answering(&first.executor);
    harness.run_for(12_000);
    let is_lease_expiry = |effect: &Effect| {
        matches!(
            effect,
            Effect::Log(Decision::Lost {
                why: LossReason::Lapsed,
                ..
            })
        )
    };
    assert!(
        harness.effects().iter().any(is_lease_expiry),
        "the lease never expired"
    );
    let second = harness.next_start().expect("the task is started again");
    assert_ne!(first.executor, second.executor);
    assert!(second.run > first.run);
}

/// Guards against a new owner that considers runs of the earlier owner lost when executors first
/// report to it, and starts their tasks again.
#[test]
fn runs_of_an_earlier_owner_continue_after_a_takeover() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    let first = harness.next_start().expect("the task is started");
    let mut next = harness.take_over();
    next.run_for(5_000);
    let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
    assert!(
        !next.effects().iter().any(is_lost),
        "a run that is still running was considered over"
    );
    assert!(next.next_start().is_none(), "{first:?} was started again");
}

/// Guards against a new owner that stops the run of an occurrence because the occurrence is not due
/// yet by its own clock.
#[test]
fn a_scheduled_run_continues_under_an_owner_whose_clock_is_behind() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(
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
    harness.run_for(5_500);
    harness
        .next_start()
        .expect("the occurrence is started when it is due");
    let mut next = harness.take_over_with_clock_lag(4_000);
    next.run_for(8_000);
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop { .. });
    assert!(
        !next.effects().iter().any(is_stop),
        "a run that is still running was stopped"
    );
    assert!(next.next_start().is_none(), "the task was started again");
}

/// Guards against a superseded owner that extends an executor's lease past the time at which its
/// successor, which cannot reach the executor, considers the lease expired.
#[test]
fn an_owner_without_confirmation_extends_no_lease_past_what_its_successor_waits_for() {
    let mut earlier = Harness::new(&["a", "b"]);
    earlier.accept(1, one_task_job());
    earlier.run_for(100);
    let run = earlier.next_start().expect("the task is started");
    let mut next = earlier.take_over();
    next.stop_answering(&run.executor);
    earlier.set_store_unreachable(true);
    earlier.run_for(30_000);
    next.run_for(30_000);
    let deadline = |effect: &Effect| match effect {
        Effect::Hold(_, order) => order.deadline_ms,
        Effect::Start(_, order) => Some(order.deadline_ms),
        _ => None,
    };
    let latest = earlier.effects().iter().filter_map(deadline).max();
    let latest = latest.expect("leases were extended");
    let again = next.next_start().expect("the task is started again");
    assert!(
        latest < again.started_at,
        "the run's lease lasts until {latest} ms, its task was started again at {} ms",
        again.started_at
    );
}

/// Guards against an owner that is superseded without noticing, loses contact to an executor, and
/// starts the executor's tasks again although its successor has their ends.
#[test]
fn a_lapsed_run_is_not_started_again_before_the_ownership_is_confirmed() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    let first = harness.next_start().expect("the task is started");
    harness.run_for(2_500);
    harness.stop_answering(&first.executor);
    harness.run_for(500);
    harness.set_store_unreachable(true);
    harness.run_for(5_000);
    let is_lapse = |effect: &Effect| {
        let is_lapsed = |why: &LossReason| *why == LossReason::Lapsed;
        matches!(effect, Effect::Log(Decision::Lost { why, .. }) if is_lapsed(why))
    };
    assert!(
        harness.effects().iter().any(is_lapse),
        "the lease never expired"
    );
    assert!(
        harness.next_start().is_none(),
        "started without confirmation"
    );
    harness.set_store_unreachable(false);
    harness.run_for(400);
    harness.next_start().expect("the task is started again");
}

/// Guards against a start that an executor's next incarnation carries out seconds later, since its
/// clock makes the deadline valid.
#[test]
fn a_start_without_an_answer_is_stopped_after_its_lease() {
    let mut harness = Harness::new(&["a"]);
    harness.stop_answering(&"a".into());
    harness.accept(1, one_task_job());
    harness.run_for(8_000);
    let first = harness.effects().iter().find_map(|effect| match effect {
        Effect::Start(_, order) => Some(order.run),
        _ => None,
    });
    let first = first.expect("a start is ordered");
    harness.restart("a");
    harness.answer_again(&"a".into());
    harness.run_for(1_500);
    let is_stop = |effect: &&Effect| matches!(effect, Effect::Stop { run, .. } if *run == first);
    let stops = harness.effects().iter().filter(is_stop).count();
    assert_eq!(stops, 1, "stops of the run whose start may still arrive");
}

/// Guards against the stop of a run because of a late list that is older than the run's start.
#[test]
fn a_late_list_does_not_stop_a_run_that_was_started_after_it() {
    let mut harness = Harness::new(&["a"]);
    harness.fail_starts_on("a", OrderFailure::NoAnswer);
    let sent = harness.now();
    harness.run_for(1);
    harness.accept(1, one_task_job());
    harness.run_for(2);
    let is_unanswered = |effect: &Effect| {
        matches!(
            effect,
            Effect::Log(Decision::OrderFailed { task: Some(_), .. })
        )
    };
    assert!(
        harness.effects().iter().any(is_unanswered),
        "the start was answered"
    );
    harness.apply(Event::LateReport {
        executor: "a".into(),
        sent: Timestamp(sent),
        report: HoldReport {
            incarnation: Incarnation(7),
            clock_ms: sent,
            running: Vec::new(),
            ended: Vec::new(),
            has_more_ends: false,
        },
    });
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop { .. });
    assert!(
        !harness.effects().iter().any(is_stop),
        "the run was stopped"
    );
}

/// Guards against runs that lapse in an outage of the store that leases bridge, since the next
/// extension comes too late after it.
#[test]
fn runs_survive_an_outage_of_the_store() {
    for phase in (0..1_000).step_by(100) {
        let mut harness = Harness::new(&["a"]);
        harness.accept(1, one_task_job());
        harness.run_for(1_000 + phase);
        harness.set_store_unreachable(true);
        harness.run_for(6_200);
        harness.set_store_unreachable(false);
        harness.run_for(3_000);
        let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
        let lost = harness
            .effects()
            .iter()
            .filter(|effect| is_lost(effect))
            .count();
        assert_eq!(
            lost, 0,
            "runs lapsed in an outage that began at phase {phase}"
        );
    }
}

/// Guards against a run that goes on beside the next one of its task, since the owner that considered
/// it over ignores the lists that name it.
#[test]
fn a_lost_run_that_is_listed_again_is_stopped() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    let first = harness.next_start().expect("the task is started");
    harness.stop_answering(&first.executor);
    harness.run_for(8_000);
    harness.next_start().expect("the task is started again");
    harness.answer_again(&first.executor);
    harness.run_for(2_000);
    let is_stop = |effect: &Effect| {
        matches!(effect, Effect::Stop { target, run, .. }
            if target.id == first.executor && *run == first.run)
    };
    assert!(
        harness.effects().iter().any(is_stop),
        "the first run goes on"
    );
}

/// Guards against a new owner that waits for the leases of an executor that has been replaced.
#[test]
fn tasks_of_a_replaced_executor_restart_soon_after_a_takeover() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    let first = harness.next_start().expect("the task is started");
    let mut next = harness.take_over_after_replacement(&first.executor, "c");
    next.run_for(2_000);
    next.next_start().expect("the task is started again");
}

/// Guards against an entry of another writer that takes the runs of the executor at its address.
#[test]
fn runs_continue_beside_an_entry_with_the_address_of_their_executor() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    harness.next_start().expect("the task is started");
    for _ in 0..3 {
        harness.read_entry_of_nobody("x", harness.entry("a"));
        harness.run_for(1_000);
    }
    let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
    assert!(
        !harness.effects().iter().any(is_lost),
        "the run was considered over"
    );
    harness.accept(2, one_task_job());
    harness.run_for(100);
    let second = harness.next_start().expect("the second task is started");
    assert_eq!(second.executor.0, "a");
}

/// Guards against a takeover that waits for an executor that never was at the address of its entry.
#[test]
fn takeover_does_not_wait_for_an_entry_of_nobody() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.read_entry_of_nobody("x", harness.entry("a"));
    harness.accept(1, one_task_job());
    harness.run_for(1_000);
    let first = harness.next_start().expect("the task is started");
    let mut next = harness.take_over();
    next.run_for(500);
    next.accept(2, one_task_job());
    next.run_for(500);
    let second = next.next_start().expect("the second task is started");
    assert_ne!(first.task, second.task);
}

/// Guards against tasks that wait for the lease of an executor that has been replaced.
#[test]
fn tasks_of_a_replaced_executor_restart_once_its_successor_answers() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, one_task_job());
    harness.run_for(100);
    let first = harness.next_start().expect("the task is started");
    harness.replace(&first.executor, "c");
    harness.run_for(500);
    let second = harness.next_start().expect("the task is started again");
    assert_eq!(second.executor.0, "c");
}

/// Guards against entries of other writers that touch what runs, whatever their fields say.
#[test]
fn entries_of_nobody_touch_no_run() {
    let mut harness = Harness::new(&["a", "b"]);
    for job in 1..=4 {
        harness.accept(job, one_task_job());
    }
    harness.run_for(100);
    let (one, other) = (harness.entry("a"), harness.entry("b"));
    let somewhere: SocketAddr = ([127, 0, 0, 1], 9).into();
    let capacities = [0, 1, 8_000, u64::from(u32::MAX)];
    let incarnations = [None, Some(0), Some(7), Some(8), Some(u64::MAX)];
    let mut number = 0;
    for address in [one.address, other.address, somewhere] {
        for pool in ["pool", "other"] {
            for is_draining in [false, true] {
                for millicores in capacities {
                    for incarnation in incarnations {
                        let mut entry = harness.entry("a");
                        entry.address = address;
                        entry.pool = pool.into();
                        entry.is_draining = is_draining;
                        entry.capacity.processors = Processors(millicores);
                        entry.incarnation = incarnation.map(Incarnation);
                        number += 1;
                        harness.read_entry_of_nobody(&format!("x{number}"), entry);
                        harness.run_for(20);
                    }
                }
            }
        }
    }
    let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
    assert!(
        !harness.effects().iter().any(is_lost),
        "a run was considered over"
    );
    let started = harness.effects().iter();
    let started = started.filter(|effect| matches!(effect, Effect::Start(..)));
    assert_eq!(started.count(), 4, "a task was started again");
}

/// Guards against a task that starts again while an executor that answers lists its run, which shows
/// that the lease has lasted longer than assumed. The next hold waits until listed ends are stored.
#[test]
fn a_run_that_is_listed_after_its_assumed_lease_is_not_considered_over() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.stop_answering(&"b".into());
    harness.run_for(9_000);
    harness.accept(1, job(vec![step(2)]));
    harness.run_for(1_500);
    let started: Vec<_> = std::iter::from_fn(|| harness.next_start()).collect();
    assert!(started.iter().all(|run| &*run.executor.0 == "a"));
    harness.stop_answering(&"a".into());
    harness.run_for(6_000);
    harness.complete_run(&started[0]);
    harness.run_for(1_500);
    let since = harness.effects().len();
    harness.answer_again(&"a".into());
    harness.run_for(4_000);
    let effects = &harness.effects()[since..];
    let is_adopted = |effect: &Effect| matches!(effect, Effect::Log(Decision::Adopted { .. }));
    assert!(effects.iter().any(is_adopted), "the run is listed again");
    let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
    assert!(
        !effects.iter().any(is_lost),
        "a listed run is considered over"
    );
}

/// Guards against a service task that waits for two leases one after the other, since its executors are
/// lost right after its starts.
#[test]
fn a_service_task_on_executors_that_are_lost_after_its_starts_runs_again_in_time() {
    /// Time after the last run of a service task within which the next one begins, with room for it.
    const LONGEST_PAUSE_MS: u64 = 9_000;
    /// Least time until a start and the hold after it count as unanswered, which take none here.
    const UNANSWERED_MS: u64 = 2 * 350;
    let ids = ["a", "b", "c", "d", "e"];
    let mut harness = Harness::new(&ids);
    let service = Step {
        is_long_running: true,
        ..step(1)
    };
    harness.accept(1, job(vec![service]));
    let mut last_start = harness.now();
    for _ in 1..ids.len() {
        let started = loop {
            harness.run_for(5);
            if let Some(started) = harness.next_start() {
                break started;
            }
            let pause = harness.now() - last_start + UNANSWERED_MS;
            assert!(pause <= LONGEST_PAUSE_MS, "no start for {pause} ms");
        };
        harness.stop_answering(&started.executor);
        last_start = harness.now();
    }
}
