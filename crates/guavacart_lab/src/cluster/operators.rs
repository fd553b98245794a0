//! Operators' calls to the instances of a run, and waits for their effects.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::{Cluster, ClusterError, POLL_PERIOD, WRITER};
use crate::client;

/// Longest wait for a patch to be accepted or for all instances to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for the answer to one operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

impl Cluster {
    /// Submits a patch through the balancer until it is accepted, and returns the number of the
    /// resulting configuration. A status from 400 to 499 is an error at once.
    pub async fn patch(&self, base: u64, id: &str, change: &Value) -> Result<u64, ClusterError> {
        let path = format!("/v1/config?base={base}&id={id}");
        let deadline = Instant::now() + READY_TIMEOUT;
        let mut answer = SmolStr::default();
        while Instant::now() < deadline {
            let body = change.to_string().into_bytes();
            match self
                .call_operator_api(self.balancer.address(), Method::PATCH, &path, body)
                .await
            {
                Some((StatusCode::OK, body)) => {
                    return Ok(body
                        .get("number")
                        .and_then(Value::as_u64)
                        .unwrap_or_default());
                }
                Some((status, body)) if status.is_client_error() => {
                    let (id, answer) = (id.into(), format_smolstr!("{status} {body}"));
                    return Err(ClusterError::Patch { id, answer });
                }
                Some((status, body)) => answer = format_smolstr!("{status} {body}"),
                None => {}
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        let id = id.into();
        Err(ClusterError::Patch { id, answer })
    }

    /// Sends one operator's call and returns the status and the JSON body; `None` if it was not
    /// answered.
    pub async fn call_operator_api(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Value)> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {WRITER}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let res = client::call(address, req, CALL_TIMEOUT).await.ok()?;
        let body = serde_json::from_slice(res.body()).unwrap_or_default();
        Some((res.status(), body))
    }

    /// Waits until `n` instances pass the balancer's health checks.
    pub async fn wait_healthy(&self, n: usize) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.balancer.healthy().len() < n {
            if Instant::now() >= deadline {
                return Err(timed_out(&format!("health of {n} instances")));
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    /// Waits until every running instance has configuration `number` or a later one in force and
    /// lists every endpoint.
    pub async fn wait_for_config(&self, number: u64) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut ready = true;
            for (_, address) in self.running() {
                let status = self
                    .call_operator_api(address, Method::GET, "/v1/status", Vec::new())
                    .await;
                ready &= status.is_some_and(|(_, body)| {
                    body["config"].as_u64() >= Some(number)
                        && body["endpoints_listed"].as_u64() >= Some(self.endpoints().len() as u64)
                        && !body["right_ms"].is_null()
                });
            }
            if ready {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(timed_out(&format!(
                    "configuration {number} in force everywhere"
                )));
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

fn timed_out(condition: &str) -> ClusterError {
    ClusterError::TimedOut {
        what: condition.into(),
        limit: READY_TIMEOUT,
    }
}
