//! The signals that request a graceful stop.

use std::io;

use tokio::{
    runtime::Runtime,
    signal::unix::{Signal, SignalKind, signal},
};

/// Handlers of SIGTERM and SIGINT.
///
/// They are registered early in the start, so that a signal that arrives before [`Self::received`]
/// is called is not lost.
#[derive(Debug)]
pub(crate) struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Registers the handlers.
    ///
    /// # Errors
    /// Returns the system's error if a handler cannot be registered.
    pub(crate) fn register(runtime: &Runtime) -> io::Result<Self> {
        let _guard = runtime.enter();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal since the handlers were registered.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
