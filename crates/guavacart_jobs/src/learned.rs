//! What an owner has learned of images, kept for the next one.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What is known of the serving images.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Learned {
    /// One entry for each serving image.
    pub serving: Vec<LearnedImage>,
}

/// What is known of one serving image.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedImage {
    /// The image.
    pub image: SmolStr,
    /// Headroom, as target over tail, that its greatest load leaves.
    pub floor: Option<f32>,
    /// Headroom lost per whole executor of each filler image, and the variance of that.
    pub slopes: Vec<(SmolStr, f32, f32)>,
}
