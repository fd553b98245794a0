//! Starts a node, and stops it gracefully.

use std::{io, rc::Rc};

use guavacart_types::Span;
use nix::sys::signal::{SigSet, Signal};
use thiserror::Error;
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
    task::{self, LocalSet},
    time,
};

use crate::{
    NodeSettings, Platform, election, front, links::Links, shared::Shared, submit::Submitter,
    suspension, watching,
};

/// Time from the first answer that the node is not ready until its connections are closed; the load
/// balancer asks once a second and acts on the second such answer.
const NOT_READY_PERIOD: Span = Span::millis(3_000);
/// Part of the grace period that is left for the exit of the process.
const EXIT_MARGIN: Span = Span::millis(700);
/// How often open connections are counted while the node stops.
const CLOSE_CHECK_INTERVAL: Span = Span::millis(50);

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The asynchronous runtime or a signal handler could not be created.
    #[error("the runtime cannot start: {0}; check the limits of the process")]
    Runtime(#[from] io::Error),
    /// An address could not be bound.
    #[error("{what} at {address} cannot be bound: {cause}; check the settings' addresses")]
    Bind {
        /// Purpose of the address, for the message.
        what: &'static str,
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// The operating system's error.
        cause: io::Error,
    },
}

/// Holds SIGHUP back until the node that this thread runs handles it; without a handler it would end
/// the process.
///
/// # Errors
/// Returns the error of the operating system.
pub fn hold_back_hangups() -> io::Result<()> {
    hangups().thread_block().map_err(io::Error::from)
}

fn hangups() -> SigSet {
    SigSet::from(Signal::SIGHUP)
}

/// Runs a node on this thread until it receives SIGTERM.
///
/// # Errors
/// Returns the reason if the node cannot start.
pub fn run<P: Platform>(platform: P, settings: NodeSettings) -> Result<(), NodeError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(platform, settings))
}

async fn serve<P: Platform>(platform: P, settings: NodeSettings) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    hangups().thread_unblock().map_err(io::Error::from)?;
    let shared = Rc::new(Shared::new(platform, settings));
    let settings = &shared.settings;
    tracing::info!(
        event = "start", node = %settings.name, data_centre = %settings.data_centre,
        callers = %settings.submitters, links = %settings.links,
    );
    let bind_error = |what, address| {
        move |cause| NodeError::Bind {
            what,
            address,
            cause,
        }
    };
    let links = Links::bind(Rc::clone(&shared))
        .await
        .map_err(bind_error("the links between nodes", settings.links))?;
    front::serve_readiness(Rc::clone(&shared), Rc::clone(&links))
        .await
        .map_err(bind_error("the readiness endpoint", settings.readiness))?;
    if let Some(at) = settings.metrics {
        // The node serves jobs even if its metrics cannot be served.
        if let Err(err) = front::serve_metrics(Rc::clone(&shared), Rc::clone(&links), at).await {
            tracing::warn!(event = "no_metrics", %at, cause = %err, "check that the port is free");
        }
    }
    task::spawn_local(watching::follow_operator(Rc::clone(&shared)));
    task::spawn_local(watching::probe_store(Rc::clone(&shared)));
    task::spawn_local(suspension::watch(Rc::clone(&shared)));
    let submitter = Rc::new(Submitter {
        shared: Rc::clone(&shared),
        links: Rc::clone(&links),
    });
    front::serve(submitter)
        .await
        .map_err(bind_error("the submitters' interface", settings.submitters))?;
    let election = task::spawn_local(election::run(Rc::clone(&shared), links));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                tracing::info!(
                    event = "reload",
                    "SIGHUP ignored: no setting changes at runtime; restart the node to apply new ones"
                );
            }
        }
    }
    stop(&shared).await;
    election.abort();
    Ok(())
}

async fn stop<P: Platform>(shared: &Shared<P>) {
    tracing::info!(event = "stopping", grace_ms = shared.settings.grace.0);
    shared.is_stopping.set(true);
    shared.stopping.notify_waiters();
    let limit = shared.settings.grace.saturating_sub(EXIT_MARGIN);
    let end = time::Instant::now() + limit.into();
    time::sleep(NOT_READY_PERIOD.min(limit).into()).await;
    shared.is_closing_connections.set(true);
    shared.close_connections.notify_waiters();
    while shared.connections.get() > 0 && time::Instant::now() < end {
        time::sleep(CLOSE_CHECK_INTERVAL.into()).await;
    }
    tracing::info!(event = "stop", open = shared.connections.get());
}
