//! Processor time of this thread and memory of this process, as the system counts them.

use std::fs;

/// Bytes of one page.
const PAGE_BYTES: u64 = 4_096;

/// Nanoseconds that this thread has run on a processor; 0 where the system does not say.
pub fn thread_cpu_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    number_at(&text, 0)
}

/// Bytes of this process that are resident; 0 where the system does not say.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    number_at(&text, 1) * PAGE_BYTES
}

fn number_at(text: &str, place: usize) -> u64 {
    let field = text.split_whitespace().nth(place);
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
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
