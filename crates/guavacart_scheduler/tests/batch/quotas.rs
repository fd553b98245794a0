//! Team quotas over several cells; the model checks after every record that they are kept.

use crate::model::{Fault, Setup, World, job, shape};
use guavacart_scheduler::batch::job::JobSpec;
use guavacart_types::JobId;

fn three_cells(quota: u64) -> Setup {
    Setup {
        nodes: 3,
        workers: 6,
        cells: 3,
        quota: Some(shape(quota)),
        ..Setup::default()
    }
}

fn jobs(count: usize, tasks: u32, cores: u64, run_ms: u64) -> Vec<JobSpec> {
    let names = (0..count).map(|n| format!("job{n}"));
    names.map(|n| job(&n, tasks, cores, run_ms)).collect()
}

fn submit(setup: Setup, jobs: &[JobSpec]) -> (World, Vec<JobId>) {
    let mut world = World::new(setup);
    for job in jobs {
        world.submit(job);
    }
    (world, jobs.iter().map(|job| job.id.clone()).collect())
}

#[test]
fn one_cell_may_use_a_teams_whole_quota() {
    for name in ["a", "b", "c", "d", "e"] {
        let (mut world, ids) = submit(three_cells(12), &[job(name, 60, 2, 1_500)]);
        let end = world.now + 20_000;
        assert!(world.run_while(end, |world| world.running() < 6), "{name}");
        world.finish(&ids, 120_000);
    }
}

#[test]
fn tasks_as_large_as_the_quota_run_one_after_the_other_in_all_cells() {
    let (mut world, ids) = submit(three_cells(8), &jobs(6, 2, 8, 1_000));
    world.finish(&ids, 240_000);
    assert_eq!(world.starts.iter().sum::<u64>(), 12);
}

macro_rules! keeps_the_quota {
    ($($name:ident: $setup:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..4 {
                let setup = Setup { seed, ..$setup };
                let (mut world, ids) = submit(setup, &jobs(12, 20, 2, 1_500));
                world.reconfigure(2_000);
                world.finish(&ids, 400_000);
            }
        }
    )*};
}

keeps_the_quota! {
    while_it_shrinks: Setup { later_quota: Some(shape(8)), ..three_cells(20) };
    while_it_grows: Setup { later_quota: Some(shape(24)), ..three_cells(8) };
    while_a_cell_joins: Setup { joining: 1, ..three_cells(12) };
    under_faults: Setup {
        lost_percent: 5,
        slow_percent: 5,
        later_quota: Some(shape(9)),
        faults: (0..6).map(|n| match n % 2 {
            0 => Fault::Kill { at: 8_000 + 6_000 * n, node: n as usize, ms: 5_000 },
            _ => Fault::Pause { at: 8_000 + 6_000 * n, node: n as usize, ms: 5_000 },
        }).collect(),
        ..three_cells(12)
    };
}

#[test]
fn a_smaller_quota_holds_once_earlier_tasks_have_ended() {
    let setup = Setup {
        later_quota: Some(shape(8)),
        ..three_cells(20)
    };
    let (mut world, ids) = submit(setup, &jobs(12, 20, 2, 1_500));
    let end = world.now + 20_000;
    assert!(world.run_while(end, |world| world.running() < 9));
    world.reconfigure(2_000);
    let settled = world.now + 15_000;
    world.run_while(settled, |_| true);
    let end = world.now + 10_000;
    let passed = world.run_while(end, |world| world.running() <= 4);
    assert!(!passed, "{} tasks run", world.running());
    assert!(world.running() > 0);
    world.finish(&ids, 400_000);
}
