//! What a cell's records add up to: jobs, places and what is committed on each worker.

mod moves;
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

/// Estimated bytes of a job in a snapshot, with the tasks that have ended.
const JOB_BYTES: usize = 200;
/// Estimated bytes of a task in a snapshot.
const TASK_BYTES: usize = 24;

/// Place of a job in the queue: urgent jobs first, then in order of admission.
pub(super) type QueueKey = (Priority, u64);

/// Tasks of one job that wait for a place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Waiting {
    pub(super) job: JobId,
    pub(super) indices: BTreeSet<u32>,
}

/// What is committed on one worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Places {
    pub(super) used: Resources,
    pub(super) tasks: BTreeMap<TaskId, Attempt>,
    /// Failed attempts since the last one that finished.
    pub(super) failures_in_a_row: u32,
}

/// The sum of a cell's records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Ledger {
    pub(super) epoch: Epoch,
    pub(super) next_order: u64,
    next_ended: u64,
    ended: BTreeMap<u64, JobId>,
    /// Workers on which jobs failed of which no task has finished yet.
    suspects: BTreeMap<JobId, BTreeSet<WorkerId>>,
    /// Tasks that wait or hold a place.
    pub(super) live_tasks: usize,
    /// Jobs with tasks that came from or went to another cell.
    pub(super) moving: BTreeSet<JobId>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) queue: BTreeMap<QueueKey, Waiting>,
    pub(super) workers: BTreeMap<WorkerId, Places>,
    pub(super) teams: BTreeMap<TeamName, Resources>,
    /// What other cells may hold of the quotas that this cell divides.
    granted: BTreeMap<TeamName, BTreeMap<CellId, Share>>,
    /// What this cell may hold of the quotas that others divide.
    pub(super) allowed: BTreeMap<TeamName, Share>,
}

impl Ledger {
    /// The ledger at a snapshot.
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
            ledger.places(&worker).failures_in_a_row = failures;
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
                    self.commit(worker, &job.spec, id, task.attempt);
                }
                _ => {}
            }
        }
        let away = |task: &Task| matches!(task.state, TaskState::HandedOff { .. });
        if job.home.is_some() || job.tasks.values().any(away) {
            self.moving.insert(job.spec.id.clone());
        }
        let live = job.tasks.values().filter(|task| !task.state.is_ended());
        self.live_tasks += live.count();
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
            self.suspects.insert(job.spec.id.clone(), failed_on);
        }
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// The snapshot after record `through`.
    pub(super) fn snapshot(&self, through: u64) -> Snapshot {
        let failing = self.workers.iter();
        let failing = failing.filter(|(_, places)| places.failures_in_a_row > 0);
        Snapshot {
            through,
            epoch: self.epoch,
            next_order: self.next_order,
            next_ended: self.next_ended,
            granted: self.granted.clone(),
            allowed: self.allowed.clone(),
            jobs: self.jobs.values().cloned().collect(),
            failing: failing
                .map(|(id, places)| (id.clone(), places.failures_in_a_row))
                .collect(),
        }
    }

    /// Estimated bytes of a snapshot.
    pub(super) fn snapshot_bytes(&self) -> usize {
        self.jobs.len() * JOB_BYTES + self.live_tasks * TASK_BYTES
    }

    /// Applies one change.
    ///
    /// # Errors
    ///
    /// Says what does not follow from the state; nothing has changed then.
    pub(super) fn apply(&mut self, change: &Change) -> Result<(), SmolStr> {
        match change {
            Change::TakenOver(epoch) => self.taken_over(*epoch),
            Change::Admitted(spec) => self.admitted(spec),
            Change::Cancelled(job) => self.cancelled(job),
            Change::Placed {
                task,
                attempt,
                worker,
            } => self.placed(task, *attempt, worker),
            Change::Stopping {
                task,
                attempt,
                reason,
            } => self.stopping(task, *attempt, *reason),
            Change::Ended { task, attempt, end } => self.ended(task, *attempt, end),
            Change::Granted { team, cell, share } => self.grant(team, cell, *share),
            Change::Allowed { team, share } => self.allow(team, *share),
            Change::Sent { task, attempt, to } => self.sent(task, *attempt, to),
            Change::Received(received) => self.received(received),
            Change::Returned { job, tasks } => self.returned(job, tasks),
            Change::Acknowledged { task, attempt } => self.acknowledged(task, *attempt),
        }
    }

    /// The task, if its job is known.
    pub(super) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.jobs.get(&id.job)?.tasks.get(&id.index)
    }

    /// The worker that holds this very attempt, and whether it is asked to stop.
    pub(super) fn place_of(
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

    /// What is committed on a worker.
    pub(super) fn used(&self, worker: &WorkerId) -> Resources {
        self.workers
            .get(worker)
            .map_or(Resources::default(), |places| places.used)
    }

    /// What a team's tasks hold.
    pub(super) fn team_used(&self, team: &TeamName) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn taken_over(&mut self, epoch: Epoch) -> Result<(), SmolStr> {
        if epoch <= self.epoch {
            let current = self.epoch;
            return Err(format_smolstr!("epoch {epoch} follows epoch {current}"));
        }
        self.epoch = epoch;
        Ok(())
    }

    fn admitted(&mut self, spec: &JobSpec) -> Result<(), SmolStr> {
        if self.jobs.contains_key(&spec.id) {
            return Err(format_smolstr!("job {} is admitted twice", spec.id));
        }
        let job = Job {
            spec: spec.clone(),
            order: self.next_order,
            cancelled: false,
            ended: None,
            home: None,
            tasks: (0..spec.tasks).map(|i| (i, Task::default())).collect(),
        };
        self.next_order += 1;
        self.live_tasks += job.tasks.len();
        let waiting = Waiting {
            job: spec.id.clone(),
            indices: (0..spec.tasks).collect(),
        };
        self.queue.insert((spec.priority, job.order), waiting);
        self.jobs.insert(spec.id.clone(), job);
        Ok(())
    }

    fn cancelled(&mut self, id: &JobId) -> Result<(), SmolStr> {
        let job = self
            .jobs
            .get_mut(id)
            .ok_or_else(|| format_smolstr!("job {id} is cancelled but unknown"))?;
        job.cancelled = true;
        for task in job.tasks.values_mut() {
            match &mut task.state {
                TaskState::Queued => {
                    task.state = TaskState::Cancelled;
                    self.live_tasks -= 1;
                }
                TaskState::Placed { stopping, .. } => *stopping = Some(StopReason::Cancelled),
                _ => {}
            }
        }
        let key = (job.spec.priority, job.order);
        self.queue.remove(&key);
        self.review_end(id);
        Ok(())
    }

    fn placed(&mut self, id: &TaskId, attempt: Attempt, worker: &WorkerId) -> Result<(), SmolStr> {
        let job = self.job_mut(id)?;
        let key = (job.spec.priority, job.order);
        let spec = job.spec.clone();
        let task = task_mut(job, id)?;
        if task.state != TaskState::Queued || attempt != task.attempt.next() {
            let Task { state, attempt, .. } = task;
            return Err(format_smolstr!(
                "task {id} is placed while {state:?} with attempt {attempt}"
            ));
        }
        task.attempt = attempt;
        task.state = TaskState::Placed {
            worker: worker.clone(),
            stopping: None,
        };
        self.dequeue(key, id.index);
        self.commit(worker, &spec, id.clone(), attempt);
        Ok(())
    }

    fn stopping(
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
            state => Err(format_smolstr!("task {id} is stopped while {state:?}")),
        }
    }

    fn ended(&mut self, id: &TaskId, attempt: Attempt, end: &AttemptEnd) -> Result<(), SmolStr> {
        let Some((worker, _)) = self.place_of(id, attempt) else {
            return Err(format_smolstr!("attempt {attempt} of task {id} ends twice"));
        };
        let worker = worker.clone();
        let job = self.job_mut(id)?;
        let key = (job.spec.priority, job.order);
        let spec = job.spec.clone();
        let cancelled = job.cancelled;
        let task = task_mut(job, id)?;
        note_end(task, &worker, end);
        task.state = next_state(task, cancelled, end);
        let queued = task.state == TaskState::Queued;
        self.free(&worker, &spec, id);
        match end {
            AttemptEnd::Finished => self.worked(&worker, &id.job),
            AttemptEnd::Failed => self.failed(&worker, &id.job),
            _ => {}
        }
        if queued {
            self.enqueue(key, id);
        } else {
            self.live_tasks -= 1;
            self.review_end(&id.job);
        }
        Ok(())
    }

    fn worked(&mut self, worker: &WorkerId, job: &JobId) {
        self.places(worker).failures_in_a_row = 0;
        self.suspects.remove(job);
    }

    /// Counts a failure against the worker unless the job fails wherever it goes.
    fn failed(&mut self, worker: &WorkerId, job: &JobId) {
        let proven = self.jobs.get(job).is_some_and(|job| {
            let mut tasks = job.tasks.values();
            tasks.any(|task| task.state == TaskState::Finished)
        });
        let mut elsewhere = 0;
        if !proven {
            let suspects = self.suspects.entry(job.clone()).or_default();
            suspects.insert(worker.clone());
            elsewhere = suspects.len() - 1;
        }
        if elsewhere < MAX_FAILED_WORKERS {
            self.places(worker).failures_in_a_row += 1;
        }
    }

    /// Notes that a job ended, and forgets the one that ended first if there are too many.
    fn review_end(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.home.is_some() || job.ended.is_some() || !job.is_ended() {
            return;
        }
        job.ended = Some(self.next_ended);
        self.ended.insert(self.next_ended, id.clone());
        self.next_ended += 1;
        self.suspects.remove(id);
        self.moving.remove(id);
        if self.ended.len() > MAX_ENDED_JOBS
            && let Some((_, oldest)) = self.ended.pop_first()
        {
            self.jobs.remove(&oldest);
        }
    }

    fn job_mut(&mut self, id: &TaskId) -> Result<&mut Job, SmolStr> {
        let job = self.jobs.get_mut(&id.job);
        job.filter(|job| job.tasks.contains_key(&id.index))
            .ok_or_else(|| format_smolstr!("task {id} is unknown"))
    }

    fn places(&mut self, worker: &WorkerId) -> &mut Places {
        self.workers.entry(worker.clone()).or_default()
    }

    fn enqueue(&mut self, key: QueueKey, id: &TaskId) {
        let waiting = self.queue.entry(key).or_insert_with(|| Waiting {
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

    fn commit(&mut self, worker: &WorkerId, spec: &JobSpec, id: TaskId, attempt: Attempt) {
        let places = self.places(worker);
        places.used = places.used.plus(&spec.resources);
        places.tasks.insert(id, attempt);
        let team = self.teams.entry(spec.team.clone()).or_default();
        *team = team.plus(&spec.resources);
    }

    fn free(&mut self, worker: &WorkerId, spec: &JobSpec, id: &TaskId) {
        let places = self.places(worker);
        places.used = places.used.minus(&spec.resources).unwrap_or_default();
        places.tasks.remove(id);
        let team = self.teams.entry(spec.team.clone()).or_default();
        *team = team.minus(&spec.resources).unwrap_or_default();
    }
}

fn task_mut<'a>(job: &'a mut Job, id: &TaskId) -> Result<&'a mut Task, SmolStr> {
    let task = job.tasks.get_mut(&id.index);
    task.ok_or_else(|| format_smolstr!("task {id} is unknown"))
}

fn note_end(task: &mut Task, worker: &WorkerId, end: &AttemptEnd) {
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

/// Counts a job's tasks by where they stand.
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
