//! Operators' calls: status, service-level record, configuration.

use std::time::Duration;

use guavacart_wire::Question;
use hyper::{Method, Request, StatusCode, body::Incoming};
use tokio::{sync::oneshot, time::timeout};

use super::{
    FrontContext, access,
    reply::{self, Reply},
};
use crate::core::Input;

/// Longest wait for the reducer to describe itself.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one operators' call; `path` is what follows `/v1/`.
pub(super) async fn serve(req: Request<Incoming>, path: &[&str], cx: &FrontContext) -> Reply {
    if !access::is_reader(&cx.access, req.headers()) {
        return reply::error(
            StatusCode::UNAUTHORIZED,
            "authorization",
            "the bearer token is missing or is not an operator's",
        );
    }
    match (req.method(), path) {
        (&Method::GET, ["status"]) => described(Question::Status, cx).await,
        (&Method::GET, ["config"]) => described(Question::Configuration, cx).await,
        (&Method::GET, ["burn"]) => described(Question::Burn, cx).await,
        (_, ["status" | "config" | "burn"]) => reply::method_not_allowed("GET"),
        _ => reply::error(
            StatusCode::NOT_FOUND,
            "path",
            "no such path; docs/API.md lists them",
        ),
    }
}

async fn described(question: Question, cx: &FrontContext) -> Reply {
    match ask(question, cx).await {
        Some(body) => reply::json(StatusCode::OK, body),
        None => reply::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "instance",
            "the instance is too busy to describe itself; try again",
        ),
    }
}

/// Asks this instance's reducer a question.
async fn ask(question: Question, cx: &FrontContext) -> Option<Vec<u8>> {
    let (reply, rx) = oneshot::channel();
    let input = Input::Ask { question, reply };
    cx.inbox.send_async(input).await.ok()?;
    timeout(DESCRIBE_TIMEOUT, rx).await.ok()?.ok()
}
