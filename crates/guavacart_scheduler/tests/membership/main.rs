//! Tests under random and chosen faults that each key has at most one acting owner, that views never go
//! back, and that every key has an acting owner again in time.

mod fault;
mod simulation;
mod store;

use fault::{Fault, Step, scripts};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use simulation::Simulation;
use store::Condition;

/// Longest time in milliseconds from the end of all faults until every key has an acting owner. Covers
/// the lag of the instance list, the remainder of a pause, the proposal turns of all members, and twice
/// the lease's span if a majority is lost for good.
const RECOVERY_LIMIT_MS: u64 = 20_000;
/// Longest time in milliseconds from the death of one member until every key has an acting owner.
const DEATH_LIMIT_MS: u64 = 8_000;
/// Longest pause in a random script, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 12_000;

/// Runs a script of faults, ends the faults, and checks that every key has an acting owner in time.
fn check(instances: usize, seed: u64, script: &[Step]) -> Result<(), TestCaseError> {
    let mut sim = Simulation::start(instances, seed);
    sim.run(3_000);
    sim.run_script(script);
    sim.inject(&Fault::Heal);
    sim.run(LONGEST_PAUSE_MS);
    if sim.has_remaining_process() {
        let settled = sim.settle(RECOVERY_LIMIT_MS);
        prop_assert!(settled.is_some(), "not settled\n{}", sim.describe());
    }
    Ok(())
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    let config = Config {
        cases: std::env::var("PROPTEST_CASES")
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(cases),
        rng_seed: RngSeed::Fixed(
            std::env::var("MODEL_SEED")
                .ok()
                .and_then(|n| n.parse().ok())
                .unwrap_or(seed),
        ),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    TestRunner::new(config)
}

macro_rules! random_faults {
    ($($name:ident: $instances:literal instances, $cases:literal cases;)*) => {$(
        #[test]
        fn $name() {
            let strategy = (any::<u64>(), scripts($instances));
            let run = |(seed, script): (u64, Vec<Step>)| check($instances, seed, &script);
            let result = runner($cases, $instances).run(&strategy, run);
            assert!(result.is_ok(), "{}", result.unwrap_err());
        }
    )*};
}

random_faults! {
    single_owners_and_recovery_with_one_instance: 1 instances, 64 cases;
    single_owners_and_recovery_with_two_instances: 2 instances, 64 cases;
    single_owners_and_recovery_with_three_instances: 3 instances, 64 cases;
    single_owners_and_recovery_with_five_instances: 5 instances, 48 cases;
    single_owners_and_recovery_with_eight_instances: 8 instances, 24 cases;
}

/// Runs a script on a settled deployment. Returns the milliseconds until every key has an acting owner.
fn recovery(instances: usize, seed: u64, script: &[Step]) -> Option<u64> {
    let mut sim = Simulation::start(instances, seed);
    sim.run(20_000);
    sim.run_script(script);
    sim.settle(RECOVERY_LIMIT_MS)
}

macro_rules! recovers_within {
    ($($name:ident: $instances:literal instances, $limit:expr, $script:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..10 {
                let elapsed = recovery($instances, seed, &$script);
                let in_time = elapsed.is_some_and(|ms| ms <= $limit);
                assert!(in_time, "seed {seed} took {elapsed:?} ms");
            }
        }
    )*};
}

recovers_within! {
    recovery_after_one_death: 8 instances, DEATH_LIMIT_MS, [(0, Fault::Kill(3))];
    recovery_after_two_deaths_in_quick_succession: 8 instances, DEATH_LIMIT_MS + 1_000, [(0, Fault::Kill(3)), (1_000, Fault::Kill(5))];
    recovery_after_the_death_of_one_of_two: 2 instances, DEATH_LIMIT_MS + 3_000, [(0, Fault::Kill(1))];
    recovery_after_a_quick_restart: 8 instances, DEATH_LIMIT_MS, [(0, Fault::Kill(3)), (300, Fault::Restart(3))];
    recovery_after_restart_of_a_lone_instance: 1 instances, DEATH_LIMIT_MS, [(0, Fault::Kill(0)), (300, Fault::Restart(0))];
    recovery_after_restart_of_one_of_two: 2 instances, DEATH_LIMIT_MS, [(0, Fault::Kill(1)), (300, Fault::Restart(1))];
    recovery_after_a_death_while_half_of_the_members_are_cut_from_the_store: 8 instances, DEATH_LIMIT_MS + 2_000, [(0, Fault::StoreCut(0b1111)), (0, Fault::Kill(3))];
    recovery_after_a_death_while_the_store_loses_answers: 8 instances, DEATH_LIMIT_MS + 4_000, [(0, Fault::Store(Condition::Losing)), (0, Fault::Kill(3))];
    recovery_after_the_loss_of_a_data_centre: 9 instances, DEATH_LIMIT_MS, [(0, Fault::Kill(0)), (0, Fault::Kill(3)), (0, Fault::Kill(6))];
    recovery_after_the_loss_of_most_members: 5 instances, RECOVERY_LIMIT_MS, [(0, Fault::Kill(0)), (0, Fault::Kill(1)), (0, Fault::Kill(2))];
    recovery_after_restart_of_all: 8 instances, RECOVERY_LIMIT_MS, [
        (0, Fault::Kill(0)), (0, Fault::Kill(1)), (0, Fault::Kill(2)), (0, Fault::Kill(3)),
        (0, Fault::Kill(4)), (0, Fault::Kill(5)), (0, Fault::Kill(6)), (0, Fault::Kill(7)),
        (500, Fault::Restart(0)), (0, Fault::Restart(1)), (0, Fault::Restart(2)), (0, Fault::Restart(3)),
        (0, Fault::Restart(4)), (0, Fault::Restart(5)), (0, Fault::Restart(6)), (0, Fault::Restart(7)),
    ];
    recovery_after_the_replacement_of_all_by_one: 3 instances, RECOVERY_LIMIT_MS, [
        (0, Fault::Kill(0)), (0, Fault::Kill(1)), (0, Fault::Kill(2)), (500, Fault::Restart(1)),
    ];
    keys_keep_their_owners_in_a_store_outage: 8 instances, 0, [(0, Fault::Store(Condition::Down)), (60_000, Fault::Loss(5))];
    keys_have_owners_after_a_stop_in_a_store_outage: 8 instances, 0, [(0, Fault::Store(Condition::Down)), (0, Fault::Leave(2)), (2_500, Fault::Loss(0)), (5_000, Fault::Loss(0))];
    keys_have_owners_after_two_stops_in_a_store_outage: 8 instances, 0, [(0, Fault::Store(Condition::Down)), (0, Fault::Leave(2)), (0, Fault::Leave(6)), (8_000, Fault::Loss(0))];
    recovery_after_a_stop_in_a_store_outage_that_ends: 8 instances, DEATH_LIMIT_MS, [(0, Fault::Store(Condition::Down)), (0, Fault::Leave(2)), (2_600, Fault::Heal)];
    recovery_after_a_graceful_stop: 8 instances, 1_500, [(0, Fault::Leave(2)), (700, Fault::Loss(0))];
    recovery_after_a_stop_while_others_are_cut_from_the_store: 8 instances, DEATH_LIMIT_MS, [(0, Fault::StoreCut(0b1111)), (0, Fault::Leave(7)), (6_000, Fault::Loss(0))];
}

/// An empty instance list, for example by a fault of the platform, must not remove members that run and
/// reach each other.
#[test]
fn an_empty_list_changes_nothing() {
    let mut sim = Simulation::start(8, 1);
    sim.run(20_000);
    let number = sim.view_number();
    sim.inject(&Fault::EmptyList);
    sim.run(30_000);
    assert_eq!(sim.view_number(), number);
    assert_eq!(sim.settle(0), Some(0));
}

/// While the store is down and one member dies, the other members must go on acting for their keys.
#[test]
fn a_death_in_a_store_outage_affects_only_its_own_keys() {
    let mut sim = Simulation::start(8, 1);
    sim.run(20_000);
    let dead_owner_keys = sim.owned_by(3);
    let all = sim.acting_keys();
    sim.run_script(&[
        (0, Fault::Store(Condition::Down)),
        (0, Fault::Kill(3)),
        (30_000, Fault::Loss(0)),
    ]);
    assert_eq!(sim.acting_keys(), all & !dead_owner_keys);
}

/// A minority that alone reaches the store must not take over keys; the majority goes on acting for
/// its own.
#[test]
fn a_minority_with_access_to_the_store_takes_no_keys() {
    let mut sim = Simulation::start(5, 1);
    sim.run(20_000);
    let number = sim.view_number();
    let minority_keys = sim.owned_by(0) | sim.owned_by(1);
    sim.run_script(&[
        (0, Fault::Partition(0b11)),
        (0, Fault::StoreCut(0b11100)),
        (30_000, Fault::Loss(0)),
    ]);
    assert_eq!(sim.view_number(), number);
    assert_eq!(sim.owned_by(0) | sim.owned_by(1), minority_keys);
    assert_eq!(sim.settle(0), Some(0));
}

/// An owner is cut off just as a newcomer takes over its keys. It goes on acting until its lease expires,
/// so the newcomer must wait that long, also with different clock rates.
#[test]
fn an_owner_cut_off_as_the_view_changes_stops_acting_in_time() {
    for seed in 0..60 {
        // The owner's clock is slow and the newcomer's is fast.
        let mut sim = Simulation::start_with_rates(&[1_000, 960, 1_000, 1_000, 1_040], seed);
        sim.run(3_000);
        sim.run_script(&[(0, Fault::Kill(4)), (7_000, Fault::Restart(4))]);
        let number = sim.view_number();
        while sim.view_number() == number {
            sim.run(1);
        }
        // Instances 1 and 4 are in one data centre, so the newcomer 4 takes over keys of 1.
        sim.inject(&Fault::StoreCut(0b10));
        sim.inject(&Fault::Partition(0b10));
        sim.run(5_000);
    }
}

/// Runs until the view changes, and cuts one member off before it learns of the new view.
fn cut_off_at_the_next_view(sim: &mut Simulation, member: usize) {
    let number = sim.view_number();
    while sim.view_number() == number {
        sim.run(1);
    }
    let mask = 1 << member;
    sim.run_script(&[(0, Fault::StoreCut(mask)), (0, Fault::Partition(mask))]);
    sim.run(5_000);
}

/// A member delegates its keys, ends and restarts. Its new incarnation must not act for the keys while
/// the members that they were delegated to may still act.
#[test]
fn a_restarted_member_does_not_take_back_delegated_keys() {
    for seed in 0..20 {
        let mut sim = Simulation::start(5, seed);
        sim.run(5_000);
        sim.run_script(&[(0, Fault::Store(Condition::Down)), (0, Fault::Leave(2))]);
        sim.run_script(&[(6_000, Fault::Restart(2)), (4_000, Fault::Loss(0))]);
        assert_eq!(sim.settle(0), Some(0), "{}", sim.describe());
        sim.inject(&Fault::Heal);
        cut_off_at_the_next_view(&mut sim, [0, 1, 3, 4][seed as usize % 4]);
    }
}

/// A member delegates its keys and then adopts the next view, in which a newcomer owns them. That the
/// member is in the later view must not count for the members it delegated to: they may still act in the
/// earlier one.
#[test]
fn a_later_view_of_a_delegating_member_does_not_release_the_recipients() {
    for seed in 0..20 {
        let mut sim = Simulation::start(5, seed);
        sim.run(3_000);
        sim.inject(&Fault::Kill(4));
        sim.run(8_000);
        sim.run_script(&[(0, Fault::Store(Condition::Down)), (0, Fault::Restart(4))]);
        sim.run_script(&[(4_500, Fault::Leave(1)), (2_300, Fault::Heal)]);
        cut_off_at_the_next_view(&mut sim, [0, 2, 3][seed as usize % 3]);
    }
}

/// The list of open earlier views must stay bounded while members keep restarting.
#[test]
fn the_stored_view_stays_small() {
    let mut sim = Simulation::start(8, 1);
    sim.run(5_000);
    for round in 0..60 {
        let index = round % 8;
        sim.run_script(&[(300, Fault::Kill(index)), (400, Fault::Restart(index))]);
        assert!(sim.open_views() <= 16, "{} earlier views", sim.open_views());
    }
    assert!(
        sim.settle(RECOVERY_LIMIT_MS).is_some(),
        "{}",
        sim.describe()
    );
}

/// Two members that cannot reach each other, while all others reach both, must not keep removing each
/// other from the view.
#[test]
fn a_cut_between_two_members_causes_few_view_changes() {
    for cuts in [vec![(1, 2), (2, 1)], vec![(1, 2)]] {
        let mut sim = Simulation::start(8, 1);
        sim.run(20_000);
        let number = sim.view_number();
        for (from, to) in &cuts {
            sim.inject(&Fault::Cut(*from, *to));
        }
        let mut without_owner = 0;
        for _ in 0..600 {
            sim.run(100);
            without_owner += u32::from(sim.settle(0).is_none());
        }
        let changes = sim.view_number() - number;
        assert!(
            changes <= 4,
            "{cuts:?}: {changes} views in 60 s, some key had no acting owner in {without_owner} of 600 checks"
        );
    }
}
