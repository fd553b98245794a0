//! All stand-ins and all entry instances of one run.

mod config_watch;
mod operators;
mod spec;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use guavacart_config::CONFIG_KEY;
use guavacart_platform::instance_list::{ListedInstanceWire, RoleWire};
use smol_str::{SmolStr, format_smolstr};
use tempfile::TempDir;
use thiserror::Error;
use tokio::{task::JoinSet, time::Instant};

pub use self::spec::{ClusterSpec, READER, Size, SizeError, WRITER, team_token};
use crate::{
    balancer::Balancer,
    batch_ledger::BatchLedger,
    caller::{self, CallerSpec, Entrances, Record},
    checks::{StopWindow, Violations},
    clock::now_us,
    endpoint::{Endpoint, LEAVING_GRACE},
    fault::Network,
    host::{Host, SharedInterference},
    instance::{AccessSettings, Instance, InstanceError, InstanceSettings, binary},
    instance_list::{DEFAULT_LAG, InstanceList, ListView},
    jobs::Jobs,
    journal_check::JOURNAL_FOLDER,
    request_ledger::RequestLedger,
    store::Store,
    sync::lock,
    worker::Worker,
};

/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the standing of unfinished jobs.
const STATUS_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(100);

/// Why a run could not be set up or went out of hand.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A stand-in could not listen.
    #[error("a stand-in could not listen: {0}")]
    Bind(#[from] io::Error),
    /// An instance could not be run.
    #[error(transparent)]
    Instance(#[from] InstanceError),
    /// An id made from the numbers of the run is not one.
    #[error(transparent)]
    Id(#[from] guavacart_types::IdError),
    /// No such instance runs.
    #[error("instance {0} does not run")]
    NotRunning(SmolStr),
    /// A patch was not accepted.
    #[error("patch {id} was not accepted: {said}")]
    Patch {
        /// The patch.
        id: SmolStr,
        /// What was answered last.
        said: SmolStr,
    },
    /// Something that was waited for did not happen.
    #[error("{what} did not happen within {limit:?}")]
    TimedOut {
        /// What was waited for.
        what: SmolStr,
        /// How long.
        limit: Duration,
    },
    /// A task of the lab itself failed.
    #[error("a task of the lab failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// A running set-up; everything in it ends when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// What it was made from.
    pub spec: ClusterSpec,
    /// The store.
    pub store: Store,
    /// The instance list.
    pub list: InstanceList,
    /// The balancer.
    pub balancer: Balancer,
    /// How work on one machine slows other work there.
    pub interference: SharedInterference,
    /// What endpoints ran.
    pub requests: RequestLedger,
    /// What workers ran.
    pub batch: BatchLedger,
    /// What callers saw.
    pub record: Record,
    /// Submitters.
    pub jobs: Jobs,
    /// Fault proxies between all parties, if the run has them.
    pub network: Option<Arc<Network>>,
    binary: PathBuf,
    dir: TempDir,
    endpoints: Mutex<Vec<Arc<Endpoint>>>,
    workers: Mutex<Vec<Arc<Worker>>>,
    instances: tokio::sync::Mutex<BTreeMap<SmolStr, Instance>>,
    callers: Mutex<BTreeMap<SmolStr, SocketAddr>>,
    views: Mutex<Vec<ListView>>,
    stops: Mutex<Vec<StopWindow>>,
    unclean_stops: Mutex<u64>,
    config_watch: config_watch::ConfigWatch,
}

impl Cluster {
    /// Starts all stand-ins and instances and puts the configuration in force.
    pub async fn open(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let cluster = Self::bind(spec).await?;
        for i in 0..cluster.spec.instances {
            let name = format_smolstr!("e{}", i + 1);
            cluster.start_instance(&name, i).await?;
        }
        cluster.wait_healthy(cluster.spec.instances).await?;
        let configuration = cluster.spec.configuration.clone();
        let number = cluster.patch(0, "lab-1", &configuration).await?;
        cluster.wait_config(number).await?;
        Ok(cluster)
    }

    async fn bind(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let store = Store::bind(spec.seed).await?;
        store.keep_history(CONFIG_KEY);
        store.keep_history(JOURNAL_FOLDER);
        let list = InstanceList::bind(DEFAULT_LAG).await?;
        let balancer = Balancer::bind().await?;
        let interference = SharedInterference::default();
        let batch = BatchLedger::default();
        let requests = RequestLedger::default();
        let cluster = Self {
            binary: binary()?,
            dir: tempfile::tempdir()?,
            network: spec.network.then(|| Arc::new(Network::open(spec.seed))),
            jobs: Jobs::open(balancer.address(), spec.tokens(), batch.clone()),
            store,
            list,
            balancer,
            endpoints: Mutex::default(),
            workers: Mutex::default(),
            interference,
            requests,
            batch,
            record: Record::default(),
            instances: tokio::sync::Mutex::default(),
            callers: Mutex::default(),
            views: Mutex::default(),
            stops: Mutex::default(),
            unclean_stops: Mutex::default(),
            config_watch: config_watch::ConfigWatch::default(),
            spec,
        };
        cluster.bind_workers().await?;
        Ok(cluster)
    }

    /// Binds workers and endpoints; endpoint `i` runs on worker `i` as far as there are workers.
    async fn bind_workers(&self) -> Result<(), ClusterError> {
        let processors = self.spec.capacity.processors.0;
        let hosts: Vec<Arc<Host>> = (0..self.spec.workers.max(self.spec.endpoints))
            .map(|_| Host::open(processors, Arc::clone(&self.interference)))
            .collect();
        for (i, host) in hosts.iter().enumerate().take(self.spec.workers) {
            self.start_worker(i, Arc::clone(host)).await?;
        }
        for (i, host) in hosts.iter().enumerate().take(self.spec.endpoints) {
            self.start_endpoint(i, Arc::clone(host)).await?;
        }
        Ok(())
    }

    /// Starts worker `i` on a machine.
    pub async fn start_worker(&self, i: usize, host: Arc<Host>) -> Result<(), ClusterError> {
        let id = format!("w{}", i + 1).parse()?;
        let worker = Worker::bind(id, self.spec.capacity, host, self.batch.clone()).await?;
        let line = self.spec.worker_line(i, worker.address());
        self.list.register(line);
        lock(&self.workers).push(Arc::new(worker));
        Ok(())
    }

    /// Starts endpoint `i` on a machine.
    pub async fn start_endpoint(&self, i: usize, host: Arc<Host>) -> Result<(), ClusterError> {
        let id = format!("p{}", i + 1).parse()?;
        let service = self.spec.service.as_str().parse()?;
        let endpoint = Endpoint::bind(id, service, host, self.requests.clone()).await?;
        let line = self.spec.endpoint_line(i, endpoint.address());
        self.list.register(line);
        lock(&self.endpoints).push(Arc::new(endpoint));
        Ok(())
    }

    /// The endpoints that run.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        lock(&self.endpoints).clone()
    }

    /// The workers that run.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        lock(&self.workers).clone()
    }

    /// Replaces endpoint by endpoint as the platform does: it is announced to leave, is gone from
    /// the list once it is idle, and ends. `refuses` says whether it refuses new work itself.
    pub async fn leave_endpoint(&self, id: &str, refuses: bool) -> Result<(), ClusterError> {
        let found = self.endpoints().into_iter().find(|e| e.id() == id);
        let endpoint = found.ok_or_else(|| not_running(id))?;
        endpoint.leave(refuses);
        self.list.announce_leaving(id);
        tokio::time::sleep(LEAVING_GRACE).await;
        let deadline = Instant::now() + STOP_TIMEOUT;
        while endpoint.busy() > 0 && Instant::now() < deadline {
            tokio::time::sleep(PAUSE).await;
        }
        self.list.remove(id);
        lock(&self.endpoints).retain(|e| e.id() != id);
        Ok(())
    }

    /// Kills a worker with all its tasks; the list drops it after its lag.
    pub fn kill_worker(&self, id: &str) {
        self.list.remove(id);
        lock(&self.workers).retain(|w| w.id().as_str() != id);
    }

    /// Starts an instance; `place` decides its data centre.
    pub async fn start_instance(&self, name: &str, place: usize) -> Result<(), ClusterError> {
        let settings = self.settings(name, place).await?;
        let data_centre = settings.data_centre.clone();
        let (binary, dir) = (self.binary.clone(), self.log_dir());
        let spawn = move || Instance::spawn(&binary, &dir, &settings);
        let instance = tokio::task::spawn_blocking(spawn).await??;
        let callers = match &self.network {
            Some(network) => network.link("callers", name, instance.callers()).await,
            None => instance.callers(),
        };
        self.list.register(ListedInstanceWire {
            data_centre,
            address: instance.peers(),
            leaving: false,
            role: RoleWire::Entry { id: name.into() },
        });
        self.balancer.add(name, callers);
        lock(&self.callers).insert(name.into(), callers);
        if self.spec.watch {
            self.config_watch.add(name, instance.callers());
        }
        self.instances.lock().await.insert(name.into(), instance);
        Ok(())
    }

    async fn settings(&self, name: &str, place: usize) -> Result<InstanceSettings, ClusterError> {
        let (store, list) = match &self.network {
            Some(network) => {
                let view = self.list.bind_view(name, Arc::clone(network)).await?;
                let list = view.address();
                lock(&self.views).push(view);
                (
                    network.link(name, "store", self.store.address()).await,
                    list,
                )
            }
            None => (self.store.address(), self.list.address()),
        };
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(InstanceSettings {
            instance: name.into(),
            data_centre: self.spec.data_centre(place),
            callers: free,
            peers: free,
            store,
            instance_list: list,
            linger: self.spec.linger.clone(),
            access: AccessSettings {
                peer_key: "lab-peer-key-0123456789abcdef0123456789".into(),
                reader: READER.into(),
                writer: WRITER.into(),
                teams: self.spec.tokens(),
            },
        })
    }

    fn log_dir(&self) -> PathBuf {
        match &self.spec.logs {
            Some(dir) => dir.clone(),
            None => self.dir.path().to_owned(),
        }
    }

    /// Kills an instance; the list drops it after its lag.
    pub async fn kill(&self, name: &str) -> Result<(), ClusterError> {
        let mut instance = self.take(name).await?;
        self.config_watch.remove(name);
        tokio::task::spawn_blocking(move || instance.kill()).await?;
        self.list.remove(name);
        self.balancer.remove(name);
        lock(&self.callers).remove(name);
        Ok(())
    }

    /// Stops an instance gracefully, as the platform does: it is announced to leave, gets SIGTERM,
    /// and is gone from the list after it has ended.
    pub async fn stop(&self, name: &str) -> Result<(), ClusterError> {
        let mut instance = self.take(name).await?;
        self.config_watch.remove(name);
        self.list.announce_leaving(name);
        let from_us = now_us();
        let stop = move || {
            let code = instance.stop(STOP_TIMEOUT);
            drop(instance);
            code
        };
        let code = tokio::task::spawn_blocking(stop).await?;
        lock(&self.stops).push(StopWindow {
            instance: name.into(),
            from_us,
            to_us: now_us(),
        });
        self.list.remove(name);
        self.balancer.remove(name);
        lock(&self.callers).remove(name);
        if !matches!(code, Ok(Some(0))) {
            tracing::error!(name, ?code, "instance did not stop gracefully");
            *lock(&self.unclean_stops) += 1;
        }
        Ok(())
    }

    /// Pauses an instance.
    pub async fn pause(&self, name: &str) -> Result<(), ClusterError> {
        let instances = self.instances.lock().await;
        let instance = instances.get(name);
        Ok(instance.ok_or_else(|| not_running(name))?.pause()?)
    }

    /// Lets a paused instance go on.
    pub async fn resume(&self, name: &str) -> Result<(), ClusterError> {
        let instances = self.instances.lock().await;
        let instance = instances.get(name);
        Ok(instance.ok_or_else(|| not_running(name))?.resume()?)
    }

    async fn take(&self, name: &str) -> Result<Instance, ClusterError> {
        let mut instances = self.instances.lock().await;
        instances.remove(name).ok_or_else(|| not_running(name))
    }

    /// The instances that run, by name, with the address for callers.
    pub fn running(&self) -> Vec<(SmolStr, SocketAddr)> {
        let callers = lock(&self.callers);
        callers
            .iter()
            .map(|(name, at)| (name.clone(), *at))
            .collect()
    }

    /// The process ids of the instances that run.
    pub async fn pids(&self) -> Vec<u32> {
        let instances = self.instances.lock().await;
        instances.values().map(Instance::pid).collect()
    }

    /// Processor time that each running instance has used, in seconds.
    pub async fn cpu_seconds(&self) -> BTreeMap<SmolStr, f64> {
        let instances = self.instances.lock().await;
        let used = |(name, i): (&SmolStr, &Instance)| Some((name.clone(), i.cpu_seconds()?));
        instances.iter().filter_map(used).collect()
    }

    /// Memory that each running instance holds resident, in bytes.
    pub async fn resident_bytes(&self) -> BTreeMap<SmolStr, u64> {
        let instances = self.instances.lock().await;
        let held = |(name, i): (&SmolStr, &Instance)| Some((name.clone(), i.resident_bytes()?));
        instances.iter().filter_map(held).collect()
    }

    /// Callers' way in: the balancer.
    pub fn entrances(&self) -> Entrances {
        Entrances::open(vec![self.balancer.address()])
    }

    /// Starts callers at the balancer, each with a seed of its own; ends with the last of them.
    pub fn spawn_callers(
        &self,
        specs: Vec<CallerSpec>,
        length: Duration,
        seed: u64,
    ) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for (i, spec) in specs.into_iter().enumerate() {
            let seed = guavacart_types::deterministic_random(seed, i as u64);
            let record = self.record.clone();
            callers.spawn(caller::run(spec, self.entrances(), length, seed, record));
        }
        callers
    }

    /// Graceful stops that did not end with exit code 0 in time.
    pub fn unclean_stops(&self) -> u64 {
        *lock(&self.unclean_stops)
    }

    /// Counts all broken promises so far.
    pub async fn violations(&self) -> Violations {
        let attempts = self.record.attempts();
        let mut violations = Violations::default();
        violations.add_endpoints(&self.requests.counts());
        violations.add_batch(&self.batch.counts());
        violations.add_attempts(&attempts, &self.requests);
        violations.add_stops(&attempts, &lock(&self.stops), |attempt| {
            self.balancer.backend_of(attempt.local?, attempt.ended_us)
        });
        violations.add_config_writes(&self.store.history_of(CONFIG_KEY));
        violations.config_reverted += self.config_watch.reverted();
        violations.task_lost += self.jobs.lost(STATUS_TIMEOUT).await;
        violations
    }
}

fn not_running(name: &str) -> ClusterError {
    ClusterError::NotRunning(name.into())
}
