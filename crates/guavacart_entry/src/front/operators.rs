//! Mounts the operators' calls: status, service-level record, configuration.

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
    core::Input,
    operators::{self, Answer, Call, InstanceNumber, Role},
    status::Roster,
};

/// Longest wait for the reducer to describe itself.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a peer to describe itself.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves one operators' call; `path` is what follows `/v1/`.
pub(super) async fn serve(req: Request<Incoming>, path: &[&str], cx: &FrontContext) -> Reply {
    let query = req.uri().query().unwrap_or("");
    let call = match Call::parse(req.method().as_str(), path, query) {
        Ok(call) => call,
        Err(err) => return mounted(err.into()),
    };
    let allowed = match call.role() {
        Role::Reader => access::is_reader(&cx.access, req.headers()),
        Role::Writer => access::is_writer(&cx.access, req.headers()),
    };
    if !allowed {
        cx.metrics.count("operators.refused");
        return reply::unauthorized("the bearer token is missing or is not an operator's");
    }
    match call {
        Call::Configuration => described(Question::Configuration, cx).await,
        Call::Status => described(Question::Status, cx).await,
        Call::Version(number) => {
            blocking(cx, move |cx| operators::version(&cx.store, number)).await
        }
        Call::Difference { from, to } => {
            blocking(cx, move |cx| operators::difference(&cx.store, from, to)).await
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
            blocking(cx, move |cx| submit(cx, &patch, dry_run)).await
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

/// The configuration number of each member of the view.
async fn instances(cx: &FrontContext) -> Reply {
    let Some(roster) = roster(cx).await else {
        return too_busy();
    };
    let mut numbers = vec![InstanceNumber {
        id: roster.me,
        number: Some(roster.configuration.number),
    }];
    for (id, body) in ask_all(cx, roster.others, Question::Configuration).await {
        let configuration = body.and_then(|body| serde_json::from_slice(&body).ok());
        let number = configuration.map(|c: Configuration| c.number);
        numbers.push(InstanceNumber { id, number });
    }
    mounted(operators::instances(numbers))
}

/// The service-level record of the whole deployment.
async fn burn(cx: &FrontContext) -> Reply {
    let Some(roster) = roster(cx).await else {
        return too_busy();
    };
    let own = ask(Question::Burn, cx).await;
    let mut answers = vec![(roster.me, own)];
    answers.extend(ask_all(cx, roster.others, Question::Burn).await);
    mounted(operators::burn(&roster.configuration, answers))
}

/// Asks all peers at once; none where one did not answer in time.
async fn ask_all(
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

async fn described(question: Question, cx: &FrontContext) -> Reply {
    match ask(question, cx).await {
        Some(body) => reply::json(StatusCode::OK, body),
        None => too_busy(),
    }
}

/// Asks this instance's reducer a question.
async fn ask(question: Question, cx: &FrontContext) -> Option<Vec<u8>> {
    let (reply, rx) = oneshot::channel();
    let input = Input::Ask { question, reply };
    cx.inbox.send_async(input).await.ok()?;
    timeout(DESCRIBE_TIMEOUT, rx).await.ok()?.ok()
}

async fn roster(cx: &FrontContext) -> Option<Roster> {
    let (reply, rx) = oneshot::channel();
    cx.inbox.send_async(Input::Roster { reply }).await.ok()?;
    timeout(DESCRIBE_TIMEOUT, rx).await.ok()?.ok()
}

/// Runs a handler that waits for the store.
async fn blocking(
    cx: &FrontContext,
    handler: impl FnOnce(&FrontContext) -> Answer + Send + 'static,
) -> Reply {
    let cx = cx.clone();
    match spawn_blocking(move || handler(&cx)).await {
        Ok(answer) => mounted(answer),
        Err(_) => too_busy(),
    }
}

fn mounted(answer: Answer) -> Reply {
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
