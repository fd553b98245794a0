//! Stand-in of an endpoint of a service.

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

/// Requests that an endpoint runs at once.
pub const SLOTS: u32 = 8;
/// Connections that an endpoint holds at once.
pub const CONNECTIONS: u32 = 60;
/// Time after the announcement to leave in which new work may still come.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// What a caller asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Work {
    /// Service time on an idle machine, in microseconds.
    pub work_us: u64,
    /// Comes back in the answer.
    pub nonce: u64,
    /// Bytes of filling in the answer.
    #[serde(default)]
    pub answer_bytes: usize,
}

/// What an endpoint answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkDone {
    /// The request's id.
    pub request_id: SmolStr,
    /// The request's nonce.
    pub nonce: u64,
    /// Filling.
    pub fill: String,
    /// Checksum over the rest.
    pub checksum: u64,
}

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSwitches {
    /// Since when it has been announced to leave, in microseconds of the lab's clock.
    pub leaving_since_us: Option<u64>,
    /// True if a leaving endpoint refuses new work itself.
    pub refuses_when_leaving: bool,
    /// True if it answers every request with status 500.
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

/// The shared part as a handler, which needs to hand itself to the work that it starts.
#[derive(Debug)]
struct EndpointHandler(Arc<Shared>);

/// A run that holds a slot until it is dropped.
struct Slot {
    shared: Arc<Shared>,
    id: SmolStr,
    run: usize,
}

/// Counts a connection as long as it lives.
struct Connected(Arc<AtomicU32>);

impl Drop for Connected {
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

    /// Its id.
    pub fn id(&self) -> &SmolStr {
        &self.shared.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Requests that it runs now.
    pub fn busy(&self) -> u32 {
        self.shared.busy.load(Ordering::Relaxed)
    }

    /// Changes how it behaves.
    pub fn switch(&self, change: impl FnOnce(&mut EndpointSwitches)) {
        change(&mut lock(&self.shared.switches));
    }

    /// It is announced to leave from now on, and refuses new work itself if asked to.
    pub fn leave(&self, refuses: bool) {
        self.switch(|s| {
            s.leaving_since_us = Some(now_us());
            s.refuses_when_leaving = refuses;
        });
    }

    /// Closes its connections at once; what runs goes on.
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
            self.0.ledger.count(|c| c.connections_exceeded += 1);
        }
        Connected(Arc::clone(&self.0.connections))
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
            return Ok(named(&id, not_run("leaving")));
        }
        let Ok(work) = serde_json::from_slice::<Work>(req.body()) else {
            return Ok(named(&id, answer(StatusCode::BAD_REQUEST, "not work")));
        };
        let Some(slot) = self.take_slot(&id) else {
            return Ok(named(&id, not_run("busy")));
        };
        self.check_leaving(switches);
        let work_us = work.work_us as f64 * switches.slow * self.host.slowdown(&self.service);
        let shared = Arc::clone(self);
        // The work goes on when the connection breaks, as in a real executor.
        let work_done = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(work_us as u64)).await;
            drop(slot);
            shared.host.served(&shared.service, work_us as u64);
        });
        work_done.await.map_err(|_| Hangup)?;
        let answer = match switches.fails {
            true => answer(StatusCode::INTERNAL_SERVER_ERROR, "the endpoint fails"),
            false => json(&WorkDone::of(&id, &work)),
        };
        Ok(named(&id, answer))
    }

    fn take_slot(self: &Arc<Self>, id: &SmolStr) -> Option<Slot> {
        let busy = self.busy.fetch_add(1, Ordering::Relaxed) + 1;
        if busy > SLOTS {
            self.busy.fetch_sub(1, Ordering::Relaxed);
            self.ledger.count(|c| c.slots_exceeded += 1);
            self.host.refused(&self.service);
            return None;
        }
        let run = self.ledger.start(id, &self.id, busy);
        Some(Slot {
            shared: Arc::clone(self),
            id: id.clone(),
            run,
        })
    }

    fn check_leaving(&self, switches: EndpointSwitches) {
        let grace_us = LEAVING_GRACE.as_micros() as u64;
        let late = |since: u64| now_us() > since + grace_us;
        if switches.leaving_since_us.is_some_and(late) {
            self.ledger.count(|c| c.late_new_work += 1);
        }
    }
}

impl WorkDone {
    /// The right answer to a request.
    pub fn of(id: &SmolStr, work: &Work) -> Self {
        let fill = "x".repeat(work.answer_bytes);
        let checksum = checksum(id, work.nonce, &fill);
        Self {
            request_id: id.clone(),
            nonce: work.nonce,
            fill,
            checksum,
        }
    }

    /// True if the answer is whole and belongs to this request.
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

fn not_run(why: &'static str) -> Answer {
    let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, "");
    answer
        .headers_mut()
        .insert("not-run", HeaderValue::from_static(why));
    answer
}

fn named(id: &str, mut answer: Answer) -> Answer {
    if let Ok(value) = HeaderValue::from_str(id) {
        answer.headers_mut().insert("request-id", value);
    }
    answer
}
