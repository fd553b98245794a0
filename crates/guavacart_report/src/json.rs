//! Encodes and decodes a report as JSON.

use thiserror::Error;

use crate::report::Report;

/// Bytes that are not the JSON of a report, with the cause.
#[derive(Debug, Error)]
#[error("the JSON is not a burn report: {0}")]
pub struct ReportError(#[from] serde_json::Error);

/// Encodes a report as JSON.
pub fn to_json(report: &Report) -> Vec<u8> {
    serde_json::to_vec(report)
        .expect("a report contains only map keys that are text, and finite numbers")
}

/// Decodes a report from JSON.
///
/// # Errors
/// Returns an error if the bytes are not the JSON of a report.
pub fn from_json(bytes: &[u8]) -> Result<Report, ReportError> {
    Ok(serde_json::from_slice(bytes)?)
}
