//! A report as JSON.

use thiserror::Error;

use crate::report::Report;

/// The bytes are not a report.
#[derive(Debug, Error)]
#[error("the report cannot be read: {0}")]
pub struct ReportError(#[from] serde_json::Error);

/// The report as JSON.
pub fn write(report: &Report) -> Vec<u8> {
    serde_json::to_vec(report).expect("a report has only text keys and finite numbers")
}

/// Reads a report.
///
/// # Errors
/// Why the bytes are not a report.
pub fn read(bytes: &[u8]) -> Result<Report, ReportError> {
    Ok(serde_json::from_slice(bytes)?)
}
