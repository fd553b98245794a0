//! The scheduling pass, which places waiting tasks on workers.

use std::collections::BTreeMap;

use guavacart_config::Placement;
use guavacart_types::{BatchClass, ByteSize, Resources, Span, TaskId, Timestamp, WorkerId};

use super::{Cell, Reservation};
use crate::{
    Cx,
    batch::{
        decision::Decision,
        job::{JobSpec, Priority, StopReason, Task},
        journal::Change,
        ledger::QueueKey,
        link::{Tracked, WorkerLink},
        placement::{Candidate, Occupant, TaskDemand, choose, choose_first_fit, displace, reserve},
        worker::AttemptId,
    },
};

/// Time after which a pass runs even if nothing changed.
const PASS_INTERVAL: Span = Span::secs(1);
/// Greatest number of jobs that one pass considers.
const MAX_JOBS_PER_PASS: usize = 256;
/// Greatest number of tasks that one pass places.
const MAX_PLACEMENTS_PER_PASS: usize = 500;
/// Greatest number of urgent tasks for which one pass stops other tasks.
const MAX_DISPLACING_TASKS_PER_PASS: usize = 256;
/// Time that a stopping task is expected to take to save its checkpoint; for planning only.
const EXPECTED_STOP_TIME: Span = Span::secs(2);

/// Resources and run time of a task that fitted nowhere in this pass.
#[derive(Clone, Copy, Debug)]
struct Unplaced {
    resources: Resources,
    run_time: Span,
}

/// The state of one scheduling pass.
pub(super) struct Pass {
    pub(super) candidates: Vec<Candidate>,
    /// Memory of the largest worker.
    max_memory: ByteSize,
    /// Tasks on each worker.
    occupants: BTreeMap<WorkerId, Vec<Occupant>>,
    /// Tasks that fitted nowhere although they have no workers to avoid.
    unplaced: Vec<Unplaced>,
    /// The class for which the candidates' costs were last computed.
    priced_class: Option<BatchClass>,
    /// Tasks placed so far.
    placed: usize,
    /// Urgent tasks so far for which other tasks were stopped.
    displacing: usize,
    /// True if a task that is not urgent has a reservation; at most one such reservation exists.
    has_normal_reservation: bool,
}

/// The result of trying to place one task.
enum Outcome {
    Placed,
    /// Capacity on a worker is reserved for the task; the next task of the job may be tried.
    Reserved,
    /// No task of the job can be placed now.
    Blocked(Decision),
}

impl Cell {
    /// Runs a pass if something changed or [`PASS_INTERVAL`] has passed since the last one.
    pub(super) fn schedule(&mut self, cx: &Cx<'_>) {
        if !self.dirty && cx.now < self.next_pass {
            return;
        }
        self.dirty = false;
        self.next_pass = cx.now + PASS_INTERVAL;
        if self.is_store_unavailable(cx.now) {
            return;
        }
        self.drain_leaving_workers(cx);
        let mut pass = self.begin_pass(cx);
        let keys = self.ordered_queue(cx);
        for key in keys.into_iter().take(MAX_JOBS_PER_PASS) {
            if pass.placed >= MAX_PLACEMENTS_PER_PASS {
                self.dirty = true;
                return;
            }
            self.schedule_job(cx, &mut pass, key);
        }
    }

    /// Collects the workers, their tasks and the reservations for a pass.
    fn begin_pass(&mut self, cx: &Cx<'_>) -> Pass {
        self.drop_stale_reservations();
        let max_memory = self.max_worker_memory(cx);
        let mut candidates = Vec::new();
        for (worker, listed) in self.listed_workers(cx) {
            let owned_since = self.owned_since;
            let link = self.links.entry(worker.clone());
            let link = link.or_insert_with(|| WorkerLink::new(owned_since));
            let worker_tasks = self.ledger.workers.get(worker);
            let failures = worker_tasks.map_or(0, |worker_tasks| worker_tasks.failures_in_a_row);
            let task_slots = match listed.leaving {
                true => 0,
                false => link.task_slots(cx.now, failures),
            };
            candidates.push(Candidate {
                worker: worker.clone(),
                rack: listed.rack.clone(),
                data_centre: listed.data_centre.clone(),
                nearby_tasks: 0,
                capacity: listed.capacity,
                used: self
                    .ledger
                    .used(worker)
                    .plus(&self.undeclared_use(worker, max_memory)),
                task_slots,
                cost: 0,
                reserved: Resources::default(),
                reserved_at: cx.now,
            });
        }
        let mut pass = Pass {
            candidates,
            max_memory,
            occupants: self.occupants(cx, max_memory),
            unplaced: Vec::new(),
            priced_class: None,
            placed: 0,
            displacing: 0,
            has_normal_reservation: false,
        };
        self.apply_reservations(&mut pass);
        pass
    }

    /// Drops reservations of tasks that no longer wait.
    fn drop_stale_reservations(&mut self) {
        let ledger = &self.ledger;
        let waits = |id: &TaskId| {
            let job = ledger.jobs.get(&id.job)?;
            let key = (job.spec.priority, job.order);
            Some(ledger.queue.get(&key)?.indices.contains(&id.index))
        };
        self.reservations.retain(|id, _| waits(id) == Some(true));
    }

    /// Adds the reservations of earlier passes to the candidates.
    fn apply_reservations(&self, pass: &mut Pass) {
        for (id, reservation) in &self.reservations {
            let Some(job) = self.ledger.jobs.get(&id.job) else {
                continue;
            };
            pass.has_normal_reservation |= job.spec.priority != Priority::Urgent;
            let size = self.expected_size(&job.spec, pass.max_memory);
            pass.add_reservation(&reservation.worker, &size, reservation.at);
        }
    }

    fn occupants(&self, cx: &Cx<'_>, max_memory: ByteSize) -> BTreeMap<WorkerId, Vec<Occupant>> {
        let mut occupants = BTreeMap::new();
        for (worker, link) in &self.links {
            let on_worker = link.tracked.iter();
            let on_worker =
                on_worker.filter_map(|(id, tracked)| self.occupant(cx, id, tracked, max_memory));
            occupants.insert(worker.clone(), on_worker.collect());
        }
        occupants
    }

    /// Describes a tracked attempt for placement, with its expected size and end.
    fn occupant(
        &self,
        cx: &Cx<'_>,
        id: &AttemptId,
        tracked: &Tracked,
        max_memory: ByteSize,
    ) -> Option<Occupant> {
        let job = self.ledger.jobs.get(&id.task.job)?;
        let started_at = tracked.confirmed_at.unwrap_or(tracked.placed_at);
        let rule = cx.configuration.batch_classes.get(&job.spec.class);
        let stopping = tracked.stop_change.is_some();
        let ends_at = match stopping {
            true => cx.now + EXPECTED_STOP_TIME,
            false => (started_at + self.run_time_estimates.expect(&job.spec)).max(cx.now),
        };
        Some(Occupant {
            task: id.task.clone(),
            resources: self.running_size(id, tracked, max_memory)?,
            ends_at,
            run_time: cx.now.since(started_at),
            checkpoints: rule.is_some_and(|rule| rule.checkpoints),
            displaceable: job.spec.priority != Priority::Urgent,
            stopping,
        })
    }

    /// Tries to place each waiting task of a job until one is blocked.
    fn schedule_job(&mut self, cx: &Cx<'_>, pass: &mut Pass, key: QueueKey) {
        let Some(waiting) = self.ledger.queue.get(&key) else {
            return;
        };
        let indices: Vec<u32> = waiting.indices.iter().copied().collect();
        let Some(job) = self.ledger.jobs.get(&waiting.job) else {
            return;
        };
        let mut spec = job.spec.clone();
        spec.resources = self.expected_size(&spec, pass.max_memory);
        self.price_candidates(cx, pass, &spec);
        self.count_nearby_tasks(pass, &spec);
        for index in indices {
            if pass.placed >= MAX_PLACEMENTS_PER_PASS {
                return;
            }
            let job = spec.id.clone();
            let id = TaskId { job, index };
            match self.place_task(cx, pass, &spec, &id) {
                Outcome::Placed | Outcome::Reserved => {}
                Outcome::Blocked(decision) => {
                    self.wait_reasons.insert(spec.id.clone(), decision);
                    return;
                }
            }
        }
        self.wait_reasons.remove(&spec.id);
    }

    /// Computes each candidate's cost for the job's class, unless the pass has it already.
    fn price_candidates(&self, cx: &Cx<'_>, pass: &mut Pass, spec: &JobSpec) {
        if pass.priced_class.as_ref() == Some(&spec.class) {
            return;
        }
        for candidate in &mut pass.candidates {
            candidate.cost = self.price(cx, &candidate.worker, &spec.class);
        }
        pass.priced_class = Some(spec.class.clone());
    }

    /// Tries to place one task of a job.
    fn place_task(&mut self, cx: &Cx<'_>, pass: &mut Pass, spec: &JobSpec, id: &TaskId) -> Outcome {
        if let Some(limit) = self.team_limit(cx, &spec.team) {
            let declared = self.ledger.jobs.get(&id.job).map(|job| job.spec.resources);
            let declared = declared.unwrap_or(spec.resources);
            let wanted = self.ledger.team_used(&spec.team).plus(&declared);
            if !wanted.fits_in(&limit) {
                let team = spec.team.clone();
                return Outcome::Blocked(Decision::WaitsForQuota { team, limit });
            }
        }
        let Some(task) = self.ledger.task(id).cloned() else {
            return Outcome::Blocked(Decision::WaitsForOthers);
        };
        let avoided = pass.workers_to_avoid(spec, &task);
        let run_time = self.run_time_estimates.expect(spec);
        let reserved = self.reservations.get(id).map(|r| r.worker.clone());
        if avoided.is_empty() && reserved.is_none() && pass.cannot_fit(spec, run_time) {
            return self.displace_or_reserve(cx, pass, spec, id, avoided);
        }
        let demand = TaskDemand {
            resources: spec.resources,
            ends_at: cx.now + run_time,
            failed_on: avoided,
            reserved: reserved.as_ref(),
        };
        let chosen = match cx.configuration.sharing.placement {
            Placement::LeastLoaded => choose(&pass.candidates, &demand),
            Placement::FirstFit => choose_first_fit(&pass.candidates, &demand),
        };
        if let Some(chosen) = chosen {
            self.place_on(cx, pass, spec, id, &task, chosen);
            return Outcome::Placed;
        }
        if reserved.is_some() {
            return Outcome::Reserved;
        }
        if avoided.is_empty() {
            pass.unplaced.push(Unplaced {
                resources: spec.resources,
                run_time,
            });
        }
        self.displace_or_reserve(cx, pass, spec, id, avoided)
    }

    /// Places a task on the candidate at index `chosen`.
    fn place_on(
        &mut self,
        cx: &Cx<'_>,
        pass: &mut Pass,
        spec: &JobSpec,
        id: &TaskId,
        task: &Task,
        chosen: usize,
    ) {
        let candidate = &mut pass.candidates[chosen];
        let worker = candidate.worker.clone();
        let attempt = task.attempt.next();
        let placed = Change::Placed {
            task: id.clone(),
            attempt,
            worker: worker.clone(),
        };
        if !self.journal_change(placed) {
            return;
        }
        candidate.used = candidate.used.plus(&spec.resources);
        candidate.task_slots = candidate.task_slots.saturating_sub(1);
        pass.add_nearby_task(spec.spread, chosen);
        pass.placed += 1;
        if let Some(reservation) = self.reservations.remove(id) {
            pass.remove_reservation(&reservation.worker, &spec.resources);
        }
        let tracked = Tracked::new(self.journal.change_count, cx.now);
        let task = id.clone();
        let attempt = AttemptId { task, attempt };
        let occupant = self.occupant(cx, &attempt, &tracked, pass.max_memory);
        let on_worker = pass.occupants.entry(worker.clone()).or_default();
        on_worker.extend(occupant);
        if let Some(link) = self.links.get_mut(&worker) {
            link.tracked.insert(attempt, tracked);
        }
        self.next_colocation_review = cx.now;
        // With the old cost, the next task of the job would go to the same worker again.
        pass.candidates[chosen].cost = self.price(cx, &worker, &spec.class);
        let candidates = pass.candidates.len();
        let decision = Decision::Placed { worker, candidates };
        self.decisions.insert(id.clone(), decision);
    }

    /// Handles a task that fits nowhere: an urgent task displaces others, any other task gets a
    /// reservation unless one exists already for a task that is not urgent.
    fn displace_or_reserve(
        &mut self,
        cx: &Cx<'_>,
        pass: &mut Pass,
        spec: &JobSpec,
        id: &TaskId,
        avoided: &[WorkerId],
    ) -> Outcome {
        if spec.priority == Priority::Urgent {
            return self.displace_for(cx, pass, spec, id, avoided);
        }
        if pass.has_normal_reservation {
            let reserved = self.reservations.get(id).map(|r| r.worker.clone());
            return Outcome::Blocked(Decision::WaitsForCapacity { reserved });
        }
        let found = reserve(
            &pass.candidates,
            &pass.occupants,
            &spec.resources,
            avoided,
            cx.now,
        );
        let reserved = found.map(|(worker, at)| {
            self.reserve_on(pass, spec, id, &worker, at);
            pass.has_normal_reservation = true;
            worker
        });
        Outcome::Blocked(Decision::WaitsForCapacity { reserved })
    }

    /// Stops tasks on one worker so that an urgent task fits there, and reserves their capacity.
    fn displace_for(
        &mut self,
        cx: &Cx<'_>,
        pass: &mut Pass,
        spec: &JobSpec,
        id: &TaskId,
        avoided: &[WorkerId],
    ) -> Outcome {
        let none = Decision::WaitsForCapacity { reserved: None };
        if pass.displacing >= MAX_DISPLACING_TASKS_PER_PASS {
            self.dirty = true;
            return Outcome::Blocked(none);
        }
        let found = displace(&pass.candidates, &pass.occupants, &spec.resources, avoided);
        let Some(displacement) = found else {
            return Outcome::Blocked(none);
        };
        pass.displacing += 1;
        for task in &displacement.tasks {
            self.stop(task, StopReason::Displaced);
            pass.mark_stopping(&displacement.worker, task);
        }
        let at = cx.now + EXPECTED_STOP_TIME;
        self.reserve_on(pass, spec, id, &displacement.worker, at);
        Outcome::Reserved
    }

    /// Reserves capacity on a worker for a task, in this pass and the following ones.
    fn reserve_on(
        &mut self,
        pass: &mut Pass,
        spec: &JobSpec,
        id: &TaskId,
        worker: &WorkerId,
        at: Timestamp,
    ) {
        pass.add_reservation(worker, &spec.resources, at);
        let worker = worker.clone();
        let reservation = Reservation { worker, at };
        self.reservations.insert(id.clone(), reservation);
    }

    /// Stops the running attempt of a task; the worker gets the command once the stop is durable.
    pub(super) fn stop(&mut self, task: &TaskId, reason: StopReason) {
        let Some(attempt) = self.ledger.task(task).map(|task| task.attempt) else {
            return;
        };
        let Some((worker, None)) = self.ledger.placement_of(task, attempt) else {
            return;
        };
        let worker = worker.clone();
        let applied = self.journal_change(Change::Stopping {
            task: task.clone(),
            attempt,
            reason,
        });
        let id = AttemptId {
            task: task.clone(),
            attempt,
        };
        let link = self.links.get_mut(&worker);
        if let Some(tracked) = link.and_then(|link| link.tracked.get_mut(&id))
            && applied
        {
            tracked.stop_change = Some(self.journal.change_count);
            let decision = Decision::Stopping { worker, reason };
            self.decisions.insert(task.clone(), decision);
        }
    }

    /// Stops all tasks on workers that are leaving; each saves a checkpoint if it can.
    fn drain_leaving_workers(&mut self, cx: &Cx<'_>) {
        let listed = self.listed_workers(cx);
        let leaving = listed.iter().filter(|(_, listed)| listed.leaving);
        let mut tasks = Vec::new();
        for (worker, _) in leaving {
            let worker_tasks = self.ledger.workers.get(*worker);
            tasks.extend(
                worker_tasks
                    .into_iter()
                    .flat_map(|p| p.tasks.keys().cloned()),
            );
        }
        for task in tasks {
            self.stop(&task, StopReason::WorkerLeaving);
        }
    }
}

impl Pass {
    /// Counts resources as reserved on a worker until `at` at least.
    fn add_reservation(&mut self, worker: &WorkerId, resources: &Resources, at: Timestamp) {
        let candidate = self.candidates.iter_mut().find(|c| c.worker == *worker);
        if let Some(candidate) = candidate {
            candidate.reserved = candidate.reserved.plus(resources);
            candidate.reserved_at = candidate.reserved_at.max(at);
        }
    }

    fn remove_reservation(&mut self, worker: &WorkerId, resources: &Resources) {
        let candidate = self.candidates.iter_mut().find(|c| c.worker == *worker);
        if let Some(candidate) = candidate {
            candidate.reserved = candidate.reserved.minus(resources).unwrap_or_default();
        }
    }

    fn mark_stopping(&mut self, worker: &WorkerId, task: &TaskId) {
        let on_worker = self.occupants.get_mut(worker);
        let occupant =
            on_worker.and_then(|on_worker| on_worker.iter_mut().find(|o| o.task == *task));
        if let Some(occupant) = occupant {
            occupant.stopping = true;
        }
    }

    /// True if a task that is no larger and runs no longer has already failed to fit in this pass.
    fn cannot_fit(&self, spec: &JobSpec, run_time: Span) -> bool {
        self.unplaced
            .iter()
            .any(|u| u.resources.fits_in(&spec.resources) && u.run_time <= run_time)
    }

    /// Returns the workers on which the task failed, or none if no other worker is large enough.
    fn workers_to_avoid<'a>(&self, spec: &JobSpec, task: &'a Task) -> &'a [WorkerId] {
        let is_usable = |c: &Candidate| {
            spec.resources.fits_in(&c.capacity) && !task.failed_on.contains(&c.worker)
        };
        match self.candidates.iter().any(is_usable) {
            true => &task.failed_on,
            false => &[],
        }
    }
}
