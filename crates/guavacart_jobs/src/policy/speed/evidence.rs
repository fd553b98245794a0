//! Compares a run with the usual duration of like tasks, and derives what it says about its executor.

use guavacart_types::Span;

use crate::{QueueName, TaskKey};

/// Factor on the usual duration from which on a run counts for a slow executor. It lies halfway between
/// usual tasks, of up to 2 times the usual duration, and tasks at a quarter of the speed, which
/// take at least 2 times as long.
const SLOW_FACTOR: f32 = 2.0;
/// Weight of a run that can be compared only with the estimate of its step, which may be wrong.
const ESTIMATE_WEIGHT: f32 = 0.5;
/// Binary logarithm of the factor by which the tasks of a step may exceed their estimates before the
/// step itself counts as slow: somewhat more than the 1.6 by which an estimate is off.
const MAX_ESTIMATE_ERROR: f32 = 0.9;
/// Binary logarithm of the factor by which a run may look slower among its step than by its estimate. The
/// first tasks of a step that end are its shortest ones.
const STEP_TOLERANCE: f32 = 0.68;
/// Runs of a step, and of a queue, from which on their mean is used.
const MIN_STEP_RUNS: u16 = 5;
const MIN_QUEUE_RUNS: u16 = 10;
/// Runs over which a mean is taken, so that it follows changes.
const MAX_MEAN_RUNS: u16 = 200;
/// Runs after which a run moves a mean by at most a factor of 2 from where it is.
const MEAN_SETTLING_RUNS: u16 = 5;
/// Distance from the mean that is assumed at first: the median of tasks that are evenly spread over
/// factors of up to 2 either way.
const FIRST_SPREAD: f32 = 0.5;
/// Distances from the mean, in medians, from which on a run counts for a slow executor. Where half of the
/// tasks take 4 times as long as the others, a run of 2 times the usual duration shows nothing.
const SLOW_SPREADS: f32 = 1.4;
/// Runs over which the first value of the spread loses its weight, and the least step after that.
const SPREAD_SETTLING_RUNS: u16 = 20;
const MIN_SPREAD_STEP: f32 = 0.01;
/// Time by which a run must exceed the usual duration, since ends are reported with a delay.
const MIN_EXCESS: Span = Span::millis(250);

/// Mean ratio of duration to estimate, as a binary logarithm, of similar tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualRatio {
    log2: f32,
    runs: u16,
}

/// The durations of a queue's tasks, compared with their estimates.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueRatios {
    mean: UsualRatio,
    /// Median distance from the mean.
    spread: f32,
}

impl Default for QueueRatios {
    fn default() -> Self {
        Self {
            mean: UsualRatio::default(),
            spread: FIRST_SPREAD,
        }
    }
}

impl QueueRatios {
    /// Learns from a run that has ended. The median moves by a small step towards each distance, so that
    /// a minority of slow runs hardly moves it.
    pub(super) fn learn(&mut self, log2: f32) {
        let distance = (log2 - self.mean.log2).abs();
        if self.mean.runs >= MEAN_SETTLING_RUNS {
            let step = 1.0 / f32::from(self.mean.runs + SPREAD_SETTLING_RUNS);
            self.spread += step.max(MIN_SPREAD_STEP) * (distance - self.spread).signum();
        }
        self.mean.learn(log2);
    }

    /// Mean of the queue, once it is known.
    fn mean(&self) -> Option<f32> {
        self.mean.if_known(MIN_QUEUE_RUNS)
    }

    /// Binary logarithm of the factor from which on a run counts for a slow executor.
    fn slow_log2(&self) -> f32 {
        SLOW_FACTOR.log2().max(self.spread * SLOW_SPREADS)
    }
}

impl UsualRatio {
    pub(super) fn learn(&mut self, log2: f32) {
        let bounded = if self.runs >= MEAN_SETTLING_RUNS {
            log2.clamp(self.log2 - 1.0, self.log2 + 1.0)
        } else {
            log2
        };
        self.runs = (self.runs + 1).min(MAX_MEAN_RUNS);
        self.log2 += (bounded - self.log2) / f32::from(self.runs);
    }

    fn if_known(&self, min_runs: u16) -> Option<f32> {
        (self.runs >= min_runs).then_some(self.log2)
    }
}

/// A run that has ended, or that goes on and has taken this long.
#[derive(Clone, Debug)]
pub(crate) struct TimedRun<'a> {
    pub(crate) task: TaskKey,
    pub(crate) queue: &'a QueueName,
    pub(crate) estimate: Span,
    /// Ratio of the tasks of the step.
    pub(crate) step: UsualRatio,
    /// Most tasks of the step that have started have ended, so that the mean is not that of the shortest
    /// ones.
    pub(crate) is_step_representative: bool,
    /// Shortest time that the run can have taken.
    pub(crate) at_least: Span,
    /// Longest time that the run can have taken; `None` while it goes on.
    pub(crate) at_most: Option<Span>,
    pub(crate) counted: Counted,
}

/// What a run has counted so far for a slow executor, or against one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Counted {
    #[default]
    Nothing,
    /// The run does not count, since the estimates of its job have counted before.
    Ignored,
    Amount(f32),
}

/// What a run says about its executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    /// Binary logarithm of the factor by which the run is slower than usual.
    pub(super) log2: f32,
    /// Above 0 for a slow executor, below 0 against one.
    pub(super) amount: f32,
    pub(super) is_by_estimate: bool,
}

impl Evidence {
    /// The evidence of a run that tries a marked executor again. If it is fast, it counts fully, since
    /// trials are few and a slow executor fails most of them.
    pub(super) fn of_trial(self) -> Self {
        let is_weak = self.is_by_estimate && self.amount < 0.0;
        let weight = if is_weak { ESTIMATE_WEIGHT } else { 1.0 };
        Self {
            amount: self.amount / weight,
            ..self
        }
    }
}

impl TimedRun<'_> {
    /// Ratio of the shortest possible duration to the estimate, as a binary logarithm.
    pub(super) fn least_ratio(&self) -> f32 {
        self.ratio(self.at_least)
    }

    fn ratio(&self, taken: Span) -> f32 {
        (taken.0.max(1) as f32 / self.estimate.0.max(1) as f32).log2()
    }

    /// Compares a duration with the usual one; `None` while too little is known.
    ///
    /// A step whose tasks are all much slower than their estimate ran on slow executors. Its tasks are
    /// then compared with their estimates, as the first tasks of a step are. A task that is slow among
    /// its step must not be fast by its estimate.
    fn evidence(&self, taken: Span, ratios: &QueueRatios) -> Option<Evidence> {
        let (queue, slow_log2) = (ratios.mean(), ratios.slow_log2());
        let ratio = self.ratio(taken);
        let step = self.step.if_known(MIN_STEP_RUNS);
        let step = step.filter(|step| {
            let is_plausible = queue.is_none_or(|queue| step - queue <= MAX_ESTIMATE_ERROR);
            self.is_step_representative && is_plausible
        });
        let by_estimate = queue.map(|queue| ratio - queue);
        let log2 = match (step, by_estimate) {
            (Some(step), Some(by_estimate)) if ratio - step > slow_log2 => {
                let tolerated = (by_estimate + STEP_TOLERANCE).max(slow_log2);
                (ratio - step).min(tolerated)
            }
            (Some(step), _) => ratio - step,
            (None, by_estimate) => by_estimate?,
        };
        let is_by_estimate = step.is_none();
        let weight = if is_by_estimate { ESTIMATE_WEIGHT } else { 1.0 };
        Some(Evidence {
            log2,
            amount: (weight * (log2 - slow_log2)).clamp(-weight, 1.0),
            is_by_estimate,
        })
    }

    /// The evidence of the run: for a slow executor by the shortest time that it can have taken, and
    /// against one by the longest.
    pub(super) fn judge(&self, ratios: &QueueRatios) -> Option<Evidence> {
        let slow = self.evidence(self.at_least, ratios)?;
        let usual = self.at_least.0 as f32 / slow.log2.exp2();
        let excess = self.at_least.0 as f32 - usual;
        if slow.amount > 0.0 && excess >= MIN_EXCESS.0 as f32 {
            return Some(slow);
        }
        let fast = self.evidence(self.at_most?, ratios)?;
        Some(Evidence {
            amount: fast.amount.min(0.0),
            ..fast
        })
    }
}
