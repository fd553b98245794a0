//! Load triples within two seconds to 150% of capacity (the crest), stays there, and falls back.

use std::time::Duration;

use guavacart_types::Class;
use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, HALF_LOAD, OWN_PHASE, OfferedLoad, SERVICE_TIME, Testbed, scaled_limit},
};
use crate::{
    caller::{Attempt, Ending, Latencies, Schedule, latencies},
    clock::now_us,
    summary::{Summary, Target},
};

/// Load at the crest, as a multiple of the capacity.
const CREST_LOAD: f64 = 1.5;
/// Time in which the load rises to the crest, and time in which it falls back.
const RAMP: Duration = Duration::from_secs(2);
/// Time of half load before the crest and after it; at most a quarter of the run.
const STEADY_TIME: Duration = Duration::from_secs(10);
/// Time after the fall within which latency has to be back to normal.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Least goodput at the crest, as a share of the capacity.
const MIN_GOODPUT: f64 = 0.95;
/// Limit for the 99th percentile of the time until a request is refused, in milliseconds.
const MAX_REFUSAL_P99_MS: f64 = 10.0;
/// Latency counts as normal up to this multiple of the latency before the crest.
const MAX_RECOVERED_FACTOR: f64 = 1.25;
const NO_ADMISSION: &str = "no-admission";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "crest",
    description: "load triples within 2 s to 150% of capacity and falls back",
    baselines: &[NO_ADMISSION],
    default_seconds: 36,
    run,
};

/// What was measured in one phase.
struct Measurements {
    goodput: f64,
    refusals: Latencies,
    before_p99_ms: f64,
    after_p99_ms: f64,
    crest_p99_ms: f64,
}

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(crest(cx))
}

async fn crest(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let own = measure(&testbed, OWN_PHASE).await?;
    let baseline = match testbed.cx.baseline {
        Some(_) => {
            testbed
                .change_service(1, json!({ "admission": false }))
                .await?;
            Some(measure(&testbed, NO_ADMISSION).await?)
        }
        None => None,
    };
    let mut summary = testbed.summary(SCENARIO.name).await;
    summary.targets = vec![
        Target::at_least("min_goodput_share", MIN_GOODPUT, own.goodput),
        Target::at_most(
            "refusal_p99_ms",
            MAX_REFUSAL_P99_MS,
            own.refusals.quantile_ms(0.99),
        ),
        Target::at_most(
            "recovered_p99_ms",
            scaled_limit(MAX_RECOVERED_FACTOR, own.before_p99_ms),
            own.after_p99_ms,
        ),
    ];
    summary.add_detail("refusals", own.refusals.len() as f64);
    summary.add_detail("refusal_max_ms", own.refusals.quantile_ms(1.0));
    summary.add_detail("crest_p99_ms", own.crest_p99_ms);
    if let Some(measured) = baseline {
        summary.add_detail("no_admission_goodput_share", measured.goodput);
        summary.add_detail("no_admission_refusals", measured.refusals.len() as f64);
        let refusal = measured.refusals.quantile_ms(0.99);
        summary.add_detail("no_admission_refusal_p99_ms", refusal);
        summary.add_detail("no_admission_before_p99_ms", measured.before_p99_ms);
        summary.add_detail("no_admission_crest_p99_ms", measured.crest_p99_ms);
        summary.add_detail("no_admission_recovered_p99_ms", measured.after_p99_ms);
    }
    Ok(summary)
}

async fn measure(testbed: &Testbed, phase: &'static str) -> Result<Measurements, ScenarioError> {
    let length = testbed.cx.load_length;
    let rise_start = STEADY_TIME.min(length / 4);
    let crest_start = rise_start + RAMP;
    let crest_end = length.saturating_sub(rise_start + RAMP).max(crest_start);
    let fall_end = crest_end + RAMP;
    let (low, high) = (HALF_LOAD, CREST_LOAD);
    let points = [
        (rise_start, low),
        (crest_start, high),
        (crest_end, high),
        (fall_end, low),
    ];
    let rate = |(at, share)| (at, testbed.team_rate(share, SERVICE_TIME));
    let offer = OfferedLoad {
        phase,
        class: Class::Short,
        schedule: Schedule::through(points.map(rate).to_vec()),
        service_time: SERVICE_TIME,
    };
    let start_us = now_us();
    testbed.run_load(vec![offer], length).await?;
    let attempts = testbed.attempts(phase);
    let at = |span: Duration| start_us + span.as_micros() as u64;
    let latencies_due =
        |from, to| latencies(&attempts, |a| a.due_us >= at(from) && a.due_us < at(to));
    let crest_length = crest_end - crest_start;
    let good_answers = attempts.iter().filter(|a| {
        a.ending == Ending::Answered && a.ended_us >= at(crest_start) && a.ended_us < at(crest_end)
    });
    let rate = good_answers.count() as f64 / crest_length.as_secs_f64();
    Ok(Measurements {
        goodput: rate / testbed.capacity(SERVICE_TIME),
        refusals: refusals(&attempts),
        before_p99_ms: latencies_due(Duration::ZERO, rise_start).quantile_ms(0.99),
        after_p99_ms: latencies_due(fall_end + RECOVERY_TIME, length).quantile_ms(0.99),
        crest_p99_ms: latencies_due(crest_start, crest_end).quantile_ms(0.99),
    })
}

/// Returns the time from sending to the refusal of each attempt that was refused.
fn refusals(attempts: &[Attempt]) -> Latencies {
    let mut refusals = Latencies::default();
    for attempt in attempts {
        if matches!(attempt.ending, Ending::NotRun(_)) {
            refusals.push(attempt.ended_us.saturating_sub(attempt.sent_us));
        }
    }
    refusals
}
