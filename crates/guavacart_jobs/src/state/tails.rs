//! Reads the reported tail latencies and learns from them.

use guavacart_types::{Span, Timestamp};

use super::{State, executors::Executor, headroom::Estimate, interference::ImageId, runs::Run};
use crate::StepKey;

/// Time ahead for which headroom must be available when a best-effort task is placed; the usual
/// length of these tasks.
const PLACING_HORIZON: Span = Span::millis(2_500);
/// Time constant of the exponential average that executors apply to tail latencies.
const TAIL_TIME_CONSTANT_MS: f32 = 250.0;
/// Averaged shares at or below this value are dropped.
const MIN_AVERAGED_SHARE: f32 = 0.001;
/// Largest rounding error of a reported tail latency.
const TAIL_ROUNDING_MS: f32 = 0.3;
/// Lowest tail latency that is distinguished.
const MIN_TAIL_MS: f32 = 0.5;

/// Tail latency, in percent of its target, up to which an owner that is behind does not read each
/// report of it.
const CALM_TAIL_PERCENT: u64 = 70;

/// Summary of the reports of the service tasks of one step on an executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepReport {
    pub(super) step: StepKey,
    pub(super) image: ImageId,
    /// Mean of target divided by tail latency.
    pub(super) headroom: f32,
    /// Variance of the headroom of one task, due to rounding.
    pub(super) variance: f32,
    count: f32,
}

impl Executor {
    /// Summarizes the reports of the service tasks by step. With `only_new`, includes only tail
    /// latencies that the model has not learned from.
    pub(super) fn step_reports(&self, only_new: bool) -> Vec<StepReport> {
        let mut reports: Vec<StepReport> = Vec::new();
        for (task, run) in &self.runs {
            if only_new && !run.is_tail_new {
                continue;
            }
            let (Some(target), Some(tail)) = (run.tail_target, run.tail_ms) else {
                continue;
            };
            if run.percent < 100 {
                continue;
            }
            let target = target.0 as f32;
            let headroom = target / (tail as f32).max(MIN_TAIL_MS);
            let error = headroom * headroom / target.max(1.0) * TAIL_ROUNDING_MS;
            match reports.iter_mut().find(|known| known.step == task.step) {
                Some(known) => {
                    known.count += 1.0;
                    known.headroom += (headroom - known.headroom) / known.count;
                }
                None => reports.push(StepReport {
                    step: task.step,
                    image: run.image,
                    headroom,
                    variance: error * error,
                    count: 1.0,
                }),
            }
        }
        reports
    }

    /// Highest tail latency relative to its target, in percent.
    pub(super) fn worst_percent(&self) -> u64 {
        let ratio = |run: &Run| Some(run.tail_ms? * 100 / run.tail_target?.0.max(1));
        self.runs.values().filter_map(ratio).max().unwrap_or(0)
    }

    /// True if all service tasks have reported tail latencies far below their targets.
    fn has_calm_tails(&self) -> bool {
        let mut services = self.runs.values().filter(|run| run.tail_target.is_some());
        services.all(|run| run.tail_ms.is_some()) && self.worst_percent() <= CALM_TAIL_PERCENT
    }

    /// Updates the averaged shares; called before best-effort tasks change and when tail latencies
    /// are read.
    pub(super) fn update_averaged_shares(&mut self, now: Timestamp) {
        let elapsed = now.since(self.averaged_until).0 as f32;
        self.averaged_until = self.averaged_until.max(now);
        let decay = (-elapsed / TAIL_TIME_CONSTANT_MS).exp();
        self.averaged_shares.retain_mut(|(_, share)| {
            *share *= decay;
            *share > MIN_AVERAGED_SHARE
        });
        for (image, share) in &self.best_effort_shares {
            let added = share * (1.0 - decay);
            match self
                .averaged_shares
                .iter_mut()
                .find(|(averaged, _)| averaged == image)
            {
                Some((_, averaged)) => *averaged += added,
                None => self.averaged_shares.push((*image, added)),
            }
        }
    }
}

impl State {
    /// True if each report of the executor's tail latencies is read, since best-effort tasks run
    /// beside its service tasks.
    pub(super) fn watches_tails_closely(&self, x: usize) -> bool {
        let executor = &self.executors[x];
        executor.has_service_tasks()
            && executor.best_effort_demand > 0
            && (!self.is_behind() || !executor.has_calm_tails())
    }

    /// Learns from the tail latencies that an executor has just reported.
    pub(super) fn learn(&mut self, x: usize) {
        let now = self.now;
        if !self.executors[x].has_service_tasks() {
            return;
        }
        self.executors[x].update_averaged_shares(now);
        let reports = self.executors[x].step_reports(true);
        let averaged = &self.executors[x].averaged_shares;
        for report in &reports {
            let loss = self.interference.estimated_loss(report.image, averaged);
            let before = self.headrooms.current(now, report.step, report.image);
            let base = Estimate {
                mean: report.headroom + loss.mean,
                variance: loss.variance + report.variance,
            };
            self.headrooms.observe(now, report.step, report.image, base);
            let observed_loss = Estimate {
                mean: before.mean - report.headroom,
                variance: before.variance + report.variance,
            };
            self.interference
                .learn(report.image, observed_loss, averaged);
        }
        let runs = self.executors[x].runs.values_mut();
        runs.for_each(|run| run.is_tail_new = false);
        let forecast = |report: StepReport| {
            let forecast =
                self.headrooms
                    .lowest_within(now, report.step, report.image, PLACING_HORIZON);
            (report.image, forecast)
        };
        let reports = self.executors[x].step_reports(false).into_iter();
        let forecasts: Vec<(ImageId, f32)> = reports.map(forecast).collect();
        for service in &mut self.executors[x].service_images {
            let matching = forecasts
                .iter()
                .filter(|(image, _)| *image == service.image);
            let least = matching
                .map(|(_, forecast)| *forecast)
                .min_by(f32::total_cmp);
            service.forecast = least.unwrap_or(service.forecast);
        }
    }
}
