//! The cost of batch work in the reducer.

#![expect(
    missing_docs,
    reason = "the macro of the harness writes a function without a comment"
)]

use std::collections::{BTreeMap, VecDeque};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use guavacart_config::{Cell, Configuration, Team};
use guavacart_scheduler::{
    Effect, Event, Start, State,
    batch::{
        BatchEffect, BatchEvent,
        job::{JobSpec, Priority},
        journal::{Appended, Record, Stored},
        placement::{Candidate, Want, choose},
        worker::{AttemptId, AttemptState, WorkerAnswer, WorkerCommand, WorkerReport},
    },
    config::ConfigEvent,
    directory::{ListedInstance, Role},
    membership::{Member, MembershipEffect, MembershipEvent, Swap},
};
use guavacart_types::{
    Accelerators, ByteSize, CallId, CellId, ConfigNumber, Incarnation, Processors, Resources,
    Revision, Span, Timestamp, WorkerId,
};

/// Workers of one cell.
const CELL_WORKERS: usize = 64;
/// Time between two ticks.
const STEP: Span = Span::millis(50);

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the bench's ids are valid")
}

fn resources(cores: u64) -> Resources {
    Resources {
        processors: Processors::cores(cores),
        memory: ByteSize::gib(4 * cores),
        accelerators: Accelerators(0),
    }
}

fn job(name: &str, tasks: u32, run_time: Span) -> Box<JobSpec> {
    Box::new(JobSpec {
        id: id(name),
        team: id("red"),
        class: id("recode"),
        resources: resources(4),
        tasks,
        run_time,
        priority: Priority::Normal,
        deadline: None,
        payload: "null".into(),
    })
}

/// One instance that owns every cell, a store that always answers and workers that obey.
struct Bench {
    state: State,
    now: Timestamp,
    events: VecDeque<Event>,
    running: BTreeMap<WorkerId, BTreeMap<AttemptId, AttemptState>>,
    stored: BTreeMap<CellId, Vec<(u64, Record)>>,
    calls: u64,
}

impl Bench {
    fn open(workers: usize) -> Self {
        let now = Timestamp(1_000);
        let member = Member {
            id: id("i0"),
            incarnation: Incarnation(1),
        };
        let state = State::new(&Start {
            member,
            data_centre: id("dc"),
            now,
            linger: Span::ZERO,
        });
        let mut bench = Self {
            state,
            now,
            events: VecDeque::new(),
            running: BTreeMap::new(),
            stored: BTreeMap::new(),
            calls: 0,
        };
        let config = Box::new(configuration(workers));
        bench.feed(Event::Config(ConfigEvent::Read(config)));
        bench.feed(Event::Listed(listed(workers)));
        bench.run(Span::secs(3));
        bench
    }

    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            for effect in self.state.apply(self.now, event) {
                let answer = self.answer(effect);
                self.events.extend(answer);
            }
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.feed(Event::Tick);
        }
    }

    fn submit(&mut self, spec: Box<JobSpec>) {
        self.calls += 1;
        let call = CallId(self.calls);
        self.feed(Event::Batch(BatchEvent::Submitted { call, spec }));
    }

    fn running(&self) -> usize {
        self.running.values().map(BTreeMap::len).sum()
    }

    fn answer(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Membership(MembershipEffect::SwapView { view, .. }) => {
                let swap = Swap::Written(view, Revision(1));
                Some(Event::Membership(MembershipEvent::ViewSwapped(swap)))
            }
            Effect::Membership(MembershipEffect::ReadView) => {
                let view = self.state.membership().view().clone();
                let known = view.number.0 > 0;
                Some(Event::Membership(MembershipEvent::ViewRead {
                    asked_at: self.now,
                    view: known.then_some(view),
                    revision: Revision(u64::from(known)),
                }))
            }
            Effect::Batch(effect) => self.batch_answer(effect).map(Event::Batch),
            _ => None,
        }
    }

    fn batch_answer(&mut self, effect: BatchEffect) -> Option<BatchEvent> {
        match effect {
            BatchEffect::ReadCell { cell, read } => {
                let result = Ok(Box::default());
                Some(BatchEvent::CellRead { cell, read, result })
            }
            BatchEffect::Append {
                cell,
                number,
                record,
                ..
            } => {
                let sequence = record.sequence;
                let result = Appended::Written;
                let records = self.stored.entry(cell.clone()).or_default();
                records.push((number, *record));
                Some(BatchEvent::Appended {
                    cell,
                    sequence,
                    result,
                })
            }
            BatchEffect::Sync {
                cell,
                worker,
                sync,
                call,
                ..
            } => {
                let attempts = self.running.entry(worker.clone()).or_default();
                for command in call.commands {
                    obey(attempts, command);
                }
                let attempts = attempts.iter().map(|(id, s)| (id.clone(), s.clone()));
                let answer = WorkerAnswer::Report {
                    attempts: attempts.collect(),
                    usage: Vec::new(),
                };
                let report = WorkerReport {
                    worker,
                    sync,
                    answer,
                };
                Some(BatchEvent::WorkerAnswered { cell, report })
            }
            _ => None,
        }
    }

    /// Lets `count` attempts finish, spread over the workers.
    fn finish(&mut self, count: usize) {
        let workers = self.running.values_mut().filter(|w| !w.is_empty());
        for attempts in workers.take(count) {
            if let Some(state) = attempts.values_mut().next() {
                *state = AttemptState::Finished;
            }
        }
    }
}

fn obey(attempts: &mut BTreeMap<AttemptId, AttemptState>, command: WorkerCommand) {
    match command {
        WorkerCommand::Start { id, .. } => {
            let running = AttemptState::Running { progress_ppm: 0 };
            attempts.entry(id).or_insert(running);
        }
        WorkerCommand::Stop { id, .. } => {
            let checkpoint = None;
            attempts.insert(id, AttemptState::Stopped { checkpoint });
        }
        WorkerCommand::Acknowledge(id) => {
            attempts.remove(&id);
        }
        WorkerCommand::Throttle { .. } => {}
    }
}

fn cells(workers: usize) -> usize {
    workers.div_ceil(CELL_WORKERS)
}

fn configuration(workers: usize) -> Configuration {
    let cell = |c: usize| {
        let racks = vec![id(&format!("r{c}"))];
        (id(&format!("c{c}")), Cell { racks })
    };
    Configuration {
        number: ConfigNumber(1),
        cells: (0..cells(workers)).map(cell).collect(),
        teams: BTreeMap::from([(id("red"), Team::default())]),
        ..Configuration::default()
    }
}

fn listed(workers: usize) -> Vec<ListedInstance> {
    let line = |role| ListedInstance {
        data_centre: id("dc"),
        address: ([127, 0, 0, 1], 9).into(),
        leaving: false,
        role,
    };
    let worker = |w: usize| Role::Worker {
        id: id(&format!("w{w}")),
        rack: id(&format!("r{}", w / CELL_WORKERS)),
        capacity: resources(32),
    };
    let workers = (0..workers).map(|w| line(worker(w)));
    let entry = line(Role::Entry { id: id("i0") });
    workers.chain([entry]).collect()
}

/// A fleet with as many running tasks of the larger size as fit, and a queue.
fn busy(workers: usize, running: usize) -> Bench {
    let mut bench = Bench::open(workers);
    let mut jobs = 0;
    while bench.running() < running {
        for _ in 0..cells(workers) * 4 {
            bench.submit(job(&format!("j{jobs}"), 40, Span::secs(3_600)));
            jobs += 1;
        }
        bench.run(Span::secs(4));
    }
    bench
}

/// One second of the life of all cells with 62 ends and starts.
fn second(c: &mut Criterion) {
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

/// The choice of one worker among those of a cell.
fn choice(c: &mut Criterion) {
    let candidate = |w: usize| Candidate {
        worker: id(&format!("w{w}")),
        rack: id("r0"),
        capacity: resources(32),
        used: resources(w as u64 % 29),
        openings: u32::MAX,
        cost: 0,
        reserved: Resources::default(),
        reserved_at: Timestamp::default(),
    };
    let candidates: Vec<Candidate> = (0..CELL_WORKERS).map(candidate).collect();
    let want = Want {
        resources: resources(4),
        ends_at: Timestamp(1),
        failed_on: &[],
        reserved: None,
    };
    c.bench_function("batch_choose_64", |b| b.iter(|| choose(&candidates, &want)));
}

/// Taking over a cell of 64 workers from its records, by number of tasks.
fn take_over(c: &mut Criterion) {
    let mut group = c.benchmark_group("batch_take_over");
    group.sample_size(10);
    for tasks in [512, 2_048, 5_600] {
        let mut bench = Bench::open(CELL_WORKERS);
        for n in 0..tasks / 32 {
            bench.submit(job(&format!("j{n}"), 32, Span::secs(3_600)));
        }
        bench.run(Span::secs(8));
        let records = bench.stored.remove(&id("c0")).unwrap_or_default();
        group.bench_function(BenchmarkId::from_parameter(tasks), |b| {
            let fresh = || {
                let mut bench = Bench::open(0);
                let config = Configuration {
                    number: ConfigNumber(2),
                    ..configuration(CELL_WORKERS)
                };
                let config = Box::new(config);
                let read = Event::Config(ConfigEvent::Read(config));
                bench.state.apply(bench.now, read);
                let listing = Event::Listed(listed(CELL_WORKERS));
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
            let replay = |(mut bench, event): (Bench, BatchEvent)| {
                let effects = bench.state.apply(bench.now, Event::Batch(event));
                (bench, effects)
            };
            b.iter_batched(fresh, replay, BatchSize::SmallInput);
        });
    }
    group.finish();
}

criterion_group!(benches, choice, take_over, second);
criterion_main!(benches);
