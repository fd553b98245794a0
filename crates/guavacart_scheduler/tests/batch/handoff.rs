//! Tasks that move between cells.

use std::collections::BTreeSet;

use crate::model::{Fault, Setup, World, job};
use guavacart_scheduler::batch::{
    BatchEvent,
    call::{JobReply, JobStatus},
    job::JobSpec,
};
use guavacart_types::JobId;

fn status(world: &mut World, id: &JobId) -> JobStatus {
    let job = id.clone();
    let reply = world.ask(60_000, |call| BatchEvent::Queried {
        call,
        job: job.clone(),
    });
    match reply {
        JobReply::Status(status) => *status,
        other => panic!("{other:?}"),
    }
}

fn run(setup: Setup, jobs: &[JobSpec]) -> World {
    let mut world = World::new(setup);
    for job in jobs {
        world.submit(job);
    }
    let ids: Vec<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
    world.finish(&ids, 600_000);
    for job in jobs {
        let counts = status(&mut world, &job.id).summary.counts;
        assert_eq!(counts.finished, job.tasks, "{counts:?}");
    }
    world
}

fn two_cells() -> Setup {
    Setup {
        nodes: 3,
        workers: 8,
        cells: 2,
        ..Setup::default()
    }
}

/// Jobs of a shape that only cell 1 holds.
fn large_jobs() -> Vec<JobSpec> {
    let names = (0..6).map(|n| format!("large{n}"));
    names.map(|n| job(&n, 12, 4, 900)).collect()
}

#[test]
fn a_full_home_sends_tasks_to_a_cell_with_room_and_gets_their_results() {
    for seed in 1..4 {
        let setup = Setup {
            seed,
            ..two_cells()
        };
        let world = run(setup, &[job("j", 120, 2, 2_000)]);
        assert!(world.starts.iter().all(|n| *n > 0), "{:?}", world.starts);
        assert_eq!(world.starts.iter().sum::<u64>(), 120);
        assert!(world.history.received >= 16, "{:?}", world.history.received);
    }
}

#[test]
fn a_shape_that_only_another_cell_holds_is_accepted_and_runs_there() {
    let setup = Setup {
        small: BTreeSet::from([0]),
        ..two_cells()
    };
    let world = run(setup, &large_jobs());
    assert!(world.history.received > 0);
    let small = world.starts.iter().step_by(2);
    assert_eq!(small.sum::<u64>(), 0);
}

#[test]
fn a_shape_is_accepted_while_the_only_worker_that_holds_it_is_away() {
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
    let mut world = World::new(setup);
    let listed = world.now + 8_000;
    world.run_while(listed, |_| true);
    let jobs = large_jobs();
    for job in &jobs {
        world.submit(job);
    }
    let ids: Vec<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
    world.finish(&ids, 300_000);
}

#[test]
fn the_status_at_home_names_the_cell_that_holds_a_task() {
    let mut world = World::new(two_cells());
    let spec = job("j", 60, 2, 8_000);
    world.submit(&spec);
    let end = world.now + 30_000;
    assert!(world.run_while(end, |world| world.running() < 32));
    let pause = world.now + 1_000;
    world.run_while(pause, |_| true);
    let status = status(&mut world, &spec.id);
    assert!(status.summary.counts.elsewhere >= 16, "{status:?}");
    let held = |d: &str| d.starts_with("held by cell c");
    assert!(
        status.tasks.iter().any(|t| held(&t.decision)),
        "{status:#?}"
    );
}

#[test]
fn a_cancellation_follows_tasks_into_other_cells() {
    for (seed, lost_percent) in [(1, 0), (2, 0), (3, 8), (4, 8)] {
        let mut world = World::new(Setup {
            seed,
            lost_percent,
            ..two_cells()
        });
        let spec = job("j", 200, 1, 6_000);
        world.submit(&spec);
        let end = world.now + 30_000;
        world.run_while(end, |world| world.history.received < 20);
        let jobs = vec![spec.id.clone()];
        let reply = world.ask(60_000, |call| BatchEvent::Cancelled {
            call,
            jobs: jobs.clone(),
        });
        assert!(matches!(reply, JobReply::Cancelled(_)), "{reply:?}");
        let starts: u64 = world.starts.iter().sum();
        world.finish(&jobs, 60_000);
        assert_eq!(world.starts.iter().sum::<u64>(), starts);
        assert_eq!(world.running(), 0);
        let counts = status(&mut world, &spec.id).summary.counts;
        assert_eq!(counts.finished + counts.cancelled, 200, "{counts:?}");
    }
}

#[test]
fn a_repeat_after_a_cell_joined_is_the_same_job() {
    for seed in 1..4 {
        let mut world = World::new(Setup {
            seed,
            joining: 1,
            lost_percent: 3,
            ..two_cells()
        });
        let names = (0..20).map(|n| format!("job{n}"));
        let jobs: Vec<JobSpec> = names.map(|n| job(&n, 8, 2, 2_000)).collect();
        for job in &jobs {
            world.submit(job);
        }
        world.reconfigure(3_000);
        for job in &jobs {
            world.submit(job);
        }
        let ids: Vec<JobId> = jobs.iter().map(|job| job.id.clone()).collect();
        world.finish(&ids, 300_000);
        for job in &jobs {
            world.submit(job);
            let counts = status(&mut world, &job.id).summary.counts;
            assert_eq!(counts.finished, job.tasks, "{counts:?}");
        }
        assert!(world.history.received > 0);
    }
}

macro_rules! moved_tasks_finish_once {
    ($($name:ident: $setup:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup { small: BTreeSet::from([0]), ..$setup };
            let last = setup.faults.iter().map(Fault::at).max().unwrap_or(0);
            let mut jobs = large_jobs();
            jobs.push(job("wide", 400, 2, 1_500));
            let world = run(setup, &jobs);
            assert!(world.now > last, "the work ended before the last fault");
            assert!(world.history.received > 0);
        }
    )*};
}

moved_tasks_finish_once! {
    over_lost_and_repeated_messages: Setup { lost_percent: 20, ..two_cells() };
    over_late_messages: Setup { lost_percent: 5, slow_percent: 10, ..two_cells() };
    while_owners_die: Setup {
        lost_percent: 5,
        faults: (0..6).map(|n| Fault::Kill { at: 6_000 + 6_000 * n, node: n as usize, ms: 4_000 })
            .collect(),
        ..two_cells()
    };
    while_owners_pause: Setup {
        lost_percent: 5,
        faults: (0..8).map(|n| Fault::Pause { at: 5_000 + 5_000 * n, node: n as usize, ms: 4_500 })
            .collect(),
        ..two_cells()
    };
    over_an_outage_and_dead_workers: Setup {
        lost_percent: 5,
        faults: vec![
            Fault::Outage { at: 8_000, ms: 15_000 },
            Fault::WorkerKill { at: 7_000, worker: 1, ms: 20_000 },
            Fault::WorkerPause { at: 9_000, worker: 3, ms: 20_000 },
        ],
        ..two_cells()
    };
}
