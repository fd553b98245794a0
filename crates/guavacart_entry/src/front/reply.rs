//! HTTP responses to callers, submitters and operators.

use bytes::Bytes;
use guavacart_types::{Outcome, Reason, RequestId};
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

use crate::calls::CallAnswer;

/// An HTTP response whose body is in memory.
pub(super) type Reply = Response<Full<Bytes>>;

/// Response header with the outcome of the request.
pub(super) const OUTCOME: &str = "guavacart-outcome";
/// Response header with the reason why a request was not answered.
pub(super) const REASON: &str = "guavacart-reason";
/// Header with the id that the caller chose for the request; repeated in the response.
pub(super) const REQUEST_ID: &str = "guavacart-request-id";

/// Value of `Retry-After` in responses with status 503.
const RETRY_AFTER_SECONDS: u64 = 1;

/// The JSON body of a response to a request that has no answer from an endpoint.
#[derive(Serialize)]
struct Refusal<'a> {
    outcome: &'a str,
    reason: String,
}

/// The JSON body of an error response.
#[derive(Serialize)]
struct Problem<'a> {
    key: &'a str,
    reason: &'a str,
}

/// Builds a response with a JSON body.
pub(super) fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, value);
    reply
}

/// Builds an error response for a request that was not run.
///
/// `key` names the part of the request that is wrong; `reason` says what is wrong and how to
/// correct it.
pub(super) fn error(status: StatusCode, key: &str, reason: &str) -> Reply {
    let problem = Problem { key, reason };
    let mut reply = json(status, serde_json::to_vec(&problem).unwrap_or_default());
    let not_run = HeaderValue::from_static("not-run");
    reply.headers_mut().insert(OUTCOME, not_run);
    reply
}

/// Builds the response for a path that no handler serves.
pub(super) fn no_such_path() -> Reply {
    error(
        StatusCode::NOT_FOUND,
        "path",
        "no such path; docs/API.md lists them",
    )
}

/// Builds the response for a missing or wrong token.
pub(super) fn unauthorized(reason: &str) -> Reply {
    error(StatusCode::UNAUTHORIZED, "authorization", reason)
}

/// Builds the response for a known path with a method that it does not support.
pub(super) fn method_not_allowed(allowed: &'static str) -> Reply {
    let mut reply = error(
        StatusCode::METHOD_NOT_ALLOWED,
        "method",
        "not for this path",
    );
    let value = HeaderValue::from_static(allowed);
    reply.headers_mut().insert(ALLOW, value);
    reply
}

/// Builds the response for the outcome of a request.
pub(super) fn outcome(id: &RequestId, answer: CallAnswer) -> Reply {
    let CallAnswer { outcome, body } = answer;
    let mut reply = match (outcome, body) {
        (Outcome::Answered, Some(body)) => from_endpoint(body),
        (Outcome::Answered, None) => from_refusal(Outcome::MayHaveRun(Reason::EndpointFailed)),
        (outcome, _) => from_refusal(outcome),
    };
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        reply.headers_mut().insert(REQUEST_ID, value);
    }
    reply
}

/// Tells the caller that the connection closes after this response.
pub(super) fn set_connection_close(reply: &mut Reply) {
    let value = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, value);
}

fn from_endpoint(body: guavacart_platform::endpoint::EndpointAnswer) -> Reply {
    let mut reply = Response::new(Full::new(body.body));
    *reply.status_mut() = StatusCode::from_u16(body.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = reply.headers_mut();
    headers.insert(
        OUTCOME,
        HeaderValue::from_static(Outcome::Answered.header()),
    );
    let content_type = body.content_type;
    if let Some(value) = content_type.and_then(|t| HeaderValue::from_str(&t).ok()) {
        headers.insert(CONTENT_TYPE, value);
    }
    reply
}

fn from_refusal(outcome: Outcome) -> Reply {
    let (status, reason) = match outcome {
        Outcome::Answered => (StatusCode::OK, Reason::Unknown),
        Outcome::NotRun(reason) => (not_run_status(reason), reason),
        Outcome::MayHaveRun(reason) => (may_have_run_status(reason), reason),
    };
    let refusal = Refusal {
        outcome: outcome.header(),
        reason: reason.to_string(),
    };
    let mut reply = json(status, serde_json::to_vec(&refusal).unwrap_or_default());
    let headers = reply.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.header()));
    if let Ok(value) = HeaderValue::from_str(&refusal.reason) {
        headers.insert(REASON, value);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    }
    reply
}

fn not_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::Unknown => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn may_have_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::Repeated => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
