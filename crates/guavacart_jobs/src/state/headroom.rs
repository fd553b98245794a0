//! Follows the headroom that the own load of serving tasks leaves, without what fillers take.
//!
//! The tasks of one step share their load, on whatever executors they run, so that all their tails
//! tell of one level. A level and its rate of change are followed by a Kalman filter.

use std::collections::HashMap;

use guavacart_types::{Span, Timestamp};

use super::interference::ImageId;
use crate::StepKey;

/// Growth of the variance of a level's rate, per second.
const RATE_DRIFT: f32 = 0.04;
/// Variance of a level's rate before anything was seen.
const FIRST_RATE_VARIANCE: f32 = 0.05;
/// Variance of a measured headroom.
const NOISE: f32 = 0.03;
/// Greatest headroom that is told apart.
const MOST: f32 = 8.0;
/// Headroom at the greatest load before any was seen.
const FIRST_FLOOR: f32 = 1.5;
/// Headroom that a serving task is taken to have before its executor has reported one.
pub(super) const UNSEEN_OUTLOOK: f32 = FIRST_FLOOR;
/// Part of the time that a level is below its image's floor.
const FLOOR_PART: f32 = 0.05;
/// Step of the learning of floors, in headroom for each report.
const FLOOR_STEP: f32 = 0.02;
/// Fall of a level that is expected for a while ahead, per second.
const EXPECTED_FALL: f32 = 0.4;
/// Time ahead for which rates are believed.
const RATE_HORIZON: Span = Span::millis(600);

/// A value, and the variance of what is not known of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub(super) mean: f32,
    pub(super) variance: f32,
}

/// The own headroom of the tasks of one step.
#[derive(Clone, Copy, Debug)]
struct Level {
    mean: f32,
    rate: f32,
    /// Variances of both, and their covariance.
    variance: f32,
    rate_variance: f32,
    joint: f32,
    at: Timestamp,
}

impl Level {
    fn first(seen: Estimate, at: Timestamp) -> Self {
        Self {
            mean: seen.mean,
            rate: 0.0,
            variance: seen.variance + NOISE,
            rate_variance: FIRST_RATE_VARIANCE,
            joint: 0.0,
            at,
        }
    }

    fn advance(&mut self, now: Timestamp) {
        let dt = now.since(self.at).0 as f32 / 1_000.0;
        self.at = self.at.max(now);
        self.mean = (self.mean + self.rate * dt).clamp(0.0, MOST);
        self.variance += dt * (2.0 * self.joint + dt * self.rate_variance);
        self.joint += dt * self.rate_variance;
        self.rate_variance += dt * RATE_DRIFT;
    }

    fn take(&mut self, seen: Estimate) {
        let noise = NOISE + seen.variance;
        let weight = self.variance / (self.variance + noise);
        let rate_weight = self.joint / (self.variance + noise);
        let error = seen.mean - self.mean;
        self.mean += weight * error;
        self.rate += rate_weight * error;
        self.rate_variance -= rate_weight * self.joint;
        self.variance *= 1.0 - weight;
        self.joint *= 1.0 - weight;
    }
}

/// Own headrooms of all serving tasks.
#[derive(Debug, Default)]
pub(super) struct Headrooms {
    levels: HashMap<StepKey, Level>,
    /// Headroom at the greatest load, by image.
    floors: HashMap<ImageId, f32>,
}

impl Headrooms {
    /// Takes in a headroom that was seen, less what fillers are estimated to take.
    pub(super) fn take(&mut self, now: Timestamp, step: StepKey, image: ImageId, own: Estimate) {
        let level = self.levels.entry(step).or_insert(Level::first(own, now));
        level.advance(now);
        level.take(own);
        let floor = self.floors.entry(image).or_insert(FIRST_FLOOR);
        let is_below = level.mean < *floor;
        *floor += FLOOR_STEP * (FLOOR_PART - f32::from(u8::from(is_below)));
    }

    /// The own headroom of a step's tasks now; the image's floor before anything was seen.
    pub(super) fn now(&self, now: Timestamp, step: StepKey, image: ImageId) -> Estimate {
        let Some(mut level) = self.levels.get(&step).copied() else {
            return Estimate {
                mean: self.floor(image),
                variance: 1.0,
            };
        };
        level.advance(now);
        Estimate {
            mean: level.mean,
            variance: level.variance,
        }
    }

    /// The own headroom a moment ahead, until the next change of pace is in force.
    pub(super) fn soon(&self, now: Timestamp, step: StepKey, image: ImageId) -> f32 {
        let ahead = self.now(now + RATE_HORIZON, step, image).mean;
        ahead.min(self.now(now, step, image).mean)
    }

    /// The least own headroom that is expected within a span.
    pub(super) fn within(&self, now: Timestamp, step: StepKey, image: ImageId, span: Span) -> f32 {
        let soon = self.soon(now, step, image);
        let fallen = soon - EXPECTED_FALL * span.0 as f32 / 1_000.0;
        fallen.max(self.floor(image)).min(soon)
    }

    /// The floor of an image that was learned.
    pub(super) fn learned_floor(&self, image: ImageId) -> Option<f32> {
        self.floors.get(&image).copied()
    }

    /// Takes over a floor that an earlier owner has learned.
    pub(super) fn recall(&mut self, image: ImageId, floor: f32) {
        self.floors.insert(image, floor);
    }

    fn floor(&self, image: ImageId) -> f32 {
        self.learned_floor(image).unwrap_or(FIRST_FLOOR)
    }

    /// Drops what is known of a job's tasks.
    pub(super) fn forget(&mut self, job: crate::JobKey) {
        self.levels.retain(|step, _| step.job != job);
    }
}
