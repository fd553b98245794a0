//! The request path of several instances under faults.

mod faults;
mod model;
mod share;

use guavacart_types::{Class, Outcome};

use self::model::{Model, Setup, head};

/// Time in which a fresh deployment gets ready, in milliseconds.
const READY_MS: u64 = 12_000;

fn ready(setup: Setup) -> Model {
    let mut model = Model::new(setup);
    model.run(READY_MS);
    model
}

/// Sends requests for `ms`, about one in `every`, to instances drawn at random.
fn load(model: &mut Model, ms: u64, every: u64, idempotent_percent: u64) {
    let end = model.now + ms;
    while model.now < end {
        let node = model.draw(model.setup.instances as u64) as usize;
        let idempotent = model.draw(100) < idempotent_percent;
        let id = format!("r{}", model.sent.len());
        model.send(node, head(&id, "red", Class::Short, idempotent));
        let next = model.now + model.draw(2 * every + 1);
        model.run(next);
    }
}

fn answered(model: &Model) -> usize {
    let whole = |o: &(u64, Outcome)| o.1 == Outcome::Answered;
    model
        .sent
        .iter()
        .filter(|s| s.answers.iter().any(whole))
        .count()
}

#[test]
fn steady_load_is_answered() {
    let mut model = ready(Setup::default());
    load(&mut model, 5_000, 4, 50);
    model.run(model.now + 5_000);
    assert_eq!(model.violations, Vec::<String>::new());
    assert!(model.sent.iter().all(|s| s.answers.len() == 1));
    assert_eq!(answered(&model), model.sent.len());
    assert!(model.sent.len() > 500);
}

/// Every call was answered exactly once unless its instance died, and no promise was broken.
fn assert_kept(model: &Model, died: bool, paused: bool) {
    assert_eq!(model.violations, Vec::<String>::new());
    let wrong = |s: &&model::Sent| s.answers.len() != 1 && !(died && s.answers.is_empty());
    assert_eq!(model.sent.iter().filter(wrong).count(), 0);
    if paused {
        return;
    }
    let late = |s: &&model::Sent| s.answers.iter().any(|(at, _)| *at > s.at + 3_100);
    let late: Vec<_> = model.sent.iter().filter(late).collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_killed_instance_breaks_no_promise() {
    let mut model = ready(Setup::default());
    load(&mut model, 1_000, 3, 50);
    model.kill(0);
    load(&mut model, 8_000, 3, 50);
    model.start(0);
    load(&mut model, 8_000, 3, 50);
    model.run(model.now + 5_000);
    assert_kept(&model, true, false);
    assert!(answered(&model) * 10 > model.sent.len() * 8);
}

#[test]
fn a_paused_instance_breaks_no_promise() {
    let mut model = ready(Setup::default());
    load(&mut model, 1_000, 3, 50);
    model.pause(1, 10_000);
    load(&mut model, 15_000, 3, 50);
    model.run(model.now + 5_000);
    assert_kept(&model, false, true);
    assert!(answered(&model) * 10 > model.sent.len() * 6);
}

#[test]
fn broken_connections_break_no_promise() {
    let mut model = ready(Setup {
        broken_percent: 5,
        lost_percent: 5,
        ..Setup::default()
    });
    load(&mut model, 20_000, 6, 50);
    model.run(model.now + 5_000);
    assert_kept(&model, false, false);
    assert!(answered(&model) * 100 > model.sent.len() * 95);
}

#[test]
fn a_leaving_endpoint_gets_no_more_work() {
    let mut model = ready(Setup::default());
    model.leave_endpoint(2);
    load(&mut model, 3_000, 3, 50);
    model.run(model.now + 5_000);
    assert_kept(&model, false, false);
    assert_eq!(answered(&model), model.sent.len());
}

#[test]
fn a_store_outage_is_not_noticed() {
    let mut model = ready(Setup::default());
    model.store_down = true;
    load(&mut model, 20_000, 6, 50);
    model.run(model.now + 5_000);
    assert_kept(&model, false, false);
    assert_eq!(answered(&model), model.sent.len());
}

#[test]
fn a_repeat_at_another_instance_does_not_run_again() {
    let mut model = ready(Setup::default());
    let once = head("once", "red", Class::Short, false);
    model.send(0, once.clone());
    model.run(model.now + 1_000);
    for node in 0..3 {
        model.send(node, once.clone());
        model.run(model.now + 500);
    }
    assert_eq!(model.runs_by_id["once"], 1);
    assert_kept(&model, false, false);
}
