//! An executor as the platform describes it: leases, fences, runs, ends.

use std::collections::BTreeMap;

use guavacart_jobs::{
    HoldOrder, HoldReport, HowEnded, OrderFailure, Refusal, RunEnded, RunListed, RunNumber,
    StartOrder, TaskKey,
};
use guavacart_types::{Epoch, Incarnation};

use crate::site::MAX_LEASE_MS;

pub(crate) struct Running {
    pub(crate) run: RunNumber,
    /// When its work is done, on the world's clock; `None` for a task that lasts.
    pub(crate) done_at: Option<u64>,
    /// How it ends then.
    pub(crate) fails: bool,
}

pub(crate) struct Executor {
    pub(crate) born: u64,
    pub(crate) up: bool,
    /// Cut off from owners until then.
    pub(crate) cut_until: u64,
    fence: Epoch,
    deadline_ms: u64,
    pub(crate) running: BTreeMap<TaskKey, Running>,
    /// Ends that are not acknowledged, and whether the lease has lapsed since.
    pub(crate) ended: Vec<(RunEnded, bool)>,
    last_end: u64,
    /// Greatest run that stopped or ended here, by task.
    closed: BTreeMap<TaskKey, RunNumber>,
}

impl Executor {
    pub(crate) fn new(born: u64) -> Self {
        Self {
            born,
            up: true,
            cut_until: 0,
            fence: Epoch(0),
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        }
    }

    /// Its clock is 2% slow and starts anew with each incarnation.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.born) * 98 / 100 + 1
    }

    fn check_fence(&mut self, epoch: Epoch) -> Result<(), OrderFailure> {
        if epoch < self.fence {
            return Err(OrderFailure::Refused(Refusal::Fenced));
        }
        self.fence = epoch;
        Ok(())
    }

    fn extend(&mut self, now: u64, deadline: u64) {
        let most = self.clock(now) + MAX_LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(deadline.min(most));
    }

    pub(crate) fn end(&mut self, task: TaskKey, how: HowEnded) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.last_end += 1;
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(running.run);
        let end = RunEnded {
            number: self.last_end,
            task,
            run: running.run,
            how,
            checkpoint: "".into(),
        };
        self.ended.push((end, false));
    }

    /// Kills everything if the lease has run out.
    pub(crate) fn lapse(&mut self, now: u64) {
        if self.clock(now) <= self.deadline_ms {
            return;
        }
        self.ended.iter_mut().for_each(|(_, lapsed)| *lapsed = true);
        let tasks: Vec<TaskKey> = self.running.keys().copied().collect();
        for task in tasks {
            self.end(task, HowEnded::Lapsed);
        }
        self.ended.iter_mut().for_each(|(_, lapsed)| *lapsed = true);
    }

    /// The report, and the ends that were acknowledged by the call.
    pub(crate) fn hold(
        &mut self,
        now: u64,
        order: &HoldOrder,
    ) -> Result<(HoldReport, Vec<(RunEnded, bool)>), OrderFailure> {
        self.lapse(now);
        self.check_fence(order.epoch)?;
        if let Some(deadline) = order.deadline_ms {
            self.extend(now, deadline);
        }
        let is_acked = |end: &mut (RunEnded, bool)| end.0.number <= order.acknowledged;
        let acked = self.ended.extract_if(.., is_acked).collect();
        let running = self.running.iter().map(|(task, running)| RunListed {
            task: *task,
            run: running.run,
            checkpoint: "".into(),
            percent: 100,
            usage: None,
        });
        let report = HoldReport {
            incarnation: Incarnation(self.born),
            clock_ms: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().map(|(end, _)| end.clone()).collect(),
            is_partial: false,
        };
        Ok((report, acked))
    }

    /// True if a new run began.
    pub(crate) fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        running: Running,
    ) -> Result<bool, OrderFailure> {
        self.lapse(now);
        self.check_fence(order.epoch)?;
        if self
            .running
            .get(&order.task)
            .is_some_and(|here| here.run == order.run)
        {
            return Ok(false);
        }
        if order.deadline_ms < self.clock(now) {
            return Err(OrderFailure::Refused(Refusal::Late));
        }
        self.extend(now, order.deadline_ms);
        let is_old = self
            .closed
            .get(&order.task)
            .is_some_and(|closed| order.run <= *closed);
        if is_old || self.running.contains_key(&order.task) {
            return Err(OrderFailure::Refused(Refusal::OldRun));
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
        self.lapse(now);
        self.check_fence(epoch)?;
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run);
        if self.running.get(&task).is_some_and(|here| here.run <= run) {
            self.end(task, HowEnded::Stopped);
        }
        Ok(())
    }
}
