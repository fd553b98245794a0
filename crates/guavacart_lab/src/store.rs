//! Stand-in for the platform's key-value store.

mod data;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Body as _, header::HeaderValue};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::json;
use tokio::{sync::watch, time::Instant};

pub use self::data::{CallKind, Calls, RecordedWrite};
use self::data::{Data, Swap};
use crate::{
    clock::now_ms,
    server::{Answer, Handler, Hangup, Server, answer, json, query},
    sync::lock,
};

/// Longest value, in bytes; also the most bytes of values in the answer to a range.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest wait of a watch.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Most entries of a range if the call sets no limit.
const DEFAULT_LIMIT: usize = 1_000;

/// Kinds of outage of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// The store is available.
    #[default]
    None,
    /// Every call is answered with status 503 and has no effect.
    Refusing,
    /// Every call waits until the outage ends; then its connection is closed. The call has no
    /// effect.
    Silent,
}

/// Faults of the store, which a scenario may change during a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Current outage.
    pub outage: Outage,
    /// Delay of each call, half before and half after it takes effect.
    pub latency: Duration,
    /// Share of writes whose answer is lost after they have taken effect, 0 to 1.
    pub lost_answers: f64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    data: Mutex<Data>,
    rng: Mutex<StdRng>,
    faults: watch::Sender<StoreFaults>,
    last_revision: watch::Sender<u64>,
    lost_answers: AtomicU64,
}

/// One entry in the answer to a range or a list.
#[derive(Serialize)]
struct KeyEntry {
    key: String,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl Store {
    /// Starts an empty store; `seed` is the seed of the random choice of lost answers.
    pub async fn bind(seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            data: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            faults: watch::Sender::new(StoreFaults::default()),
            last_revision: watch::Sender::new(0),
            lost_answers: AtomicU64::new(0),
        });
        let server = Server::bind(Arc::clone(&shared)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address at which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Records every later write to keys that begin with `prefix`.
    pub fn keep_history(&self, prefix: &str) {
        lock(&self.shared.data).keep_history(prefix);
    }

    /// Returns the recorded writes, in the order in which they took effect.
    pub fn history(&self) -> Vec<RecordedWrite> {
        lock(&self.shared.data).history.clone()
    }

    /// Returns the recorded writes to keys that begin with `prefix`, in the order in which they
    /// took effect.
    pub fn history_of(&self, prefix: &str) -> Vec<RecordedWrite> {
        let data = lock(&self.shared.data);
        let writes = data.history.iter();
        writes
            .filter(|w| w.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the numbers of calls so far, by kind and second.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.data).calls.clone()
    }

    /// Returns the number of writes whose answer was lost by an injected fault.
    pub fn lost_answers(&self) -> u64 {
        self.shared.lost_answers.load(Ordering::Relaxed)
    }

    /// Returns the keys that begin with `prefix`, with their values, for checks.
    pub fn entries(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let data = lock(&self.shared.data);
        data.range(prefix, "")
            .map(|(key, stored)| (key.clone(), stored.value.clone()))
            .collect()
    }
}

impl Handler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        let path = req.uri().path().to_owned();
        let kind = CallKind::of(req.method(), &path);
        lock(&self.data).calls.count(kind, now_ms() / 1_000);
        self.wait_out_silent_outage().await?;
        let faults = *self.faults.borrow();
        tokio::time::sleep(faults.latency / 2).await;
        if let Some(refusal) = self.refusal() {
            return Ok(refusal);
        }
        let answer = match kind {
            CallKind::Watch => return self.watch(&req, &path).await,
            _ => self.execute(kind, &req, &path),
        };
        if self.is_answer_lost(kind, &answer, faults) {
            self.lost_answers.fetch_add(1, Ordering::Relaxed);
            return Err(Hangup);
        }
        tokio::time::sleep(faults.latency / 2).await;
        Ok(answer)
    }
}

impl Shared {
    /// Waits until a silent outage ends; a call that waited returns an error and is never answered.
    async fn wait_out_silent_outage(&self) -> Result<(), Hangup> {
        let mut faults = self.faults.subscribe();
        if faults.borrow().outage != Outage::Silent {
            return Ok(());
        }
        let ended = faults.wait_for(|f| f.outage != Outage::Silent).await;
        drop(ended);
        Err(Hangup)
    }

    fn refusal(&self) -> Option<Answer> {
        let refusing = self.faults.borrow().outage != Outage::None;
        refusing.then(|| answer(StatusCode::SERVICE_UNAVAILABLE, "outage"))
    }

    fn is_answer_lost(&self, kind: CallKind, answer: &Answer, faults: StoreFaults) -> bool {
        kind.writes()
            && answer.status() == StatusCode::OK
            && faults.lost_answers > 0.0
            && lock(&self.rng).random_bool(faults.lost_answers.min(1.0))
    }

    fn execute(&self, kind: CallKind, req: &Request<Bytes>, path: &str) -> Answer {
        let mut data = lock(&self.data);
        data.expire(now_ms());
        let answer = match kind {
            CallKind::Get => get(&data, key(path, "/v1/kv/")),
            CallKind::Put => put(&mut data, key(path, "/v1/kv/"), req),
            CallKind::Delete => delete(&mut data, key(path, "/v1/kv/"), req),
            CallKind::List => range(&data, req, false),
            CallKind::Range => range(&data, req, true),
            CallKind::Lease => lease(&mut data, path, req),
            CallKind::Watch | CallKind::Unknown => answer(StatusCode::NOT_FOUND, "unknown call"),
        };
        if matches!(kind, CallKind::Get | CallKind::List | CallKind::Range) {
            let read_key = match kind {
                CallKind::Get => key(path, "/v1/kv/"),
                _ => query(req, "prefix").unwrap_or_default(),
            };
            let bytes = answer.body().size_hint().exact().unwrap_or_default();
            data.calls.count_read_bytes(read_key, bytes);
        }
        let revision = data.revision;
        drop(data);
        self.last_revision.send_if_modified(|last| {
            let is_newer = revision > *last;
            *last = revision;
            is_newer
        });
        answer
    }

    async fn watch(&self, req: &Request<Bytes>, path: &str) -> Result<Answer, Hangup> {
        let key = key(path, "/v1/watch/");
        let after = query_number(req, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(req, "wait_ms").unwrap_or(0)).min(MAX_WATCH);
        let deadline = Instant::now() + wait;
        let mut last_revision = self.last_revision.subscribe();
        let mut faults = self.faults.subscribe();
        loop {
            if let Some(refusal) = self.refusal() {
                return Ok(refusal);
            }
            if let Some(stored) = lock(&self.data).get(key).filter(|c| c.revision > after) {
                return Ok(with_revision(
                    answer(StatusCode::OK, stored.value.clone()),
                    stored.revision,
                ));
            }
            tokio::select! {
                _ = last_revision.changed() => {}
                _ = faults.changed() => self.wait_out_silent_outage().await?,
                () = tokio::time::sleep_until(deadline) => {
                    return Ok(answer(StatusCode::NOT_MODIFIED, ""));
                }
            }
        }
    }
}

fn key<'a>(path: &'a str, prefix: &str) -> &'a str {
    path.strip_prefix(prefix).unwrap_or_default()
}

fn query_number(req: &Request<Bytes>, name: &str) -> Option<u64> {
    query(req, name)?.parse().ok()
}

fn with_revision(mut answer: Answer, revision: u64) -> Answer {
    let value = HeaderValue::from(revision);
    answer.headers_mut().insert("revision", value);
    answer
}

fn get(data: &Data, key: &str) -> Answer {
    match data.get(key) {
        Some(stored) => with_revision(
            answer(StatusCode::OK, stored.value.clone()),
            stored.revision,
        ),
        None => answer(StatusCode::NOT_FOUND, ""),
    }
}

fn put(data: &mut Data, key: &str, req: &Request<Bytes>) -> Answer {
    if req.body().len() > MAX_VALUE_BYTES {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, "larger than 1 MiB");
    }
    let Some(expect) = query_number(req, "expect") else {
        return answer(StatusCode::BAD_REQUEST, "no expect");
    };
    let lease = query_number(req, "lease");
    if lease.is_some_and(|lease| !data.has_lease(lease)) {
        return answer(StatusCode::NOT_FOUND, "no such lease");
    }
    swap_answer(data.put(key, req.body().to_vec(), expect, lease))
}

fn delete(data: &mut Data, key: &str, req: &Request<Bytes>) -> Answer {
    let Some(expect) = query_number(req, "expect") else {
        return answer(StatusCode::BAD_REQUEST, "no expect");
    };
    swap_answer(data.delete(key, expect))
}

fn swap_answer(swap: Swap) -> Answer {
    match swap {
        Swap::Written(revision) => with_revision(answer(StatusCode::OK, ""), revision),
        Swap::Conflict(revision) => with_revision(answer(StatusCode::CONFLICT, ""), revision),
        Swap::Absent => answer(StatusCode::NOT_FOUND, ""),
    }
}

fn range(data: &Data, req: &Request<Bytes>, values: bool) -> Answer {
    let prefix = query(req, "prefix").unwrap_or_default();
    let after = query(req, "after").unwrap_or_default();
    let limit =
        query_number(req, "limit").map_or(DEFAULT_LIMIT, |n| usize::try_from(n).unwrap_or(0));
    let limit = if values { limit } else { usize::MAX };
    let mut bytes = 0;
    let entries: Vec<KeyEntry> = data
        .range(prefix, after)
        .take(limit)
        .take_while(|(_, stored)| {
            bytes += if values { stored.value.len() } else { 0 };
            bytes <= MAX_VALUE_BYTES
        })
        .map(|(key, stored)| KeyEntry {
            key: key.clone(),
            revision: stored.revision,
            value: values.then(|| hex(&stored.value)),
        })
        .collect();
    json(&entries)
}

fn lease(data: &mut Data, path: &str, req: &Request<Bytes>) -> Answer {
    match path.strip_prefix("/v1/leases/") {
        Some(id) => match id.parse().is_ok_and(|id| data.renew(id, now_ms())) {
            true => answer(StatusCode::OK, ""),
            false => answer(StatusCode::NOT_FOUND, ""),
        },
        None => match query_number(req, "ttl_ms") {
            Some(ttl_ms) => json(&json!({ "lease": data.grant(ttl_ms, now_ms()) })),
            None => answer(StatusCode::BAD_REQUEST, "no ttl_ms"),
        },
    }
}

fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |n: u8| char::from(DIGITS[usize::from(n)]);
    bytes
        .iter()
        .flat_map(|b| [digit(b >> 4), digit(b & 15)])
        .collect()
}

impl CallKind {
    fn of(method: &Method, path: &str) -> Self {
        match (method.as_str(), path) {
            ("GET", p) if p.starts_with("/v1/kv/") => Self::Get,
            ("PUT", p) if p.starts_with("/v1/kv/") => Self::Put,
            ("DELETE", p) if p.starts_with("/v1/kv/") => Self::Delete,
            ("GET", "/v1/list") => Self::List,
            ("GET", "/v1/range") => Self::Range,
            ("GET", p) if p.starts_with("/v1/watch/") => Self::Watch,
            ("POST", p) if p.starts_with("/v1/leases") => Self::Lease,
            _ => Self::Unknown,
        }
    }
}
