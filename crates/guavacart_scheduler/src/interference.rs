//! Estimates from delayed worker reports how much each class of batch work slows each service, and
//! decides which batch tasks to throttle or evict.

mod controller;
mod crowding;
mod decision;
mod demand;
mod estimator;
mod filter;
mod history;
mod price;

use std::collections::{BTreeMap, BTreeSet};

use guavacart_config::{Configuration, SharingPolicy};
use guavacart_types::{BatchClass, ServiceName, Span, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};

use self::{
    controller::Controller, crowding::Crowding, demand::Demand, estimator::Estimator,
    history::History,
};
pub use self::{
    decision::{Action, Decision, DecisionReason, RunningTask},
    estimator::Estimate,
    history::{Pressure, Pressures},
};
use crate::directory::Directory;

/// The latency of one service on one worker, as the worker reported it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSample {
    /// The service's name.
    pub service: ServiceName,
    /// The 99th percentile of the service's latency on this worker.
    pub p99: Span,
    /// The number of requests behind the percentile.
    pub samples: u32,
}

/// The current load and latency of a service, as the owners of its endpoints see them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSignal {
    /// Slots of the service's endpoints.
    pub slots: u32,
    /// Free slots among them.
    pub free: u32,
    /// Queued requests.
    pub queued: u32,
    /// The 99th percentile of the latency over the last second; `None` if no request ended in it.
    pub p99: Option<Span>,
}

/// The interference between services and batch work in one cell, and the controller that limits it.
#[derive(Debug, Default)]
pub struct Colocation {
    services: BTreeMap<WorkerId, BTreeSet<ServiceName>>,
    history: History,
    estimator: Estimator,
    demand: Demand,
    crowding: Crowding,
    controller: Controller,
}

impl Colocation {
    /// Updates which services run on which workers, and drops workers that are no longer listed.
    pub fn update_services(&mut self, directory: &Directory) {
        let endpoints = directory.endpoints.values();
        let placed = endpoints.filter_map(|e| Some((e.worker.clone()?, e.service.clone())));
        self.services.clear();
        for (worker, service) in placed {
            self.services.entry(worker).or_default().insert(service);
        }
        self.history.retain(&directory.workers);
    }

    /// Records the total pressure of all tasks of `class` on `worker` from `now` on.
    pub fn record_pressure(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: &BatchClass,
        pressure: Pressure,
    ) {
        self.history.record_pressure(now, worker, class, pressure);
    }

    /// Updates the estimates from a report of `worker` that was measured up to `described_at`.
    pub fn observe_usage(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        described_at: Timestamp,
        samples: &[ServiceSample],
    ) {
        let during = self.history.during(worker, described_at);
        for sample in samples {
            // A high percentile reflects the moment of greatest interference in the measured time.
            let worst = during.iter().max_by(|a, b| {
                let added = |p| self.estimator.added(now, &sample.service, p);
                added(a).total_cmp(&added(b))
            });
            let Some(pressures) = worst else {
                continue;
            };
            let excess = self.estimator.learn(described_at, sample, pressures);
            self.controller
                .record_excess(now, worker, &sample.service, excess);
        }
    }

    /// Updates demand and crowding from the current signal of a service.
    pub fn observe_service(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        signal: ServiceSignal,
    ) {
        self.demand.observe(now, service, signal);
        self.crowding.observe(now, service, signal);
    }

    /// Returns how much `class` adds to the latency of `service` per whole worker of pressure.
    pub fn estimate(&self, now: Timestamp, service: &ServiceName, class: &BatchClass) -> Estimate {
        self.estimator.estimate(now, service, class)
    }

    /// Returns the cost of placing a task of `class` on `worker`; 0 is free, greater is worse.
    ///
    /// The unit is thousandths of added service latency per whole worker of pressure, scaled by demand
    /// and by the latency that the worker's batch work already adds. `placed` is the pressure of tasks
    /// that are placed on the worker but do not run yet.
    pub fn price(
        &self,
        now: Timestamp,
        configuration: &Configuration,
        worker: &WorkerId,
        class: &BatchClass,
        placed: &Pressures,
    ) -> u64 {
        match configuration.sharing.policy {
            SharingPolicy::Learned => self.learned_price(now, configuration, worker, class, placed),
            SharingPolicy::None | SharingPolicy::Static | SharingPolicy::Reactive => 0,
        }
    }

    /// Returns what to do now with the running tasks, in order.
    pub fn decide(
        &mut self,
        now: Timestamp,
        configuration: &Configuration,
        tasks: &[RunningTask],
    ) -> Vec<Decision> {
        let inputs = controller::Inputs {
            now,
            configuration,
            services: &self.services,
            estimator: &self.estimator,
            demand: &self.demand,
            crowding: &self.crowding,
        };
        self.controller.decide(&inputs, tasks)
    }

    fn learned_price(
        &self,
        now: Timestamp,
        configuration: &Configuration,
        worker: &WorkerId,
        class: &BatchClass,
        placed: &Pressures,
    ) -> u64 {
        let Some(services) = self.services.get(worker) else {
            return 0;
        };
        let price = |service: &ServiceName| {
            let estimate = self.estimator.estimate(now, service, class);
            let added = |p: &Pressures| self.estimator.added(now, service, p);
            let current = self.history.current(worker);
            let load = price::WorkerLoad {
                busy: self.demand.quantile(service, demand::HEADROOM_QUANTILE),
                added: current.map_or(0.0, added) + added(placed),
                on_trial_elsewhere: self.is_on_trial_elsewhere(worker, service, class),
            };
            price::price(&estimate, &load, &configuration.sharing.weights)
        };
        services.iter().map(price).sum()
    }

    /// True if tasks of `class` already run beside `service` on another worker.
    fn is_on_trial_elsewhere(
        &self,
        worker: &WorkerId,
        service: &ServiceName,
        class: &BatchClass,
    ) -> bool {
        let others = self.services.iter().filter(|(other, _)| *other != worker);
        others
            .filter(|(_, services)| services.contains(service))
            .any(|(other, _)| self.history.is_running(other, class))
    }
}
