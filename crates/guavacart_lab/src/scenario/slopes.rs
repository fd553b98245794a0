//! What one more member, endpoint, worker, task or request id costs the reducer, with no process
//! and no network: the slopes of docs/CAPACITY.md.

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
    cost::{line, resident_bytes, thread_cpu},
    one_instance::{CELL_WORKERS, OneInstance, busy, configuration, id, job, listed},
    summary::Summary,
};

/// Members of a deployment.
const MEMBERS: [usize; 3] = [3, 9, 16];
/// Endpoints that one instance owns.
const ENDPOINTS: [usize; 3] = [65, 300, 1_200];
/// Workers whose cells one instance owns.
const WORKERS: [usize; 3] = [65, 300, 1_200];
/// Running tasks a worker.
const TASKS_A_WORKER: f64 = 7.5;
/// Tasks of one cell that are taken over.
const TAKEN_OVER: [usize; 3] = [512, 2_048, 5_600];
/// Request ids that a holder keeps.
const IDS: [usize; 3] = [10_000, 40_000, 160_000];
/// Model seconds over which a cost is taken.
const SECONDS: u64 = 20;
/// Starts in a model second at the peak.
const STARTS: usize = 62;
/// Requests over which a cost is taken.
const REQUESTS: u32 = 20_000;
/// Heartbeats to one peer in ten seconds.
const HEARTBEATS_IN_10_S: u32 = 25;
const KEY: &[u8] = b"0123456789abcdef0123456789abcdef";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "slopes",
    about: "what one more member, endpoint, worker, task or id costs one instance's reducer",
    baselines: &[],
    seconds: 0,
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
    series.of("heartbeat_bytes", &MEMBERS, |_| heartbeat_bytes());
    series.of("view_bytes", &MEMBERS, view_bytes);
    series.of("members_us_a_second", &MEMBERS, members_us);
    series.of("endpoints_idle_us_a_second", &ENDPOINTS, endpoints_idle_us);
    series.of("request_us", &ENDPOINTS, request_us);
    batch(&mut series);
    series.of("take_over_us", &TAKEN_OVER, |tasks| take_over(tasks).0);
    series.of("take_over_bytes", &TAKEN_OVER, |tasks| take_over(tasks).1);
    summary
}

/// Measures at several sizes and adds the line through them.
struct Series<'a> {
    summary: &'a mut Summary,
}

impl Series<'_> {
    fn of(&mut self, name: &str, sizes: &[usize], measure: impl Fn(usize) -> f64) {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|size| (*size as f64, measure(*size)))
            .collect();
        self.add(name, &points);
    }

    fn add(&mut self, name: &str, points: &[(f64, f64)]) {
        for (size, value) in points {
            self.summary
                .detail(&format_smolstr!("{name}_at_{size}"), *value);
        }
        let (base, slope) = line(points);
        self.summary.detail(&format_smolstr!("{name}_base"), base);
        self.summary.detail(&format_smolstr!("{name}_slope"), slope);
    }
}

/// Microseconds of this thread's processor time that `work` takes.
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

fn heartbeat(from: usize, one: &OneInstance) -> Heartbeat {
    Heartbeat {
        from: peer(from),
        data_centre: id("dc"),
        sent_at: one.now,
        echo: Some(Echo {
            incarnation: one.state.membership().me().incarnation,
            sent_at: one.now,
        }),
        view_number: one.state.membership().view().number,
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
    let one = OneInstance::open(0, 0);
    seal_datagram(KEY, "i0", heartbeat(1, &one)).map_or(0.0, |datagram| datagram.len() as f64)
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

/// A second of heartbeats with all peers, sealed, opened and applied.
fn members_us(members: usize) -> f64 {
    let mut one = OneInstance::open(0, 0);
    let mut with_me = view(members);
    with_me.members.push(ViewMember {
        member: one.state.membership().me().clone(),
        data_centre: id("dc"),
    });
    with_me.members.sort();
    one.feed(Event::Membership(MembershipEvent::ViewRead {
        requested_at: one.now,
        view: Some(with_me),
        revision: Revision(9),
    }));
    let beats = SECONDS as u32 * HEARTBEATS_IN_10_S / 10;
    let total = cpu_us(|| {
        for _ in 0..beats {
            for n in 1..members {
                exchange(&mut one, n);
            }
            one.run(Span::millis(400));
        }
    });
    total / SECONDS as f64
}

/// One heartbeat to a peer and one from it, through the wire's form.
fn exchange(one: &mut OneInstance, n: usize) {
    let sealed = seal_datagram(KEY, "i0", heartbeat(n, one)).unwrap_or_default();
    if let Ok(opened) = open_datagram(KEY, "i0", &sealed) {
        let event = MembershipEvent::Heartbeat(Box::new(opened));
        one.feed(Event::Membership(event));
    }
    black_box(seal_datagram(KEY, "p1", heartbeat(n, one)).unwrap_or_default());
}

fn endpoints_idle_us(endpoints: usize) -> f64 {
    let mut one = OneInstance::open(0, endpoints);
    cpu_us(|| one.run(Span::secs(SECONDS))) / SECONDS as f64
}

fn request_us(endpoints: usize) -> f64 {
    let mut one = OneInstance::open(0, endpoints);
    let total = cpu_us(|| (0..REQUESTS).for_each(|_| one.request(true)));
    total / f64::from(REQUESTS)
}

/// Memory that instances of growing size take; all are kept, so that none reuses another's.
fn memory(series: &mut Series<'_>) {
    // The first instance pays for what the process itself sets up.
    let mut kept = vec![fleet(CELL_WORKERS)];
    let mut grown = |name: &str, sizes: &[usize], grow: fn(usize) -> OneInstance| {
        let mut points = Vec::new();
        for size in sizes {
            let before = resident_bytes();
            kept.push(grow(*size));
            let bytes = resident_bytes().saturating_sub(before);
            points.push((*size as f64, bytes as f64));
        }
        series.add(name, &points);
    };
    grown("endpoint_bytes", &ENDPOINTS, |endpoints| {
        OneInstance::open(0, endpoints)
    });
    grown("worker_bytes", &WORKERS, |workers| {
        OneInstance::open(workers, 0)
    });
    grown("worker_and_its_tasks_bytes", &WORKERS, fleet);
    grown("request_id_bytes", &IDS, |ids| {
        let mut one = OneInstance::open(0, 65);
        (0..ids).for_each(|_| one.request(false));
        one
    });
    black_box(&kept);
}

fn fleet(workers: usize) -> OneInstance {
    busy(workers, (workers as f64 * TASKS_A_WORKER) as usize)
}

/// Costs of all cells of a fleet by its workers, idle and at the peak of starts.
fn batch(series: &mut Series<'_>) {
    let mut idle = Vec::new();
    let mut peak = Vec::new();
    let mut appends = Vec::new();
    let mut bytes = Vec::new();
    let mut syncs = Vec::new();
    for workers in WORKERS {
        let size = workers as f64;
        let mut one = fleet(workers);
        let quiet = cpu_us(|| one.run(Span::secs(SECONDS)));
        idle.push((size, quiet / SECONDS as f64));
        let from = one.counts;
        let loud = cpu_us(|| {
            for _ in 0..SECONDS {
                one.finish(STARTS);
                one.run(Span::secs(1));
            }
        });
        let seconds = SECONDS as f64;
        peak.push((size, loud / seconds));
        let to = one.counts;
        appends.push((size, (to.appends - from.appends) as f64 / seconds));
        let written = to.append_bytes + to.snapshot_bytes - from.append_bytes - from.snapshot_bytes;
        bytes.push((size, written as f64 / seconds));
        syncs.push((size, (to.syncs - from.syncs) as f64 / seconds));
    }
    series.add("batch_idle_us_a_second", &idle);
    series.add("batch_peak_us_a_second", &peak);
    series.add("batch_peak_appends_a_second", &appends);
    series.add("batch_peak_store_bytes_a_second", &bytes);
    series.add("batch_peak_syncs_a_second", &syncs);
}

/// Microseconds to replay a cell of 64 workers, and the bytes of its records.
fn take_over(tasks: usize) -> (f64, f64) {
    let mut one = OneInstance::open(CELL_WORKERS, 0);
    for n in 0..tasks / 32 {
        one.submit(job(&format!("j{n}"), 32, Span::secs(3_600)));
    }
    one.run(Span::secs(8));
    let bytes = one.counts.append_bytes as f64;
    let records = one.stored.remove(&id("c0")).unwrap_or_default();
    let mut next = OneInstance::open(0, 0);
    let config = Box::new(guavacart_config::Configuration {
        number: ConfigNumber(2),
        ..configuration(CELL_WORKERS)
    });
    let now = next.now;
    next.state
        .apply(now, Event::Config(ConfigEvent::Read(config)));
    next.state
        .apply(now, Event::ListRead(listed(CELL_WORKERS, 0)));
    let effects = next.state.apply(now, Event::Tick);
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
        black_box(next.state.apply(now, event));
    });
    (us, bytes)
}
