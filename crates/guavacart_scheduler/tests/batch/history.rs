//! Checks the records of all cells against each other, in the order in which the store accepted
//! them.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_scheduler::batch::{
    job::{AttemptEnd, TaskState},
    journal::{Change, Record},
};
use guavacart_types::{CellId, JobId, Resources, TaskId};

/// The cell that holds each task, and the resources of all placed tasks.
#[derive(Debug, Default)]
pub(crate) struct History {
    holders: BTreeMap<TaskId, CellId>,
    sizes: BTreeMap<JobId, Resources>,
    placed: Resources,
    finished: BTreeSet<TaskId>,
    /// Number of tasks that a cell received from another cell.
    pub(crate) received: usize,
    /// Number of tasks that returned to their origin cell before they ended.
    pub(crate) returned_queued: usize,
}

impl History {
    /// Applies a record, and checks that each task is in one cell only and that the team stays
    /// within its quota.
    pub(crate) fn apply_record(
        &mut self,
        cell: &CellId,
        record: &Record,
        quota: Option<Resources>,
    ) {
        for change in &record.changes {
            self.apply_change(cell, change);
        }
        if let Some(quota) = quota {
            let placed = self.placed;
            assert!(placed.fits_in(&quota), "{placed} placed of {quota}");
        }
    }

    fn apply_change(&mut self, cell: &CellId, change: &Change) {
        match change {
            Change::Admitted(spec) => {
                let previous = self.sizes.insert(spec.id.clone(), spec.resources);
                assert!(previous.is_none(), "{} is admitted twice", spec.id);
                for index in 0..spec.tasks {
                    self.add_task(cell, &spec.id, index);
                }
            }
            Change::Placed { task, .. } => {
                assert_eq!(
                    self.holders.get(task),
                    Some(cell),
                    "{task} is placed by a cell that does not hold it"
                );
                self.placed = self.placed.plus(&self.sizes[&task.job]);
            }
            Change::Ended { task, end, .. } => {
                assert_eq!(
                    self.holders.get(task),
                    Some(cell),
                    "{task} ends in a cell that does not hold it"
                );
                self.placed = self.placed.minus(&self.sizes[&task.job]).unwrap();
                if *end == AttemptEnd::Finished {
                    let is_new = self.finished.insert(task.clone());
                    assert!(is_new, "{task} finishes twice");
                }
            }
            Change::Sent { task, .. } => {
                let holder = self.holders.remove(task);
                assert_eq!(
                    holder.as_ref(),
                    Some(cell),
                    "{task} is sent by a cell that does not hold it"
                );
            }
            Change::Received(received) => {
                for (index, _) in &received.tasks {
                    self.add_task(cell, &received.spec.id, *index);
                    self.received += 1;
                }
            }
            Change::Returned { job, tasks } => {
                for (index, task) in tasks {
                    if task.state == TaskState::Queued {
                        self.returned_queued += 1;
                    } else {
                        let job = job.clone();
                        let index = *index;
                        let holder = self.holders.remove(&TaskId { job, index });
                        assert_ne!(holder.as_ref(), Some(cell));
                    }
                    self.add_task(cell, job, *index);
                }
            }
            _ => {}
        }
    }

    fn add_task(&mut self, cell: &CellId, job: &JobId, index: u32) {
        let job = job.clone();
        let task = TaskId { job, index };
        let previous = self.holders.insert(task.clone(), cell.clone());
        assert!(previous.is_none(), "{task} is in {previous:?} and {cell}");
    }
}
