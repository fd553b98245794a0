//! Batch tasks that share workers with services.
//!
//! The cell gives its running tasks and the services' load to the colocation controller and applies
//! the controller's decisions: throttling, moving or stopping tasks.

use std::collections::BTreeMap;

use guavacart_types::{BatchClass, ServiceName, Span, WorkerId};

use super::{Cell, CellEvent, Outputs};
use crate::{
    Cx,
    batch::{
        BatchEffect,
        decision::Decision,
        job::{JobSpec, StopReason},
        link::{FULL_SPEED, Tracked},
        worker::{AttemptId, UsageReport},
    },
    interference::{self, Action, Pressure, Pressures, RunningTask, ServiceSample, ServiceSignal},
    membership::ServiceLoad,
};

/// Time between two reviews of services and batch tasks on the same workers.
const REVIEW_INTERVAL: Span = Span::millis(200);

impl Cell {
    /// Gives the controller the running tasks and the services' load, and applies its decisions.
    pub(super) fn review_colocation(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        if cx.now < self.next_colocation_review {
            return;
        }
        self.next_colocation_review = cx.now + REVIEW_INTERVAL;
        self.colocation_reviewed_at = cx.now;
        self.colocation.update_services(cx.directory);
        for (service, signal) in service_signals(cx) {
            self.colocation.observe_service(cx.now, &service, signal);
        }
        let tasks = self.running_tasks(cx);
        self.report_pressures(cx, &tasks);
        let decided = self.colocation.decide(cx.now, cx.configuration, &tasks);
        for decision in decided {
            self.apply_decision(cx, outputs, decision);
        }
    }

    /// Gives the controller the service latencies that a worker reported, with the time of
    /// measurement.
    pub(super) fn observe_usage(&mut self, cx: &Cx<'_>, worker: &WorkerId, usage: &[UsageReport]) {
        for report in usage {
            let samples = report.services.iter().map(|service| ServiceSample {
                service: service.service.clone(),
                p99: service.p99,
                samples: service.samples,
            });
            let samples: Vec<ServiceSample> = samples.collect();
            let measured_at = cx.now - report.age;
            self.colocation
                .observe_usage(cx.now, worker, measured_at, &samples);
        }
    }

    /// Returns the estimated cost of the class on a worker from interference with services there.
    ///
    /// Counts tasks placed since the last review too.
    pub(super) fn price(&self, cx: &Cx<'_>, worker: &WorkerId, class: &BatchClass) -> u64 {
        let placed = self.unreported_pressures(cx, worker);
        self.colocation
            .price(cx.now, cx.configuration, worker, class, &placed)
    }

    /// Returns the pressure of tasks placed on a worker since the controller's last review.
    fn unreported_pressures(&self, cx: &Cx<'_>, worker: &WorkerId) -> Pressures {
        let mut pressures = Pressures::new();
        let link = self.links.get(worker);
        for (id, tracked) in link.into_iter().flat_map(|link| &link.tracked) {
            let job = self.ledger.jobs.get(&id.task.job);
            let (Some(job), None) = (job, tracked.stop_change) else {
                continue;
            };
            if tracked.placed_at < self.colocation_reviewed_at {
                continue;
            }
            let pressure = pressure(cx, worker, &job.spec);
            let sum: &mut Pressure = pressures.entry(job.spec.class.clone()).or_default();
            sum.0 = sum.0.saturating_add(pressure.0);
        }
        pressures
    }

    fn running_tasks(&self, cx: &Cx<'_>) -> Vec<RunningTask> {
        let links = self.links.iter();
        let tracked = links.flat_map(|(w, link)| link.tracked.iter().map(move |t| (w, t)));
        let tasks = tracked.filter_map(|(w, (id, tracked))| self.running_task(cx, w, id, tracked));
        tasks.collect()
    }

    fn running_task(
        &self,
        cx: &Cx<'_>,
        worker: &WorkerId,
        id: &AttemptId,
        tracked: &Tracked,
    ) -> Option<RunningTask> {
        let started_at = tracked.confirmed_at.unwrap_or(tracked.placed_at);
        let job = self.ledger.jobs.get(&id.task.job)?;
        let rule = cx.configuration.batch_classes.get(&job.spec.class);
        let unsaved_run_time = match rule.is_some_and(|rule| rule.checkpoints) {
            true => Span::ZERO,
            false => cx.now.since(started_at),
        };
        tracked.stop_change.is_none().then(|| RunningTask {
            task: id.task.clone(),
            attempt: id.attempt,
            worker: worker.clone(),
            class: job.spec.class.clone(),
            pressure: pressure(cx, worker, &job.spec),
            percent: tracked.throttle.unwrap_or(FULL_SPEED),
            progress_ppm: tracked.progress_ppm,
            unsaved_run_time,
        })
    }

    /// Passes pressures that changed since the last review to the controller.
    fn report_pressures(&mut self, cx: &Cx<'_>, tasks: &[RunningTask]) {
        let mut pressures: BTreeMap<(WorkerId, BatchClass), u32> = BTreeMap::new();
        for task in tasks {
            let key = (task.worker.clone(), task.class.clone());
            let pressure = task.pressure.0 * task.percent / FULL_SPEED;
            *pressures.entry(key).or_default() += pressure;
        }
        let ended = self
            .reported_pressures
            .keys()
            .filter(|k| !pressures.contains_key(k));
        for (worker, class) in ended {
            self.colocation
                .record_pressure(cx.now, worker, class, Pressure(0));
        }
        for (key, pressure) in &pressures {
            if self.reported_pressures.get(key) != Some(pressure) {
                let (worker, class) = key;
                self.colocation
                    .record_pressure(cx.now, worker, class, Pressure(*pressure));
            }
        }
        self.reported_pressures = pressures;
    }

    /// Applies a decision of the controller to a task.
    fn apply_decision(
        &mut self,
        cx: &Cx<'_>,
        outputs: &mut Outputs<'_>,
        decision: interference::Decision,
    ) {
        match decision.action {
            Action::Throttle { percent } => {
                let id = AttemptId {
                    task: decision.task.clone(),
                    attempt: decision.attempt,
                };
                let link = self.links.get_mut(&decision.worker);
                let Some(link) = link else {
                    return;
                };
                if let Some(tracked) = link.tracked.get_mut(&id) {
                    tracked.throttle = Some(percent);
                    link.call_soon(cx.now);
                }
            }
            Action::Move | Action::Stop => self.stop(&decision.task, StopReason::Interference),
        }
        let colocation = Decision::Colocation(Box::new(decision.clone()));
        self.decisions.insert(decision.task.clone(), colocation);
        let cell = self.id.clone();
        let event = CellEvent::Colocation(Box::new(decision));
        outputs.emit(BatchEffect::Report { cell, event });
    }
}

/// Returns the processors that a task keeps busy at full speed, in thousandths of the worker's.
fn pressure(cx: &Cx<'_>, worker: &WorkerId, spec: &JobSpec) -> Pressure {
    let listed = cx.directory.workers.get(worker);
    let capacity = listed.map_or(0, |listed| listed.capacity.processors.0);
    let share = spec.resources.processors.0 * 1_000 / capacity.max(1);
    Pressure(u32::try_from(share).unwrap_or(u32::MAX))
}

/// Sums the load of each service over this instance and all reachable peers.
fn service_signals(cx: &Cx<'_>) -> BTreeMap<ServiceName, ServiceSignal> {
    let mut signals: BTreeMap<ServiceName, ServiceSignal> = BTreeMap::new();
    let own = &cx.membership.own_load().services;
    let peers = cx.membership.reachable_members(cx.now);
    let loads = peers.into_iter().filter_map(|p| cx.membership.peer_load(p));
    let peers = loads.flat_map(|(load, _)| load.services.iter());
    for load in own.iter().chain(peers) {
        let signal = signals.entry(load.service.clone());
        add_load(signal.or_insert(NO_SIGNAL), load);
    }
    signals
}

/// The signal of a service without endpoints.
const NO_SIGNAL: ServiceSignal = ServiceSignal {
    slots: 0,
    free: 0,
    queued: 0,
    p99: None,
};

fn add_load(signal: &mut ServiceSignal, load: &ServiceLoad) {
    signal.slots += load.slots;
    signal.free += load.free;
    signal.queued += load.queued;
}
