//! The HTTP/1.1 front end for callers, submitters and operators.

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
    calls::CallIds, links::Links, metrics::Metrics, reducer_thread::Input,
    store_health::CountedStore,
};

/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// After the reducer has stopped, how long no request may be in flight before idle connections are
/// closed.
const MAX_IDLE_AT_STOP: Duration = Duration::from_secs(2);
/// Interval at which a stopping front end checks whether all connections have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by all request handlers.
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

/// Progress of a graceful stop: its flags and the counts of open connections and requests.
#[derive(Debug, Default)]
struct StopProgress {
    stopping: AtomicBool,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
    /// Tells connections to close when idle.
    close_idle: Notify,
}

/// A running front end.
#[derive(Debug)]
pub(crate) struct Front {
    progress: Arc<StopProgress>,
    stopped: watch::Receiver<bool>,
}

impl Front {
    /// Starts to serve `listener`.
    ///
    /// `stopped` becomes true when the reducer has completed a stop; see [`Self::wait_drained`].
    pub(crate) fn spawn(
        runtime: &tokio::runtime::Handle,
        listener: TcpListener,
        cx: FrontContext,
        stopped: watch::Receiver<bool>,
    ) -> Self {
        let progress = Arc::new(StopProgress::default());
        runtime.spawn(accept(listener, Arc::new(cx), progress.clone()));
        Self { progress, stopped }
    }

    /// Makes the health check report that this instance stops, so that the load balancer takes the
    /// instance out of rotation.
    ///
    /// Requests are still served; each answer asks its caller to close the connection.
    pub(crate) fn report_stopping(&self) {
        self.progress.stopping.store(true, Ordering::Release);
    }

    /// Waits until the reducer has stopped and every connection has ended or stayed idle for too
    /// long.
    pub(crate) async fn wait_drained(mut self) {
        if self.stopped.wait_for(|stopped| *stopped).await.is_err() {
            warn!(
                event = "reducer_lost",
                "the reducer thread ended before the stop was complete; open connections are dropped"
            );
            return;
        }
        let mut idle_since = Instant::now();
        loop {
            let open = self.progress.connections.load(Ordering::Acquire);
            let busy = self.progress.in_flight.load(Ordering::Acquire);
            if open == 0 {
                return;
            }
            if busy > 0 {
                idle_since = Instant::now();
            }
            if idle_since.elapsed() > MAX_IDLE_AT_STOP {
                self.progress.close_idle.notify_waiters();
            }
            if idle_since.elapsed() > MAX_IDLE_AT_STOP * 2 {
                return;
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

/// Accepts connections for as long as the process runs.
///
/// At most as many connections as the settings allow are open at once; others wait in the backlog.
async fn accept(listener: TcpListener, cx: Arc<FrontContext>, progress: Arc<StopProgress>) {
    let permits = Arc::new(Semaphore::new(cx.limits.connections as usize));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                cx.metrics.count("callers.unaccepted");
                warn!(event = "caller_unaccepted", error = %err, "could not accept a caller's connection; retrying; check the process's limit of open files");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let cx = cx.clone();
        let progress = progress.clone();
        tokio::spawn(async move {
            progress.connections.fetch_add(1, Ordering::AcqRel);
            serve_connection(stream, cx, &progress).await;
            progress.connections.fetch_sub(1, Ordering::AcqRel);
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, cx: Arc<FrontContext>, progress: &Arc<StopProgress>) {
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

/// Answers one request, which counts as in flight until its answer is passed to the connection.
async fn answer(
    req: Request<Incoming>,
    cx: &FrontContext,
    progress: &Arc<StopProgress>,
) -> Result<reply::Reply, std::convert::Infallible> {
    let in_flight = InFlightGuard::new(progress);
    let stopping = progress.stopping.load(Ordering::Acquire);
    let mut reply = route::route(req, cx, stopping).await;
    if progress.stopping.load(Ordering::Acquire) {
        reply::set_connection_close(&mut reply);
    }
    drop(in_flight);
    Ok(reply)
}

/// Counts a request as in flight until dropped, also if the caller disconnects and hyper drops the
/// handler.
struct InFlightGuard<'a>(&'a StopProgress);

impl<'a> InFlightGuard<'a> {
    fn new(progress: &'a StopProgress) -> Self {
        progress.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(progress)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
