//! Error budget burn rates of services: each instance records request outcomes in memory, and a
//! report merges the snapshots of all instances.
//!
//! Abandoned, late and refused requests use up the error budget just like failed requests.

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
pub use json::{ReportError, from_json, to_json};
pub use latencies::Latencies;
pub use recorder::Recorder;
pub use report::{Alarm, Burn, Objective, Report, ReportedInstance, Row, WindowBurn};
pub use snapshot::{Series, Snapshot, WindowCounts};
pub use svg::{SvgError, draw_svg};
pub use text::format_table;
pub use window::{Window, WindowScale};
