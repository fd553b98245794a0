//! One agency floods; the others before the flood are the control.

use std::time::Duration;

use guavacart_types::Class;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, OWN, Offer, times},
};
use crate::{
    caller::{Attempt, Ending, Schedule, latencies},
    summary::{Summary, Target},
};

/// Service time.
const WORK: Duration = Duration::from_millis(400);
/// Load of each of the others, of its share of the capacity.
const LOAD: f64 = 0.8;
/// How many times its share the flooding agency asks for.
const FLOOD: f64 = 10.0;
/// Most times that the others' figures may be those of the control.
const MOST_TIMES: f64 = 1.25;
const CONTROL: &str = "control";
const FLOODED: &str = "flood";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "fair",
    about: "one agency floods at ten times its share",
    baselines: &[],
    seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(fair(cx))
}

async fn fair(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let length = bench.cx.length;
    let [flooding, others @ ..] = bench.cluster.spec.teams.as_slice() else {
        return Ok(bench.summary(SCENARIO.name).await);
    };
    let of = |phase, share| others.iter().map(move |t| (phase, share, t));
    let control = of(CONTROL, LOAD).chain([(CONTROL, LOAD, flooding)]);
    let flood = of(OWN, LOAD).chain([(FLOODED, FLOOD, flooding)]);
    let caller = |(phase, share, team)| bench.caller(&offer(&bench, phase, share), team);
    bench.call(control.map(caller).collect(), length).await?;
    bench.call(flood.map(caller).collect(), length).await?;
    let mut control = bench.attempts(CONTROL);
    control.retain(|a| a.team != *flooding);
    let own = bench.attempts(OWN);
    let mut summary = bench.summary(SCENARIO.name).await;
    let p99 = |attempts: &[Attempt]| latencies(attempts, |_| true).quantile_ms(0.99);
    summary.targets = vec![
        Target::at_most("others_p99_ms", times(MOST_TIMES, p99(&control)), p99(&own)),
        Target::at_most(
            "others_refused_share",
            times(MOST_TIMES, refused(&control)),
            refused(&own),
        ),
    ];
    let flood = bench.attempts(FLOODED);
    summary.detail("control_others_p99_ms", p99(&control));
    summary.detail("control_others_refused_share", refused(&control));
    summary.detail("flood_requests", flood.len() as f64);
    summary.detail("flood_refused_share", refused(&flood));
    Ok(summary)
}

fn offer(bench: &Bench, phase: &'static str, share: f64) -> Offer {
    Offer {
        phase,
        class: Class::Short,
        schedule: Schedule::constant(bench.team_rate(share, WORK)),
        work: WORK,
    }
}

fn refused(attempts: &[Attempt]) -> f64 {
    let refused = |a: &&Attempt| matches!(a.ending, Ending::NotRun(_) | Ending::NotSent);
    attempts.iter().filter(refused).count() as f64 / (attempts.len() as f64).max(1.0)
}
