//! Reads the tails that executors report, and learns from them.

use guavacart_types::{Span, Timestamp};

use super::{
    State,
    fleet::{Executor, Run},
    headroom::Estimate,
    interference::ImageId,
};
use crate::StepKey;

/// Time for which headroom is looked for when a filler is placed; a usual filler's length.
const PLACING_HORIZON: Span = Span::millis(2_500);
/// Time over which a reported tail is averaged, as the time constant
/// of a mean that fades.
const FELT_OVER_MS: f32 = 250.0;
/// Averaged share under which a filler is not felt any more.
const LEAST_FELT: f32 = 0.001;
/// Part of a millisecond by which a reported tail may be off, by rounding.
const ROUNDING_MS: f32 = 0.3;
/// Least tail that is told apart, in milliseconds.
const LEAST_TAIL_MS: f32 = 0.5;

/// What the serving tasks of one step on an executor report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reported {
    pub(super) step: StepKey,
    pub(super) image: ImageId,
    /// Mean target over tail.
    pub(super) headroom: f32,
    /// Variance of one of them, by rounding.
    pub(super) variance: f32,
    count: f32,
}

impl Executor {
    /// What its serving tasks report, by step; only what is new if asked for.
    pub(super) fn reported(&self, is_new: bool) -> Vec<Reported> {
        let mut reported: Vec<Reported> = Vec::new();
        for (task, run) in &self.runs {
            if is_new && !run.is_tail_new {
                continue;
            }
            let (Some(target), Some(tail)) = (run.tail_target, run.tail_ms) else {
                continue;
            };
            if run.percent < 100 {
                continue;
            }
            let target = target.0 as f32;
            let headroom = target / (tail as f32).max(LEAST_TAIL_MS);
            let off = headroom * headroom / target.max(1.0) * ROUNDING_MS;
            match reported.iter_mut().find(|known| known.step == task.step) {
                Some(known) => {
                    known.count += 1.0;
                    known.headroom += (headroom - known.headroom) / known.count;
                }
                None => reported.push(Reported {
                    step: task.step,
                    image: run.image,
                    headroom,
                    variance: off * off,
                    count: 1.0,
                }),
            }
        }
        reported
    }

    /// Worst tail over its target, in percent.
    pub(super) fn worst_percent(&self) -> u64 {
        let ratio = |run: &Run| Some(run.tail_ms? * 100 / run.tail_target?.0.max(1));
        self.runs.values().filter_map(ratio).max().unwrap_or(0)
    }

    /// Brings the averaged shares up to date; called before fillers change and when tails are read.
    pub(super) fn feel(&mut self, now: Timestamp) {
        let span = now.since(self.felt_until).0 as f32;
        self.felt_until = self.felt_until.max(now);
        let kept = (-span / FELT_OVER_MS).exp();
        self.felt_shares.retain_mut(|(_, share)| {
            *share *= kept;
            *share > LEAST_FELT
        });
        for (image, share) in &self.filler_shares {
            let added = share * (1.0 - kept);
            match self.felt_shares.iter_mut().find(|(felt, _)| felt == image) {
                Some((_, felt)) => *felt += added,
                None => self.felt_shares.push((*image, added)),
            }
        }
    }
}

impl State {
    /// Learns from the tails that an executor has just reported.
    pub(super) fn learn(&mut self, x: usize) {
        let now = self.now;
        if !self.fleet[x].serves() {
            return;
        }
        self.fleet[x].feel(now);
        let reported = self.fleet[x].reported(true);
        let felt = &self.fleet[x].felt_shares;
        for row in &reported {
            let lost = self.interference.estimate(row.image, felt);
            let before = self.headrooms.now(now, row.step, row.image);
            let own = Estimate {
                mean: row.headroom + lost.mean,
                variance: lost.variance + row.variance,
            };
            self.headrooms.take(now, row.step, row.image, own);
            let taken = Estimate {
                mean: before.mean - row.headroom,
                variance: before.variance + row.variance,
            };
            self.interference.learn(row.image, taken, felt);
        }
        let runs = self.fleet[x].runs.values_mut();
        runs.for_each(|run| run.is_tail_new = false);
        let outlook = |row: Reported| {
            let outlook = self
                .headrooms
                .within(now, row.step, row.image, PLACING_HORIZON);
            (row.image, outlook)
        };
        let reported = self.fleet[x].reported(false).into_iter();
        let outlooks: Vec<(ImageId, f32)> = reported.map(outlook).collect();
        for serving in &mut self.fleet[x].serving_images {
            let mine = outlooks.iter().filter(|(image, _)| *image == serving.image);
            let least = mine.map(|(_, outlook)| *outlook).min_by(f32::total_cmp);
            serving.outlook = least.unwrap_or(serving.outlook);
        }
    }
}
