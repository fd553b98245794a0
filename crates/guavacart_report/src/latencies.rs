//! Histogram of the latencies of answers, encoded as pairs of value and count.

use guavacart_types::Span;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Decimal digits of precision of a recorded latency.
const SIGNIFICANT_FIGURES: u8 = 2;
/// Largest latency that the histogram distinguishes, one day; a longer one is recorded as one day.
const MAX_LATENCY: Span = Span::secs(86_400);

/// Histogram of latencies in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Latencies(Histogram<u64>);

/// A decoded pair of value and count that cannot come from a recorder.
#[derive(Clone, Debug, Error)]
#[error("latency {value} ms with count {count} cannot be recorded: {cause}")]
pub struct LatencyError {
    value: u64,
    count: u64,
    cause: SmolStr,
}

impl Default for Latencies {
    fn default() -> Self {
        let mut histogram = Histogram::new(SIGNIFICANT_FIGURES)
            .expect("the number of significant figures is within the library's range");
        histogram.auto(true);
        Self(histogram)
    }
}

impl Latencies {
    pub(crate) fn record(&mut self, latency: Span) {
        self.add(latency.0.min(MAX_LATENCY.0), 1);
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        for step in other.0.iter_recorded() {
            self.add(step.value_iterated_to(), step.count_at_value());
        }
    }

    /// Adds `count` latencies of `value` ms. The histogram grows as needed, whereas the saturating
    /// calls of the library would record a value beyond its range as the largest in range.
    fn add(&mut self, value: u64, count: u64) {
        self.0
            .record_n(value, count)
            .expect("a histogram that resizes accepts every latency of up to one day");
    }

    /// Returns the number of answers recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the number of answers that took longer than `limit`, to the precision of the
    /// histogram.
    pub fn above(&self, limit: Span) -> u64 {
        let limit = self.0.highest_equivalent(limit.0.min(MAX_LATENCY.0));
        let steps = self.0.iter_recorded();
        steps
            .filter(|step| step.value_iterated_to() > limit)
            .fold(0, |sum, step| sum.saturating_add(step.count_at_value()))
    }

    /// Returns the latency that the given share of answers, in parts per million, did not exceed.
    pub fn quantile(&self, ppm: u32) -> Span {
        Span(self.0.value_at_quantile(f64::from(ppm) / 1e6))
    }
}

impl From<Latencies> for Vec<(u64, u64)> {
    fn from(latencies: Latencies) -> Self {
        let steps = latencies.0.iter_recorded();
        steps
            .map(|step| (step.value_iterated_to(), step.count_at_value()))
            .collect()
    }
}

impl TryFrom<Vec<(u64, u64)>> for Latencies {
    type Error = LatencyError;

    fn try_from(pairs: Vec<(u64, u64)>) -> Result<Self, LatencyError> {
        let mut latencies = Self::default();
        let mut total: u64 = 0;
        for (value, count) in pairs {
            let err = |cause: SmolStr| LatencyError {
                value,
                count,
                cause,
            };
            // A recorder encodes a value as the highest one in its histogram bucket, which may be
            // above `MAX_LATENCY`.
            if value > latencies.0.highest_equivalent(MAX_LATENCY.0) {
                return Err(err(format_smolstr!("the latency is above {MAX_LATENCY}")));
            }
            total = total
                .checked_add(count)
                .ok_or_else(|| err("the sum of the counts overflows".into()))?;
            latencies
                .0
                .record_n(value, count)
                .map_err(|cause| err(format_smolstr!("{cause}")))?;
        }
        Ok(latencies)
    }
}
