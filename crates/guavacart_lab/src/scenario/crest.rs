//! Load triples past capacity within two seconds and falls back.

use std::time::Duration;

use guavacart_types::Class;
use serde_json::json;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, HALF, OWN, Offer, WORK, times},
};
use crate::{
    caller::{Attempt, Ending, Latencies, Schedule, latencies},
    clock::now_us,
    summary::{Summary, Target},
};

/// Load at the crest, of the capacity.
const CREST: f64 = 1.5;
/// Time that the load takes to triple, and to fall back.
const RAMP: Duration = Duration::from_secs(2);
/// Time before the crest and after it.
const CALM: Duration = Duration::from_secs(10);
/// Time after the end of the crest by which latency is normal.
const RECOVERY: Duration = Duration::from_secs(3);
/// Least goodput at the crest, of the capacity.
const LEAST_GOODPUT: f64 = 0.95;
/// Longest time for a refusal to be made, in milliseconds.
const REFUSAL_MS: f64 = 10.0;
/// Latency is normal up to this many times what it was before the crest.
const NORMAL_TIMES: f64 = 1.25;
const NO_ADMISSION: &str = "no-admission";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "crest",
    about: "load triples within 2 s to 150% of capacity and falls back",
    baselines: &[NO_ADMISSION],
    seconds: 36,
    run,
};

/// What one crest came to.
struct Figures {
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
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let own = measure(&bench, OWN).await?;
    let baseline = match bench.cx.baseline {
        Some(_) => {
            bench
                .change_service(1, json!({ "admission": false }))
                .await?;
            Some(measure(&bench, NO_ADMISSION).await?)
        }
        None => None,
    };
    let mut summary = bench.summary(SCENARIO.name).await;
    summary.targets = vec![
        Target::at_least("min_goodput_share", LEAST_GOODPUT, own.goodput),
        Target::at_most("refusal_p99_ms", REFUSAL_MS, own.refusals.quantile_ms(0.99)),
        Target::at_most(
            "recovered_p99_ms",
            times(NORMAL_TIMES, own.before_p99_ms),
            own.after_p99_ms,
        ),
    ];
    summary.detail("refusals", own.refusals.len() as f64);
    summary.detail("refusal_max_ms", own.refusals.quantile_ms(1.0));
    summary.detail("crest_p99_ms", own.crest_p99_ms);
    if let Some(other) = baseline {
        summary.detail("no_admission_goodput_share", other.goodput);
        summary.detail("no_admission_refusals", other.refusals.len() as f64);
        let refusal = other.refusals.quantile_ms(0.99);
        summary.detail("no_admission_refusal_p99_ms", refusal);
        summary.detail("no_admission_before_p99_ms", other.before_p99_ms);
        summary.detail("no_admission_crest_p99_ms", other.crest_p99_ms);
        summary.detail("no_admission_recovered_p99_ms", other.after_p99_ms);
    }
    Ok(summary)
}

async fn measure(bench: &Bench, phase: &'static str) -> Result<Figures, ScenarioError> {
    let length = bench.cx.length;
    let rise = CALM.min(length / 4);
    let top = rise + RAMP;
    let fall = length.saturating_sub(rise + RAMP).max(top);
    let end = fall + RAMP;
    let (low, high) = (HALF, CREST);
    let points = [(rise, low), (top, high), (fall, high), (end, low)];
    let rate = |(at, share)| (at, bench.team_rate(share, WORK));
    let offer = Offer {
        phase,
        class: Class::Short,
        schedule: Schedule::through(points.map(rate).to_vec()),
        work: WORK,
    };
    let start = now_us();
    bench.offer(vec![offer], length).await?;
    let attempts = bench.attempts(phase);
    let at = |span: Duration| start + span.as_micros() as u64;
    let due = |from, to| latencies(&attempts, |a| a.due_us >= at(from) && a.due_us < at(to));
    let crest = fall - top;
    let good = attempts
        .iter()
        .filter(|a| a.ending == Ending::Answered && a.ended_us >= at(top) && a.ended_us < at(fall));
    let rate = good.count() as f64 / crest.as_secs_f64();
    Ok(Figures {
        goodput: rate / bench.capacity(WORK),
        refusals: refusals(&attempts),
        before_p99_ms: due(Duration::ZERO, rise).quantile_ms(0.99),
        after_p99_ms: due(end + RECOVERY, length).quantile_ms(0.99),
        crest_p99_ms: due(top, fall).quantile_ms(0.99),
    })
}

/// Time from sending to the refusal.
fn refusals(attempts: &[Attempt]) -> Latencies {
    let mut refusals = Latencies::default();
    for attempt in attempts {
        if matches!(attempt.ending, Ending::NotRun(_)) {
            refusals.push(attempt.ended_us.saturating_sub(attempt.sent_us));
        }
    }
    refusals
}
