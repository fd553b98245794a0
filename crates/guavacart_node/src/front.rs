//! The HTTP interface for submitters, and the endpoints for the platform's load balancer and for
//! metrics.

mod explain;
mod retry_after;
mod submission;

use std::{convert::Infallible, future, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use guavacart_jobs::{Configuration, JobKey, Queue};
use guavacart_types::{Span, Timestamp};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use smol_str::SmolStr;
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use crate::{
    Platform, clock,
    links::Links,
    shared::Shared,
    submit::{Outcome, Submitter},
    watching,
};

/// Time allowed for a request whose caller gives no timeout.
const DEFAULT_TIMEOUT: Span = Span::secs(3);
/// Longest timeout that a caller can set.
const MAX_TIMEOUT: Span = Span::secs(60);
/// Pause of the accept loop after an error, for example when no file descriptors are free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long the store must have failed before a node without an owner reports that it is not ready.
const CUT_OFF_AFTER: Span = Span::millis(500);
/// Smallest buffer for a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

type HttpResponse = Response<Full<Bytes>>;

/// Where a request is addressed to.
#[derive(Debug)]
struct Target {
    host: SmolStr,
    path: SmolStr,
}

impl Target {
    /// Returns the queue, and the rest of the path.
    fn find_queue<'a>(&'a self, configuration: &'a Configuration) -> Option<(&'a Queue, &'a str)> {
        configuration.find_queue(&self.host, &self.path)
    }
}

/// Serves submitters at the settings' address until the node stops.
pub(crate) async fn serve<P: Platform>(submitter: Rc<Submitter<P>>) -> io::Result<()> {
    let listener = TcpListener::bind(submitter.shared.settings.submitters).await?;
    task::spawn_local(accept(listener, move |stream| {
        let submitter = Rc::clone(&submitter);
        task::spawn_local(async move {
            let shared = Rc::clone(&submitter.shared);
            shared.connections.set(shared.connections.get() + 1);
            serve_connection(submitter, stream).await;
            shared.connections.set(shared.connections.get() - 1);
        });
    }));
    Ok(())
}

/// Answers the load balancer whether the node takes requests.
pub(crate) async fn serve_readiness<P: Platform>(
    shared: Rc<Shared<P>>,
    links: Rc<Links<P>>,
) -> io::Result<()> {
    let listener = TcpListener::bind(shared.settings.readiness).await?;
    serve_paths(listener, move |path| {
        if path != P::READINESS_PATH {
            return response(StatusCode::NOT_FOUND, Bytes::new());
        }
        // A node that reaches neither the store nor the owner would refuse every request; other
        // nodes may still serve them.
        let is_cut_off = shared.health.failing_for() >= CUT_OFF_AFTER && links.has_lost_owner();
        let has_started = !shared.is_stopping.get() && shared.configuration.get().is_some();
        let is_ready = has_started && !is_cut_off;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        response(status, Bytes::new())
    });
    Ok(())
}

/// Serves the metrics as text, and explanations of jobs.
pub(crate) async fn serve_metrics<P: Platform>(
    shared: Rc<Shared<P>>,
    links: Rc<Links<P>>,
    address: SocketAddr,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    serve_requests(listener, move |req| {
        let (shared, links) = (Rc::clone(&shared), Rc::clone(&links));
        async move {
            if explain::is_asked(&req) {
                explain::respond(&shared, &links, req).await
            } else {
                metrics(&shared)
            }
        }
    });
    Ok(())
}

fn metrics<P: Platform>(shared: &Shared<P>) -> HttpResponse {
    let mut text = shared.counters.text();
    if let Some(configuration) = shared.configuration.get() {
        let version = configuration.version;
        text.push_str(&format!("guavacart_configuration_version {version}\n"));
        let age = shared.configuration.age().0;
        text.push_str(&format!("guavacart_configuration_age_ms {age}\n"));
    }
    if let Some(owner) = shared.owner() {
        text.push_str(&format!("guavacart_owner_epoch {}\n", owner.epoch));
        let summary = owner.summary();
        text.push_str(&format!("guavacart_open_jobs {}\n", summary.open_jobs));
        text.push_str(&format!("guavacart_runs {}\n", summary.runs));
        let (data_centres, evacuated) = (summary.evacuated_data_centres, summary.evacuated_runs);
        text.push_str(&format!(
            "guavacart_evacuated_data_centres {data_centres}\n"
        ));
        text.push_str(&format!("guavacart_evacuated_runs {evacuated}\n"));
        let slow = summary.slow_executors;
        text.push_str(&format!("guavacart_slow_executors {slow}\n"));
        text.push_str(&format!("guavacart_ready_steps {}\n", summary.ready_steps));
        text.push_str(&format!(
            "guavacart_placement_checks {}\n",
            summary.placement_checks
        ));
        text.push_str(&format!("guavacart_loop_lag_ms {}\n", summary.lag.0));
        text.push_str(&format!(
            "guavacart_start_answer_ms {}\n",
            summary.start_answer_time.0
        ));
        let usable = summary.usable_executors;
        text.push_str(&format!("guavacart_usable_executors {usable}\n"));
    }
    response(StatusCode::OK, text.into())
}

async fn accept(listener: TcpListener, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(err) => {
                tracing::warn!(event = "accept_failed", cause = %err);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn serve_paths(listener: TcpListener, respond: impl Fn(&str) -> HttpResponse + 'static) {
    serve_requests(listener, move |req| {
        future::ready(respond(req.uri().path()))
    });
}

fn serve_requests<F>(listener: TcpListener, respond: impl Fn(Request<Incoming>) -> F + 'static)
where
    F: Future<Output = HttpResponse> + 'static,
{
    let respond = Rc::new(respond);
    task::spawn_local(accept(listener, move |stream| {
        let respond = Rc::clone(&respond);
        task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let response = respond(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            builder.header_read_timeout(Duration::from(DEFAULT_TIMEOUT) * 5);
            let served = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(err) = served {
                tracing::debug!(event = "plain_connection_ended", cause = %err);
            }
        });
    }));
}

async fn serve_connection<P: Platform>(submitter: Rc<Submitter<P>>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(event = "no_nodelay", cause = %err);
    }
    let shared = Rc::clone(&submitter.shared);
    let limits = shared.configuration.get().map(|cfg| cfg.limits);
    let service = service_fn(move |req| {
        let submitter = Rc::clone(&submitter);
        async move {
            let started = time::Instant::now();
            let response = handle(&submitter, req).await;
            submitter
                .shared
                .counters
                .request_latency
                .record(started.elapsed());
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limits) = limits {
        builder.header_read_timeout(Duration::from(limits.idle_timeout));
        let head_bytes = usize::try_from(limits.max_head.0).unwrap_or(MIN_HEAD_BUFFER_BYTES);
        builder.max_buf_size(head_bytes.max(MIN_HEAD_BUFFER_BYTES));
    }
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = wait_until_closing(&shared) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(err) = result {
        tracing::debug!(event = "connection_ended", cause = %err);
    }
}

/// Waits until the node begins to close its open connections.
async fn wait_until_closing<P: Platform>(shared: &Shared<P>) {
    while !shared.is_closing_connections.get() {
        shared.close_connections.notified().await;
    }
}

fn response(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn json(body: Vec<u8>) -> HttpResponse {
    let mut response = response(StatusCode::OK, body.into());
    let value = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// 503 with `Retry-After`: nothing was stored, and the caller may try again. While the store does not
/// serve this node, the callers are asked to come back at different times.
fn retry_later<P>(shared: &Shared<P>) -> HttpResponse {
    if shared.health.is_serving() {
        return retry_after(retry_after::SHORTEST);
    }
    let wait = retry_after::choose(shared.health.failing_for(), &mut rand::rng());
    shared.counters.refused_in_outages.add(1);
    shared.counters.retry_after_ms.add(wait.0);
    retry_after(wait)
}

/// 503: nothing was stored, and the caller may try again after that time, given in whole seconds.
fn retry_after(wait: Span) -> HttpResponse {
    let mut response = response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let value = header::HeaderValue::from(wait.0.div_ceil(1_000));
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

async fn handle<P: Platform>(submitter: &Rc<Submitter<P>>, req: Request<Incoming>) -> HttpResponse {
    let response = respond(submitter, req).await;
    count_failures(&submitter.shared, response.status());
    response
}

async fn respond<P: Platform>(
    submitter: &Rc<Submitter<P>>,
    req: Request<Incoming>,
) -> HttpResponse {
    let shared = &submitter.shared;
    let deadline = clock::now() + timeout_of::<P>(&req);
    let target = Target {
        host: host_of(&req).into(),
        path: req.uri().path().into(),
    };
    let Some(known) = shared.configuration.get() else {
        return retry_later(shared);
    };
    // A job is stored on the condition that the configuration has not changed. Other requests, and
    // the answer that there is no queue, need a configuration that was confirmed recently.
    let is_conditional = *req.method() == Method::POST && target.find_queue(&known).is_some();
    let is_confirmed = is_conditional || watching::confirm_configuration(shared).await;
    let configuration = shared.configuration.get().unwrap_or(known);
    let Some((queue, rest)) = target.find_queue(&configuration) else {
        return no_queue(shared, &target, configuration.version, is_confirmed);
    };
    if rest.is_empty() && req.method() == Method::GET {
        return queued_jobs(submitter, queue).await;
    }
    let Ok(key) = rest.parse::<JobKey>() else {
        return bad_job_id(&target);
    };
    match *req.method() {
        Method::POST => {
            let limits = configuration.limits;
            submission::submit(submitter, &target, key, limits, deadline, req).await
        }
        Method::GET => state(submitter, key, deadline).await,
        Method::DELETE => delete(submitter, key, deadline).await,
        _ => response(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()),
    }
}

/// Answers a request for a queue that the configuration does not have.
fn no_queue<P: Platform>(
    shared: &Shared<P>,
    target: &Target,
    version: u64,
    is_confirmed: bool,
) -> HttpResponse {
    let response = if is_confirmed {
        response(StatusCode::NOT_FOUND, Bytes::new())
    } else {
        retry_later(shared)
    };
    tracing::info!(
        event = "no_queue", host = %target.host, path = %target.path, version,
        revision = %shared.configuration.revision(), age_ms = shared.configuration.age().0,
        status = response.status().as_u16(),
    );
    response
}

fn bad_job_id(target: &Target) -> HttpResponse {
    tracing::info!(event = "bad_job_id", path = %target.path, status = 400);
    response(StatusCode::BAD_REQUEST, Bytes::new())
}

fn count_failures<P>(shared: &Shared<P>, status: StatusCode) {
    let counters = &shared.counters;
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => counters.refused.add(1),
        StatusCode::GATEWAY_TIMEOUT => counters.unknown.add(1),
        status if status.is_client_error() => counters.rejected.add(1),
        _ => {}
    }
}

fn host_of(req: &Request<Incoming>) -> &str {
    let host = req.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    host.split_once(':').map_or(host, |(host, _)| host)
}

fn timeout_of<P: Platform>(req: &Request<Incoming>) -> Span {
    let timeout = req.headers().get(P::TIMEOUT_HEADER);
    let timeout = timeout.and_then(|timeout| timeout.to_str().ok()?.parse().ok());
    timeout.map_or(DEFAULT_TIMEOUT, |ms| Span(ms).min(MAX_TIMEOUT))
}

async fn queued_jobs<P: Platform>(submitter: &Submitter<P>, queue: &Queue) -> HttpResponse {
    match submitter.queued_jobs(queue.name.clone()).await {
        Some(waiting) => json(P::encode_waiting(waiting)),
        None => {
            tracing::info!(
                event = "no_count", queue = %queue.name, status = 503, "no reply from an owner"
            );
            // Whether the store serves this node does not matter for the count.
            retry_after(retry_after::SHORTEST)
        }
    }
}

async fn state<P: Platform>(
    submitter: &Submitter<P>,
    key: JobKey,
    deadline: Timestamp,
) -> HttpResponse {
    match submitter.state(key, deadline).await {
        Ok(Some(state)) => json(P::encode_state(state)),
        Ok(None) => {
            tracing::info!(event = "no_such_job", job = %key, status = 410);
            response(StatusCode::GONE, Bytes::new())
        }
        Err(err) => {
            tracing::info!(event = "state_unknown", job = %key, status = 503, cause = %err);
            retry_later(&submitter.shared)
        }
    }
}

async fn delete<P: Platform>(
    submitter: &Rc<Submitter<P>>,
    key: JobKey,
    deadline: Timestamp,
) -> HttpResponse {
    let outcome = submitter.cancel(key, deadline).await;
    let store_failing_ms = submitter.shared.health.failing_for().0;
    tracing::info!(event = "cancel", job = %key, store_failing_ms, ?outcome);
    match outcome {
        Outcome::Stored => json(b"{}".to_vec()),
        // Only submissions end as `Cancelled`.
        Outcome::NoSuchJob | Outcome::Cancelled => response(StatusCode::GONE, Bytes::new()),
        Outcome::NotStored => retry_later(&submitter.shared),
        Outcome::Unknown => response(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
    }
}
