//! The world around the reducer: time, network, store, executors and owners.

use std::collections::BTreeMap;

use guavacart_jobs::{
    Accepted, Effect, Event, ExecutorId, HowEnded, Job, JobKey, JobOutcome, Learned, OrderFailure,
    Progress, Registration, Snapshot, State, Step, TAKES_JOBS_UNCONFIRMED, Target,
};
use guavacart_types::{
    Accelerators, ByteSize, Epoch, Incarnation, Processors, Resources, Span, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    executor::{Executor, Running},
    promises::Observed,
    site::{bounds, configuration, rules},
};

const EXECUTORS: usize = 5;
const JOBS: u64 = 14;
/// Faults and submissions end at that time.
const QUIET_FROM: u64 = 30_000;
/// All work has ended by then.
const END: u64 = 120_000;
const CAPACITY: Resources = Resources {
    processors: Processors(8_000),
    memory: ByteSize::gib(16),
    accelerators: Accelerators(0),
};

/// What goes wrong, and how often.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) owner_deaths: usize,
    /// A new owner begins while the earlier one goes on.
    pub(crate) owner_overlaps: usize,
    pub(crate) lost_answers: f64,
    pub(crate) late_orders: f64,
    pub(crate) crashes: usize,
    pub(crate) cuts: usize,
    pub(crate) store_outages: usize,
    /// Entries of all but one executor are missing while a new owner begins.
    pub(crate) entries_vanish: bool,
}

enum Happening {
    /// An order reaches an executor; `answered` tells whether the owner hears of it.
    Order {
        owner: usize,
        order: Effect,
        sent: u64,
        answered: bool,
        /// The incarnation that keeps the order until it carries it out; it dies with it.
        kept_by: Option<u64>,
    },
    Told(usize, Event),
    Tick(usize),
    Finish(
        usize,
        u64,
        guavacart_jobs::TaskKey,
        guavacart_jobs::RunNumber,
    ),
    Submit(JobKey),
    Cancel(JobKey),
    TakeOver {
        kills: bool,
    },
    Crash(usize),
    Return(usize),
    Cut(usize),
    Lapse,
}

struct Owner {
    state: State,
    epoch: Epoch,
    is_alive: bool,
    /// When a later owner began; its lease was confirmed until then.
    deposed_at: Option<u64>,
    /// Ticks that are scheduled.
    next_tick: Option<u64>,
}

#[derive(Default)]
struct Store {
    epoch: u64,
    jobs: BTreeMap<JobKey, Job>,
    cancelled: Vec<JobKey>,
    progress: BTreeMap<JobKey, Progress>,
    fleet: Vec<Target>,
    away_until: u64,
}

pub(crate) struct World {
    seed: u64,
    rng: StdRng,
    now: u64,
    faults: Faults,
    queue: BTreeMap<(u64, u64), Happening>,
    next_number: u64,
    executors: Vec<Executor>,
    owners: Vec<Owner>,
    store: Store,
    observed: Observed,
}

fn executor_id(x: usize) -> ExecutorId {
    format!("x{x}").as_str().into()
}

fn index_of(id: &ExecutorId) -> usize {
    id.0[1..].parse().expect("an id of this model")
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            now: 10,
            faults,
            queue: BTreeMap::new(),
            next_number: 0,
            executors: (0..EXECUTORS).map(|_| Executor::new(1)).collect(),
            owners: Vec::new(),
            store: Store::default(),
            observed: Observed::default(),
        };
        world.take_over(false);
        for key in 1..=JOBS {
            let at = world.rng.random_range(500..QUIET_FROM);
            world.at(at, Happening::Submit(JobKey(key)));
            if world.rng.random_bool(0.15) {
                let delay = world.rng.random_range(50..4_000);
                world.at(at + delay, Happening::Cancel(JobKey(key)));
            }
        }
        for _ in 0..faults.owner_deaths {
            world.at_random(Happening::TakeOver { kills: true });
        }
        for _ in 0..faults.owner_overlaps {
            world.at_random(Happening::TakeOver { kills: false });
        }
        for _ in 0..faults.crashes {
            let x = world.rng.random_range(0..EXECUTORS);
            world.at_random(Happening::Crash(x));
        }
        for _ in 0..faults.cuts {
            let x = world.rng.random_range(0..EXECUTORS);
            world.at_random(Happening::Cut(x));
        }
        world.at(100, Happening::Lapse);
        world
    }

    fn at(&mut self, at: u64, happening: Happening) {
        self.next_number += 1;
        self.queue.insert((at, self.next_number), happening);
    }

    fn at_random(&mut self, happening: Happening) {
        let at = self.rng.random_range(1_000..QUIET_FROM);
        self.at(at, happening);
    }

    fn clocks(&self) -> Accepted {
        Accepted {
            now: Timestamp(self.now),
            unix_ms: 1_000_000 + self.now,
        }
    }

    pub(crate) fn run(&mut self) {
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    pub(crate) fn assert_all_jobs_ended(&self) {
        for key in self.store.jobs.keys() {
            let outcome = self
                .store
                .progress
                .get(key)
                .and_then(|progress| progress.outcome);
            assert!(
                outcome.is_some(),
                "seed {}: job {key} has not ended",
                self.seed
            );
            let is_cancelled = self.store.cancelled.contains(key);
            let is_true = outcome != Some(JobOutcome::Cancelled) || is_cancelled;
            assert!(is_true, "seed {}: job {key} was not cancelled", self.seed);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Order {
                owner,
                order,
                sent,
                answered,
                kept_by,
            } => {
                let x = target_of(&order).map(|target| index_of(&target.id));
                let born = x.map(|x| self.executors[x].born);
                if kept_by.is_none() || kept_by == born {
                    self.order(owner, order, sent, answered);
                }
            }
            Happening::Told(owner, event) => self.tell(owner, event),
            Happening::Tick(owner) => {
                if self.owners[owner].next_tick == Some(self.now) {
                    self.owners[owner].next_tick = None;
                    self.tell(owner, Event::Tick);
                }
            }
            Happening::Finish(x, born, task, run) => self.finish(x, born, task, run),
            Happening::Submit(key) => self.submit(key),
            Happening::Cancel(key) => {
                if self.store.jobs.contains_key(&key) {
                    self.store.cancelled.push(key);
                    self.tell_owners(|| Event::Cancelled(key));
                }
            }
            Happening::TakeOver { kills } => self.take_over(kills),
            Happening::Crash(x) => {
                self.executors[x].up = false;
                let away = self.rng.random_range(200..6_000);
                self.at(self.now + away, Happening::Return(x));
            }
            Happening::Return(x) => {
                let cut_until = self.executors[x].cut_until;
                self.executors[x] = Executor::new(self.now);
                self.executors[x].cut_until = cut_until;
                self.tell_owners(|| Event::Tick);
                let registration = self.registration(x);
                self.tell_owners(|| Event::Registered(executor_id(x), Some(registration.clone())));
            }
            Happening::Cut(x) => {
                self.executors[x].cut_until = self.now + self.rng.random_range(500..9_000);
            }
            Happening::Lapse => {
                let now = self.now;
                self.executors
                    .iter_mut()
                    .for_each(|executor| executor.lapse(now));
                self.at(self.now + 100, Happening::Lapse);
            }
        }
    }

    fn submit(&mut self, key: JobKey) {
        let steps = self.rng.random_range(1..=3_u16);
        let step = |index: u16, rng: &mut StdRng| Step {
            count: rng.random_range(1..=6),
            size: Resources {
                processors: Processors(rng.random_range(500..4_000)),
                memory: ByteSize::mib(rng.random_range(100..6_000)),
                accelerators: Accelerators(0),
            },
            estimate: Span(800),
            after: if index > 0 {
                vec![index - 1]
            } else {
                Vec::new()
            },
            ..Step::default()
        };
        let job = Job {
            queue: "q".into(),
            rules: rules(),
            accepted_unix_ms: 1_000_000 + self.now,
            payload: "p".into(),
            steps: (0..steps).map(|index| step(index, &mut self.rng)).collect(),
            schedule: None,
        };
        self.store.jobs.insert(key, job.clone());
        self.observed.jobs.insert(key, job.clone());
        self.tell_owners(|| Event::Accepted(key, Box::new(job.clone())));
    }

    /// Tells every owner something, each after its own delay.
    fn tell_owners(&mut self, event: impl Fn() -> Event) {
        for owner in 0..self.owners.len() {
            let delay = self.rng.random_range(1..700);
            self.at(self.now + delay, Happening::Told(owner, event()));
        }
    }

    fn registration(&self, x: usize) -> Registration {
        Registration {
            pool: "pool".into(),
            address: (
                [127, 0, 0, 1],
                1_000 + u16::try_from(x).expect("few executors"),
            )
                .into(),
            is_draining: false,
            drain_left: None,
            capacity: CAPACITY,
            labels: vec!["a".into(), "r1".into()],
            incarnation: Some(Incarnation(self.executors[x].born)),
        }
    }

    fn take_over(&mut self, kills: bool) {
        if kills {
            self.owners
                .iter_mut()
                .for_each(|owner| owner.is_alive = false);
        }
        let now = self.now;
        for owner in &mut self.owners {
            owner.deposed_at.get_or_insert(now);
        }
        self.store.epoch += 1;
        let epoch = Epoch(self.store.epoch);
        let vanish = self.faults.entries_vanish && !self.owners.is_empty();
        let listed = if vanish { 1 } else { EXECUTORS };
        let jobs = self.store.jobs.iter().map(|(key, job)| {
            let progress = self.store.progress.get(key).cloned().unwrap_or_default();
            (*key, job.clone(), progress)
        });
        let snapshot = Snapshot {
            epoch,
            configuration: configuration(),
            jobs: jobs.collect(),
            cancelled: self.store.cancelled.clone(),
            executors: (0..listed)
                .map(|x| (executor_id(x), self.registration(x)))
                .collect(),
            fleet: self.store.fleet.clone(),
            waves: Vec::new(),
            learned: Learned::default(),
        };
        let (state, effects) = State::new(bounds(), snapshot, self.clocks());
        let owner = self.owners.len();
        self.owners.push(Owner {
            state,
            epoch,
            is_alive: true,
            deposed_at: None,
            next_tick: None,
        });
        self.carry_out(owner, effects);
        for x in listed..EXECUTORS {
            let event = Event::Registered(executor_id(x), Some(self.registration(x)));
            self.at(self.now + 2_000, Happening::Told(owner, event));
        }
        if self.faults.store_outages > 0 && self.now < QUIET_FROM {
            self.store.away_until = self.now + self.rng.random_range(1_000..6_000);
        }
    }

    fn tell(&mut self, owner: usize, event: Event) {
        if !self.owners[owner].is_alive {
            return;
        }
        // The node takes no jobs once its lease may have ended.
        let deposed_at = self.owners[owner].deposed_at;
        let is_late = deposed_at.is_some_and(|at| self.now >= at + TAKES_JOBS_UNCONFIRMED.0);
        if is_late && matches!(event, Event::Accepted(..)) {
            return;
        }
        let clocks = self.clocks();
        let effects = self.owners[owner].state.apply(clocks, event);
        self.carry_out(owner, effects);
    }

    fn carry_out(&mut self, owner: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::StepDown => self.owners[owner].is_alive = false,
                Effect::Save(_)
                | Effect::Hold(..)
                | Effect::Start(..)
                | Effect::Stop { .. }
                | Effect::Pace { .. } => self.send(owner, effect),
                _ => {}
            }
        }
        let next = self.owners[owner].state.next_tick();
        if let Some(next) = next.filter(|_| self.owners[owner].is_alive) {
            let at = next.0.max(self.now + 1);
            if self.owners[owner]
                .next_tick
                .is_none_or(|known| at < known || known < self.now)
            {
                self.owners[owner].next_tick = Some(at);
                self.at(at, Happening::Tick(owner));
            }
        }
    }

    fn send(&mut self, owner: usize, order: Effect) {
        let sent = self.now;
        let is_quiet = self.now > QUIET_FROM;
        let is_late = !is_quiet && self.rng.random_bool(self.faults.late_orders);
        let is_lost = !is_quiet && self.rng.random_bool(self.faults.lost_answers);
        let delay = if is_late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.rng.random_range(1..8)
        };
        let is_save = matches!(order, Effect::Save(_));
        let answered = is_save || !(is_late || is_lost);
        if !answered {
            let event = failed(&order, sent, OrderFailure::NoAnswer);
            if let Some(event) = event {
                self.at(self.now + 350, Happening::Told(owner, event));
            }
        }
        let delay = if is_save { 5 } else { delay };
        let x = target_of(&order).map(|target| index_of(&target.id));
        let kept_by = x.filter(|_| is_late).map(|x| self.executors[x].born);
        let order = Happening::Order {
            owner,
            order,
            sent,
            answered,
            kept_by,
        };
        self.at(self.now + delay, order);
    }

    fn order(&mut self, owner: usize, order: Effect, sent: u64, answered: bool) {
        if let Effect::Save(_) = order {
            self.save(owner, order);
            return;
        }
        let Some(x) = target_of(&order).map(|target| index_of(&target.id)) else {
            return;
        };
        let executor = &self.executors[x];
        if !executor.up || executor.cut_until > self.now {
            if answered && let Some(event) = failed(&order, sent, OrderFailure::NoAnswer) {
                self.at(self.now + 350, Happening::Told(owner, event));
            }
            return;
        }
        let event = self.execute(x, &order, sent);
        if let Some(event) = event.filter(|_| answered) {
            let wait = match &order {
                Effect::Hold(_, order) => order.wait.0 / 4,
                _ => 0,
            };
            let delay = self.rng.random_range(1..8) + wait;
            self.at(self.now + delay, Happening::Told(owner, event));
        }
    }

    fn execute(&mut self, x: usize, order: &Effect, sent: u64) -> Option<Event> {
        let executor = executor_id(x);
        let now = self.now;
        Some(match order {
            Effect::Hold(_, order) => {
                let result = self.executors[x].hold(now, order);
                let report = result.map(|(report, acked)| {
                    self.observed.acknowledged(&acked, self.seed);
                    report
                });
                Event::Held {
                    executor,
                    sent: Timestamp(sent),
                    report,
                    is_waiting: order.wait > Span::ZERO,
                }
            }
            Effect::Start(_, order) => {
                let length = self.rng.random_range(100..2_500);
                let running = Running {
                    run: order.run,
                    done_at: Some(now + length),
                    fails: self.rng.random_bool(0.08),
                };
                let result = self.executors[x].start(now, order, running);
                if result == Ok(true) {
                    let executors = &self.executors;
                    self.observed
                        .started(order.task, x, executors, CAPACITY, self.seed);
                    let born = self.executors[x].born;
                    let finish = Happening::Finish(x, born, order.task, order.run);
                    self.at(now + length, finish);
                }
                Event::Started {
                    executor,
                    task: order.task,
                    run: order.run,
                    result: result.map(|_| self.executors[x].clock(now)),
                }
            }
            Effect::Stop {
                task, run, epoch, ..
            } => Event::Stopped {
                executor,
                task: *task,
                run: *run,
                result: self.executors[x].stop(now, *epoch, *task, *run),
            },
            _ => return None,
        })
    }

    fn finish(
        &mut self,
        x: usize,
        born: u64,
        task: guavacart_jobs::TaskKey,
        run: guavacart_jobs::RunNumber,
    ) {
        let executor = &mut self.executors[x];
        executor.lapse(self.now);
        let here = executor.running.get(&task);
        let Some(here) = here.filter(|here| here.run == run && executor.born == born) else {
            return;
        };
        if !executor.up || here.done_at.is_none() {
            return;
        }
        let how = if here.fails {
            HowEnded::Failed
        } else {
            HowEnded::Done
        };
        executor.end(task, how);
        if how == HowEnded::Done {
            self.observed.ended_done(task);
        }
    }

    fn save(&mut self, owner: usize, order: Effect) {
        if self.now < self.store.away_until {
            let again = Happening::Order {
                owner,
                order,
                sent: self.now,
                answered: true,
                kept_by: None,
            };
            self.at(self.now + 100, again);
            return;
        }
        if self.owners[owner].epoch.0 != self.store.epoch {
            self.owners[owner].is_alive = false;
            return;
        }
        let Effect::Save(order) = order else {
            return;
        };
        self.store.progress.extend(order.records);
        if let Some(fleet) = order.fleet {
            self.store.fleet = fleet;
        }
        let saved = Event::Saved { save: order.save };
        self.at(self.now + 4, Happening::Told(owner, saved));
    }
}

fn target_of(order: &Effect) -> Option<&Target> {
    match order {
        Effect::Hold(target, _) | Effect::Start(target, _) => Some(target),
        Effect::Stop { target, .. } | Effect::Pace { target, .. } => Some(target),
        _ => None,
    }
}

/// What an owner is told of an order that was not answered.
fn failed(order: &Effect, sent: u64, failure: OrderFailure) -> Option<Event> {
    let executor = target_of(order)?.id.clone();
    Some(match order {
        Effect::Hold(_, order) => Event::Held {
            executor,
            sent: Timestamp(sent),
            report: Err(failure),
            is_waiting: order.wait > Span::ZERO,
        },
        Effect::Start(_, order) => Event::Started {
            executor,
            task: order.task,
            run: order.run,
            result: Err(failure),
        },
        Effect::Stop { task, run, .. } => Event::Stopped {
            executor,
            task: *task,
            run: *run,
            result: Err(failure),
        },
        _ => return None,
    })
}
