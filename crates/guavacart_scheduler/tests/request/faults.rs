//! Random sequences of requests and faults, after which the guarantees to callers are checked.

use guavacart_types::Class;
use proptest::prelude::*;

use crate::{
    assert_guarantees, ready,
    simulation::{Setup, Simulation, head},
};

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Send {
        instance: usize,
        idempotent: bool,
        long: bool,
    },
    Repeat {
        instance: usize,
        back: usize,
    },
    Wait(u64),
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    StoreDown(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let send = (0..4_usize, any::<bool>(), prop::bool::weighted(0.1));
    prop_oneof![
        60 => send.prop_map(|(instance, idempotent, long)| Step::Send { instance, idempotent, long }),
        20 => (0..4_usize, 1..30_usize).prop_map(|(instance, back)| Step::Repeat { instance, back }),
        20 => (1..60_u64).prop_map(Step::Wait),
        4 => (100..2_500_u64).prop_map(Step::Wait),
        1 => (0..4_usize).prop_map(Step::Kill),
        2 => (0..4_usize).prop_map(Step::Start),
        1 => (0..4_usize, 100..9_000_u64).prop_map(|(instance, ms)| Step::Pause(instance, ms)),
        1 => (0..5_usize).prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::StoreDown),
    ]
}

fn apply_step(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::Send {
            instance,
            idempotent,
            long,
        } => {
            let class = if long { Class::Long } else { Class::Short };
            let id = format!("r{}", simulation.sent.len());
            simulation.send(instance, head(&id, "red", class, idempotent));
        }
        Step::Repeat { instance, back } => {
            let index = simulation.sent.len().checked_sub(back);
            let repeated = index.map(|index| simulation.sent[index].head.clone());
            if let Some(head) = repeated {
                simulation.send(instance, head);
            }
        }
        Step::Wait(ms) => simulation.run(simulation.now + ms),
        Step::Kill(instance) if simulation.is_up(instance) => simulation.kill(instance),
        Step::Start(instance) if !simulation.is_up(instance) => simulation.start(instance),
        Step::Kill(_) | Step::Start(_) => {}
        Step::Pause(instance, ms) => simulation.pause(instance, ms),
        Step::Leave(endpoint) => simulation.leave_endpoint(endpoint),
        Step::StoreDown(down) => simulation.store_down = down,
    }
}

/// Applies steps to a fresh deployment, lets it recover for 20 s and checks the guarantees.
fn check_steps(setup: Setup, steps: &[Step]) {
    let mut simulation = ready(setup);
    for step in steps {
        apply_step(&mut simulation, step);
    }
    simulation.store_down = false;
    simulation.run(simulation.now + 20_000);
    assert_guarantees(&simulation, true, true);
}

/// Number of cases and their seed; set `GUAVACART_CASES` and `GUAVACART_SEED` for a longer search.
fn config() -> ProptestConfig {
    let env_number = |name| std::env::var(name).ok()?.parse::<u32>().ok();
    let seed = env_number("GUAVACART_SEED").unwrap_or(4);
    ProptestConfig {
        cases: env_number("GUAVACART_CASES").unwrap_or(48),
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed.into()),
        failure_persistence: None,
        max_shrink_iters: 1_500,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_under_faults(
        seed in any::<u64>(),
        broken_percent in 0..10_u64,
        lost_percent in 0..10_u64,
        steps in prop::collection::vec(step(), 50..400),
    ) {
        let setup = Setup {
            seed,
            instances: 4,
            endpoints: 5,
            broken_percent,
            lost_percent,
            ..Setup::default()
        };
        check_steps(setup, &steps);
    }
}
