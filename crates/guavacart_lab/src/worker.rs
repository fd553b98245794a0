//! Stand-in for a worker, which simulates its tasks.

mod tasks;

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use guavacart_platform::worker::{Command, ServiceUsage, SyncAnswer, SyncRequest, UsageReport};
use guavacart_types::{CellId, Epoch, Resources, WorkerId};
use hyper::{Request, StatusCode};
use serde_json::json;
use smol_str::SmolStr;
use tokio::{sync::watch, task::JoinHandle};

use self::tasks::Tasks;
use crate::{
    batch_ledger::BatchLedger,
    clock::now_us,
    host::Host,
    server::{Answer, Handler, Hangup, Server, answer, json},
    sync::lock,
};

/// Time between two updates of the tasks' progress and leases.
const ADVANCE_PERIOD: Duration = Duration::from_millis(5);
/// Time between two measurements of usage.
const USAGE_PERIOD_US: u64 = 1_000_000;
/// Most usage reports that wait to be sent; older ones are dropped.
const MAX_USAGE_REPORTS: usize = 60;

/// Behaviour of a worker that a scenario may change.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSwitches {
    /// True if the worker answers no calls; its tasks continue and their leases expire.
    pub paused: bool,
    /// True if every task that the worker starts fails at once.
    pub fails_every_task: bool,
    /// Age of a usage measurement from which it is reported.
    pub usage_lag: Duration,
}

impl Default for WorkerSwitches {
    fn default() -> Self {
        Self {
            paused: false,
            fails_every_task: false,
            usage_lag: Duration::from_secs(5),
        }
    }
}

/// A running worker; dropping it ends the worker and its tasks.
#[derive(Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
    advance_loop: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    id: WorkerId,
    host: Arc<Host>,
    state: Mutex<State>,
    switches: watch::Sender<WorkerSwitches>,
}

#[derive(Debug)]
struct State {
    epochs: HashMap<CellId, Epoch>,
    tasks: Tasks,
    usage: VecDeque<UsageMeasurement>,
    last_measured_us: u64,
}

/// A usage measurement that has not been reported yet.
#[derive(Debug)]
struct UsageMeasurement {
    at_us: u64,
    report: UsageReport,
}

impl Worker {
    /// Starts a worker with `capacity` for tasks on `host`.
    pub async fn bind(
        id: WorkerId,
        capacity: Resources,
        host: Arc<Host>,
        ledger: BatchLedger,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.clone(),
            host,
            state: Mutex::new(State {
                epochs: HashMap::new(),
                tasks: Tasks::new(id, capacity, ledger),
                usage: VecDeque::new(),
                last_measured_us: now_us(),
            }),
            switches: watch::Sender::new(WorkerSwitches::default()),
        });
        let server = Server::bind(Arc::clone(&shared)).await?;
        let advance_loop = tokio::spawn(advance_periodically(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            advance_loop,
        })
    }

    /// Returns the id of the worker.
    pub fn id(&self) -> &WorkerId {
        &self.shared.id
    }

    /// Returns the address at which the worker listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        lock(&self.shared.state).tasks.running()
    }

    /// Returns the sum of the resources that running tasks were started with.
    pub fn committed(&self) -> Resources {
        lock(&self.shared.state).tasks.committed()
    }

    /// Changes the behaviour.
    pub fn switch(&self, change: impl FnOnce(&mut WorkerSwitches)) {
        self.shared.switches.send_modify(change);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.advance_loop.abort();
        lock(&self.shared.state).tasks.end_all();
    }
}

async fn advance_periodically(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(ADVANCE_PERIOD);
    loop {
        interval.tick().await;
        let mut state = lock(&shared.state);
        let now = now_us();
        state.tasks.advance(now, &shared.host);
        if now >= state.last_measured_us + USAGE_PERIOD_US {
            state.last_measured_us = now;
            state.measure(now, &shared.host);
        }
    }
}

impl Handler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        let mut switches = self.switches.subscribe();
        if switches.wait_for(|s| !s.paused).await.is_err() {
            return Err(Hangup);
        }
        if req.uri().path() != "/v1/sync" {
            return Ok(answer(StatusCode::NOT_FOUND, ""));
        }
        match serde_json::from_slice(req.body()) {
            Ok(sync) => Ok(self.sync(&sync)),
            Err(err) => Ok(answer(StatusCode::BAD_REQUEST, err.to_string())),
        }
    }
}

impl Shared {
    fn sync(&self, req: &SyncRequest) -> Answer {
        let switches = *self.switches.borrow();
        let mut state = lock(&self.state);
        let now = now_us();
        state.tasks.advance(now, &self.host);
        let highest = state.epochs.entry(req.cell.clone()).or_default();
        if req.epoch < *highest {
            let mut refused = json(&json!({ "epoch": *highest }));
            *refused.status_mut() = StatusCode::CONFLICT;
            return refused;
        }
        *highest = req.epoch;
        for renewal in &req.renew {
            let expires_us = now + renewal.lease_ms * 1_000;
            state
                .tasks
                .renew(&renewal.task, renewal.attempt, expires_us);
        }
        for command in &req.commands {
            state.execute(command, now, switches);
        }
        state.tasks.advance(now, &self.host);
        json(&SyncAnswer {
            epoch: req.epoch,
            tasks: state.tasks.reports(),
            usage: state.take_due_usage(now, switches.usage_lag),
        })
    }
}

impl State {
    fn execute(&mut self, command: &Command, now: u64, switches: WorkerSwitches) {
        match command {
            Command::Start(start) => self.tasks.start(start, now, switches.fails_every_task),
            Command::Stop {
                task,
                attempt,
                checkpoint,
            } => self.tasks.stop(task, *attempt, *checkpoint),
            Command::Throttle {
                task,
                attempt,
                percent,
            } => self.tasks.throttle(task, *attempt, *percent),
            Command::Acknowledge { task, attempt } => self.tasks.acknowledge(task, *attempt),
        }
    }

    fn measure(&mut self, now: u64, host: &Host) {
        let services = host.take_meters().into_iter().filter_map(service_usage);
        let report = UsageReport {
            age_ms: 0,
            tasks: self.tasks.usage(),
            services: services.collect(),
        };
        self.usage
            .push_back(UsageMeasurement { at_us: now, report });
        while self.usage.len() > MAX_USAGE_REPORTS {
            self.usage.pop_front();
        }
    }

    fn take_due_usage(&mut self, now: u64, lag: Duration) -> Vec<UsageReport> {
        let lag_us = lag.as_micros() as u64;
        let mut due = Vec::new();
        while self.usage.front().is_some_and(|m| m.at_us + lag_us <= now) {
            let Some(mut measured) = self.usage.pop_front() else {
                break;
            };
            measured.report.age_ms = (now - measured.at_us) / 1_000;
            due.push(measured.report);
        }
        due
    }
}

fn service_usage((service, mut meter): (SmolStr, crate::host::Meter)) -> Option<ServiceUsage> {
    Some(ServiceUsage {
        service: service.try_into().ok()?,
        p99_ms: meter.p99_us().div_ceil(1_000),
        samples: meter.times_us.len() as u64,
        queued: meter.refused,
    })
}
