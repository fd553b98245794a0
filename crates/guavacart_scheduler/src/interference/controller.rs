//! What to do with the tasks of each worker, cheapest action first.

mod learned;
mod simple;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guavacart_config::{Configuration, SharingPolicy};
use guavacart_types::{BatchClass, ServiceName, Span, TaskId, Timestamp, WorkerId};

use super::{
    crowding::Crowding,
    decision::{Action, Decision, RunningTask, Why},
    demand::Demand,
    estimator::Estimator,
};

/// Window of the cap on evictions.
const EVICTION_WINDOW: Span = Span::secs(60);
/// Rest of a worker after an eviction, longer than reports are late.
const EVICTION_COOLDOWN: Span = Span::secs(8);
/// How long a changed speed stands before it may be raised.
const SPEED_HOLD_SPAN: Span = Span::secs(8);
/// Time until a decision that has shown no effect is made again.
const RESEND_SPAN: Span = Span::secs(2);
/// Progress from which a task counts as close to done, in parts per million.
const NEAR_DONE_PPM: u32 = 800_000;

/// All that decisions rest on.
pub(super) struct Inputs<'a> {
    pub(super) now: Timestamp,
    pub(super) configuration: &'a Configuration,
    pub(super) services: &'a BTreeMap<WorkerId, BTreeSet<ServiceName>>,
    pub(super) estimator: &'a Estimator,
    pub(super) demand: &'a Demand,
    pub(super) crowding: &'a Crowding,
}

/// What the last report of a service on a worker showed.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Timestamp,
    excess: f64,
}

/// What was decided lately.
#[derive(Debug, Default)]
pub(super) struct Controller {
    reported: BTreeMap<WorkerId, BTreeMap<ServiceName, Reported>>,
    changed_at: BTreeMap<TaskId, Timestamp>,
    exceeded_since: BTreeMap<WorkerId, Timestamp>,
    evicted_at: BTreeMap<WorkerId, Timestamp>,
    evictions: VecDeque<Timestamp>,
}

impl Controller {
    /// Notes the excess of a service's latency that a worker reported.
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
                SharingPolicy::Learned => {
                    self.apply_learned(inputs, worker, &tasks, &mut decisions)
                }
                SharingPolicy::None => {}
                SharingPolicy::Static => self.apply_fixed_share(inputs, &tasks, &mut decisions),
                SharingPolicy::Reactive => {
                    self.apply_reactive(inputs, worker, &tasks, &mut decisions)
                }
            }
        }
        decisions
    }

    /// Forgets tasks that have ended, workers without tasks and evictions outside the window.
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

    /// Decides on a task's speed, unless that was done a moment ago.
    fn throttle(
        &mut self,
        now: Timestamp,
        task: &RunningTask,
        percent: u32,
        why: Why,
        decisions: &mut Vec<Decision>,
    ) {
        let changed_at = self.changed_at.get(&task.task);
        if changed_at.is_some_and(|at| now.since(*at) < RESEND_SPAN) {
            return;
        }
        self.changed_at.insert(task.task.clone(), now);
        decisions.push(decision(task, Action::Throttle { percent }, why));
    }

    /// Evicts a task.
    fn evict(
        &mut self,
        inputs: &Inputs<'_>,
        task: &RunningTask,
        why: Why,
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

/// The speed that a class is throttled to, in percent; none if it is never throttled.
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

fn decision(task: &RunningTask, action: Action, why: Why) -> Decision {
    Decision {
        worker: task.worker.clone(),
        task: task.task.clone(),
        attempt: task.attempt,
        action,
        why,
    }
}

/// A share in thousandths.
fn thousandths(share: f64) -> u32 {
    (share.max(0.0) * 1_000.0).round() as u32
}
