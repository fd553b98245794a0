//! At half load, compares the latency of calls through guavacart with that of direct calls made at
//! the same time.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, HALF_LOAD, OWN_PHASE, SERVICE_TIME, Testbed},
};
use crate::{
    balancer::Balancer,
    caller::{self, AttemptLog, CallPath, CallerSpec, EntryAddresses, Schedule, latencies},
    cluster::ClusterError,
    endpoint::Endpoint,
    host::Host,
    request_ledger::RequestLedger,
    summary::{Summary, Target},
};

/// Limit for the latency that guavacart adds at the median, in milliseconds.
const MAX_ADDED_P50_MS: f64 = 1.5;
/// Limit for the latency that guavacart adds at the 99th percentile, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 4.0;
/// Rate of the direct calls, relative to the load through guavacart.
const DIRECT_SHARE: f64 = 0.2;
/// Longest wait until the balancer of the control finds all endpoints healthy.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of the endpoints' health.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "steady",
    description: "half load; latency added to a direct call",
    baselines: &[],
    default_seconds: 30,
    run,
};

/// The control: endpoints with a balancer of their own, which are called without guavacart.
struct Control {
    balancer: Balancer,
    _endpoints: Vec<Endpoint>,
}

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(steady(cx))
}

async fn steady(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let control = Control::open(&testbed).await?;
    let direct = AttemptLog::default();
    let cpu_s_before = used_cpu_seconds(&testbed).await;
    let length = testbed.cx.load_length;
    let control_load = caller::run(
        direct_caller(&testbed),
        EntryAddresses::open(vec![control.balancer.address()]),
        length,
        testbed.cx.seed,
        direct.clone(),
    );
    let own = testbed.run_load(vec![testbed.short(OWN_PHASE, HALF_LOAD)], length);
    let (own, ()) = tokio::join!(own, control_load);
    own?;
    let used_cpu_s = used_cpu_seconds(&testbed).await - cpu_s_before;
    let mut summary = testbed.summary(SCENARIO.name).await;
    compare(&mut summary, &direct);
    let instances = testbed.cluster.spec.instances as f64;
    let rate = summary.answered as f64 / length.as_secs_f64();
    summary.add_detail("answered_per_instance_per_s", rate / instances);
    let cpu_us = used_cpu_s * 1e6 / (summary.requests as f64).max(1.0);
    summary.add_detail("cpu_us_per_request", cpu_us);
    Ok(summary)
}

impl Control {
    async fn open(testbed: &Testbed) -> Result<Self, ScenarioError> {
        let balancer = Balancer::bind().await.map_err(ClusterError::from)?;
        let spec = &testbed.cluster.spec;
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
        let deadline = tokio::time::Instant::now() + HEALTHY_TIMEOUT;
        while balancer.healthy().len() < endpoints.len() {
            if tokio::time::Instant::now() > deadline {
                let what = SmolStr::new("health of the control's endpoints");
                let limit = HEALTHY_TIMEOUT;
                return Err(ClusterError::TimedOut { what, limit }.into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(Self {
            balancer,
            _endpoints: endpoints,
        })
    }
}

fn direct_caller(testbed: &Testbed) -> CallerSpec {
    let teams = &testbed.cluster.spec.teams;
    let load = testbed.short("direct", HALF_LOAD);
    let rate = testbed.team_rate(HALF_LOAD, SERVICE_TIME) * teams.len() as f64 * DIRECT_SHARE;
    CallerSpec {
        name: format_smolstr!("direct"),
        call_path: CallPath::Direct,
        schedule: Schedule::constant(rate),
        ..testbed.caller(&load, &teams[0])
    }
}

async fn used_cpu_seconds(testbed: &Testbed) -> f64 {
    testbed.cluster.cpu_seconds().await.values().sum()
}

fn compare(summary: &mut Summary, direct: &AttemptLog) {
    let direct = latencies(&direct.attempts(), |_| true);
    let (p50, p99) = (direct.quantile_ms(0.5), direct.quantile_ms(0.99));
    summary.add_detail("direct_calls", direct.len() as f64);
    summary.add_detail("direct_p50_ms", p50);
    summary.add_detail("direct_p99_ms", p99);
    let added_p50 = summary.p50_ms - p50;
    let added_p99 = summary.p99_ms - p99;
    summary.targets = vec![
        Target::at_most("added_p50_ms", MAX_ADDED_P50_MS, added_p50),
        Target::at_most("added_p99_ms", MAX_ADDED_P99_MS, added_p99),
    ];
}
