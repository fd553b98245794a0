//! Learns how much best-effort tasks of each image disturb service tasks of each image.
//!
//! The headroom of a service task is its target divided by its tail latency: 1 at the target, more
//! below it. Response times grow as in a queue, so that the headroom falls in proportion to the
//! server's occupancy. The model is therefore linear: the headroom is the base headroom that the
//! task's own load leaves (see [`super::headroom`]) minus, for each best-effort image, a slope for
//! the pair of images times the share of the executor that the best-effort tasks use. The slopes of
//! one service image are learned together by recursive least squares.

use std::collections::HashMap;

use smol_str::SmolStr;

use super::headroom::Estimate;

/// Slope of a pair without observations, in headroom per whole executor.
const INITIAL_SLOPE: f32 = 4.0;
/// Standard deviation of the slopes over all pairs. Some pairs disturb ten times more than others.
const SLOPE_STD_DEV: f32 = 5.0;
/// Minimum variance of a learned slope, so that the slope can still change.
const MIN_VARIANCE: f32 = 0.1;
/// Variance of a measured headroom around the model.
const MEASUREMENT_VARIANCE: f32 = 0.06;
/// Shares below this value are ignored in learning.
const MIN_SHARE: f32 = 0.005;
/// Most images that are distinguished; limits the size of the model.
const MAX_IMAGES: usize = 64;

/// An image, numbered in the order of first use.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ImageId(u16);

/// Shares of an executor that best-effort tasks use, by image.
pub(super) type Shares = Vec<(ImageId, f32)>;

/// The learned slopes of all pairs of images.
#[derive(Debug, Default)]
pub(super) struct Interference {
    images: HashMap<SmolStr, ImageId>,
    /// Slopes of each service image, by the number of the image; empty where none was learned.
    by_service: Vec<Slopes>,
}

/// The slopes of one service image, by best-effort image, and their covariance.
#[derive(Debug, Default)]
struct Slopes {
    means: Vec<f32>,
    covariance: Vec<Vec<f32>>,
}

impl Slopes {
    fn is_empty(&self) -> bool {
        self.means.is_empty()
    }

    fn grow_to(&mut self, len: usize) {
        while self.means.len() < len {
            self.means.push(INITIAL_SLOPE);
            self.covariance.iter_mut().for_each(|row| row.push(0.0));
            let mut row = vec![0.0; self.means.len()];
            row[self.means.len() - 1] = SLOPE_STD_DEV * SLOPE_STD_DEV;
            self.covariance.push(row);
        }
    }

    /// Covariance of each slope with the headroom lost to these shares.
    fn gains(&self, shares: &Shares) -> Vec<f32> {
        let gain = |row: &Vec<f32>| -> f32 {
            let products = shares
                .iter()
                .map(|(image, share)| row[image.index()] * share);
            products.sum()
        };
        self.covariance.iter().map(gain).collect()
    }
}

impl ImageId {
    /// The image with this number.
    pub(super) fn from_index(index: usize) -> Self {
        Self(u16::try_from(index).unwrap_or_default())
    }

    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl Interference {
    /// The number of an image, assigned on first use. Tasks without an image share one number, and
    /// so do all images beyond [`MAX_IMAGES`].
    pub(super) fn register_image(&mut self, name: Option<&SmolStr>) -> ImageId {
        let number = self.number_of(name);
        let name = name.cloned().unwrap_or_default();
        *self.images.entry(name).or_insert(number)
    }

    /// The number that [`Self::register_image`] returns for an image.
    pub(super) fn number_of(&self, name: Option<&SmolStr>) -> ImageId {
        let next = self.images.len().min(MAX_IMAGES - 1);
        let known = self.images.get(name.map_or("", SmolStr::as_str));
        known.copied().unwrap_or(ImageId::from_index(next))
    }

    /// True if no slope has been learned.
    pub(super) fn is_empty(&self) -> bool {
        self.by_service.iter().all(Slopes::is_empty)
    }

    /// The names of the images, by number.
    pub(super) fn names(&self) -> Vec<SmolStr> {
        let mut names = vec![SmolStr::default(); self.images.len().min(MAX_IMAGES)];
        for (name, image) in &self.images {
            names[image.index()] = name.clone();
        }
        names
    }

    /// The learned slopes of a service image and their variances, by best-effort image.
    pub(super) fn slopes(&self, service: ImageId) -> Vec<(ImageId, Estimate)> {
        let Some(slopes) = self.by_service.get(service.index()) else {
            return Vec::new();
        };
        let is_learned = |variance: f32| variance < SLOPE_STD_DEV * SLOPE_STD_DEV;
        let row = |(index, mean): (usize, &f32)| {
            let variance = slopes.covariance[index][index];
            let best_effort = ImageId::from_index(index);
            let mean = *mean;
            is_learned(variance).then_some((best_effort, Estimate { mean, variance }))
        };
        slopes.means.iter().enumerate().filter_map(row).collect()
    }

    /// Restores a slope that an earlier owner learned.
    pub(super) fn restore_slope(
        &mut self,
        service: ImageId,
        best_effort: ImageId,
        slope: Estimate,
    ) {
        let slopes = self.slopes_mut(service);
        slopes.grow_to(best_effort.index() + 1);
        slopes.means[best_effort.index()] = slope.mean;
        slopes.covariance[best_effort.index()][best_effort.index()] =
            slope.variance.max(MIN_VARIANCE);
    }

    /// The number of an image that [`Self::register_image`] has numbered, or 0 for any other image.
    pub(super) fn known_image(&self, name: Option<&SmolStr>) -> ImageId {
        let name = name.map_or("", SmolStr::as_str);
        self.images.get(name).copied().unwrap_or(ImageId(0))
    }

    fn slopes_mut(&mut self, service: ImageId) -> &mut Slopes {
        let len = self.by_service.len().max(service.index() + 1);
        self.by_service.resize_with(len, Slopes::default);
        &mut self.by_service[service.index()]
    }

    /// Headroom that a service task loses per share of a best-effort image.
    pub(super) fn slope(&self, service: ImageId, best_effort: ImageId) -> f32 {
        let slopes = self.by_service.get(service.index());
        let slope = slopes.and_then(|slopes| slopes.means.get(best_effort.index()));
        slope.copied().unwrap_or(INITIAL_SLOPE).max(0.0)
    }

    /// Headroom that a service task loses to best-effort tasks with these shares.
    pub(super) fn loss(&self, service: ImageId, shares: &Shares) -> f32 {
        let loss =
            |(best_effort, share): &(ImageId, f32)| self.slope(service, *best_effort) * share;
        shares.iter().map(loss).sum()
    }

    /// Headroom that a service task loses to a share of one best-effort image, with its variance.
    pub(super) fn loss_from(&self, service: ImageId, best_effort: ImageId, share: f32) -> Estimate {
        let slopes = self.by_service.get(service.index());
        let row = slopes.and_then(|slopes| slopes.covariance.get(best_effort.index()));
        let variance = row.map_or(SLOPE_STD_DEV * SLOPE_STD_DEV, |row| {
            row[best_effort.index()]
        });
        Estimate {
            mean: self.slope(service, best_effort) * share,
            variance: variance * share * share,
        }
    }

    /// Headroom that a service task loses to best-effort tasks with these shares, with its
    /// variance.
    pub(super) fn estimated_loss(&self, service: ImageId, shares: &Shares) -> Estimate {
        let variance = |(best_effort, share): &(ImageId, f32)| {
            self.loss_from(service, *best_effort, *share).variance
        };
        Estimate {
            mean: self.loss(service, shares),
            variance: shares.iter().map(variance).sum(),
        }
    }

    /// Updates the slopes with the observed headroom loss to best-effort tasks with these shares.
    pub(super) fn learn(&mut self, service: ImageId, observed: Estimate, shares: &Shares) {
        let shares: Shares = shares
            .iter()
            .filter(|(_, share)| *share >= MIN_SHARE)
            .copied()
            .collect();
        let Some(greatest) = shares
            .iter()
            .map(|(best_effort, _)| best_effort.index())
            .max()
        else {
            return;
        };
        let slopes = self.slopes_mut(service);
        slopes.grow_to(greatest + 1);
        let gains = slopes.gains(&shares);
        let loss_variance: f32 = shares
            .iter()
            .map(|(i, share)| gains[i.index()] * share)
            .sum();
        let weight = 1.0 / (loss_variance + MEASUREMENT_VARIANCE + observed.variance);
        let predicted: f32 = shares
            .iter()
            .map(|(i, share)| slopes.means[i.index()] * share)
            .sum();
        let error = observed.mean - predicted;
        let rows = slopes.covariance.iter_mut().enumerate();
        for ((i, row), mean) in rows.zip(&mut slopes.means) {
            let change = gains[i] * weight;
            // Most images have never run beside each other, so that nothing is learned of them.
            if change == 0.0 {
                continue;
            }
            *mean += change * error;
            for (covariance, gain) in row.iter_mut().zip(&gains) {
                *covariance -= change * gain;
            }
            row[i] = row[i].max(MIN_VARIANCE);
        }
    }
}
