//! Maps paths to handlers.

use hyper::{Method, Request, StatusCode, body::Incoming};

use super::{
    FrontContext, jobs, operators,
    reply::{self, Reply},
    request,
};

/// Passes one request to the handler of its path; `stopping` is reported by the health check.
pub(super) async fn route(req: Request<Incoming>, cx: &FrontContext, stopping: bool) -> Reply {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, parts.as_slice()) {
        (Method::GET, ["v1", "health"]) => health(stopping),
        (Method::POST, ["v1", "services", service]) => request::serve(req, service, cx).await,
        (_, ["v1", "services", _]) => reply::method_not_allowed("POST"),
        (_, ["v1", "jobs", rest @ ..]) => jobs::serve(req, rest, cx).await,
        (_, ["v1", ..]) => operators::serve(req, &parts[1..], cx).await,
        _ => reply::no_such_path(),
    }
}

fn health(stopping: bool) -> Reply {
    if stopping {
        reply::json(
            StatusCode::SERVICE_UNAVAILABLE,
            br#"{"state":"stopping"}"#.to_vec(),
        )
    } else {
        reply::json(StatusCode::OK, br#"{"state":"serving"}"#.to_vec())
    }
}
