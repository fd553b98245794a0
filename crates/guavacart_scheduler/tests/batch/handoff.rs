//! Tests of tasks that move between cells.

use std::collections::BTreeSet;

use crate::simulation::{Fault, Setup, Simulation, job};
use guavacart_scheduler::batch::{
    BatchEvent,
    call::{JobReply, JobStatus},
    job::JobSpec,
};
use guavacart_types::JobId;

fn status(sim: &mut Simulation, id: &JobId) -> JobStatus {
    let job = id.clone();
    let reply = sim.repeat_call(60_000, |call| BatchEvent::Queried {
        call,
        job: job.clone(),
    });
    match reply {
        JobReply::Status(status) => *status,
        other => panic!("{other:?}"),
    }
}

fn run(setup: Setup, jobs: &[JobSpec]) -> Simulation {
    let mut sim = Simulation::new(setup);
    for job in jobs {
        sim.submit(job);
    }
    let ids: Vec<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
    sim.finish(&ids, 600_000);
    for job in jobs {
        let counts = status(&mut sim, &job.id).summary.counts;
        assert_eq!(counts.finished, job.tasks, "{counts:?}");
    }
    sim
}

fn two_cells() -> Setup {
    Setup {
        nodes: 3,
        workers: 8,
        cells: 2,
        ..Setup::default()
    }
}

/// Jobs whose tasks are too large for the workers of cell 0 and fit only in cell 1.
fn large_jobs() -> Vec<JobSpec> {
    let names = (0..6).map(|n| format!("large{n}"));
    names.map(|n| job(&n, 12, 4, 900)).collect()
}

#[test]
fn a_full_origin_cell_sends_tasks_to_another_cell_and_gets_their_results() {
    for seed in 1..4 {
        let setup = Setup {
            seed,
            ..two_cells()
        };
        let sim = run(setup, &[job("j", 120, 2, 2_000)]);
        assert!(sim.starts.iter().all(|n| *n > 0), "{:?}", sim.starts);
        assert_eq!(sim.starts.iter().sum::<u64>(), 120);
        assert!(sim.history.received >= 16, "{:?}", sim.history.received);
    }
}

#[test]
fn tasks_that_fit_only_in_another_cell_are_accepted_and_run_there() {
    let setup = Setup {
        small: BTreeSet::from([0]),
        ..two_cells()
    };
    let sim = run(setup, &large_jobs());
    assert!(sim.history.received > 0);
    let small = sim.starts.iter().step_by(2);
    assert_eq!(small.sum::<u64>(), 0);
}

#[test]
fn a_job_is_accepted_while_the_only_large_enough_worker_is_down() {
    let setup = Setup {
        workers: 2,
        small: BTreeSet::from([0]),
        faults: vec![Fault::WorkerKill {
            at: 1_500,
            worker: 1,
            ms: 20_000,
        }],
        ..two_cells()
    };
    let mut sim = Simulation::new(setup);
    let listed = sim.now + 8_000;
    sim.run_while(listed, |_| true);
    let jobs = large_jobs();
    for job in &jobs {
        sim.submit(job);
    }
    let ids: Vec<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
    sim.finish(&ids, 300_000);
}

#[test]
fn the_status_in_the_origin_cell_names_the_cell_that_holds_a_task() {
    let mut sim = Simulation::new(two_cells());
    let spec = job("j", 60, 2, 8_000);
    sim.submit(&spec);
    let end = sim.now + 30_000;
    assert!(sim.run_while(end, |sim| sim.running() < 32));
    let pause = sim.now + 1_000;
    sim.run_while(pause, |_| true);
    let status = status(&mut sim, &spec.id);
    assert!(status.summary.counts.elsewhere >= 16, "{status:?}");
    let is_held_elsewhere = |d: &str| d.starts_with("held by cell c");
    assert!(
        status.tasks.iter().any(|t| is_held_elsewhere(&t.decision)),
        "{status:#?}"
    );
}

#[test]
fn a_cancellation_reaches_tasks_in_other_cells() {
    for (seed, lost_percent) in [(1, 0), (2, 0), (3, 8), (4, 8)] {
        let mut sim = Simulation::new(Setup {
            seed,
            lost_percent,
            ..two_cells()
        });
        let spec = job("j", 200, 1, 6_000);
        sim.submit(&spec);
        let end = sim.now + 30_000;
        sim.run_while(end, |sim| sim.history.received < 20);
        let jobs = vec![spec.id.clone()];
        let reply = sim.repeat_call(60_000, |call| BatchEvent::Cancelled {
            call,
            jobs: jobs.clone(),
        });
        assert!(matches!(reply, JobReply::Cancelled(_)), "{reply:?}");
        let starts: u64 = sim.starts.iter().sum();
        sim.finish(&jobs, 60_000);
        assert_eq!(sim.starts.iter().sum::<u64>(), starts);
        assert_eq!(sim.running(), 0);
        let counts = status(&mut sim, &spec.id).summary.counts;
        assert_eq!(counts.finished + counts.cancelled, 200, "{counts:?}");
    }
}

#[test]
fn a_repeated_submission_after_a_cell_joined_returns_the_same_job() {
    for seed in 1..4 {
        let mut sim = Simulation::new(Setup {
            seed,
            joining: 1,
            lost_percent: 3,
            ..two_cells()
        });
        let names = (0..20).map(|n| format!("job{n}"));
        let jobs: Vec<JobSpec> = names.map(|n| job(&n, 8, 2, 2_000)).collect();
        for job in &jobs {
            sim.submit(job);
        }
        sim.reconfigure(3_000);
        for job in &jobs {
            sim.submit(job);
        }
        let ids: Vec<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
        sim.finish(&ids, 300_000);
        for job in &jobs {
            sim.submit(job);
            let counts = status(&mut sim, &job.id).summary.counts;
            assert_eq!(counts.finished, job.tasks, "{counts:?}");
        }
        assert!(sim.history.received > 0);
    }
}

macro_rules! moved_tasks_finish_once {
    ($($name:ident: $setup:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup { small: BTreeSet::from([0]), ..$setup };
            let last_fault_at = setup.faults.iter().map(Fault::at).max().unwrap_or(0);
            let mut jobs = large_jobs();
            jobs.push(job("wide", 400, 2, 1_500));
            let sim = run(setup, &jobs);
            assert!(sim.now > last_fault_at, "the tasks finished before the last fault");
            assert!(sim.history.received > 0);
        }
    )*};
}

moved_tasks_finish_once! {
    moved_tasks_finish_once_with_lost_and_repeated_messages: Setup {
        lost_percent: 20, ..two_cells()
    };
    moved_tasks_finish_once_with_late_messages: Setup {
        lost_percent: 5, slow_percent: 10, ..two_cells()
    };
    moved_tasks_finish_once_while_owners_crash: Setup {
        lost_percent: 5,
        faults: (0..6).map(|n| Fault::Kill { at: 6_000 + 6_000 * n, node: n as usize, ms: 4_000 })
            .collect(),
        ..two_cells()
    };
    moved_tasks_finish_once_while_owners_pause: Setup {
        lost_percent: 5,
        faults: (0..8).map(|n| Fault::Pause { at: 5_000 + 5_000 * n, node: n as usize, ms: 4_500 })
            .collect(),
        ..two_cells()
    };
    moved_tasks_finish_once_during_a_store_outage_with_crashed_workers: Setup {
        lost_percent: 5,
        faults: vec![
            Fault::Outage { at: 8_000, ms: 15_000 },
            Fault::WorkerKill { at: 7_000, worker: 1, ms: 20_000 },
            Fault::WorkerPause { at: 9_000, worker: 3, ms: 20_000 },
        ],
        ..two_cells()
    };
}
