//! Memory use of tasks, and tasks that use more memory than they declared.

use guavacart_types::{ByteSize, Resources, WorkerId};

use super::Cell;
use crate::{
    Cx,
    batch::{
        job::{JobSpec, StopReason},
        link::Tracked,
        worker::{AttemptId, UsageReport},
    },
};

impl Cell {
    /// Records the memory use that a worker reports.
    ///
    /// If the worker's memory does not suffice, stops tasks that use more than they declared.
    pub(super) fn record_memory_use(
        &mut self,
        cx: &Cx<'_>,
        worker: &WorkerId,
        usage: &[UsageReport],
    ) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        for (id, measured) in usage.iter().flat_map(|report| &report.tasks) {
            let job = self.ledger.jobs.get(&id.task.job);
            if let (Some(tracked), Some(job)) = (link.tracked.get_mut(id), job) {
                tracked.peak = tracked.peak.max(measured.memory);
                self.memory_estimates.observe(&job.spec, measured.memory);
            }
        }
        self.stop_tasks_over_memory(cx, worker);
    }

    /// Stops the tasks furthest above their declared memory until the others fit on the worker.
    ///
    /// A task that is the only one left keeps running.
    fn stop_tasks_over_memory(&mut self, cx: &Cx<'_>, worker: &WorkerId) {
        let (Some(listed), Some(link)) = (cx.directory.workers.get(worker), self.links.get(worker))
        else {
            return;
        };
        let mut total = ByteSize::default();
        let mut over_memory = Vec::new();
        for (id, tracked) in link.tracked.iter().filter(|(_, t)| t.stop_change.is_none()) {
            let Some(job) = self.ledger.jobs.get(&id.task.job) else {
                continue;
            };
            let declared = job.spec.resources.memory;
            let counted = declared.max(tracked.peak);
            total = ByteSize(total.0.saturating_add(counted.0));
            if tracked.peak > declared {
                let excess = tracked.peak.0 - declared.0;
                over_memory.push((excess, counted, id.task.clone()));
            }
        }
        over_memory.sort();
        while total > listed.capacity.memory
            && let Some((_, counted, task)) = over_memory.pop()
        {
            let is_only_task = counted == total;
            if is_only_task {
                return;
            }
            total = ByteSize(total.0 - counted.0);
            self.stop(&task, StopReason::MemoryExceeded);
        }
    }

    /// Returns the resources that a task is expected to use.
    ///
    /// Expected memory above the declared amount is limited to that of the largest worker.
    pub(super) fn expected_size(&self, spec: &JobSpec, max_memory: ByteSize) -> Resources {
        let memory = self.memory_estimates.expect(spec).min(max_memory);
        let memory = memory.max(spec.resources.memory);
        Resources {
            memory,
            ..spec.resources
        }
    }

    /// Returns the memory that running tasks are expected to use beyond what they declared.
    pub(super) fn undeclared_use(&self, worker: &WorkerId, max_memory: ByteSize) -> Resources {
        let tracked = self.links.get(worker).into_iter();
        let tracked = tracked.flat_map(|link| link.tracked.iter());
        let excess = tracked.filter_map(|(id, tracked)| {
            let job = self.ledger.jobs.get(&id.task.job)?;
            let size = self.running_size(id, tracked, max_memory)?;
            size.minus(&job.spec.resources)
        });
        excess.fold(Resources::default(), |sum, part| sum.plus(&part))
    }

    /// Returns the resources that a running task is expected to use, at least its peak so far.
    pub(super) fn running_size(
        &self,
        id: &AttemptId,
        tracked: &Tracked,
        max_memory: ByteSize,
    ) -> Option<Resources> {
        let job = self.ledger.jobs.get(&id.task.job)?;
        let expected = self.expected_size(&job.spec, max_memory);
        let memory = expected.memory.max(tracked.peak);
        Some(Resources { memory, ..expected })
    }

    /// Returns the memory of the largest listed worker of the cell.
    pub(super) fn max_worker_memory(&self, cx: &Cx<'_>) -> ByteSize {
        let listed = self.listed_workers(cx).into_iter();
        let memory = listed.map(|(_, listed)| listed.capacity.memory);
        memory.max().unwrap_or_default()
    }
}
