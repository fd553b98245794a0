//! Requests to the endpoints of services.

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

use crate::connection::{ExchangeError, Pools, Whole};

/// Header that names a request and its answer.
pub const REQUEST_ID: &str = "request-id";
/// Header of an endpoint that did not run a request.
pub const NOT_RUN: &str = "not-run";

/// What is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request's id, which the answer must name.
    pub id: RequestId,
    /// The caller's body.
    pub body: Bytes,
    /// The body's media type, if the caller gave one.
    pub content_type: Option<SmolStr>,
    /// Most connections to the endpoint.
    pub connections: u32,
    /// How long to wait for the whole answer.
    pub timeout: Duration,
}

/// The endpoint's own whole answer.
#[derive(Clone, Debug)]
pub struct EndpointAnswer {
    /// Its status.
    pub status: u16,
    /// Its media type, if the endpoint gave one.
    pub content_type: Option<SmolStr>,
    /// Its body.
    pub body: Bytes,
}

/// Why a dispatch brought no answer.
#[derive(Clone, Debug, Error)]
pub enum EndpointError {
    /// No byte of the request left for the endpoint.
    #[error("request {id} was not sent to {address}: {cause}")]
    NotSent {
        /// The request.
        id: RequestId,
        /// The endpoint.
        address: SocketAddr,
        /// What stood in the way.
        cause: SmolStr,
    },
    /// The endpoint did not run the request since its slots are taken.
    #[error("{address} did not run request {id}: its slots are taken")]
    Busy {
        /// The request.
        id: RequestId,
        /// The endpoint.
        address: SocketAddr,
    },
    /// The endpoint did not run the request since it leaves.
    #[error("{address} did not run request {id}: it leaves")]
    Leaving {
        /// The request.
        id: RequestId,
        /// The endpoint.
        address: SocketAddr,
    },
    /// Bytes were sent and no whole answer to this request came; it may have run.
    #[error("request {id} may have run at {address}: {cause}")]
    Broken {
        /// The request.
        id: RequestId,
        /// The endpoint.
        address: SocketAddr,
        /// What became of the answer.
        cause: SmolStr,
    },
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct EndpointHealth {
    /// Requests that it runs now.
    pub busy: u32,
    /// True once it leaves.
    pub leaving: bool,
}

/// Why an endpoint said nothing of itself.
#[derive(Clone, Debug, Error)]
#[error("{address} did not say what it runs: {cause}")]
pub struct HealthError {
    /// The endpoint.
    pub address: SocketAddr,
    /// What became of the call.
    pub cause: SmolStr,
}

/// The endpoints of all services.
pub trait Endpoints: Clone + Send + Sync + 'static {
    /// Sends a request once, unless `may_send` says no right before its first byte.
    fn run(
        &self,
        address: SocketAddr,
        dispatch: Dispatch,
        may_send: impl FnOnce() -> bool + Send,
    ) -> impl Future<Output = Result<EndpointAnswer, EndpointError>> + Send;

    /// Asks an endpoint what it runs.
    fn health(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<EndpointHealth, HealthError>> + Send;
}

/// Endpoints over HTTP/1.1 with kept-alive connections.
#[derive(Clone, Debug, Default)]
pub struct HttpEndpoints {
    pools: Pools,
}

impl HttpEndpoints {
    /// Opens no connection until the first dispatch.
    pub fn open() -> Self {
        Self::default()
    }

    /// Connections to `address` that are not yet closed.
    pub fn connections(&self, address: SocketAddr) -> u32 {
        self.pools.open(address)
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
            .header(REQUEST_ID, id.as_str());
        if let Some(content_type) = &content_type {
            req = req.header(CONTENT_TYPE, content_type.as_str());
        }
        let req = req
            .body(Full::new(body))
            .map_err(|err| not_sent(format_smolstr!("{err}")))?;
        let exchange = self
            .pools
            .exchange(address, req, Some(connections), deadline, may_send)
            .await;
        match exchange {
            Ok(whole) => answer(address, id, whole),
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
        let whole = self
            .pools
            .exchange(address, req, None, deadline, || true)
            .await
            .map_err(|e| match e {
                ExchangeError::NotSent(cause) | ExchangeError::Broken(cause) => err(cause),
            })?;
        if whole.status != StatusCode::OK {
            return Err(err(format_smolstr!("status {}", whole.status)));
        }
        serde_json::from_slice(&whole.body).map_err(|e| err(format_smolstr!("{e}")))
    }
}

fn answer(
    address: SocketAddr,
    id: RequestId,
    whole: Whole,
) -> Result<EndpointAnswer, EndpointError> {
    let named = header(&whole.headers, REQUEST_ID);
    if named != Some(id.as_str()) {
        let cause = match named {
            Some(other) => format_smolstr!("the answer names request {other}"),
            None => "the answer names no request".into(),
        };
        return Err(EndpointError::Broken { id, address, cause });
    }
    if whole.status == StatusCode::SERVICE_UNAVAILABLE {
        match header(&whole.headers, NOT_RUN) {
            Some("busy") => return Err(EndpointError::Busy { id, address }),
            Some("leaving") => return Err(EndpointError::Leaving { id, address }),
            _ => {}
        }
    }
    Ok(EndpointAnswer {
        status: whole.status.as_u16(),
        content_type: header(&whole.headers, CONTENT_TYPE.as_str()).map(SmolStr::new),
        body: whole.body,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
