//! The HTTP interface for submitters, and the answer to the platform's balancer.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use guavacart_jobs::{Configuration, HttpLimits, Job, JobKey, Queue};
use guavacart_types::{Span, Timestamp};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use crate::{
    Platform, clock,
    links::Links,
    shared::Shared,
    submit::{Outcome, Submitter},
};

/// What a caller waits if it does not say.
const DEFAULT_WAIT: Span = Span::secs(3);
/// Longest wait that is believed.
const LONGEST_WAIT: Span = Span::secs(60);
/// When a refused caller is to come back, in seconds; about one take-over.
const RETRY_AFTER_SECONDS: &str = "1";
/// Pause of the accept loop after an error, such as no free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the store has not served a node that is cut off.
const CUT_OFF_AFTER: Span = Span::millis(500);
/// Least buffer for a head that the HTTP library takes.
const LEAST_HEAD: usize = 8_192;

type Answer = Response<Full<Bytes>>;

/// Serves submitters at the address of the settings until the node ends.
pub(crate) async fn serve<P: Platform>(submitter: Rc<Submitter<P>>) -> io::Result<()> {
    let listener = TcpListener::bind(submitter.shared.settings.callers).await?;
    task::spawn_local(accept(listener, move |stream| {
        let submitter = Rc::clone(&submitter);
        task::spawn_local(async move {
            let shared = Rc::clone(&submitter.shared);
            shared.connections.set(shared.connections.get() + 1);
            connection(submitter, stream).await;
            shared.connections.set(shared.connections.get() - 1);
        });
    }));
    Ok(())
}

/// Serves the balancer's question whether the node takes requests.
pub(crate) async fn serve_readiness<P: Platform>(
    shared: Rc<Shared<P>>,
    links: Rc<Links<P>>,
) -> io::Result<()> {
    let listener = TcpListener::bind(shared.settings.readiness).await?;
    serve_plain(listener, move |path| {
        if path != P::READINESS_PATH {
            return answer(StatusCode::NOT_FOUND, Bytes::new());
        }
        // A node that reaches neither store nor owner refuses all; others may serve.
        let is_cut_off = shared.health.failing() >= CUT_OFF_AFTER && links.is_alone();
        let is_begun = !shared.is_stopping.get() && shared.configuration().is_some();
        let is_ready = is_begun && !is_cut_off;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        answer(status, Bytes::new())
    });
    Ok(())
}

/// Serves the metrics as text.
pub(crate) async fn serve_metrics<P: Platform>(
    shared: Rc<Shared<P>>,
    at: SocketAddr,
) -> io::Result<()> {
    let listener = TcpListener::bind(at).await?;
    serve_plain(listener, move |_| {
        let mut text = shared.counters.text();
        if let Some(owner) = shared.owner() {
            text.push_str(&format!("guavacart_owner_epoch {}\n", owner.epoch));
            let summary = owner.summary();
            text.push_str(&format!("guavacart_open_jobs {}\n", summary.open_jobs));
            text.push_str(&format!("guavacart_runs {}\n", summary.runs));
            text.push_str(&format!("guavacart_ready_steps {}\n", summary.ready_steps));
            let usable = summary.usable_executors;
            text.push_str(&format!("guavacart_usable_executors {usable}\n"));
        }
        answer(StatusCode::OK, text.into())
    });
    Ok(())
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

fn serve_plain(listener: TcpListener, respond: impl Fn(&str) -> Answer + 'static) {
    let respond = Rc::new(respond);
    task::spawn_local(accept(listener, move |stream| {
        let respond = Rc::clone(&respond);
        task::spawn_local(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let answer = respond(req.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            builder.header_read_timeout(Duration::from(DEFAULT_WAIT) * 5);
            let served = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(err) = served {
                tracing::debug!(event = "plain_connection_ended", cause = %err);
            }
        });
    }));
}

async fn connection<P: Platform>(submitter: Rc<Submitter<P>>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(event = "no_nodelay", cause = %err);
    }
    let shared = Rc::clone(&submitter.shared);
    let limits = shared.configuration().map(|cfg| cfg.limits);
    let service = service_fn(move |req| {
        let submitter = Rc::clone(&submitter);
        async move {
            let began = time::Instant::now();
            let answer = handle(&submitter, req).await;
            submitter
                .shared
                .counters
                .request_latency
                .record(began.elapsed());
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limits) = limits {
        builder.header_read_timeout(Duration::from(limits.idle_timeout));
        let head = usize::try_from(limits.head.0).unwrap_or(LEAST_HEAD);
        builder.max_buf_size(head.max(LEAST_HEAD));
    }
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = closing(&shared) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(err) = result {
        tracing::debug!(event = "connection_ended", cause = %err);
    }
}

/// Waits until open connections are to be closed.
async fn closing<P: Platform>(shared: &Shared<P>) {
    while !shared.is_closing.get() {
        shared.closing.notified().await;
    }
}

fn answer(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}

fn json(body: Vec<u8>) -> Answer {
    let mut answer = answer(StatusCode::OK, body.into());
    let value = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// Nothing was stored; the caller may come back.
fn come_back() -> Answer {
    let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let value = header::HeaderValue::from_static(RETRY_AFTER_SECONDS);
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

async fn handle<P: Platform>(submitter: &Rc<Submitter<P>>, req: Request<Incoming>) -> Answer {
    let shared = &submitter.shared;
    let Some(configuration) = shared.configuration() else {
        shared.counters.refused.add(1);
        return come_back();
    };
    let host = host_of(&req).to_owned();
    let path = req.uri().path().to_owned();
    let Some((queue, rest)) = configuration.find(&host, &path) else {
        shared.counters.rejected.add(1);
        tracing::info!(
            event = "no_queue", %host, path, version = configuration.version, status = 404
        );
        return answer(StatusCode::NOT_FOUND, Bytes::new());
    };
    if rest.is_empty() && req.method() == Method::GET {
        return waiting(submitter, queue).await;
    }
    let Ok(key) = rest.parse::<JobKey>() else {
        shared.counters.rejected.add(1);
        tracing::info!(event = "bad_job_id", path, status = 400);
        return answer(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let until = clock::now() + wait_of::<P>(&req);
    let answered = match *req.method() {
        Method::POST => post(submitter, &configuration, queue, key, until, req).await,
        Method::GET => state(submitter, key, until).await,
        Method::DELETE => delete(submitter, key, until).await,
        _ => answer(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()),
    };
    count(shared, answered.status());
    answered
}

fn count<P>(shared: &Shared<P>, status: StatusCode) {
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

fn wait_of<P: Platform>(req: &Request<Incoming>) -> Span {
    let told = req.headers().get(P::WAIT_HEADER);
    let told = told.and_then(|told| told.to_str().ok()?.parse().ok());
    told.map_or(DEFAULT_WAIT, |ms| Span(ms).min(LONGEST_WAIT))
}

async fn waiting<P: Platform>(submitter: &Submitter<P>, queue: &Queue) -> Answer {
    match submitter.waiting(queue.name.clone()).await {
        Some(waiting) => json(P::encode_waiting(waiting)),
        None => {
            tracing::info!(event = "no_count", queue = %queue.name, status = 503, "no owner answers");
            submitter.shared.counters.refused.add(1);
            come_back()
        }
    }
}

async fn post<P: Platform>(
    submitter: &Rc<Submitter<P>>,
    configuration: &Configuration,
    queue: &Queue,
    key: JobKey,
    until: Timestamp,
    req: Request<Incoming>,
) -> Answer {
    let body = match read_body(req, &configuration.limits, until).await {
        Ok(body) => body,
        Err(status) => {
            tracing::info!(event = "body_not_read", job = %key, status = status.as_u16());
            return answer(status, Bytes::new());
        }
    };
    let job = match P::decode_job(&body) {
        Ok(body) => Job {
            queue: queue.name.clone(),
            rules: queue.rules.clone(),
            accepted_unix_ms: clock::unix_ms(),
            payload: body.payload,
            steps: body.steps,
            schedule: body.schedule,
        },
        Err(err) => {
            tracing::info!(event = "bad_body", job = %key, status = 400, cause = %err);
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    if let Err(err) = job.check() {
        tracing::info!(event = "bad_job", job = %key, status = 400, cause = %err);
        return answer(StatusCode::BAD_REQUEST, Bytes::new());
    }
    let outcome = submitter.submit(key, job, until).await;
    tracing::info!(
        event = "submitted", job = %key, queue = %queue.name, version = configuration.version,
        store_failing_ms = submitter.shared.health.failing().0, ?outcome,
    );
    match outcome {
        Outcome::Stored => json(b"{}".to_vec()),
        Outcome::NoSuchJob => answer(StatusCode::GONE, Bytes::new()),
        Outcome::NotStored => come_back(),
        Outcome::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
    }
}

async fn read_body(
    req: Request<Incoming>,
    limits: &HttpLimits,
    until: Timestamp,
) -> Result<Bytes, StatusCode> {
    let most = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    let body = Limited::new(req.into_body(), most).collect();
    let left = until.since(clock::now());
    match time::timeout(left.into(), body).await {
        Err(_elapsed) => Err(StatusCode::REQUEST_TIMEOUT),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
    }
}

async fn state<P: Platform>(submitter: &Submitter<P>, key: JobKey, until: Timestamp) -> Answer {
    match submitter.state(key, until).await {
        Ok(Some(state)) => json(P::encode_state(state)),
        Ok(None) => {
            tracing::info!(event = "no_such_job", job = %key, status = 410);
            answer(StatusCode::GONE, Bytes::new())
        }
        Err(err) => {
            tracing::info!(event = "state_unknown", job = %key, status = 503, cause = %err);
            come_back()
        }
    }
}

async fn delete<P: Platform>(
    submitter: &Rc<Submitter<P>>,
    key: JobKey,
    until: Timestamp,
) -> Answer {
    let outcome = submitter.cancel(key, until).await;
    let store_failing_ms = submitter.shared.health.failing().0;
    tracing::info!(event = "cancel", job = %key, store_failing_ms, ?outcome);
    match outcome {
        Outcome::Stored => json(b"{}".to_vec()),
        Outcome::NoSuchJob => answer(StatusCode::GONE, Bytes::new()),
        Outcome::NotStored => come_back(),
        Outcome::Unknown => answer(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
    }
}
