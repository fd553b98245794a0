//! Half load; what guavacart adds to a direct call, which is made in the same seconds.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, HALF, OWN, WORK},
};
use crate::{
    balancer::Balancer,
    caller::{self, CallerSpec, Entrances, Form, Record, Schedule, latencies},
    cluster::ClusterError,
    endpoint::Endpoint,
    host::Host,
    request_ledger::RequestLedger,
    summary::{Summary, Target},
};

/// Most that guavacart may add to the median, in milliseconds.
const MOST_ADDED_P50_MS: f64 = 1.5;
/// Most that it may add to the 99th percentile, in milliseconds.
const MOST_ADDED_P99_MS: f64 = 4.0;
/// Rate of the direct calls as a share of the load.
const DIRECT_SHARE: f64 = 0.2;
/// Longest wait for the endpoints of the control to be found healthy.
const HEALTHY_WITHIN: Duration = Duration::from_secs(10);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "steady",
    about: "half load; latency added to a direct call",
    baselines: &[],
    seconds: 30,
    run,
};

/// Endpoints behind a balancer of their own, called without guavacart.
struct Control {
    balancer: Balancer,
    _endpoints: Vec<Endpoint>,
}

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(steady(cx))
}

async fn steady(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let control = Control::open(&bench).await?;
    let direct = Record::default();
    let before = used_seconds(&bench).await;
    let length = bench.cx.length;
    let control_load = caller::run(
        direct_caller(&bench),
        Entrances::open(vec![control.balancer.address()]),
        length,
        bench.cx.seed,
        direct.clone(),
    );
    let own = bench.offer(vec![bench.short(OWN, HALF)], length);
    let (own, ()) = tokio::join!(own, control_load);
    own?;
    let used = used_seconds(&bench).await - before;
    let mut summary = bench.summary(SCENARIO.name).await;
    compare(&mut summary, &direct);
    let instances = bench.cluster.spec.instances as f64;
    let rate = summary.answered as f64 / length.as_secs_f64();
    summary.detail("answered_per_instance_per_s", rate / instances);
    let cpu_us = used * 1e6 / (summary.requests as f64).max(1.0);
    summary.detail("cpu_us_per_request", cpu_us);
    Ok(summary)
}

impl Control {
    async fn open(bench: &Bench) -> Result<Self, ScenarioError> {
        let balancer = Balancer::bind().await.map_err(ClusterError::from)?;
        let spec = &bench.cluster.spec;
        let ledger = RequestLedger::default();
        let mut endpoints = Vec::new();
        for i in 0..spec.endpoints {
            let id = format!("direct{i}").parse().map_err(ClusterError::from)?;
            let service = spec.service.parse().map_err(ClusterError::from)?;
            let host = Host::open(spec.capacity.processors.0, Default::default());
            let endpoint = Endpoint::bind(id, service, host, ledger.clone())
                .await
                .map_err(ClusterError::from)?;
            balancer.add(endpoint.id(), endpoint.address());
            endpoints.push(endpoint);
        }
        let deadline = tokio::time::Instant::now() + HEALTHY_WITHIN;
        while balancer.healthy().len() < endpoints.len() {
            if tokio::time::Instant::now() > deadline {
                let what = SmolStr::new("health of the control's endpoints");
                let limit = HEALTHY_WITHIN;
                return Err(ClusterError::TimedOut { what, limit }.into());
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(Self {
            balancer,
            _endpoints: endpoints,
        })
    }
}

fn direct_caller(bench: &Bench) -> CallerSpec {
    let teams = &bench.cluster.spec.teams;
    let offer = bench.short("direct", HALF);
    let rate = bench.team_rate(HALF, WORK) * teams.len() as f64 * DIRECT_SHARE;
    CallerSpec {
        name: format_smolstr!("direct"),
        form: Form::Direct,
        schedule: Schedule::constant(rate),
        ..bench.caller(&offer, &teams[0])
    }
}

async fn used_seconds(bench: &Bench) -> f64 {
    bench.cluster.cpu_seconds().await.values().sum()
}

fn compare(summary: &mut Summary, direct: &Record) {
    let direct = latencies(&direct.attempts(), |_| true);
    let (p50, p99) = (direct.quantile_ms(0.5), direct.quantile_ms(0.99));
    summary.detail("direct_calls", direct.len() as f64);
    summary.detail("direct_p50_ms", p50);
    summary.detail("direct_p99_ms", p99);
    let added_p50 = summary.p50_ms - p50;
    let added_p99 = summary.p99_ms - p99;
    summary.targets = vec![
        Target::at_most("added_p50_ms", MOST_ADDED_P50_MS, added_p50),
        Target::at_most("added_p99_ms", MOST_ADDED_P99_MS, added_p99),
    ];
}
