//! What the records of all cells, in the order in which the store took them, must add up to.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_scheduler::batch::{
    job::{AttemptEnd, TaskState},
    journal::{Change, Record},
};
use guavacart_types::{CellId, JobId, Resources, TaskId};

/// Which cell holds each task, and what all cells have placed.
#[derive(Debug, Default)]
pub(crate) struct History {
    holders: BTreeMap<TaskId, CellId>,
    shapes: BTreeMap<JobId, Resources>,
    placed: Resources,
    finished: BTreeSet<TaskId>,
    /// Tasks that another cell received.
    pub(crate) received: usize,
    /// Tasks that went home without having run to an end elsewhere.
    pub(crate) given_back: usize,
}

impl History {
    /// Adds a record, and checks that each task is in one cell and the team within its quota.
    pub(crate) fn note(&mut self, cell: &CellId, record: &Record, quota: Option<Resources>) {
        for change in &record.changes {
            self.change(cell, change);
        }
        if let Some(quota) = quota {
            let placed = self.placed;
            assert!(placed.fits_in(&quota), "{placed} placed of {quota}");
        }
    }

    fn change(&mut self, cell: &CellId, change: &Change) {
        match change {
            Change::Admitted(spec) => {
                let again = self.shapes.insert(spec.id.clone(), spec.resources);
                assert!(again.is_none(), "{} is admitted twice", spec.id);
                for index in 0..spec.tasks {
                    self.arrive(cell, &spec.id, index);
                }
            }
            Change::Placed { task, .. } => {
                assert_eq!(self.holders.get(task), Some(cell), "{task} is placed");
                self.placed = self.placed.plus(&self.shapes[&task.job]);
            }
            Change::Ended { task, end, .. } => {
                assert_eq!(self.holders.get(task), Some(cell), "{task} ends");
                self.placed = self.placed.minus(&self.shapes[&task.job]).unwrap();
                if *end == AttemptEnd::Finished {
                    let fresh = self.finished.insert(task.clone());
                    assert!(fresh, "{task} finishes twice");
                }
            }
            Change::Sent { task, .. } => {
                let holder = self.holders.remove(task);
                assert_eq!(holder.as_ref(), Some(cell), "{task} is sent");
            }
            Change::Received(received) => {
                for (index, _) in &received.tasks {
                    self.arrive(cell, &received.spec.id, *index);
                    self.received += 1;
                }
            }
            Change::Returned { job, tasks } => {
                for (index, task) in tasks {
                    if task.state == TaskState::Queued {
                        self.given_back += 1;
                    } else {
                        let job = job.clone();
                        let index = *index;
                        let holder = self.holders.remove(&TaskId { job, index });
                        assert_ne!(holder.as_ref(), Some(cell));
                    }
                    self.arrive(cell, job, *index);
                }
            }
            _ => {}
        }
    }

    fn arrive(&mut self, cell: &CellId, job: &JobId, index: u32) {
        let job = job.clone();
        let task = TaskId { job, index };
        let other = self.holders.insert(task.clone(), cell.clone());
        assert!(other.is_none(), "{task} is in {other:?} and {cell}");
    }
}
