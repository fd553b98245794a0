//! The learned policy: decisions based on the estimates for each pair of service and class.

use std::cmp::Reverse;

use guavacart_types::{ServiceName, Span, Timestamp, WorkerId};

use super::{
    Controller, Decision, DecisionReason, Inputs, NEAR_DONE_PPM, RunningTask, thousandths,
    throttled_percent,
};
use crate::interference::demand::HEADROOM_QUANTILE;

/// Latency that batch work may add to a calm service at equal weights, as a share of the undisturbed
/// latency.
const CALM_ALLOWANCE: f64 = 0.18;
/// Share of the allowance that added latency must not exceed once a task's speed is restored.
const RESTORE_SHARE: f64 = 0.8;
/// Least latency, as a share, that throttling must remove per whole worker of removed pressure. Below
/// that, the gain is not worth the lost work.
const MIN_GAIN: f64 = 0.2;
/// Share of the allowance that is withheld when the service is expected to need all its slots.
const HEADROOM_SHARE: f64 = 0.25;
/// How long throttling may be insufficient before a task is evicted, at equal weights, in milliseconds.
const EVICTION_DELAY_MS: f64 = 15_000.0;

/// The latency that batch work adds to a service on one worker, and the latency it is allowed to add.
/// Both are shares of the undisturbed latency.
struct Slowdown<'a> {
    service: &'a ServiceName,
    crowded: bool,
    /// Added latency at the tasks' current speeds.
    added: f64,
    allowed: f64,
}

impl Slowdown<'_> {
    fn why(&self) -> DecisionReason {
        let service = self.service.clone();
        let added = thousandths(self.added);
        let allowed = thousandths(self.allowed);
        if self.crowded {
            DecisionReason::Crowded {
                service,
                added,
                allowed,
            }
        } else {
            DecisionReason::Disturbs {
                service,
                added,
                allowed,
            }
        }
    }
}

impl Controller {
    /// Decides on one worker's tasks: throttles or evicts while a service is slowed too much, and restores
    /// speeds otherwise unless that service is crowded.
    pub(super) fn learned(
        &mut self,
        inputs: &Inputs<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        decisions: &mut Vec<Decision>,
    ) {
        let Some(slowdown) = worst_slowdown(inputs, worker, tasks) else {
            return;
        };
        if slowdown.added > slowdown.allowed {
            self.reduce_slowdown(inputs, worker, tasks, &slowdown, decisions);
            return;
        }
        self.exceeded_since.remove(worker);
        if !slowdown.crowded {
            self.restore_speed(inputs, worker, tasks, decisions);
        }
    }

    /// Throttles the tasks that add most latency until the slowdown is allowed. Evicts a task if
    /// throttling has not been enough for the eviction delay.
    fn reduce_slowdown(
        &mut self,
        inputs: &Inputs<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        slowdown: &Slowdown<'_>,
        decisions: &mut Vec<Decision>,
    ) {
        let mut remaining = slowdown.added;
        for task in worst_first(inputs, slowdown, tasks) {
            let Some(percent) = throttled_percent(inputs.configuration, &task.class) else {
                continue;
            };
            if remaining <= slowdown.allowed || percent >= task.percent {
                continue;
            }
            let current = added_by(
                inputs,
                slowdown.service,
                slowdown.crowded,
                task,
                task.percent,
            );
            let throttled = added_by(inputs, slowdown.service, slowdown.crowded, task, percent);
            let removed_pressure =
                task.pressure.share() * f64::from(task.percent - percent) / 100.0;
            if current - throttled < MIN_GAIN * removed_pressure {
                continue;
            }
            remaining -= current - throttled;
            self.throttle(inputs.now, task, percent, slowdown.why(), decisions);
        }
        if remaining <= slowdown.allowed || slowdown.crowded {
            self.exceeded_since.remove(worker);
            return;
        }
        let since = *self
            .exceeded_since
            .entry(worker.clone())
            .or_insert(inputs.now);
        self.evict_cheapest(inputs, worker, tasks, slowdown, since, decisions);
    }

    /// Evicts the task that is cheapest to evict, after the eviction delay and within the cap.
    fn evict_cheapest(
        &mut self,
        inputs: &Inputs<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        slowdown: &Slowdown<'_>,
        since: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        let cap = inputs.configuration.sharing.evictions_per_minute as usize;
        let waited = inputs.now.since(since);
        let cooling_down = self.evicted_at.contains_key(worker);
        if waited < eviction_delay(inputs) || cooling_down || self.evictions.len() >= cap {
            return;
        }
        let known = |t: &&&RunningTask| {
            let estimate = inputs
                .estimator
                .estimate(inputs.now, slowdown.service, &t.class);
            estimate.is_known() && estimate.slope > 0.0
        };
        let cheapest = tasks.iter().filter(known).min_by(|a, b| {
            let cost = |t: &RunningTask| eviction_cost(inputs, slowdown, t);
            cost(a).total_cmp(&cost(b))
        });
        let Some(task) = cheapest else {
            return;
        };
        let why = DecisionReason::ThrottlingInsufficient {
            service: slowdown.service.clone(),
            since: waited,
        };
        self.evict(inputs, task, why, decisions);
    }

    /// Restores the full speed of one task, if every service on the worker allows it. Tasks that add less
    /// latency come first.
    fn restore_speed(
        &mut self,
        inputs: &Inputs<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        decisions: &mut Vec<Decision>,
    ) {
        let throttled = tasks.iter().filter(|t| t.percent < 100);
        let mut candidates: Vec<&RunningTask> = throttled
            .filter(|t| !self.is_speed_held(inputs.now, t))
            .copied()
            .collect();
        candidates.sort_by_key(|t| thousandths(added_on(inputs, worker, t)));
        let fits = |task: &&RunningTask| fits_at_full_speed(inputs, worker, tasks, task);
        if let Some(task) = candidates.into_iter().find(fits) {
            self.throttle(
                inputs.now,
                task,
                100,
                DecisionReason::FullSpeedAllowed,
                decisions,
            );
        }
    }
}

/// True if all services on `worker` allow `task` to run at full speed.
fn fits_at_full_speed(
    inputs: &Inputs<'_>,
    worker: &WorkerId,
    tasks: &[&RunningTask],
    task: &RunningTask,
) -> bool {
    let mut restored = task.clone();
    restored.percent = 100;
    let others = tasks.iter().filter(|t| t.task != task.task);
    let after: Vec<&RunningTask> = others.copied().chain([&restored]).collect();
    let fits = |slowdown: Slowdown<'_>| slowdown.added <= slowdown.allowed * RESTORE_SHARE;
    worst_slowdown(inputs, worker, &after).is_none_or(fits)
}

/// Returns the latency that a task at full speed adds to all services on `worker` together.
fn added_on(inputs: &Inputs<'_>, worker: &WorkerId, task: &RunningTask) -> f64 {
    let services = inputs.services.get(worker).into_iter().flatten();
    services
        .map(|service| added_by(inputs, service, false, task, 100))
        .sum()
}

/// Returns the slowdown of the service on `worker` that exceeds its allowance most.
fn worst_slowdown<'a>(
    inputs: &Inputs<'a>,
    worker: &WorkerId,
    tasks: &[&RunningTask],
) -> Option<Slowdown<'a>> {
    let services = inputs.services.get(worker)?;
    let slowdown = |service: &'a ServiceName| {
        let crowded = inputs.crowding.is_crowded(inputs.now, service);
        let added = |t: &&RunningTask| added_by(inputs, service, crowded, t, t.percent);
        Slowdown {
            service,
            crowded,
            added: tasks.iter().map(added).sum(),
            allowed: allowed(inputs, service, crowded),
        }
    };
    services
        .iter()
        .map(slowdown)
        .max_by(|a, b| (a.added - a.allowed).total_cmp(&(b.added - b.allowed)))
}

/// Returns the latency that a task adds at a speed, by the cautious estimate while the service is
/// crowded.
fn added_by(
    inputs: &Inputs<'_>,
    service: &ServiceName,
    crowded: bool,
    task: &RunningTask,
    percent: u32,
) -> f64 {
    let estimate = inputs.estimator.estimate(inputs.now, service, &task.class);
    let slope = if crowded {
        estimate.upper_bound()
    } else {
        estimate.slope.max(0.0)
    };
    slope * task.pressure.share() * f64::from(percent) / 100.0
}

/// Returns the latency that batch work may add to a service. The allowance shrinks as the service is
/// expected to need more of its slots.
fn allowed(inputs: &Inputs<'_>, service: &ServiceName, crowded: bool) -> f64 {
    let weights = &inputs.configuration.sharing.weights;
    let batch = f64::from(weights.throughput + weights.evictions).max(0.1);
    let tail = f64::from(weights.tail + weights.crest).max(0.1);
    let calm = CALM_ALLOWANCE * (2.0 * batch / (batch + tail)).clamp(0.5, 1.5);
    let crest = f64::from(weights.crest) * 1.5;
    if crowded {
        return calm * batch / (batch + crest);
    }
    let busy = inputs.demand.quantile(service, HEADROOM_QUANTILE).min(1.0);
    calm * (1.0 - busy * HEADROOM_SHARE)
}

/// Returns how long throttling may be insufficient before a task is evicted.
fn eviction_delay(inputs: &Inputs<'_>) -> Span {
    let weights = &inputs.configuration.sharing.weights;
    let evictions = f64::from(weights.evictions).max(0.1);
    let tail = f64::from(weights.tail).max(0.1);
    let share = (2.0 * evictions / (evictions + tail)).clamp(0.5, 2.0);
    Span::millis((EVICTION_DELAY_MS * share) as u64)
}

/// Returns the tasks by the latency that they add, greatest first, with nearly done tasks last.
fn worst_first<'a>(
    inputs: &Inputs<'_>,
    slowdown: &Slowdown<'_>,
    tasks: &[&'a RunningTask],
) -> Vec<&'a RunningTask> {
    let mut tasks = tasks.to_vec();
    tasks.sort_by_key(|t| {
        let added = added_by(inputs, slowdown.service, slowdown.crowded, t, t.percent);
        let near_done = t.progress_ppm >= NEAR_DONE_PPM;
        (near_done, Reverse(thousandths(added)))
    });
    tasks
}

/// Returns the cost of evicting a task: the work lost per latency removed. Nearly done tasks and tasks
/// with much unsaved work are expensive.
fn eviction_cost(inputs: &Inputs<'_>, slowdown: &Slowdown<'_>, task: &RunningTask) -> f64 {
    let gained = added_by(inputs, slowdown.service, false, task, task.percent).max(0.001);
    let rule = inputs.configuration.batch_classes.get(&task.class);
    let checkpoints = rule.is_some_and(|rule| rule.checkpoints);
    let lost = if checkpoints {
        0.0
    } else {
        task.unsaved_run_time.0 as f64
    };
    let near_done = f64::from(u8::from(task.progress_ppm >= NEAR_DONE_PPM));
    (1_000.0 + lost) * (1.0 + 100.0 * near_done) / gained
}
