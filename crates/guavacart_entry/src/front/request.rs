//! A caller's request: its headers, its body, its outcome.

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
    calls::{Answer, Asked, RequestBody},
    core::Input,
};

const TEAM: &str = "guavacart-team";
const CLASS: &str = "guavacart-class";
const IDEMPOTENT: &str = "guavacart-idempotent";
const DEADLINE: &str = "guavacart-deadline-ms";

/// Why a request was not taken; nothing was run.
#[derive(Debug, Error)]
pub(super) enum BadRequest {
    /// A header that every request needs is missing.
    #[error("the header is missing; docs/API.md lists what each request carries")]
    Missing(&'static str),
    /// A header cannot be read.
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

/// Serves one request from its head to its outcome.
pub(super) async fn serve(req: Request<Incoming>, service: &str, cx: &FrontContext) -> Reply {
    match take(req, service, cx).await {
        Ok((asked, body)) => {
            let id = asked.head.id.clone();
            reply::outcome(&id, run(asked, body, cx).await)
        }
        Err(err) => {
            cx.metrics.count("requests.bad");
            err.reply()
        }
    }
}

async fn take(
    req: Request<Incoming>,
    service: &str,
    cx: &FrontContext,
) -> Result<(Asked, RequestBody), BadRequest> {
    let mut asked = asked(req.headers(), service)?;
    if !access::is_team(&cx.access, req.headers(), &asked.head.team) {
        return Err(BadRequest::Access);
    }
    let content_type = text(req.headers(), CONTENT_TYPE.as_str())?.map(SmolStr::new);
    let bytes = read_body(req.into_body(), cx).await?;
    asked.head.size = ByteSize(bytes.len() as u64);
    let body = RequestBody {
        content_type,
        bytes,
    };
    Ok((asked, body))
}

fn asked(headers: &HeaderMap, service: &str) -> Result<Asked, BadRequest> {
    let class = parse::<Class>(headers, CLASS)?.unwrap_or_default();
    let deadline = parse::<u64>(headers, DEADLINE)?.map(Span);
    let head = RequestHead {
        service: service
            .parse()
            .map_err(|err| BadRequest::Header("service", SmolStr::new(format!("{err}"))))?,
        team: team(headers)?,
        class,
        id: required::<RequestId>(headers, reply::REQUEST_ID)?,
        idempotent: parse::<bool>(headers, IDEMPOTENT)?.unwrap_or(false),
        deadline: deadline.unwrap_or_default(),
        size: ByteSize::default(),
    };
    Ok(Asked { head, deadline })
}

/// The team that the headers name.
pub(super) fn team(headers: &HeaderMap) -> Result<TeamName, BadRequest> {
    required(headers, TEAM)
}

/// Reads a body within the settings' size and time.
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

/// Hands the request to the reducer and waits for its outcome.
async fn run(asked: Asked, body: RequestBody, cx: &FrontContext) -> Answer {
    let call = cx.call_ids.next();
    let (reply, rx) = oneshot::channel();
    let waiting = Waiting {
        call,
        cx,
        done: false,
    };
    let input = Input::Call {
        call,
        asked,
        body,
        reply,
    };
    if cx.inbox.send_async(input).await.is_err() {
        return ended(Outcome::NotRun(Reason::Stopping));
    }
    let answer = rx.await;
    waiting.done();
    answer.unwrap_or_else(|_| ended(Outcome::MayHaveRun(Reason::Stopping)))
}

fn ended(outcome: Outcome) -> Answer {
    let body = None;
    Answer { outcome, body }
}

/// Tells the reducer if the caller goes before the outcome: hyper then drops the handler.
struct Waiting<'a> {
    call: CallId,
    cx: &'a FrontContext,
    done: bool,
}

impl Waiting<'_> {
    fn done(mut self) {
        self.done = true;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
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

fn required<T>(headers: &HeaderMap, name: &'static str) -> Result<T, BadRequest>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    parse(headers, name)?.ok_or(BadRequest::Missing(name))
}

fn parse<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, BadRequest>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let parsed = text.parse();
    parsed
        .map(Some)
        .map_err(|err: T::Err| BadRequest::Header(name, SmolStr::new(err.to_string())))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
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
