//! A simulation of workers whose true slopes the estimator doesn't know, with reports delayed by 5 s.

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
    Attempt, BatchClass, Resources, ServiceName, Span, TaskId, Timestamp, WorkerId,
    deterministic_random,
};

/// Delay between a measurement and its report.
const REPORT_DELAY: Span = Span::secs(5);
/// Simulated time between two steps.
const STEP_SPAN: Span = Span::millis(500);
/// Number of workers; each service runs on half of them.
const WORKERS: usize = 12;
/// Number of tasks that run on one worker.
const TASKS_PER_WORKER: usize = 4;
/// Pressure of one task at full speed.
const TASK_PRESSURE: Pressure = Pressure(200);
/// The 99th percentile of latency without load and batch work, in milliseconds.
const IDLE_P99: f64 = 40.0;

pub(crate) const SERVICES: [&str; 2] = ["draft", "code"];
pub(crate) const CLASSES: [&str; 3] = ["deck", "index", "recode"];
/// Latency that each class adds to each service, as a share per whole worker of pressure.
pub(crate) type SlopeTable = [[f64; 3]; 2];

/// The true slopes at the start of a run.
pub(crate) const SLOPES: SlopeTable = [[0.1, 1.5, 0.5], [0.9, 0.05, 0.4]];
/// The true slopes after a change, with the first two classes exchanged.
pub(crate) const CHANGED_SLOPES: SlopeTable = [[1.5, 0.1, 0.5], [0.05, 0.9, 0.4]];

pub(crate) fn service(index: usize) -> ServiceName {
    SERVICES[index].parse().expect("valid by construction")
}

pub(crate) fn class(index: usize) -> BatchClass {
    CLASSES[index].parse().expect("valid by construction")
}

pub(crate) fn worker(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("valid by construction")
}

/// Totals over a run.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) evictions: u32,
    pub(crate) speed_changes: u32,
    pub(crate) work: f64,
    latency: f64,
    samples_seen: u32,
}

impl Totals {
    /// Returns the mean ratio of the latency to the latency without batch work.
    pub(crate) fn slowdown(&self) -> f64 {
        self.latency / f64::from(self.samples_seen)
    }
}

/// Simulated workers, tasks and reports, with the estimator and the controller under test.
pub(crate) struct Simulation {
    pub(crate) now: Timestamp,
    pub(crate) colocation: Colocation,
    pub(crate) configuration: Configuration,
    pub(crate) slopes: SlopeTable,
    pub(crate) busy: f64,
    pub(crate) totals: Totals,
    pub(crate) tasks: Vec<RunningTask>,
    pub(crate) decides: bool,
    delayed_reports: VecDeque<(Timestamp, usize, ServiceSample)>,
    seed: u64,
    drawn: u64,
    started: u64,
}

pub(crate) fn directory() -> Directory {
    let listed = |role| ListedInstance {
        data_centre: "dc".parse().expect("valid by construction"),
        address: ([127, 0, 0, 1], 80).into(),
        leaving: false,
        role,
    };
    let endpoint = |w: usize| Role::Endpoint {
        id: format!("e{w}").parse().expect("valid by construction"),
        service: service(w % 2),
        worker: Some(worker(w)),
    };
    let worker_role = |w: usize| Role::Worker {
        id: worker(w),
        rack: "r".parse().expect("valid by construction"),
        capacity: Resources::default(),
    };
    let mut directory = Directory::default();
    let roles = (0..WORKERS).flat_map(|w| [endpoint(w), worker_role(w)]);
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

impl Simulation {
    pub(crate) fn new(seed: u64, policy: SharingPolicy) -> Self {
        let mut colocation = Colocation::default();
        colocation.update_services(&directory());
        Self {
            now: Timestamp(1_000_000),
            colocation,
            configuration: configuration(policy),
            slopes: SLOPES,
            busy: 0.4,
            totals: Totals::default(),
            tasks: Vec::new(),
            decides: true,
            delayed_reports: VecDeque::new(),
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
        self.now = self.now + STEP_SPAN;
        self.place();
        self.record_pressures();
        self.progress();
        self.report();
        self.signal();
        if self.decides {
            let decisions = self
                .colocation
                .decide(self.now, &self.configuration, &self.tasks);
            decisions.iter().for_each(|d| self.apply(d));
        }
    }

    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        deterministic_random(self.seed, self.drawn) as f64 / u64::MAX as f64
    }

    /// Starts tasks of random classes on the cheapest workers that have room for another task.
    fn place(&mut self) {
        while self.tasks.len() < WORKERS * TASKS_PER_WORKER / 2 {
            let batch_class = class((self.draw() * 3.0) as usize % 3);
            let first = (self.draw() * WORKERS as f64) as usize;
            let free = |w: &usize| {
                self.tasks.iter().filter(|t| t.worker == worker(*w)).count() < TASKS_PER_WORKER
            };
            let open = (0..WORKERS).map(|w| (w + first) % WORKERS).filter(free);
            let price = |w: &usize| {
                self.colocation.price(
                    self.now,
                    &self.configuration,
                    &worker(*w),
                    &batch_class,
                    &Pressures::new(),
                )
            };
            let cheapest = open.min_by_key(price).expect("valid by construction");
            self.started += 1;
            self.tasks.push(RunningTask {
                task: format!("j/{}", self.started)
                    .parse::<TaskId>()
                    .expect("valid by construction"),
                attempt: Attempt(1),
                worker: worker(cheapest),
                class: batch_class,
                pressure: TASK_PRESSURE,
                percent: 100,
                progress_ppm: 0,
                unsaved_run_time: Span::ZERO,
            });
        }
    }

    fn pressures(&self, w: usize) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for task in self.tasks.iter().filter(|t| t.worker == worker(w)) {
            let class_index = CLASSES
                .iter()
                .position(|c| *c == task.class.as_str())
                .expect("valid by construction");
            sums[class_index] += f64::from(task.pressure.0) * f64::from(task.percent) / 100.0;
        }
        sums
    }

    fn record_pressures(&mut self) {
        for w in 0..WORKERS {
            for (class_index, sum) in self.pressures(w).into_iter().enumerate() {
                let pressure = Pressure(sum as u32);
                self.colocation.record_pressure(
                    self.now,
                    &worker(w),
                    &class(class_index),
                    pressure,
                );
            }
        }
    }

    fn progress(&mut self) {
        for index in 0..self.tasks.len() {
            let speed = f64::from(self.tasks[index].percent) / 100.0;
            let step = 6_000.0 + 20_000.0 * self.draw();
            self.tasks[index].progress_ppm += (step * speed) as u32;
            self.totals.work += speed;
        }
        self.tasks.retain(|t| t.progress_ppm < 1_000_000);
    }

    fn report(&mut self) {
        for w in 0..WORKERS {
            let added: f64 = (0..3)
                .map(|c| self.slopes[w % 2][c] * self.pressures(w)[c] / 1_000.0)
                .sum();
            self.totals.latency += 1.0 + added;
            self.totals.samples_seen += 1;
            let noise = 0.95 + 0.1 * self.draw();
            let p99 = IDLE_P99 * (1.0 + self.busy) * (1.0 + added) * noise;
            let sample = ServiceSample {
                service: service(w % 2),
                p99: Span::millis(p99 as u64),
                samples: 100,
            };
            self.delayed_reports.push_back((self.now, w, sample));
        }
        while self
            .delayed_reports
            .front()
            .is_some_and(|(at, ..)| self.now.since(*at) >= REPORT_DELAY)
        {
            let (at, w, sample) = self
                .delayed_reports
                .pop_front()
                .expect("valid by construction");
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

    fn apply(&mut self, decision: &Decision) {
        match decision.action {
            Action::Throttle { percent } => {
                self.totals.speed_changes += 1;
                let task = self.tasks.iter_mut().find(|t| t.task == decision.task);
                task.expect("valid by construction").percent = percent;
            }
            Action::Move | Action::Stop => {
                self.totals.evictions += 1;
                self.tasks.retain(|t| t.task != decision.task);
            }
        }
    }

    /// Returns the classes by their estimated slope beside a service, greatest first.
    pub(crate) fn order(&self, service_index: usize) -> Vec<usize> {
        let slope = |c: &usize| {
            self.colocation
                .estimate(self.now, &service(service_index), &class(*c))
                .slope
        };
        let mut order: Vec<usize> = (0..CLASSES.len()).collect();
        order.sort_by(|a, b| slope(b).total_cmp(&slope(a)));
        order
    }
}

/// Returns the classes by their true slope, greatest first.
pub(crate) fn true_order(slopes: &SlopeTable, service_index: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..CLASSES.len()).collect();
    order.sort_by(|a, b| slopes[service_index][*b].total_cmp(&slopes[service_index][*a]));
    order
}

/// Returns the estimated slope and its deviation for each pair, for failure messages.
pub(crate) fn estimates(sim: &Simulation) -> BTreeMap<(String, String), (f64, f64)> {
    let pairs = (0..2).flat_map(|s| (0..3).map(move |c| (s, c)));
    pairs
        .map(|(s, c)| {
            let e = sim.colocation.estimate(sim.now, &service(s), &class(c));
            (
                (SERVICES[s].into(), CLASSES[c].into()),
                (e.slope, e.deviation),
            )
        })
        .collect()
}
