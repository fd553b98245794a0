//! The request path of several simulated instances, with and without faults.

mod faults;
mod share;
mod simulation;

use guavacart_types::{Class, Outcome};

use self::simulation::{Setup, Simulation, head};

/// Time until a fresh deployment can serve requests, in milliseconds.
const READY_MS: u64 = 12_000;

/// Starts a deployment and runs it until it can serve requests.
fn ready(setup: Setup) -> Simulation {
    let mut simulation = Simulation::new(setup);
    simulation.run(READY_MS);
    simulation
}

/// Sends short requests to random instances for `ms` milliseconds, on average one per `every`
/// milliseconds.
fn send_load(simulation: &mut Simulation, ms: u64, every: u64, idempotent_percent: u64) {
    let end = simulation.now + ms;
    while simulation.now < end {
        let instance = simulation.draw(simulation.setup.instances as u64) as usize;
        let idempotent = simulation.draw(100) < idempotent_percent;
        let id = format!("r{}", simulation.sent.len());
        simulation.send(instance, head(&id, "red", Class::Short, idempotent));
        let next = simulation.now + simulation.draw(2 * every + 1);
        simulation.run(next);
    }
}

/// Returns the number of requests that were answered.
fn answered(simulation: &Simulation) -> usize {
    let is_answered = |o: &(u64, Outcome)| o.1 == Outcome::Answered;
    simulation
        .sent
        .iter()
        .filter(|s| s.answers.iter().any(is_answered))
        .count()
}

#[test]
fn steady_load_is_answered() {
    let mut simulation = ready(Setup::default());
    send_load(&mut simulation, 5_000, 4, 50);
    simulation.run(simulation.now + 5_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert!(simulation.sent.iter().all(|s| s.answers.len() == 1));
    assert_eq!(answered(&simulation), simulation.sent.len());
    assert!(simulation.sent.len() > 500);
}

/// Asserts that no guarantee was violated and that every request got exactly one answer.
///
/// If an instance was killed, requests may have got no answer. Unless an instance was paused, answers
/// arrive within 3.1 s: the deadline of 3 s and a margin.
fn assert_guarantees(simulation: &Simulation, instance_killed: bool, instance_paused: bool) {
    assert_eq!(simulation.violations, Vec::<String>::new());
    let is_wrong =
        |s: &&simulation::Sent| s.answers.len() != 1 && !(instance_killed && s.answers.is_empty());
    assert_eq!(simulation.sent.iter().filter(is_wrong).count(), 0);
    if instance_paused {
        return;
    }
    let is_late = |s: &&simulation::Sent| s.answers.iter().any(|(at, _)| *at > s.at + 3_100);
    let late: Vec<_> = simulation.sent.iter().filter(is_late).collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn guarantees_hold_when_an_instance_is_killed() {
    let mut simulation = ready(Setup::default());
    send_load(&mut simulation, 1_000, 3, 50);
    simulation.kill(0);
    send_load(&mut simulation, 8_000, 3, 50);
    simulation.start(0);
    send_load(&mut simulation, 8_000, 3, 50);
    simulation.run(simulation.now + 5_000);
    assert_guarantees(&simulation, true, false);
    assert!(answered(&simulation) * 10 > simulation.sent.len() * 8);
}

#[test]
fn guarantees_hold_when_an_instance_is_paused() {
    let mut simulation = ready(Setup::default());
    send_load(&mut simulation, 1_000, 3, 50);
    simulation.pause(1, 10_000);
    send_load(&mut simulation, 15_000, 3, 50);
    simulation.run(simulation.now + 5_000);
    assert_guarantees(&simulation, false, true);
    assert!(answered(&simulation) * 10 > simulation.sent.len() * 6);
}

#[test]
fn guarantees_hold_when_connections_break() {
    let mut simulation = ready(Setup {
        broken_percent: 5,
        lost_percent: 5,
        ..Setup::default()
    });
    send_load(&mut simulation, 20_000, 6, 50);
    simulation.run(simulation.now + 5_000);
    assert_guarantees(&simulation, false, false);
    assert!(answered(&simulation) * 100 > simulation.sent.len() * 95);
}

#[test]
fn leaving_endpoint_gets_no_requests() {
    let mut simulation = ready(Setup::default());
    simulation.leave_endpoint(2);
    send_load(&mut simulation, 3_000, 3, 50);
    simulation.run(simulation.now + 5_000);
    assert_guarantees(&simulation, false, false);
    assert_eq!(answered(&simulation), simulation.sent.len());
}

#[test]
fn store_outage_does_not_affect_requests() {
    let mut simulation = ready(Setup::default());
    simulation.store_down = true;
    send_load(&mut simulation, 20_000, 6, 50);
    simulation.run(simulation.now + 5_000);
    assert_guarantees(&simulation, false, false);
    assert_eq!(answered(&simulation), simulation.sent.len());
}

#[test]
fn repeat_at_another_instance_does_not_run_again() {
    let mut simulation = ready(Setup::default());
    let once = head("once", "red", Class::Short, false);
    simulation.send(0, once.clone());
    simulation.run(simulation.now + 1_000);
    for instance in 0..3 {
        simulation.send(instance, once.clone());
        simulation.run(simulation.now + 500);
    }
    assert_eq!(simulation.runs_by_id["once"], 1);
    assert_guarantees(&simulation, false, false);
}
