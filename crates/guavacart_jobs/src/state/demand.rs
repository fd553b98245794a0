//! Estimates the load that best-effort tasks will bring to each executor.
//!
//! An image of best-effort tasks that disturbs most service images can run on few executors. Images
//! that disturb no service image should leave these executors to it. Each executor is therefore
//! assigned the load that would result if every image spread its tasks evenly over the executors
//! that tolerate the image.

use std::collections::BTreeMap;

use guavacart_types::Span;

use super::{State, executors::Executor, interference::ImageId};
use crate::Step;

/// Slope up to which a service image tolerates a best-effort image. Observed slopes lie well below
/// or well above this value.
const TOLERATED_SLOPE: f32 = 3.0;
/// Part of the processors in use, in percent, below which processors count as plentiful.
const SLACK_PERCENT: u64 = 60;
/// Interval between two computations of the expected loads.
const UPDATE_INTERVAL: Span = Span::millis(250);
/// Weight of the expected load relative to load that is present, in percent.
const EXPECTED_LOAD_PERCENT: f32 = 70.0;

impl State {
    /// Recomputes the expected load of each executor if the last result is older than
    /// [`UPDATE_INTERVAL`].
    pub(super) fn update_expected_loads(&mut self) {
        if self.next_demand_update > self.now {
            return;
        }
        self.next_demand_update = self.now + UPDATE_INTERVAL;
        self.has_slack = self.is_slack_available();
        let expected_loads = self.expected_loads(self.best_effort_demands());
        for (executor, expected_load) in self.executors.iter_mut().zip(expected_loads) {
            executor.expected_load = expected_load;
        }
    }

    /// The expected loads that the next pass computes if these steps are ready then; `None` if it
    /// uses the present ones.
    pub(super) fn expected_loads_with<'a>(
        &self,
        steps: impl Iterator<Item = &'a Step>,
    ) -> Option<Vec<i64>> {
        let mut best_effort = steps.filter(|step| step.is_best_effort).peekable();
        if self.next_demand_update > self.now || best_effort.peek().is_none() {
            return None;
        }
        let mut demands = self.best_effort_demands();
        for step in best_effort {
            let image = self.interference.known_image(step.image.as_ref());
            let demand = step.resources.processors.0 * u64::from(step.task_count);
            *demands.entry(image).or_default() += demand;
        }
        Some(self.expected_loads(demands))
    }

    /// The load on each executor if every image spread its demand evenly over the executors that
    /// tolerate it.
    fn expected_loads(&self, demands: BTreeMap<ImageId, u64>) -> Vec<i64> {
        let mut expected_load = vec![0.0_f32; self.executors.len()];
        for (image, demand) in demands {
            let tolerates =
                |x: &usize| self.is_usable(*x) && self.tolerates(&self.executors[*x], image);
            let tolerant: Vec<usize> = (0..self.executors.len()).filter(tolerates).collect();
            let capacity = |x: &usize| self.executors[*x].capacity.processors.0;
            let capacity: u64 = tolerant.iter().map(capacity).sum();
            let load = demand as f32 / capacity.max(1) as f32;
            tolerant.iter().for_each(|x| expected_load[*x] += load);
        }
        let weighted = expected_load.into_iter();
        weighted
            .map(|load| (load * EXPECTED_LOAD_PERCENT * 10.0) as i64)
            .collect()
    }

    /// True if less than [`SLACK_PERCENT`] of the usable executors' processors are reserved or
    /// demanded by best-effort tasks.
    pub(super) fn is_slack_available(&self) -> bool {
        let usable = (0..self.executors.len()).filter(|x| self.is_usable(*x));
        let (claimed, total) = usable.fold((0, 0), |(claimed, total), x| {
            let executor = &self.executors[x];
            let used = executor.used.processors.0 + executor.best_effort_demand;
            (claimed + used, total + executor.capacity.processors.0)
        });
        claimed * 100 < total * SLACK_PERCENT
    }

    /// Processors that the running and waiting best-effort tasks of each image demand.
    fn best_effort_demands(&self) -> BTreeMap<ImageId, u64> {
        let mut demands = BTreeMap::new();
        let runs = self
            .executors
            .iter()
            .flat_map(|executor| executor.runs.values());
        for run in runs.filter(|run| run.is_best_effort) {
            *demands.entry(run.image).or_default() += run.processor_demand;
        }
        for key in &self.ready {
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = entry.step(*key);
            let waiting = entry.state(*key).map_or(0, |state| state.waiting.len());
            if step.is_best_effort {
                let image = self.interference.known_image(step.image.as_ref());
                let demand =
                    step.resources.processors.0 * u64::try_from(waiting).unwrap_or_default();
                *demands.entry(image).or_default() += demand;
            }
        }
        demands
    }

    /// True if every service image on the executor tolerates best-effort tasks of this image.
    fn tolerates(&self, executor: &Executor, best_effort: ImageId) -> bool {
        let mut images = executor.service_images.iter();
        images.all(|service| self.interference.slope(service.image, best_effort) <= TOLERATED_SLOPE)
    }
}
