//! Commands to workers and what they report.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use guavacart_types::{
    Attempt, BatchClass, ByteSize, CellId, Epoch, Processors, Resources, ServiceName, TaskId,
};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, StatusCode,
    body::Body,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    connection::{ExchangeError, Pools, Whole},
    traffic::Traffic,
};

/// Most connections to one worker.
const CONNECTIONS: u32 = 2;

/// One call to a worker: leases to renew and commands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The cell that speaks.
    pub cell: CellId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Leases to renew.
    #[serde(default)]
    pub renew: Vec<Renewal>,
    /// Commands, carried out in order.
    #[serde(default)]
    pub commands: Vec<Command>,
}

/// A lease to renew.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Renewal {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// The lease from now on, in milliseconds.
    pub lease_ms: u64,
}

/// A command to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Start an attempt.
    Start(Start),
    /// Stop an attempt, saving a checkpoint if asked.
    Stop {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
        /// True to save a checkpoint first.
        checkpoint: bool,
    },
    /// Run an attempt at a share of its speed.
    Throttle {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
        /// The share, in percent; 100 ends the throttling.
        percent: u32,
    },
    /// The end of an attempt is known; the worker may forget it.
    Acknowledge {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
    },
}

/// An attempt to start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The task's class.
    pub class: BatchClass,
    /// What it takes.
    pub resources: Resources,
    /// The job's opaque payload.
    #[serde(default)]
    pub payload: Value,
    /// The checkpoint to resume from.
    pub checkpoint: Option<SmolStr>,
    /// The first lease, in milliseconds.
    pub lease_ms: u64,
}

/// What a worker answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncAnswer {
    /// The greatest epoch that the worker has seen of this cell.
    pub epoch: Epoch,
    /// Attempts that run or whose end is not acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Usage reports, late.
    #[serde(default)]
    pub usage: Vec<UsageReport>,
}

/// One attempt as the worker sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Its state.
    pub state: TaskState,
    /// Share of the work that is done, in parts per million.
    #[serde(default)]
    pub progress_ppm: u32,
}

/// State of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended with its result.
    Finished,
    /// It ended without a result.
    Failed,
    /// It was stopped by command.
    Stopped {
        /// The checkpoint that was saved.
        checkpoint: Option<SmolStr>,
    },
    /// Its lease lapsed and the worker stopped it.
    Lapsed,
    /// It was not started: no room, or an attempt that is older or already ended.
    Refused,
}

/// What ran on a worker some time ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// How long ago, in milliseconds.
    pub age_ms: u64,
    /// What tasks used.
    pub tasks: Vec<TaskUsage>,
    /// What services on the worker felt.
    #[serde(default)]
    pub services: Vec<ServiceUsage>,
}

/// What a task used.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Processors in use.
    pub processors: Processors,
    /// Memory in use.
    pub memory: ByteSize,
}

/// What a service on the worker felt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceName,
    /// 99th percentile of its service time, in milliseconds.
    pub p99_ms: u64,
    /// Requests that were measured.
    pub samples: u64,
    /// Requests that waited.
    pub queued: u64,
}

/// Answer of a worker that has seen a greater epoch.
#[derive(Deserialize)]
struct Superseded {
    epoch: Epoch,
}

/// Why a call to a worker brought no answer.
#[derive(Clone, Debug, Error)]
pub enum WorkerError {
    /// No byte of the call left for the worker.
    #[error("the worker at {address} was not reached: {cause}")]
    NotSent {
        /// The worker.
        address: SocketAddr,
        /// What stood in the way.
        cause: SmolStr,
    },
    /// The call was sent and no whole answer came; commands may have been carried out.
    #[error("the answer of the worker at {address} was lost: {cause}")]
    Broken {
        /// The worker.
        address: SocketAddr,
        /// What became of the answer.
        cause: SmolStr,
    },
    /// The worker has seen a greater epoch and did nothing.
    #[error(
        "the worker at {address} has seen epoch {epoch}; this instance no longer owns the cell"
    )]
    Superseded {
        /// The worker.
        address: SocketAddr,
        /// The greater epoch.
        epoch: Epoch,
    },
}

/// All workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Renews leases, gives commands and returns what the worker runs.
    fn sync(
        &self,
        address: SocketAddr,
        req: &SyncRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<SyncAnswer, WorkerError>> + Send;
}

/// Workers over HTTP/1.1 with kept-alive connections.
#[derive(Clone, Debug, Default)]
pub struct HttpWorkers {
    pools: Pools,
    traffic: Traffic,
}

impl HttpWorkers {
    /// Opens no connection until the first call.
    pub fn open() -> Self {
        Self::default()
    }

    /// What its calls have carried, those of its clones included.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

impl Workers for HttpWorkers {
    async fn sync(
        &self,
        address: SocketAddr,
        req: &SyncRequest,
        timeout: Duration,
    ) -> Result<SyncAnswer, WorkerError> {
        let deadline = Instant::now() + timeout;
        let not_sent = |cause| WorkerError::NotSent { address, cause };
        let broken = |cause| WorkerError::Broken { address, cause };
        let body = serde_json::to_vec(req).map_err(|err| not_sent(format_smolstr!("{err}")))?;
        let req = Request::post("/v1/sync")
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| not_sent(format_smolstr!("{err}")))?;
        self.traffic.sent(request_bytes(&req));
        let whole = self
            .pools
            .exchange(address, req, Some(CONNECTIONS), deadline, || true)
            .await
            .map_err(|err| match err {
                ExchangeError::NotSent(cause) => not_sent(cause),
                ExchangeError::Broken(cause) => broken(cause),
            })?;
        self.traffic.received(answer_bytes(&whole));
        match whole.status {
            StatusCode::OK => {
                serde_json::from_slice(&whole.body).map_err(|err| broken(format_smolstr!("{err}")))
            }
            StatusCode::CONFLICT => {
                let Superseded { epoch } = serde_json::from_slice(&whole.body)
                    .map_err(|err| broken(format_smolstr!("{err}")))?;
                Err(WorkerError::Superseded { address, epoch })
            }
            status => Err(broken(format_smolstr!("unexpected status {status}"))),
        }
    }
}

/// Bytes of a request on the wire: `hyper` adds the length.
fn request_bytes(req: &Request<Full<Bytes>>) -> usize {
    let body = req.body().size_hint().exact().unwrap_or_default();
    let line = format!("{} {} HTTP/1.1\r\n\r\n", req.method(), req.uri());
    let length = format!("{CONTENT_LENGTH}: {body}\r\n");
    line.len() + headers_bytes(req.headers()) + length.len() + body as usize
}

fn answer_bytes(whole: &Whole) -> usize {
    let line = format!("HTTP/1.1 {}\r\n\r\n", whole.status);
    line.len() + headers_bytes(&whole.headers) + whole.body.len()
}

fn headers_bytes(headers: &HeaderMap) -> usize {
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    headers.iter().map(line).sum()
}
