//! Benchmarks of batch work in the reducer.

#![expect(
    missing_docs,
    reason = "the macro of the harness writes a function without a comment"
)]

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use guavacart_config::Configuration;
use guavacart_lab::one_instance::{
    CELL_WORKERS, OneInstance, busy, configuration, id, job, listed, resources,
};
use guavacart_scheduler::{
    Effect, Event,
    batch::{
        BatchEffect, BatchEvent,
        journal::Stored,
        placement::{Candidate, TaskDemand, choose},
    },
    config::ConfigEvent,
};
use guavacart_types::{ConfigNumber, Resources, Span, Timestamp};

/// One simulated second of all cells, in which 62 tasks end and others start.
fn one_second(c: &mut Criterion) {
    let mut group = c.benchmark_group("batch_second");
    group.sample_size(10);
    for workers in [65, 300, 1_200] {
        let running = (workers * 15 / 2).min(9_000);
        let mut bench = busy(workers, running);
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter(|| {
                bench.finish(62);
                bench.run(Span::secs(1));
            });
        });
    }
    group.finish();
}

/// Choosing one worker among those of a cell.
fn choose_worker(c: &mut Criterion) {
    let candidate = |w: usize| Candidate {
        worker: id(&format!("w{w}")),
        data_centre: id("dc1"),
        nearby_tasks: 0,
        rack: id("r0"),
        capacity: resources(32),
        used: resources(w as u64 % 29),
        task_slots: u32::MAX,
        cost: 0,
        reserved: Resources::default(),
        reserved_at: Timestamp::default(),
    };
    let candidates: Vec<Candidate> = (0..CELL_WORKERS).map(candidate).collect();
    let demand = TaskDemand {
        resources: resources(4),
        ends_at: Timestamp(1),
        failed_on: &[],
        reserved: None,
    };
    c.bench_function("batch_choose_64", |b| {
        b.iter(|| choose(&candidates, &demand));
    });
}

/// Taking over a cell of 64 workers from its records, by number of tasks.
fn take_over(c: &mut Criterion) {
    let mut group = c.benchmark_group("batch_take_over");
    group.sample_size(10);
    for tasks in [512, 2_048, 5_600] {
        let mut bench = OneInstance::open(CELL_WORKERS, 0);
        for n in 0..tasks / 32 {
            bench.submit(job(&format!("j{n}"), 32, Span::secs(3_600)));
        }
        bench.run(Span::secs(8));
        let records = bench.stored.remove(&id("c0")).unwrap_or_default();
        group.bench_function(BenchmarkId::from_parameter(tasks), |b| {
            let setup = || {
                let mut bench = OneInstance::open(0, 0);
                let config = Configuration {
                    number: ConfigNumber(2),
                    ..configuration(CELL_WORKERS)
                };
                let config = Box::new(config);
                let read = Event::Config(ConfigEvent::Read(config));
                bench.state.apply(bench.now, read);
                let listing = Event::ListRead(listed(CELL_WORKERS, 0));
                bench.state.apply(bench.now, listing);
                let effects = bench.state.apply(bench.now, Event::Tick);
                let read = effects.into_iter().find_map(|effect| match effect {
                    Effect::Batch(BatchEffect::ReadCell { cell, read }) => Some((cell, read)),
                    _ => None,
                });
                let (cell, read) = read.expect("the cell is read");
                let stored = Stored {
                    records: records.clone(),
                    ..Stored::default()
                };
                let result = Ok(Box::new(stored));
                (bench, BatchEvent::CellRead { cell, read, result })
            };
            let replay = |(mut bench, event): (OneInstance, BatchEvent)| {
                let effects = bench.state.apply(bench.now, Event::Batch(event));
                (bench, effects)
            };
            b.iter_batched(setup, replay, BatchSize::SmallInput);
        });
    }
    group.finish();
}

criterion_group!(benches, choose_worker, take_over, one_second);
criterion_main!(benches);
