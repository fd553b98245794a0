//! Decides what to do with the tasks of each worker, trying cheaper actions first.

mod learned;
mod simple;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guavacart_config::{Configuration, SharingPolicy};
use guavacart_types::{BatchClass, ServiceName, Span, TaskId, Timestamp, WorkerId};

use super::{
    crowding::Crowding,
    decision::{Action, Decision, DecisionReason, RunningTask},
    demand::Demand,
    estimator::Estimator,
};

/// Window over which evictions are counted against the configured cap.
const EVICTION_WINDOW: Span = Span::secs(60);
/// Time after an eviction on a worker before the next one there. Longer than the delay of reports, so
/// that the effect of the eviction is seen first.
const EVICTION_COOLDOWN: Span = Span::secs(8);
/// Least time between a change of a task's speed and the next increase.
const SPEED_HOLD_SPAN: Span = Span::secs(8);
/// Time until a decision that has had no effect is repeated.
const RESEND_SPAN: Span = Span::secs(2);
/// Progress from which a task counts as nearly done, in parts per million.
const NEAR_DONE_PPM: u32 = 800_000;

/// The state that decisions are based on.
pub(super) struct Inputs<'a> {
    pub(super) now: Timestamp,
    pub(super) configuration: &'a Configuration,
    pub(super) services: &'a BTreeMap<WorkerId, BTreeSet<ServiceName>>,
    pub(super) estimator: &'a Estimator,
    pub(super) demand: &'a Demand,
    pub(super) crowding: &'a Crowding,
}

/// The last report of a service on a worker.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Timestamp,
    /// Latency above the undisturbed one, as a share of it.
    excess: f64,
}

/// The controller's memory of reports and recent decisions.
#[derive(Debug, Default)]
pub(super) struct Controller {
    reported: BTreeMap<WorkerId, BTreeMap<ServiceName, Reported>>,
    changed_at: BTreeMap<TaskId, Timestamp>,
    /// Since when throttling has not been enough on a worker.
    exceeded_since: BTreeMap<WorkerId, Timestamp>,
    evicted_at: BTreeMap<WorkerId, Timestamp>,
    evictions: VecDeque<Timestamp>,
}

impl Controller {
    /// Records how far a service's reported latency on a worker exceeds the undisturbed one.
    pub(super) fn record_excess(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        service: &ServiceName,
        excess: f64,
    ) {
        let reports = self.reported.entry(worker.clone()).or_default();
        reports.insert(service.clone(), Reported { at: now, excess });
    }

    pub(super) fn decide(&mut self, inputs: &Inputs<'_>, tasks: &[RunningTask]) -> Vec<Decision> {
        self.prune(inputs, tasks);
        let mut decisions = Vec::new();
        for (worker, tasks) in by_worker(tasks) {
            match inputs.configuration.sharing.policy {
                SharingPolicy::Learned => self.learned(inputs, worker, &tasks, &mut decisions),
                SharingPolicy::None => {}
                SharingPolicy::Static => self.fixed_share(inputs, &tasks, &mut decisions),
                SharingPolicy::Reactive => self.reactive(inputs, worker, &tasks, &mut decisions),
            }
        }
        decisions
    }

    /// Drops tasks that have ended, workers without tasks or services, and old evictions.
    fn prune(&mut self, inputs: &Inputs<'_>, tasks: &[RunningTask]) {
        let now = inputs.now;
        let ids: BTreeSet<&TaskId> = tasks.iter().map(|t| &t.task).collect();
        let workers: BTreeSet<&WorkerId> = tasks.iter().map(|t| &t.worker).collect();
        self.changed_at.retain(|task, _| ids.contains(task));
        self.exceeded_since
            .retain(|worker, _| workers.contains(worker));
        self.evicted_at
            .retain(|_, at| now.since(*at) < EVICTION_COOLDOWN);
        self.reported
            .retain(|worker, _| inputs.services.contains_key(worker));
        while self
            .evictions
            .front()
            .is_some_and(|at| now.since(*at) >= EVICTION_WINDOW)
        {
            self.evictions.pop_front();
        }
    }

    /// Sets a task's speed, unless its speed was set within [`RESEND_SPAN`].
    fn throttle(
        &mut self,
        now: Timestamp,
        task: &RunningTask,
        percent: u32,
        why: DecisionReason,
        decisions: &mut Vec<Decision>,
    ) {
        let changed_at = self.changed_at.get(&task.task);
        if changed_at.is_some_and(|at| now.since(*at) < RESEND_SPAN) {
            return;
        }
        self.changed_at.insert(task.task.clone(), now);
        decisions.push(decision(task, Action::Throttle { percent }, why));
    }

    /// Evicts a task: moves it with a checkpoint if its class has checkpoints, stops it otherwise.
    fn evict(
        &mut self,
        inputs: &Inputs<'_>,
        task: &RunningTask,
        why: DecisionReason,
        decisions: &mut Vec<Decision>,
    ) {
        self.evictions.push_back(inputs.now);
        self.evicted_at.insert(task.worker.clone(), inputs.now);
        self.exceeded_since.remove(&task.worker);
        let rule = inputs.configuration.batch_classes.get(&task.class);
        let action = if rule.is_some_and(|rule| rule.checkpoints) {
            Action::Move
        } else {
            Action::Stop
        };
        decisions.push(decision(task, action, why));
    }

    fn is_speed_held(&self, now: Timestamp, task: &RunningTask) -> bool {
        let changed_at = self.changed_at.get(&task.task);
        changed_at.is_some_and(|at| now.since(*at) < SPEED_HOLD_SPAN)
    }
}

/// Returns the speed to which a class is throttled, in percent, or `None` if it is never throttled.
fn throttled_percent(configuration: &Configuration, class: &BatchClass) -> Option<u32> {
    let rule = configuration.batch_classes.get(class)?;
    (1..100)
        .contains(&rule.throttled_percent)
        .then_some(rule.throttled_percent)
}

fn by_worker(tasks: &[RunningTask]) -> BTreeMap<&WorkerId, Vec<&RunningTask>> {
    let mut workers: BTreeMap<&WorkerId, Vec<&RunningTask>> = BTreeMap::new();
    for task in tasks {
        workers.entry(&task.worker).or_default().push(task);
    }
    workers
}

fn decision(task: &RunningTask, action: Action, why: DecisionReason) -> Decision {
    Decision {
        worker: task.worker.clone(),
        task: task.task.clone(),
        attempt: task.attempt,
        action,
        why,
    }
}

/// Converts a share to thousandths; negative shares become 0.
fn thousandths(share: f64) -> u32 {
    (share.max(0.0) * 1_000.0).round() as u32
}
