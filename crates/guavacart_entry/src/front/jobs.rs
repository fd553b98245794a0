//! Handlers of the submitters' calls: submit, query, list and cancel jobs.

use std::time::Duration;

use guavacart_scheduler::batch::{BatchEvent, call::JobReply};
use guavacart_types::{CallId, JobId, TeamName};
use hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming};
use tokio::{sync::oneshot, time::timeout};

use super::{
    FrontContext, access,
    reply::{self, Reply},
    request::{self, read_body},
};
use crate::{jobs, reducer_thread::Input};

/// Longest wait for the reducer, which times out its own calls earlier.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
const TEAM_TOKEN_REQUIRED: &str = "the bearer token is missing or is not the team's";

/// Serves one submitter's call; `path` holds the segments after `/v1/jobs`.
pub(super) async fn serve(req: Request<Incoming>, path: &[&str], cx: &FrontContext) -> Reply {
    match (req.method(), path) {
        (&Method::POST, []) => submit(req, cx).await,
        (&Method::GET, []) => list(&req, cx).await,
        (&Method::GET, [id]) => query(req.headers(), id, cx).await,
        (&Method::DELETE, [id]) => cancel(req.headers(), id, cx).await,
        (_, []) => reply::method_not_allowed("GET, POST"),
        (_, [_]) => reply::method_not_allowed("GET, DELETE"),
        _ => reply::no_such_path(),
    }
}

/// Submits the job in the body if the headers carry the token of the job's team.
async fn submit(req: Request<Incoming>, cx: &FrontContext) -> Reply {
    let headers = req.headers().clone();
    let body = match read_body(req.into_body(), cx).await {
        Ok(body) => body,
        Err(err) => return err.reply(),
    };
    let spec = match jobs::decode_job(&body) {
        Ok(spec) => Box::new(spec),
        Err(err) => return reply::error(StatusCode::BAD_REQUEST, "body", &err.to_string()),
    };
    if !access::may_act_for_team(&cx.access, &headers, &spec.team) {
        return reply::unauthorized(TEAM_TOKEN_REQUIRED);
    }
    reply_from_reducer(cx, |call| BatchEvent::Submitted { call, spec }).await
}

async fn query(headers: &HeaderMap, id: &str, cx: &FrontContext) -> Reply {
    if !access::may_read_jobs(&cx.access, headers) {
        return reply::unauthorized(TEAM_TOKEN_REQUIRED);
    }
    match id.parse::<JobId>() {
        Ok(job) => reply_from_reducer(cx, |call| BatchEvent::Queried { call, job }).await,
        Err(err) => reply::error(StatusCode::BAD_REQUEST, "job", &err.to_string()),
    }
}

async fn list(req: &Request<Incoming>, cx: &FrontContext) -> Reply {
    if !access::may_read_jobs(&cx.access, req.headers()) {
        return reply::unauthorized(TEAM_TOKEN_REQUIRED);
    }
    let query = req.uri().query().unwrap_or("");
    let team_param = query.split('&').find_map(|part| part.strip_prefix("team="));
    match team_param.map(str::parse::<TeamName>).transpose() {
        Ok(team) => reply_from_reducer(cx, |call| BatchEvent::Listed { call, team }).await,
        Err(err) => reply::error(StatusCode::BAD_REQUEST, "team", &err.to_string()),
    }
}

/// Cancels a job.
///
/// Without the writer's token, the headers must name the job's team and carry the team's token.
async fn cancel(headers: &HeaderMap, id: &str, cx: &FrontContext) -> Reply {
    let job: JobId = match id.parse() {
        Ok(job) => job,
        Err(err) => return reply::error(StatusCode::BAD_REQUEST, "job", &err.to_string()),
    };
    if access::has_any_token(&cx.access) && !access::may_write(&cx.access, headers) {
        let team = match request::team(headers) {
            Ok(team) => team,
            Err(err) => return err.reply(),
        };
        if !access::may_act_for_team(&cx.access, headers, &team) {
            return reply::unauthorized(TEAM_TOKEN_REQUIRED);
        }
        match ask_reducer(cx, |call| BatchEvent::Queried {
            call,
            job: job.clone(),
        })
        .await
        {
            Some(JobReply::Status(status)) if status.summary.team == team => {}
            Some(JobReply::Status(_)) => return reply::unauthorized("the job is another team's"),
            other => return to_reply(other),
        }
    }
    reply_from_reducer(cx, |call| BatchEvent::Cancelled {
        call,
        jobs: vec![job],
    })
    .await
}

async fn reply_from_reducer(cx: &FrontContext, event: impl FnOnce(CallId) -> BatchEvent) -> Reply {
    to_reply(ask_reducer(cx, event).await)
}

/// Passes a call to the reducer; returns none if no answer arrives in time.
async fn ask_reducer(
    cx: &FrontContext,
    event: impl FnOnce(CallId) -> BatchEvent,
) -> Option<JobReply> {
    let call = cx.call_ids.next();
    let (reply, rx) = oneshot::channel();
    let event = event(call);
    let input = Input::Job { call, event, reply };
    cx.inbox.send_async(input).await.ok()?;
    timeout(REPLY_TIMEOUT, rx).await.ok()?.ok()
}

fn to_reply(answer: Option<JobReply>) -> Reply {
    let (status, body) = jobs::encode_reply(&answer.unwrap_or(JobReply::Unknown));
    reply::json(status, body.to_string().into_bytes())
}
