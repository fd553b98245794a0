//! Measures what each further member, endpoint, worker, task or request id costs the reducer,
//! without processes and without a network: the slopes in docs/CAPACITY.md.

use std::hint::black_box;

use guavacart_scheduler::{
    Effect, Event,
    batch::{BatchEffect, BatchEvent, journal::Stored},
    config::ConfigEvent,
    membership::{Echo, Heartbeat, Load, Member, MembershipEvent, ServiceLoad, View, ViewMember},
};
use guavacart_types::{ConfigNumber, Incarnation, Revision, Span, ViewNumber};
use guavacart_wire::{encode_view, open_datagram, seal_datagram};
use smol_str::format_smolstr;

use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    cost::{fit_line, resident_bytes, thread_cpu},
    one_instance::{CELL_WORKERS, OneInstance, busy, configuration, id, job, listed},
    summary::Summary,
};

/// Numbers of members of a deployment.
const MEMBERS: [usize; 3] = [3, 9, 16];
/// Numbers of endpoints that one instance owns.
const ENDPOINTS: [usize; 3] = [65, 300, 1_200];
/// Numbers of workers in the cells that one instance owns.
const WORKERS: [usize; 3] = [65, 300, 1_200];
/// Running tasks per worker.
const TASKS_PER_WORKER: f64 = 7.5;
/// Numbers of tasks of a cell that is taken over.
const TAKEN_OVER: [usize; 3] = [512, 2_048, 5_600];
/// Numbers of request ids that an instance keeps.
const REQUEST_IDS: [usize; 3] = [10_000, 40_000, 160_000];
/// Simulated seconds over which a cost per second is measured.
const SIMULATED_SECONDS: u64 = 20;
/// Task starts per simulated second at the peak.
const STARTS_PER_S: usize = 62;
/// Requests over which the cost of a request is measured.
const REQUESTS: u32 = 20_000;
/// Heartbeats to one peer in ten seconds.
const HEARTBEATS_IN_10_S: u32 = 25;
const KEY: &[u8] = b"0123456789abcdef0123456789abcdef";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "slopes",
    description: "what each further member, endpoint, worker, task or id costs one instance's reducer",
    baselines: &[],
    default_seconds: 0,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(async move {
        let seed = cx.seed;
        let summary = tokio::task::spawn_blocking(move || slopes(seed)).await;
        summary.map_err(ScenarioError::from)
    })
}

fn slopes(seed: u64) -> Summary {
    let mut summary = Summary {
        scenario: SCENARIO.name.into(),
        seed,
        ..Summary::default()
    };
    let mut series = Series {
        summary: &mut summary,
    };
    memory(&mut series);
    series.measure("heartbeat_bytes", &MEMBERS, |_| heartbeat_bytes());
    series.measure("view_bytes", &MEMBERS, view_bytes);
    series.measure("members_us_a_second", &MEMBERS, members_us);
    series.measure("endpoints_idle_us_a_second", &ENDPOINTS, endpoints_idle_us);
    series.measure("request_us", &ENDPOINTS, request_us);
    batch(&mut series);
    series.measure("take_over_us", &TAKEN_OVER, |tasks| takeover_cost(tasks).0);
    series.measure("take_over_bytes", &TAKEN_OVER, |tasks| {
        takeover_cost(tasks).1
    });
    summary
}

/// Adds measurements at several sizes, and the line fitted to them, to the summary.
struct Series<'a> {
    summary: &'a mut Summary,
}

impl Series<'_> {
    fn measure(&mut self, name: &str, sizes: &[usize], measure_at: impl Fn(usize) -> f64) {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|size| (*size as f64, measure_at(*size)))
            .collect();
        self.add(name, &points);
    }

    fn add(&mut self, name: &str, points: &[(f64, f64)]) {
        for (size, value) in points {
            self.summary
                .add_detail(&format_smolstr!("{name}_at_{size}"), *value);
        }
        let (base, slope) = fit_line(points);
        self.summary
            .add_detail(&format_smolstr!("{name}_base"), base);
        self.summary
            .add_detail(&format_smolstr!("{name}_slope"), slope);
    }
}

/// Runs `work` and returns the processor time of this thread that `work` takes, in microseconds.
fn cpu_us(work: impl FnOnce()) -> f64 {
    let before = thread_cpu();
    work();
    (thread_cpu() - before).as_secs_f64() * 1e6
}

fn peer(n: usize) -> Member {
    Member {
        id: id(&format!("p{n}")),
        incarnation: Incarnation(1_796_000_000_000_000),
    }
}

fn heartbeat(from: usize, instance: &OneInstance) -> Heartbeat {
    Heartbeat {
        from: peer(from),
        data_centre: id("dc"),
        sent_at: instance.now,
        echo: Some(Echo {
            incarnation: instance.state.membership().me().incarnation,
            sent_at: instance.now,
        }),
        view_number: instance.state.membership().view().number,
        view: None,
        confirming: true,
        leaving: false,
        delegation: None,
        reachable: Vec::new(),
        config: ConfigNumber(1),
        load: Load {
            services: vec![ServiceLoad {
                service: id("engine"),
                slots: 65,
                free: 30,
                queued: 1,
                teams: vec![(id("red"), 1)],
            }],
        },
    }
}

fn heartbeat_bytes() -> f64 {
    let instance = OneInstance::open(0, 0);
    seal_datagram(KEY, "i0", heartbeat(1, &instance)).map_or(0.0, |datagram| datagram.len() as f64)
}

fn view(members: usize) -> View {
    let member = |n| ViewMember {
        member: peer(n),
        data_centre: id("dc"),
    };
    View {
        number: ViewNumber(100),
        members: (1..members).map(member).collect(),
        open: Vec::new(),
    }
}

fn view_bytes(members: usize) -> f64 {
    encode_view(view(members)).map_or(0.0, |record| record.len() as f64)
}

/// Returns the processor time that heartbeats with all peers take (sealing, opening, applying), in
/// microseconds per second.
fn members_us(members: usize) -> f64 {
    let mut instance = OneInstance::open(0, 0);
    let mut full_view = view(members);
    full_view.members.push(ViewMember {
        member: instance.state.membership().me().clone(),
        data_centre: id("dc"),
    });
    full_view.members.sort();
    instance.apply_event(Event::Membership(MembershipEvent::ViewRead {
        requested_at: instance.now,
        view: Some(full_view),
        revision: Revision(9),
    }));
    let heartbeats = SIMULATED_SECONDS as u32 * HEARTBEATS_IN_10_S / 10;
    let total = cpu_us(|| {
        for _ in 0..heartbeats {
            for n in 1..members {
                exchange(&mut instance, n);
            }
            instance.run(Span::millis(400));
        }
    });
    total / SIMULATED_SECONDS as f64
}

/// Exchanges heartbeats with peer `n`: one is received and applied, one is encoded for sending.
fn exchange(instance: &mut OneInstance, n: usize) {
    let sealed = seal_datagram(KEY, "i0", heartbeat(n, instance)).unwrap_or_default();
    if let Ok(opened) = open_datagram(KEY, "i0", &sealed) {
        let event = MembershipEvent::Heartbeat(Box::new(opened));
        instance.apply_event(Event::Membership(event));
    }
    black_box(seal_datagram(KEY, "p1", heartbeat(n, instance)).unwrap_or_default());
}

fn endpoints_idle_us(endpoints: usize) -> f64 {
    let mut instance = OneInstance::open(0, endpoints);
    cpu_us(|| instance.run(Span::secs(SIMULATED_SECONDS))) / SIMULATED_SECONDS as f64
}

fn request_us(endpoints: usize) -> f64 {
    let mut instance = OneInstance::open(0, endpoints);
    let total = cpu_us(|| (0..REQUESTS).for_each(|_| instance.request(true)));
    total / f64::from(REQUESTS)
}

/// Measures the memory of instances of growing size. All instances are kept, so that none reuses
/// the memory of another.
fn memory(series: &mut Series<'_>) {
    // The memory that the process sets up once is allocated for this instance, before the first
    // measurement.
    let mut instances = vec![loaded_instance(CELL_WORKERS)];
    let mut measure_growth = |name: &str, sizes: &[usize], build: fn(usize) -> OneInstance| {
        let mut points = Vec::new();
        for size in sizes {
            let before = resident_bytes();
            instances.push(build(*size));
            let bytes = resident_bytes().saturating_sub(before);
            points.push((*size as f64, bytes as f64));
        }
        series.add(name, &points);
    };
    measure_growth("endpoint_bytes", &ENDPOINTS, |endpoints| {
        OneInstance::open(0, endpoints)
    });
    measure_growth("worker_bytes", &WORKERS, |workers| {
        OneInstance::open(workers, 0)
    });
    measure_growth("worker_and_its_tasks_bytes", &WORKERS, loaded_instance);
    measure_growth("request_id_bytes", &REQUEST_IDS, |ids| {
        let mut instance = OneInstance::open(0, 65);
        (0..ids).for_each(|_| instance.request(false));
        instance
    });
    black_box(&instances);
}

fn loaded_instance(workers: usize) -> OneInstance {
    busy(workers, (workers as f64 * TASKS_PER_WORKER) as usize)
}

/// Measures what all cells together cost by number of workers, while idle and at the peak of task
/// starts.
fn batch(series: &mut Series<'_>) {
    let mut idle = Vec::new();
    let mut peak = Vec::new();
    let mut appends = Vec::new();
    let mut bytes = Vec::new();
    let mut syncs = Vec::new();
    for workers in WORKERS {
        let size = workers as f64;
        let mut instance = loaded_instance(workers);
        let idle_us = cpu_us(|| instance.run(Span::secs(SIMULATED_SECONDS)));
        idle.push((size, idle_us / SIMULATED_SECONDS as f64));
        let before = instance.counts;
        let peak_us = cpu_us(|| {
            for _ in 0..SIMULATED_SECONDS {
                instance.finish(STARTS_PER_S);
                instance.run(Span::secs(1));
            }
        });
        let seconds = SIMULATED_SECONDS as f64;
        peak.push((size, peak_us / seconds));
        let after = instance.counts;
        appends.push((size, (after.appends - before.appends) as f64 / seconds));
        let written_bytes =
            after.append_bytes + after.snapshot_bytes - before.append_bytes - before.snapshot_bytes;
        bytes.push((size, written_bytes as f64 / seconds));
        syncs.push((size, (after.syncs - before.syncs) as f64 / seconds));
    }
    series.add("batch_idle_us_a_second", &idle);
    series.add("batch_peak_us_a_second", &peak);
    series.add("batch_peak_appends_a_second", &appends);
    series.add("batch_peak_store_bytes_a_second", &bytes);
    series.add("batch_peak_syncs_a_second", &syncs);
}

/// Returns the microseconds to replay a cell of 64 workers, and the bytes of its records.
fn takeover_cost(tasks: usize) -> (f64, f64) {
    let mut instance = OneInstance::open(CELL_WORKERS, 0);
    for n in 0..tasks / 32 {
        instance.submit(job(&format!("j{n}"), 32, Span::secs(3_600)));
    }
    instance.run(Span::secs(8));
    let bytes = instance.counts.append_bytes as f64;
    let records = instance.stored.remove(&id("c0")).unwrap_or_default();
    let mut successor = OneInstance::open(0, 0);
    let config = Box::new(guavacart_config::Configuration {
        number: ConfigNumber(2),
        ..configuration(CELL_WORKERS)
    });
    let now = successor.now;
    successor
        .state
        .apply(now, Event::Config(ConfigEvent::Read(config)));
    successor
        .state
        .apply(now, Event::ListRead(listed(CELL_WORKERS, 0)));
    let effects = successor.state.apply(now, Event::Tick);
    let read = effects.into_iter().find_map(|effect| match effect {
        Effect::Batch(BatchEffect::ReadCell { cell, read }) => Some((cell, read)),
        _ => None,
    });
    let Some((cell, read)) = read else {
        return (0.0, bytes);
    };
    let stored = Stored {
        records,
        ..Stored::default()
    };
    let result = Ok(Box::new(stored));
    let event = Event::Batch(BatchEvent::CellRead { cell, read, result });
    let us = cpu_us(|| {
        black_box(successor.state.apply(now, event));
    });
    (us, bytes)
}
