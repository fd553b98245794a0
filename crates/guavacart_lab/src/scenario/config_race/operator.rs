//! An operator who submits patches one after another until each is accepted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{interval, sleep};

use super::{CUT_OFF_INSTANCE, PATCHES_PER_OPERATOR};
use crate::cluster::Cluster;

/// Pause before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A patch that an instance has reported to the operator as accepted.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    /// The team whose weight the operator sets; no other operator changes it.
    pub(super) team: SmolStr,
    /// The weight in the patch.
    pub(super) weight: u64,
    /// Number of the configuration that contains the patch.
    pub(super) number: u64,
}

/// What the instances reported to one operator.
#[derive(Debug, Default)]
pub(super) struct OperatorOutcome {
    pub(super) accepted: Vec<Accepted>,
    /// Patches rejected because another patch had been applied to their base.
    pub(super) conflicts: u32,
    /// Calls that were repeated with the same id.
    pub(super) repeats: u32,
}

/// A patch with the id and the base that it is submitted with.
struct Submission {
    id: SmolStr,
    base: u64,
    change: Value,
}

/// How one call ended.
enum CallOutcome {
    Accepted(u64),
    /// The base is not current; the value is the current number, if the answer contains one.
    Conflict(Option<u64>),
    /// The patch was not applied, or the outcome is not known; the same id may be sent again.
    Retry,
}

/// Submits [`PATCHES_PER_OPERATOR`] patches, one every `period`, and repeats each until it is
/// accepted; each call goes to a random instance.
pub(super) async fn run(
    cluster: Arc<Cluster>,
    operator: u32,
    period: Duration,
    seed: u64,
) -> OperatorOutcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let team = format_smolstr!("race-{operator}");
    let mut outcome = OperatorOutcome::default();
    let mut ticks = interval(period);
    for patch in 1..=PATCHES_PER_OPERATOR {
        ticks.tick().await;
        let weight = u64::from(patch);
        let change = json!({ "teams": { team.as_str(): { "weight": weight } } });
        let number =
            submit_until_accepted(&cluster, operator, patch, &change, &mut rng, &mut outcome).await;
        outcome.accepted.push(Accepted {
            team: team.clone(),
            weight,
            number,
        });
    }
    outcome
}

/// Submits one change until it is accepted; after each conflict, with a newer base and a new id.
///
/// Returns the number of the configuration that contains the change.
async fn submit_until_accepted(
    cluster: &Cluster,
    operator: u32,
    patch: u32,
    change: &Value,
    rng: &mut StdRng,
    outcome: &mut OperatorOutcome,
) -> u64 {
    let mut base = read_current_number(cluster, rng).await;
    let mut tries = 0;
    loop {
        let submission = Submission {
            id: format_smolstr!("race-{operator}-{patch}-{tries}"),
            base,
            change: change.clone(),
        };
        match retry_until_known(cluster, &submission, rng, outcome).await {
            Ok(number) => return number,
            Err(current) => {
                outcome.conflicts += 1;
                base = match current {
                    Some(current) => current,
                    None => read_current_number(cluster, rng).await,
                };
            }
        }
        tries += 1;
    }
}

/// Repeats a patch with its id until its outcome is known.
///
/// Returns the number of the new configuration, or after a conflict the current number if the
/// answer contains one.
async fn retry_until_known(
    cluster: &Cluster,
    submission: &Submission,
    rng: &mut StdRng,
    outcome: &mut OperatorOutcome,
) -> Result<u64, Option<u64>> {
    loop {
        match submit(cluster, submission, rng).await {
            CallOutcome::Accepted(number) => return Ok(number),
            CallOutcome::Conflict(current) => return Err(current),
            CallOutcome::Retry => {
                outcome.repeats += 1;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn submit(cluster: &Cluster, submission: &Submission, rng: &mut StdRng) -> CallOutcome {
    let Some(address) = random_instance(cluster, rng) else {
        return CallOutcome::Retry;
    };
    let Submission { id, base, change } = submission;
    let path = format!("/v1/config?base={base}&id={id}");
    let body = change.to_string().into_bytes();
    match cluster
        .call_operator_api(address, Method::PATCH, &path, body)
        .await
    {
        Some((StatusCode::OK, body)) => match body["number"].as_u64() {
            Some(number) => CallOutcome::Accepted(number),
            None => CallOutcome::Retry,
        },
        Some((StatusCode::CONFLICT, body)) => CallOutcome::Conflict(body["current"].as_u64()),
        _ => CallOutcome::Retry,
    }
}

/// Returns the configuration number in force at a random instance.
async fn read_current_number(cluster: &Cluster, rng: &mut StdRng) -> u64 {
    loop {
        if let Some(address) = random_instance(cluster, rng) {
            let answer = cluster
                .call_operator_api(address, Method::GET, "/v1/config", Vec::new())
                .await;
            if let Some((StatusCode::OK, body)) = answer
                && let Some(number) = body["number"].as_u64()
            {
                return number;
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Returns the address of a random running instance. [`CUT_OFF_INSTANCE`] is left out, since it
/// accepts nothing while it cannot reach the store.
fn random_instance(cluster: &Cluster, rng: &mut StdRng) -> Option<SocketAddr> {
    let running = cluster.running().into_iter();
    let candidates: Vec<SocketAddr> = running
        .filter(|(name, _)| name != CUT_OFF_INSTANCE)
        .map(|(_, address)| address)
        .collect();
    let count = candidates.len();
    (count > 0).then(|| candidates[rng.random_range(0..count)])
}
