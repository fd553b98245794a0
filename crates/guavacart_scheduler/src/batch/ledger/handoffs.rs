//! Changes that hand tasks off between cells.
//!
//! Each hand-off raises the task's attempt, which identifies a repeated message.

use guavacart_types::{Attempt, CellId, JobId, TaskId};
use smol_str::{SmolStr, format_smolstr};

use super::{Ledger, task_mut};
use crate::batch::{
    job::{Job, Task, TaskState},
    journal::Received,
};

impl Ledger {
    /// Hands a queued task off to another cell.
    pub(super) fn apply_sent(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        to: &CellId,
    ) -> Result<(), SmolStr> {
        let job = self.job_mut(id)?;
        let key = (job.spec.priority, job.order);
        let task = task_mut(job, id)?;
        if task.state != TaskState::Queued || attempt != task.attempt.next() {
            let Task { state, attempt, .. } = task;
            return Err(format_smolstr!(
                "task {id} is sent to another cell, but its state is {state:?} at attempt {attempt}"
            ));
        }
        task.attempt = attempt;
        task.state = TaskState::HandedOff {
            to: to.clone(),
            acknowledged: false,
        };
        self.dequeue(key, id.index);
        self.handed_off_jobs.insert(id.job.clone());
        Ok(())
    }

    /// Adds tasks of a job that was submitted to another cell.
    pub(super) fn apply_received(&mut self, received: &Received) -> Result<(), SmolStr> {
        let id = &received.spec.id;
        if let Some(job) = self.jobs.get(id) {
            let newer = |(index, task): &(u32, Task)| {
                let held = job.tasks.get(index);
                held.is_none_or(|h| h.state.is_for_origin() && h.attempt < task.attempt)
            };
            if job.origin.is_none() || !received.tasks.iter().all(newer) {
                return Err(format_smolstr!(
                    "tasks of job {id} are received, but this cell already holds them or is the job's origin"
                ));
            }
        }
        let next_order = &mut self.next_order;
        let job = self.jobs.entry(id.clone()).or_insert_with(|| {
            let order = *next_order;
            *next_order += 1;
            Job {
                spec: received.spec.clone(),
                order,
                cancelled: false,
                ended: None,
                origin: None,
                tasks: Default::default(),
            }
        });
        job.origin = Some(received.origin.clone());
        let key = (job.spec.priority, job.order);
        let cancelled = job.cancelled;
        self.handed_off_jobs.insert(id.clone());
        for (index, task) in &received.tasks {
            let mut task = task.clone();
            task.state = TaskState::Queued;
            let job = id.clone();
            let index = *index;
            self.insert_task(&job, index, task);
            self.enqueue(key, &TaskId { job, index });
        }
        match cancelled || received.cancelled {
            true => self.apply_cancelled(id),
            false => Ok(()),
        }
    }

    /// Takes back tasks from another cell, ended there or still queued.
    pub(super) fn apply_returned(
        &mut self,
        id: &JobId,
        tasks: &[(u32, Task)],
    ) -> Result<(), SmolStr> {
        let job = self.jobs.get(id);
        let job = job.ok_or_else(|| {
            format_smolstr!("tasks of job {id} are returned, but the job is unknown")
        })?;
        let can_return = |(index, returned): &(u32, Task)| {
            let task = job.tasks.get(index);
            let settled = returned.state == TaskState::Queued || returned.state.is_ended();
            settled
                && task.is_some_and(|task| {
                    matches!(task.state, TaskState::HandedOff { .. })
                        && task.attempt <= returned.attempt
                })
        };
        if job.origin.is_some() || !tasks.iter().all(can_return) {
            return Err(format_smolstr!(
                "tasks of job {id} are returned, but this cell does not await them in this state"
            ));
        }
        let key = (job.spec.priority, job.order);
        let cancelled = job.cancelled;
        for (index, returned) in tasks {
            let mut task = returned.clone();
            let queued = task.state == TaskState::Queued;
            if queued && cancelled {
                task.state = TaskState::Cancelled;
            }
            self.insert_task(id, *index, task);
            if queued && !cancelled {
                let job = id.clone();
                let index = *index;
                self.enqueue(key, &TaskId { job, index });
            }
        }
        self.record_job_end(id);
        Ok(())
    }

    /// Records that the other cell durably holds the task.
    ///
    /// If the job was submitted there, this cell drops the task.
    pub(super) fn apply_acknowledged(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
    ) -> Result<(), SmolStr> {
        let job = self.job_mut(id)?;
        let foreign = job.origin.is_some();
        let task = task_mut(job, id)?;
        if task.attempt != attempt || !task.state.is_for_origin() {
            let Task { state, attempt, .. } = task;
            return Err(format_smolstr!(
                "task {id} is acknowledged, but its state is {state:?} at attempt {attempt}"
            ));
        }
        if foreign {
            self.remove_task(id);
            return Ok(());
        }
        if let TaskState::HandedOff { acknowledged, .. } = &mut task.state {
            *acknowledged = true;
        }
        Ok(())
    }

    /// Inserts a task or replaces the one at its index.
    fn insert_task(&mut self, id: &JobId, index: u32, task: Task) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_open = !task.state.is_ended();
        let before = job.tasks.insert(index, task);
        let was_open = before.is_some_and(|task| !task.state.is_ended());
        self.open_tasks = self.open_tasks + usize::from(is_open) - usize::from(was_open);
    }

    /// Removes a task that its origin cell holds again, and the job with its last task.
    fn remove_task(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let task = job.tasks.remove(&id.index);
        let was_open = task.is_some_and(|task| !task.state.is_ended());
        self.open_tasks -= usize::from(was_open);
        if job.tasks.is_empty() {
            self.jobs.remove(&id.job);
            self.failed_on.remove(&id.job);
            self.handed_off_jobs.remove(&id.job);
        }
    }
}
