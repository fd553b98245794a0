//! Blocking HTTP/1.1 calls through `minreq`, which opens one connection for each call.
//!
//! `minreq` does not compare the length of a body with `Content-Length`; this module does.

use std::{io, time::Duration};

use guavacart_types::Revision;
use minreq::{Method, Request, Response};
use smol_str::{SmolStr, format_smolstr};

use crate::traffic::Traffic;

/// Status of a platform service during an outage.
pub(crate) const UNAVAILABLE: u16 = 503;
/// Status of a response that never has a body.
pub(crate) const NOT_MODIFIED: u16 = 304;

/// Why a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The service was not reached or refused the call.
    Unavailable(SmolStr),
    /// The call may have been sent and no valid, complete response came, so it may have had an effect.
    Unknown(SmolStr),
}

/// A request and its length in bytes on the wire.
pub(crate) struct OutgoingRequest {
    req: Request,
    bytes: usize,
}

impl OutgoingRequest {
    /// Creates a request without a body, for reading or deleting the value at `url`.
    pub(crate) fn without_body(method: Method, url: String) -> Self {
        let bytes = head_bytes(&method, &url);
        let req = Request::new(method, url);
        Self { req, bytes }
    }

    /// Adds a header.
    pub(crate) fn with_header(self, name: &str, value: &str) -> Self {
        Self {
            bytes: self.bytes + name.len() + value.len() + ": \r\n".len(),
            req: self.req.with_header(name, value),
        }
    }

    /// Creates a request that writes `body` to `url`.
    pub(crate) fn put(url: String, body: &[u8]) -> Self {
        let length = format!("Content-Length: {}\r\n", body.len());
        let bytes = head_bytes(&Method::Put, &url) + length.len() + body.len();
        let req = minreq::put(url).with_body(body);
        Self { req, bytes }
    }
}

/// Sends `req` and returns the complete response, within `timeout` rounded up to whole seconds.
///
/// A response with status 503 is returned as [`CallError::Unavailable`].
pub(crate) fn call(
    req: OutgoingRequest,
    timeout: Duration,
    traffic: &Traffic,
) -> Result<Response, CallError> {
    traffic.sent(req.bytes);
    let res = req
        .req
        .with_timeout(whole_seconds(timeout))
        .with_follow_redirects(false)
        .send()
        .map_err(|err| classify(&err))?;
    traffic.received(response_bytes(&res));
    // Before the status, since `minreq` reports status 503 for a response without a status line; the
    // server may have carried out that call.
    check_length(&res)?;
    match res.status_code {
        UNAVAILABLE => Err(CallError::Unavailable("status 503".into())),
        _ => Ok(res),
    }
}

/// Returns the value of the response's `Revision` header.
pub(crate) fn revision_header(res: &Response) -> Result<Revision, CallError> {
    res.header("revision")
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| CallError::Unknown("the answer has no Revision header".into()))
}

/// Returns the error for a response with a status that the protocol does not define for the call.
pub(crate) fn unexpected_status(res: &Response) -> CallError {
    CallError::Unknown(format_smolstr!("unexpected status {}", res.status_code))
}

/// Returns the length of `METHOD PATH HTTP/1.1`, `Host: ADDRESS` and the blank line, as `minreq`
/// writes them.
fn head_bytes(method: &Method, url: &str) -> usize {
    let address_and_path = url.strip_prefix("http://").unwrap_or(url);
    method.to_string().len() + address_and_path.len() + " HTTP/1.1\r\nHost: \r\n\r\n ".len()
}

/// Returns the length of the status line, the headers and the body of a response.
fn response_bytes(res: &Response) -> usize {
    let line = "HTTP/1.1 200 \r\n\r\n".len() + res.reason_phrase.len();
    let headers = res.headers.iter();
    let headers: usize = headers
        .map(|(k, v)| k.len() + v.len() + ": \r\n".len())
        .sum();
    line + headers + res.as_bytes().len()
}

/// Rounds up to whole seconds, at least 1, since `minreq` takes timeouts in seconds.
fn whole_seconds(timeout: Duration) -> u64 {
    let rounded_up = timeout.as_secs() + u64::from(timeout.subsec_nanos() > 0);
    rounded_up.max(1)
}

/// Distinguishes failures before the call was sent from those after which it may have had an effect.
fn classify(err: &minreq::Error) -> CallError {
    let cause = format_smolstr!("{err}");
    match err {
        minreq::Error::IoError(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
            CallError::Unavailable(cause)
        }
        minreq::Error::AddressNotFound => CallError::Unavailable(cause),
        _ => CallError::Unknown(cause),
    }
}

/// Checks that the body is complete, since `minreq` returns `Ok` for a truncated response.
fn check_length(res: &Response) -> Result<(), CallError> {
    if res.status_code == NOT_MODIFIED {
        return Ok(());
    }
    let declared = res
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok())
        .ok_or_else(|| CallError::Unknown("the answer has no Content-Length".into()))?;
    let len = res.as_bytes().len();
    if len == declared {
        return Ok(());
    }
    let cause = format_smolstr!("the answer has {len} of {declared} bytes");
    Err(CallError::Unknown(cause))
}
