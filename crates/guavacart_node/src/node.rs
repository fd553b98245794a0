//! Starts a node, and stops it gracefully.

use std::{io, rc::Rc};

use guavacart_types::Span;
use thiserror::Error;
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
    task::{self, LocalSet},
    time,
};

use crate::{
    NodeSettings, Platform, election, front, links::Links, shared::Shared, submit::Submitter,
    watching,
};

/// Time from the first answer that the node is not ready until connections are closed; the balancer
/// asks once a second and believes the second answer.
const LEAVE_ROTATION: Span = Span::millis(3_000);
/// Part of the grace period that is kept for the process's own end.
const EXIT_MARGIN: Span = Span::millis(700);
/// How often open connections are counted while the node ends.
const CLOSE_CHECK: Span = Span::millis(50);

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The runtime or a signal handler cannot be had.
    #[error("the runtime cannot start: {0}; check the limits of the process")]
    Runtime(#[from] io::Error),
    /// An address cannot be bound.
    #[error("{what} at {address} cannot be bound: {cause}; check the settings' addresses")]
    Bind {
        /// For what.
        what: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        cause: io::Error,
    },
}

/// Runs a node on this thread until SIGTERM.
///
/// # Errors
/// Returns why the node cannot start.
pub fn run<P: Platform>(platform: P, settings: NodeSettings) -> Result<(), NodeError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(platform, settings))
}

async fn serve<P: Platform>(platform: P, settings: NodeSettings) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let shared = Rc::new(Shared::new(platform, settings));
    let settings = &shared.settings;
    tracing::info!(
        event = "start", node = %settings.name, data_centre = %settings.data_centre,
        callers = %settings.callers, links = %settings.links,
    );
    let bound = |what, address| {
        move |cause| NodeError::Bind {
            what,
            address,
            cause,
        }
    };
    let links = Links::bind(Rc::clone(&shared))
        .await
        .map_err(bound("the link between nodes", settings.links))?;
    front::serve_readiness(Rc::clone(&shared), Rc::clone(&links))
        .await
        .map_err(bound("the readiness answer", settings.readiness))?;
    if let Some(at) = settings.metrics {
        // Jobs are served without metrics as well.
        if let Err(err) = front::serve_metrics(Rc::clone(&shared), at).await {
            tracing::warn!(event = "no_metrics", %at, cause = %err, "check that the port is free");
        }
    }
    task::spawn_local(watching::operator(Rc::clone(&shared)));
    task::spawn_local(watching::probe(Rc::clone(&shared)));
    let submitter = Rc::new(Submitter {
        shared: Rc::clone(&shared),
        links: Rc::clone(&links),
    });
    front::serve(submitter)
        .await
        .map_err(bound("the submitters' interface", settings.callers))?;
    let election = task::spawn_local(election::run(Rc::clone(&shared), links));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                tracing::info!(event = "reload", "the settings hold nothing that changes at runtime");
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
    let last = shared.settings.grace.saturating_sub(EXIT_MARGIN);
    let end = time::Instant::now() + last.into();
    time::sleep(LEAVE_ROTATION.min(last).into()).await;
    shared.is_closing.set(true);
    shared.closing.notify_waiters();
    while shared.connections.get() > 0 && time::Instant::now() < end {
        time::sleep(CLOSE_CHECK.into()).await;
    }
    tracing::info!(event = "stop", open = shared.connections.get());
}
