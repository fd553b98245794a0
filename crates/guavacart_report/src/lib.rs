//! Service-level burn: recorded in memory at each instance, reported for the whole deployment.
//!
//! Abandoned, late and refused requests burn the budget as failed ones do.

mod counts;
mod json;
mod latencies;
mod recorder;
mod report;
mod snapshot;
mod svg;
mod text;
mod window;

pub use counts::Counts;
pub use json::{ReportError, read, write};
pub use latencies::Latencies;
pub use recorder::Recorder;
pub use report::{Alarm, Burn, Objective, Report, ReportedInstance, Row, WindowBurn};
pub use snapshot::{Series, Snapshot, WindowCounts};
pub use svg::{SvgError, draw};
pub use text::table;
pub use window::{Window, WindowScale};
