//! An entry instance is killed every five seconds; another is paused and resumed.

use std::{collections::HashMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, Bench, HALF, OWN, after, unanswered},
};
use crate::{
    caller::{Attempt, Ending},
    clock::now_us,
    summary::{Summary, Target},
};

/// Time between two kills.
const KILL_EVERY: Duration = Duration::from_secs(5);
/// How long an instance is paused.
const PAUSE: Duration = Duration::from_secs(10);
/// Time after a kill in which a caller may still be led to the dead instance.
const UNNOTICED: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint may be out of use.
const UNUSED_MS: f64 = 8_000.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "instance-loss",
    about: "an instance is killed every 5 s, another is paused for 10 s",
    baselines: &[],
    seconds: 45,
    run,
};

/// The time for which an instance did not answer, in microseconds of the lab's clock.
#[derive(Clone, Debug)]
struct Loss {
    instance: SmolStr,
    from_us: u64,
    to_us: u64,
}

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(instance_loss(cx))
}

async fn instance_loss(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let spec = load::spec(&cx);
    let bench = Bench::open(cx, spec).await?;
    let length = bench.cx.length;
    let start_us = now_us();
    let load = bench.offer(vec![bench.short(OWN, HALF)], length);
    let ((), losses, loss) = tokio::try_join!(load, kill(&bench), pause(&bench))?;
    let end_us = start_us + length.as_micros() as u64;
    let losses = [losses, vec![loss]].concat();
    let own = bench.attempts(OWN);
    let mut elsewhere = unanswered(&own);
    elsewhere.retain(|a| !explained(&bench, &losses, a));
    let mut summary = bench.summary(SCENARIO.name).await;
    let starts = bench.cluster.requests.starts();
    let (unused_ms, endpoint) = longest_rest(&starts, start_us, end_us);
    summary.targets = vec![
        Target::at_most("affected_elsewhere", 0.0, elsewhere.len() as f64),
        Target::at_most("endpoint_unused_ms", UNUSED_MS, unused_ms),
    ];
    tracing::info!(%endpoint, unused_ms, "endpoint that rested longest");
    for attempt in &elsewhere {
        let name = format_smolstr!("elsewhere {:?}", attempt.ending);
        *summary.details.entry(name).or_default() += 1.0;
        let at_ms = (attempt.due_us - start_us) / 1_000;
        tracing::info!(at_ms, id = %attempt.id, idempotent = attempt.idempotent, ending = ?attempt.ending, "affected elsewhere");
    }
    summary.detail("kills", losses.len() as f64 - 1.0);
    summary.detail("unanswered", unanswered(&own).len() as f64);
    Ok(summary)
}

/// Kills the oldest instance again and again, and starts another in its place.
async fn kill(bench: &Bench) -> Result<Vec<Loss>, ScenarioError> {
    let cluster = &bench.cluster;
    let mut losses = Vec::new();
    let kills = (bench.cx.length.as_secs() / KILL_EVERY.as_secs()).saturating_sub(2) as usize;
    for i in 0..kills {
        sleep(KILL_EVERY).await;
        let instance = format_smolstr!("e{}", i + 1);
        let from_us = now_us();
        cluster.kill(&instance).await?;
        losses.push(Loss {
            instance,
            from_us,
            to_us: now_us() + UNNOTICED.as_micros() as u64,
        });
        let name = format_smolstr!("e{}", cluster.spec.instances + i + 1);
        cluster.start_instance(&name, i).await?;
    }
    Ok(losses)
}

/// Pauses the last instance for a while.
async fn pause(bench: &Bench) -> Result<Loss, ScenarioError> {
    let instance = format_smolstr!("e{}", bench.cluster.spec.instances);
    let from_us = after(KILL_EVERY + KILL_EVERY / 2).await;
    bench.cluster.pause(&instance).await?;
    let to_us = after(PAUSE).await;
    bench.cluster.resume(&instance).await?;
    Ok(Loss {
        instance,
        from_us,
        to_us,
    })
}

/// True if an attempt was in flight at an instance that was lost, or repeats one that was.
fn explained(bench: &Bench, losses: &[Loss], attempt: &Attempt) -> bool {
    let repeat = attempt.number > 1;
    match &attempt.ending {
        Ending::MayHaveRun(reason) if reason == "peer_lost" => return true,
        Ending::MayHaveRun(reason) if reason == "repeated" && repeat => return true,
        _ => {}
    }
    let instance = attempt
        .local
        .and_then(|local| bench.cluster.balancer.backend_of(local, attempt.ended_us));
    losses.iter().any(|loss| {
        Some(&loss.instance) == instance.as_ref()
            && attempt.sent_us <= loss.to_us
            && attempt.ended_us >= loss.from_us
    })
}

/// The longest time, in milliseconds, in which an endpoint started nothing, and the endpoint.
fn longest_rest(starts: &HashMap<SmolStr, Vec<u64>>, from: u64, to: u64) -> (f64, SmolStr) {
    let mut longest = (0, SmolStr::default());
    for (endpoint, starts) in starts {
        let mut times: Vec<u64> = starts
            .iter()
            .copied()
            .filter(|t| (from..to).contains(t))
            .collect();
        times.extend([from, to]);
        times.sort_unstable();
        let rest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        longest = longest.max((rest.unwrap_or(0), endpoint.clone()));
    }
    (longest.0 as f64 / 1_000.0, longest.1)
}
