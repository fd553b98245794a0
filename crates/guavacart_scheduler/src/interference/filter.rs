//! The Kalman filter of one service, over its undisturbed latency and the slopes of all classes.

use guavacart_types::{BatchClass, Span, Timestamp};

use super::estimator::Estimate;

/// Latency, as a share, that a whole worker of pressure of an unknown class is expected to add.
const PRIOR_SLOPE: f64 = 0.3;
/// Variance of an unknown pair's slope.
const PRIOR_VARIANCE: f64 = 1.0;
/// Time in which an estimate without new reports returns about two thirds of the way to the prior.
const MEMORY_SPAN: Span = Span::secs(300);
/// Initial and greatest noise: the variance of the logarithm of a latency that was measured over
/// [`FULL_SAMPLES`] requests.
const MAX_NOISE: f64 = 0.01;
/// Least noise, because latencies are reported in whole milliseconds.
const MIN_NOISE: f64 = 0.0004;
/// Weight of a report's squared residual in the running estimate of the noise.
const NOISE_GAIN: f64 = 0.02;
/// Number of requests from which a report has full weight.
const FULL_SAMPLES: f64 = 100.0;
/// Error, in standard deviations, beyond which a report contradicts the estimates.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// Share of a contradicting report's squared error that is added to the variances of the slopes.
const OUTLIER_GAIN: f64 = 0.3;
/// Variance that the logarithm of the undisturbed latency gains per second, because demand changes.
const BASELINE_DRIFT: f64 = 0.0025;
/// Initial and greatest variance of the logarithm of the undisturbed latency.
const BASELINE_VARIANCE: f64 = 4.0;
/// Least modelled factor on the latency, which bounds how far a class can appear to speed a service up.
const MIN_FACTOR: f64 = 0.5;

/// What is known of one service. Index 0 is the logarithm of its undisturbed latency; index `i + 1`
/// is the slope of class `i`.
#[derive(Debug)]
pub(super) struct Filter {
    classes: Vec<BatchClass>,
    means: Vec<f64>,
    covariances: Vec<Vec<f64>>,
    noise: f64,
    at: Timestamp,
    is_new: bool,
}

impl Filter {
    /// The estimate for a pair without reports.
    pub(super) const PRIOR: Estimate = Estimate {
        slope: PRIOR_SLOPE,
        deviation: PRIOR_VARIANCE,
    };

    pub(super) fn new(at: Timestamp) -> Self {
        Self {
            classes: Vec::new(),
            means: vec![0.0],
            covariances: vec![vec![BASELINE_VARIANCE]],
            noise: MAX_NOISE,
            at,
            is_new: true,
        }
    }

    /// Returns the estimate for a class, decayed towards the prior since the last report.
    pub(super) fn estimate(&self, now: Timestamp, class: &BatchClass) -> Estimate {
        let Some(index) = self.index(class) else {
            return Self::PRIOR;
        };
        let retained = retained(now.since(self.at));
        let variance = decayed(self.covariances[index][index], PRIOR_VARIANCE, retained);
        Estimate {
            slope: decayed(self.means[index], PRIOR_SLOPE, retained),
            deviation: variance.max(0.0).sqrt(),
        }
    }

    /// Updates the filter with the logarithm of a latency that was measured under `shares`. Returns how
    /// far the latency exceeds the undisturbed one, as a share of it.
    pub(super) fn learn(
        &mut self,
        at: Timestamp,
        log_latency: f64,
        samples: u32,
        shares: &[(&BatchClass, f64)],
    ) -> f64 {
        self.advance(at);
        let shares: Vec<(usize, f64)> = shares
            .iter()
            .map(|(class, share)| (self.index_or_insert(class), *share))
            .collect();
        let factor = self.factor(&shares);
        if self.is_new {
            self.means[0] = log_latency - factor.ln();
            self.is_new = false;
        }
        let error = log_latency - self.means[0] - factor.ln();
        let noise_scale = (FULL_SAMPLES / f64::from(samples.max(1))).max(1.0);
        let noise = self.noise * noise_scale;
        let gradient = self.gradient(&shares, factor);
        let error_variance = dot(&gradient, &self.covariance_times(&gradient)) + noise;
        if error.abs() > OUTLIER_DEVIATIONS * error_variance.sqrt() {
            self.inflate_variances(&shares, error);
        }
        self.update(&gradient, error, noise);
        let residual = log_latency - self.means[0] - self.factor(&shares).ln();
        let residual = (residual * residual / noise_scale).clamp(MIN_NOISE, MAX_NOISE);
        self.noise += NOISE_GAIN * (residual - self.noise);
        (log_latency - self.means[0]).exp() - 1.0
    }

    fn index(&self, class: &BatchClass) -> Option<usize> {
        let i = self.classes.iter().position(|known| known == class)?;
        Some(i + 1)
    }

    fn index_or_insert(&mut self, class: &BatchClass) -> usize {
        if let Some(index) = self.index(class) {
            return index;
        }
        self.classes.push(class.clone());
        self.means.push(PRIOR_SLOPE);
        for row in &mut self.covariances {
            row.push(0.0);
        }
        let mut row = vec![0.0; self.means.len()];
        row[self.classes.len()] = PRIOR_VARIANCE;
        self.covariances.push(row);
        self.classes.len()
    }

    /// Decays the slopes towards the prior and increases the variance of the undisturbed latency.
    fn advance(&mut self, at: Timestamp) {
        let age = at.since(self.at);
        self.at = self.at.max(at);
        let retained = retained(age);
        let len = self.means.len();
        for i in 1..len {
            self.means[i] = decayed(self.means[i], PRIOR_SLOPE, retained);
            for j in 1..len {
                let prior = if i == j { PRIOR_VARIANCE } else { 0.0 };
                self.covariances[i][j] = decayed(self.covariances[i][j], prior, retained);
            }
            self.covariances[0][i] *= retained.sqrt();
            self.covariances[i][0] *= retained.sqrt();
        }
        self.covariances[0][0] += BASELINE_DRIFT * age.0 as f64 / Span::secs(1).0 as f64;
    }

    /// Returns the modelled ratio of the latency under these shares to the undisturbed latency.
    fn factor(&self, shares: &[(usize, f64)]) -> f64 {
        let added = shares
            .iter()
            .map(|(index, share)| self.means[*index] * share);
        (1.0 + added.sum::<f64>()).max(MIN_FACTOR)
    }

    /// Returns the gradient of the modelled logarithm of the latency.
    fn gradient(&self, shares: &[(usize, f64)], factor: f64) -> Vec<f64> {
        let mut gradient = vec![0.0; self.means.len()];
        gradient[0] = 1.0;
        for (index, share) in shares {
            gradient[*index] = share / factor;
        }
        gradient
    }

    /// Returns the covariance matrix times `vector`.
    fn covariance_times(&self, vector: &[f64]) -> Vec<f64> {
        let rows = self.covariances.iter();
        rows.map(|row| dot(row, vector)).collect()
    }

    /// Increases the variances of everything that a contradicting report depends on.
    fn inflate_variances(&mut self, shares: &[(usize, f64)], error: f64) {
        let added = OUTLIER_GAIN * error * error;
        let baseline_added = error * error;
        self.covariances[0][0] = (self.covariances[0][0] + baseline_added).min(BASELINE_VARIANCE);
        for (index, _) in shares {
            let variance = self.covariances[*index][*index];
            self.covariances[*index][*index] = (variance + added).min(PRIOR_VARIANCE.max(variance));
        }
    }

    /// The update step of the filter.
    fn update(&mut self, gradient: &[f64], error: f64, noise: f64) {
        let cross_covariance = self.covariance_times(gradient);
        let error_variance = dot(gradient, &cross_covariance) + noise;
        let len = self.means.len();
        for i in 0..len {
            self.means[i] += cross_covariance[i] * error / error_variance;
            for j in 0..len {
                self.covariances[i][j] -=
                    cross_covariance[i] * cross_covariance[j] / error_variance;
            }
        }
    }
}

/// Returns the part of a value that remains after `age` of decay.
fn retained(age: Span) -> f64 {
    (-(age.0 as f64) / MEMORY_SPAN.0 as f64).exp()
}

/// Moves `value` towards `prior`, keeping the part `retained` of the difference.
fn decayed(value: f64, prior: f64, retained: f64) -> f64 {
    prior + (value - prior) * retained
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
