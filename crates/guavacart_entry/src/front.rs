//! The callers' and operators' listener: HTTP/1.1 by `hyper`, one stream at a time.

mod access;
mod jobs;
mod operators;
mod reply;
mod request;
mod route;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use flume::Sender;
use guavacart_config::{Access, Limits};
use guavacart_platform::HttpStore;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore, watch},
    time::{Instant, sleep},
};
use tracing::{debug, warn};

use crate::{
    calls::CallIds, core::Input, links::Links, metrics::Metrics, store_health::CountedStore,
};

/// Rest after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// After a stop, how long a connection may stay without a request before it is closed.
const IDLE_AT_STOP: Duration = Duration::from_secs(2);
/// How often a stopping front looks whether all connections have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(50);

/// What serving a request needs.
#[derive(Clone, Debug)]
pub(crate) struct FrontContext {
    pub(crate) limits: Limits,
    pub(crate) access: Access,
    pub(crate) inbox: Sender<Input>,
    pub(crate) call_ids: CallIds,
    pub(crate) links: Links,
    pub(crate) store: CountedStore<HttpStore>,
    pub(crate) metrics: Metrics,
}

/// How far a stop has come, and what is still open.
#[derive(Debug, Default)]
struct Progress {
    stopping: AtomicBool,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
    close_idle: Notify,
}

/// A running front.
#[derive(Debug)]
pub(crate) struct Front {
    progress: Arc<Progress>,
    stopped: watch::Receiver<bool>,
}

impl Front {
    /// Serves `listener` until the reducer has stopped.
    pub(crate) fn spawn(
        runtime: &tokio::runtime::Handle,
        listener: TcpListener,
        cx: FrontContext,
        stopped: watch::Receiver<bool>,
    ) -> Self {
        let progress = Arc::new(Progress::default());
        runtime.spawn(accept(listener, Arc::new(cx), progress.clone()));
        Self { progress, stopped }
    }

    /// Tells the balancer that this instance stops; requests are still taken.
    pub(crate) fn stop_taking(&self) {
        self.progress.stopping.store(true, Ordering::Release);
    }

    /// Waits until the reducer has stopped and every connection has ended or fallen silent.
    pub(crate) async fn drained(mut self) {
        if self.stopped.wait_for(|stopped| *stopped).await.is_err() {
            warn!(
                event = "reducer_lost",
                "the reducer ended before the stop was done"
            );
            return;
        }
        let mut quiet_since = Instant::now();
        loop {
            let open = self.progress.connections.load(Ordering::Acquire);
            let busy = self.progress.in_flight.load(Ordering::Acquire);
            if open == 0 {
                return;
            }
            if busy > 0 {
                quiet_since = Instant::now();
            }
            if quiet_since.elapsed() > IDLE_AT_STOP {
                self.progress.close_idle.notify_waiters();
            }
            if quiet_since.elapsed() > IDLE_AT_STOP * 2 {
                return;
            }
            sleep(DRAIN_CHECK).await;
        }
    }
}

/// Accepts connections for as long as the process runs, at most the settings' number at once.
async fn accept(listener: TcpListener, cx: Arc<FrontContext>, progress: Arc<Progress>) {
    let permits = Arc::new(Semaphore::new(cx.limits.connections as usize));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                cx.metrics.count("callers.unaccepted");
                warn!(event = "caller_unaccepted", error = %err, "a caller's connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let cx = cx.clone();
        let progress = progress.clone();
        tokio::spawn(async move {
            progress.connections.fetch_add(1, Ordering::AcqRel);
            serve(stream, cx, &progress).await;
            progress.connections.fetch_sub(1, Ordering::AcqRel);
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, cx: Arc<FrontContext>, progress: &Arc<Progress>) {
    if let Err(err) = stream.set_nodelay(true) {
        debug!(event = "caller_lost", error = %err);
        return;
    }
    let limits = cx.limits;
    let service = service_fn(|req: Request<Incoming>| {
        let cx = cx.clone();
        let progress = progress.clone();
        async move { answer(req, &cx, &progress).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.head_time))
        .max_buf_size(limits.head.0 as usize)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let close_idle = progress.close_idle.notified();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = close_idle => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        cx.metrics.count("callers.broken");
        debug!(event = "caller_broken", error = %err);
    }
}

/// Answers one request; counts it as in flight until its answer is handed to the connection.
async fn answer(
    req: Request<Incoming>,
    cx: &FrontContext,
    progress: &Arc<Progress>,
) -> Result<reply::Reply, std::convert::Infallible> {
    let in_flight = InFlight::new(progress);
    let stopping = progress.stopping.load(Ordering::Acquire);
    let mut reply = route::route(req, cx, stopping).await;
    if progress.stopping.load(Ordering::Acquire) {
        reply::close_after(&mut reply);
    }
    drop(in_flight);
    Ok(reply)
}

/// Counts a request for as long as it lives, also when its caller goes.
struct InFlight<'a>(&'a Progress);

impl<'a> InFlight<'a> {
    fn new(progress: &'a Progress) -> Self {
        progress.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(progress)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
