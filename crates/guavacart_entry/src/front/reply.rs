//! Answers to callers and operators.

use bytes::Bytes;
use guavacart_types::{Outcome, Reason, RequestId};
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

use crate::calls::Answer;

/// A whole answer.
pub(super) type Reply = Response<Full<Bytes>>;

/// Names the outcome.
pub(super) const OUTCOME: &str = "guavacart-outcome";
/// Says why a request was not answered.
pub(super) const REASON: &str = "guavacart-reason";
/// The caller's own id of the request.
pub(super) const REQUEST_ID: &str = "guavacart-request-id";

/// Seconds after which a refused caller may try again.
const RETRY_AFTER_SECONDS: u64 = 1;

#[derive(Serialize)]
struct Refusal<'a> {
    outcome: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct Problem<'a> {
    key: &'a str,
    reason: &'a str,
}

/// An answer with a JSON body.
pub(super) fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, value);
    reply
}

/// An error that names what is wrong and how it is put right; nothing was run.
pub(super) fn error(status: StatusCode, key: &str, reason: &str) -> Reply {
    let problem = Problem { key, reason };
    let mut reply = json(status, serde_json::to_vec(&problem).unwrap_or_default());
    let not_run = HeaderValue::from_static("not-run");
    reply.headers_mut().insert(OUTCOME, not_run);
    reply
}

/// No handler serves the path.
pub(super) fn no_such_path() -> Reply {
    error(
        StatusCode::NOT_FOUND,
        "path",
        "no such path; docs/API.md lists them",
    )
}

/// The token is missing or wrong.
pub(super) fn unauthorized(reason: &str) -> Reply {
    error(StatusCode::UNAUTHORIZED, "authorization", reason)
}

/// The path is known, the method is not.
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

/// The outcome of a request.
pub(super) fn outcome(id: &RequestId, answer: Answer) -> Reply {
    let Answer { outcome, body } = answer;
    let mut reply = match (outcome, body) {
        (Outcome::Answered, Some(body)) => answered(body),
        (Outcome::Answered, None) => refused(Outcome::MayHaveRun(Reason::EndpointFailed)),
        (outcome, _) => refused(outcome),
    };
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        reply.headers_mut().insert(REQUEST_ID, value);
    }
    reply
}

/// Asks the caller to use another connection next time.
pub(super) fn close_after(reply: &mut Reply) {
    let value = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, value);
}

fn answered(body: guavacart_platform::endpoint::EndpointAnswer) -> Reply {
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

fn refused(outcome: Outcome) -> Reply {
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
