//! Estimates of how images interfere with each other, stored for the next owner.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Estimates about the images of service tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LearnedInterference {
    /// One entry for each image of service tasks.
    pub services: Vec<ServiceInterference>,
}

/// Estimates about one image of service tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceInterference {
    /// Name of the image.
    pub image: SmolStr,
    /// Headroom at the image's peak load, without best-effort tasks, as the ratio of the tail
    /// latency target to the tail latency; `None` if not known.
    pub min_headroom: Option<f32>,
    /// For each best-effort image: its name, the headroom lost when its tasks use one whole
    /// executor, and the variance of that estimate.
    pub slopes: Vec<(SmolStr, f32, f32)>,
}
