//! Client for workers: leases and commands go to a worker, reports of its tasks come back.

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
    connection::{ExchangeError, FullResponse, Pools},
    traffic::Traffic,
};

/// Maximum number of open connections to one worker.
const MAX_CONNECTIONS_PER_WORKER: u32 = 2;

/// A call to a worker, which renews leases and gives commands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The cell whose owner makes the call.
    pub cell: CellId,
    /// The epoch of the cell's owner; a worker that has seen a greater one refuses the call.
    pub epoch: Epoch,
    /// The leases to renew.
    #[serde(default)]
    pub renew: Vec<Renewal>,
    /// The commands, carried out in this order.
    #[serde(default)]
    pub commands: Vec<Command>,
}

/// Renews the lease of one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Renewal {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Length of the lease in milliseconds, from when the worker receives the call.
    pub lease_ms: u64,
}

/// A command to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Start an attempt.
    Start(Start),
    /// Stop an attempt, after saving a checkpoint if `checkpoint` is true.
    Stop {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
        /// True if the task should save a checkpoint first.
        checkpoint: bool,
    },
    /// Limit an attempt to a percentage of its full speed.
    Throttle {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
        /// The percentage of full speed; 100 ends the throttling.
        percent: u32,
    },
    /// The end of an attempt is recorded, so the worker no longer needs to report it.
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
    /// The batch class of the task.
    pub class: BatchClass,
    /// The resources reserved for the task.
    pub resources: Resources,
    /// The payload of the job, which the scheduler passes on without reading it.
    #[serde(default)]
    pub payload: Value,
    /// The checkpoint to resume from, if there is one.
    pub checkpoint: Option<SmolStr>,
    /// Length of the first lease in milliseconds.
    pub lease_ms: u64,
}

/// The answer of a worker to a [`SyncRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncAnswer {
    /// The greatest epoch of this cell that the worker has seen.
    pub epoch: Epoch,
    /// All attempts that are running or whose end is not yet acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Usage reports, which describe the recent past and not the present.
    #[serde(default)]
    pub usage: Vec<UsageReport>,
}

/// The state of one attempt as reported by its worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// The state of the attempt.
    pub state: TaskState,
    /// Completed part of the work, in parts per million.
    #[serde(default)]
    pub progress_ppm: u32,
}

/// State of an attempt on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The attempt is running.
    Running,
    /// The attempt ended and produced its result.
    Finished,
    /// The attempt ended without a result.
    Failed,
    /// The attempt was stopped by [`Command::Stop`].
    Stopped {
        /// The checkpoint that was saved, if any.
        checkpoint: Option<SmolStr>,
    },
    /// The lease of the attempt expired, so the worker stopped it.
    Lapsed,
    /// The attempt was not started: the worker lacks the resources, has seen a later attempt of the task,
    /// or this attempt has already ended.
    Refused,
}

/// Usage of a worker at a time in the past.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// The usage of each task.
    pub tasks: Vec<TaskUsage>,
    /// The latency of each service with an endpoint on the worker.
    #[serde(default)]
    pub services: Vec<ServiceUsage>,
}

/// Resources that a task used.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Processors that the task used.
    pub processors: Processors,
    /// Memory that the task used.
    pub memory: ByteSize,
}

/// Latency of a service that runs on the same worker as tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// The name of the service.
    pub service: ServiceName,
    /// 99th percentile of the service time of its requests, in milliseconds.
    pub p99_ms: u64,
    /// Number of requests measured.
    pub samples: u64,
    /// Number of requests that had to wait.
    pub queued: u64,
}

/// Body of the response of a worker that has seen a greater epoch of the cell.
#[derive(Deserialize)]
struct SupersededBody {
    epoch: Epoch,
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, Error)]
pub enum WorkerError {
    /// No byte of the call was sent, so the worker did nothing.
    #[error("no call was sent to the worker at {address}: {cause}")]
    NotSent {
        /// The address of the worker.
        address: SocketAddr,
        /// Why nothing was sent.
        cause: SmolStr,
    },
    /// The call was sent at least in part and no valid answer came; commands may have been carried out.
    #[error(
        "no valid answer came from the worker at {address}, which may have carried out the call: {cause}"
    )]
    Broken {
        /// The address of the worker.
        address: SocketAddr,
        /// Why there is no valid answer.
        cause: SmolStr,
    },
    /// The worker has seen a greater epoch of the cell and did nothing.
    #[error(
        "the worker at {address} has seen the greater epoch {epoch}; this instance no longer owns the cell"
    )]
    Superseded {
        /// The address of the worker.
        address: SocketAddr,
        /// The epoch that the worker has seen.
        epoch: Epoch,
    },
}

/// Access to all workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Renews leases, gives commands and returns the report of the worker on its tasks.
    fn sync(
        &self,
        address: SocketAddr,
        req: &SyncRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<SyncAnswer, WorkerError>> + Send;
}

/// Client for workers over HTTP/1.1 with kept-alive connections; clones share connections and traffic
/// counters.
#[derive(Clone, Debug, Default)]
pub struct HttpWorkers {
    pools: Pools,
    traffic: Traffic,
}

impl HttpWorkers {
    /// Creates a client; connections are opened with the first calls.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the bytes sent and received by this client and its clones.
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
        let response = self
            .pools
            .exchange(
                address,
                req,
                Some(MAX_CONNECTIONS_PER_WORKER),
                deadline,
                || true,
            )
            .await
            .map_err(|err| match err {
                ExchangeError::NotSent(cause) => not_sent(cause),
                ExchangeError::Broken(cause) => broken(cause),
            })?;
        self.traffic.received(response_bytes(&response));
        match response.status {
            StatusCode::OK => serde_json::from_slice(&response.body)
                .map_err(|err| broken(format_smolstr!("{err}"))),
            StatusCode::CONFLICT => {
                let SupersededBody { epoch } = serde_json::from_slice(&response.body)
                    .map_err(|err| broken(format_smolstr!("{err}")))?;
                Err(WorkerError::Superseded { address, epoch })
            }
            status => Err(broken(format_smolstr!("unexpected status {status}"))),
        }
    }
}

/// Returns the length of a request on the wire, including the `Content-Length` header that `hyper` adds.
fn request_bytes(req: &Request<Full<Bytes>>) -> usize {
    let body = req.body().size_hint().exact().unwrap_or_default();
    let line = format!("{} {} HTTP/1.1\r\n\r\n", req.method(), req.uri());
    let length = format!("{CONTENT_LENGTH}: {body}\r\n");
    line.len() + headers_bytes(req.headers()) + length.len() + body as usize
}

/// Returns the length of a response on the wire.
fn response_bytes(response: &FullResponse) -> usize {
    let line = format!("HTTP/1.1 {}\r\n\r\n", response.status);
    line.len() + headers_bytes(&response.headers) + response.body.len()
}

fn headers_bytes(headers: &HeaderMap) -> usize {
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    headers.iter().map(line).sum()
}
