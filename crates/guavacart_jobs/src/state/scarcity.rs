//! Weighs executors by the fillers that have few others to go to.
//!
//! A filler image that disturbs most serving images has few executors. Images that disturb none leave
//! these to it: each executor is given the load that all images would bring if each spread its work
//! evenly over the executors that bear it.

use std::collections::BTreeMap;

use guavacart_types::Span;

use super::{State, fleet::Executor, interference::ImageId};

/// Slope up to which a serving image bears a filler image; those seen lie well below or well above.
const BORNE_SLOPE: f32 = 3.0;
/// Part of the processors in use, in percent, under which room abounds.
const SLACK_PERCENT: u64 = 60;
/// How long the weights are kept.
const KEPT_FOR: Span = Span::millis(250);
/// Part of the load that seeks an executor that counts as if it were there, in percent.
const SOUGHT_PERCENT: f32 = 70.0;

impl State {
    /// Brings the weights up to date if they are old and fillers wait.
    pub(super) fn weigh_executors(&mut self) {
        if self.weigh_at > self.now {
            return;
        }
        self.weigh_at = self.now + KEPT_FOR;
        self.has_slack = self.finds_slack();
        let demands = self.filler_demands();
        let mut sought = vec![0.0_f32; self.fleet.len()];
        for (image, demand) in demands {
            let bears = |x: &usize| self.is_usable(*x) && self.bears(&self.fleet[*x], image);
            let bearing: Vec<usize> = (0..self.fleet.len()).filter(bears).collect();
            let room = |x: &usize| self.fleet[*x].capacity.processors.0;
            let room: u64 = bearing.iter().map(room).sum();
            let load = demand as f32 / room.max(1) as f32;
            bearing.iter().for_each(|x| sought[*x] += load);
        }
        for (executor, sought) in self.fleet.iter_mut().zip(sought) {
            executor.sought = (sought * SOUGHT_PERCENT * 10.0) as i64;
        }
    }

    /// True if a good part of the executors' processors is neither committed nor wished for.
    fn finds_slack(&self) -> bool {
        let usable = (0..self.fleet.len()).filter(|x| self.is_usable(*x));
        let (taken, all) = usable.fold((0, 0), |(taken, all), x| {
            let executor = &self.fleet[x];
            let here = executor.used.processors.0 + executor.filler_wish;
            (taken + here, all + executor.capacity.processors.0)
        });
        taken * 100 < all * SLACK_PERCENT
    }

    /// Processors that the fillers of each image wish for, those that wait included.
    fn filler_demands(&self) -> BTreeMap<ImageId, u64> {
        let mut demands = BTreeMap::new();
        let runs = self
            .fleet
            .iter()
            .flat_map(|executor| executor.runs.values());
        for run in runs.filter(|run| run.is_filler) {
            *demands.entry(run.image).or_default() += run.wish;
        }
        for key in &self.ready {
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = entry.step(*key);
            let waiting = entry.state(*key).map_or(0, |state| state.waiting.len());
            if step.is_filler {
                let image = self.interference.known(step.image.as_ref());
                let wish = step.size.processors.0 * u64::try_from(waiting).unwrap_or_default();
                *demands.entry(image).or_default() += wish;
            }
        }
        demands
    }

    /// True if every serving image there bears fillers of that image.
    fn bears(&self, executor: &Executor, filler: ImageId) -> bool {
        let mut serving = executor.serving_images.iter();
        serving.all(|serving| self.interference.slope(serving.image, filler) <= BORNE_SLOPE)
    }
}
