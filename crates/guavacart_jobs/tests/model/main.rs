//! Tests of the reducer in a simulation of executors, store and owners, with random faults.
//!
//! `GUAVACART_CASES` sets the number of seeds to run and `GUAVACART_SEED` the first one.

mod executor;
mod invariants;
mod simulation;
#[path = "../support/site.rs"]
mod site;

use std::env;

use simulation::{Faults, Simulation};

/// Number of seeds for each kind of fault if `GUAVACART_CASES` is not set.
const DEFAULT_CASES: u64 = 12;

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
}

fn run_seeds(faults: Faults) {
    let first = env_number("GUAVACART_SEED", 1);
    for seed in first..first + env_number("GUAVACART_CASES", DEFAULT_CASES) {
        run_seed(seed, faults);
    }
}

fn run_seed(seed: u64, faults: Faults) {
    let mut simulation = Simulation::new(seed, faults);
    simulation.run();
    simulation.assert_all_jobs_ended();
}

/// Guards against the loss of an ended run. A start reaches a restarted executor, and the owner's
/// next hold acknowledges ends up to a number from the earlier incarnation, so that the executor
/// drops the end of the new run before the owner has read it.
#[test]
fn an_end_of_a_new_incarnation_is_not_acknowledged_unread() {
    let crashes = Faults {
        executor_crashes: 4,
        ..Faults::default()
    };
    run_seed(5_057, crashes);
}

/// Guards against a job that two owners start. An owner that can reach neither the store nor other
/// nodes receives a job that its successor starts too.
#[test]
fn an_owner_with_an_unconfirmed_lease_accepts_no_jobs() {
    run_seed(21_626, all_faults_combined());
}

/// Guards against a job that fails because executors crash before they have started its task.
#[test]
fn a_job_does_not_fail_by_crashes_before_its_starts() {
    run_seed(678, tasks_and_other_causes());
}

fn tasks_and_other_causes() -> Faults {
    Faults {
        crashing_jobs: 2,
        executor_crashes: 4,
        executor_disconnects: 2,
        ..Faults::default()
    }
}

fn all_faults_combined() -> Faults {
    Faults {
        owner_crashes: 2,
        owner_overlaps: 2,
        lost_answers: 0.05,
        delayed_orders: 0.05,
        executor_crashes: 2,
        executor_disconnects: 2,
        store_outages: 1,
        missing_entries: true,
        crashing_jobs: 0,
    }
}

macro_rules! invariants_hold {
    ($($name:ident: $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            run_seeds($faults);
        }
    )*};
}

invariants_hold! {
    invariants_hold_without_faults: Faults::default();
    invariants_hold_when_owners_crash: Faults { owner_crashes: 4, ..Faults::default() };
    invariants_hold_when_owners_overlap: Faults { owner_overlaps: 4, ..Faults::default() };
    invariants_hold_when_answers_are_lost: Faults { lost_answers: 0.1, ..Faults::default() };
    invariants_hold_when_orders_are_delayed: Faults { delayed_orders: 0.1, ..Faults::default() };
    invariants_hold_when_executors_crash: Faults { executor_crashes: 4, ..Faults::default() };
    invariants_hold_when_executors_are_disconnected: Faults {
        executor_disconnects: 4,
        ..Faults::default()
    };
    invariants_hold_when_entries_are_missing_and_owners_crash: Faults {
        missing_entries: true,
        owner_crashes: 2,
        ..Faults::default()
    };
    invariants_hold_when_the_store_is_unavailable: Faults { store_outages: 2, ..Faults::default() };
    invariants_hold_when_tasks_crash_executors: Faults { crashing_jobs: 2, ..Faults::default() };
    invariants_hold_when_tasks_crash_executors_and_owners_crash: Faults {
        crashing_jobs: 2,
        owner_crashes: 2,
        ..Faults::default()
    };
    invariants_hold_when_tasks_and_other_causes_crash_executors: tasks_and_other_causes();
    invariants_hold_with_all_faults_combined: all_faults_combined();
}
