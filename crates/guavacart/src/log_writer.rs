//! Writes log lines to stdout without ever blocking the thread that logs.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait to be written; about a second of a busy owner.
const MAX_QUEUED: usize = 2_048;

/// Hands lines to the thread that writes them; drops and counts what does not fit.
#[derive(Clone)]
pub(crate) struct LogWriter {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Starts the thread that writes.
pub(crate) fn spawn() -> LogWriter {
    let (tx, rx) = flume::bounded::<Vec<u8>>(MAX_QUEUED);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    thread::spawn(move || {
        let mut batch = Vec::new();
        while let Ok(first) = rx.recv() {
            batch.clear();
            batch.extend_from_slice(&first);
            rx.try_iter()
                .for_each(|line| batch.extend_from_slice(&line));
            let lost = counted.swap(0, Ordering::Relaxed);
            if lost > 0 {
                let line = format!("{{\"event\":\"log_lines_dropped\",\"count\":{lost}}}\n");
                batch.extend_from_slice(line.as_bytes());
            }
            // Without a reader there is nobody to tell.
            let _ = io::stdout().write_all(&batch);
        }
    });
    LogWriter { lines: tx, dropped }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
