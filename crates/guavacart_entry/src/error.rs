//! Errors that keep an entry instance from starting or running.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// An error that keeps an entry instance from starting or running.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listener could not be bound.
    #[error(
        "cannot listen on {address} ({purpose}): {source}; choose a free address in the settings"
    )]
    Bind {
        /// The address from the settings, with the port that the system chose if theirs is 0.
        address: SocketAddr,
        /// Who connects to the listener (callers or peers), or the step that failed.
        purpose: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// Threads, signal handlers or sockets of the runtime could not be created.
    #[error("cannot start the runtime's threads and sockets: {0}")]
    Runtime(#[source] io::Error),
    /// The reducer thread ended before a stop was requested or complete.
    #[error("the reducer thread ended unexpectedly; see the last lines of the log for the cause")]
    ReducerEnded,
}
