//! Tests of executors that restart under their ids, get orders that were meant for their former
//! incarnation, and are cut off before the owner knows of the restart.

mod support;

use guavacart_jobs::{Effect, ExecutorId, OrderFailure};
use support::{Harness, one_task_job};

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
