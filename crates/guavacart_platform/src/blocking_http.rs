//! Blocking calls through `minreq`, with the check of length that it lacks.

use std::{io, time::Duration};

use guavacart_types::Revision;
use minreq::{Method, Request, Response};
use smol_str::{SmolStr, format_smolstr};

use crate::traffic::Traffic;

/// Status of a platform service that is out.
pub(crate) const UNAVAILABLE: u16 = 503;
/// Status of an answer that has no body by definition.
pub(crate) const NOT_MODIFIED: u16 = 304;

/// Why a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The service was not reached or refused the call.
    Unavailable(SmolStr),
    /// The call was sent and no whole answer came.
    Unknown(SmolStr),
}

/// A request whose length is known.
pub(crate) struct Outgoing {
    req: Request,
    bytes: usize,
}

impl Outgoing {
    /// Reads or deletes what stands at `url`.
    pub(crate) fn bodiless(method: Method, url: String) -> Self {
        let bytes = head_bytes(&method, &url);
        let req = Request::new(method, url);
        Self { req, bytes }
    }

    /// The same with a header.
    pub(crate) fn with_header(self, name: &str, value: &str) -> Self {
        Self {
            bytes: self.bytes + name.len() + value.len() + ": \r\n".len(),
            req: self.req.with_header(name, value),
        }
    }

    /// Writes `body` to `url`.
    pub(crate) fn put(url: String, body: &[u8]) -> Self {
        let length = format!("Content-Length: {}\r\n", body.len());
        let bytes = head_bytes(&Method::Put, &url) + length.len() + body.len();
        let req = minreq::put(url).with_body(body);
        Self { req, bytes }
    }
}

/// Sends `req` and returns its whole answer, within `timeout` rounded up to whole seconds.
pub(crate) fn call(
    req: Outgoing,
    timeout: Duration,
    traffic: &Traffic,
) -> Result<Response, CallError> {
    traffic.sent(req.bytes);
    let res = req
        .req
        .with_timeout(whole_seconds(timeout))
        .with_follow_redirects(false)
        .send()
        .map_err(|err| sort(&err))?;
    traffic.received(answer_bytes(&res));
    // The order matters: `minreq` makes a status 503 up for an answer without a status line.
    check_length(&res)?;
    match res.status_code {
        UNAVAILABLE => Err(CallError::Unavailable("status 503".into())),
        _ => Ok(res),
    }
}

/// The answer's `Revision` header.
pub(crate) fn revision(res: &Response) -> Result<Revision, CallError> {
    res.header("revision")
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| CallError::Unknown("the answer has no Revision header".into()))
}

/// An answer whose status the protocol does not know.
pub(crate) fn unexpected(res: &Response) -> CallError {
    CallError::Unknown(format_smolstr!("unexpected status {}", res.status_code))
}

/// Bytes of `METHOD PATH HTTP/1.1`, `Host: ADDRESS` and the blank line, as `minreq` writes them.
fn head_bytes(method: &Method, url: &str) -> usize {
    let named = url.strip_prefix("http://").unwrap_or(url);
    method.to_string().len() + named.len() + " HTTP/1.1\r\nHost: \r\n\r\n ".len()
}

/// Bytes of the status line, the headers and the body of an answer.
fn answer_bytes(res: &Response) -> usize {
    let line = "HTTP/1.1 200 \r\n\r\n".len() + res.reason_phrase.len();
    let headers = res.headers.iter();
    let headers: usize = headers
        .map(|(k, v)| k.len() + v.len() + ": \r\n".len())
        .sum();
    line + headers + res.as_bytes().len()
}

/// `minreq` takes a timeout in whole seconds.
fn whole_seconds(timeout: Duration) -> u64 {
    let rounded_up = timeout.as_secs() + u64::from(timeout.subsec_nanos() > 0);
    rounded_up.max(1)
}

fn sort(err: &minreq::Error) -> CallError {
    let cause = format_smolstr!("{err}");
    match err {
        minreq::Error::IoError(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
            CallError::Unavailable(cause)
        }
        minreq::Error::AddressNotFound => CallError::Unavailable(cause),
        _ => CallError::Unknown(cause),
    }
}

/// `minreq` returns `Ok` for an answer that was cut short.
fn check_length(res: &Response) -> Result<(), CallError> {
    if res.status_code == NOT_MODIFIED {
        return Ok(());
    }
    let stated = res
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok())
        .ok_or_else(|| CallError::Unknown("the answer has no Content-Length".into()))?;
    let len = res.as_bytes().len();
    if len == stated {
        return Ok(());
    }
    let cause = format_smolstr!("the answer has {len} of {stated} bytes");
    Err(CallError::Unknown(cause))
}
