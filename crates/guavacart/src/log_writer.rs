//! Writes log lines to stdout from a thread of its own, so that a slow reader of stdout never
//! blocks the threads that log.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that wait to be written, about one second of a busy owner's log.
const MAX_QUEUED: usize = 2_048;

/// Passes lines to the writing thread. Lines that do not fit in its queue are dropped and counted.
#[derive(Clone)]
pub(crate) struct LogWriter {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Starts the writing thread. It logs the number of dropped lines as `log_lines_dropped`.
pub(crate) fn spawn() -> LogWriter {
    let (tx, rx) = flume::bounded::<Vec<u8>>(MAX_QUEUED);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_by_writers = Arc::clone(&dropped);
    thread::spawn(move || {
        let mut batch = Vec::new();
        while let Ok(first) = rx.recv() {
            batch.clear();
            batch.extend_from_slice(&first);
            rx.try_iter()
                .for_each(|line| batch.extend_from_slice(&line));
            let dropped_count = dropped_by_writers.swap(0, Ordering::Relaxed);
            if dropped_count > 0 {
                let line =
                    format!("{{\"event\":\"log_lines_dropped\",\"count\":{dropped_count}}}\n");
                batch.extend_from_slice(line.as_bytes());
            }
            // A failure to write the log cannot be logged.
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
