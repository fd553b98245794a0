//! The runtime of an entry instance.

use std::net::SocketAddr;

use guavacart_config::Settings;
use thiserror::Error;

pub mod operators;

/// A running entry instance.
pub struct Entry {
    callers: SocketAddr,
    peers: SocketAddr,
}

/// Why an entry instance cannot run.
#[derive(Debug, Error)]
pub enum EntryError {
    /// This build has no runtime yet.
    #[error("this build has no runtime; build a later one")]
    NoRuntime,
}

impl Entry {
    /// Starts an entry instance.
    ///
    /// # Errors
    /// Always, in this build.
    pub fn spawn(_settings: Settings) -> Result<Self, EntryError> {
        Err(EntryError::NoRuntime)
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where peers connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Waits until the instance has stopped.
    ///
    /// # Errors
    /// Why it could not go on.
    pub fn wait(self) -> Result<(), EntryError> {
        Ok(())
    }
}
