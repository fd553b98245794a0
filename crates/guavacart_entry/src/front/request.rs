//! Handles a caller's request: reads its headers and body and waits for its outcome.

use bytes::Bytes;
use guavacart_scheduler::request::RequestHead;
use guavacart_types::{ByteSize, CallId, Class, Outcome, Reason, RequestId, Span, TeamName};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, Request, StatusCode, body::Incoming, header::CONTENT_TYPE};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::{sync::oneshot, time::timeout};

use super::{
    FrontContext, access,
    reply::{self, Reply},
};
use crate::{
    calls::{CallAnswer, CallerRequest, RequestBody},
    reducer_thread::Input,
};

const TEAM_HEADER: &str = "guavacart-team";
const CLASS_HEADER: &str = "guavacart-class";
const IDEMPOTENT_HEADER: &str = "guavacart-idempotent";
const DEADLINE_HEADER: &str = "guavacart-deadline-ms";

/// Why a request was refused before it reached the reducer; nothing was run.
#[derive(Debug, Error)]
pub(super) enum BadRequest {
    /// A required header is missing.
    #[error("the header is missing; docs/API.md lists what each request carries")]
    Missing(&'static str),
    /// A header or the service's name is invalid: its name and the problem.
    #[error("{1}")]
    Header(&'static str, SmolStr),
    /// The team's token is missing or wrong.
    #[error("the bearer token is missing or is not the team's")]
    Access,
    /// The body is larger than the settings allow.
    #[error("the body is larger than {0}")]
    TooLarge(ByteSize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0}")]
    TooSlow(Span),
    /// The connection ended within the body.
    #[error("the body did not arrive whole")]
    Truncated,
}

impl BadRequest {
    pub(super) fn reply(&self) -> Reply {
        let (status, key) = match self {
            Self::Missing(header) | Self::Header(header, _) => (StatusCode::BAD_REQUEST, *header),
            Self::Access => (StatusCode::UNAUTHORIZED, "authorization"),
            Self::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body"),
            Self::TooSlow(_) => (StatusCode::REQUEST_TIMEOUT, "body"),
            Self::Truncated => (StatusCode::BAD_REQUEST, "body"),
        };
        reply::error(status, key, &self.to_string())
    }
}

/// Serves one request and answers with its outcome.
pub(super) async fn serve(req: Request<Incoming>, service: &str, cx: &FrontContext) -> Reply {
    match read_request(req, service, cx).await {
        Ok((request, body)) => {
            let id = request.head.id.clone();
            reply::outcome(&id, await_outcome(request, body, cx).await)
        }
        Err(err) => {
            cx.metrics.count("requests.bad");
            err.reply()
        }
    }
}

async fn read_request(
    req: Request<Incoming>,
    service: &str,
    cx: &FrontContext,
) -> Result<(CallerRequest, RequestBody), BadRequest> {
    let mut request = parse_head(req.headers(), service)?;
    if !access::may_act_for_team(&cx.access, req.headers(), &request.head.team) {
        return Err(BadRequest::Access);
    }
    let content_type = header_text(req.headers(), CONTENT_TYPE.as_str())?.map(SmolStr::new);
    let bytes = read_body(req.into_body(), cx).await?;
    request.head.size = ByteSize(bytes.len() as u64);
    let body = RequestBody {
        content_type,
        bytes,
    };
    Ok((request, body))
}

fn parse_head(headers: &HeaderMap, service: &str) -> Result<CallerRequest, BadRequest> {
    let class = parse_header::<Class>(headers, CLASS_HEADER)?.unwrap_or_default();
    let deadline = parse_header::<u64>(headers, DEADLINE_HEADER)?.map(Span);
    let head = RequestHead {
        service: service
            .parse()
            .map_err(|err| BadRequest::Header("service", SmolStr::new(format!("{err}"))))?,
        team: team(headers)?,
        class,
        id: required_header::<RequestId>(headers, reply::REQUEST_ID)?,
        idempotent: parse_header::<bool>(headers, IDEMPOTENT_HEADER)?.unwrap_or(false),
        deadline: deadline.unwrap_or_default(),
        size: ByteSize::default(),
    };
    Ok(CallerRequest { head, deadline })
}

/// Returns the team that the headers name.
pub(super) fn team(headers: &HeaderMap) -> Result<TeamName, BadRequest> {
    required_header(headers, TEAM_HEADER)
}

/// Reads a body within the limits of size and time from the settings.
pub(super) async fn read_body(body: Incoming, cx: &FrontContext) -> Result<Bytes, BadRequest> {
    let limits = cx.limits;
    let limit = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    let read = Limited::new(body, limit).collect();
    let read = timeout(limits.body_time.into(), read)
        .await
        .map_err(|_| BadRequest::TooSlow(limits.body_time))?;
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BadRequest::TooLarge(limits.body)),
        Err(_) => Err(BadRequest::Truncated),
    }
}

/// Passes the request to the reducer and waits for its outcome.
async fn await_outcome(request: CallerRequest, body: RequestBody, cx: &FrontContext) -> CallAnswer {
    let call = cx.call_ids.next();
    let (reply, rx) = oneshot::channel();
    let guard = AbandonGuard {
        call,
        cx,
        outcome_received: false,
    };
    let input = Input::Call {
        call,
        request,
        body,
        reply,
    };
    if cx.inbox.send_async(input).await.is_err() {
        return without_body(Outcome::NotRun(Reason::Stopping));
    }
    let answer = rx.await;
    guard.disarm();
    answer.unwrap_or_else(|_| without_body(Outcome::MayHaveRun(Reason::Stopping)))
}

fn without_body(outcome: Outcome) -> CallAnswer {
    let body = None;
    CallAnswer { outcome, body }
}

/// Reports to the reducer that the caller disconnected before the outcome was known.
///
/// hyper drops the handler, and so this guard, when the caller's connection ends.
struct AbandonGuard<'a> {
    call: CallId,
    cx: &'a FrontContext,
    outcome_received: bool,
}

impl AbandonGuard<'_> {
    fn disarm(mut self) {
        self.outcome_received = true;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.outcome_received {
            return;
        }
        self.cx.metrics.count("requests.abandoned");
        let call = self.call;
        let gone = guavacart_scheduler::request::RequestEvent::CallerGone { call };
        let input = Input::Event(guavacart_scheduler::Event::Request(gone));
        // A closed inbox means that the process is ending.
        let _ = self.cx.inbox.send(input);
    }
}

fn required_header<T>(headers: &HeaderMap, name: &'static str) -> Result<T, BadRequest>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    parse_header(headers, name)?.ok_or(BadRequest::Missing(name))
}

fn parse_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, BadRequest>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let parsed = text.parse();
    parsed
        .map(Some)
        .map_err(|err: T::Err| BadRequest::Header(name, SmolStr::new(err.to_string())))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some).map_err(|_| {
        BadRequest::Header(
            "header",
            SmolStr::new("a header holds bytes that are not text"),
        )
    })
}
