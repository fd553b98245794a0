//! The signals that ask for a graceful stop.

use std::io;

use tokio::{
    runtime::Runtime,
    signal::unix::{Signal, SignalKind, signal},
};

/// Caught from when it is bound, so that a signal that comes before the wait is not lost.
#[derive(Debug)]
pub(crate) struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Catches SIGTERM and SIGINT from now on.
    ///
    /// # Errors
    /// Returns the system's error if a handler cannot be set.
    pub(crate) fn bind(runtime: &Runtime) -> io::Result<Self> {
        let _guard = runtime.enter();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first of the signals since the binding.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
