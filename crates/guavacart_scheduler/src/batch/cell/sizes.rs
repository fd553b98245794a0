//! Tasks that take more memory than they declared.

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
    /// Learns sizes from a worker's report, and stops what outgrew its declaration where the
    /// worker's memory does not suffice.
    pub(super) fn learn_sizes(&mut self, cx: &Cx<'_>, worker: &WorkerId, usage: &[UsageReport]) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        for (id, taken) in usage.iter().flat_map(|report| &report.tasks) {
            let job = self.ledger.jobs.get(&id.task.job);
            if let (Some(tracked), Some(job)) = (link.tracked.get_mut(id), job) {
                tracked.peak = tracked.peak.max(taken.memory);
                self.sizes.seen(&job.spec, taken.memory);
            }
        }
        self.stop_outgrown(cx, worker);
    }

    fn stop_outgrown(&mut self, cx: &Cx<'_>, worker: &WorkerId) {
        let (Some(listed), Some(link)) = (cx.directory.workers.get(worker), self.links.get(worker))
        else {
            return;
        };
        let mut taken = ByteSize::default();
        let mut outgrown = Vec::new();
        for (id, tracked) in link.tracked.iter().filter(|(_, t)| t.stop.is_none()) {
            let Some(job) = self.ledger.jobs.get(&id.task.job) else {
                continue;
            };
            let declared = job.spec.resources.memory;
            let holds = declared.max(tracked.peak);
            taken = ByteSize(taken.0.saturating_add(holds.0));
            if tracked.peak > declared {
                let beyond = tracked.peak.0 - declared.0;
                outgrown.push((beyond, holds, id.task.clone()));
            }
        }
        outgrown.sort();
        while taken > listed.capacity.memory
            && let Some((_, holds, task)) = outgrown.pop()
        {
            let alone = holds == taken;
            if alone {
                return;
            }
            taken = ByteSize(taken.0 - holds.0);
            self.stop(&task, StopReason::Outgrown);
        }
    }

    /// What a task is expected to take, but no more memory than the largest worker has.
    pub(super) fn expected_size(&self, spec: &JobSpec, largest: ByteSize) -> Resources {
        let memory = self.sizes.expect(spec).min(largest);
        let memory = memory.max(spec.resources.memory);
        Resources {
            memory,
            ..spec.resources
        }
    }

    /// Memory that running tasks are expected to take beyond what is committed on the worker.
    pub(super) fn beyond_committed(&self, worker: &WorkerId, largest: ByteSize) -> Resources {
        let tracked = self.links.get(worker).into_iter();
        let tracked = tracked.flat_map(|link| link.tracked.iter());
        let beyond = tracked.filter_map(|(id, tracked)| {
            let job = self.ledger.jobs.get(&id.task.job)?;
            let size = self.running_size(id, tracked, largest)?;
            size.minus(&job.spec.resources)
        });
        beyond.fold(Resources::default(), |sum, part| sum.plus(&part))
    }

    /// What a running task is expected to take.
    pub(super) fn running_size(
        &self,
        id: &AttemptId,
        tracked: &Tracked,
        largest: ByteSize,
    ) -> Option<Resources> {
        let job = self.ledger.jobs.get(&id.task.job)?;
        let expected = self.expected_size(&job.spec, largest);
        let memory = expected.memory.max(tracked.peak);
        Some(Resources { memory, ..expected })
    }

    /// The memory of the largest worker that the cell lists.
    pub(super) fn largest_memory(&self, cx: &Cx<'_>) -> ByteSize {
        let listed = self.listed(cx).into_iter();
        let memory = listed.map(|(_, listed)| listed.capacity.memory);
        memory.max().unwrap_or_default()
    }
}
