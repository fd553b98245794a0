//! Latencies of answers, as a histogram that travels as pairs of value and count.

use guavacart_types::Span;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Significant figures that a latency keeps.
const SIGNIFICANT_FIGURES: u8 = 2;
/// Greatest latency that is told apart: one day.
const GREATEST: Span = Span::secs(86_400);

/// Latencies in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Latencies(Histogram<u64>);

/// A pair of value and count that no recorder writes.
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
        self.add(latency.0.min(GREATEST.0), 1);
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        for step in other.0.iter_recorded() {
            self.add(step.value_iterated_to(), step.count_at_value());
        }
    }

    /// Grows the histogram as needed, unlike the library's saturating calls.
    fn add(&mut self, value: u64, count: u64) {
        self.0
            .record_n(value, count)
            .expect("a histogram that resizes takes every latency of up to a day");
    }

    /// Answers recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Answers that took longer than `limit`, to the precision of the histogram.
    pub fn above(&self, limit: Span) -> u64 {
        let limit = self.0.highest_equivalent(limit.0.min(GREATEST.0));
        let steps = self.0.iter_recorded();
        steps
            .filter(|step| step.value_iterated_to() > limit)
            .fold(0, |sum, step| sum.saturating_add(step.count_at_value()))
    }

    /// The latency that a share of answers, in parts per million, stay within.
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
            // The value is the highest of its equivalents and may lie above the greatest recorded.
            if value > latencies.0.highest_equivalent(GREATEST.0) {
                return Err(err(format_smolstr!("it is above {GREATEST}")));
            }
            total = total
                .checked_add(count)
                .ok_or_else(|| err("the counts overflow".into()))?;
            latencies
                .0
                .record_n(value, count)
                .map_err(|cause| err(format_smolstr!("{cause}")))?;
        }
        Ok(latencies)
    }
}
