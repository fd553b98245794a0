//! One case for each promise and each fault.

use std::collections::BTreeSet;

use crate::model::{Fault, Setup, World, job, shape};
use guavacart_scheduler::{
    batch::{
        BatchEffect, BatchEvent, CellNote, RecordRead,
        call::{JobReply, RejectReason},
        job::{JobSpec, Priority, Spread},
        journal::{Appended, Change, Record},
    },
    membership::Member,
};
use guavacart_types::{CellId, JobId, Span};
use rstest::rstest;

fn ids(jobs: &[JobSpec]) -> Vec<JobId> {
    jobs.iter().map(|job| job.id.clone()).collect()
}

fn jobs(count: usize, tasks: u32, cores: u64, run_ms: u64) -> Vec<JobSpec> {
    let names = (0..count).map(|n| format!("job{n}"));
    names.map(|n| job(&n, tasks, cores, run_ms)).collect()
}

fn submit_all(world: &mut World, jobs: &[JobSpec]) {
    for job in jobs {
        world.submit(job);
    }
}

fn finished(world: &mut World, id: &JobId) -> u32 {
    let job = id.clone();
    match world.ask(60_000, |call| BatchEvent::Queried {
        call,
        job: job.clone(),
    }) {
        JobReply::Status(status) => status.summary.counts.finished,
        other => panic!("{other:?}"),
    }
}

fn run_to_the_end(setup: Setup, jobs: &[JobSpec], limit: u64) -> World {
    let mut world = World::new(setup);
    submit_all(&mut world, jobs);
    world.finish(&ids(jobs), limit);
    for job in jobs {
        assert_eq!(finished(&mut world, &job.id), job.tasks);
    }
    world
}

macro_rules! finishes_exactly_once {
    ($($name:ident: $setup:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = $setup;
            let last = setup.faults.iter().map(Fault::at).max().unwrap_or(0);
            let world = run_to_the_end(setup, &jobs(40, 8, 2, 1_500), 240_000);
            assert!(world.now > last, "the work ended before the last fault");
        }
    )*};
}

finishes_exactly_once! {
    without_faults: Setup::default();
    with_lost_answers: Setup { lost_percent: 5, ..Setup::default() };
    over_an_outage: Setup {
        faults: vec![Fault::Outage { at: 12_000, ms: 30_000 }],
        ..Setup::default()
    };
    with_three_instances_and_cells: Setup { nodes: 3, workers: 6, cells: 3, ..Setup::default() };
    when_owners_die: Setup {
        nodes: 3,
        faults: (0..3).map(|node| Fault::Kill { at: 9_000, node, ms: 9_000 + 9_000 * node as u64 })
            .collect(),
        ..Setup::default()
    };
    when_owners_pause: Setup {
        nodes: 3,
        lost_percent: 5,
        faults: (0..6).map(|n| Fault::Pause { at: 8_000 + 7_000 * n, node: n as usize, ms: 6_000 })
            .collect(),
        ..Setup::default()
    };
    when_workers_die_and_pause: Setup {
        lost_percent: 5,
        faults: vec![
            Fault::WorkerKill { at: 6_000, worker: 0, ms: 40_000 },
            Fault::WorkerPause { at: 6_100, worker: 1, ms: 55_000 },
            Fault::WorkerPause { at: 6_200, worker: 2, ms: 5_000 },
        ],
        ..Setup::default()
    };
    when_calls_arrive_late: Setup {
        nodes: 3,
        lost_percent: 5,
        slow_percent: 5,
        faults: (0..8).map(|n| Fault::Pause { at: 8_000 + 5_000 * n, node: n as usize, ms: 4_500 })
            .collect(),
        ..Setup::default()
    };
    beside_a_worker_that_fails_everything: Setup {
        failing: BTreeSet::from([0]),
        ..Setup::default()
    };
}

#[test]
fn a_repeated_submission_is_the_same_job_and_another_body_conflicts() {
    let mut world = World::new(Setup::default());
    let spec = job("j", 3, 1, 500);
    world.submit(&spec);
    world.submit(&spec);
    let other = Box::new(job("j", 4, 1, 500));
    let reply = world.ask(20_000, |call| BatchEvent::Submitted {
        call,
        spec: other.clone(),
    });
    assert_eq!(reply, JobReply::Conflict(spec.id.clone()));
    world.finish(std::slice::from_ref(&spec.id), 60_000);
    assert_eq!(world.starts.iter().sum::<u64>(), 3);
}

#[test]
fn a_shape_that_no_worker_holds_is_rejected_with_the_largest_that_fits() {
    let mut world = World::new(Setup::default());
    let spec = Box::new(job("j", 1, 9, 500));
    let reply = world.ask(20_000, |call| BatchEvent::Submitted {
        call,
        spec: spec.clone(),
    });
    let largest = shape(8);
    assert_eq!(
        reply,
        JobReply::Rejected(RejectReason::TooLarge { largest })
    );
}

#[test]
fn nothing_of_a_cancelled_job_starts_after_the_answer() {
    let mut world = World::new(Setup::default());
    let spec = job("j", 200, 1, 3_000);
    world.submit(&spec);
    let pause = world.now + 1_000;
    world.run_while(pause, |_| true);
    let jobs = vec![spec.id.clone()];
    let reply = world.ask(20_000, |call| BatchEvent::Cancelled {
        call,
        jobs: jobs.clone(),
    });
    assert!(matches!(reply, JobReply::Cancelled(_)), "{reply:?}");
    let starts: u64 = world.starts.iter().sum();
    world.finish(&jobs, 60_000);
    assert_eq!(world.starts.iter().sum::<u64>(), starts);
    assert_eq!(world.running(), 0);
}

#[test]
fn a_quota_bounds_what_a_team_runs_at_once() {
    let quota = Some(shape(4));
    let mut world = World::new(Setup {
        quota,
        ..Setup::default()
    });
    let spec = job("j", 20, 2, 500);
    world.submit(&spec);
    let end = world.now + 60_000;
    let within = world.run_while(end, |world| world.running() <= 2 && world.starts[0] < 100);
    assert!(!within, "{} tasks ran at once", world.running());
    assert_eq!(finished(&mut world, &spec.id), 20);
}

#[test]
fn a_large_shape_is_not_starved_by_small_ones() {
    let mut world = World::new(Setup {
        workers: 2,
        ..Setup::default()
    });
    let small = jobs(40, 10, 1, 2_000);
    submit_all(&mut world, &small);
    let pause = world.now + 500;
    world.run_while(pause, |_| true);
    let large = JobSpec {
        priority: Priority::Normal,
        ..job("large", 1, 8, 1_000)
    };
    world.submit(&large);
    submit_all(&mut world, &[job("later", 400, 1, 2_000)]);
    world.finish(std::slice::from_ref(&large.id), 120_000);
    assert!(finished(&mut world, &"later".parse().unwrap()) < 400);
}

#[test]
fn urgent_work_displaces_and_the_displaced_resumes_once() {
    let mut world = World::new(Setup::default());
    let long = job("long", 16, 2, 60_000);
    world.submit(&long);
    let pause = world.now + 8_000;
    world.run_while(pause, |_| true);
    assert_eq!(world.runs(&long.id), 16);
    let urgent = JobSpec {
        priority: Priority::Urgent,
        ..job("urgent", 4, 4, 2_000)
    };
    world.submit(&urgent);
    let end = world.now + 9_100;
    assert!(world.run_while(end, |world| world.runs(&urgent.id) < 4));
    world.finish(&ids(&[urgent, long]), 240_000);
    let stops = world.records(0).into_iter().flat_map(|r| &r.changes);
    let stops = stops.filter(|c| matches!(c, Change::Stopping { .. }));
    assert_eq!(stops.count(), 8);
}

#[test]
fn a_worker_that_fails_everything_gets_few_attempts() {
    let mut world = World::new(Setup {
        workers: 8,
        failing: BTreeSet::from([0]),
        ..Setup::default()
    });
    let jobs = jobs(50, 40, 1, 300);
    submit_all(&mut world, &jobs);
    world.finish(&ids(&jobs), 240_000);
    let all: u64 = world.starts.iter().sum();
    assert!(world.starts[0] * 100 < all, "{:?}", world.starts);
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn many_starts_share_a_record(#[case] seed: u64) {
    let setup = Setup {
        seed,
        workers: 8,
        ..Setup::default()
    };
    let world = run_to_the_end(setup, &jobs(20, 50, 1, 500), 240_000);
    let starts: u64 = world.starts.iter().sum();
    assert!(world.store_writes < starts, "{} writes", world.store_writes);
}

#[test]
fn a_cell_is_taken_over_from_snapshots_under_lost_answers() {
    let setup = Setup {
        nodes: 3,
        workers: 16,
        lost_percent: 5,
        faults: (0..9)
            .map(|n| Fault::Kill {
                at: 12_000 + 8_000 * n,
                node: n as usize,
                ms: 5_000,
            })
            .collect(),
        ..Setup::default()
    };
    let world = run_to_the_end(setup, &jobs(40, 50, 1, 3_000), 600_000);
    assert!(world.snapshots >= 2, "{} snapshots", world.snapshots);
}

#[test]
fn running_tasks_outlast_an_outage_in_which_their_owner_dies() {
    for node in 0..3 {
        let setup = Setup {
            nodes: 3,
            faults: vec![
                Fault::Outage {
                    at: 12_000,
                    ms: 90_000,
                },
                Fault::Kill {
                    at: 14_000,
                    node,
                    ms: 60_000,
                },
            ],
            ..Setup::default()
        };
        let long = [job("long", 8, 4, 80_000)];
        let world = run_to_the_end(setup, &long, 300_000);
        assert_eq!(world.starts.iter().sum::<u64>(), 8);
    }
}

/// A world in which the record with the first placements is on its way into the store.
fn with_placements_under_way() -> (World, usize, CellId, Record) {
    let mut world = World::new(Setup::default());
    let spec = Box::new(job("j", 3, 1, 500));
    let pause = world.now + 3_000;
    world.run_while(pause, |_| true);
    world.call(0, |call| BatchEvent::Submitted { call, spec });
    loop {
        let (node, cell, record) = world.intercept_append();
        let places = |c: &Change| matches!(c, Change::Placed { .. });
        if record.changes.iter().any(places) {
            return (world, node, cell, record);
        }
        world.append_now(&cell, record);
    }
}

fn tells_anyone(effects: &[BatchEffect]) -> bool {
    effects.iter().any(|effect| match effect {
        BatchEffect::Reply { .. } => true,
        BatchEffect::Sync { call, .. } => !call.commands.is_empty(),
        _ => false,
    })
}

#[test]
fn an_append_answered_after_the_right_ended_is_read_back_first() {
    let (mut world, node, cell, record) = with_placements_under_way();
    world.now += 10_000;
    let appended = BatchEvent::Appended {
        cell,
        sequence: record.sequence,
        result: Appended::Written,
    };
    let effects = world.inject(node, appended);
    assert!(!tells_anyone(&effects), "{effects:?}");
    let reads = |e: &BatchEffect| matches!(e, BatchEffect::ReadRecord { .. });
    assert!(effects.iter().any(reads), "{effects:?}");
}

#[test]
fn an_owner_whose_number_another_has_taken_steps_down() {
    let (mut world, node, cell, record) = with_placements_under_way();
    let sequence = record.sequence;
    let taken = BatchEvent::Appended {
        cell: cell.clone(),
        sequence,
        result: Appended::Taken,
    };
    world.inject(node, taken);
    let other = Record {
        writer: Member {
            id: "other".parse().unwrap(),
            incarnation: record.writer.incarnation,
        },
        ..record
    };
    let read = BatchEvent::RecordRead {
        cell: cell.clone(),
        sequence,
        result: RecordRead::Found(Box::new(other)),
    };
    let effects = world.inject(node, read);
    let note = CellNote::SteppedDown;
    assert!(
        effects.contains(&BatchEffect::Note { cell, note }),
        "{effects:?}"
    );
    let commands = |e: &BatchEffect| matches!(e, BatchEffect::Sync { .. });
    assert!(!effects.iter().any(commands), "{effects:?}");
}

#[test]
fn a_spread_job_takes_both_racks_evenly() {
    let mut world = World::new(Setup {
        workers: 3,
        ..Setup::default()
    });
    let spec = JobSpec {
        spread: Some(Spread::Rack),
        ..job("spread", 8, 1, 30_000)
    };
    world.submit(&spec);
    let end = world.now + 10_000;
    assert!(world.run_while(end, |world| world.runs(&spec.id) < 8));
    let starts = &world.starts;
    assert_eq!((starts[0] + starts[2], starts[1]), (4, 4));
}

#[test]
fn among_equals_the_earlier_deadline_goes_first() {
    let mut world = World::new(Setup::default());
    let filler = job("filler", 4, 8, 4_000);
    world.submit(&filler);
    let end = world.now + 20_000;
    assert!(world.run_while(end, |world| world.runs(&filler.id) < 4));
    let due = |id: &str, deadline| JobSpec {
        deadline,
        ..job(id, 4, 8, 3_000)
    };
    let jobs = [
        due("none", None),
        due("late", Some(Span::secs(60))),
        due("early", Some(Span::secs(20))),
    ];
    submit_all(&mut world, &jobs);
    world.finish(&ids(&jobs), 120_000);
    let changes = world.records(0).into_iter().flat_map(|r| &r.changes);
    let placed = changes.filter_map(|change| match change {
        Change::Placed { task, .. } => Some(task.job.as_str()),
        _ => None,
    });
    let mut order: Vec<&str> = placed.filter(|job| *job != "filler").collect();
    // The first job to be blocked keeps the worker that was reserved for it.
    let kept = order.iter().position(|job| *job == "none").unwrap();
    order.remove(kept);
    let expected = [&["early"; 4][..], &["late"; 4], &["none"; 3]].concat();
    assert_eq!(order, expected);
}

#[test]
fn tasks_that_outgrow_their_declaration_are_stopped_and_placed_by_what_they_take() {
    let mut world = World::new(Setup {
        memory_percent: 300,
        ..Setup::default()
    });
    let spec = job("j", 60, 1, 4_000);
    world.submit(&spec);
    let end = world.now + 20_000;
    assert!(world.run_while(end, |world| world.memory_suffices()));
    let settled = world.now + 4_000;
    world.run_while(settled, |_| true);
    let end = world.now + 60_000;
    let passed = world.run_while(end, |world| world.memory_suffices());
    assert!(!passed, "too much memory is taken at {}", world.now);
    assert_eq!(finished(&mut world, &spec.id), 60);
}
