//! Workers with a hidden table of interference and reports that come 5 s late.

use std::collections::{BTreeMap, VecDeque};

use guavacart_config::{BatchRule, Configuration, SharingPolicy};
use guavacart_scheduler::{
    directory::{Directory, ListedInstance, Role},
    interference::{
        Action, Colocation, Decision, Pressure, Pressures, RunningTask, ServiceSample,
        ServiceSignal,
    },
};
use guavacart_types::{
    Attempt, BatchClass, Resources, ServiceName, Span, TaskId, Timestamp, WorkerId, mix,
};

/// Lateness of reports.
const LATE: Span = Span::secs(5);
/// Time between two steps of the fake.
const STEP: Span = Span::millis(500);
/// Workers, half of them with each service.
const WORKERS: usize = 12;
/// Tasks that one worker holds.
const PLACES: usize = 4;
/// Pressure of one task at full speed.
const TASK_PRESSURE: Pressure = Pressure(200);
/// Latency without batch work at no load, in milliseconds.
const IDLE_P99: f64 = 40.0;

pub(crate) const SERVICES: [&str; 2] = ["draft", "code"];
pub(crate) const CLASSES: [&str; 3] = ["deck", "index", "recode"];
/// Added latency by service and class, as a share for a whole worker of pressure.
pub(crate) type Table = [[f64; 3]; 2];

pub(crate) const TABLE: Table = [[0.1, 1.5, 0.5], [0.9, 0.05, 0.4]];
pub(crate) const CHANGED: Table = [[1.5, 0.1, 0.5], [0.05, 0.9, 0.4]];

pub(crate) fn service(index: usize) -> ServiceName {
    SERVICES[index].parse().expect("as the fake made it")
}

pub(crate) fn class(index: usize) -> BatchClass {
    CLASSES[index].parse().expect("as the fake made it")
}

pub(crate) fn worker(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("as the fake made it")
}

/// What is counted over a run.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) evictions: u32,
    pub(crate) speed_changes: u32,
    pub(crate) work: f64,
    latency: f64,
    seen: u32,
}

impl Counts {
    /// Mean latency over that without batch work.
    pub(crate) fn slowdown(&self) -> f64 {
        self.latency / f64::from(self.seen)
    }
}

/// The whole fake.
pub(crate) struct Fake {
    pub(crate) now: Timestamp,
    pub(crate) colocation: Colocation,
    pub(crate) configuration: Configuration,
    pub(crate) table: Table,
    pub(crate) busy: f64,
    pub(crate) counts: Counts,
    pub(crate) tasks: Vec<RunningTask>,
    pub(crate) decides: bool,
    late: VecDeque<(Timestamp, usize, ServiceSample)>,
    seed: u64,
    drawn: u64,
    started: u64,
}

pub(crate) fn directory() -> Directory {
    let listed = |role| ListedInstance {
        data_centre: "dc".parse().expect("as the fake made it"),
        address: ([127, 0, 0, 1], 80).into(),
        leaving: false,
        role,
    };
    let endpoint = |w: usize| Role::Endpoint {
        id: format!("e{w}").parse().expect("as the fake made it"),
        service: service(w % 2),
        worker: Some(worker(w)),
    };
    let machine = |w: usize| Role::Worker {
        id: worker(w),
        rack: "r".parse().expect("as the fake made it"),
        capacity: Resources::default(),
    };
    let mut directory = Directory::default();
    let roles = (0..WORKERS).flat_map(|w| [endpoint(w), machine(w)]);
    directory.replace(Timestamp(0), roles.map(listed).collect());
    directory
}

pub(crate) fn configuration(policy: SharingPolicy) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.sharing.policy = policy;
    for index in 0..CLASSES.len() {
        let rule = BatchRule {
            throttled_percent: 25,
            checkpoints: true,
        };
        configuration.batch_classes.insert(class(index), rule);
    }
    configuration
}

impl Fake {
    pub(crate) fn new(seed: u64, policy: SharingPolicy) -> Self {
        let mut colocation = Colocation::default();
        colocation.listed(&directory());
        Self {
            now: Timestamp(1_000_000),
            colocation,
            configuration: configuration(policy),
            table: TABLE,
            busy: 0.4,
            counts: Counts::default(),
            tasks: Vec::new(),
            decides: true,
            late: VecDeque::new(),
            seed,
            drawn: 0,
            started: 0,
        }
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.place();
        self.tell_pressures();
        self.progress();
        self.report();
        self.signal();
        if self.decides {
            let decisions = self
                .colocation
                .decide(self.now, &self.configuration, &self.tasks);
            decisions.iter().for_each(|d| self.carry_out(d));
        }
    }

    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        mix(self.seed, self.drawn) as f64 / u64::MAX as f64
    }

    /// Starts tasks of random classes on the cheapest workers that have places.
    fn place(&mut self) {
        while self.tasks.len() < WORKERS * PLACES / 2 {
            let kind = class((self.draw() * 3.0) as usize % 3);
            let first = (self.draw() * WORKERS as f64) as usize;
            let free =
                |w: &usize| self.tasks.iter().filter(|t| t.worker == worker(*w)).count() < PLACES;
            let open = (0..WORKERS).map(|w| (w + first) % WORKERS).filter(free);
            let price = |w: &usize| {
                self.colocation.price(
                    self.now,
                    &self.configuration,
                    &worker(*w),
                    &kind,
                    &Pressures::new(),
                )
            };
            let place = open.min_by_key(price).expect("as the fake made it");
            self.started += 1;
            self.tasks.push(RunningTask {
                task: format!("j/{}", self.started)
                    .parse::<TaskId>()
                    .expect("as the fake made it"),
                attempt: Attempt(1),
                worker: worker(place),
                class: kind,
                pressure: TASK_PRESSURE,
                percent: 100,
                progress_ppm: 0,
                at_stake: Span::ZERO,
            });
        }
    }

    fn pressures(&self, w: usize) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for task in self.tasks.iter().filter(|t| t.worker == worker(w)) {
            let kind = CLASSES
                .iter()
                .position(|c| *c == task.class.as_str())
                .expect("as the fake made it");
            sums[kind] += f64::from(task.pressure.0) * f64::from(task.percent) / 100.0;
        }
        sums
    }

    fn tell_pressures(&mut self) {
        for w in 0..WORKERS {
            for (kind, sum) in self.pressures(w).into_iter().enumerate() {
                let pressure = Pressure(sum as u32);
                self.colocation
                    .ran(self.now, &worker(w), &class(kind), pressure);
            }
        }
    }

    fn progress(&mut self) {
        for index in 0..self.tasks.len() {
            let speed = f64::from(self.tasks[index].percent) / 100.0;
            let step = 6_000.0 + 20_000.0 * self.draw();
            self.tasks[index].progress_ppm += (step * speed) as u32;
            self.counts.work += speed;
        }
        self.tasks.retain(|t| t.progress_ppm < 1_000_000);
    }

    fn report(&mut self) {
        for w in 0..WORKERS {
            let added: f64 = (0..3)
                .map(|c| self.table[w % 2][c] * self.pressures(w)[c] / 1_000.0)
                .sum();
            self.counts.latency += 1.0 + added;
            self.counts.seen += 1;
            let noise = 0.95 + 0.1 * self.draw();
            let p99 = IDLE_P99 * (1.0 + self.busy) * (1.0 + added) * noise;
            let sample = ServiceSample {
                service: service(w % 2),
                p99: Span::millis(p99 as u64),
                samples: 100,
            };
            self.late.push_back((self.now, w, sample));
        }
        while self
            .late
            .front()
            .is_some_and(|(at, ..)| self.now.since(*at) >= LATE)
        {
            let (at, w, sample) = self.late.pop_front().expect("as the fake made it");
            self.colocation
                .observe_usage(self.now, &worker(w), at, &[sample]);
        }
    }

    fn signal(&mut self) {
        for index in 0..SERVICES.len() {
            let taken = (self.busy * 48.0) as u32;
            let signal = ServiceSignal {
                slots: 48,
                free: 48u32.saturating_sub(taken),
                queued: taken.saturating_sub(48),
                p99: None,
            };
            self.colocation
                .observe_service(self.now, &service(index), signal);
        }
    }

    fn carry_out(&mut self, decision: &Decision) {
        match decision.action {
            Action::Throttle { percent } => {
                self.counts.speed_changes += 1;
                let task = self.tasks.iter_mut().find(|t| t.task == decision.task);
                task.expect("as the fake made it").percent = percent;
            }
            Action::Move | Action::Stop => {
                self.counts.evictions += 1;
                self.tasks.retain(|t| t.task != decision.task);
            }
        }
    }

    /// The classes by their estimated slope beside a service, worst first.
    pub(crate) fn order(&self, of: usize) -> Vec<usize> {
        let slope = |c: &usize| {
            self.colocation
                .estimate(self.now, &service(of), &class(*c))
                .slope
        };
        let mut order: Vec<usize> = (0..CLASSES.len()).collect();
        order.sort_by(|a, b| slope(b).total_cmp(&slope(a)));
        order
    }
}

/// The classes by their true slope, worst first.
pub(crate) fn true_order(table: &Table, of: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..CLASSES.len()).collect();
    order.sort_by(|a, b| table[of][*b].total_cmp(&table[of][*a]));
    order
}

/// Pressures, for a summary of a failure.
pub(crate) fn slopes(fake: &Fake) -> BTreeMap<(String, String), (f64, f64)> {
    let pairs = (0..2).flat_map(|s| (0..3).map(move |c| (s, c)));
    pairs
        .map(|(s, c)| {
            let e = fake.colocation.estimate(fake.now, &service(s), &class(c));
            (
                (SERVICES[s].into(), CLASSES[c].into()),
                (e.slope, e.deviation),
            )
        })
        .collect()
}
