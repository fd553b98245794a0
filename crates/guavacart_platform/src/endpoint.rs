//! Client for the endpoints of services.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use guavacart_types::RequestId;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;
use tokio::time::Instant;

use crate::connection::{ExchangeError, FullResponse, Pools};

/// Header that holds the id of a request, in the request and in its answer.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Header by which an endpoint says why it did not run a request: `busy` or `leaving`.
pub const NOT_RUN_HEADER: &str = "not-run";

/// A request to run at an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The id of the request; the answer must carry the same id.
    pub id: RequestId,
    /// The body that the caller sent.
    pub body: Bytes,
    /// The media type of the body, if the caller gave one.
    pub content_type: Option<SmolStr>,
    /// Maximum number of open connections to the endpoint.
    pub connections: u32,
    /// Time limit from the dispatch to the end of the answer.
    pub timeout: Duration,
}

/// The complete answer of an endpoint, whatever its status.
#[derive(Clone, Debug)]
pub struct EndpointAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body, if the endpoint gave one.
    pub content_type: Option<SmolStr>,
    /// The complete body.
    pub body: Bytes,
}

/// Why a dispatch did not bring an answer.
#[derive(Clone, Debug, Error)]
pub enum EndpointError {
    /// No byte of the request was sent to the endpoint, so the request did not run.
    #[error("request {id} was not sent to the endpoint at {address}: {cause}")]
    NotSent {
        /// The id of the request.
        id: RequestId,
        /// The address of the endpoint.
        address: SocketAddr,
        /// Why nothing was sent.
        cause: SmolStr,
    },
    /// The endpoint did not run the request because all its slots are in use.
    #[error("the endpoint at {address} did not run request {id}: all its slots are in use")]
    Busy {
        /// The id of the request.
        id: RequestId,
        /// The address of the endpoint.
        address: SocketAddr,
    },
    /// The endpoint did not run the request because it is leaving.
    #[error("the endpoint at {address} did not run request {id}: it is leaving")]
    Leaving {
        /// The id of the request.
        id: RequestId,
        /// The address of the endpoint.
        address: SocketAddr,
    },
    /// The request was sent at least in part and no complete answer to it came, so it may have run.
    #[error(
        "request {id} may have run at the endpoint at {address}, which gave no valid answer: {cause}"
    )]
    Broken {
        /// The id of the request.
        id: RequestId,
        /// The address of the endpoint.
        address: SocketAddr,
        /// Why there is no valid answer.
        cause: SmolStr,
    },
}

/// An endpoint's report on its health.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct EndpointHealth {
    /// Number of requests that are running.
    pub busy: u32,
    /// True if the endpoint is leaving and accepts no new requests.
    pub leaving: bool,
}

/// Why a health check of an endpoint failed.
#[derive(Clone, Debug, Error)]
#[error("the health check of the endpoint at {address} failed: {cause}")]
pub struct HealthError {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// Why there is no valid report.
    pub cause: SmolStr,
}

/// Access to the endpoints of all services.
pub trait Endpoints: Clone + Send + Sync + 'static {
    /// Sends a request once and returns the answer.
    ///
    /// `may_send` is called right before the first byte; if it returns false, nothing is sent and the
    /// result is [`EndpointError::NotSent`].
    fn run(
        &self,
        address: SocketAddr,
        dispatch: Dispatch,
        may_send: impl FnOnce() -> bool + Send,
    ) -> impl Future<Output = Result<EndpointAnswer, EndpointError>> + Send;

    /// Checks the health of an endpoint.
    fn health(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<EndpointHealth, HealthError>> + Send;
}

/// Client for endpoints over HTTP/1.1 with kept-alive connections.
#[derive(Clone, Debug, Default)]
pub struct HttpEndpoints {
    pools: Pools,
}

impl HttpEndpoints {
    /// Creates a client; connections are opened with the first calls.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the number of connections to `address` that are not yet closed.
    pub fn connections(&self, address: SocketAddr) -> u32 {
        self.pools.open_connections(address)
    }
}

impl Endpoints for HttpEndpoints {
    async fn run(
        &self,
        address: SocketAddr,
        dispatch: Dispatch,
        may_send: impl FnOnce() -> bool + Send,
    ) -> Result<EndpointAnswer, EndpointError> {
        let Dispatch {
            id,
            body,
            content_type,
            connections,
            timeout,
        } = dispatch;
        let deadline = Instant::now() + timeout;
        let not_sent = |cause| EndpointError::NotSent {
            id: id.clone(),
            address,
            cause,
        };
        let mut req = Request::post("/v1/run")
            .header(HOST, address.to_string())
            .header(REQUEST_ID_HEADER, id.as_str());
        if let Some(content_type) = &content_type {
            req = req.header(CONTENT_TYPE, content_type.as_str());
        }
        let req = req
            .body(Full::new(body))
            .map_err(|err| not_sent(format_smolstr!("{err}")))?;
        let result = self
            .pools
            .exchange(address, req, Some(connections), deadline, may_send)
            .await;
        match result {
            Ok(response) => answer(address, id, response),
            Err(ExchangeError::NotSent(cause)) => Err(not_sent(cause)),
            Err(ExchangeError::Broken(cause)) => Err(EndpointError::Broken { id, address, cause }),
        }
    }

    async fn health(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EndpointHealth, HealthError> {
        let err = |cause| HealthError { address, cause };
        let req = Request::get("/v1/health")
            .header(HOST, address.to_string())
            .body(Full::default())
            .map_err(|e| err(format_smolstr!("{e}")))?;
        let deadline = Instant::now() + timeout;
        let response = self
            .pools
            .exchange(address, req, None, deadline, || true)
            .await
            .map_err(|e| match e {
                ExchangeError::NotSent(cause) | ExchangeError::Broken(cause) => err(cause),
            })?;
        if response.status != StatusCode::OK {
            return Err(err(format_smolstr!(
                "unexpected status {}",
                response.status
            )));
        }
        serde_json::from_slice(&response.body).map_err(|e| err(format_smolstr!("{e}")))
    }
}

/// Checks that `response` belongs to the request `id` and is not a refusal to run it.
fn answer(
    address: SocketAddr,
    id: RequestId,
    response: FullResponse,
) -> Result<EndpointAnswer, EndpointError> {
    let answered = header(&response.headers, REQUEST_ID_HEADER);
    if answered != Some(id.as_str()) {
        let cause = match answered {
            Some(other) => format_smolstr!("the answer is for request {other}"),
            None => "the answer has no Request-Id header".into(),
        };
        return Err(EndpointError::Broken { id, address, cause });
    }
    if response.status == StatusCode::SERVICE_UNAVAILABLE {
        match header(&response.headers, NOT_RUN_HEADER) {
            Some("busy") => return Err(EndpointError::Busy { id, address }),
            Some("leaving") => return Err(EndpointError::Leaving { id, address }),
            _ => {}
        }
    }
    Ok(EndpointAnswer {
        status: response.status.as_u16(),
        content_type: header(&response.headers, CONTENT_TYPE.as_str()).map(SmolStr::new),
        body: response.body,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
