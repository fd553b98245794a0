//! Spreading a job's tasks over racks or data centres, and ordering the queue by deadline.

use std::collections::BTreeMap;

use guavacart_types::{JobId, Timestamp, WorkerId};

use super::{Cell, schedule::Pass};
use crate::{
    Cx,
    batch::{
        job::{JobSpec, Spread, TaskState},
        ledger::QueueKey,
        placement::Candidate,
    },
};

impl Cell {
    /// Counts the job's placed tasks in each candidate's rack or data centre, if the job is spread.
    pub(super) fn count_nearby_tasks(&self, pass: &mut Pass, spec: &JobSpec) {
        for candidate in &mut pass.candidates {
            candidate.nearby_tasks = 0;
        }
        let Some(job) = self
            .ledger
            .jobs
            .get(&spec.id)
            .filter(|_| spec.spread.is_some())
        else {
            return;
        };
        let mut placed: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        for task in job.tasks.values() {
            if let TaskState::Placed { worker, .. } = &task.state {
                *placed.entry(worker).or_default() += 1;
            }
        }
        for index in 0..pass.candidates.len() {
            let count = placed.get(&pass.candidates[index].worker);
            for _ in 0..count.copied().unwrap_or(0) {
                pass.add_nearby_task(spec.spread, index);
            }
        }
    }

    /// Returns the waiting jobs in order of priority, deadline and admission.
    pub(super) fn ordered_queue(&mut self, cx: &Cx<'_>) -> Vec<QueueKey> {
        let mut before = std::mem::take(&mut self.deadlines);
        let mut queue: Vec<(QueueKey, Option<Timestamp>)> = Vec::new();
        for (key, waiting) in &self.ledger.queue {
            let deadline = self.deadline_of(cx, &mut before, &waiting.job);
            if let Some(deadline) = deadline {
                self.deadlines.insert(waiting.job.clone(), deadline);
            }
            queue.push((*key, deadline));
        }
        if !self.deadlines.is_empty() {
            let latest = Timestamp(u64::MAX);
            queue.sort_by_key(|((priority, order), deadline)| {
                (*priority, deadline.unwrap_or(latest), *order)
            });
        }
        queue.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns when a job should be done, counted from when this owner first saw it wait.
    fn deadline_of(
        &self,
        cx: &Cx<'_>,
        before: &mut BTreeMap<JobId, Timestamp>,
        id: &JobId,
    ) -> Option<Timestamp> {
        let known = before.remove(id);
        let deadline = self.ledger.jobs.get(id)?.spec.deadline?;
        Some(known.unwrap_or(cx.now + deadline))
    }
}

impl Pass {
    /// Counts one more task of the job for all candidates in the chosen one's rack or data centre.
    pub(super) fn add_nearby_task(&mut self, spread: Option<Spread>, chosen: usize) {
        let Some(spread) = spread else {
            return;
        };
        let rack = self.candidates[chosen].rack.clone();
        let data_centre = self.candidates[chosen].data_centre.clone();
        let in_same_domain = |candidate: &&mut Candidate| match spread {
            Spread::Rack => candidate.rack == rack,
            Spread::DataCentre => candidate.data_centre == data_centre,
        };
        for candidate in self.candidates.iter_mut().filter(in_same_domain) {
            candidate.nearby_tasks += 1;
        }
    }
}
