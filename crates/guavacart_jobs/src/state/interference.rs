//! Learns how much fillers of each image disturb serving tasks of each image.
//!
//! A serving task's headroom is its target over its tail: 1 at the target, more below it. Response
//! times grow as in a queue, so the headroom falls in proportion to the server's occupancy: it is the
//! headroom that the task's own load leaves (see [`super::headroom`]) less a slope for each pair of
//! images times the share of the executor that the fillers use. The slopes of one serving image are
//! learned together by recursive least squares.

use std::collections::HashMap;

use smol_str::SmolStr;

use super::headroom::Estimate;

/// Slope of a pair that has not been seen, in headroom per whole executor.
const FIRST_SLOPE: f32 = 4.0;
/// Standard deviation of slopes over pairs; some pairs disturb ten times more than others.
const SLOPE_DEVIATION: f32 = 5.0;
/// Least variance of a learned slope; slopes stay open to change.
const LEAST_VARIANCE: f32 = 0.1;
/// Variance of a measured headroom around the model.
const NOISE: f32 = 0.06;
/// Shares under which a filler tells nothing.
const LEAST_SHARE: f32 = 0.005;
/// Most images that are told apart; bounds the size of what is learned.
const MOST_IMAGES: usize = 64;

/// An image, numbered in the order of appearance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ImageId(u16);

/// Shares of an executor that fillers of each image use.
pub(super) type Shares = Vec<(ImageId, f32)>;

/// What has been learned.
#[derive(Debug, Default)]
pub(super) struct Interference {
    images: HashMap<SmolStr, ImageId>,
    /// Slopes of each serving image.
    serving: HashMap<ImageId, Slopes>,
}

/// The slopes of one serving image, by filler image, and their covariance.
#[derive(Debug, Default)]
struct Slopes {
    means: Vec<f32>,
    covariance: Vec<Vec<f32>>,
}

impl Slopes {
    fn grow(&mut self, len: usize) {
        while self.means.len() < len {
            self.means.push(FIRST_SLOPE);
            self.covariance.iter_mut().for_each(|row| row.push(0.0));
            let mut row = vec![0.0; self.means.len()];
            row[self.means.len() - 1] = SLOPE_DEVIATION * SLOPE_DEVIATION;
            self.covariance.push(row);
        }
    }

    /// Covariance of each slope with the disturbance by these shares.
    fn gains(&self, shares: &Shares) -> Vec<f32> {
        let gain = |row: &Vec<f32>| -> f32 {
            let parts = shares.iter().map(|(image, share)| row[image.at()] * share);
            parts.sum()
        };
        self.covariance.iter().map(gain).collect()
    }
}

impl ImageId {
    /// The image with that number.
    pub(super) fn numbered(at: usize) -> Self {
        Self(u16::try_from(at).unwrap_or_default())
    }

    pub(super) fn at(self) -> usize {
        usize::from(self.0)
    }
}

impl Interference {
    /// The number of an image; tasks without one count as one image, and so do those over the bound.
    pub(super) fn image(&mut self, name: Option<&SmolStr>) -> ImageId {
        let name = name.cloned().unwrap_or_default();
        let next = self.images.len().min(MOST_IMAGES - 1);
        let next = ImageId::numbered(next);
        *self.images.entry(name).or_insert(next)
    }

    /// True if nothing was learned.
    pub(super) fn is_empty(&self) -> bool {
        self.serving.is_empty()
    }

    /// The names of the images, by number.
    pub(super) fn names(&self) -> Vec<SmolStr> {
        let mut names = vec![SmolStr::default(); self.images.len().min(MOST_IMAGES)];
        for (name, image) in &self.images {
            names[image.at()] = name.clone();
        }
        names
    }

    /// The learned slopes of a serving image and their variances, by filler image.
    pub(super) fn slopes(&self, serving: ImageId) -> Vec<(ImageId, Estimate)> {
        let Some(slopes) = self.serving.get(&serving) else {
            return Vec::new();
        };
        let is_learned = |own: f32| own < SLOPE_DEVIATION * SLOPE_DEVIATION;
        let row = |(at, mean): (usize, &f32)| {
            let variance = slopes.covariance[at][at];
            let filler = ImageId::numbered(at);
            let mean = *mean;
            is_learned(variance).then_some((filler, Estimate { mean, variance }))
        };
        slopes.means.iter().enumerate().filter_map(row).collect()
    }

    /// Takes over a slope that an earlier owner has learned.
    pub(super) fn recall(&mut self, serving: ImageId, filler: ImageId, slope: Estimate) {
        let slopes = self.serving.entry(serving).or_default();
        slopes.grow(filler.at() + 1);
        slopes.means[filler.at()] = slope.mean;
        slopes.covariance[filler.at()][filler.at()] = slope.variance.max(LEAST_VARIANCE);
    }

    /// The number of an image that was numbered before.
    pub(super) fn known(&self, name: Option<&SmolStr>) -> ImageId {
        let name = name.map_or("", SmolStr::as_str);
        self.images.get(name).copied().unwrap_or(ImageId(0))
    }

    /// Headroom that a serving task loses to one more unit of share of a filler.
    pub(super) fn slope(&self, serving: ImageId, filler: ImageId) -> f32 {
        let slopes = self.serving.get(&serving);
        let slope = slopes.and_then(|slopes| slopes.means.get(filler.at()));
        slope.copied().unwrap_or(FIRST_SLOPE).max(0.0)
    }

    /// Headroom that a serving task loses to fillers with these shares.
    pub(super) fn lost(&self, serving: ImageId, shares: &Shares) -> f32 {
        let lost = |(filler, share): &(ImageId, f32)| self.slope(serving, *filler) * share;
        shares.iter().map(lost).sum()
    }

    /// The headroom that a serving task loses to a share of one filler image, with how sure that is.
    pub(super) fn lost_to(&self, serving: ImageId, filler: ImageId, share: f32) -> Estimate {
        let slopes = self.serving.get(&serving);
        let row = slopes.and_then(|slopes| slopes.covariance.get(filler.at()));
        let variance = row.map_or(SLOPE_DEVIATION * SLOPE_DEVIATION, |row| row[filler.at()]);
        Estimate {
            mean: self.slope(serving, filler) * share,
            variance: variance * share * share,
        }
    }

    /// The headroom that it loses to fillers with these shares, with how sure that is.
    pub(super) fn estimate(&self, serving: ImageId, shares: &Shares) -> Estimate {
        let variance =
            |(filler, share): &(ImageId, f32)| self.lost_to(serving, *filler, *share).variance;
        Estimate {
            mean: self.lost(serving, shares),
            variance: shares.iter().map(variance).sum(),
        }
    }

    /// Takes in the headroom that fillers with these shares were seen to take.
    pub(super) fn learn(&mut self, serving: ImageId, seen: Estimate, shares: &Shares) {
        let shares: Shares = shares
            .iter()
            .filter(|(_, share)| *share >= LEAST_SHARE)
            .copied()
            .collect();
        let Some(greatest) = shares.iter().map(|(filler, _)| filler.at()).max() else {
            return;
        };
        let slopes = self.serving.entry(serving).or_default();
        slopes.grow(greatest + 1);
        let gains = slopes.gains(&shares);
        let spread: f32 = shares.iter().map(|(i, share)| gains[i.at()] * share).sum();
        let weight = 1.0 / (spread + NOISE + seen.variance);
        let told: f32 = shares
            .iter()
            .map(|(i, share)| slopes.means[i.at()] * share)
            .sum();
        let error = seen.mean - told;
        for (i, gain) in gains.iter().enumerate() {
            slopes.means[i] += gain * weight * error;
            for (j, other) in gains.iter().enumerate() {
                slopes.covariance[i][j] -= gain * weight * other;
            }
            let own = &mut slopes.covariance[i][i];
            *own = own.max(LEAST_VARIANCE);
        }
    }
}
