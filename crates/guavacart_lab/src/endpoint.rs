//! Stand-in for an endpoint of a service.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use guavacart_types::{EndpointId, ServiceName};
use hyper::{Request, StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::now_us,
    host::Host,
    request_ledger::RequestLedger,
    server::{Answer, Handler, Hangup, Server, answer, json},
    sync::lock,
};

/// Most requests that an endpoint runs at once.
pub const SLOTS: u32 = 8;
/// Most connections that an endpoint may have at once.
pub const CONNECTIONS: u32 = 60;
/// Time after the announcement that an endpoint leaves in which new work may still arrive.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Body of a request: the work that a caller asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Work {
    /// Service time on an idle machine, in microseconds.
    pub work_us: u64,
    /// Number that the answer repeats.
    pub nonce: u64,
    /// Padding of the answer, in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
}

/// Body of an endpoint's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkDone {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Nonce of the request.
    pub nonce: u64,
    /// Padding.
    pub fill: String,
    /// Checksum of the other fields.
    pub checksum: u64,
}

/// Behaviour of an endpoint that a scenario may change.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSwitches {
    /// Time of the announcement that the endpoint leaves, in microseconds of the lab's clock.
    pub leaving_since_us: Option<u64>,
    /// True if the endpoint refuses new work once it is announced to leave.
    pub refuses_when_leaving: bool,
    /// True if the endpoint answers every request with status 500.
    pub fails: bool,
    /// Factor on every service time.
    pub slow: f64,
}

impl Default for EndpointSwitches {
    fn default() -> Self {
        Self {
            leaving_since_us: None,
            refuses_when_leaving: true,
            fails: false,
            slow: 1.0,
        }
    }
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    id: SmolStr,
    service: SmolStr,
    host: Arc<Host>,
    ledger: RequestLedger,
    switches: Mutex<EndpointSwitches>,
    busy: AtomicU32,
    connections: Arc<AtomicU32>,
}

/// Handler of the endpoint's calls; wraps the `Arc` because spawned work keeps a reference to it.
#[derive(Debug)]
struct EndpointHandler(Arc<Shared>);

/// A run that occupies a slot until it is dropped.
struct Slot {
    shared: Arc<Shared>,
    id: SmolStr,
    run: usize,
}

/// Counts a connection until it is dropped.
struct ConnectionGuard(Arc<AtomicU32>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.ledger.end(&self.id, self.run);
        self.shared.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint {
    /// Starts an endpoint of `service` on `host`.
    pub async fn bind(
        id: EndpointId,
        service: ServiceName,
        host: Arc<Host>,
        ledger: RequestLedger,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            host,
            ledger,
            switches: Mutex::default(),
            busy: AtomicU32::new(0),
            connections: Arc::default(),
        });
        let server = Server::bind(Arc::new(EndpointHandler(Arc::clone(&shared)))).await?;
        Ok(Self { shared, server })
    }

    /// Returns the id of the endpoint.
    pub fn id(&self) -> &SmolStr {
        &self.shared.id
    }

    /// Returns the address at which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of requests that run at present.
    pub fn busy(&self) -> u32 {
        self.shared.busy.load(Ordering::Relaxed)
    }

    /// Changes the behaviour.
    pub fn switch(&self, change: impl FnOnce(&mut EndpointSwitches)) {
        change(&mut lock(&self.shared.switches));
    }

    /// Marks the endpoint as leaving from now on; `refuses` says whether it refuses new work.
    pub fn leave(&self, refuses: bool) {
        self.switch(|s| {
            s.leaving_since_us = Some(now_us());
            s.refuses_when_leaving = refuses;
        });
    }

    /// Closes all connections at once; running work continues.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }
}

impl Handler for EndpointHandler {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        match req.uri().path() {
            "/v1/run" => self.0.run(&req).await,
            "/v1/health" => Ok(self.0.health()),
            _ => Ok(answer(StatusCode::NOT_FOUND, "")),
        }
    }

    fn accepted(&self) -> impl Send + 'static {
        let open = self.0.connections.fetch_add(1, Ordering::Relaxed) + 1;
        if open > CONNECTIONS {
            self.0.ledger.update_counts(|c| c.connections_exceeded += 1);
        }
        ConnectionGuard(Arc::clone(&self.0.connections))
    }
}

impl Shared {
    fn health(&self) -> Answer {
        let busy = self.busy.load(Ordering::Relaxed);
        let leaving = lock(&self.switches).leaving_since_us.is_some();
        json(&json!({ "busy": busy, "leaving": leaving }))
    }

    async fn run(self: &Arc<Self>, req: &Request<Bytes>) -> Result<Answer, Hangup> {
        let Some(id) = req
            .headers()
            .get("request-id")
            .and_then(|v| v.to_str().ok())
        else {
            return Ok(answer(StatusCode::BAD_REQUEST, "no Request-Id"));
        };
        let id = SmolStr::new(id);
        let switches = *lock(&self.switches);
        if switches.leaving_since_us.is_some() && switches.refuses_when_leaving {
            return Ok(with_request_id(&id, not_run("leaving")));
        }
        let Ok(work) = serde_json::from_slice::<Work>(req.body()) else {
            return Ok(with_request_id(
                &id,
                answer(StatusCode::BAD_REQUEST, "not work"),
            ));
        };
        let Some(slot) = self.take_slot(&id) else {
            return Ok(with_request_id(&id, not_run("busy")));
        };
        self.count_late_work(switches);
        let work_us = work.work_us as f64 * switches.slow * self.host.slowdown(&self.service);
        let shared = Arc::clone(self);
        // The work continues if the connection breaks, as at a real endpoint.
        let work_done = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(work_us as u64)).await;
            drop(slot);
            shared.host.record_served(&shared.service, work_us as u64);
        });
        work_done.await.map_err(|_| Hangup)?;
        let answer = match switches.fails {
            true => answer(StatusCode::INTERNAL_SERVER_ERROR, "the endpoint fails"),
            false => json(&WorkDone::answer_to(&id, &work)),
        };
        Ok(with_request_id(&id, answer))
    }

    fn take_slot(self: &Arc<Self>, id: &SmolStr) -> Option<Slot> {
        let busy = self.busy.fetch_add(1, Ordering::Relaxed) + 1;
        if busy > SLOTS {
            self.busy.fetch_sub(1, Ordering::Relaxed);
            self.ledger.update_counts(|c| c.slots_exceeded += 1);
            self.host.count_refused(&self.service);
            return None;
        }
        let run = self.ledger.start(id, &self.id, busy);
        Some(Slot {
            shared: Arc::clone(self),
            id: id.clone(),
            run,
        })
    }

    fn count_late_work(&self, switches: EndpointSwitches) {
        let grace_us = LEAVING_GRACE.as_micros() as u64;
        let is_late = |since: u64| now_us() > since + grace_us;
        if switches.leaving_since_us.is_some_and(is_late) {
            self.ledger.update_counts(|c| c.late_new_work += 1);
        }
    }
}

impl WorkDone {
    /// Returns the correct answer to a request.
    pub fn answer_to(id: &SmolStr, work: &Work) -> Self {
        let fill = "x".repeat(work.answer_bytes);
        let checksum = checksum(id, work.nonce, &fill);
        Self {
            request_id: id.clone(),
            nonce: work.nonce,
            fill,
            checksum,
        }
    }

    /// Returns true if the answer is whole and belongs to this request.
    pub fn is_right(&self, id: &str, nonce: u64, answer_bytes: usize) -> bool {
        self.request_id == id
            && self.nonce == nonce
            && self.fill.len() == answer_bytes
            && self.checksum == checksum(id, nonce, &self.fill)
    }
}

fn checksum(id: &str, nonce: u64, fill: &str) -> u64 {
    xxh3_64(format!("{id} {nonce} {fill}").as_bytes())
}

fn not_run(reason: &'static str) -> Answer {
    let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, "");
    answer
        .headers_mut()
        .insert("not-run", HeaderValue::from_static(reason));
    answer
}

fn with_request_id(id: &str, mut answer: Answer) -> Answer {
    if let Ok(value) = HeaderValue::from_str(id) {
        answer.headers_mut().insert("request-id", value);
    }
    answer
}
