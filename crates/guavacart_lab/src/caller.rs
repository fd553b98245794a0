//! Callers: open-loop load, every answer checked.

mod record;
mod schedule;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use guavacart_types::Class;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

pub use self::{
    record::{Attempt, Ending, Latencies, Record, latencies},
    schedule::Schedule,
};
use crate::{
    client::{ClientError, Connection},
    clock::now_us,
    endpoint::{Work, WorkDone},
    sync::lock,
};

/// Most idle connections that callers keep to one address.
const MAX_IDLE: usize = 256;
/// Time beyond its deadline that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// Where callers connect; a scenario may change it while they run.
#[derive(Clone, Debug, Default)]
pub struct Entrances {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

/// The form of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// To an entry instance, as docs/API.md says.
    Entry,
    /// Straight to an endpoint, as a control.
    Direct,
}

/// One kind of callers.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Distinguishes the ids of this kind from those of all others.
    pub name: SmolStr,
    /// The form of its calls.
    pub form: Form,
    /// The service that is called.
    pub service: SmolStr,
    /// The team that calls.
    pub team: SmolStr,
    /// The team's token.
    pub token: Option<SmolStr>,
    /// The class that is declared.
    pub class: Class,
    /// Calls in a second, over time.
    pub schedule: Schedule,
    /// Share of idempotent requests, 0 to 1.
    pub idempotent: f64,
    /// The deadline that is asked for.
    pub deadline: Duration,
    /// Service time on an idle machine.
    pub work: Duration,
    /// Size that a request is filled up to, in bytes.
    pub request_bytes: usize,
    /// Filling of an answer, in bytes.
    pub answer_bytes: usize,
    /// Share of non-idempotent requests without an answer that are sent again with the same id.
    pub repeats: f64,
    /// Share of callers that give up, 0 to 1.
    pub gives_up: f64,
    /// How long those wait.
    pub gives_up_after: Duration,
}

/// Sends the calls of one kind and records each.
#[derive(Clone, Debug)]
struct Caller {
    spec: Arc<CallerSpec>,
    entrances: Entrances,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    record: Record,
}

/// One request and what was chosen for it.
#[derive(Clone, Debug)]
struct Call {
    id: SmolStr,
    nonce: u64,
    idempotent: bool,
    repeats: bool,
    give_up: Option<Duration>,
    due_us: u64,
}

impl Entrances {
    /// Entrances at these addresses.
    pub fn open(addresses: Vec<SocketAddr>) -> Self {
        let addresses = Arc::new(Mutex::new(addresses));
        Self { addresses }
    }

    /// Replaces them.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *lock(&self.addresses) = addresses;
    }

    fn choose(&self, turn: usize) -> Option<SocketAddr> {
        let addresses = lock(&self.addresses);
        let i = turn.checked_rem(addresses.len())?;
        Some(addresses[i])
    }
}

/// Sends the calls of `spec` for `length`, waits for their ends and adds them to `record`.
pub async fn run(
    spec: CallerSpec,
    entrances: Entrances,
    length: Duration,
    seed: u64,
    record: Record,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller {
        spec: Arc::new(spec),
        entrances,
        idle: Arc::default(),
        record,
    };
    let start = Instant::now();
    let start_us = now_us();
    let mut calls = JoinSet::new();
    let mut at = Duration::ZERO;
    let turn = Arc::new(AtomicUsize::new(rng.random_range(0..1_000)));
    let mut number = 0u64;
    while let Some(next) = caller.spec.schedule.next(at, length, &mut rng) {
        at = next;
        number += 1;
        let due_us = start_us + at.as_micros() as u64;
        let call = caller.choose(number, due_us, &mut rng);
        sleep_until(start + at).await;
        calls.spawn(caller.clone().finish(call, Arc::clone(&turn)));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

impl Caller {
    fn choose(&self, number: u64, due_us: u64, rng: &mut StdRng) -> Call {
        let spec = &self.spec;
        let chance = |rng: &mut StdRng, share: f64| rng.random_bool(share.clamp(0.0, 1.0));
        let idempotent = chance(rng, spec.idempotent);
        Call {
            id: format_smolstr!("{}-{number}", spec.name),
            nonce: rng.random(),
            idempotent,
            repeats: !idempotent && chance(rng, spec.repeats),
            give_up: chance(rng, spec.gives_up).then_some(spec.gives_up_after),
            due_us,
        }
    }

    /// Sends a call, and once more if it is one that is repeated.
    async fn finish(self, call: Call, turn: Arc<AtomicUsize>) {
        let first = self
            .attempt(&call, 1, turn.fetch_add(1, Ordering::Relaxed))
            .await;
        if call.repeats && matches!(first, Ending::MayHaveRun(_) | Ending::Broken) {
            self.attempt(&call, 2, turn.fetch_add(1, Ordering::Relaxed))
                .await;
        }
    }

    async fn attempt(&self, call: &Call, number: u32, turn: usize) -> Ending {
        let sent_us = now_us();
        let patience = self.spec.deadline + PATIENCE;
        let limit = call.give_up.unwrap_or(patience).min(patience);
        let mut local = None;
        // A repeat takes a new connection, which a balancer leads to another instance.
        let exchange = self.exchange(call, turn, number > 1, &mut local);
        let ending = match timeout(limit, exchange).await {
            Ok(ending) => ending,
            Err(_) if call.give_up.is_some() => Ending::Abandoned,
            Err(_) => Ending::Broken,
        };
        self.record.push(Attempt {
            id: call.id.clone(),
            number,
            team: self.spec.team.clone(),
            class: self.spec.class,
            idempotent: call.idempotent,
            due_us: call.due_us,
            sent_us,
            ended_us: now_us(),
            local,
            ending: ending.clone(),
        });
        ending
    }

    async fn exchange(
        &self,
        call: &Call,
        turn: usize,
        fresh: bool,
        local: &mut Option<SocketAddr>,
    ) -> Ending {
        let Some(address) = self.entrances.choose(turn) else {
            return Ending::NotSent;
        };
        // An idle connection may turn out closed before a byte was sent; a new one may not.
        for fresh in [fresh, true] {
            let Ok(mut connection) = self.connection(address, fresh).await else {
                return Ending::NotSent;
            };
            *local = Some(connection.local());
            let Some(req) = self.request(call, address) else {
                return Ending::NotSent;
            };
            match connection.send(req).await {
                Ok(res) => {
                    self.keep(address, connection);
                    return self.check(call, &res);
                }
                Err(ClientError::NotSent { .. }) => {}
                Err(_) => return Ending::Broken,
            }
        }
        Ending::NotSent
    }

    async fn connection(
        &self,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Connection, ClientError> {
        let idle = if fresh { None } else { self.take_idle(address) };
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let idle = idle.get_mut(&address)?;
        idle.retain(|connection| !connection.is_closed());
        // The one that has rested longest, so that all connections are used alike.
        match idle.is_empty() {
            true => None,
            false => Some(idle.remove(0)),
        }
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn request(&self, call: &Call, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let spec = &self.spec;
        let work = Work {
            work_us: spec.work.as_micros() as u64,
            nonce: call.nonce,
            answer_bytes: spec.answer_bytes,
        };
        let mut body = serde_json::to_vec(&work).ok()?;
        // JSON allows blanks behind a value.
        body.resize(body.len().max(spec.request_bytes), b' ');
        let body = Full::new(Bytes::from(body));
        let builder = match spec.form {
            Form::Direct => Request::post("/v1/run").header("request-id", call.id.as_str()),
            Form::Entry => Request::post(format!("/v1/services/{}", spec.service))
                .header("guavacart-team", spec.team.as_str())
                .header("guavacart-class", spec.class.to_string())
                .header("guavacart-request-id", call.id.as_str())
                .header("guavacart-idempotent", call.idempotent.to_string())
                .header(
                    "guavacart-deadline-ms",
                    spec.deadline.as_millis().to_string(),
                ),
        };
        let builder = match &spec.token {
            Some(token) => builder.header(AUTHORIZATION, format!("Bearer {token}")),
            None => builder,
        };
        builder
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .ok()
    }

    fn check(&self, call: &Call, res: &Response<Bytes>) -> Ending {
        let outcome = match self.spec.form {
            Form::Direct => Some("answered"),
            Form::Entry => header(res.headers(), "guavacart-outcome"),
        };
        let reason = || SmolStr::new(header(res.headers(), "guavacart-reason").unwrap_or("none"));
        match outcome {
            Some("answered") if res.status() == StatusCode::OK => self.check_body(call, res.body()),
            Some("answered") => Ending::EndpointError(res.status().as_u16()),
            Some("not-run") => Ending::NotRun(reason()),
            Some("may-have-run") => Ending::MayHaveRun(reason()),
            _ => Ending::NoOutcome(res.status().as_u16()),
        }
    }

    fn check_body(&self, call: &Call, body: &[u8]) -> Ending {
        let right = |done: WorkDone| done.is_right(&call.id, call.nonce, self.spec.answer_bytes);
        match serde_json::from_slice(body).is_ok_and(right) {
            true => Ending::Answered,
            false => Ending::Wrong,
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
