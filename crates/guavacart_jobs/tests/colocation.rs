//! Tests of best-effort tasks on the same executors as service tasks.

mod support;

use guavacart_jobs::{Effect, Step, TaskKey};
use guavacart_types::Span;
use support::{Harness, job, step};

/// Headroom lost per executor for a pair of images with strong interference: one best-effort task
/// on a quarter of an executor uses up all headroom.
const STRONG_INTERFERENCE: f32 = 12.0;
/// Headroom lost per executor for a pair of images that cannot work beside each other.
const UNBEARABLE_INTERFERENCE: f32 = 200.0;
/// Headroom lost per executor for a pair of images with weak interference.
const WEAK_INTERFERENCE: f32 = 0.8;

fn service_step(image: &str, label: &str, count: u16) -> Step {
    Step {
        is_long_running: true,
        image: Some(image.into()),
        tail_target: Some(Span(200)),
        required_label: Some(label.into()),
        ..step(count)
    }
}

fn best_effort_step(image: &str, label: Option<&str>, count: u16) -> Step {
    Step {
        is_best_effort: true,
        image: Some(image.into()),
        required_label: label.map(Into::into),
        ..step(count)
    }
}

/// Returns two executors, each with a service of an image of its own. The best-effort image `f`
/// interferes strongly with the service on `b` and weakly with the service on `a`.
fn two_service_images() -> Harness {
    let mut harness = Harness::new(&["a", "b"]);
    harness.set_interference("calm", "f", WEAK_INTERFERENCE);
    harness.set_interference("touchy", "f", STRONG_INTERFERENCE);
    harness.accept(1, job(vec![service_step("calm", "a", 1)]));
    harness.accept(2, job(vec![service_step("touchy", "b", 1)]));
    harness.run_for(4_000);
    harness
}

/// Returns the starts of a job's tasks that have not been returned yet, and drops those of other
/// jobs.
fn drain_starts_of(harness: &mut Harness, key: u64) -> Vec<(String, TaskKey)> {
    let started = std::iter::from_fn(|| harness.next_start());
    let of_job = started.filter(|started| started.task.step.job.0 == key);
    of_job
        .map(|started| (started.executor.0.to_string(), started.task))
        .collect()
}

fn task_beside(task: TaskKey, job: u64) -> TaskKey {
    let job = guavacart_jobs::JobKey(job);
    TaskKey {
        step: guavacart_jobs::StepKey { job, ..task.step },
        ..task
    }
}

/// Guards against a service task that stays over its target since an older change of pace was
/// carried out after the last one.
#[test]
fn a_pace_that_is_carried_out_late_is_corrected() {
    let mut harness = Harness::new(&["a"]);
    harness.set_interference("frail", "f", UNBEARABLE_INTERFERENCE);
    harness.accept(2, job(vec![service_step("frail", "a", 1)]));
    harness.run_for(4_000);
    harness.accept(3, job(vec![best_effort_step("f", Some("a"), 1)]));
    harness.run_for(3_000);
    let (_, task) = drain_starts_of(&mut harness, 3).pop().expect("a start");
    let is_paused = (0..100).any(|_| {
        harness.run_for(100);
        harness.pace("a", task) == 0
    });
    assert!(is_paused);
    harness.pace_late("a", task, 100);
    harness.run_for(3_000);
    assert_eq!(harness.pace("a", task), 0, "the service is over its target");
}

/// Guards against tails over their target because best-effort tasks are not slowed, and against
/// stopping these tasks where the target allows a slower pace.
#[test]
fn best_effort_tasks_are_paced_until_the_tail_target_is_met() {
    let mut harness = two_service_images();
    harness.accept(3, job(vec![best_effort_step("f", Some("b"), 1)]));
    harness.run_for(6_000);
    let (executor, task) = drain_starts_of(&mut harness, 3).pop().expect("a start");
    assert_eq!(executor, "b");
    let pace = harness.pace("b", task);
    let ratio = harness.tail_over_target("b", task_beside(task, 2));
    assert!(
        ratio <= 1.0,
        "the tail is {ratio} of its target at a pace of {pace}%"
    );
    assert!(
        pace >= 10,
        "the best-effort task is paced to less than 10% although the target allows more"
    );
}

/// Guards against placing best-effort tasks without regard to interference that was seen before.
#[test]
fn best_effort_tasks_are_placed_where_they_interfere_least() {
    let mut harness = two_service_images();
    harness.accept(3, job(vec![best_effort_step("f", Some("a"), 1)]));
    harness.accept(4, job(vec![best_effort_step("f", Some("b"), 1)]));
    harness.run_for(5_000);
    harness.accept(5, job(vec![best_effort_step("f", None, 2)]));
    harness.run_for(500);
    let started = drain_starts_of(&mut harness, 5);
    assert_eq!(started.len(), 2, "{started:?}");
    assert!(
        started.iter().all(|(executor, _)| executor == "a"),
        "{started:?}"
    );
}

/// Guards against a new owner that does not know the stored estimates and starts a best-effort task
/// beside a service that the task slows.
#[test]
fn the_next_owner_uses_stored_interference_estimates() {
    let mut harness = two_service_images();
    harness.accept(3, job(vec![best_effort_step("f", Some("b"), 1)]));
    harness.run_for(5_000);
    // Estimates are stored with the next save, which the failure of an ordinary run causes.
    harness.accept(4, job(vec![step(1)]));
    let ordinary_run = first_start_of(&mut harness, 4);
    harness.fail_run(&ordinary_run);
    harness.run_for(3_000);
    let mut next = harness.take_over();
    next.set_interference("calm", "f", WEAK_INTERFERENCE);
    next.set_interference("touchy", "f", STRONG_INTERFERENCE);
    next.run_for(1_000);
    next.accept(5, job(vec![best_effort_step("f", Some("b"), 1)]));
    next.run_for(1_000);
    let started = drain_starts_of(&mut next, 5);
    assert!(
        started.is_empty(),
        "started beside an image that the task interferes with: {started:?}"
    );
}

/// Returns the first start of a job's tasks within 300 ms.
fn first_start_of(harness: &mut Harness, key: u64) -> support::StartedRun {
    harness.run_for(300);
    let mut started = std::iter::from_fn(|| harness.next_start());
    let found = started.find(|started| started.task.step.job.0 == key);
    found.expect("a start")
}

/// Returns how often an executor was asked for its tails in 4 s in which tasks start.
fn reads_of_tails(harness: &mut Harness, executor: &str) -> usize {
    let before = harness.effects().len();
    for key in 0..8 {
        harness.accept(100 + key, job(vec![step(1)]));
        harness.run_for(500);
    }
    let is_read = |effect: &&Effect| match effect {
        Effect::Hold(target, order) => target.id.0 == executor && order.wait > Span::ZERO,
        _ => false,
    };
    harness.effects()[before..].iter().filter(is_read).count()
}

/// Guards against an owner without processor time that spends it on tails far below their targets.
#[test]
fn an_owner_that_is_behind_reads_tails_far_below_their_targets_less_often() {
    let mut harness = Harness::new(&["calm", "tense"]);
    harness.set_interference("calm", "f", WEAK_INTERFERENCE);
    harness.set_interference("tense", "f", STRONG_INTERFERENCE / 2.0);
    for (key, name) in [(1, "calm"), (2, "tense")] {
        harness.accept(key, job(vec![service_step(name, name, 1)]));
        harness.run_for(2_000);
        harness.accept(10 + key, job(vec![best_effort_step("f", Some(name), 1)]));
    }
    harness.run_for(3_000);
    harness.set_loop_lag(60);
    harness.run_for(1_000);
    let calm = reads_of_tails(&mut harness, "calm");
    let tense = reads_of_tails(&mut harness, "tense");
    assert!((3..=5).contains(&calm), "{calm} reads of calm tails in 4 s");
    assert!(
        tense >= 7,
        "{tense} reads of tails near their targets in 4 s"
    );
}
