//! Serves the operators' calls over HTTP: status, service-level record, configuration.

use std::time::Duration;

use guavacart_config::{Configuration, Patch};
use guavacart_types::InstanceId;
use guavacart_wire::Question;
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{ALLOW, HeaderValue},
};
use tokio::{sync::oneshot, task::spawn_blocking, time::timeout};

use super::{
    FrontContext, access,
    reply::{self, Reply},
    request::read_body,
};
use crate::{
    operators::{self, Answer, Call, InstanceNumber, Role},
    reducer_thread::Input,
    status::Roster,
};

/// Longest wait for this instance's reducer to answer a question.
const REDUCER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a peer to answer a question.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves one operator's call; `path` holds the segments after `/v1`.
pub(super) async fn serve(req: Request<Incoming>, path: &[&str], cx: &FrontContext) -> Reply {
    let query = req.uri().query().unwrap_or("");
    let call = match Call::parse(req.method().as_str(), path, query) {
        Ok(call) => call,
        Err(err) => return to_reply(err.into()),
    };
    let allowed = match call.role() {
        Role::Reader => access::may_read(&cx.access, req.headers()),
        Role::Writer => access::may_write(&cx.access, req.headers()),
    };
    if !allowed {
        cx.metrics.count("operators.refused");
        return reply::unauthorized("the bearer token is missing or is not an operator's");
    }
    match call {
        Call::Configuration => reply_from_reducer(Question::Configuration, cx).await,
        Call::Status => reply_from_reducer(Question::Status, cx).await,
        Call::Version(number) => {
            run_blocking(cx, move |cx| operators::version(&cx.store, number)).await
        }
        Call::Difference { from, to } => {
            run_blocking(cx, move |cx| operators::difference(&cx.store, from, to)).await
        }
        Call::Patch { base, id, dry_run } => {
            let body = match read_body(req.into_body(), cx).await {
                Ok(body) => body,
                Err(err) => return err.reply(),
            };
            let change = match serde_json::from_slice(&body) {
                Ok(change) => change,
                Err(err) => return reply::error(StatusCode::BAD_REQUEST, "body", &err.to_string()),
            };
            let patch = Patch { id, base, change };
            run_blocking(cx, move |cx| submit(cx, &patch, dry_run)).await
        }
        Call::Instances => instances(cx).await,
        Call::Burn => burn(cx).await,
    }
}

fn submit(cx: &FrontContext, patch: &Patch, dry_run: bool) -> Answer {
    let submitted = if dry_run {
        operators::dry_run(&cx.store, patch)
    } else {
        operators::submit(&cx.store, patch)
    };
    match submitted {
        Ok(accepted) => accepted.into(),
        Err(err) => err.into(),
    }
}

/// Answers with the configuration number of each member of the view.
async fn instances(cx: &FrontContext) -> Reply {
    let Some(roster) = read_roster(cx).await else {
        return too_busy();
    };
    let mut numbers = vec![InstanceNumber {
        id: roster.me,
        number: Some(roster.configuration.number),
    }];
    for (id, body) in ask_peers(cx, roster.others, Question::Configuration).await {
        let configuration = body.and_then(|body| serde_json::from_slice(&body).ok());
        let number = configuration.map(|c: Configuration| c.number);
        numbers.push(InstanceNumber { id, number });
    }
    to_reply(operators::instances(numbers))
}

/// Answers with the service-level record of the whole deployment.
async fn burn(cx: &FrontContext) -> Reply {
    let Some(roster) = read_roster(cx).await else {
        return too_busy();
    };
    let local = ask_reducer(Question::Burn, cx).await;
    let mut answers = vec![(roster.me, local)];
    answers.extend(ask_peers(cx, roster.others, Question::Burn).await);
    to_reply(operators::burn(&roster.configuration, answers))
}

/// Asks all peers concurrently; the answer is none for a peer that did not answer in time.
async fn ask_peers(
    cx: &FrontContext,
    peers: Vec<InstanceId>,
    question: Question,
) -> Vec<(InstanceId, Option<Vec<u8>>)> {
    let asked: Vec<_> = peers
        .into_iter()
        .map(|id| {
            let answer = cx.links.ask(&id, question, PEER_TIMEOUT);
            (id, tokio::spawn(answer))
        })
        .collect();
    let mut answers = Vec::with_capacity(asked.len());
    for (id, answer) in asked {
        answers.push((id, answer.await.ok().flatten()));
    }
    answers
}

async fn reply_from_reducer(question: Question, cx: &FrontContext) -> Reply {
    match ask_reducer(question, cx).await {
        Some(body) => reply::json(StatusCode::OK, body),
        None => too_busy(),
    }
}

/// Asks this instance's reducer a question; returns none if no answer arrives in time.
async fn ask_reducer(question: Question, cx: &FrontContext) -> Option<Vec<u8>> {
    let (reply, rx) = oneshot::channel();
    let input = Input::Question { question, reply };
    cx.inbox.send_async(input).await.ok()?;
    timeout(REDUCER_TIMEOUT, rx).await.ok()?.ok()
}

async fn read_roster(cx: &FrontContext) -> Option<Roster> {
    let (reply, rx) = oneshot::channel();
    cx.inbox.send_async(Input::Roster { reply }).await.ok()?;
    timeout(REDUCER_TIMEOUT, rx).await.ok()?.ok()
}

/// Runs a handler that makes store calls on a thread for blocking calls.
async fn run_blocking(
    cx: &FrontContext,
    handler: impl FnOnce(&FrontContext) -> Answer + Send + 'static,
) -> Reply {
    let cx = cx.clone();
    match spawn_blocking(move || handler(&cx)).await {
        Ok(answer) => to_reply(answer),
        Err(_) => too_busy(),
    }
}

/// Converts the answer of an operators' handler to an HTTP response.
fn to_reply(answer: Answer) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = reply::json(status, answer.body);
    if let Some(allow) = answer.allow {
        let value = HeaderValue::from_static(allow);
        reply.headers_mut().insert(ALLOW, value);
    }
    reply
}

fn too_busy() -> Reply {
    reply::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "instance",
        "the instance is too busy to answer; try again",
    )
}
