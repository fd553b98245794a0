//! Model of an executor as the platform describes it: leases, epochs, runs and ended runs.

use std::collections::BTreeMap;

use guavacart_jobs::{
    EndedRun, HoldOrder, HoldReport, ListedRun, OrderFailure, RefusalReason, RunNumber, RunOutcome,
    StartOrder, TaskKey,
};
use guavacart_types::{Epoch, Incarnation};

use crate::{capacity::Capacity, site::MAX_LEASE_MS};

/// A run on an executor.
pub(crate) struct Running {
    pub(crate) run: RunNumber,
    /// When the work ends, on the simulation's clock; `None` for a service task.
    pub(crate) done_at: Option<u64>,
    /// True if the run ends as failed.
    pub(crate) fails: bool,
}

/// An ended run that is not acknowledged.
pub(crate) struct Ended {
    pub(crate) end: EndedRun,
    /// When the run ended, on the simulation's clock.
    pub(crate) at: u64,
    /// True if the lease has expired since the end.
    pub(crate) is_expired: bool,
}

/// One incarnation of an executor.
pub(crate) struct Executor {
    /// Start on the simulation's clock, which also identifies the incarnation.
    pub(crate) started_at: u64,
    /// Incarnation in the executor's entry.
    pub(crate) written_incarnation: u64,
    /// Number of executors that the machine has run before this one, each under an id of its own.
    pub(crate) life: u32,
    pub(crate) is_up: bool,
    /// Time until which owners cannot reach the executor.
    pub(crate) unreachable_until: u64,
    pub(crate) capacity: Capacity,
    /// Greatest epoch seen; orders of a smaller one are refused.
    max_epoch: Epoch,
    /// End of the lease, on the executor's clock.
    lease_end_ms: u64,
    pub(crate) running: BTreeMap<TaskKey, Running>,
    ended: Vec<Ended>,
    last_end_number: u64,
    /// Greatest number of a run that was stopped or ended here, by task.
    max_ended_run: BTreeMap<TaskKey, RunNumber>,
}

impl Executor {
    pub(crate) fn new(started_at: u64, capacity: Capacity) -> Self {
        Self {
            started_at,
            written_incarnation: started_at,
            life: 0,
            is_up: true,
            unreachable_until: 0,
            capacity,
            max_epoch: Epoch(0),
            lease_end_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            max_ended_run: BTreeMap::new(),
        }
    }

    /// Returns the executor's clock, which is 2% slow and starts anew with each incarnation.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.started_at) * 98 / 100 + 1
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), OrderFailure> {
        if epoch < self.max_epoch {
            return Err(OrderFailure::Refused(RefusalReason::Fenced));
        }
        self.max_epoch = epoch;
        Ok(())
    }

    fn extend_lease(&mut self, now: u64, deadline: u64) {
        let max_end = self.clock(now) + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline.min(max_end));
    }

    pub(crate) fn end_run(&mut self, now: u64, task: TaskKey, outcome: RunOutcome) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.last_end_number += 1;
        let max_ended_run = self.max_ended_run.entry(task).or_default();
        *max_ended_run = (*max_ended_run).max(running.run);
        let end = EndedRun {
            number: self.last_end_number,
            task,
            run: running.run,
            outcome,
            checkpoint: "".into(),
        };
        self.ended.push(Ended {
            end,
            at: now,
            is_expired: false,
        });
    }

    pub(crate) fn is_lease_expired(&self, now: u64) -> bool {
        self.clock(now) > self.lease_end_ms
    }

    /// Ends all runs if the lease has expired.
    pub(crate) fn expire_lease(&mut self, now: u64) {
        if !self.is_lease_expired(now) {
            return;
        }
        let tasks: Vec<TaskKey> = self.running.keys().copied().collect();
        for task in tasks {
            self.end_run(now, task, RunOutcome::Lapsed);
        }
        self.ended
            .iter_mut()
            .for_each(|ended| ended.is_expired = true);
    }

    /// Carries out a hold. Returns the report and the ended runs that the hold acknowledged.
    pub(crate) fn hold(
        &mut self,
        now: u64,
        order: &HoldOrder,
    ) -> Result<(HoldReport, Vec<Ended>), OrderFailure> {
        self.expire_lease(now);
        self.check_epoch(order.epoch)?;
        if let Some(deadline) = order.deadline_ms {
            self.extend_lease(now, deadline);
        }
        let is_acknowledged = |ended: &mut Ended| ended.end.number <= order.acknowledged;
        let acknowledged = self.ended.extract_if(.., is_acknowledged).collect();
        Ok((self.lists(now), acknowledged))
    }

    /// Returns a report as of a time after the hold was carried out.
    pub(crate) fn report(&mut self, now: u64) -> HoldReport {
        self.expire_lease(now);
        self.lists(now)
    }

    fn lists(&self, now: u64) -> HoldReport {
        let running = self.running.iter().map(|(task, running)| ListedRun {
            task: *task,
            run: running.run,
            checkpoint: "".into(),
            percent: 100,
            usage: None,
        });
        HoldReport {
            incarnation: Incarnation(self.started_at),
            clock_ms: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().map(|ended| ended.end.clone()).collect(),
            has_more_ends: false,
        }
    }

    /// Carries out a start. Returns true if a new run began, false if the run was running already.
    pub(crate) fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        running: Running,
    ) -> Result<bool, OrderFailure> {
        self.expire_lease(now);
        self.check_epoch(order.epoch)?;
        if self
            .running
            .get(&order.task)
            .is_some_and(|existing| existing.run == order.run)
        {
            return Ok(false);
        }
        if order.deadline_ms < self.clock(now) {
            return Err(OrderFailure::Refused(RefusalReason::Late));
        }
        self.extend_lease(now, order.deadline_ms);
        let is_old = self
            .max_ended_run
            .get(&order.task)
            .is_some_and(|max_ended_run| order.run <= *max_ended_run);
        if is_old || self.running.contains_key(&order.task) {
            return Err(OrderFailure::Refused(RefusalReason::OldRun));
        }
        self.running.insert(order.task, running);
        Ok(true)
    }

    pub(crate) fn stop(
        &mut self,
        now: u64,
        epoch: Epoch,
        task: TaskKey,
        run: RunNumber,
    ) -> Result<(), OrderFailure> {
        self.expire_lease(now);
        self.check_epoch(epoch)?;
        let max_ended_run = self.max_ended_run.entry(task).or_default();
        *max_ended_run = (*max_ended_run).max(run);
        if self
            .running
            .get(&task)
            .is_some_and(|existing| existing.run <= run)
        {
            self.end_run(now, task, RunOutcome::Stopped);
        }
        Ok(())
    }
}
