//! Rates of calls over time.

use std::time::Duration;

use rand::{Rng, rngs::StdRng};

/// Rate that counts as none, in calls a second.
const NO_RATE: f64 = 1e-9;

/// Calls a second as a function of time, linear between points.
#[derive(Clone, Debug)]
pub struct Schedule {
    points: Vec<(Duration, f64)>,
}

impl Schedule {
    /// The same rate all the time.
    pub fn constant(rate: f64) -> Self {
        Self::through(vec![(Duration::ZERO, rate)])
    }

    /// Linear between `points`, given in order of time; constant before and after them.
    pub fn through(points: Vec<(Duration, f64)>) -> Self {
        Self { points }
    }

    /// The rate at a time.
    pub fn rate(&self, at: Duration) -> f64 {
        let after = self.points.partition_point(|(t, _)| *t <= at);
        let before = after.checked_sub(1).map(|i| self.points[i]);
        match (before, self.points.get(after)) {
            (Some((t0, r0)), Some((t1, r1))) => {
                let share = (at - t0).as_secs_f64() / (*t1 - t0).as_secs_f64();
                r0 + (r1 - r0) * share
            }
            (Some((_, rate)), None) | (None, Some(&(_, rate))) => rate,
            (None, None) => 0.0,
        }
    }

    /// The next arrival after `at` of a Poisson process with this rate; none from `end` on.
    pub(super) fn next(&self, at: Duration, end: Duration, rng: &mut StdRng) -> Option<Duration> {
        let most = self.points.iter().map(|(_, r)| *r).fold(0.0, f64::max);
        if most < NO_RATE {
            return None;
        }
        let mut t = at;
        loop {
            let uniform: f64 = rng.random();
            t += Duration::from_secs_f64(-(1.0 - uniform).ln() / most);
            if t >= end {
                return None;
            }
            if rng.random::<f64>() * most <= self.rate(t) {
                return Some(t);
            }
        }
    }
}
