//! Call rates over time.

use std::time::Duration;

use rand::{Rng, rngs::StdRng};

/// Lowest rate that produces calls, in calls per second.
const MIN_RATE: f64 = 1e-9;

/// Calls per second as a function of time, linear between points.
#[derive(Clone, Debug)]
pub struct Schedule {
    points: Vec<(Duration, f64)>,
}

impl Schedule {
    /// Creates a schedule with a constant rate, in calls per second.
    pub fn constant(rate: f64) -> Self {
        Self::through(vec![(Duration::ZERO, rate)])
    }

    /// Creates a schedule that is linear between `points` and constant before the first and after
    /// the last. The points are in order of time.
    pub fn through(points: Vec<(Duration, f64)>) -> Self {
        Self { points }
    }

    /// Returns the rate at `at`, in calls per second.
    pub fn rate(&self, at: Duration) -> f64 {
        let after = self.points.partition_point(|(t, _)| *t <= at);
        let before = after.checked_sub(1).map(|i| self.points[i]);
        match (before, self.points.get(after)) {
            (Some((t0, rate0)), Some((t1, rate1))) => {
                let share = (at - t0).as_secs_f64() / (*t1 - t0).as_secs_f64();
                rate0 + (rate1 - rate0) * share
            }
            (Some((_, rate)), None) | (None, Some(&(_, rate))) => rate,
            (None, None) => 0.0,
        }
    }

    /// Returns the next arrival after `at` of a Poisson process with this rate; `None` if that is
    /// not before `end`.
    pub(super) fn next_arrival(
        &self,
        at: Duration,
        end: Duration,
        rng: &mut StdRng,
    ) -> Option<Duration> {
        let max_rate = self.points.iter().map(|(_, r)| *r).fold(0.0, f64::max);
        if max_rate < MIN_RATE {
            return None;
        }
        let mut t = at;
        loop {
            let uniform: f64 = rng.random();
            t += Duration::from_secs_f64(-(1.0 - uniform).ln() / max_rate);
            if t >= end {
                return None;
            }
            if rng.random::<f64>() * max_rate <= self.rate(t) {
                return Some(t);
            }
        }
    }
}
