//! Tracks the base headroom of service tasks: the headroom that their own load leaves, without the
//! effect of best-effort tasks.
//!
//! The tasks of one step share their load on all their executors, so that their tail latencies are
//! measurements of one level. A Kalman filter estimates the level and its rate of change.

use std::collections::HashMap;

use guavacart_types::{Span, Timestamp};

use super::interference::ImageId;
use crate::StepKey;

/// Growth of the variance of a level's rate, per second.
const RATE_VARIANCE_GROWTH: f32 = 0.04;
/// Variance of a level's rate before the first measurement.
const INITIAL_RATE_VARIANCE: f32 = 0.05;
/// Variance of a measured headroom.
const MEASUREMENT_VARIANCE: f32 = 0.03;
/// Greatest headroom of a level; larger values are not distinguished.
const MAX_HEADROOM: f32 = 8.0;
/// Headroom at peak load, assumed before the first measurement.
const INITIAL_MIN_HEADROOM: f32 = 1.5;
/// Headroom assumed for a service task before its executor has reported one.
pub(super) const DEFAULT_FORECAST: f32 = INITIAL_MIN_HEADROOM;
/// Part of the time that a level is below the minimum headroom of its image.
const BELOW_MIN_FRACTION: f32 = 0.05;
/// Learning rate of a minimum headroom, in headroom per report.
const MIN_HEADROOM_STEP: f32 = 0.02;
/// Fall of a level that is assumed for the time ahead, in headroom per second.
const EXPECTED_FALL_PER_S: f32 = 0.4;
/// Time ahead for which a level is extrapolated by its rate.
const RATE_HORIZON: Span = Span::millis(600);

/// An estimated value and its variance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub(super) mean: f32,
    pub(super) variance: f32,
}

/// The base headroom of the tasks of one step.
#[derive(Clone, Copy, Debug)]
struct Level {
    mean: f32,
    rate: f32,
    /// Variances of the mean and the rate, and their covariance.
    variance: f32,
    rate_variance: f32,
    covariance: f32,
    at: Timestamp,
}

impl Level {
    fn new(observed: Estimate, at: Timestamp) -> Self {
        Self {
            mean: observed.mean,
            rate: 0.0,
            variance: observed.variance + MEASUREMENT_VARIANCE,
            rate_variance: INITIAL_RATE_VARIANCE,
            covariance: 0.0,
            at,
        }
    }

    fn advance(&mut self, now: Timestamp) {
        let dt = now.since(self.at).0 as f32 / 1_000.0;
        self.at = self.at.max(now);
        self.mean = (self.mean + self.rate * dt).clamp(0.0, MAX_HEADROOM);
        self.variance += dt * (2.0 * self.covariance + dt * self.rate_variance);
        self.covariance += dt * self.rate_variance;
        self.rate_variance += dt * RATE_VARIANCE_GROWTH;
    }

    fn update(&mut self, observed: Estimate) {
        let noise = MEASUREMENT_VARIANCE + observed.variance;
        let weight = self.variance / (self.variance + noise);
        let rate_weight = self.covariance / (self.variance + noise);
        let error = observed.mean - self.mean;
        self.mean += weight * error;
        self.rate += rate_weight * error;
        self.rate_variance -= rate_weight * self.covariance;
        self.variance *= 1.0 - weight;
        self.covariance *= 1.0 - weight;
    }
}

/// Base headroom of all service tasks.
#[derive(Debug, Default)]
pub(super) struct Headrooms {
    levels: HashMap<StepKey, Level>,
    /// Base headroom at peak load, by image.
    min_headrooms: HashMap<ImageId, f32>,
}

impl Headrooms {
    /// Updates a step's level with a measured base headroom: the reported headroom plus the loss
    /// attributed to best-effort tasks.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        step: StepKey,
        image: ImageId,
        base: Estimate,
    ) {
        let level = self.levels.entry(step).or_insert(Level::new(base, now));
        level.advance(now);
        level.update(base);
        let min_headroom = self
            .min_headrooms
            .entry(image)
            .or_insert(INITIAL_MIN_HEADROOM);
        let is_below = level.mean < *min_headroom;
        *min_headroom += MIN_HEADROOM_STEP * (BELOW_MIN_FRACTION - f32::from(u8::from(is_below)));
    }

    /// The base headroom of a step's tasks at `now`, or the minimum headroom of their image if
    /// there is no measurement.
    pub(super) fn current(&self, now: Timestamp, step: StepKey, image: ImageId) -> Estimate {
        let Some(mut level) = self.levels.get(&step).copied() else {
            return Estimate {
                mean: self.min_headroom(image),
                variance: 1.0,
            };
        };
        level.advance(now);
        Estimate {
            mean: level.mean,
            variance: level.variance,
        }
    }

    /// The lower of the base headroom at `now` and after [`RATE_HORIZON`], the time until the next
    /// change of pace takes effect.
    pub(super) fn near_term(&self, now: Timestamp, step: StepKey, image: ImageId) -> f32 {
        let ahead = self.current(now + RATE_HORIZON, step, image).mean;
        ahead.min(self.current(now, step, image).mean)
    }

    /// The lowest base headroom expected within a span.
    pub(super) fn lowest_within(
        &self,
        now: Timestamp,
        step: StepKey,
        image: ImageId,
        span: Span,
    ) -> f32 {
        let near_term = self.near_term(now, step, image);
        let lowered = near_term - EXPECTED_FALL_PER_S * span.0 as f32 / 1_000.0;
        lowered.max(self.min_headroom(image)).min(near_term)
    }

    /// The learned minimum headroom of an image.
    pub(super) fn learned_min_headroom(&self, image: ImageId) -> Option<f32> {
        self.min_headrooms.get(&image).copied()
    }

    /// Restores a minimum headroom that an earlier owner learned.
    pub(super) fn restore_min_headroom(&mut self, image: ImageId, min_headroom: f32) {
        self.min_headrooms.insert(image, min_headroom);
    }

    fn min_headroom(&self, image: ImageId) -> f32 {
        self.learned_min_headroom(image)
            .unwrap_or(INITIAL_MIN_HEADROOM)
    }

    /// Removes the levels of a job's steps.
    pub(super) fn remove_job(&mut self, job: crate::JobKey) {
        self.levels.retain(|step, _| step.job != job);
    }
}
