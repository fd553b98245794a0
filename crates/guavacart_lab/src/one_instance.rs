//! The reducer of one instance with a simulated platform that answers at once; for measuring costs,
//! not for testing faults.

use std::{
    collections::{BTreeMap, VecDeque},
    str::FromStr,
};

use guavacart_config::{Cell, Configuration, Service, Team};
use guavacart_scheduler::{
    Effect, Event, Start, State,
    batch::{
        BatchEffect, BatchEvent,
        job::{JobSpec, Priority},
        journal::{Appended, Record, SnapshotWritten},
        worker::{AttemptId, AttemptState, WorkerAnswer, WorkerCommand, WorkerReport},
    },
    config::ConfigEvent,
    directory::{ListedInstance, Role},
    membership::{Member, MembershipEffect, MembershipEvent, Swap},
    request::{DispatchEnd, ProbeReport, RequestEffect, RequestEvent, RequestHead},
};
use guavacart_types::{
    Accelerators, ByteSize, CallId, CellId, Class, ConfigNumber, Incarnation, Processors,
    Resources, Revision, Span, Timestamp, WorkerId,
};
use guavacart_wire::{WireError, encode_record, encode_snapshot};

/// Workers in one cell.
pub const CELL_WORKERS: usize = 64;
/// Time between two ticks.
const TICK: Span = Span::millis(50);

/// Parses an id; panics if `text` is invalid.
pub fn id<T: FromStr>(text: &str) -> T {
    text.parse().ok().expect("the harness's ids are valid")
}

/// Returns resources of `cores` cores, with 4 GiB for each.
pub fn resources(cores: u64) -> Resources {
    Resources {
        processors: Processors::cores(cores),
        memory: ByteSize::gib(4 * cores),
        accelerators: Accelerators(0),
    }
}

/// Returns a job of `tasks` tasks with four cores each.
pub fn job(name: &str, tasks: u32, run_time: Span) -> Box<JobSpec> {
    Box::new(JobSpec {
        id: id(name),
        team: id("red"),
        class: id("recode"),
        resources: resources(4),
        tasks,
        run_time,
        priority: Priority::Normal,
        deadline: None,
        spread: None,
        payload: "null".into(),
    })
}

fn encoded_len(encoded: Result<Vec<u8>, WireError>) -> u64 {
    encoded.map_or(0, |bytes| bytes.len() as u64)
}

/// One instance alone, with a simulated platform that answers at once.
#[derive(Debug)]
pub struct OneInstance {
    /// State of the reducer.
    pub state: State,
    /// Simulated time.
    pub now: Timestamp,
    /// Numbers and records in each cell's journal, without those that a snapshot replaced.
    pub stored: BTreeMap<CellId, Vec<(u64, Record)>>,
    /// Calls to the platform so far.
    pub counts: Counts,
    events: VecDeque<Event>,
    running: BTreeMap<WorkerId, BTreeMap<AttemptId, AttemptState>>,
    last_call: u64,
}

/// Numbers of calls to the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Appended journal records.
    pub appends: u64,
    /// Encoded size of these records, in bytes.
    pub append_bytes: u64,
    /// Calls to workers.
    pub syncs: u64,
    /// Written snapshots.
    pub snapshots: u64,
    /// Encoded size of these snapshots, in bytes.
    pub snapshot_bytes: u64,
}

impl OneInstance {
    /// Creates an instance that owns all cells of `workers` workers and lists `endpoints`
    /// endpoints, and runs it for 3 s of simulated time.
    pub fn open(workers: usize, endpoints: usize) -> Self {
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
        let mut one = Self {
            state,
            now,
            stored: BTreeMap::new(),
            counts: Counts::default(),
            events: VecDeque::new(),
            running: BTreeMap::new(),
            last_call: 0,
        };
        let config = Box::new(configuration(workers));
        one.apply_event(Event::Config(ConfigEvent::Read(config)));
        one.apply_event(Event::ListRead(listed(workers, endpoints)));
        one.run(Span::secs(3));
        one
    }

    /// Applies an event and all resulting answers of the platform.
    pub fn apply_event(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            for effect in self.state.apply(self.now, event) {
                let answer = self.platform_answer(effect);
                self.events.extend(answer);
            }
        }
    }

    /// Advances the time by `span`, tick by tick.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.apply_event(Event::Tick);
        }
    }

    /// Submits a job.
    pub fn submit(&mut self, spec: Box<JobSpec>) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.apply_event(Event::Batch(BatchEvent::Submitted { call, spec }));
    }

    /// Returns the number of attempts on workers, with those that ended and are not acknowledged.
    pub fn running(&self) -> usize {
        self.running.values().map(BTreeMap::len).sum()
    }

    fn platform_answer(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Membership(MembershipEffect::SwapView { view, .. }) => {
                let swap = Swap::Written(view, Revision(1));
                Some(Event::Membership(MembershipEvent::ViewSwapEnded(swap)))
            }
            Effect::Membership(MembershipEffect::ReadView) => {
                let view = self.state.membership().view().clone();
                let known = view.number.0 > 0;
                Some(Event::Membership(MembershipEvent::ViewRead {
                    requested_at: self.now,
                    view: known.then_some(view),
                    revision: Revision(u64::from(known)),
                }))
            }
            Effect::Batch(effect) => self.batch_answer(effect).map(Event::Batch),
            Effect::Request(effect) => self.request_answer(effect).map(Event::Request),
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
                self.counts.appends += 1;
                self.counts.append_bytes += encoded_len(encode_record(*record.clone()));
                let records = self.stored.entry(cell.clone()).or_default();
                records.push((number, *record));
                Some(BatchEvent::Appended {
                    cell,
                    sequence,
                    result,
                })
            }
            BatchEffect::WriteSnapshot { cell, snapshot, .. } => {
                let through = snapshot.through;
                self.counts.snapshots += 1;
                self.counts.snapshot_bytes += encoded_len(encode_snapshot(*snapshot));
                let records = self.stored.entry(cell.clone()).or_default();
                records.retain(|(number, _)| *number > through);
                Some(BatchEvent::SnapshotWritten {
                    cell,
                    through,
                    result: SnapshotWritten::Written(Revision(through)),
                })
            }
            BatchEffect::Sync {
                cell,
                worker,
                sync,
                call,
                ..
            } => {
                self.counts.syncs += 1;
                let attempts = self.running.entry(worker.clone()).or_default();
                for command in call.commands {
                    apply_command(attempts, command);
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

    fn request_answer(&mut self, effect: RequestEffect) -> Option<RequestEvent> {
        match effect {
            RequestEffect::Dispatch { dispatch, .. } => Some(RequestEvent::DispatchEnded {
                dispatch,
                end: DispatchEnd::Answered,
            }),
            RequestEffect::Probe { endpoint, .. } => Some(RequestEvent::Probed {
                endpoint,
                requested_at: self.now,
                report: Some(ProbeReport {
                    busy: 0,
                    leaving: false,
                }),
            }),
            _ => None,
        }
    }

    /// Sends a request, which an endpoint answers at once.
    pub fn request(&mut self, idempotent: bool) {
        self.last_call += 1;
        let head = RequestHead {
            service: id("engine"),
            team: id("red"),
            class: Class::Short,
            id: id(&format!("r{}", self.last_call)),
            idempotent,
            deadline: Span::secs(2),
            size: ByteSize(2_000),
        };
        let call = CallId(self.last_call);
        self.apply_event(Event::Request(RequestEvent::Arrived { call, head }));
    }

    /// Marks one attempt as finished on each of the first `count` workers with attempts.
    pub fn finish(&mut self, count: usize) {
        let workers = self.running.values_mut().filter(|w| !w.is_empty());
        for attempts in workers.take(count) {
            if let Some(state) = attempts.values_mut().next() {
                *state = AttemptState::Finished;
            }
        }
    }
}

fn apply_command(attempts: &mut BTreeMap<AttemptId, AttemptState>, command: WorkerCommand) {
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

/// Returns the number of cells for `workers` workers.
pub fn cells(workers: usize) -> usize {
    workers.div_ceil(CELL_WORKERS)
}

/// Returns a configuration with one service, one team and the cells for `workers` workers.
pub fn configuration(workers: usize) -> Configuration {
    let cell = |c: usize| {
        let racks = vec![id(&format!("r{c}"))];
        (
            id(&format!("c{c}")),
            Cell {
                racks,
                ..Cell::default()
            },
        )
    };
    Configuration {
        number: ConfigNumber(1),
        cells: (0..cells(workers)).map(cell).collect(),
        teams: BTreeMap::from([(id("red"), Team::default())]),
        services: BTreeMap::from([(id("engine"), Service::default())]),
        ..Configuration::default()
    }
}

/// Returns the instance list of one entry instance, `workers` workers and `endpoints` endpoints.
pub fn listed(workers: usize, endpoints: usize) -> Vec<ListedInstance> {
    let listed_instance = |role| ListedInstance {
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
    let endpoint = |e: usize| Role::Endpoint {
        id: id(&format!("x{e}")),
        service: id("engine"),
        worker: None,
    };
    let workers = (0..workers).map(|w| listed_instance(worker(w)));
    let endpoints = (0..endpoints).map(|e| listed_instance(endpoint(e)));
    let entry = listed_instance(Role::Entry { id: id("i0") });
    workers.chain(endpoints).chain([entry]).collect()
}

/// Returns an instance with `workers` workers, at least `running` running tasks and queued tasks.
pub fn busy(workers: usize, running: usize) -> OneInstance {
    let mut one = OneInstance::open(workers, 0);
    let mut jobs = 0;
    while one.running() < running {
        for _ in 0..cells(workers) * 4 {
            one.submit(job(&format!("j{jobs}"), 40, Span::secs(3_600)));
            jobs += 1;
        }
        one.run(Span::secs(4));
    }
    one
}
