//! Fillers beside tasks that serve.

mod support;

use guavacart_jobs::{Step, TaskKey};
use guavacart_types::Span;
use support::{Rig, job, step};

/// Slope of a pair that disturbs: one filler of a quarter of an executor takes all headroom.
const HEAVY: f32 = 12.0;
/// Slope of a pair that hardly does.
const LIGHT: f32 = 0.8;

fn serving(image: &str, label: &str, count: u16) -> Step {
    Step {
        is_lasting: true,
        image: Some(image.into()),
        tail_target: Some(Span(200)),
        required_label: Some(label.into()),
        ..step(count)
    }
}

fn filler(image: &str, label: Option<&str>, count: u16) -> Step {
    Step {
        is_filler: true,
        image: Some(image.into()),
        required_label: label.map(Into::into),
        ..step(count)
    }
}

/// Two executors, each serving an image of its own; the filler image disturbs that of `b` only.
fn two_images() -> Rig {
    let mut rig = Rig::new(&["a", "b"]);
    rig.disturb("calm", "f", LIGHT);
    rig.disturb("touchy", "f", HEAVY);
    rig.accept(1, job(vec![serving("calm", "a", 1)]));
    rig.accept(2, job(vec![serving("touchy", "b", 1)]));
    rig.run_for(4_000);
    rig
}

fn started_on(rig: &mut Rig, key: u64) -> Vec<(String, TaskKey)> {
    let started = std::iter::from_fn(|| rig.started());
    let of_job = started.filter(|started| started.task.step.job.0 == key);
    of_job
        .map(|started| (started.executor.0.to_string(), started.task))
        .collect()
}

#[test]
fn a_filler_that_disturbs_is_slowed_until_the_target_holds() {
    let mut rig = two_images();
    rig.accept(3, job(vec![filler("f", Some("b"), 1)]));
    rig.run_for(6_000);
    let (executor, task) = started_on(&mut rig, 3).pop().expect("a start");
    assert_eq!(executor, "b");
    let pace = rig.pace("b", task);
    let serving = TaskKey {
        step: guavacart_jobs::StepKey {
            job: guavacart_jobs::JobKey(2),
            ..task.step
        },
        ..task
    };
    let ratio = rig.tail_over_target("b", serving);
    assert!(
        ratio <= 1.0,
        "the tail is {ratio} of its target at a pace of {pace}%"
    );
    assert!(
        pace >= 10,
        "the filler stands still although a share is borne"
    );
}

#[test]
fn fillers_go_where_their_image_was_seen_not_to_disturb() {
    let mut rig = two_images();
    rig.accept(3, job(vec![filler("f", Some("a"), 1)]));
    rig.accept(4, job(vec![filler("f", Some("b"), 1)]));
    rig.run_for(5_000);
    rig.accept(5, job(vec![filler("f", None, 2)]));
    rig.run_for(500);
    let started = started_on(&mut rig, 5);
    assert_eq!(started.len(), 2, "{started:?}");
    assert!(started.iter().all(|(x, _)| x == "a"), "{started:?}");
}

#[test]
fn what_was_learned_is_kept_for_the_next_owner() {
    let mut rig = two_images();
    rig.accept(3, job(vec![filler("f", Some("b"), 1)]));
    rig.run_for(5_000);
    // What is learned is written with the next save.
    rig.accept(4, job(vec![step(1)]));
    let plain = started_after(&mut rig, 4);
    rig.fail(&plain);
    rig.run_for(3_000);
    let mut next = rig.take_over();
    next.disturb("calm", "f", LIGHT);
    next.disturb("touchy", "f", HEAVY);
    next.run_for(1_000);
    next.accept(5, job(vec![filler("f", Some("b"), 1)]));
    next.run_for(1_000);
    let started = started_on(&mut next, 5);
    assert!(
        started.is_empty(),
        "started beside an image that it disturbs: {started:?}"
    );
}

fn started_after(rig: &mut Rig, key: u64) -> support::Started {
    rig.run_for(300);
    let mut started = std::iter::from_fn(|| rig.started());
    let found = started.find(|started| started.task.step.job.0 == key);
    found.expect("a start")
}
