//! Learns how much fillers of each image lengthen the tails of serving tasks of each image.
//!
//! The logarithm of a tail over its target is taken as a base of the serving image plus a slope for
//! each pair of images times the filler's share of the executor. Both are learned by normalised least
//! mean squares from the tails that executors list.

use std::collections::HashMap;

use smol_str::SmolStr;

/// Slope of a pair before any pair was seen; a moderate pair of those measured.
const FIRST_SLOPE: f32 = 2.0;
/// How many learned pairs the first slope counts as in the slope of an unseen pair.
const FIRST_SLOPE_PAIRS: f32 = 4.0;
/// Greatest slope that is believed.
const GREATEST_SLOPE: f32 = 12.0;
/// Logarithm of an undisturbed tail over its target before anything was seen.
const UNSEEN_BASE: f32 = -0.9;
/// Step of the learning of slopes.
const SLOPE_STEP: f32 = 0.15;
/// Step of the learning of bases, which only change with the load.
const BASE_STEP: f32 = 0.02;
/// Keeps steps small where hardly any filler runs.
const LEAST_POWER: f32 = 0.01;
/// Longest tail over its target that is learned from; longer ones say no more.
const GREATEST_RATIO: f32 = 6.0;
/// Shortest one.
const LEAST_RATIO: f32 = 0.05;

/// An image, numbered in the order of appearance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ImageId(u32);

/// Shares of an executor that fillers of each image use.
pub(super) type Shares = Vec<(ImageId, f32)>;

/// What has been learned.
#[derive(Debug, Default)]
pub(super) struct Interference {
    images: HashMap<SmolStr, ImageId>,
    slopes: HashMap<(ImageId, ImageId), f32>,
    slope_sum: f32,
    bases: HashMap<ImageId, f32>,
}

impl Interference {
    /// The number of an image; tasks without one count as one image.
    pub(super) fn image(&mut self, name: Option<&SmolStr>) -> ImageId {
        let name = name.cloned().unwrap_or_default();
        let next = ImageId(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        *self.images.entry(name).or_insert(next)
    }

    /// The number of an image that was numbered before.
    pub(super) fn known(&self, name: Option<&SmolStr>) -> ImageId {
        let name = name.map_or("", SmolStr::as_str);
        self.images.get(name).copied().unwrap_or(ImageId(u32::MAX))
    }

    /// What one more unit of share adds to the logarithm of the tail.
    pub(super) fn slope(&self, serving: ImageId, filler: ImageId) -> f32 {
        let slope = self.slopes.get(&(serving, filler));
        slope.copied().unwrap_or_else(|| self.unseen_slope())
    }

    fn unseen_slope(&self) -> f32 {
        let pairs = self.slopes.len() as f32 + FIRST_SLOPE_PAIRS;
        (self.slope_sum + FIRST_SLOPE * FIRST_SLOPE_PAIRS) / pairs
    }

    /// What fillers with these shares add to the logarithm of the tail.
    pub(super) fn added(&self, serving: ImageId, shares: &Shares) -> f32 {
        shares
            .iter()
            .map(|(filler, share)| self.slope(serving, *filler) * share)
            .sum()
    }

    /// Takes in one tail, as a part of its target, and the shares beside it.
    pub(super) fn learn(&mut self, serving: ImageId, ratio: f32, shares: &Shares) {
        let seen = ratio.clamp(LEAST_RATIO, GREATEST_RATIO).ln();
        let base = self.bases.get(&serving).copied().unwrap_or(UNSEEN_BASE);
        let added: f32 = shares
            .iter()
            .map(|(i, share)| self.slope(serving, *i) * share)
            .sum();
        let error = seen - base - added;
        self.bases.insert(serving, base + BASE_STEP * error);
        let power: f32 = shares.iter().map(|(_, share)| share * share).sum();
        for (filler, share) in shares {
            let slope = self.slope(serving, *filler);
            let step = SLOPE_STEP * error * share / (LEAST_POWER + power);
            let learned = (slope + step).clamp(0.0, GREATEST_SLOPE);
            let before = self.slopes.insert((serving, *filler), learned);
            self.slope_sum += learned - before.unwrap_or_default();
        }
    }
}
