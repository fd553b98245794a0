//! Processor time of this thread, memory of this process as the operating system counts them, and
//! a straight line fitted to measurements.

use std::{fs, time::Duration};

use nix::time::{ClockId, clock_gettime};

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time of this thread; zero if the operating system does not report it.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.map_or(Duration::ZERO, Duration::from)
}

/// Returns the resident memory of this process in bytes; 0 if the operating system does not report
/// it.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}

/// Returns the value at 0 and the slope of the least-squares line through `points`.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
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
