//! Decisions by what was learned of each pair of service and class.

use std::cmp::Reverse;

use guavacart_types::{ServiceName, Span, Timestamp, WorkerId};

use super::{
    CLOSE_TO_DONE_PPM, Controller, Decision, Grounds, RunningTask, Why, thousandths,
    throttled_percent,
};
use crate::interference::demand::HEADROOM_QUANTILE;

/// Latency that batch work may add to a calm service, as a share, at equal weights.
const CALM_ALLOWANCE: f64 = 0.18;
/// Share of the allowance under which speed is given back.
const LIFT_SHARE: f64 = 0.8;
/// Latency that a throttle must gain at least for a whole worker of pressure, as a share; less is
/// not worth the work that it costs.
const LEAST_GAIN: f64 = 0.2;
/// Share of the allowance that is kept back when all slots are expected to be needed.
const HEADROOM_SHARE: f64 = 0.25;
/// How long throttling may fall short before a task is evicted, at equal weights, in milliseconds.
const PATIENCE: f64 = 15_000.0;

/// What a service on one worker suffers and may suffer.
struct Strain<'a> {
    service: &'a ServiceName,
    crowded: bool,
    /// Added latency at the tasks' present speeds.
    added: f64,
    allowed: f64,
}

impl Strain<'_> {
    fn why(&self) -> Why {
        let service = self.service.clone();
        let added = thousandths(self.added);
        let allowed = thousandths(self.allowed);
        if self.crowded {
            Why::Crowded {
                service,
                added,
                allowed,
            }
        } else {
            Why::Disturbs {
                service,
                added,
                allowed,
            }
        }
    }
}

impl Controller {
    pub(super) fn learned(
        &mut self,
        grounds: &Grounds<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        decisions: &mut Vec<Decision>,
    ) {
        let Some(strain) = worst(grounds, worker, tasks) else {
            return;
        };
        if strain.added > strain.allowed {
            self.relieve(grounds, worker, tasks, &strain, decisions);
            return;
        }
        self.over_since.remove(worker);
        if !strain.crowded {
            self.lift(grounds, worker, tasks, decisions);
        }
    }

    /// Throttles the worst tasks until the strain is allowed; evicts one if that is not enough.
    fn relieve(
        &mut self,
        grounds: &Grounds<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        strain: &Strain<'_>,
        decisions: &mut Vec<Decision>,
    ) {
        let mut left = strain.added;
        for task in worst_first(grounds, strain, tasks) {
            let Some(percent) = throttled_percent(grounds.configuration, &task.class) else {
                continue;
            };
            if left <= strain.allowed || percent >= task.percent {
                continue;
            }
            let now = added_by(grounds, strain.service, strain.crowded, task, task.percent);
            let then = added_by(grounds, strain.service, strain.crowded, task, percent);
            let slowed = task.pressure.share() * f64::from(task.percent - percent) / 100.0;
            if now - then < LEAST_GAIN * slowed {
                continue;
            }
            left -= now - then;
            self.throttle(grounds.now, task, percent, strain.why(), decisions);
        }
        if left <= strain.allowed || strain.crowded {
            self.over_since.remove(worker);
            return;
        }
        let since = *self.over_since.entry(worker.clone()).or_insert(grounds.now);
        self.evict_one(grounds, worker, tasks, strain, since, decisions);
    }

    fn evict_one(
        &mut self,
        grounds: &Grounds<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        strain: &Strain<'_>,
        since: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        let cap = grounds.configuration.sharing.evictions_per_minute as usize;
        let waited = grounds.now.since(since);
        let resting = self.evicted_at.contains_key(worker);
        if waited < patience(grounds) || resting || self.evictions.len() >= cap {
            return;
        }
        let known = |t: &&&RunningTask| {
            let estimate = grounds
                .estimator
                .estimate(grounds.now, strain.service, &t.class);
            estimate.is_known() && estimate.slope > 0.0
        };
        let cheapest = tasks.iter().filter(known).min_by(|a, b| {
            let cost = |t: &RunningTask| eviction_cost(grounds, strain, t);
            cost(a).total_cmp(&cost(b))
        });
        let Some(task) = cheapest else {
            return;
        };
        let why = Why::Lasting {
            service: strain.service.clone(),
            since: waited,
        };
        self.evict(grounds, task, why, decisions);
    }

    /// Gives one task its full speed back if every service allows it, the least disturbing first.
    fn lift(
        &mut self,
        grounds: &Grounds<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        decisions: &mut Vec<Decision>,
    ) {
        let throttled = tasks.iter().filter(|t| t.percent < 100);
        let mut free: Vec<&RunningTask> = throttled
            .filter(|t| !self.is_held(grounds.now, t))
            .copied()
            .collect();
        free.sort_by_key(|t| thousandths(added_on(grounds, worker, t)));
        let fits = |task: &&RunningTask| fits_at_full_speed(grounds, worker, tasks, task);
        if let Some(task) = free.into_iter().find(fits) {
            self.throttle(grounds.now, task, 100, Why::Room, decisions);
        }
    }
}

/// True if all services of `worker` allow `task` its full speed.
fn fits_at_full_speed(
    grounds: &Grounds<'_>,
    worker: &WorkerId,
    tasks: &[&RunningTask],
    task: &RunningTask,
) -> bool {
    let mut lifted = task.clone();
    lifted.percent = 100;
    let others = tasks.iter().filter(|t| t.task != task.task);
    let after: Vec<&RunningTask> = others.copied().chain([&lifted]).collect();
    let fits = |strain: Strain<'_>| strain.added <= strain.allowed * LIFT_SHARE;
    worst(grounds, worker, &after).is_none_or(fits)
}

/// Latency that a task at full speed adds to all services of `worker`.
fn added_on(grounds: &Grounds<'_>, worker: &WorkerId, task: &RunningTask) -> f64 {
    let services = grounds.services.get(worker).into_iter().flatten();
    services
        .map(|service| added_by(grounds, service, false, task, 100))
        .sum()
}

/// The service on `worker` that suffers most beyond what it may.
fn worst<'a>(
    grounds: &Grounds<'a>,
    worker: &WorkerId,
    tasks: &[&RunningTask],
) -> Option<Strain<'a>> {
    let services = grounds.services.get(worker)?;
    let strain = |service: &'a ServiceName| {
        let crowded = grounds.signals.is_crowded(grounds.now, service);
        let added = |t: &&RunningTask| added_by(grounds, service, crowded, t, t.percent);
        Strain {
            service,
            crowded,
            added: tasks.iter().map(added).sum(),
            allowed: allowed(grounds, service, crowded),
        }
    };
    services
        .iter()
        .map(strain)
        .max_by(|a, b| (a.added - a.allowed).total_cmp(&(b.added - b.allowed)))
}

/// Latency that a task adds at a speed; the cautious estimate while the service is crowded.
fn added_by(
    grounds: &Grounds<'_>,
    service: &ServiceName,
    crowded: bool,
    task: &RunningTask,
    percent: u32,
) -> f64 {
    let estimate = grounds
        .estimator
        .estimate(grounds.now, service, &task.class);
    let slope = if crowded {
        estimate.upper()
    } else {
        estimate.slope.max(0.0)
    };
    slope * task.pressure.share() * f64::from(percent) / 100.0
}

/// Latency that batch work may add to a service; less the more of its slots it is expected to need.
fn allowed(grounds: &Grounds<'_>, service: &ServiceName, crowded: bool) -> f64 {
    let weights = &grounds.configuration.sharing.weights;
    let batch = f64::from(weights.throughput + weights.evictions).max(0.1);
    let tail = f64::from(weights.tail + weights.crest).max(0.1);
    let calm = CALM_ALLOWANCE * (2.0 * batch / (batch + tail)).clamp(0.5, 1.5);
    let crest = f64::from(weights.crest) * 1.5;
    if crowded {
        return calm * batch / (batch + crest);
    }
    let busy = grounds.demand.quantile(service, HEADROOM_QUANTILE).min(1.0);
    calm * (1.0 - busy * HEADROOM_SHARE)
}

fn patience(grounds: &Grounds<'_>) -> Span {
    let weights = &grounds.configuration.sharing.weights;
    let evictions = f64::from(weights.evictions).max(0.1);
    let tail = f64::from(weights.tail).max(0.1);
    let share = (2.0 * evictions / (evictions + tail)).clamp(0.5, 2.0);
    Span::millis((PATIENCE * share) as u64)
}

/// Tasks by what a throttle would gain, those close to done last.
fn worst_first<'a>(
    grounds: &Grounds<'_>,
    strain: &Strain<'_>,
    tasks: &[&'a RunningTask],
) -> Vec<&'a RunningTask> {
    let mut tasks = tasks.to_vec();
    tasks.sort_by_key(|t| {
        let added = added_by(grounds, strain.service, strain.crowded, t, t.percent);
        let close = t.progress_ppm >= CLOSE_TO_DONE_PPM;
        (close, Reverse(thousandths(added)))
    });
    tasks
}

/// Work lost for each thousandth of latency gained; tasks close to done and large ones are dear.
fn eviction_cost(grounds: &Grounds<'_>, strain: &Strain<'_>, task: &RunningTask) -> f64 {
    let gained = added_by(grounds, strain.service, false, task, task.percent).max(0.001);
    let rule = grounds.configuration.batch_classes.get(&task.class);
    let checkpoints = rule.is_some_and(|rule| rule.checkpoints);
    let lost = if checkpoints {
        0.0
    } else {
        task.at_stake.0 as f64
    };
    let close = f64::from(u8::from(task.progress_ppm >= CLOSE_TO_DONE_PPM));
    (1_000.0 + lost) * (1.0 + 100.0 * close) / gained
}
