//! Hand-off of tasks between cells: when to send, what to repeat, and what a repeat means.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{Attempt, CellId, JobId, Resources, Span, TaskId, Timestamp};

use super::{Cell, Io, Phase, listed_workers, reply};
use crate::{
    Cx,
    batch::{
        call::{Asker, JobReply},
        decision::Decision,
        handoff::{Back, HandOff, Offer, Outgoing, Room, Ticket},
        job::{Home, Job, JobSpec, Task, TaskState},
        journal::{Change, Received},
    },
};

/// Time between two looks at tasks that move.
const REVIEW_INTERVAL: Span = Span::millis(100);
/// Time between two words about the cell's room.
const ROOM_INTERVAL: Span = Span::millis(500);
/// How much earlier that is said if a team's quota blocks a job.
const SHARE_INTERVAL: Span = Span::millis(350);
/// Time after which an unanswered message about a task is repeated.
const RESEND_INTERVAL: Span = Span::millis(600);
/// How long a ticket is good, by the clock of the owner that issued it.
const TICKET_LIFE: Span = Span::secs(5);
/// How long a job waits for room in its home before another cell is asked.
const HOME_WAIT: Span = Span::secs(1);
/// How long a job waits for room in another cell before its home may have it back.
const GUEST_WAIT: Span = Span::secs(15);
/// How long a cancellation waits for tasks in other cells.
const CANCEL_LIMIT: Span = Span::secs(5);
/// Most tasks in one message.
const MAX_TASKS: usize = 100;
/// Most jobs that one look considers for sending.
const MAX_JOBS: usize = 64;

/// A message about a task that is repeated until it is answered.
#[derive(Debug)]
struct Unanswered {
    /// What must be durable before it is said.
    durable: u64,
    next_at: Timestamp,
}

/// A cancellation that waits for tasks in other cells.
#[derive(Debug)]
struct Cancelling {
    deadline: Timestamp,
    asker: Asker,
    jobs: Vec<JobId>,
}

/// Tasks of one job by index.
type Tasks = Vec<(u32, Task)>;
/// Tasks and the attempts under which they moved.
type Attempts = Vec<(TaskId, Attempt)>;
/// An answer to the owner of another cell, and what must be durable first.
type Taken = (u64, CellId, Attempts);

/// Tasks of a cell that move.
#[derive(Debug, Default)]
pub(super) struct Moves {
    next_review: Timestamp,
    next_room: Timestamp,
    /// By task, attempt and whether the job is cancelled.
    unanswered: BTreeMap<(TaskId, Attempt, bool), Unanswered>,
    taken: VecDeque<Taken>,
    /// Tasks that went home; offers from before that may still arrive while their ticket is good.
    gone: BTreeMap<TaskId, (Attempt, Timestamp)>,
    /// Since when jobs wait for room.
    waiting_since: BTreeMap<JobId, Timestamp>,
    cancelling: Vec<Cancelling>,
}

impl Cell {
    /// Sends what is due to other cells.
    pub(super) fn move_tasks(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        self.answer_taken(io);
        self.answer_cancelling(cx, io);
        if cx.now < self.moves.next_review {
            return;
        }
        self.moves.next_review = cx.now + REVIEW_INTERVAL;
        let gone = &mut self.moves.gone;
        gone.retain(|_, (_, at)| cx.now.since(*at) <= TICKET_LIFE);
        if !cx.stopping && !self.is_store_out(cx.now) {
            self.send_waiting(cx, io);
        }
        self.tell_moving(cx, io);
        self.divide_quotas(cx, io);
        let early = match self.wants_share() {
            true => SHARE_INTERVAL,
            false => Span::ZERO,
        };
        let due = cx.now + early >= self.moves.next_room;
        if cx.configuration.cells.len() > 1 && due && !cx.stopping {
            self.moves.next_room = cx.now + ROOM_INTERVAL;
            let room = self.room(cx);
            io.outbox.push(Outgoing::Room(self.id.clone(), room));
        }
    }

    /// Takes in a message from the owner of another cell.
    pub(in crate::batch) fn hand_off(&mut self, cx: &Cx<'_>, io: &mut Io<'_>, message: HandOff) {
        if self.phase != Phase::Acting || !cx.membership.may_act(cx.now) {
            return;
        }
        match message {
            HandOff::Offer(offer) => self.offered(cx, *offer),
            HandOff::Back(back) => self.came_back(*back),
            HandOff::Share(order) => self.share_ordered(cx, *order),
            HandOff::Taken { from, tasks } => {
                for (task, attempt) in tasks {
                    self.acknowledge(cx.now, &from, task, attempt);
                }
            }
        }
        self.act(cx, io);
    }

    fn offered(&mut self, cx: &Cx<'_>, offer: Offer) {
        let ticket = offer.ticket;
        let good = ticket.epoch == self.epoch && cx.now.since(ticket.issued) < TICKET_LIFE;
        let job = self.ledger.jobs.get(&offer.spec.id);
        let own = job.is_some_and(|job| job.home.is_none());
        if !good || own || self.is_store_out(cx.now) {
            return;
        }
        let id = offer.spec.id.clone();
        let (fresh, held) = self.sort_offered(&id, offer.tasks);
        let from = offer.from;
        if !fresh.is_empty() {
            self.decide(Change::Received(Box::new(Received {
                spec: offer.spec,
                home: Home {
                    cell: from.clone(),
                    epoch: offer.epoch,
                },
                cancelled: offer.cancelled,
                tasks: fresh,
            })));
            self.dirty = true;
        }
        self.cancel_guest(&id, offer.cancelled);
        self.moves
            .taken
            .push_back((self.journal.decided, from, held));
    }

    /// Tasks of an offer that are new here, and those that will be held here after it.
    fn sort_offered(&self, job: &JobId, tasks: Tasks) -> (Tasks, Attempts) {
        let mut fresh = Vec::new();
        let mut held = Vec::new();
        for (index, task) in tasks {
            let job = job.clone();
            let id = TaskId { job, index };
            let gone = self.moves.gone.get(&id);
            let here = self.ledger.task(&id);
            if gone.is_some_and(|(attempt, _)| *attempt >= task.attempt) {
                continue;
            }
            if here.is_none_or(|h| h.attempt < task.attempt && h.state.is_for_home()) {
                held.push((id, task.attempt));
                fresh.push((index, task));
            } else if here.is_some_and(|h| h.attempt >= task.attempt) {
                held.push((id, task.attempt));
            }
        }
        (fresh, held)
    }

    fn cancel_guest(&mut self, id: &JobId, cancelled: bool) {
        let job = self.ledger.jobs.get(id);
        let Some(job) = job.filter(|_| cancelled) else {
            return;
        };
        if !job.cancelled {
            self.decide(Change::Cancelled(id.clone()));
        }
        self.mark_cancelled(id);
    }

    fn came_back(&mut self, back: Back) {
        if back.epoch > self.epoch {
            return;
        }
        let answer = back.tasks.iter().map(|(index, task)| {
            let job = back.job.clone();
            let index = *index;
            (TaskId { job, index }, task.attempt)
        });
        let answer: Attempts = answer.collect();
        let job = self.ledger.jobs.get(&back.job);
        if let Some(job) = job.filter(|job| job.home.is_none()) {
            let tasks = back.tasks.into_iter();
            let fresh = tasks.filter(|(index, task)| is_awaited(job, *index, &back.from, task));
            let tasks: Tasks = fresh.collect();
            if !tasks.is_empty() {
                let job = back.job;
                self.decide(Change::Returned { job, tasks });
                self.dirty = true;
            }
        }
        let durable = self.journal.decided;
        self.moves.taken.push_back((durable, back.from, answer));
    }

    fn acknowledge(&mut self, now: Timestamp, from: &CellId, task: TaskId, attempt: Attempt) {
        let Some(job) = self.ledger.jobs.get(&task.job) else {
            return;
        };
        let held = job.tasks.get(&task.index);
        let Some(held) = held.filter(|held| held.attempt == attempt) else {
            return;
        };
        let sent = match (&job.home, &held.state) {
            (Some(home), state) => home.cell == *from && state.is_for_home(),
            (None, TaskState::HandedOff { to, acknowledged }) => to == from && !acknowledged,
            (None, _) => false,
        };
        let guest = job.home.is_some();
        if !sent {
            return;
        }
        let id = task.clone();
        if self.decide(Change::Acknowledged { task, attempt }) && guest {
            self.decisions.remove(&id);
            self.moves.gone.insert(id, (attempt, now));
        }
    }

    /// Answers other cells what is durable by now.
    fn answer_taken(&mut self, io: &mut Io<'_>) {
        let durable = self.journal.durable;
        while let Some((_, to, tasks)) = self.moves.taken.pop_front_if(|t| t.0 <= durable) {
            let from = self.id.clone();
            let message = HandOff::Taken { from, tasks };
            io.outbox.push(Outgoing::HandOff(to, message));
        }
    }

    /// Says, and says again, what other cells do not know yet.
    fn tell_moving(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        let mut before = std::mem::take(&mut self.moves.unanswered);
        let mut due: BTreeMap<(&JobId, &CellId), Tasks> = BTreeMap::new();
        for id in &self.ledger.moving {
            let Some(job) = self.ledger.jobs.get(id) else {
                continue;
            };
            for (index, task) in &job.tasks {
                let Some(to) = receiver(job, task) else {
                    continue;
                };
                let key = (job.task_id(*index), task.attempt, job.cancelled);
                let mut unanswered = before.remove(&key).unwrap_or(Unanswered {
                    durable: self.journal.decided,
                    next_at: cx.now,
                });
                let tasks = due.entry((id, to)).or_default();
                let durable = unanswered.durable <= self.journal.durable;
                if durable && cx.now >= unanswered.next_at && tasks.len() < MAX_TASKS {
                    unanswered.next_at = cx.now + RESEND_INTERVAL;
                    tasks.push((*index, in_transit(task)));
                }
                self.moves.unanswered.insert(key, unanswered);
            }
        }
        for ((id, to), tasks) in due.into_iter().filter(|(_, tasks)| !tasks.is_empty()) {
            let job = &self.ledger.jobs[id];
            let message = self.message(cx, io, job, to, tasks);
            let outgoing = message.map(|message| Outgoing::HandOff(to.clone(), message));
            io.outbox.extend(outgoing);
        }
    }

    fn message(
        &self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
        job: &Job,
        to: &CellId,
        tasks: Tasks,
    ) -> Option<HandOff> {
        let from = self.id.clone();
        if let Some(home) = &job.home {
            return Some(HandOff::Back(Box::new(Back {
                from,
                epoch: home.epoch,
                job: job.spec.id.clone(),
                tasks,
            })));
        }
        let ticket = io.rooms.fresh(cx.now, to)?.ticket;
        Some(HandOff::Offer(Box::new(Offer {
            from,
            epoch: self.epoch,
            ticket,
            spec: job.spec.clone(),
            cancelled: job.cancelled,
            tasks,
        })))
    }

    /// Sends tasks that wait in vain to cells that have room for them.
    fn send_waiting(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        if cx.configuration.cells.len() < 2 || cx.directory.read_at.is_none() {
            return;
        }
        let waiting = &self.waiting;
        let waits = |id: &JobId| matches!(waiting.get(id), Some(Decision::WaitsForCapacity { .. }));
        self.moves.waiting_since.retain(|id, _| waits(id));
        let keys = self.ledger.queue.values();
        let jobs = keys.map(|w| w.job.clone()).filter(|id| waits(id));
        let jobs: Vec<JobId> = jobs.take(MAX_JOBS).collect();
        for id in jobs {
            let since = self.moves.waiting_since.entry(id.clone());
            let waited = cx.now.since(*since.or_insert(cx.now));
            if let Some((to, count)) = self.choose_cell(cx, io, &id, waited) {
                self.send(&id, &to, count);
            }
        }
    }

    /// Another cell for a job's waiting tasks, and for how many of them.
    fn choose_cell(
        &self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
        id: &JobId,
        waited: Span,
    ) -> Option<(CellId, usize)> {
        let job = self.ledger.jobs.get(id)?;
        let key = (job.spec.priority, job.order);
        let wanted = self.ledger.queue.get(&key)?.indices.len().min(MAX_TASKS);
        let spec = &job.spec;
        let fits_here = cell_holds(cx, &self.id, spec);
        if let Some(home) = &job.home {
            if !fits_here {
                return Some((home.cell.clone(), wanted));
            }
            let room = io.rooms.fresh(cx.now, &home.cell)?;
            let count = if waited < GUEST_WAIT {
                0
            } else {
                room.take(&spec.resources, wanted)
            };
            return (count > 0).then(|| (home.cell.clone(), count));
        }
        if fits_here && waited < HOME_WAIT {
            return None;
        }
        let cells = cx.configuration.cells.keys();
        let others = cells.filter(|c| **c != self.id && cell_holds(cx, c, spec));
        let mut least: Option<(u32, &CellId)> = None;
        for cell in others {
            let Some(room) = io.rooms.fresh(cx.now, cell) else {
                continue;
            };
            let count = room.take(&spec.resources, wanted);
            if count > 0 {
                return Some((cell.clone(), count));
            }
            least = least
                .min(Some((room.waiting, cell)))
                .or(Some((room.waiting, cell)));
        }
        let (_, cell) = least.filter(|_| !fits_here)?;
        Some((cell.clone(), wanted))
    }

    /// Decides that the last waiting tasks of a job leave for another cell.
    fn send(&mut self, id: &JobId, to: &CellId, count: usize) {
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
            self.decide(Change::Sent { task, attempt, to });
        }
    }

    /// What this cell could take.
    fn room(&self, cx: &Cx<'_>) -> Room {
        let listed = self.listed(cx);
        let open = listed.into_iter().filter(|(_, listed)| !listed.leaving);
        let free = open.filter_map(|(worker, listed)| {
            let places = self.ledger.workers.get(worker);
            let failures = places.map_or(0, |places| places.failures_in_a_row);
            let openings = self.links.get(worker)?.openings(cx.now, failures);
            let kept = self
                .reservations
                .iter()
                .filter(|(_, r)| r.worker == *worker);
            let kept = kept.filter_map(|(id, _)| self.ledger.jobs.get(&id.job));
            let kept = kept.fold(Resources::default(), |sum, j| sum.plus(&j.spec.resources));
            let taken = self.ledger.used(worker).plus(&kept);
            listed.capacity.minus(&taken).filter(|_| openings > 0)
        });
        Room {
            ticket: Ticket {
                epoch: self.epoch,
                issued: cx.now,
            },
            free: free.collect(),
            waiting: u32::try_from(self.ledger.queue.len()).unwrap_or(u32::MAX),
            shares: self.share_reports(cx),
        }
    }

    /// Answers a cancellation once no task of the jobs is in another cell.
    pub(super) fn hold_cancelling(
        &mut self,
        cx: &Cx<'_>,
        io: &mut Io<'_>,
        asker: Asker,
        jobs: Vec<JobId>,
    ) {
        let deadline = cx.now + CANCEL_LIMIT;
        let cancelling = Cancelling {
            deadline,
            asker,
            jobs,
        };
        self.moves.cancelling.push(cancelling);
        self.answer_cancelling(cx, io);
    }

    fn answer_cancelling(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        let (done, open): (Vec<Cancelling>, Vec<Cancelling>) =
            std::mem::take(&mut self.moves.cancelling)
                .into_iter()
                .partition(|c| !c.jobs.iter().any(|id| self.is_away(id)));
        for cancelling in done {
            let answer = self.cancelled(&cancelling.jobs);
            self.hold(cx, io, cancelling.asker, answer);
        }
        for cancelling in open {
            if cx.now < cancelling.deadline {
                self.moves.cancelling.push(cancelling);
            } else {
                reply(io, cancelling.asker, JobReply::Unknown);
            }
        }
    }

    fn is_away(&self, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id).filter(|job| job.home.is_none());
        let away = |task: &Task| matches!(task.state, TaskState::HandedOff { .. });
        job.is_some_and(|job| job.cancelled && job.tasks.values().any(away))
    }

    /// Gives up what waits for other cells.
    pub(super) fn forget_moves(&mut self, io: &mut Io<'_>) {
        for cancelling in std::mem::take(&mut self.moves).cancelling {
            reply(io, cancelling.asker, JobReply::Unknown);
        }
    }
}

/// The cell that is to hear of a task, if one is.
fn receiver<'a>(job: &'a Job, task: &'a Task) -> Option<&'a CellId> {
    match (&job.home, &task.state) {
        (Some(home), state) => state.is_for_home().then_some(&home.cell),
        (None, TaskState::HandedOff { to, acknowledged }) => {
            (!acknowledged || job.cancelled).then_some(to)
        }
        (None, _) => None,
    }
}

/// The task as the receiver is to hold it.
fn in_transit(task: &Task) -> Task {
    let mut task = task.clone();
    if !task.state.is_ended() {
        task.state = TaskState::Queued;
    }
    task
}

/// True if the home waits for the task from that cell, and not since a later move.
fn is_awaited(job: &Job, index: u32, from: &CellId, back: &Task) -> bool {
    let task = job.tasks.get(&index);
    task.is_some_and(|task| match &task.state {
        TaskState::HandedOff { to, .. } => to == from && task.attempt <= back.attempt,
        _ => false,
    })
}

/// True if a worker of the cell holds a task of the job.
pub(super) fn cell_holds(cx: &Cx<'_>, cell: &CellId, spec: &JobSpec) -> bool {
    let mut listed = listed_workers(cx, cell).into_iter();
    listed.any(|(_, w)| spec.resources.fits_in(&w.capacity))
}
