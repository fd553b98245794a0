//! Blocking calls through `minreq`, with the check of length that it lacks.

use std::{io, time::Duration};

use guavacart_types::Revision;
use minreq::{Request, Response};
use smol_str::{SmolStr, format_smolstr};

/// Status of a platform service that is out.
pub(crate) const UNAVAILABLE: u16 = 503;
/// Status of an answer that has no body by definition.
const NOT_MODIFIED: u16 = 304;

/// Why a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The service was not reached or refused the call.
    Unavailable(SmolStr),
    /// The call was sent and no whole answer came.
    Unknown(SmolStr),
}

/// Sends `req` and returns its whole answer, within `timeout` rounded up to whole seconds.
pub(crate) fn call(req: Request, timeout: Duration) -> Result<Response, CallError> {
    let res = req
        .with_timeout(whole_seconds(timeout))
        .with_follow_redirects(false)
        .send()
        .map_err(|err| sort(&err))?;
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
