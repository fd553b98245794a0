//! Tests of orders that reach an executor later than the owner assumes, in an incarnation that the
//! owner does not know or that began after the order was decided.

mod support;

use guavacart_jobs::{Decision, Effect, Event, ExecutorId, LossReason, OrderFailure};
use guavacart_types::Timestamp;
use support::{Harness, job, one_task_job, step};

/// Longest time to open a connection to an executor, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time after which an executor carries out a late order, in milliseconds.
const LATE_ORDER_MS: u64 = 3_000;

/// Time at which a run on the executor is first considered over without a report.
fn first_lapse(harness: &mut Harness, executor: &str) -> u64 {
    let id = ExecutorId::from(executor);
    let is_lapse = |effect: &Effect| {
        matches!(effect, Effect::Log(Decision::Lost { executor, why: LossReason::Lapsed, .. })
            if *executor == id)
    };
    let since = harness.effects().len();
    for _ in 0..20_000 {
        harness.run_for(1);
        if harness.effects()[since..].iter().any(is_lapse) {
            return harness.now();
        }
    }
    panic!("no run on {executor} was considered over");
}

/// Guards against a late report that is dropped together with what it shows: that a hold for the
/// former incarnation has reached the known one.
#[test]
fn a_late_report_to_a_hold_for_the_former_incarnation_extends_the_lease() {
    let mut harness = Harness::new(&["a"]);
    harness.run_for(20_000);
    harness.accept(1, job(vec![step(4)]));
    harness.run_for(500);
    let sent = Timestamp(harness.now());
    harness.run_for(100);
    harness.restart_with_new_clock("a");
    harness.read_entry("a", harness.entry("a"));
    harness.run_for(LATE_ORDER_MS);
    let id = ExecutorId::from("a");
    let report = harness.hold_report(&id, 0).expect("the executor answers");
    assert_eq!(report.running.len(), 4, "the tasks run again");
    harness.apply(Event::LateReport {
        executor: id.clone(),
        sent,
        report,
    });
    let end = harness.now() + Harness::longest_lease();
    harness.stop_answering(&id);
    let over = first_lapse(&mut harness, "a");
    assert!(
        over >= end,
        "the runs may last until {end} ms, they were considered over at {over} ms"
    );
}

/// Guards against a start with a deadline of the former clock that is taken for one of the known
/// incarnation, since both were applied in one millisecond.
#[test]
fn a_start_that_was_decided_just_before_a_restart_is_seen_extends_the_lease() {
    let mut harness = Harness::new(&["a"]);
    harness.run_for(20_000);
    let id = ExecutorId::from("a");
    harness.restart_with_new_clock("a");
    harness.run_for(50);
    let report = harness.hold_report(&id, 0);
    harness.accept(1, one_task_job());
    harness.apply(Event::HoldAnswered {
        executor: id.clone(),
        sent: Timestamp(harness.now() - 5),
        report,
        is_long_poll: false,
    });
    harness.run_for(3);
    let started = harness.next_start().expect("the task is started");
    harness.report_ends();
    harness.run_for(497);
    let clock_ms = harness.hold_report(&id, 0).expect("an answer").clock_ms;
    harness.apply(Event::StartAnswered {
        executor: id.clone(),
        task: started.task,
        run: started.run,
        result: Ok(clock_ms),
    });
    let end = harness.now() + Harness::longest_lease();
    harness.stop_answering(&id);
    let over = first_lapse(&mut harness, "a");
    assert!(
        over >= end,
        "the run may last until {end} ms, it was considered over at {over} ms"
    );
}

/// Guards against a hold that is counted as arrived 0.1 s after it was sent, although its connection
/// may take longer to open.
#[test]
fn a_hold_that_waits_for_its_connection_is_waited_out() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(400);
    harness.restart_with_new_clock("a");
    harness.restart_with_new_clock("b");
    harness.accept(1, one_task_job());
    harness.run_for(3);
    let started = harness.next_start().expect("the task is started");
    harness.stop_answering(&started.executor);
    let end = harness.now() + CONNECT_TIMEOUT_MS + Harness::longest_lease();
    let over = first_lapse(&mut harness, &started.executor.0);
    assert!(
        over >= end,
        "the run may last until {end} ms, it was considered over at {over} ms"
    );
}

/// Restarts both executors unseen and lets the first start on one of them stay without an answer; its
/// executor is silent from then on.
fn silent_after_unanswered_start() -> (Harness, ExecutorId) {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(20_000);
    for executor in ["a", "b"] {
        harness.restart_with_new_clock(executor);
        harness.fail_starts_on(executor, OrderFailure::NoAnswer);
    }
    harness.accept(1, one_task_job());
    let executor = harness.effects().iter().find_map(|effect| match effect {
        Effect::Start(target, _) => Some(target.id.clone()),
        _ => None,
    });
    let executor = executor.expect("a start was ordered");
    harness.run_for(1);
    harness.stop_answering(&executor);
    (harness, executor)
}

/// Guards against a lease of the longest length that the hold after an unanswered start extends in an
/// unknown incarnation.
#[test]
fn the_hold_after_an_unanswered_start_has_no_deadline() {
    let (mut harness, executor) = silent_after_unanswered_start();
    let since = harness.effects().len();
    harness.run_for(100);
    let holds = harness.effects()[since..].iter();
    let holds = holds.filter_map(|effect| match effect {
        Effect::Hold(target, order) if target.id == executor => Some(order.deadline_ms),
        _ => None,
    });
    let deadlines: Vec<Option<u64>> = holds.collect();
    assert!(!deadlines.is_empty(), "no hold after the start");
    assert!(deadlines.iter().all(Option::is_none), "{deadlines:?}");
}
