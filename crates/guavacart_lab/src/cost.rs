//! Processor time of this thread and memory of this process, as the system counts them.

use std::{fs, time::Duration};

use nix::time::{ClockId, clock_gettime};

/// Bytes of one page.
const PAGE_BYTES: u64 = 4_096;

/// How long this thread has run on a processor; zero where the system does not say.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.map_or(Duration::ZERO, Duration::from)
}

/// Bytes of this process that are resident; 0 where the system does not say.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}

/// The least-squares line through points: what is there at size 0, and what each unit adds.
pub fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (mean_y - slope * mean_x, slope)
}
