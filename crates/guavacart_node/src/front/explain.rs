//! Explains at the address of the metrics where the tasks of a job would start, without accepting it.

use std::rc::Rc;

use guavacart_jobs::Explanation;
use hyper::{Method, Request, StatusCode, body::Incoming};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::{DEFAULT_TIMEOUT, HttpResponse, json, submission};
use crate::{Platform, clock, links::Links, shared::Shared, watching};

/// Path of the requests.
const PATH: &str = "/explain";
/// Parameter of the query with the name of the queue.
const QUEUE: &str = "queue";

/// Body of a response without an explanation.
#[derive(Serialize)]
struct ErrorBody {
    error: SmolStr,
}

type Refusal = (StatusCode, SmolStr);

/// True if the request asks for an explanation.
pub(super) fn is_asked(req: &Request<Incoming>) -> bool {
    req.method() == Method::POST && req.uri().path() == PATH
}

/// Answers a request for an explanation.
pub(super) async fn respond<P: Platform>(
    shared: &Rc<Shared<P>>,
    links: &Links<P>,
    req: Request<Incoming>,
) -> HttpResponse {
    let (status, body) = match explain(shared, links, req).await {
        Ok(explanation) => (StatusCode::OK, serde_json::to_vec(&explanation)),
        Err((status, error)) => {
            tracing::info!(event = "not_explained", status = status.as_u16(), cause = %error);
            (status, serde_json::to_vec(&ErrorBody { error }))
        }
    };
    let mut response = json(body.unwrap_or_default());
    *response.status_mut() = status;
    response
}

async fn explain<P: Platform>(
    shared: &Rc<Shared<P>>,
    links: &Links<P>,
    req: Request<Incoming>,
) -> Result<Explanation, Refusal> {
    let name = queue_name(req.uri().query().unwrap_or_default()).ok_or_else(|| {
        let text = "the query names no queue; send it as POST /explain?queue=QUEUE";
        (StatusCode::BAD_REQUEST, text.into())
    })?;
    let configuration = shared.configuration.get().ok_or_else(|| {
        let text = "this node has not read a configuration yet; ask again in some seconds";
        (StatusCode::SERVICE_UNAVAILABLE, text.into())
    })?;
    let limits = configuration.limits;
    let deadline = clock::now() + DEFAULT_TIMEOUT;
    let body = submission::read_body(req, &limits, deadline)
        .await
        .map_err(|status| {
            let text = match status {
                StatusCode::PAYLOAD_TOO_LARGE => {
                    format_smolstr!("the body is larger than {}", limits.max_body)
                }
                _ => "the body was not received completely".into(),
            };
            (status, text)
        })?;
    let body = P::decode_job(&body).map_err(|err| bad_request(&err))?;
    let find_queue = || {
        let configuration = shared.configuration.get()?;
        let mut queues = configuration.queues.iter();
        queues.find(|queue| queue.name.0 == name).cloned()
    };
    let mut queue = find_queue();
    if queue.is_none() {
        // The queue may be in a configuration that this node has not read yet.
        let is_confirmed = watching::confirm_configuration(shared).await;
        queue = find_queue();
        if queue.is_none() && !is_confirmed {
            let text = "this node's configuration may be outdated, and has no such queue";
            return Err((StatusCode::SERVICE_UNAVAILABLE, text.into()));
        }
    }
    let queue = queue.ok_or_else(|| {
        let version = shared.configuration.get().map_or(0, |cfg| cfg.version);
        let text = format_smolstr!("version {version} of the configuration has no queue {name:?}");
        (StatusCode::NOT_FOUND, text)
    })?;
    let job = submission::job(&queue, body);
    job.validate().map_err(|err| bad_request(&err))?;
    let explained = links.explain(job).await;
    explained.map_err(|err| (StatusCode::SERVICE_UNAVAILABLE, err.to_smolstr()))
}

fn bad_request(err: &impl ToSmolStr) -> Refusal {
    (StatusCode::BAD_REQUEST, err.to_smolstr())
}

/// The name of the queue in a query.
fn queue_name(query: &str) -> Option<SmolStr> {
    let mut parameters = query.split('&').filter_map(|text| text.split_once('='));
    let (_, value) = parameters.find(|(name, _)| *name == QUEUE)?;
    let name = percent_decode_str(value).decode_utf8().ok()?;
    (!name.is_empty()).then(|| name.as_ref().into())
}
