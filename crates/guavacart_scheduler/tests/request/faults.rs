//! Random faults against the promises.

use guavacart_types::Class;
use proptest::prelude::*;

use crate::{
    assert_kept,
    model::{Model, Setup, head},
    ready,
};

/// Something that is done to the deployment.
#[derive(Clone, Debug)]
enum Step {
    Send {
        node: usize,
        idempotent: bool,
        long: bool,
    },
    Repeat {
        node: usize,
        back: usize,
    },
    Wait(u64),
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    Store(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let send = (0..4_usize, any::<bool>(), prop::bool::weighted(0.1));
    prop_oneof![
        60 => send.prop_map(|(node, idempotent, long)| Step::Send { node, idempotent, long }),
        20 => (0..4_usize, 1..30_usize).prop_map(|(node, back)| Step::Repeat { node, back }),
        20 => (1..60_u64).prop_map(Step::Wait),
        4 => (100..2_500_u64).prop_map(Step::Wait),
        1 => (0..4_usize).prop_map(Step::Kill),
        2 => (0..4_usize).prop_map(Step::Start),
        1 => (0..4_usize, 100..9_000_u64).prop_map(|(node, ms)| Step::Pause(node, ms)),
        1 => (0..5_usize).prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::Store),
    ]
}

fn take(model: &mut Model, step: &Step) {
    match *step {
        Step::Send {
            node,
            idempotent,
            long,
        } => {
            let class = if long { Class::Long } else { Class::Short };
            let id = format!("r{}", model.sent.len());
            model.send(node, head(&id, "red", class, idempotent));
        }
        Step::Repeat { node, back } => {
            let place = model.sent.len().checked_sub(back);
            let again = place.map(|place| model.sent[place].head.clone());
            if let Some(head) = again {
                model.send(node, head);
            }
        }
        Step::Wait(ms) => model.run(model.now + ms),
        Step::Kill(node) if model.is_up(node) => model.kill(node),
        Step::Start(node) if !model.is_up(node) => model.start(node),
        Step::Kill(_) | Step::Start(_) => {}
        Step::Pause(node, ms) => model.pause(node, ms),
        Step::Leave(endpoint) => model.leave_endpoint(endpoint),
        Step::Store(down) => model.store_down = down,
    }
}

fn hold(setup: Setup, steps: &[Step]) {
    let mut model = ready(setup);
    for step in steps {
        take(&mut model, step);
    }
    model.store_down = false;
    model.run(model.now + 20_000);
    assert_kept(&model, true, true);
}

/// Runs and their seed; a longer search sets `GUAVACART_CASES` and `GUAVACART_SEED`.
fn config() -> ProptestConfig {
    let number = |name| std::env::var(name).ok()?.parse::<u32>().ok();
    let seed = number("GUAVACART_SEED").unwrap_or(4);
    ProptestConfig {
        cases: number("GUAVACART_CASES").unwrap_or(48),
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
        hold(setup, &steps);
    }
}
