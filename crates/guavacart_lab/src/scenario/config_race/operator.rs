//! An operator who gets one patch after the other accepted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{interval, sleep};

use super::{CUT_OFF, PATCHES};
use crate::cluster::Cluster;

/// Pause before a call is repeated.
const PAUSE: Duration = Duration::from_millis(100);

/// A patch that the operator was told is accepted.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    /// The operator's own team, whose weight it sets.
    pub(super) team: SmolStr,
    /// The weight that it set.
    pub(super) weight: u64,
    /// The configuration's number.
    pub(super) number: u64,
}

/// What an operator was told.
#[derive(Debug, Default)]
pub(super) struct Told {
    pub(super) accepted: Vec<Accepted>,
    /// Patches that others came before.
    pub(super) conflicts: u32,
    /// Calls repeated with the same id.
    pub(super) repeats: u32,
}

/// One operator's patch on its way.
struct Submission {
    id: SmolStr,
    base: u64,
    change: Value,
}

/// What became of one call.
enum Fate {
    Accepted(u64),
    /// The base is not current; this one is, if the answer told.
    Conflict(Option<u64>),
    /// Not applied or not known; the same id may be sent again.
    Again,
}

/// Gets [`PATCHES`] patches accepted, one each `pace`, each to a random instance.
pub(super) async fn run(cluster: Arc<Cluster>, operator: u32, pace: Duration, seed: u64) -> Told {
    let mut rng = StdRng::seed_from_u64(seed);
    let team = format_smolstr!("race-{operator}");
    let mut told = Told::default();
    let mut ticks = interval(pace);
    for patch in 1..=PATCHES {
        ticks.tick().await;
        let weight = u64::from(patch);
        let change = json!({ "teams": { team.as_str(): { "weight": weight } } });
        let number = accept(&cluster, operator, patch, &change, &mut rng, &mut told).await;
        told.accepted.push(Accepted {
            team: team.clone(),
            weight,
            number,
        });
    }
    told
}

/// Submits one change, against a newer base and with a new id after each conflict.
async fn accept(
    cluster: &Cluster,
    operator: u32,
    patch: u32,
    change: &Value,
    rng: &mut StdRng,
    told: &mut Told,
) -> u64 {
    let mut base = read_base(cluster, rng).await;
    let mut round = 0;
    loop {
        let submission = Submission {
            id: format_smolstr!("race-{operator}-{patch}-{round}"),
            base,
            change: change.clone(),
        };
        match settle(cluster, &submission, rng, told).await {
            Ok(number) => return number,
            Err(current) => {
                told.conflicts += 1;
                base = match current {
                    Some(current) => current,
                    None => read_base(cluster, rng).await,
                };
            }
        }
        round += 1;
    }
}

/// Repeats a patch with its id until its fate is known: its number, or the current one.
async fn settle(
    cluster: &Cluster,
    submission: &Submission,
    rng: &mut StdRng,
    told: &mut Told,
) -> Result<u64, Option<u64>> {
    loop {
        match submit(cluster, submission, rng).await {
            Fate::Accepted(number) => return Ok(number),
            Fate::Conflict(current) => return Err(current),
            Fate::Again => {
                told.repeats += 1;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn submit(cluster: &Cluster, submission: &Submission, rng: &mut StdRng) -> Fate {
    let Some(at) = somewhere(cluster, rng) else {
        return Fate::Again;
    };
    let Submission { id, base, change } = submission;
    let path = format!("/v1/config?base={base}&id={id}");
    let body = change.to_string().into_bytes();
    match cluster.operate(at, Method::PATCH, &path, body).await {
        Some((StatusCode::OK, body)) => match body["number"].as_u64() {
            Some(number) => Fate::Accepted(number),
            None => Fate::Again,
        },
        Some((StatusCode::CONFLICT, body)) => Fate::Conflict(body["current"].as_u64()),
        _ => Fate::Again,
    }
}

/// The number in force at some instance.
async fn read_base(cluster: &Cluster, rng: &mut StdRng) -> u64 {
    loop {
        if let Some(at) = somewhere(cluster, rng) {
            let answer = cluster
                .operate(at, Method::GET, "/v1/config", Vec::new())
                .await;
            if let Some((StatusCode::OK, body)) = answer
                && let Some(number) = body["number"].as_u64()
            {
                return number;
            }
        }
        sleep(PAUSE).await;
    }
}

/// A running instance that is not to be cut off: without the store it accepts nothing.
fn somewhere(cluster: &Cluster, rng: &mut StdRng) -> Option<SocketAddr> {
    let running = cluster.running().into_iter();
    let usable: Vec<SocketAddr> = running
        .filter(|(name, _)| name != CUT_OFF)
        .map(|(_, at)| at)
        .collect();
    let n = usable.len();
    (n > 0).then(|| usable[rng.random_range(0..n)])
}
