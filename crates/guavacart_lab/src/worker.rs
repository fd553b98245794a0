//! Stand-in of a worker.

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

/// How often tasks advance and leases are looked at.
const STEP: Duration = Duration::from_millis(5);
/// How often usage is measured.
const USAGE_PERIOD_US: u64 = 1_000_000;
/// Usage reports that are kept.
const MAX_USAGE_REPORTS: usize = 60;

/// How a worker behaves.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSwitches {
    /// True if it answers no call; its tasks and its clock go on.
    pub paused: bool,
    /// True if every task that it starts fails at once.
    pub fails_every_task: bool,
    /// How old usage is when it is reported.
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

/// A running worker; dropped, it is dead and so are its tasks.
#[derive(Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
    steps: JoinHandle<()>,
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
    usage: VecDeque<Measured>,
    measured_us: u64,
}

/// Usage at a point of time, not yet reported.
#[derive(Debug)]
struct Measured {
    at_us: u64,
    report: UsageReport,
}

impl Worker {
    /// Starts a worker that holds `capacity` for tasks.
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
                measured_us: now_us(),
            }),
            switches: watch::Sender::new(WorkerSwitches::default()),
        });
        let server = Server::bind(Arc::clone(&shared)).await?;
        let steps = tokio::spawn(step(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            steps,
        })
    }

    /// Its id.
    pub fn id(&self) -> &WorkerId {
        &self.shared.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Tasks that it runs now.
    pub fn running(&self) -> usize {
        lock(&self.shared.state).tasks.running()
    }

    /// What its tasks were promised at their start, in sum.
    pub fn committed(&self) -> Resources {
        lock(&self.shared.state).tasks.committed()
    }

    /// Changes how it behaves.
    pub fn switch(&self, change: impl FnOnce(&mut WorkerSwitches)) {
        self.shared.switches.send_modify(change);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.steps.abort();
        lock(&self.shared.state).tasks.die();
    }
}

async fn step(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(STEP);
    loop {
        interval.tick().await;
        let mut state = lock(&shared.state);
        let now = now_us();
        state.tasks.advance(now, &shared.host);
        if now >= state.measured_us + USAGE_PERIOD_US {
            state.measured_us = now;
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
        let seen = state.epochs.entry(req.cell.clone()).or_default();
        if req.epoch < *seen {
            let mut refused = json(&json!({ "epoch": *seen }));
            *refused.status_mut() = StatusCode::CONFLICT;
            return refused;
        }
        *seen = req.epoch;
        for renewal in &req.renew {
            let ends_us = now + renewal.lease_ms * 1_000;
            state.tasks.renew(&renewal.task, renewal.attempt, ends_us);
        }
        for command in &req.commands {
            state.carry_out(command, now, switches);
        }
        state.tasks.advance(now, &self.host);
        json(&SyncAnswer {
            epoch: req.epoch,
            tasks: state.tasks.reports(),
            usage: state.take_usage(now, switches.usage_lag),
        })
    }
}

impl State {
    fn carry_out(&mut self, command: &Command, now: u64, switches: WorkerSwitches) {
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
        self.usage.push_back(Measured { at_us: now, report });
        while self.usage.len() > MAX_USAGE_REPORTS {
            self.usage.pop_front();
        }
    }

    fn take_usage(&mut self, now: u64, lag: Duration) -> Vec<UsageReport> {
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
