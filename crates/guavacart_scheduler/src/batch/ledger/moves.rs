//! Tasks that move between cells. Each move raises the attempt, so that a repeat shows as such.

use guavacart_types::{Attempt, CellId, JobId, TaskId};
use smol_str::{SmolStr, format_smolstr};

use super::{Ledger, task_mut};
use crate::batch::{
    job::{Job, Task, TaskState},
    journal::Received,
};

impl Ledger {
    /// A queued task leaves for another cell.
    pub(super) fn sent(
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
                "task {id} is sent while {state:?} with attempt {attempt}"
            ));
        }
        task.attempt = attempt;
        task.state = TaskState::HandedOff {
            to: to.clone(),
            acknowledged: false,
        };
        self.dequeue(key, id.index);
        self.moving.insert(id.job.clone());
        Ok(())
    }

    /// Tasks of another cell's job arrive.
    pub(super) fn received(&mut self, received: &Received) -> Result<(), SmolStr> {
        let id = &received.spec.id;
        if let Some(job) = self.jobs.get(id) {
            let newer = |(index, task): &(u32, Task)| {
                let held = job.tasks.get(index);
                held.is_none_or(|h| h.state.is_for_home() && h.attempt < task.attempt)
            };
            if job.home.is_none() || !received.tasks.iter().all(newer) {
                return Err(format_smolstr!(
                    "job {id} has tasks that are received twice"
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
                home: None,
                tasks: Default::default(),
            }
        });
        job.home = Some(received.home.clone());
        let key = (job.spec.priority, job.order);
        let cancelled = job.cancelled;
        self.moving.insert(id.clone());
        for (index, task) in &received.tasks {
            let mut task = task.clone();
            task.state = TaskState::Queued;
            let job = id.clone();
            let index = *index;
            self.hold(&job, index, task);
            self.enqueue(key, &TaskId { job, index });
        }
        match cancelled || received.cancelled {
            true => self.cancelled(id),
            false => Ok(()),
        }
    }

    /// Tasks come back to their home, run to an end elsewhere or not.
    pub(super) fn returned(&mut self, id: &JobId, tasks: &[(u32, Task)]) -> Result<(), SmolStr> {
        let job = self.jobs.get(id);
        let job =
            job.ok_or_else(|| format_smolstr!("tasks of job {id} return, but it is unknown"))?;
        let away = |(index, back): &(u32, Task)| {
            let task = job.tasks.get(index);
            let settled = back.state == TaskState::Queued || back.state.is_ended();
            settled
                && task.is_some_and(|task| {
                    matches!(task.state, TaskState::HandedOff { .. })
                        && task.attempt <= back.attempt
                })
        };
        if job.home.is_some() || !tasks.iter().all(away) {
            return Err(format_smolstr!("tasks of job {id} return twice"));
        }
        let key = (job.spec.priority, job.order);
        let cancelled = job.cancelled;
        for (index, back) in tasks {
            let mut task = back.clone();
            let queued = task.state == TaskState::Queued;
            if queued && cancelled {
                task.state = TaskState::Cancelled;
            }
            self.hold(id, *index, task);
            if queued && !cancelled {
                let job = id.clone();
                let index = *index;
                self.enqueue(key, &TaskId { job, index });
            }
        }
        self.review_end(id);
        Ok(())
    }

    /// The other cell holds the task from now on.
    pub(super) fn acknowledged(&mut self, id: &TaskId, attempt: Attempt) -> Result<(), SmolStr> {
        let job = self.job_mut(id)?;
        let guest = job.home.is_some();
        let task = task_mut(job, id)?;
        if task.attempt != attempt || !task.state.is_for_home() {
            let Task { state, attempt, .. } = task;
            return Err(format_smolstr!(
                "task {id} is acknowledged while {state:?} with attempt {attempt}"
            ));
        }
        if guest {
            self.drop_task(id);
            return Ok(());
        }
        if let TaskState::HandedOff { acknowledged, .. } = &mut task.state {
            *acknowledged = true;
        }
        Ok(())
    }

    /// Puts a task in place of what is known of it.
    fn hold(&mut self, id: &JobId, index: u32, task: Task) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let live = !task.state.is_ended();
        let before = job.tasks.insert(index, task);
        let was_live = before.is_some_and(|task| !task.state.is_ended());
        self.live_tasks = self.live_tasks + usize::from(live) - usize::from(was_live);
    }

    /// Forgets a task that its home holds again, and the job after its last task.
    fn drop_task(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let task = job.tasks.remove(&id.index);
        let was_live = task.is_some_and(|task| !task.state.is_ended());
        self.live_tasks -= usize::from(was_live);
        if job.tasks.is_empty() {
            self.jobs.remove(&id.job);
            self.suspects.remove(&id.job);
            self.moving.remove(&id.job);
        }
    }
}
