//! Tests of each guarantee of batch work, and of each kind of fault.

use std::collections::BTreeSet;

use crate::simulation::{Fault, Setup, Simulation, job, resources};
use guavacart_scheduler::{
    batch::{
        BatchEffect, BatchEvent, CellEvent, RecordRead,
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

fn submit_all(sim: &mut Simulation, jobs: &[JobSpec]) {
    for job in jobs {
        sim.submit(job);
    }
}

fn finished(sim: &mut Simulation, id: &JobId) -> u32 {
    let job = id.clone();
    match sim.repeat_call(60_000, |call| BatchEvent::Queried {
        call,
        job: job.clone(),
    }) {
        JobReply::Status(status) => status.summary.counts.finished,
        other => panic!("{other:?}"),
    }
}

fn run_to_the_end(setup: Setup, jobs: &[JobSpec], limit: u64) -> Simulation {
    let mut sim = Simulation::new(setup);
    submit_all(&mut sim, jobs);
    sim.finish(&ids(jobs), limit);
    for job in jobs {
        assert_eq!(finished(&mut sim, &job.id), job.tasks);
    }
    sim
}

macro_rules! finishes_exactly_once {
    ($($name:ident: $setup:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = $setup;
            let last_fault_at = setup.faults.iter().map(Fault::at).max().unwrap_or(0);
            let sim = run_to_the_end(setup, &jobs(40, 8, 2, 1_500), 240_000);
            assert!(sim.now > last_fault_at, "the tasks finished before the last fault");
        }
    )*};
}

finishes_exactly_once! {
    tasks_finish_once_without_faults: Setup::default();
    tasks_finish_once_with_lost_answers: Setup { lost_percent: 5, ..Setup::default() };
    tasks_finish_once_during_a_store_outage: Setup {
        faults: vec![Fault::Outage { at: 12_000, ms: 30_000 }],
        ..Setup::default()
    };
    tasks_finish_once_with_three_instances_and_cells: Setup {
        nodes: 3, workers: 6, cells: 3, ..Setup::default()
    };
    tasks_finish_once_when_owners_crash: Setup {
        nodes: 3,
        faults: (0..3).map(|node| Fault::Kill { at: 9_000, node, ms: 9_000 + 9_000 * node as u64 })
            .collect(),
        ..Setup::default()
    };
    tasks_finish_once_when_owners_pause: Setup {
        nodes: 3,
        lost_percent: 5,
        faults: (0..6).map(|n| Fault::Pause { at: 8_000 + 7_000 * n, node: n as usize, ms: 6_000 })
            .collect(),
        ..Setup::default()
    };
    tasks_finish_once_when_workers_crash_and_pause: Setup {
        lost_percent: 5,
        faults: vec![
            Fault::WorkerKill { at: 6_000, worker: 0, ms: 40_000 },
            Fault::WorkerPause { at: 6_100, worker: 1, ms: 55_000 },
            Fault::WorkerPause { at: 6_200, worker: 2, ms: 5_000 },
        ],
        ..Setup::default()
    };
    tasks_finish_once_when_calls_arrive_late: Setup {
        nodes: 3,
        lost_percent: 5,
        slow_percent: 5,
        faults: (0..8).map(|n| Fault::Pause { at: 8_000 + 5_000 * n, node: n as usize, ms: 4_500 })
            .collect(),
        ..Setup::default()
    };
    tasks_finish_once_with_a_worker_that_fails_every_task: Setup {
        failing: BTreeSet::from([0]),
        ..Setup::default()
    };
}

#[test]
fn a_repeated_submission_returns_the_same_job_and_different_content_conflicts() {
    let mut sim = Simulation::new(Setup::default());
    let spec = job("j", 3, 1, 500);
    sim.submit(&spec);
    sim.submit(&spec);
    let other = Box::new(job("j", 4, 1, 500));
    let reply = sim.repeat_call(20_000, |call| BatchEvent::Submitted {
        call,
        spec: other.clone(),
    });
    assert_eq!(reply, JobReply::Conflict(spec.id.clone()));
    sim.finish(std::slice::from_ref(&spec.id), 60_000);
    assert_eq!(sim.starts.iter().sum::<u64>(), 3);
}

#[test]
fn a_job_too_large_for_any_worker_is_rejected_with_the_largest_available_size() {
    let mut sim = Simulation::new(Setup::default());
    let spec = Box::new(job("j", 1, 9, 500));
    let reply = sim.repeat_call(20_000, |call| BatchEvent::Submitted {
        call,
        spec: spec.clone(),
    });
    let largest = resources(8);
    assert_eq!(
        reply,
        JobReply::Rejected(RejectReason::TooLarge { largest })
    );
}

#[test]
fn no_task_of_a_cancelled_job_starts_after_the_answer() {
    let mut sim = Simulation::new(Setup::default());
    let spec = job("j", 200, 1, 3_000);
    sim.submit(&spec);
    let pause = sim.now + 1_000;
    sim.run_while(pause, |_| true);
    let jobs = vec![spec.id.clone()];
    let reply = sim.repeat_call(20_000, |call| BatchEvent::Cancelled {
        call,
        jobs: jobs.clone(),
    });
    assert!(matches!(reply, JobReply::Cancelled(_)), "{reply:?}");
    let starts: u64 = sim.starts.iter().sum();
    sim.finish(&jobs, 60_000);
    assert_eq!(sim.starts.iter().sum::<u64>(), starts);
    assert_eq!(sim.running(), 0);
}

#[test]
fn a_team_runs_no_more_at_once_than_its_quota() {
    let quota = Some(resources(4));
    let mut sim = Simulation::new(Setup {
        quota,
        ..Setup::default()
    });
    let spec = job("j", 20, 2, 500);
    sim.submit(&spec);
    let end = sim.now + 60_000;
    let exceeded = sim.run_while(end, |sim| sim.running() <= 2 && sim.starts[0] < 100);
    assert!(!exceeded, "{} tasks ran at once", sim.running());
    assert_eq!(finished(&mut sim, &spec.id), 20);
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut sim = Simulation::new(Setup {
        workers: 2,
        ..Setup::default()
    });
    let small = jobs(40, 10, 1, 2_000);
    submit_all(&mut sim, &small);
    let pause = sim.now + 500;
    sim.run_while(pause, |_| true);
    let large = JobSpec {
        priority: Priority::Normal,
        ..job("large", 1, 8, 1_000)
    };
    sim.submit(&large);
    submit_all(&mut sim, &[job("later", 400, 1, 2_000)]);
    sim.finish(std::slice::from_ref(&large.id), 120_000);
    assert!(finished(&mut sim, &"later".parse().unwrap()) < 400);
}

#[test]
fn urgent_work_displaces_tasks_which_resume_once() {
    let mut sim = Simulation::new(Setup::default());
    let long = job("long", 16, 2, 60_000);
    sim.submit(&long);
    let pause = sim.now + 8_000;
    sim.run_while(pause, |_| true);
    assert_eq!(sim.running_of_job(&long.id), 16);
    let urgent = JobSpec {
        priority: Priority::Urgent,
        ..job("urgent", 4, 4, 2_000)
    };
    sim.submit(&urgent);
    let end = sim.now + 9_100;
    assert!(sim.run_while(end, |sim| sim.running_of_job(&urgent.id) < 4));
    sim.finish(&ids(&[urgent, long]), 240_000);
    let stops = sim.records(0).into_iter().flat_map(|r| &r.changes);
    let stops = stops.filter(|c| matches!(c, Change::Stopping { .. }));
    assert_eq!(stops.count(), 8);
}

#[test]
fn a_worker_that_fails_every_task_gets_few_attempts() {
    let mut sim = Simulation::new(Setup {
        workers: 8,
        failing: BTreeSet::from([0]),
        ..Setup::default()
    });
    let jobs = jobs(50, 40, 1, 300);
    submit_all(&mut sim, &jobs);
    sim.finish(&ids(&jobs), 240_000);
    let all: u64 = sim.starts.iter().sum();
    assert!(sim.starts[0] * 100 < all, "{:?}", sim.starts);
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
    let sim = run_to_the_end(setup, &jobs(20, 50, 1, 500), 240_000);
    let starts: u64 = sim.starts.iter().sum();
    assert!(sim.store_writes < starts, "{} writes", sim.store_writes);
}

#[test]
fn a_cell_is_taken_over_from_snapshots_despite_lost_answers() {
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
    let sim = run_to_the_end(setup, &jobs(40, 50, 1, 3_000), 600_000);
    assert!(sim.snapshots >= 2, "{} snapshots", sim.snapshots);
}

#[test]
fn running_tasks_survive_a_store_outage_in_which_their_owner_crashes() {
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
        let sim = run_to_the_end(setup, &long, 300_000);
        assert_eq!(sim.starts.iter().sum::<u64>(), 8);
    }
}

/// A simulation that has intercepted the append of the record with the first placements.
fn intercept_first_placements() -> (Simulation, usize, CellId, Record) {
    let mut sim = Simulation::new(Setup::default());
    let spec = Box::new(job("j", 3, 1, 500));
    let pause = sim.now + 3_000;
    sim.run_while(pause, |_| true);
    sim.call(0, |call| BatchEvent::Submitted { call, spec });
    loop {
        let (node, cell, record) = sim.intercept_append();
        let is_placement = |c: &Change| matches!(c, Change::Placed { .. });
        if record.changes.iter().any(is_placement) {
            return (sim, node, cell, record);
        }
        sim.append_now(&cell, record);
    }
}

fn has_external_effect(effects: &[BatchEffect]) -> bool {
    effects.iter().any(|effect| match effect {
        BatchEffect::Reply { .. } => true,
        BatchEffect::Sync { call, .. } => !call.commands.is_empty(),
        _ => false,
    })
}

#[test]
fn an_append_answered_after_the_right_to_act_ended_is_read_back_first() {
    let (mut sim, node, cell, record) = intercept_first_placements();
    sim.now += 10_000;
    let appended = BatchEvent::Appended {
        cell,
        sequence: record.sequence,
        result: Appended::Written,
    };
    let effects = sim.inject(node, appended);
    assert!(!has_external_effect(&effects), "{effects:?}");
    let is_record_read = |e: &BatchEffect| matches!(e, BatchEffect::ReadRecord { .. });
    assert!(effects.iter().any(is_record_read), "{effects:?}");
}

#[test]
fn an_owner_steps_down_if_another_member_wrote_the_next_record() {
    let (mut sim, node, cell, record) = intercept_first_placements();
    let sequence = record.sequence;
    let taken = BatchEvent::Appended {
        cell: cell.clone(),
        sequence,
        result: Appended::KeyExists,
    };
    sim.inject(node, taken);
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
    let effects = sim.inject(node, read);
    let event = CellEvent::OwnershipLost;
    assert!(
        effects.contains(&BatchEffect::Report { cell, event }),
        "{effects:?}"
    );
    let is_worker_call = |e: &BatchEffect| matches!(e, BatchEffect::Sync { .. });
    assert!(!effects.iter().any(is_worker_call), "{effects:?}");
}

#[test]
fn a_spread_job_uses_both_racks_evenly() {
    let mut sim = Simulation::new(Setup {
        workers: 3,
        ..Setup::default()
    });
    let spec = JobSpec {
        spread: Some(Spread::Rack),
        ..job("spread", 8, 1, 30_000)
    };
    sim.submit(&spec);
    let end = sim.now + 10_000;
    assert!(sim.run_while(end, |sim| sim.running_of_job(&spec.id) < 8));
    let starts = &sim.starts;
    assert_eq!((starts[0] + starts[2], starts[1]), (4, 4));
}

#[test]
fn jobs_of_equal_priority_are_placed_by_deadline() {
    let mut sim = Simulation::new(Setup::default());
    let filler = job("filler", 4, 8, 4_000);
    sim.submit(&filler);
    let end = sim.now + 20_000;
    assert!(sim.run_while(end, |sim| sim.running_of_job(&filler.id) < 4));
    let with_deadline = |id: &str, deadline| JobSpec {
        deadline,
        ..job(id, 4, 8, 3_000)
    };
    let jobs = [
        with_deadline("none", None),
        with_deadline("late", Some(Span::secs(60))),
        with_deadline("early", Some(Span::secs(20))),
    ];
    submit_all(&mut sim, &jobs);
    sim.finish(&ids(&jobs), 120_000);
    let changes = sim.records(0).into_iter().flat_map(|r| &r.changes);
    let placed = changes.filter_map(|change| match change {
        Change::Placed { task, .. } => Some(task.job.as_str()),
        _ => None,
    });
    let mut order: Vec<&str> = placed.filter(|job| *job != "filler").collect();
    // The first job that could not be placed keeps the worker that was reserved for it.
    let kept = order.iter().position(|job| *job == "none").unwrap();
    order.remove(kept);
    let expected = [&["early"; 4][..], &["late"; 4], &["none"; 3]].concat();
    assert_eq!(order, expected);
}

#[test]
fn tasks_that_exceed_their_declared_memory_are_stopped_and_placed_by_measured_memory() {
    let mut sim = Simulation::new(Setup {
        memory_percent: 300,
        ..Setup::default()
    });
    let spec = job("j", 60, 1, 4_000);
    sim.submit(&spec);
    let end = sim.now + 20_000;
    assert!(sim.run_while(end, |sim| sim.memory_suffices()));
    let settled = sim.now + 4_000;
    sim.run_while(settled, |_| true);
    let end = sim.now + 60_000;
    let exceeded = sim.run_while(end, |sim| sim.memory_suffices());
    assert!(
        !exceeded,
        "tasks take more memory than a worker has at {}",
        sim.now
    );
    assert_eq!(finished(&mut sim, &spec.id), 60);
}
