//! How much each class of batch work slows each service, learned from late reports, and what to do
//! about it.

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
    decision::{Action, Decision, RunningTask, Why},
    estimator::Estimate,
    history::{Pressure, Pressures},
};
use crate::directory::Directory;

/// What a worker reported of one service on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSample {
    /// The service.
    pub service: ServiceName,
    /// The 99th percentile of its latency on this worker.
    pub p99: Span,
    /// Requests that the percentile was taken over.
    pub samples: u32,
}

/// What the owners of a service's endpoints see now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSignal {
    /// Slots of its endpoints.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Requests that wait.
    pub queued: u32,
    /// The 99th percentile of its latency over the last second, if any request ended.
    pub p99: Option<Span>,
}

/// All that is known of how services and batch work disturb each other in one cell.
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
    /// Notes which services run on which workers.
    pub fn listed(&mut self, directory: &Directory) {
        let endpoints = directory.endpoints.values();
        let placed = endpoints.filter_map(|e| Some((e.worker.clone()?, e.service.clone())));
        self.services.clear();
        for (worker, service) in placed {
            self.services.entry(worker).or_default().insert(service);
        }
        self.history.retain(&directory.workers);
    }

    /// Notes that tasks of `class` press on `worker` by `pressure` together from now on.
    pub fn ran(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: &BatchClass,
        pressure: Pressure,
    ) {
        self.history.record_pressure(now, worker, class, pressure);
    }

    /// Learns from a report of `worker` that describes the time `described_at`.
    pub fn observe_usage(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        described_at: Timestamp,
        samples: &[ServiceSample],
    ) {
        let during = self.history.during(worker, described_at);
        for sample in samples {
            // A percentile close to the greatest shows the worst moment of the time measured.
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

    /// Learns from what the owners of a service's endpoints see now.
    pub fn observe_service(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        signal: ServiceSignal,
    ) {
        self.demand.observe(now, service, signal);
        self.crowding.observe(now, service, signal);
    }

    /// How much a unit of pressure of `class` adds to the latency of `service`.
    pub fn estimate(&self, now: Timestamp, service: &ServiceName, class: &BatchClass) -> Estimate {
        self.estimator.estimate(now, service, class)
    }

    /// The cost of a task of `class` on `worker`; 0 is free, greater is worse.
    ///
    /// Thousandths of added service latency per whole worker of pressure, scaled by demand and by
    /// what the worker bears already, `placed` included: tasks that are to start but do not run yet.
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

    /// What is to be done now about the running tasks, in order.
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

    /// True if another worker already tries `class` beside `service`.
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
