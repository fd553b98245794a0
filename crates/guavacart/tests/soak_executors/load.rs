//! Load that keeps processors of the machine busy.

use std::{
    hint,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

/// Threads that are busy until this is dropped.
pub(crate) struct Load {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts that many threads, at most one a processor.
    pub(crate) fn spawn(threads: usize) -> Self {
        let processors = thread::available_parallelism().expect("a number of processors");
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = (0..threads.min(processors.get())).map(|_| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    hint::spin_loop();
                }
            })
        });
        let threads = threads.collect();
        Self { is_over, threads }
    }

    pub(crate) fn len(&self) -> usize {
        self.threads.len()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A busy thread does not panic, and a panic here would hide the test's.
            let _ = thread.join();
        }
    }
}
