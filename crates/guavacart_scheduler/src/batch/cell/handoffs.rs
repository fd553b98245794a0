//! Hand-off of tasks between cells.
//!
//! A job's origin cell (`Job::origin`) is the one that it was submitted to. It hands waiting tasks to
//! cells with free capacity; those return them once they have ended or cannot be placed. Messages are
//! resent until acknowledged. Each hand-off raises the attempt, which identifies a repeated message.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{Attempt, CellId, JobId, Resources, Span, TaskId, Timestamp};

use super::{Cell, Outputs, Phase, listed_workers, reply};
use crate::{
    Cx,
    batch::{
        call::{JobReply, ReplyTo},
        decision::Decision,
        handoff::{FreeCapacity, HandOff, Offer, Outgoing, ReturnedTasks, Ticket},
        job::{Job, JobSpec, Origin, Task, TaskState},
        journal::{Change, Received},
    },
};

/// Time between two reviews of the tasks to hand off.
const REVIEW_INTERVAL: Span = Span::millis(100);
/// Time between two reports of the cell's free capacity to the other cells.
const CAPACITY_REPORT_INTERVAL: Span = Span::millis(500);
/// How much earlier the next report is sent if a team's quota blocks a job.
const CAPACITY_REPORT_LEAD: Span = Span::millis(350);
/// Time after which an unacknowledged message about a task is resent.
const RESEND_INTERVAL: Span = Span::millis(600);
/// How long a ticket is valid, by the clock of the owner that issued it.
const TICKET_VALIDITY: Span = Span::secs(5);
/// How long a job waits for capacity in its origin cell before its tasks go to another cell.
const ORIGIN_WAIT: Span = Span::secs(1);
/// How long tasks wait for capacity in another cell before they may go back to the origin cell.
const FOREIGN_WAIT: Span = Span::secs(15);
/// How long the reply to a cancellation waits for tasks in other cells to end.
const CANCEL_TIMEOUT: Span = Span::secs(5);
/// Greatest number of tasks of a job in one message.
const MAX_TASKS_PER_MESSAGE: usize = 100;
/// Greatest number of waiting jobs that one review considers for hand-off.
const MAX_JOBS_PER_REVIEW: usize = 64;

/// A message about a task that is resent until it is acknowledged.
#[derive(Debug)]
struct Unacknowledged {
    /// The number of changes that must be durable before the message is sent.
    after_change: u64,
    next_at: Timestamp,
}

/// A cancellation whose reply waits for tasks in other cells.
#[derive(Debug)]
struct PendingCancellation {
    deadline: Timestamp,
    reply_to: ReplyTo,
    jobs: Vec<JobId>,
}

/// Tasks of one job by index.
type Tasks = Vec<(u32, Task)>;
/// Tasks and the attempts under which they were handed off.
type Attempts = Vec<(TaskId, Attempt)>;
/// An acknowledgement to another cell, after the number of changes that must be durable first.
type Acknowledgement = (u64, CellId, Attempts);

/// The state of a cell's hand-offs.
#[derive(Debug, Default)]
pub(super) struct HandOffs {
    next_review: Timestamp,
    /// When to report free capacity next.
    next_capacity_report: Timestamp,
    /// By task, attempt and whether the job is cancelled; a cancellation is a message of its own.
    unacknowledged: BTreeMap<(TaskId, Attempt, bool), Unacknowledged>,
    acknowledgements: VecDeque<Acknowledgement>,
    /// Tasks returned to their origin cell, with the attempt and the time of the acknowledgement.
    ///
    /// Earlier offers of them may still arrive while their ticket is valid, and are ignored.
    returned: BTreeMap<TaskId, (Attempt, Timestamp)>,
    /// Since when each job has waited for capacity.
    waiting_since: BTreeMap<JobId, Timestamp>,
    cancellations: Vec<PendingCancellation>,
}

impl Cell {
    /// Sends acknowledgements, tasks, quota shares and reports of free capacity that are due.
    pub(super) fn run_handoffs(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        self.send_acknowledgements(outputs);
        self.reply_to_cancellations(cx, outputs);
        if cx.now < self.handoffs.next_review {
            return;
        }
        self.handoffs.next_review = cx.now + REVIEW_INTERVAL;
        let returned = &mut self.handoffs.returned;
        returned.retain(|_, (_, at)| cx.now.since(*at) <= TICKET_VALIDITY);
        if !cx.stopping && !self.is_store_unavailable(cx.now) {
            self.hand_off_waiting(cx, outputs);
        }
        self.send_handed_off(cx, outputs);
        self.divide_quotas(cx, outputs);
        let lead = match self.wants_share() {
            true => CAPACITY_REPORT_LEAD,
            false => Span::ZERO,
        };
        let due = cx.now + lead >= self.handoffs.next_capacity_report;
        if cx.configuration.cells.len() > 1 && due && !cx.stopping {
            self.handoffs.next_capacity_report = cx.now + CAPACITY_REPORT_INTERVAL;
            let free_capacity = self.free_capacity(cx);
            outputs
                .outbox
                .push(Outgoing::FreeCapacity(self.id.clone(), free_capacity));
        }
    }

    /// Handles a message from the owner of another cell.
    pub(in crate::batch) fn handle_hand_off(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        message: HandOff,
    ) {
        if self.phase != Phase::Acting || !cx.membership.may_act(cx.now) {
            return;
        }
        match message {
            HandOff::Offer(offer) => self.handle_offer(cx, *offer),
            HandOff::Return(returned) => self.handle_return(*returned),
            HandOff::Share(order) => self.handle_share_order(cx, *order),
            HandOff::Acknowledged { from, tasks } => {
                for (task, attempt) in tasks {
                    self.handle_acknowledgement(cx.now, &from, task, attempt);
                }
            }
        }
        self.act(cx, outputs);
    }

    /// Accepts offered tasks of a job that was submitted to another cell.
    fn handle_offer(&mut self, cx: &Cx<'_>, offer: Offer) {
        let ticket = offer.ticket;
        let ticket_valid =
            ticket.epoch == self.epoch && cx.now.since(ticket.issued) < TICKET_VALIDITY;
        let job = self.ledger.jobs.get(&offer.spec.id);
        let own = job.is_some_and(|job| job.origin.is_none());
        if !ticket_valid || own || self.is_store_unavailable(cx.now) {
            return;
        }
        let id = offer.spec.id.clone();
        let (added, held) = self.partition_offer(&id, offer.tasks);
        let from = offer.from;
        if !added.is_empty() {
            self.journal_change(Change::Received(Box::new(Received {
                spec: offer.spec,
                origin: Origin {
                    cell: from.clone(),
                    epoch: offer.epoch,
                },
                cancelled: offer.cancelled,
                tasks: added,
            })));
            self.dirty = true;
        }
        self.cancel_foreign(&id, offer.cancelled);
        self.handoffs
            .acknowledgements
            .push_back((self.journal.change_count, from, held));
    }

    /// Returns the tasks of an offer to add, and all of its tasks that this cell then holds.
    fn partition_offer(&self, job: &JobId, tasks: Tasks) -> (Tasks, Attempts) {
        let mut added = Vec::new();
        let mut held = Vec::new();
        for (index, task) in tasks {
            let job = job.clone();
            let id = TaskId { job, index };
            let returned = self.handoffs.returned.get(&id);
            let here = self.ledger.task(&id);
            if returned.is_some_and(|(attempt, _)| *attempt >= task.attempt) {
                continue;
            }
            if here.is_none_or(|h| h.attempt < task.attempt && h.state.is_for_origin()) {
                held.push((id, task.attempt));
                added.push((index, task));
            } else if here.is_some_and(|h| h.attempt >= task.attempt) {
                held.push((id, task.attempt));
            }
        }
        (added, held)
    }

    /// Cancels a job of another cell here once its origin cell has cancelled it.
    fn cancel_foreign(&mut self, id: &JobId, cancelled: bool) {
        let job = self.ledger.jobs.get(id);
        let Some(job) = job.filter(|_| cancelled) else {
            return;
        };
        if !job.cancelled {
            self.journal_change(Change::Cancelled(id.clone()));
        }
        self.mark_cancelled(id);
    }

    /// Takes back tasks of this cell's own job.
    ///
    /// Ignores tasks that were sent under a later epoch than this owner's.
    fn handle_return(&mut self, returned: ReturnedTasks) {
        if returned.epoch > self.epoch {
            return;
        }
        let answer = returned.tasks.iter().map(|(index, task)| {
            let job = returned.job.clone();
            let index = *index;
            (TaskId { job, index }, task.attempt)
        });
        let answer: Attempts = answer.collect();
        let job = self.ledger.jobs.get(&returned.job);
        if let Some(job) = job.filter(|job| job.origin.is_none()) {
            let tasks = returned.tasks.into_iter();
            let awaited =
                tasks.filter(|(index, task)| is_awaited(job, *index, &returned.from, task));
            let tasks: Tasks = awaited.collect();
            if !tasks.is_empty() {
                let job = returned.job;
                self.journal_change(Change::Returned { job, tasks });
                self.dirty = true;
            }
        }
        let after_change = self.journal.change_count;
        self.handoffs
            .acknowledgements
            .push_back((after_change, returned.from, answer));
    }

    /// Records that the other cell durably holds a task sent to it.
    fn handle_acknowledgement(
        &mut self,
        now: Timestamp,
        from: &CellId,
        task: TaskId,
        attempt: Attempt,
    ) {
        let Some(job) = self.ledger.jobs.get(&task.job) else {
            return;
        };
        let held = job.tasks.get(&task.index);
        let Some(held) = held.filter(|held| held.attempt == attempt) else {
            return;
        };
        let sent = match (&job.origin, &held.state) {
            (Some(origin), state) => origin.cell == *from && state.is_for_origin(),
            (None, TaskState::HandedOff { to, acknowledged }) => to == from && !acknowledged,
            (None, _) => false,
        };
        let foreign = job.origin.is_some();
        if !sent {
            return;
        }
        let id = task.clone();
        if self.journal_change(Change::Acknowledged { task, attempt }) && foreign {
            self.decisions.remove(&id);
            self.handoffs.returned.insert(id, (attempt, now));
        }
    }

    /// Sends the acknowledgements whose changes are durable.
    fn send_acknowledgements(&mut self, outputs: &mut Outputs<'_>) {
        let durable_count = self.journal.durable_count;
        while let Some((_, to, tasks)) = self
            .handoffs
            .acknowledgements
            .pop_front_if(|t| t.0 <= durable_count)
        {
            let from = self.id.clone();
            let message = HandOff::Acknowledged { from, tasks };
            outputs.outbox.push(Outgoing::HandOff(to, message));
        }
    }

    /// Sends or resends the tasks that other cells have not acknowledged.
    fn send_handed_off(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        let mut before = std::mem::take(&mut self.handoffs.unacknowledged);
        let mut due: BTreeMap<(&JobId, &CellId), Tasks> = BTreeMap::new();
        for id in &self.ledger.handed_off_jobs {
            let Some(job) = self.ledger.jobs.get(id) else {
                continue;
            };
            for (index, task) in &job.tasks {
                let Some(to) = recipient(job, task) else {
                    continue;
                };
                let key = (job.task_id(*index), task.attempt, job.cancelled);
                let mut unacknowledged = before.remove(&key).unwrap_or(Unacknowledged {
                    after_change: self.journal.change_count,
                    next_at: cx.now,
                });
                let tasks = due.entry((id, to)).or_default();
                let durable = unacknowledged.after_change <= self.journal.durable_count;
                if durable
                    && cx.now >= unacknowledged.next_at
                    && tasks.len() < MAX_TASKS_PER_MESSAGE
                {
                    unacknowledged.next_at = cx.now + RESEND_INTERVAL;
                    tasks.push((*index, task_to_send(task)));
                }
                self.handoffs.unacknowledged.insert(key, unacknowledged);
            }
        }
        for ((id, to), tasks) in due.into_iter().filter(|(_, tasks)| !tasks.is_empty()) {
            let job = &self.ledger.jobs[id];
            let message = self.hand_off_message(cx, outputs, job, to, tasks);
            let outgoing = message.map(|message| Outgoing::HandOff(to.clone(), message));
            outputs.outbox.extend(outgoing);
        }
    }

    /// Builds the message that carries tasks to `to`.
    ///
    /// Returns `None` if an offer needs a ticket and the cell has not reported recently.
    fn hand_off_message(
        &self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        job: &Job,
        to: &CellId,
        tasks: Tasks,
    ) -> Option<HandOff> {
        let from = self.id.clone();
        if let Some(origin) = &job.origin {
            return Some(HandOff::Return(Box::new(ReturnedTasks {
                from,
                epoch: origin.epoch,
                job: job.spec.id.clone(),
                tasks,
            })));
        }
        let ticket = outputs.capacity_reports.recent(cx.now, to)?.ticket;
        Some(HandOff::Offer(Box::new(Offer {
            from,
            epoch: self.epoch,
            ticket,
            spec: job.spec.clone(),
            cancelled: job.cancelled,
            tasks,
        })))
    }

    /// Hands tasks that wait for capacity to cells that can run them.
    fn hand_off_waiting(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        if cx.configuration.cells.len() < 2 || cx.directory.read_at.is_none() {
            return;
        }
        let waiting = &self.wait_reasons;
        let waits = |id: &JobId| matches!(waiting.get(id), Some(Decision::WaitsForCapacity { .. }));
        self.handoffs.waiting_since.retain(|id, _| waits(id));
        let keys = self.ledger.queue.values();
        let jobs = keys.map(|w| w.job.clone()).filter(|id| waits(id));
        let jobs: Vec<JobId> = jobs.take(MAX_JOBS_PER_REVIEW).collect();
        for id in jobs {
            let since = self.handoffs.waiting_since.entry(id.clone());
            let waited = cx.now.since(*since.or_insert(cx.now));
            if let Some((to, count)) = self.choose_cell(cx, outputs, &id, waited) {
                self.hand_off_tasks(&id, &to, count);
            }
        }
    }

    /// Chooses another cell for a job's waiting tasks, and how many of them to send.
    ///
    /// Tasks that came from another cell go only back to their origin cell.
    ///
    /// If no worker here is large enough, the cell with the fewest waiting jobs gets the tasks even
    /// without free capacity.
    fn choose_cell(
        &self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        id: &JobId,
        waited: Span,
    ) -> Option<(CellId, usize)> {
        let job = self.ledger.jobs.get(id)?;
        let key = (job.spec.priority, job.order);
        let wanted = self
            .ledger
            .queue
            .get(&key)?
            .indices
            .len()
            .min(MAX_TASKS_PER_MESSAGE);
        let spec = &job.spec;
        let fits_here = cell_can_hold(cx, &self.id, spec);
        if let Some(origin) = &job.origin {
            if !fits_here {
                return Some((origin.cell.clone(), wanted));
            }
            let free_capacity = outputs.capacity_reports.recent(cx.now, &origin.cell)?;
            let count = if waited < FOREIGN_WAIT {
                0
            } else {
                free_capacity.reserve_tasks(&spec.resources, wanted)
            };
            return (count > 0).then(|| (origin.cell.clone(), count));
        }
        if fits_here && waited < ORIGIN_WAIT {
            return None;
        }
        let cells = cx.configuration.cells.keys();
        let others = cells.filter(|c| **c != self.id && cell_can_hold(cx, c, spec));
        let mut least: Option<(u32, &CellId)> = None;
        for cell in others {
            let Some(free_capacity) = outputs.capacity_reports.recent(cx.now, cell) else {
                continue;
            };
            let count = free_capacity.reserve_tasks(&spec.resources, wanted);
            if count > 0 {
                return Some((cell.clone(), count));
            }
            least = least
                .min(Some((free_capacity.waiting, cell)))
                .or(Some((free_capacity.waiting, cell)));
        }
        let (_, cell) = least.filter(|_| !fits_here)?;
        Some((cell.clone(), wanted))
    }

    /// Hands the last `count` waiting tasks of a job off to another cell.
    fn hand_off_tasks(&mut self, id: &JobId, to: &CellId, count: usize) {
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let key = (job.spec.priority, job.order);
        let Some(waiting) = self.ledger.queue.get(&key) else {
            return;
        };
        let indices: Vec<u32> = waiting.indices.iter().rev().take(count).copied().collect();
        for index in indices {
            let job = id.clone();
            let task = TaskId { job, index };
            let Some(attempt) = self.ledger.task(&task).map(|task| task.attempt.next()) else {
                continue;
            };
            let to = to.clone();
            self.decisions.remove(&task);
            self.journal_change(Change::Sent { task, attempt, to });
        }
    }

    /// Builds the report of this cell's free capacity, queue length and quota shares.
    fn free_capacity(&self, cx: &Cx<'_>) -> FreeCapacity {
        let listed = self.listed_workers(cx);
        let open = listed.into_iter().filter(|(_, listed)| !listed.leaving);
        let free = open.filter_map(|(worker, listed)| {
            let worker_tasks = self.ledger.workers.get(worker);
            let failures = worker_tasks.map_or(0, |worker_tasks| worker_tasks.failures_in_a_row);
            let task_slots = self.links.get(worker)?.task_slots(cx.now, failures);
            let kept = self
                .reservations
                .iter()
                .filter(|(_, r)| r.worker == *worker);
            let kept = kept.filter_map(|(id, _)| self.ledger.jobs.get(&id.job));
            let kept = kept.fold(Resources::default(), |sum, j| sum.plus(&j.spec.resources));
            let taken = self.ledger.used(worker).plus(&kept);
            listed.capacity.minus(&taken).filter(|_| task_slots > 0)
        });
        FreeCapacity {
            ticket: Ticket {
                epoch: self.epoch,
                issued: cx.now,
            },
            free: free.collect(),
            waiting: u32::try_from(self.ledger.queue.len()).unwrap_or(u32::MAX),
            shares: self.share_reports(cx),
        }
    }

    /// Replies to a cancellation once no task of the jobs is in another cell.
    pub(super) fn add_cancellation(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        reply_to: ReplyTo,
        jobs: Vec<JobId>,
    ) {
        let deadline = cx.now + CANCEL_TIMEOUT;
        let cancellation = PendingCancellation {
            deadline,
            reply_to,
            jobs,
        };
        self.handoffs.cancellations.push(cancellation);
        self.reply_to_cancellations(cx, outputs);
    }

    /// Replies to cancellations that are complete or have timed out.
    fn reply_to_cancellations(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        let (done, open): (Vec<PendingCancellation>, Vec<PendingCancellation>) =
            std::mem::take(&mut self.handoffs.cancellations)
                .into_iter()
                .partition(|c| !c.jobs.iter().any(|id| self.has_tasks_elsewhere(id)));
        for cancellation in done {
            let answer = self.cancel_reply(&cancellation.jobs);
            self.reply_when_durable(cx, outputs, cancellation.reply_to, answer);
        }
        for cancellation in open {
            if cx.now < cancellation.deadline {
                self.handoffs.cancellations.push(cancellation);
            } else {
                reply(outputs, cancellation.reply_to, JobReply::Unknown);
            }
        }
    }

    /// True if a cancelled job of this cell still has tasks in other cells.
    fn has_tasks_elsewhere(&self, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id).filter(|job| job.origin.is_none());
        let handed_off = |task: &Task| matches!(task.state, TaskState::HandedOff { .. });
        job.is_some_and(|job| job.cancelled && job.tasks.values().any(handed_off))
    }

    /// Drops all hand-off state; submitters waiting for a cancellation get the reply `Unknown`.
    pub(super) fn abort_handoffs(&mut self, outputs: &mut Outputs<'_>) {
        for cancellation in std::mem::take(&mut self.handoffs).cancellations {
            reply(outputs, cancellation.reply_to, JobReply::Unknown);
        }
    }
}

/// Returns the cell to which the task still has to be sent, if any.
fn recipient<'a>(job: &'a Job, task: &'a Task) -> Option<&'a CellId> {
    match (&job.origin, &task.state) {
        (Some(origin), state) => state.is_for_origin().then_some(&origin.cell),
        (None, TaskState::HandedOff { to, acknowledged }) => {
            (!acknowledged || job.cancelled).then_some(to)
        }
        (None, _) => None,
    }
}

/// Returns the task as the recipient stores it: ended, or waiting for a worker.
fn task_to_send(task: &Task) -> Task {
    let mut task = task.clone();
    if !task.state.is_ended() {
        task.state = TaskState::Queued;
    }
    task
}

/// True if the task was handed to `from` and not handed off again since.
fn is_awaited(job: &Job, index: u32, from: &CellId, returned: &Task) -> bool {
    let task = job.tasks.get(&index);
    task.is_some_and(|task| match &task.state {
        TaskState::HandedOff { to, .. } => to == from && task.attempt <= returned.attempt,
        _ => false,
    })
}

/// True if some worker of the cell is large enough for a task of the job.
pub(super) fn cell_can_hold(cx: &Cx<'_>, cell: &CellId, spec: &JobSpec) -> bool {
    let mut listed = listed_workers(cx, cell).into_iter();
    listed.any(|(_, w)| spec.resources.fits_in(&w.capacity))
}
