//! Why an entry instance did not start or did not go on.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// Why an entry instance did not start or did not go on.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listener could not be bound.
    #[error(
        "cannot listen on {address} ({purpose}): {source}; choose a free address in the settings"
    )]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// What the listener is for.
        purpose: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// The runtime could not be started.
    #[error("cannot start the runtime's threads: {0}")]
    Runtime(#[source] io::Error),
    /// The reducer's thread ended before a stop was asked for.
    #[error("the reducer's thread ended before a stop was asked for; see the log's last lines")]
    Lost,
}
