//! Few long requests among short ones; the same short ones alone are the control.

use std::time::Duration;

use guavacart_types::Class;
use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, OWN, Offer, of_class, times},
};
use crate::{
    caller::Schedule,
    summary::{Summary, Target},
};

/// Service time of a short request.
const SHORT_WORK: Duration = Duration::from_millis(40);
/// How many times longer a long one runs.
const LONGER: u32 = 100;
/// Share of long requests.
const LONG_SHARE: f64 = 0.05;
/// Load.
const LOAD: f64 = 0.7;
/// Most times that the short ones' 99th percentile may be that of the control.
const MOST_TIMES: f64 = 1.5;
const CONTROL: &str = "control";
const FIFO: &str = "fifo";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "hol",
    about: "5% of requests run 100 times longer, at 70% load",
    baselines: &[FIFO],
    seconds: 30,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(hol(cx))
}

async fn hol(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let length = bench.cx.length;
    bench.offer(vec![short(&bench, CONTROL)], length).await?;
    let mixed = vec![short(&bench, OWN), long(&bench, OWN)];
    bench.offer(mixed, length).await?;
    let control = of_class(&bench.attempts(CONTROL), Class::Short);
    let own = bench.attempts(OWN);
    let (short_own, long_own) = (of_class(&own, Class::Short), of_class(&own, Class::Long));
    if bench.cx.baseline.is_some() {
        bench.change_service(1, json!({ "queueing": FIFO })).await?;
        let mixed = vec![short(&bench, FIFO), long(&bench, FIFO)];
        bench.offer(mixed, length).await?;
    }
    let mut summary = bench.summary(SCENARIO.name).await;
    let control_p99 = control.quantile_ms(0.99);
    summary.targets = vec![Target::at_most(
        "short_p99_ms",
        times(MOST_TIMES, control_p99),
        short_own.quantile_ms(0.99),
    )];
    summary.detail("control_short_p50_ms", control.quantile_ms(0.5));
    summary.detail("control_short_p99_ms", control_p99);
    summary.detail("short_p50_ms", short_own.quantile_ms(0.5));
    summary.detail("long_p50_ms", long_own.quantile_ms(0.5));
    summary.detail("long_p99_ms", long_own.quantile_ms(0.99));
    summary.detail("long_answered", long_own.len() as f64);
    if bench.cx.baseline.is_some() {
        let fifo = of_class(&bench.attempts(FIFO), Class::Short);
        summary.detail("fifo_short_p50_ms", fifo.quantile_ms(0.5));
        summary.detail("fifo_short_p99_ms", fifo.quantile_ms(0.99));
        summary.detail("fifo_short_answered", fifo.len() as f64);
    }
    Ok(summary)
}

/// Requests of one team in a second, long ones included.
fn rate(bench: &Bench) -> f64 {
    let mean = 1.0 - LONG_SHARE + LONG_SHARE * f64::from(LONGER);
    bench.team_rate(LOAD, SHORT_WORK.mul_f64(mean))
}

fn short(bench: &Bench, phase: &'static str) -> Offer {
    Offer {
        phase,
        class: Class::Short,
        schedule: Schedule::constant(rate(bench) * (1.0 - LONG_SHARE)),
        work: SHORT_WORK,
    }
}

fn long(bench: &Bench, phase: &'static str) -> Offer {
    Offer {
        phase,
        class: Class::Long,
        schedule: Schedule::constant(rate(bench) * LONG_SHARE),
        work: SHORT_WORK * LONGER,
    }
}
