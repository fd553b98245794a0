//! Submitters' calls to the cell: submit, query, cancel and list jobs.

use guavacart_types::{JobId, Resources, TeamName};
use smol_str::ToSmolStr;

use super::{Cell, Outputs, Phase, handoffs::cell_can_hold, listed_workers, reply};
use crate::{
    Cx,
    batch::{
        call::{
            JobCall, JobReply, JobStatus, JobSummary, NotAccepted, RejectReason, ReplyTo,
            TaskStatus,
        },
        decision::Decision,
        job::{Job, JobSpec, MAX_PAYLOAD_BYTES, MAX_TASKS_PER_JOB, Task, TaskState},
        journal::Change,
        ledger::counts,
    },
};

/// Greatest number of tasks of one cell that have not ended.
const MAX_OPEN_TASKS: usize = 20_000;
/// Greatest number of tasks listed in the status of one job.
const MAX_STATUS_TASKS: usize = 100;

impl Cell {
    /// Handles a call and replies once the state that the reply reports is durable.
    ///
    /// A refusal reports no change and is sent at once.
    pub(in crate::batch) fn call(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        reply_to: ReplyTo,
        call: JobCall,
    ) {
        if let Some(reason) = self.not_ready_reason(cx) {
            reply(outputs, reply_to, JobReply::NotAccepted(reason));
            return;
        }
        let answer = match call {
            JobCall::Submit(spec) => self.submit(cx, *spec),
            JobCall::Query(id) => self.status(&id),
            JobCall::Cancel(ids) => match self.cancel(cx, &ids) {
                JobReply::Cancelled(_) => {
                    self.add_cancellation(cx, outputs, reply_to, ids);
                    return self.act(cx, outputs);
                }
                refused => refused,
            },
            JobCall::List(team) => self.list(team.as_ref()),
        };
        match answer {
            JobReply::Rejected(_) | JobReply::NotAccepted(_) => reply(outputs, reply_to, answer),
            _ => self.reply_when_durable(cx, outputs, reply_to, answer),
        }
        self.act(cx, outputs);
    }

    /// Returns why the cell accepts no calls now, if it does not.
    fn not_ready_reason(&self, cx: &Cx<'_>) -> Option<NotAccepted> {
        if self.stopped.is_some() {
            return Some(NotAccepted::CellStopped);
        }
        let acting = self.phase == Phase::Acting && cx.membership.may_act(cx.now);
        (!acting).then_some(NotAccepted::NoOwner)
    }

    /// Admits a job; a repeat of a known job with the same content gets the same reply.
    fn submit(&mut self, cx: &Cx<'_>, spec: JobSpec) -> JobReply {
        if let Some(job) = self.ledger.jobs.get(&spec.id) {
            return match job.spec == spec {
                _ if job.origin.is_some() => JobReply::NotAccepted(NotAccepted::HeldElsewhere),
                true => JobReply::Accepted(summary(job)),
                false => JobReply::Conflict(spec.id),
            };
        }
        if let Some(reason) = rejection(cx, &spec) {
            return JobReply::Rejected(reason);
        }
        if self.is_store_unavailable(cx.now) || cx.stopping {
            return JobReply::NotAccepted(NotAccepted::StoreUnavailable);
        }
        if self.ledger.open_tasks + spec.tasks as usize > MAX_OPEN_TASKS {
            return JobReply::NotAccepted(NotAccepted::CellFull);
        }
        let id = spec.id.clone();
        self.journal_change(Change::Admitted(Box::new(spec)));
        self.dirty = true;
        match self.ledger.jobs.get(&id) {
            Some(job) => JobReply::Accepted(summary(job)),
            None => JobReply::Unknown,
        }
    }

    /// Cancels those of the cell's own jobs that have not ended.
    fn cancel(&mut self, cx: &Cx<'_>, ids: &[JobId]) -> JobReply {
        let open = |job: &Job| !job.cancelled && job.ended.is_none() && job.origin.is_none();
        let known = ids.iter().filter_map(|id| self.own_job(id));
        let needs_record = known.into_iter().any(open);
        if needs_record && self.is_store_unavailable(cx.now) {
            return JobReply::NotAccepted(NotAccepted::StoreUnavailable);
        }
        for id in ids {
            if self.ledger.jobs.get(id).is_some_and(open) {
                self.journal_change(Change::Cancelled(id.clone()));
                self.mark_cancelled(id);
            }
        }
        self.cancel_reply(ids)
    }

    /// Builds the reply to a cancellation: a summary of each of the cell's own jobs.
    pub(super) fn cancel_reply(&self, ids: &[JobId]) -> JobReply {
        let known = ids.iter().filter_map(|id| self.own_job(id));
        JobReply::Cancelled(known.map(summary).collect())
    }

    /// Returns a job that was submitted to this cell, not one handed to it by another.
    fn own_job(&self, id: &JobId) -> Option<&Job> {
        let job = self.ledger.jobs.get(id);
        job.filter(|job| job.origin.is_none())
    }

    /// Marks the attempts of a cancelled job to be stopped once the cancellation is durable.
    pub(super) fn mark_cancelled(&mut self, id: &JobId) {
        let after_change = self.journal.change_count;
        self.wait_reasons.remove(id);
        let tracked = self.links.values_mut().flat_map(|l| l.tracked.iter_mut());
        for (_, tracked) in tracked.filter(|(attempt, _)| attempt.task.job == *id) {
            tracked.stop_change.get_or_insert(after_change);
        }
        self.dirty = true;
    }

    fn list(&self, team: Option<&TeamName>) -> JobReply {
        let jobs = self.ledger.jobs.values();
        let jobs = jobs.filter(|job| job.origin.is_none());
        let jobs = jobs.filter(|job| team.is_none_or(|team| job.spec.team == *team));
        JobReply::Listing(jobs.map(summary).collect())
    }

    fn status(&self, id: &JobId) -> JobReply {
        let Some(job) = self.own_job(id) else {
            return JobReply::NotFound(id.clone());
        };
        let open = job.tasks.iter();
        let open = open.filter(|(_, task)| task.state != TaskState::Finished);
        let tasks = open.take(MAX_STATUS_TASKS).map(|(&index, task)| {
            let worker = match &task.state {
                TaskState::Placed { worker, .. } => Some(worker.clone()),
                _ => None,
            };
            TaskStatus {
                index,
                attempt: task.attempt,
                worker,
                decision: self.explain(job, index, task),
            }
        });
        JobReply::Status(Box::new(JobStatus {
            summary: summary(job),
            cell: self.id.clone(),
            tasks: tasks.collect(),
        }))
    }

    /// Describes the last decision about a task.
    fn explain(&self, job: &Job, index: u32, task: &Task) -> smol_str::SmolStr {
        let id = job.task_id(index);
        let decided = self.decisions.get(&id);
        match &task.state {
            TaskState::Queued => {
                let waiting = self.wait_reasons.get(&job.spec.id);
                waiting
                    .or(decided)
                    .unwrap_or(&Decision::WaitsForOthers)
                    .to_smolstr()
            }
            TaskState::Placed { worker, .. } => decided.map_or_else(
                || smol_str::format_smolstr!("placed on {worker} under an earlier owner"),
                |decision| decision.to_smolstr(),
            ),
            TaskState::Finished => "finished".into(),
            TaskState::Cancelled => "cancelled with its job".into(),
            TaskState::Parked(reason) => reason.to_smolstr(),
            TaskState::HandedOff {
                to,
                acknowledged: false,
            } => smol_str::format_smolstr!("on its way to cell {to}"),
            TaskState::HandedOff { to, .. } => smol_str::format_smolstr!("held by cell {to}"),
        }
    }
}

/// Builds the summary of a job that replies carry.
fn summary(job: &Job) -> JobSummary {
    JobSummary {
        id: job.spec.id.clone(),
        team: job.spec.team.clone(),
        priority: job.spec.priority,
        cancelled: job.cancelled,
        counts: counts(job),
    }
}

/// Returns why the job can never run as submitted.
///
/// A cell without listed workers counts as able to run any task: its workers may be listed again.
fn rejection(cx: &Cx<'_>, spec: &JobSpec) -> Option<RejectReason> {
    if spec.tasks == 0 || spec.tasks > MAX_TASKS_PER_JOB {
        let limit = MAX_TASKS_PER_JOB;
        return Some(RejectReason::Tasks { limit });
    }
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        let limit = MAX_PAYLOAD_BYTES as u32;
        return Some(RejectReason::Payload { limit });
    }
    if !cx.configuration.teams.contains_key(&spec.team) {
        return Some(RejectReason::UnknownTeam);
    }
    let cells = || cx.configuration.cells.keys();
    let quota = cx.configuration.teams.get(&spec.team).and_then(|t| t.quota);
    if let Some(quota) = quota.filter(|quota| !spec.resources.fits_in(quota)) {
        return Some(RejectReason::OverQuota { quota });
    }
    let has_no_workers = |cell| listed_workers(cx, cell).is_empty();
    if cells().any(|cell| has_no_workers(cell) || cell_can_hold(cx, cell, spec)) {
        return None;
    }
    let listed = cells().flat_map(|cell| listed_workers(cx, cell));
    let largest = listed.map(|(_, w)| w.capacity);
    let largest = largest.max_by_key(|c: &Resources| fit_rank(c, &spec.resources))?;
    Some(RejectReason::TooLarge { largest })
}

/// Sort key that ranks capacities by how many of the `wanted` resources they can hold, then by size.
fn fit_rank(capacity: &Resources, wanted: &Resources) -> (usize, u64, u64) {
    let parts = [
        wanted.processors <= capacity.processors,
        wanted.memory <= capacity.memory,
        wanted.accelerators <= capacity.accelerators,
    ];
    let count = parts.into_iter().filter(|fits| *fits).count();
    (count, capacity.processors.0, capacity.memory.0)
}
