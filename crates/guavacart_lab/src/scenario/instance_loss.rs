//! An entry instance is killed every five seconds; another is paused and resumed.

use std::{collections::HashMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{
    Scenario, ScenarioCx, ScenarioError, ScenarioRun,
    load::{self, HALF_LOAD, OWN_PHASE, Testbed, sleep_then_now, unanswered},
};
use crate::{
    caller::{Attempt, Ending},
    clock::now_us,
    summary::{Summary, Target},
};

/// Time between two kills.
const KILL_INTERVAL: Duration = Duration::from_secs(5);
/// How long the other instance is paused.
const PAUSE_TIME: Duration = Duration::from_secs(10);
/// Time after a kill in which the balancer may still send a caller to the killed instance.
const DETECTION_TIME: Duration = Duration::from_millis(500);
/// Longest time, in milliseconds, for which an endpoint may start no request.
const MAX_ENDPOINT_IDLE_MS: f64 = 8_000.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "instance-loss",
    description: "an instance is killed every 5 s, another is paused for 10 s",
    baselines: &[],
    default_seconds: 45,
    run,
};

/// A period in which an instance did not answer, in microseconds of the lab's clock.
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
    let spec = load::request_cluster(&cx);
    let testbed = Testbed::open(cx, spec).await?;
    let length = testbed.cx.load_length;
    let start_us = now_us();
    let load = testbed.run_load(vec![testbed.short(OWN_PHASE, HALF_LOAD)], length);
    let ((), losses, loss) = tokio::try_join!(load, kill(&testbed), pause(&testbed))?;
    let end_us = start_us + length.as_micros() as u64;
    let losses = [losses, vec![loss]].concat();
    let own = testbed.attempts(OWN_PHASE);
    let mut unexpected = unanswered(&own);
    unexpected.retain(|a| !is_expected(&testbed, &losses, a));
    let mut summary = testbed.summary(SCENARIO.name).await;
    let starts = testbed.cluster.requests.starts();
    let (unused_ms, endpoint) = longest_idle(&starts, start_us, end_us);
    summary.targets = vec![
        Target::at_most("affected_elsewhere", 0.0, unexpected.len() as f64),
        Target::at_most("endpoint_unused_ms", MAX_ENDPOINT_IDLE_MS, unused_ms),
    ];
    tracing::info!(%endpoint, unused_ms, "endpoint that was idle longest");
    for attempt in &unexpected {
        let name = format_smolstr!("elsewhere {:?}", attempt.ending);
        *summary.details.entry(name).or_default() += 1.0;
        let at_ms = (attempt.due_us - start_us) / 1_000;
        tracing::info!(at_ms, id = %attempt.id, idempotent = attempt.idempotent, ending = ?attempt.ending, "unexpected ending");
    }
    summary.add_detail("kills", losses.len() as f64 - 1.0);
    summary.add_detail("unanswered", unanswered(&own).len() as f64);
    Ok(summary)
}

/// Kills the oldest instance at every interval and starts a new one in its place.
async fn kill(testbed: &Testbed) -> Result<Vec<Loss>, ScenarioError> {
    let cluster = &testbed.cluster;
    let mut losses = Vec::new();
    let kills =
        (testbed.cx.load_length.as_secs() / KILL_INTERVAL.as_secs()).saturating_sub(2) as usize;
    for i in 0..kills {
        sleep(KILL_INTERVAL).await;
        let instance = format_smolstr!("e{}", i + 1);
        let from_us = now_us();
        cluster.kill(&instance).await?;
        losses.push(Loss {
            instance,
            from_us,
            to_us: now_us() + DETECTION_TIME.as_micros() as u64,
        });
        let name = format_smolstr!("e{}", cluster.spec.instances + i + 1);
        cluster.start_instance(&name, i).await?;
    }
    Ok(losses)
}

/// Pauses the last of the initial instances once.
async fn pause(testbed: &Testbed) -> Result<Loss, ScenarioError> {
    let instance = format_smolstr!("e{}", testbed.cluster.spec.instances);
    let from_us = sleep_then_now(KILL_INTERVAL + KILL_INTERVAL / 2).await;
    testbed.cluster.pause(&instance).await?;
    let to_us = sleep_then_now(PAUSE_TIME).await;
    testbed.cluster.resume(&instance).await?;
    Ok(Loss {
        instance,
        from_us,
        to_us,
    })
}

/// Returns true if the loss of an instance explains the ending of an attempt: the attempt was in
/// flight at a lost instance, or it repeats an attempt that was.
fn is_expected(testbed: &Testbed, losses: &[Loss], attempt: &Attempt) -> bool {
    let repeat = attempt.number > 1;
    match &attempt.ending {
        Ending::MayHaveRun(reason) if reason == "peer_lost" => return true,
        Ending::MayHaveRun(reason) if reason == "repeated" && repeat => return true,
        _ => {}
    }
    let instance = attempt
        .local
        .and_then(|local| testbed.cluster.balancer.backend_of(local, attempt.ended_us));
    losses.iter().any(|loss| {
        Some(&loss.instance) == instance.as_ref()
            && attempt.sent_us <= loss.to_us
            && attempt.ended_us >= loss.from_us
    })
}

/// Returns the longest time, in milliseconds, in which any endpoint started no request, and the
/// name of this endpoint.
fn longest_idle(starts: &HashMap<SmolStr, Vec<u64>>, from: u64, to: u64) -> (f64, SmolStr) {
    let mut longest = (0, SmolStr::default());
    for (endpoint, starts) in starts {
        let mut times: Vec<u64> = starts
            .iter()
            .copied()
            .filter(|t| (from..to).contains(t))
            .collect();
        times.extend([from, to]);
        times.sort_unstable();
        let idle = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        longest = longest.max((idle.unwrap_or(0), endpoint.clone()));
    }
    (longest.0 as f64 / 1_000.0, longest.1)
}
