//! The cluster of one run: all stand-ins and all entry instances.

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
    caller::{self, AttemptLog, CallerSpec, EntryAddresses},
    checks::{StopWindow, Violations},
    clock::now_us,
    endpoint::{Endpoint, LEAVING_GRACE},
    fault::Network,
    host::{Host, SharedInterference},
    instance::{AccessSettings, Instance, InstanceError, InstanceSettings, binary},
    instance_list::{DEFAULT_LAG, InstanceList, ListView},
    jobs::Jobs,
    journal_check::CELL_KEY_PREFIX,
    request_ledger::RequestLedger,
    store::Store,
    sync::lock,
    worker::Worker,
};

/// Longest wait for an instance or an endpoint to stop gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the status of all unfinished jobs.
const STATUS_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two polls of a condition.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Errors of a cluster's set-up and operation.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A stand-in could not listen, or the temporary directory could not be created.
    #[error("a stand-in could not listen, or the temporary directory could not be created: {0}")]
    Bind(#[from] io::Error),
    /// An instance could not be started, signalled or stopped.
    #[error(transparent)]
    Instance(#[from] InstanceError),
    /// An id that the lab made is invalid.
    #[error(transparent)]
    Id(#[from] guavacart_types::IdError),
    /// No instance or endpoint with this name is running.
    #[error("{0} is not running")]
    NotRunning(SmolStr),
    /// A patch was not accepted.
    #[error("patch {id} was not accepted; last answer: {answer}")]
    Patch {
        /// Id of the patch.
        id: SmolStr,
        /// Status and body of the last answer; empty if there was none.
        answer: SmolStr,
    },
    /// An awaited condition was not met in time.
    #[error("{what} did not happen within {limit:?}")]
    TimedOut {
        /// Description of the condition.
        what: SmolStr,
        /// Longest wait.
        limit: Duration,
    },
    /// A task of the lab itself failed.
    #[error("a task of the lab failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// A running cluster; all stand-ins and instances end when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// Sizes and names of the cluster.
    pub spec: ClusterSpec,
    /// Stand-in for the platform's key-value store.
    pub store: Store,
    /// Stand-in for the platform's instance list.
    pub list: InstanceList,
    /// Stand-in for the platform's load balancer.
    pub balancer: Balancer,
    /// Slowdown of work by other work on the same machine.
    pub interference: SharedInterference,
    /// Ledger of the requests that endpoints ran.
    pub requests: RequestLedger,
    /// Ledger of the attempts that workers ran.
    pub batch: BatchLedger,
    /// Attempts of all callers.
    pub attempt_log: AttemptLog,
    /// Submitters of batch jobs.
    pub jobs: Jobs,
    /// Fault proxies between all parties; `None` if the run has no proxies.
    pub network: Option<Arc<Network>>,
    binary: PathBuf,
    temp_dir: TempDir,
    endpoints: Mutex<Vec<Arc<Endpoint>>>,
    workers: Mutex<Vec<Arc<Worker>>>,
    instances: tokio::sync::Mutex<BTreeMap<SmolStr, Instance>>,
    caller_addresses: Mutex<BTreeMap<SmolStr, SocketAddr>>,
    list_views: Mutex<Vec<ListView>>,
    graceful_stops: Mutex<Vec<StopWindow>>,
    unclean_stops: Mutex<u64>,
    config_watch: config_watch::ConfigWatch,
}

impl Cluster {
    /// Starts all stand-ins and instances and waits until the configuration is in force on all
    /// instances.
    pub async fn open(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let cluster = Self::start_stand_ins(spec).await?;
        for i in 0..cluster.spec.instances {
            let name = format_smolstr!("e{}", i + 1);
            cluster.start_instance(&name, i).await?;
        }
        cluster.wait_healthy(cluster.spec.instances).await?;
        let configuration = cluster.spec.configuration.clone();
        let number = cluster.patch(0, "lab-1", &configuration).await?;
        cluster.wait_for_config(number).await?;
        Ok(cluster)
    }

    async fn start_stand_ins(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let store = Store::bind(spec.seed).await?;
        store.keep_history(CONFIG_KEY);
        store.keep_history(CELL_KEY_PREFIX);
        let list = InstanceList::bind(DEFAULT_LAG).await?;
        let balancer = Balancer::bind().await?;
        let interference = SharedInterference::default();
        let batch = BatchLedger::default();
        let requests = RequestLedger::default();
        let cluster = Self {
            binary: binary()?,
            temp_dir: tempfile::tempdir()?,
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
            attempt_log: AttemptLog::default(),
            instances: tokio::sync::Mutex::default(),
            caller_addresses: Mutex::default(),
            list_views: Mutex::default(),
            graceful_stops: Mutex::default(),
            unclean_stops: Mutex::default(),
            config_watch: config_watch::ConfigWatch::default(),
            spec,
        };
        cluster.start_workers_and_endpoints().await?;
        Ok(cluster)
    }

    /// Starts all workers and endpoints; endpoint `i` shares the machine of worker `i`, if there is
    /// one.
    async fn start_workers_and_endpoints(&self) -> Result<(), ClusterError> {
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

    /// Starts worker `i` on `host` and registers it in the instance list.
    pub async fn start_worker(&self, i: usize, host: Arc<Host>) -> Result<(), ClusterError> {
        let id = format!("w{}", i + 1).parse()?;
        let worker = Worker::bind(id, self.spec.capacity, host, self.batch.clone()).await?;
        let listed = self.spec.listed_worker(i, worker.address());
        self.list.register(listed);
        lock(&self.workers).push(Arc::new(worker));
        Ok(())
    }

    /// Starts endpoint `i` on `host` and registers it in the instance list.
    pub async fn start_endpoint(&self, i: usize, host: Arc<Host>) -> Result<(), ClusterError> {
        let id = format!("p{}", i + 1).parse()?;
        let service = self.spec.service.as_str().parse()?;
        let endpoint = Endpoint::bind(id, service, host, self.requests.clone()).await?;
        let listed = self.spec.listed_endpoint(i, endpoint.address());
        self.list.register(listed);
        lock(&self.endpoints).push(Arc::new(endpoint));
        Ok(())
    }

    /// Returns the running endpoints.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        lock(&self.endpoints).clone()
    }

    /// Returns the running workers.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        lock(&self.workers).clone()
    }

    /// Shuts an endpoint down as the platform does: it is announced to leave, is removed from the
    /// list once it is idle, and ends. `refuses` says whether the endpoint itself refuses new work.
    pub async fn drain_endpoint(&self, id: &str, refuses: bool) -> Result<(), ClusterError> {
        let found = self.endpoints().into_iter().find(|e| e.id() == id);
        let endpoint = found.ok_or_else(|| not_running(id))?;
        endpoint.leave(refuses);
        self.list.announce_leaving(id);
        tokio::time::sleep(LEAVING_GRACE).await;
        let deadline = Instant::now() + STOP_TIMEOUT;
        while endpoint.busy() > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        self.list.remove(id);
        lock(&self.endpoints).retain(|e| e.id() != id);
        Ok(())
    }

    /// Kills a worker with all its tasks; it disappears from the list after the list's lag.
    pub fn kill_worker(&self, id: &str) {
        self.list.remove(id);
        lock(&self.workers).retain(|w| w.id().as_str() != id);
    }

    /// Starts an instance and adds it to the instance list and the balancer; `place` selects its
    /// data centre, see [`ClusterSpec::data_centre`].
    pub async fn start_instance(&self, name: &str, place: usize) -> Result<(), ClusterError> {
        let settings = self.instance_settings(name, place).await?;
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
        lock(&self.caller_addresses).insert(name.into(), callers);
        if self.spec.watch {
            self.config_watch.add(name, instance.callers());
        }
        self.instances.lock().await.insert(name.into(), instance);
        Ok(())
    }

    async fn instance_settings(
        &self,
        name: &str,
        place: usize,
    ) -> Result<InstanceSettings, ClusterError> {
        let (store, list) = match &self.network {
            Some(network) => {
                let view = self.list.bind_view(name, Arc::clone(network)).await?;
                let list = view.address();
                lock(&self.list_views).push(view);
                (
                    network.link(name, "store", self.store.address()).await,
                    list,
                )
            }
            None => (self.store.address(), self.list.address()),
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(InstanceSettings {
            instance: name.into(),
            data_centre: self.spec.data_centre(place),
            callers: any_port,
            peers: any_port,
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
            None => self.temp_dir.path().to_owned(),
        }
    }

    /// Kills an instance; it disappears from the list after the list's lag.
    pub async fn kill(&self, name: &str) -> Result<(), ClusterError> {
        let mut instance = self.take_instance(name).await?;
        self.config_watch.remove(name);
        tokio::task::spawn_blocking(move || instance.kill()).await?;
        self.list.remove(name);
        self.balancer.remove(name);
        lock(&self.caller_addresses).remove(name);
        Ok(())
    }

    /// Stops an instance gracefully as the platform does: it is announced to leave, gets SIGTERM,
    /// and is removed from the list after it has ended.
    pub async fn stop(&self, name: &str) -> Result<(), ClusterError> {
        let mut instance = self.take_instance(name).await?;
        self.config_watch.remove(name);
        self.list.announce_leaving(name);
        let from_us = now_us();
        let stop = move || {
            let code = instance.stop(STOP_TIMEOUT);
            drop(instance);
            code
        };
        let code = tokio::task::spawn_blocking(stop).await?;
        lock(&self.graceful_stops).push(StopWindow {
            instance: name.into(),
            from_us,
            to_us: now_us(),
        });
        self.list.remove(name);
        self.balancer.remove(name);
        lock(&self.caller_addresses).remove(name);
        if !matches!(code, Ok(Some(0))) {
            tracing::error!(name, ?code, "instance did not stop gracefully");
            *lock(&self.unclean_stops) += 1;
        }
        Ok(())
    }

    /// Pauses the process of an instance.
    pub async fn pause(&self, name: &str) -> Result<(), ClusterError> {
        let instances = self.instances.lock().await;
        let instance = instances.get(name);
        Ok(instance.ok_or_else(|| not_running(name))?.pause()?)
    }

    /// Resumes a paused instance.
    pub async fn resume(&self, name: &str) -> Result<(), ClusterError> {
        let instances = self.instances.lock().await;
        let instance = instances.get(name);
        Ok(instance.ok_or_else(|| not_running(name))?.resume()?)
    }

    async fn take_instance(&self, name: &str) -> Result<Instance, ClusterError> {
        let mut instances = self.instances.lock().await;
        instances.remove(name).ok_or_else(|| not_running(name))
    }

    /// Returns the names of the running instances and their addresses for callers.
    pub fn running(&self) -> Vec<(SmolStr, SocketAddr)> {
        let addresses = lock(&self.caller_addresses);
        addresses
            .iter()
            .map(|(name, address)| (name.clone(), *address))
            .collect()
    }

    /// Returns the process ids of the running instances.
    pub async fn pids(&self) -> Vec<u32> {
        let instances = self.instances.lock().await;
        instances.values().map(Instance::pid).collect()
    }

    /// Returns the processor time that each running instance has used, in seconds.
    pub async fn cpu_seconds(&self) -> BTreeMap<SmolStr, f64> {
        let instances = self.instances.lock().await;
        let used = |(name, i): (&SmolStr, &Instance)| Some((name.clone(), i.cpu_seconds()?));
        instances.iter().filter_map(used).collect()
    }

    /// Returns the resident memory of each running instance, in bytes.
    pub async fn resident_bytes(&self) -> BTreeMap<SmolStr, u64> {
        let instances = self.instances.lock().await;
        let resident = |(name, i): (&SmolStr, &Instance)| Some((name.clone(), i.resident_bytes()?));
        instances.iter().filter_map(resident).collect()
    }

    /// Returns the addresses that callers connect to: only the balancer's.
    pub fn entry_addresses(&self) -> EntryAddresses {
        EntryAddresses::open(vec![self.balancer.address()])
    }

    /// Starts one task per kind of caller, each with its own seed; the callers connect to the
    /// balancer for `length`.
    pub fn spawn_callers(
        &self,
        specs: Vec<CallerSpec>,
        length: Duration,
        seed: u64,
    ) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for (i, spec) in specs.into_iter().enumerate() {
            let seed = guavacart_types::deterministic_random(seed, i as u64);
            let attempt_log = self.attempt_log.clone();
            callers.spawn(caller::run(
                spec,
                self.entry_addresses(),
                length,
                seed,
                attempt_log,
            ));
        }
        callers
    }

    /// Returns the number of graceful stops that did not end with exit code 0 in time.
    pub fn unclean_stops(&self) -> u64 {
        *lock(&self.unclean_stops)
    }

    /// Counts all violations so far.
    pub async fn violations(&self) -> Violations {
        let attempts = self.attempt_log.attempts();
        let mut violations = Violations::default();
        violations.add_endpoints(&self.requests.counts());
        violations.add_batch(&self.batch.counts());
        violations.add_attempts(&attempts, &self.requests);
        violations.add_stops(&attempts, &lock(&self.graceful_stops), |attempt| {
            self.balancer.backend_of(attempt.local?, attempt.ended_us)
        });
        violations.add_config_writes(&self.store.history_of(CONFIG_KEY));
        violations.config_reverted += self.config_watch.reverted();
        violations.task_lost += self.jobs.count_lost_tasks(STATUS_TIMEOUT).await;
        violations
    }
}

fn not_running(name: &str) -> ClusterError {
    ClusterError::NotRunning(name.into())
}
