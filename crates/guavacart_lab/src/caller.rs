//! Callers, which send open-loop load and check every answer.

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
    record::{Attempt, AttemptLog, Ending, Latencies, latencies},
    schedule::Schedule,
};
use crate::{
    client::{ClientError, Connection},
    clock::now_us,
    endpoint::{Work, WorkDone},
    sync::lock,
};

/// Most idle connections that the callers of one kind keep to one address.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Time after the deadline for which a caller still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Addresses that callers connect to in turn; a scenario may replace them during a run.
#[derive(Clone, Debug, Default)]
pub struct EntryAddresses {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

/// Path that a call takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPath {
    /// A call to an entry instance, as described in docs/API.md.
    Entry,
    /// A call straight to an endpoint, as a control without guavacart.
    Direct,
}

/// One kind of caller: what its calls look like and when they are sent.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Prefix of the request ids, different for each kind.
    pub name: SmolStr,
    /// Path that the calls take.
    pub call_path: CallPath,
    /// Service that is called.
    pub service: SmolStr,
    /// Team named in the calls.
    pub team: SmolStr,
    /// Bearer token of the team; `None` sends no `Authorization` header.
    pub token: Option<SmolStr>,
    /// Request class declared in the calls.
    pub class: Class,
    /// Calls per second over time.
    pub schedule: Schedule,
    /// Share of idempotent requests, 0 to 1.
    pub idempotent_share: f64,
    /// Deadline sent with each request.
    pub deadline: Duration,
    /// Service time of a request on an idle machine.
    pub service_time: Duration,
    /// Size to which the body of a request is padded, in bytes.
    pub request_bytes: usize,
    /// Padding of an answer, in bytes.
    pub answer_bytes: usize,
    /// Share of non-idempotent requests that are sent again with the same id if their first attempt
    /// is reported as possibly run or its connection breaks, 0 to 1.
    pub repeat_share: f64,
    /// Share of requests whose caller gives up, 0 to 1.
    pub give_up_share: f64,
    /// Time after which these callers give up.
    pub give_up_after: Duration,
}

/// Sends the calls of one kind and records every attempt.
#[derive(Clone, Debug)]
struct Caller {
    spec: Arc<CallerSpec>,
    entry_addresses: EntryAddresses,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    attempt_log: AttemptLog,
}

/// One request with its random choices.
#[derive(Clone, Debug)]
struct Call {
    id: SmolStr,
    nonce: u64,
    idempotent: bool,
    repeats: bool,
    give_up: Option<Duration>,
    due_us: u64,
}

impl EntryAddresses {
    /// Creates the list from `addresses`.
    pub fn open(addresses: Vec<SocketAddr>) -> Self {
        let addresses = Arc::new(Mutex::new(addresses));
        Self { addresses }
    }

    /// Replaces the addresses.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *lock(&self.addresses) = addresses;
    }

    fn address(&self, index: usize) -> Option<SocketAddr> {
        let addresses = lock(&self.addresses);
        let i = index.checked_rem(addresses.len())?;
        Some(addresses[i])
    }
}

/// Sends the calls of `spec` for `length`, waits until all have ended and adds every attempt to
/// `attempt_log`.
pub async fn run(
    spec: CallerSpec,
    entry_addresses: EntryAddresses,
    length: Duration,
    seed: u64,
    attempt_log: AttemptLog,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller {
        spec: Arc::new(spec),
        entry_addresses,
        idle: Arc::default(),
        attempt_log,
    };
    let start = Instant::now();
    let start_us = now_us();
    let mut calls = JoinSet::new();
    let mut at = Duration::ZERO;
    let address_index = Arc::new(AtomicUsize::new(rng.random_range(0..1_000)));
    let mut number = 0u64;
    while let Some(next) = caller.spec.schedule.next_arrival(at, length, &mut rng) {
        at = next;
        number += 1;
        let due_us = start_us + at.as_micros() as u64;
        let call = caller.new_call(number, due_us, &mut rng);
        sleep_until(start + at).await;
        calls.spawn(caller.clone().send(call, Arc::clone(&address_index)));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

impl Caller {
    fn new_call(&self, number: u64, due_us: u64, rng: &mut StdRng) -> Call {
        let spec = &self.spec;
        let chance = |rng: &mut StdRng, share: f64| rng.random_bool(share.clamp(0.0, 1.0));
        let idempotent = chance(rng, spec.idempotent_share);
        Call {
            id: format_smolstr!("{}-{number}", spec.name),
            nonce: rng.random(),
            idempotent,
            repeats: !idempotent && chance(rng, spec.repeat_share),
            give_up: chance(rng, spec.give_up_share).then_some(spec.give_up_after),
            due_us,
        }
    }

    /// Sends a call, and sends it again if it is to be repeated.
    async fn send(self, call: Call, address_index: Arc<AtomicUsize>) {
        let first = self
            .attempt(&call, 1, address_index.fetch_add(1, Ordering::Relaxed))
            .await;
        if call.repeats && matches!(first, Ending::MayHaveRun(_) | Ending::Broken) {
            self.attempt(&call, 2, address_index.fetch_add(1, Ordering::Relaxed))
                .await;
        }
    }

    async fn attempt(&self, call: &Call, number: u32, address_index: usize) -> Ending {
        let sent_us = now_us();
        let longest_wait = self.spec.deadline + ANSWER_GRACE;
        let limit = call.give_up.unwrap_or(longest_wait).min(longest_wait);
        let mut local = None;
        // A repeat uses a new connection because the balancer forwards it to another instance.
        let exchange = self.exchange(call, address_index, number > 1, &mut local);
        let ending = match timeout(limit, exchange).await {
            Ok(ending) => ending,
            Err(_) if call.give_up.is_some() => Ending::Abandoned,
            Err(_) => Ending::Broken,
        };
        self.attempt_log.push(Attempt {
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
        address_index: usize,
        force_new: bool,
        local: &mut Option<SocketAddr>,
    ) -> Ending {
        let Some(address) = self.entry_addresses.address(address_index) else {
            return Ending::NotSent;
        };
        // Sending fails before any byte is sent if the server has closed the idle connection; the
        // call is then sent on a new one.
        for force_new in [force_new, true] {
            let Ok(mut connection) = self.connection(address, force_new).await else {
                return Ending::NotSent;
            };
            *local = Some(connection.local());
            let Some(req) = self.build_request(call, address) else {
                return Ending::NotSent;
            };
            match connection.send(req).await {
                Ok(res) => {
                    self.put_idle(address, connection);
                    return self.check_answer(call, &res);
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
        force_new: bool,
    ) -> Result<Connection, ClientError> {
        let idle = if force_new {
            None
        } else {
            self.take_idle(address)
        };
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let idle = idle.get_mut(&address)?;
        idle.retain(|connection| !connection.is_closed());
        // Takes the connection that has been idle longest, so that all are used equally.
        match idle.is_empty() {
            true => None,
            false => Some(idle.remove(0)),
        }
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn build_request(&self, call: &Call, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let spec = &self.spec;
        let work = Work {
            work_us: spec.service_time.as_micros() as u64,
            nonce: call.nonce,
            answer_bytes: spec.answer_bytes,
        };
        let mut body = serde_json::to_vec(&work).ok()?;
        // JSON allows whitespace after a value, so spaces can pad the body.
        body.resize(body.len().max(spec.request_bytes), b' ');
        let body = Full::new(Bytes::from(body));
        let builder = match spec.call_path {
            CallPath::Direct => Request::post("/v1/run").header("request-id", call.id.as_str()),
            CallPath::Entry => Request::post(format!("/v1/services/{}", spec.service))
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

    fn check_answer(&self, call: &Call, res: &Response<Bytes>) -> Ending {
        let outcome = match self.spec.call_path {
            CallPath::Direct => Some("answered"),
            CallPath::Entry => header(res.headers(), "guavacart-outcome"),
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
        let is_right = |done: WorkDone| done.is_right(&call.id, call.nonce, self.spec.answer_bytes);
        match serde_json::from_slice(body).is_ok_and(is_right) {
            true => Ending::Answered,
            false => Ending::Wrong,
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
