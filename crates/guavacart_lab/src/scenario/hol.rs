//! Head-of-line blocking: a few long requests among short ones. The control runs the same short
//! requests alone.

use std::time::Duration;

use guavacart_types::Class;
use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, OWN_PHASE, OfferedLoad, Testbed, latencies_of_class, scaled_limit},
};
use crate::{
    caller::Schedule,
    summary::{Summary, Target},
};

/// Service time of a short request.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(40);
/// Service time of a long request, relative to a short one.
const LONG_FACTOR: u32 = 100;
/// Share of requests that are long.
const LONG_SHARE: f64 = 0.05;
/// Load with the long requests, as a share of the capacity.
const LOAD_SHARE: f64 = 0.7;
/// Largest allowed ratio of the short requests' 99th percentile to that of the control.
const MAX_FACTOR_OVER_CONTROL: f64 = 1.5;
const CONTROL_PHASE: &str = "control";
const FIFO: &str = "fifo";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "hol",
    description: "5% of requests run 100 times longer, at 70% load",
    baselines: &[FIFO],
    default_seconds: 30,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(hol(cx))
}

async fn hol(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let length = testbed.cx.load_length;
    testbed
        .run_load(vec![short(&testbed, CONTROL_PHASE)], length)
        .await?;
    let mixed = vec![short(&testbed, OWN_PHASE), long(&testbed, OWN_PHASE)];
    testbed.run_load(mixed, length).await?;
    let control = latencies_of_class(&testbed.attempts(CONTROL_PHASE), Class::Short);
    let own = testbed.attempts(OWN_PHASE);
    let (short_own, long_own) = (
        latencies_of_class(&own, Class::Short),
        latencies_of_class(&own, Class::Long),
    );
    if testbed.cx.baseline.is_some() {
        testbed
            .change_service(1, json!({ "queueing": FIFO }))
            .await?;
        let mixed = vec![short(&testbed, FIFO), long(&testbed, FIFO)];
        testbed.run_load(mixed, length).await?;
    }
    let mut summary = testbed.summary(SCENARIO.name).await;
    let control_p99 = control.quantile_ms(0.99);
    summary.targets = vec![Target::at_most(
        "short_p99_ms",
        scaled_limit(MAX_FACTOR_OVER_CONTROL, control_p99),
        short_own.quantile_ms(0.99),
    )];
    summary.add_detail("control_short_p50_ms", control.quantile_ms(0.5));
    summary.add_detail("control_short_p99_ms", control_p99);
    summary.add_detail("short_p50_ms", short_own.quantile_ms(0.5));
    summary.add_detail("long_p50_ms", long_own.quantile_ms(0.5));
    summary.add_detail("long_p99_ms", long_own.quantile_ms(0.99));
    summary.add_detail("long_answered", long_own.len() as f64);
    if testbed.cx.baseline.is_some() {
        let fifo = latencies_of_class(&testbed.attempts(FIFO), Class::Short);
        summary.add_detail("fifo_short_p50_ms", fifo.quantile_ms(0.5));
        summary.add_detail("fifo_short_p99_ms", fifo.quantile_ms(0.99));
        summary.add_detail("fifo_short_answered", fifo.len() as f64);
    }
    Ok(summary)
}

/// Returns the requests per second of one team, including the long ones.
fn requests_per_s(testbed: &Testbed) -> f64 {
    let mean_factor = 1.0 - LONG_SHARE + LONG_SHARE * f64::from(LONG_FACTOR);
    testbed.team_rate(LOAD_SHARE, SHORT_SERVICE_TIME.mul_f64(mean_factor))
}

fn short(testbed: &Testbed, phase: &'static str) -> OfferedLoad {
    OfferedLoad {
        phase,
        class: Class::Short,
        schedule: Schedule::constant(requests_per_s(testbed) * (1.0 - LONG_SHARE)),
        service_time: SHORT_SERVICE_TIME,
    }
}

fn long(testbed: &Testbed, phase: &'static str) -> OfferedLoad {
    OfferedLoad {
        phase,
        class: Class::Long,
        schedule: Schedule::constant(requests_per_s(testbed) * LONG_SHARE),
        service_time: SHORT_SERVICE_TIME * LONG_FACTOR,
    }
}
