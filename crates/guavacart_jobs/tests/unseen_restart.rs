//! Tests of executors that restart under their ids, get orders that were meant for their former
//! incarnation, and are cut off before the owner knows of the restart.

mod support;

use guavacart_jobs::{
    AdvicePolicy, Decision, Effect, Event, ExecutorId, HoldOrder, OrderFailure, Registration,
    Ticket,
};
use guavacart_types::Span;
use support::{Harness, job, one_task_job, step};

/// Time after the first list in which a start of an earlier owner may reach an executor, in
/// milliseconds.
const LAST_EARLIER_START_MS: u64 = 290;

/// What the owner can see of the executor's next incarnation before that is cut off.
#[derive(Clone, Copy, PartialEq)]
enum Seen {
    /// The answer to the start.
    Answer,
    /// Nothing; the answer to the start is lost.
    Nothing,
    /// The answer to the start, and an entry with the later incarnation.
    AnswerAndEntry,
}

/// The executor of the first start that was ordered.
fn first_target(harness: &Harness) -> Option<ExecutorId> {
    harness.effects().iter().find_map(|effect| match effect {
        Effect::Start(target, _) => Some(target.id.clone()),
        _ => None,
    })
}

/// Checks that a task whose start reached an unknown incarnation starts again only once that incarnation
/// has ended it. `age` is the age of the former incarnation, and the executor is cut off `cut_after` the
/// start, both in milliseconds.
fn check(age: u64, cut_after: u64, seen: Seen) {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(age);
    for executor in ["a", "b"] {
        harness.restart_with_new_clock(executor);
        if seen == Seen::Nothing {
            harness.fail_starts_on(executor, OrderFailure::NoAnswer);
        }
    }
    harness.accept(1, one_task_job());
    let executor = first_target(&harness).expect("the task is started at once");
    harness.run_for(cut_after);
    harness.stop_answering(&executor);
    let other = if executor.0 == "a" { "b" } else { "a" };
    harness.read_entry(other, harness.entry(other));
    if seen == Seen::AnswerAndEntry {
        harness.read_entry(&executor.0, harness.entry(&executor.0));
    }
    harness.succeed_starts();
    harness.run_for(15_000);
    let starts = std::iter::from_fn(|| harness.next_start());
    let again = starts.filter(|start| start.executor != executor).last();
    let again = again.expect("the task is started again");
    let end = harness.lease_end(&executor);
    assert!(
        again.started_at >= end,
        "the run may last until {end} ms, its task was started again at {} ms",
        again.started_at
    );
}

macro_rules! a_task_starts_again_once_its_run_has_ended {
    ($($name:ident: $age:expr, $cut_after:expr, $seen:expr;)*) => {$(
        #[test]
        fn $name() {
            check($age, $cut_after, $seen);
        }
    )*};
}

a_task_starts_again_once_its_run_has_ended! {
    a_run_on_an_unknown_incarnation_is_not_considered_over_before_its_longest_lease: 20_000, 5, Seen::Answer;
    a_run_with_an_unanswered_start_is_not_considered_over_before_its_longest_lease: 20_000, 1, Seen::Nothing;
    a_run_is_not_considered_over_early_after_an_entry_of_the_next_incarnation: 20_000, 5, Seen::AnswerAndEntry;
    a_run_is_not_considered_over_early_where_the_clock_hides_the_restart: 900, 5, Seen::Answer;
    a_run_is_not_considered_over_early_after_a_hold_without_an_answer: 20_000, 900, Seen::Answer;
    a_run_is_not_considered_over_early_after_a_hold_where_the_clock_hides_the_restart: 900, 900, Seen::Answer;
}

/// Restarts both executors unseen, and starts a task on one of them.
fn started_after_restarts() -> Harness {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(20_000);
    harness.restart_with_new_clock("a");
    harness.restart_with_new_clock("b");
    harness.accept(1, one_task_job());
    harness
}

/// The holds that were sent to an executor since the effect with that number.
fn holds_since(harness: &Harness, since: usize, executor: &ExecutorId) -> Vec<HoldOrder> {
    let effects = harness.effects()[since..].iter();
    let holds = effects.filter_map(|effect| match effect {
        Effect::Hold(target, order) if target.id == *executor => Some(order.clone()),
        _ => None,
    });
    holds.collect()
}

fn has_learned_restart(harness: &Harness, executor: &ExecutorId) -> bool {
    let is_restart = |effect: &Effect| {
        matches!(effect, Effect::Log(Decision::ExecutorRestarted { executor: restarted, .. })
            if restarted == executor)
    };
    harness.effects().iter().any(is_restart)
}

/// Guards against a restart that stays unknown until the hold after a start returns, 1 s later.
#[test]
fn a_restart_is_learned_at_once_from_the_clock_in_the_answer_to_a_start() {
    let mut harness = started_after_restarts();
    harness.run_for(10);
    let executor = first_target(&harness).expect("the task is started at once");
    assert!(has_learned_restart(&harness, &executor));
}

/// Guards against starts, with the clock of the former incarnation, on an executor that has restarted.
#[test]
fn nothing_starts_on_an_executor_whose_clock_does_not_fit() {
    let mut harness = started_after_restarts();
    let executor = first_target(&harness).expect("the task is started at once");
    harness.run_for(3);
    harness.accept(2, job(vec![step(8)]));
    let starts = harness
        .effects()
        .iter()
        .filter(|effect| matches!(effect, Effect::Start(target, _) if target.id == executor));
    assert_eq!(starts.count(), 1, "a start before the list");
}

/// Guards against a lease of the longest length that a hold to an unknown incarnation extends.
#[test]
fn holds_to_an_unknown_incarnation_have_no_deadline() {
    let mut harness = started_after_restarts();
    let executor = first_target(&harness).expect("the task is started at once");
    let since = harness.effects().len();
    harness.run_for(3);
    let holds = holds_since(&harness, since, &executor);
    assert!(!holds.is_empty(), "no hold after the answer to the start");
    assert!(
        holds.iter().all(|order| order.deadline_ms.is_none()),
        "{holds:?}"
    );
}

/// Guards against the same after an entry with the next incarnation was read.
#[test]
fn holds_after_an_entry_of_the_next_incarnation_have_no_deadline() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(20_000);
    harness.restart_with_new_clock("a");
    let since = harness.effects().len();
    harness.read_entry("a", harness.entry("a"));
    let holds = holds_since(&harness, since, &"a".into());
    assert!(!holds.is_empty(), "no hold after the entry");
    assert!(
        holds.iter().all(|order| order.deadline_ms.is_none()),
        "{holds:?}"
    );
}

/// Guards against a restart that stays unknown, although an entry shows it, until a hold for the former
/// incarnation has failed.
#[test]
fn a_restart_is_learned_at_once_from_an_entry_while_a_hold_is_unanswered() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, one_task_job());
    harness.run_for(2_100);
    harness.restart_with_new_clock("a");
    harness.read_entry("a", harness.entry("a"));
    harness.run_for(10);
    assert!(has_learned_restart(&harness, &"a".into()));
}

/// Guards against a lease that a hold for the former incarnation extends after the first list of the
/// next one.
#[test]
fn a_run_is_not_considered_over_early_after_a_late_hold_for_the_former_incarnation() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(20_000);
    harness.accept(1, job(vec![step(8)]));
    harness.run_for(2_100);
    let starts = std::iter::from_fn(|| harness.next_start());
    let elsewhere: Vec<_> = starts.filter(|start| start.executor.0 == "b").collect();
    assert_eq!(elsewhere.len(), 4, "both executors are full");
    harness.restart_with_new_clock("a");
    harness.read_entry("a", harness.entry("a"));
    harness.run_for(800);
    let late = harness.now();
    harness.stop_answering(&"a".into());
    for started in &elsewhere {
        harness.complete_run(started);
    }
    harness.run_for(15_000);
    let mut starts = std::iter::from_fn(|| harness.next_start());
    let again = starts.find(|start| start.executor.0 == "b" && start.started_at > late);
    let again = again.expect("a task is started again");
    let end = late + Harness::longest_lease();
    assert!(
        again.started_at >= end,
        "the run may last until {end} ms, its task was started again at {} ms",
        again.started_at
    );
}

/// Guards against a new owner that takes an executor's first list for all that the earlier owner may
/// start there, if the executor is cut off before the second one.
#[test]
fn a_start_of_an_earlier_owner_after_the_first_list_is_waited_out() {
    let mut earlier = Harness::new(&["a", "b"]);
    for executor in ["a", "b"] {
        earlier.fail_starts_on(executor, OrderFailure::Unhealthy);
    }
    earlier.accept(1, one_task_job());
    earlier.run_for(500);
    let mut next = earlier.take_over();
    next.run_for(5);
    let listed = next.now();
    next.stop_answering(&"a".into());
    next.run_for(15_000);
    let start = next.next_start().expect("the task is started");
    let end = listed + LAST_EARLIER_START_MS + Harness::longest_lease();
    assert!(
        start.started_at >= end,
        "a run of the earlier owner may last until {end} ms, its task was started at {} ms",
        start.started_at
    );
}

/// Guards against an overloaded owner that takes a late answer for one of another incarnation.
#[test]
fn an_answer_to_a_start_that_is_applied_late_raises_no_doubt() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.run_for(20_000);
    harness.accept(1, one_task_job());
    harness.run_for(3);
    let started = harness.next_start().expect("the task is started");
    harness.run_for(1_800);
    harness.apply(Event::StartAnswered {
        executor: started.executor,
        task: started.task,
        run: started.run,
        result: Ok(started.started_at),
    });
    let is_mismatch =
        |effect: &Effect| matches!(effect, Effect::Log(Decision::ClockMismatch { .. }));
    assert!(!harness.effects().iter().any(is_mismatch));
}

/// Guards against a lease that each answer of an incarnation with an earlier start extends for ever.
#[test]
fn runs_are_over_after_a_restart_on_a_machine_whose_time_was_set_back() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.accept(1, one_task_job());
    harness.run_for(2_100);
    let first = harness.next_start().expect("the task is started");
    harness.restart_with_time_set_back(&first.executor.0);
    harness.read_entry(&first.executor.0, harness.entry(&first.executor.0));
    harness.run_for(30_000);
    harness
        .next_start()
        .expect("the task is started again although its run is over");
}

/// Guards against an announced leave that counts as a crash under the runs, since the entry of the next
/// incarnation is read before its list.
#[test]
fn an_announced_leave_is_no_crash_if_the_next_entry_is_read_before_the_list() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, one_task_job());
    harness.run_for(10);
    let leaving = Registration {
        is_draining: true,
        ..harness.entry("a")
    };
    harness.read_entry("a", leaving);
    harness.run_for(10);
    harness.restart_with_new_clock("a");
    harness.read_entry("a", harness.entry("a"));
    harness.run_for(10);
    assert!(has_learned_restart(&harness, &"a".into()));
    let is_crash =
        |effect: &Effect| matches!(effect, Effect::Log(Decision::ExecutorCrashed { .. }));
    assert!(!harness.effects().iter().any(is_crash));
}

/// Guards against a start with the ticket that was given for the former incarnation.
#[test]
fn a_ticket_is_not_used_after_a_restart() {
    let mut harness = Harness::new(&["a"]);
    let mut advised = job(vec![step(6)]);
    advised.queue = "advised".into();
    advised.rules.advice = Some(AdvicePolicy {
        base_time: Span(10),
        time_per_executor: Span(1),
        validity: Span::secs(60),
    });
    harness.accept(1, advised);
    let key = harness.effects().iter().find_map(|effect| match effect {
        Effect::AskAdvice { step, .. } => Some(*step),
        _ => None,
    });
    let step = key.expect("advice is requested");
    harness.apply(Event::AdviceAnswered {
        step,
        allowed: Some(vec![("a".into(), Ticket("t".into()))]),
    });
    harness.run_for(100);
    harness.restart_with_new_clock("a");
    harness.read_entry("a", harness.entry("a"));
    let since = harness.effects().len();
    harness.run_for(3_000);
    let effects = harness.effects()[since..].iter();
    let with_ticket = effects
        .filter(|effect| matches!(effect, Effect::Start(_, order) if order.ticket.is_some()));
    assert_eq!(with_ticket.count(), 0, "starts with the earlier ticket");
    let mut effects = harness.effects()[since..].iter();
    assert!(effects.any(|effect| matches!(effect, Effect::AskAdvice { .. })));
}
