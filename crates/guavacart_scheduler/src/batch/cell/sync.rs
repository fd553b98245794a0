//! Calls to workers, their reports, and leases that expired.

use std::collections::BTreeSet;

use guavacart_types::{ByteSize, Epoch, Timestamp, WorkerId};

use super::{Cell, Outputs};
use crate::{
    Cx,
    batch::{
        BatchEffect,
        decision::Decision,
        job::{AttemptEnd, StopReason},
        journal::Change,
        link::{ATTEMPT_LEASE, Tracked, WorkerLink},
        worker::{AttemptId, AttemptState, WorkerAnswer, WorkerCommand, WorkerReport, WorkerSync},
    },
};

/// A call that has this many commands gets no further attempts.
const MAX_COMMANDS: usize = 500;

impl Cell {
    /// Calls every listed worker whose next call is due.
    pub(super) fn sync_workers(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        let Some(valid_until) = cx.membership.lease_expires_at(cx.now) else {
            return;
        };
        for (worker, listed) in self.listed_workers(cx) {
            let owned_since = self.owned_since;
            let link = self.links.entry(worker.clone());
            let link = link.or_insert_with(|| WorkerLink::new(owned_since));
            if !link.is_due(cx.now) {
                continue;
            }
            let sync = outputs.next_number();
            let call = self.sync_call(worker);
            let grants = call.grants();
            if let Some(link) = self.links.get_mut(worker) {
                link.call_sent(cx.now, sync, grants);
            }
            outputs.emit(BatchEffect::Sync {
                cell: self.id.clone(),
                worker: worker.clone(),
                address: listed.address,
                sync,
                call: Box::new(call),
                valid_until,
            });
        }
    }

    /// Builds the next call to a worker from the changes that are durable.
    fn sync_call(&mut self, worker: &WorkerId) -> WorkerSync {
        let mut call = WorkerSync {
            epoch: self.epoch,
            renew: Vec::new(),
            lease: ATTEMPT_LEASE,
            commands: Vec::new(),
        };
        let Some(link) = self.links.get(worker) else {
            return call;
        };
        let durable_count = self.journal.durable_count;
        let ended = link.ended.iter().filter(|(_, at)| **at <= durable_count);
        let acknowledge = ended.map(|(id, _)| WorkerCommand::Acknowledge(id.clone()));
        call.commands.extend(acknowledge);
        let stop_unknown = link.unknown_attempts.iter().map(|id| WorkerCommand::Stop {
            id: id.clone(),
            checkpoint: false,
        });
        call.commands.extend(stop_unknown);
        let mut throttled = Vec::new();
        for (id, tracked) in &link.tracked {
            if call.commands.len() >= MAX_COMMANDS {
                break;
            }
            let before = call.commands.len();
            self.add_attempt(&mut call, link, id, tracked);
            let last = call.commands.get(before..).and_then(<[_]>::last);
            if matches!(last, Some(WorkerCommand::Throttle { .. })) {
                throttled.push(id.clone());
            }
        }
        if let Some(link) = self.links.get_mut(worker) {
            for id in throttled {
                if let Some(tracked) = link.tracked.get_mut(&id) {
                    tracked.throttle_sent = tracked.throttle;
                }
            }
        }
        call
    }

    /// Adds the renewal and the commands for one attempt to a call.
    ///
    /// Nothing is sent before the placement is durable. No lease is renewed and nothing started while
    /// too many renewals are unanswered.
    fn add_attempt(
        &self,
        call: &mut WorkerSync,
        link: &WorkerLink,
        id: &AttemptId,
        tracked: &Tracked,
    ) {
        let durable_count = self.journal.durable_count;
        if tracked.placed_change > durable_count {
            return;
        }
        let confirmed = tracked.confirmed_at.is_some();
        if confirmed && link.may_grant() {
            call.renew.push(id.clone());
        }
        if tracked.stop_change.is_some_and(|at| at <= durable_count) {
            let placement = self.ledger.placement_of(&id.task, id.attempt);
            let reason = placement.and_then(|(_, reason)| reason);
            call.commands.push(WorkerCommand::Stop {
                id: id.clone(),
                checkpoint: reason != Some(StopReason::Cancelled),
            });
            return;
        }
        if !confirmed && link.may_grant() {
            call.commands.extend(self.start_command(id));
        } else if !confirmed {
            return;
        }
        if let Some(percent) = tracked.throttle
            && tracked.throttle != tracked.throttle_sent
        {
            let id = id.clone();
            call.commands.push(WorkerCommand::Throttle { id, percent });
        }
    }

    fn start_command(&self, id: &AttemptId) -> Option<WorkerCommand> {
        let job = self.ledger.jobs.get(&id.task.job)?;
        let task = self.ledger.task(&id.task)?;
        Some(WorkerCommand::Start {
            id: id.clone(),
            class: job.spec.class.clone(),
            resources: job.spec.resources,
            run_time: job.spec.run_time,
            payload: job.spec.payload.clone(),
            checkpoint: task.checkpoint.clone(),
            lease: ATTEMPT_LEASE,
        })
    }

    /// Brings forward the calls to workers for which commands are now durable.
    pub(super) fn expedite_calls(&mut self, now: Timestamp) {
        let durable_count = self.journal.durable_count;
        for link in self.links.values_mut() {
            let has_command = |t: &Tracked| {
                t.placed_change <= durable_count
                    && (t.confirmed_at.is_none()
                        || t.stop_change.is_some_and(|at| at <= durable_count))
            };
            let can_acknowledge = link.ended.values().any(|at| *at <= durable_count);
            if can_acknowledge || link.tracked.values().any(has_command) {
                link.call_soon(now);
            }
        }
    }

    /// Handles a worker's answer.
    ///
    /// Returns the later epoch that the worker has seen, if it rejected this owner's.
    pub(in crate::batch) fn worker_answered(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        report: WorkerReport,
    ) -> Option<Epoch> {
        let WorkerReport {
            worker,
            sync,
            answer,
        } = report;
        let link = self.links.get_mut(&worker)?;
        let call = link.call_ended(sync)?;
        match answer {
            WorkerAnswer::Report { attempts, usage } => {
                link.answered(cx.now);
                self.observe_usage(cx, &worker, &usage);
                self.attempts_reported(cx, &worker, attempts);
                self.record_memory_use(cx, &worker, &usage);
            }
            WorkerAnswer::NotSent => link.resend_throttles(),
            WorkerAnswer::Superseded(epoch) => return Some(epoch),
            WorkerAnswer::Unknown => {
                link.unanswered(call);
                link.resend_throttles();
            }
        }
        self.act(cx, outputs);
        None
    }

    /// Applies the worker's list of attempts.
    fn attempts_reported(
        &mut self,
        cx: &Cx<'_>,
        worker: &WorkerId,
        attempts: Vec<(AttemptId, AttemptState)>,
    ) {
        let listed: BTreeSet<AttemptId> = attempts.iter().map(|(id, _)| id.clone()).collect();
        for (id, state) in attempts {
            self.attempt_reported(cx, worker, id, state);
        }
        self.end_unreported(cx, worker, &listed);
        let durable_count = self.journal.durable_count;
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        link.ended
            .retain(|id, at| *at > durable_count || listed.contains(id));
        link.unknown_attempts.retain(|id| listed.contains(id));
        link.update_proven(cx.now);
        if !link.ended.is_empty() || !link.unknown_attempts.is_empty() {
            link.call_soon(cx.now);
        }
    }

    /// Applies the reported state of one attempt.
    ///
    /// A running attempt that is not placed on this worker is unknown to the cell and gets stopped.
    fn attempt_reported(
        &mut self,
        cx: &Cx<'_>,
        worker: &WorkerId,
        id: AttemptId,
        state: AttemptState,
    ) {
        let placement = self.ledger.placement_of(&id.task, id.attempt);
        let here = placement.is_some_and(|(at, _)| at == worker);
        let after_change = self.journal.change_count;
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        match (here, state) {
            (true, AttemptState::Running { progress_ppm }) => {
                if let Some(tracked) = link.tracked.get_mut(&id) {
                    tracked.confirmed_at.get_or_insert(cx.now);
                    tracked.progress_ppm = progress_ppm;
                }
            }
            (false, AttemptState::Running { .. }) => {
                link.unknown_attempts.insert(id);
            }
            (true, ended) => self.end_attempt(cx, worker, &id, attempt_end(ended)),
            (false, _) => {
                link.unknown_attempts.remove(&id);
                link.ended.entry(id).or_insert(after_change);
            }
        }
    }

    /// Ends the attempts that the worker once reported and no longer does, without a result.
    fn end_unreported(&mut self, cx: &Cx<'_>, worker: &WorkerId, listed: &BTreeSet<AttemptId>) {
        let Some(link) = self.links.get(worker) else {
            return;
        };
        let missing = link
            .tracked
            .iter()
            .filter(|(id, tracked)| tracked.confirmed_at.is_some() && !listed.contains(id));
        let missing: Vec<AttemptId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.end_attempt(cx, worker, &id, AttemptEnd::Lapsed);
        }
    }

    /// Journals the end of an attempt.
    fn end_attempt(&mut self, cx: &Cx<'_>, worker: &WorkerId, id: &AttemptId, end: AttemptEnd) {
        let applied = self.journal_change(Change::Ended {
            task: id.task.clone(),
            attempt: id.attempt,
            end: end.clone(),
        });
        if !applied {
            return;
        }
        self.dirty = true;
        self.update_estimates(cx.now, worker, id, &end);
        let after_change = self.journal.change_count;
        let worker_tasks = self.ledger.workers.get(worker);
        let failures = worker_tasks.map_or(0, |worker_tasks| worker_tasks.failures_in_a_row);
        if let Some(link) = self.links.get_mut(worker) {
            link.tracked.remove(id);
            link.ended.insert(id.clone(), after_change);
            match end {
                AttemptEnd::Finished => link.record_success(),
                AttemptEnd::Failed => link.record_failure(cx.now, failures),
                _ => {}
            }
        }
        let task = self.ledger.task(&id.task);
        if task.is_none_or(|task| task.state.is_ended()) {
            self.decisions.remove(&id.task);
        } else {
            let worker = worker.clone();
            let decision = Decision::Retrying { worker, end };
            self.decisions.insert(id.task.clone(), decision);
        }
    }

    /// Updates the estimates of run time and memory with a task that ran from start to finish.
    fn update_estimates(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        id: &AttemptId,
        end: &AttemptEnd,
    ) {
        let tracked = self.links.get(worker).and_then(|l| l.tracked.get(id));
        let peak = tracked.map_or(ByteSize::default(), |t| t.peak);
        let started_at = tracked.and_then(|t| t.confirmed_at.or(Some(t.placed_at)));
        let (Some(started_at), Some(job)) = (started_at, self.ledger.jobs.get(&id.task.job)) else {
            return;
        };
        let resumed = self.ledger.task(&id.task);
        let resumed = resumed.is_some_and(|task| task.checkpoint.is_some());
        if *end == AttemptEnd::Finished && !resumed {
            let run_time = now.since(started_at);
            self.run_time_estimates.finished(&job.spec, run_time);
            self.memory_estimates.finished(&job.spec, peak);
        }
    }

    /// Ends attempts on workers that have been silent for longer than any lease.
    ///
    /// An attempt that the worker never reported ends only if the platform no longer lists the worker:
    /// an unanswered call may still start it.
    pub(super) fn expire_leases(&mut self, cx: &Cx<'_>) {
        let read_at = cx.directory.read_at;
        let current = read_at.is_some_and(|at| at > self.owned_since);
        let mut expired = Vec::new();
        for (worker, link) in &self.links {
            if link.tracked.is_empty() || cx.now < link.leases_end(self.last_peer_renewal) {
                continue;
            }
            let is_unlisted = current && !cx.directory.workers.contains_key(worker);
            if is_unlisted || !link.has_unconfirmed() {
                let ids = link.tracked.keys().cloned();
                expired.push((worker.clone(), ids.collect::<Vec<_>>()));
                continue;
            }
            let confirmed = link
                .tracked
                .iter()
                .filter(|(_, t)| t.confirmed_at.is_some());
            let ids = confirmed.map(|(id, _)| id.clone());
            expired.push((worker.clone(), ids.collect()));
        }
        for (worker, ids) in expired {
            for id in ids {
                self.end_attempt(cx, &worker, &id, AttemptEnd::Lapsed);
            }
        }
    }
}

fn attempt_end(state: AttemptState) -> AttemptEnd {
    match state {
        AttemptState::Finished => AttemptEnd::Finished,
        AttemptState::Failed => AttemptEnd::Failed,
        AttemptState::Stopped { checkpoint } => AttemptEnd::Stopped { checkpoint },
        AttemptState::Refused => AttemptEnd::Refused,
        AttemptState::Running { .. } | AttemptState::Lapsed => AttemptEnd::Lapsed,
    }
}
