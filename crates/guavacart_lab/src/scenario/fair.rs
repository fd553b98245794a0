//! One team sends ten times its share of requests. The control is the phase before, in which all
//! teams stay within their shares.

use std::time::Duration;

use guavacart_types::Class;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, OWN_PHASE, OfferedLoad, Testbed, scaled_limit},
};
use crate::{
    caller::{Attempt, Ending, Schedule, latencies},
    summary::{Summary, Target},
};

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Load of each team that does not flood, relative to its share of the capacity.
const LOAD_SHARE: f64 = 0.8;
/// Load of the flooding team, relative to its share of the capacity.
const FLOOD_FACTOR: f64 = 10.0;
/// Largest allowed ratio of the other teams' measurements to those of the control.
const MAX_FACTOR_OVER_CONTROL: f64 = 1.25;
const CONTROL_PHASE: &str = "control";
const FLOOD_PHASE: &str = "flood";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "fair",
    description: "one team sends ten times its share of requests",
    baselines: &[],
    default_seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(fair(cx))
}

async fn fair(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let length = testbed.cx.load_length;
    let [flooding, others @ ..] = testbed.cluster.spec.teams.as_slice() else {
        return Ok(testbed.summary(SCENARIO.name).await);
    };
    let callers_of = |phase, share| others.iter().map(move |t| (phase, share, t));
    let control =
        callers_of(CONTROL_PHASE, LOAD_SHARE).chain([(CONTROL_PHASE, LOAD_SHARE, flooding)]);
    let flood = callers_of(OWN_PHASE, LOAD_SHARE).chain([(FLOOD_PHASE, FLOOD_FACTOR, flooding)]);
    let caller = |(phase, share, team)| testbed.caller(&offer(&testbed, phase, share), team);
    testbed
        .run_callers(control.map(caller).collect(), length)
        .await?;
    testbed
        .run_callers(flood.map(caller).collect(), length)
        .await?;
    let mut control = testbed.attempts(CONTROL_PHASE);
    control.retain(|a| a.team != *flooding);
    let own = testbed.attempts(OWN_PHASE);
    let mut summary = testbed.summary(SCENARIO.name).await;
    let p99 = |attempts: &[Attempt]| latencies(attempts, |_| true).quantile_ms(0.99);
    summary.targets = vec![
        Target::at_most(
            "others_p99_ms",
            scaled_limit(MAX_FACTOR_OVER_CONTROL, p99(&control)),
            p99(&own),
        ),
        Target::at_most(
            "others_refused_share",
            scaled_limit(MAX_FACTOR_OVER_CONTROL, refused_share(&control)),
            refused_share(&own),
        ),
    ];
    let flood = testbed.attempts(FLOOD_PHASE);
    summary.add_detail("control_others_p99_ms", p99(&control));
    summary.add_detail("control_others_refused_share", refused_share(&control));
    summary.add_detail("flood_requests", flood.len() as f64);
    summary.add_detail("flood_refused_share", refused_share(&flood));
    Ok(summary)
}

fn offer(testbed: &Testbed, phase: &'static str, share: f64) -> OfferedLoad {
    OfferedLoad {
        phase,
        class: Class::Short,
        schedule: Schedule::constant(testbed.team_rate(share, SERVICE_TIME)),
        service_time: SERVICE_TIME,
    }
}

/// Returns the share of the attempts that were refused or could not be sent.
fn refused_share(attempts: &[Attempt]) -> f64 {
    let is_refused = |a: &&Attempt| matches!(a.ending, Ending::NotRun(_) | Ending::NotSent);
    attempts.iter().filter(is_refused).count() as f64 / (attempts.len() as f64).max(1.0)
}
