//! The state that results from a cell's records: jobs, placements and resources in use.

mod handoffs;
mod shares;

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Attempt, CellId, Epoch, JobId, Resources, TaskId, TeamName, WorkerId};
use smol_str::{SmolStr, format_smolstr};

use super::{
    call::TaskCounts,
    job::{
        AttemptEnd, Job, JobSpec, MAX_ENDED_JOBS, MAX_FAILED_WORKERS, MAX_FAILURES, ParkReason,
        Priority, StopReason, Task, TaskState,
    },
    journal::{Change, Share, Snapshot},
};

/// Estimated bytes of a job in a snapshot, including its ended tasks.
const JOB_BYTES: usize = 200;
/// Estimated bytes of a task in a snapshot that has not ended.
const TASK_BYTES: usize = 24;

/// Position of a job in the queue: by priority, then by order of admission.
pub(super) type QueueKey = (Priority, u64);

/// The tasks of one job that wait for a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct WaitingTasks {
    pub(super) job: JobId,
    pub(super) indices: BTreeSet<u32>,
}

/// The tasks placed on one worker and the resources that they declared.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct WorkerTasks {
    pub(super) used: Resources,
    pub(super) tasks: BTreeMap<TaskId, Attempt>,
    /// Failed attempts since the last one that finished.
    pub(super) failures_in_a_row: u32,
}

/// The state of a cell after its records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Ledger {
    pub(super) epoch: Epoch,
    pub(super) next_order: u64,
    next_ended: u64,
    /// Ended jobs in order of ending.
    ended: BTreeMap<u64, JobId>,
    /// For each job that has failed and of which no task has finished: the workers where it failed.
    failed_on: BTreeMap<JobId, BTreeSet<WorkerId>>,
    /// Number of tasks that have not ended.
    pub(super) open_tasks: usize,
    /// Jobs with tasks that came from or went to another cell.
    pub(super) handed_off_jobs: BTreeSet<JobId>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) queue: BTreeMap<QueueKey, WaitingTasks>,
    pub(super) workers: BTreeMap<WorkerId, WorkerTasks>,
    /// Resources that each team's placed tasks declared.
    pub(super) teams: BTreeMap<TeamName, Resources>,
    /// The most that other cells may hold of the quotas that this cell divides.
    granted: BTreeMap<TeamName, BTreeMap<CellId, Share>>,
    /// The most that this cell may hold of the quotas that others divide.
    pub(super) allowed: BTreeMap<TeamName, Share>,
}

impl Ledger {
    /// Restores the ledger from a snapshot.
    pub(super) fn restore(snapshot: Snapshot) -> Self {
        let mut ledger = Self {
            epoch: snapshot.epoch,
            next_order: snapshot.next_order,
            next_ended: snapshot.next_ended,
            allowed: snapshot.allowed,
            granted: snapshot.granted,
            ..Self::default()
        };
        for (worker, failures) in snapshot.failing {
            ledger.worker_mut(&worker).failures_in_a_row = failures;
        }
        for job in snapshot.jobs {
            ledger.restore_job(job);
        }
        ledger
    }

    fn restore_job(&mut self, job: Job) {
        let key = (job.spec.priority, job.order);
        for (index, task) in &job.tasks {
            let id = job.task_id(*index);
            match &task.state {
                TaskState::Queued => self.enqueue(key, &id),
                TaskState::Placed { worker, .. } => {
                    self.allocate(worker, &job.spec, id, task.attempt);
                }
                _ => {}
            }
        }
        let handed_off = |task: &Task| matches!(task.state, TaskState::HandedOff { .. });
        if job.origin.is_some() || job.tasks.values().any(handed_off) {
            self.handed_off_jobs.insert(job.spec.id.clone());
        }
        let open = job.tasks.values().filter(|task| !task.state.is_ended());
        self.open_tasks += open.count();
        if let Some(ended) = job.ended {
            self.ended.insert(ended, job.spec.id.clone());
        }
        let finished = job.tasks.values().any(|t| t.state == TaskState::Finished);
        let failed_on: BTreeSet<WorkerId> = job
            .tasks
            .values()
            .flat_map(|task| task.failed_on.iter().cloned())
            .collect();
        if !finished && job.ended.is_none() && !failed_on.is_empty() {
            self.failed_on.insert(job.spec.id.clone(), failed_on);
        }
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Returns a snapshot of the state after record `through`.
    pub(super) fn snapshot(&self, through: u64) -> Snapshot {
        let failing = self.workers.iter();
        let failing = failing.filter(|(_, worker_tasks)| worker_tasks.failures_in_a_row > 0);
        Snapshot {
            through,
            epoch: self.epoch,
            next_order: self.next_order,
            next_ended: self.next_ended,
            granted: self.granted.clone(),
            allowed: self.allowed.clone(),
            jobs: self.jobs.values().cloned().collect(),
            failing: failing
                .map(|(id, worker_tasks)| (id.clone(), worker_tasks.failures_in_a_row))
                .collect(),
        }
    }

    /// Estimates the size of a snapshot, in bytes.
    pub(super) fn snapshot_bytes(&self) -> usize {
        self.jobs.len() * JOB_BYTES + self.open_tasks * TASK_BYTES
    }

    /// Applies one change.
    ///
    /// # Errors
    ///
    /// Returns a description of the contradiction if the change does not follow from the state; the
    /// state is then unchanged.
    pub(super) fn apply(&mut self, change: &Change) -> Result<(), SmolStr> {
        match change {
            Change::TakenOver(epoch) => self.apply_taken_over(*epoch),
            Change::Admitted(spec) => self.apply_admitted(spec),
            Change::Cancelled(job) => self.apply_cancelled(job),
            Change::Placed {
                task,
                attempt,
                worker,
            } => self.apply_placed(task, *attempt, worker),
            Change::Stopping {
                task,
                attempt,
                reason,
            } => self.apply_stopping(task, *attempt, *reason),
            Change::Ended { task, attempt, end } => self.apply_ended(task, *attempt, end),
            Change::Granted { team, cell, share } => self.apply_granted(team, cell, *share),
            Change::Allowed { team, share } => self.apply_allowed(team, *share),
            Change::Sent { task, attempt, to } => self.apply_sent(task, *attempt, to),
            Change::Received(received) => self.apply_received(received),
            Change::Returned { job, tasks } => self.apply_returned(job, tasks),
            Change::Acknowledged { task, attempt } => self.apply_acknowledged(task, *attempt),
        }
    }

    /// Returns the task if the cell knows it.
    pub(super) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.jobs.get(&id.job)?.tasks.get(&id.index)
    }

    /// Returns the worker on which exactly this attempt is placed, and why it is to stop if it is.
    pub(super) fn placement_of(
        &self,
        id: &TaskId,
        attempt: Attempt,
    ) -> Option<(&WorkerId, Option<StopReason>)> {
        let task = self.task(id)?;
        match &task.state {
            TaskState::Placed { worker, stopping } if task.attempt == attempt => {
                Some((worker, *stopping))
            }
            _ => None,
        }
    }

    /// Returns the resources that the tasks placed on a worker declared.
    pub(super) fn used(&self, worker: &WorkerId) -> Resources {
        self.workers
            .get(worker)
            .map_or(Resources::default(), |worker_tasks| worker_tasks.used)
    }

    /// Returns the resources that a team's placed tasks declared.
    pub(super) fn team_used(&self, team: &TeamName) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn apply_taken_over(&mut self, epoch: Epoch) -> Result<(), SmolStr> {
        if epoch <= self.epoch {
            let current = self.epoch;
            return Err(format_smolstr!(
                "epoch {epoch} is not greater than the current epoch {current}"
            ));
        }
        self.epoch = epoch;
        Ok(())
    }

    fn apply_admitted(&mut self, spec: &JobSpec) -> Result<(), SmolStr> {
        if self.jobs.contains_key(&spec.id) {
            return Err(format_smolstr!("job {} is admitted twice", spec.id));
        }
        let job = Job {
            spec: spec.clone(),
            order: self.next_order,
            cancelled: false,
            ended: None,
            origin: None,
            tasks: (0..spec.tasks).map(|i| (i, Task::default())).collect(),
        };
        self.next_order += 1;
        self.open_tasks += job.tasks.len();
        let waiting = WaitingTasks {
            job: spec.id.clone(),
            indices: (0..spec.tasks).collect(),
        };
        self.queue.insert((spec.priority, job.order), waiting);
        self.jobs.insert(spec.id.clone(), job);
        Ok(())
    }

    fn apply_cancelled(&mut self, id: &JobId) -> Result<(), SmolStr> {
        let job = self
            .jobs
            .get_mut(id)
            .ok_or_else(|| format_smolstr!("job {id} is cancelled, but it is unknown"))?;
        job.cancelled = true;
        for task in job.tasks.values_mut() {
            match &mut task.state {
                TaskState::Queued => {
                    task.state = TaskState::Cancelled;
                    self.open_tasks -= 1;
                }
                TaskState::Placed { stopping, .. } => *stopping = Some(StopReason::Cancelled),
                _ => {}
            }
        }
        let key = (job.spec.priority, job.order);
        self.queue.remove(&key);
        self.record_job_end(id);
        Ok(())
    }

    fn apply_placed(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        worker: &WorkerId,
    ) -> Result<(), SmolStr> {
        let job = self.job_mut(id)?;
        let key = (job.spec.priority, job.order);
        let spec = job.spec.clone();
        let task = task_mut(job, id)?;
        if task.state != TaskState::Queued || attempt != task.attempt.next() {
            let Task { state, attempt, .. } = task;
            return Err(format_smolstr!(
                "task {id} is placed, but its state is {state:?} at attempt {attempt}"
            ));
        }
        task.attempt = attempt;
        task.state = TaskState::Placed {
            worker: worker.clone(),
            stopping: None,
        };
        self.dequeue(key, id.index);
        self.allocate(worker, &spec, id.clone(), attempt);
        Ok(())
    }

    fn apply_stopping(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        reason: StopReason,
    ) -> Result<(), SmolStr> {
        let job = self.job_mut(id)?;
        let task = task_mut(job, id)?;
        match &mut task.state {
            TaskState::Placed { stopping, .. } if task.attempt == attempt => {
                *stopping = Some(stopping.unwrap_or(reason));
                Ok(())
            }
            state => Err(format_smolstr!(
                "task {id} is stopped, but its state is {state:?}"
            )),
        }
    }

    fn apply_ended(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        end: &AttemptEnd,
    ) -> Result<(), SmolStr> {
        let Some((worker, _)) = self.placement_of(id, attempt) else {
            return Err(format_smolstr!(
                "attempt {attempt} of task {id} ends, but it is not placed on a worker"
            ));
        };
        let worker = worker.clone();
        let job = self.job_mut(id)?;
        let key = (job.spec.priority, job.order);
        let spec = job.spec.clone();
        let cancelled = job.cancelled;
        let task = task_mut(job, id)?;
        record_attempt_end(task, &worker, end);
        task.state = next_state(task, cancelled, end);
        let queued = task.state == TaskState::Queued;
        self.release(&worker, &spec, id);
        match end {
            AttemptEnd::Finished => self.clear_failures(&worker, &id.job),
            AttemptEnd::Failed => self.count_failure(&worker, &id.job),
            _ => {}
        }
        if queued {
            self.enqueue(key, id);
        } else {
            self.open_tasks -= 1;
            self.record_job_end(&id.job);
        }
        Ok(())
    }

    /// Clears the failures counted against a worker and a job after a task finished.
    fn clear_failures(&mut self, worker: &WorkerId, job: &JobId) {
        self.worker_mut(worker).failures_in_a_row = 0;
        self.failed_on.remove(job);
    }

    /// Counts a failure against the worker unless the job itself is the likely cause.
    ///
    /// A job of which no task has finished is the likely cause once it has failed on more than
    /// [`MAX_FAILED_WORKERS`] workers.
    fn count_failure(&mut self, worker: &WorkerId, job: &JobId) {
        let has_finished_task = self.jobs.get(job).is_some_and(|job| {
            let mut tasks = job.tasks.values();
            tasks.any(|task| task.state == TaskState::Finished)
        });
        let mut other_workers = 0;
        if !has_finished_task {
            let failed_workers = self.failed_on.entry(job.clone()).or_default();
            failed_workers.insert(worker.clone());
            other_workers = failed_workers.len() - 1;
        }
        if other_workers < MAX_FAILED_WORKERS {
            self.worker_mut(worker).failures_in_a_row += 1;
        }
    }

    /// Records a job as ended if no task is open, and forgets the oldest ended job beyond the limit.
    ///
    /// Only in the job's origin cell; another cell drops its tasks once they are returned.
    fn record_job_end(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.origin.is_some() || job.ended.is_some() || !job.is_ended() {
            return;
        }
        job.ended = Some(self.next_ended);
        self.ended.insert(self.next_ended, id.clone());
        self.next_ended += 1;
        self.failed_on.remove(id);
        self.handed_off_jobs.remove(id);
        if self.ended.len() > MAX_ENDED_JOBS
            && let Some((_, oldest)) = self.ended.pop_first()
        {
            self.jobs.remove(&oldest);
        }
    }

    /// Returns the job of a task if both are known.
    fn job_mut(&mut self, id: &TaskId) -> Result<&mut Job, SmolStr> {
        let job = self.jobs.get_mut(&id.job);
        job.filter(|job| job.tasks.contains_key(&id.index))
            .ok_or_else(|| format_smolstr!("task {id} is unknown"))
    }

    fn worker_mut(&mut self, worker: &WorkerId) -> &mut WorkerTasks {
        self.workers.entry(worker.clone()).or_default()
    }

    fn enqueue(&mut self, key: QueueKey, id: &TaskId) {
        let waiting = self.queue.entry(key).or_insert_with(|| WaitingTasks {
            job: id.job.clone(),
            indices: BTreeSet::new(),
        });
        waiting.indices.insert(id.index);
    }

    fn dequeue(&mut self, key: QueueKey, index: u32) {
        if let Some(waiting) = self.queue.get_mut(&key) {
            waiting.indices.remove(&index);
            if waiting.indices.is_empty() {
                self.queue.remove(&key);
            }
        }
    }

    /// Adds an attempt and its resources to its worker and team.
    fn allocate(&mut self, worker: &WorkerId, spec: &JobSpec, id: TaskId, attempt: Attempt) {
        let worker_tasks = self.worker_mut(worker);
        worker_tasks.used = worker_tasks.used.plus(&spec.resources);
        worker_tasks.tasks.insert(id, attempt);
        let team = self.teams.entry(spec.team.clone()).or_default();
        *team = team.plus(&spec.resources);
    }

    /// Removes an attempt and its resources from its worker and team.
    fn release(&mut self, worker: &WorkerId, spec: &JobSpec, id: &TaskId) {
        let worker_tasks = self.worker_mut(worker);
        worker_tasks.used = worker_tasks.used.minus(&spec.resources).unwrap_or_default();
        worker_tasks.tasks.remove(id);
        let team = self.teams.entry(spec.team.clone()).or_default();
        *team = team.minus(&spec.resources).unwrap_or_default();
    }
}

fn task_mut<'a>(job: &'a mut Job, id: &TaskId) -> Result<&'a mut Task, SmolStr> {
    let task = job.tasks.get_mut(&id.index);
    task.ok_or_else(|| format_smolstr!("task {id} is unknown"))
}

/// Updates the task's failures or checkpoint after an attempt ended.
fn record_attempt_end(task: &mut Task, worker: &WorkerId, end: &AttemptEnd) {
    match end {
        AttemptEnd::Failed => {
            task.failures += 1;
            if !task.failed_on.contains(worker) {
                task.failed_on.push(worker.clone());
            }
        }
        AttemptEnd::Stopped {
            checkpoint: Some(name),
        } => task.checkpoint = Some(name.clone()),
        _ => {}
    }
}

/// Returns the task's state after an attempt ended: ended, parked after too many failures or queued.
fn next_state(task: &Task, cancelled: bool, end: &AttemptEnd) -> TaskState {
    if *end == AttemptEnd::Finished {
        return TaskState::Finished;
    }
    if cancelled {
        return TaskState::Cancelled;
    }
    if task.failed_on.len() >= MAX_FAILED_WORKERS {
        return TaskState::Parked(ParkReason::FailedOn(task.failed_on.clone()));
    }
    if task.failures >= MAX_FAILURES {
        return TaskState::Parked(ParkReason::FailedTimes(task.failures));
    }
    TaskState::Queued
}

/// Counts a job's tasks by state.
pub(super) fn counts(job: &Job) -> TaskCounts {
    let mut counts = TaskCounts::default();
    for task in job.tasks.values() {
        let count = match &task.state {
            TaskState::Queued => &mut counts.queued,
            TaskState::Placed { .. } => &mut counts.placed,
            TaskState::Finished => &mut counts.finished,
            TaskState::Cancelled => &mut counts.cancelled,
            TaskState::Parked(_) => &mut counts.parked,
            TaskState::HandedOff { .. } => &mut counts.elsewhere,
        };
        *count += 1;
    }
    counts
}
