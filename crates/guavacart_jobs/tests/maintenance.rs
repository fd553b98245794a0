//! Tests of machines that are taken down for maintenance.

mod support;

use guavacart_jobs::{
    Decision, Effect, Event, ExecutorId, Machine, MachineId, MachineState, MaintenanceWave,
    OrderFailure, Step, WaveNumber,
};
use guavacart_types::Span;
use support::{Harness, job, step};

fn machine() -> MachineId {
    MachineId("m".into())
}

/// The list of machines, with the executor that runs on the only one.
fn machines_with(executor: &str) -> Event {
    Event::MachinesListed(vec![Machine {
        id: machine(),
        state: MachineState::Up,
        executor: Some(ExecutorId::from(executor)),
    }])
}

/// Guards against the loss of runs on a machine that is up again, where the answer to the first order
/// was lost and the repeated order is answered as already done.
#[test]
fn a_repeated_order_does_not_end_the_runs_of_the_next_executor() {
    let mut harness = Harness::new(&["a", "b"]);
    let needs_b = Step {
        required_label: Some("b".into()),
        ..step(1)
    };
    harness.accept(1, job(vec![needs_b]));
    harness.run_for(100);
    harness.next_start().expect("the task is started");
    harness.apply(machines_with("a"));
    harness.apply(Event::WaveRequested(MaintenanceWave {
        number: WaveNumber(1),
        machines: vec![machine()],
        duration: Span::secs(60),
        max_down: 1,
    }));
    harness.apply(machines_with("a"));
    harness.run_for(1_200);
    let answered = |result| Event::MaintenanceAnswered {
        machine: machine(),
        result,
    };
    harness.apply(answered(Err(OrderFailure::NoAnswer)));
    harness.apply(machines_with("b"));
    harness.run_for(4_000);
    let is_order = |effect: &&Effect| matches!(effect, Effect::BeginMaintenance(_));
    let orders = harness.effects().iter().filter(is_order).count();
    assert_eq!(orders, 2, "the order is repeated");
    harness.apply(answered(Ok(())));
    harness.run_for(1_000);
    let is_lost = |effect: &Effect| matches!(effect, Effect::Log(Decision::Lost { .. }));
    assert!(
        !harness.effects().iter().any(is_lost),
        "a run was considered over"
    );
}
