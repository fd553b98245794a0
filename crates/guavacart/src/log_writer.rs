//! Writes log lines to stdout from a thread of its own, so that a slow reader of stdout never
//! blocks the threads that log.

use std::{
    io::{self, Write},
    iter,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that wait to be written, about one second of a busy owner's log.
const MAX_QUEUED: usize = 2_048;

/// Longest wait until all lines are written when the process ends.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(500);

enum Message {
    Line(Vec<u8>),
    /// Asks for a signal once all lines before it are written.
    Flush(flume::Sender<()>),
}

/// Passes lines to the writing thread. Lines that do not fit in its queue are dropped and counted.
#[derive(Clone)]
pub(crate) struct LogWriter {
    messages: flume::Sender<Message>,
    dropped: Arc<AtomicU64>,
}

/// Starts the writing thread. It logs the number of dropped lines as `log_lines_dropped`.
pub(crate) fn spawn() -> LogWriter {
    let (tx, rx) = flume::bounded::<Message>(MAX_QUEUED);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_by_writers = Arc::clone(&dropped);
    thread::spawn(move || {
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        while let Ok(first) = rx.recv() {
            batch.clear();
            for message in iter::once(first).chain(rx.try_iter()) {
                match message {
                    Message::Line(line) => batch.extend_from_slice(&line),
                    Message::Flush(written) => flushes.push(written),
                }
            }
            let dropped_count = dropped_by_writers.swap(0, Ordering::Relaxed);
            if dropped_count > 0 {
                let line =
                    format!("{{\"event\":\"log_lines_dropped\",\"count\":{dropped_count}}}\n");
                batch.extend_from_slice(line.as_bytes());
            }
            // A failure to write the log cannot be logged.
            let _ = io::stdout().write_all(&batch);
            for written in flushes.drain(..) {
                // The thread that asked may have stopped waiting.
                let _ = written.try_send(());
            }
        }
    });
    LogWriter {
        messages: tx,
        dropped,
    }
}

impl LogWriter {
    /// Waits until the lines so far are written, for `MAX_FLUSH_TIME` at most.
    pub(crate) fn flush_lines(&self) {
        let (tx, rx) = flume::bounded(1);
        if self
            .messages
            .send_timeout(Message::Flush(tx), MAX_FLUSH_TIME)
            .is_ok()
        {
            // A reader of stdout that is too slow loses the last lines.
            let _ = rx.recv_timeout(MAX_FLUSH_TIME);
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.messages.try_send(Message::Line(buf.to_vec())).is_err() {
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
