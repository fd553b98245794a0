//! Tests of team quotas over several cells. The simulation checks the quota after every record.

use crate::simulation::{Fault, Setup, Simulation, job, resources};
use guavacart_scheduler::batch::job::JobSpec;
use guavacart_types::JobId;

fn three_cells(quota: u64) -> Setup {
    Setup {
        nodes: 3,
        workers: 6,
        cells: 3,
        quota: Some(resources(quota)),
        ..Setup::default()
    }
}

fn jobs(count: usize, tasks: u32, cores: u64, run_ms: u64) -> Vec<JobSpec> {
    let names = (0..count).map(|n| format!("job{n}"));
    names.map(|n| job(&n, tasks, cores, run_ms)).collect()
}

fn submit(setup: Setup, jobs: &[JobSpec]) -> (Simulation, Vec<JobId>) {
    let mut sim = Simulation::new(setup);
    for job in jobs {
        sim.submit(job);
    }
    (sim, jobs.iter().map(|job| job.id.clone()).collect())
}

#[test]
fn one_cell_may_use_a_teams_whole_quota() {
    for name in ["a", "b", "c", "d", "e"] {
        let (mut sim, ids) = submit(three_cells(12), &[job(name, 60, 2, 1_500)]);
        let end = sim.now + 20_000;
        assert!(sim.run_while(end, |sim| sim.running() < 6), "{name}");
        sim.finish(&ids, 120_000);
    }
}

#[test]
fn tasks_as_large_as_the_quota_run_one_after_the_other_in_all_cells() {
    let (mut sim, ids) = submit(three_cells(8), &jobs(6, 2, 8, 1_000));
    sim.finish(&ids, 240_000);
    assert_eq!(sim.starts.iter().sum::<u64>(), 12);
}

macro_rules! keeps_the_quota {
    ($($name:ident: $setup:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..4 {
                let setup = Setup { seed, ..$setup };
                let (mut sim, ids) = submit(setup, &jobs(12, 20, 2, 1_500));
                sim.reconfigure(2_000);
                sim.finish(&ids, 400_000);
            }
        }
    )*};
}

keeps_the_quota! {
    quota_is_kept_while_the_quota_shrinks: Setup {
        later_quota: Some(resources(8)), ..three_cells(20)
    };
    quota_is_kept_while_the_quota_grows: Setup {
        later_quota: Some(resources(24)), ..three_cells(8)
    };
    quota_is_kept_while_a_cell_joins: Setup { joining: 1, ..three_cells(12) };
    quota_is_kept_during_faults: Setup {
        lost_percent: 5,
        slow_percent: 5,
        later_quota: Some(resources(9)),
        faults: (0..6).map(|n| match n % 2 {
            0 => Fault::Kill { at: 8_000 + 6_000 * n, node: n as usize, ms: 5_000 },
            _ => Fault::Pause { at: 8_000 + 6_000 * n, node: n as usize, ms: 5_000 },
        }).collect(),
        ..three_cells(12)
    };
}

#[test]
fn a_reduced_quota_applies_once_earlier_tasks_have_ended() {
    let setup = Setup {
        later_quota: Some(resources(8)),
        ..three_cells(20)
    };
    let (mut sim, ids) = submit(setup, &jobs(12, 20, 2, 1_500));
    let end = sim.now + 20_000;
    assert!(sim.run_while(end, |sim| sim.running() < 9));
    sim.reconfigure(2_000);
    let settled = sim.now + 15_000;
    sim.run_while(settled, |_| true);
    let end = sim.now + 10_000;
    let exceeded = sim.run_while(end, |sim| sim.running() <= 4);
    assert!(!exceeded, "{} tasks run", sim.running());
    assert!(sim.running() > 0);
    sim.finish(&ids, 400_000);
}
