//! What a node needs of the users' platform, in the product's own terms; an adapter implements it.

use std::{fmt, future::Future, net::SocketAddr};

use guavacart_jobs::{
    Configuration, ExecutorId, HoldOrder, HoldReport, JobKey, JobState, Machine, MaintenanceOrder,
    MaintenanceWave, MaintenanceWaveState, OrderFailure, OrderTarget, Registration, RunNumber,
    Schedule, StartOrder, Step, StepKey, TaskKey, Ticket, WaveNumber,
};
use guavacart_types::{DataCentre, Epoch, Revision, Span};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest time from an order to an executor until its answer, apart from the time that a hold
/// waits.
pub const LATE_ANSWER_TIMEOUT: Span = Span::millis(4_000);

/// The interfaces of the users' platform: its store, executors, advice service and machines.
pub trait Platform: Clone + 'static {
    /// Decodes the body of a submitted job.
    ///
    /// # Errors
    /// Returns what is wrong with the body.
    fn decode_job(body: &[u8]) -> Result<JobBody, BodyError>;
    /// Encodes the response that reports a job's state.
    fn encode_state(state: JobState) -> Vec<u8>;
    /// Encodes the response that reports how many jobs of a queue wait.
    fn encode_waiting(waiting: usize) -> Vec<u8>;
    /// The path that the platform's load balancer requests.
    const READINESS_PATH: &'static str;
    /// The request header with the caller's timeout in milliseconds.
    const TIMEOUT_HEADER: &'static str;

    /// Reads one item of the store.
    fn get(&self, key: Key) -> impl Future<Output = Result<Option<Item>, StoreError>>;
    /// Reads all items of a space, and the revision from which to watch it.
    fn list(&self, space: Space)
    -> impl Future<Output = Result<(Vec<Item>, Revision), StoreError>>;
    /// Waits at most `wait` for changes of a space after a revision.
    fn watch(
        &self,
        space: Space,
        after: Revision,
        wait: Span,
    ) -> impl Future<Output = Result<(Vec<Item>, Revision), StoreError>>;
    /// Writes all or nothing.
    fn commit(&self, write: Write) -> impl Future<Output = Result<Revision, StoreError>>;
    /// Opens a lease of the given length.
    fn grant(&self, ttl: Span) -> impl Future<Output = Result<LeaseId, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Ends a lease and removes its keys.
    fn release(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Extends an executor's lease, and lists its runs and the ends of runs. This and the other
    /// orders wait for the answer for up to [`LATE_ANSWER_TIMEOUT`].
    ///
    /// An order is carried out only by the incarnation in its target, if the target names one. If
    /// another one is there, a hold returns that one's lists, with nothing extended or acknowledged,
    /// and other orders fail with [`OrderFailure::OtherIncarnation`].
    fn hold(
        &self,
        target: OrderTarget,
        order: HoldOrder,
    ) -> impl Future<Output = Result<HoldReport, OrderFailure>>;
    /// Starts a run; returns the executor's monotonic clock in milliseconds. `may_send` is called
    /// right before the order is sent; if it returns false, nothing is sent.
    fn start(
        &self,
        target: OrderTarget,
        order: StartOrder,
        may_send: impl Fn() -> bool,
    ) -> impl Future<Output = Result<u64, OrderFailure>>;
    /// Stops a run.
    fn stop(
        &self,
        target: OrderTarget,
        task: TaskKey,
        run: RunNumber,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), OrderFailure>>;
    /// Limits a run to a percentage of its full speed.
    fn pace(
        &self,
        target: OrderTarget,
        task: TaskKey,
        run: RunNumber,
        percent: u8,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), OrderFailure>>;

    /// Asks which executors may run a step; `None` if no advice came.
    fn advise(
        &self,
        step: StepKey,
        executors: Vec<ExecutorId>,
        wait: Span,
    ) -> impl Future<Output = Option<Vec<(ExecutorId, Ticket)>>>;
    /// Lists the platform's machines; `None` if no list came.
    fn machines(&self) -> impl Future<Output = Option<Vec<Machine>>>;
    /// Begins a machine's maintenance; `may_send` is as for [`Self::start`].
    fn begin_maintenance(
        &self,
        order: MaintenanceOrder,
        may_send: impl Fn() -> bool,
    ) -> impl Future<Output = Result<(), OrderFailure>>;
}

/// A submitted job, as decoded from its body.
#[derive(Clone, Debug, PartialEq)]
pub struct JobBody {
    /// What its tasks are to do; passed to executors unchanged.
    pub payload: SmolStr,
    /// Its steps, in the order in which others refer to them.
    pub steps: Vec<Step>,
    /// When the steps run, if they run several times.
    pub schedule: Option<Schedule>,
}

/// The body is not a valid job.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the body is not a job: {0}")]
pub struct BodyError(pub SmolStr);

/// A range of keys that is watched or listed as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Space {
    /// The configuration, and the waves and evacuations that the operator requests.
    Operator,
    /// The evacuations that the operator requests, a part of [`Self::Operator`].
    Evacuations,
    /// The executors' entries.
    Executors,
    /// Jobs and cancels as submitters sent them.
    Inbox,
    /// The jobs' progress records.
    Progress,
}

/// One key of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Key {
    /// The operator's configuration, which nodes only read.
    Configuration,
    /// The record that names the owner.
    Owner,
    /// A job as it was submitted.
    Job(JobKey),
    /// The cancel of a job.
    Cancel(JobKey),
    /// A job's progress record.
    Progress(JobKey),
    /// The record of executors that may run something.
    ExecutorsWithRuns,
    /// The record of orders in maintenance waves.
    Maintenance,
    /// What owners have learned about the images of service tasks.
    Learned,
    /// The state of a wave, for the operator.
    WaveState(WaveNumber),
}

/// One item of the store, or its removal.
#[derive(Clone, Debug)]
pub struct Item {
    /// The revision of its last change.
    pub revision: Revision,
    /// Its decoded content.
    pub content: Content,
}

/// The content of an item.
#[derive(Clone, Debug)]
pub enum Content {
    /// The operator's configuration; `None` if it was removed or cannot be decoded.
    Configuration(Option<Configuration>),
    /// A request for maintenance.
    Wave(MaintenanceWave),
    /// A request to evacuate a data centre; false if it was removed.
    Evacuation(DataCentre, bool),
    /// An executor's entry; `None` if it was removed or describes no usable executor.
    Executor(ExecutorId, Option<Registration>),
    /// One of the product's own records; `None` if it was removed.
    Record(Key, Option<Vec<u8>>),
    /// A key whose content cannot be decoded.
    Unreadable(SmolStr),
}

/// A conditional write.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Keys that must have these revisions; 0 for a key that must not exist.
    pub expected: Vec<(Key, Revision)>,
    /// Records to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<Key>,
}

impl Write {
    /// True if the write changes nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.removes.is_empty()
    }
}

/// One record to write.
#[derive(Clone, Debug)]
pub struct Put {
    /// Where it is stored.
    pub key: Key,
    /// What is stored.
    pub value: Value,
    /// The lease with which the record expires, if any.
    pub lease: Option<LeaseId>,
}

/// A value to write.
#[derive(Clone, Debug)]
pub enum Value {
    /// One of the product's own records, encoded.
    Record(Vec<u8>),
    /// The state of a wave, for the operator.
    Wave(WaveNumber, MaintenanceWaveState),
}

/// Identifies a lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a call of the store failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The store refused the call with this status and did nothing.
    #[error("the store refused the call (status {0}) and did nothing; try again later")]
    Refused(u16),
    /// No connection was made.
    #[error("the store cannot be reached; nothing was sent")]
    NotSent,
    /// No answer came; a write may have been applied, or may still be.
    #[error("the store did not answer; a write may have been applied")]
    NoAnswer,
    /// The store has dropped its history after the requested revision.
    #[error("the store has dropped the history after this revision; list the keys again")]
    HistoryGone,
    /// The store knows no such lease.
    #[error("the store knows no such lease; it has expired")]
    LeaseNotFound,
    /// A condition did not hold; has the current items.
    #[error("the store's keys have changed since they were read")]
    Conflict(Vec<(Key, Option<Item>)>),
    /// The answer could not be decoded.
    #[error("the store's answer cannot be decoded")]
    Unreadable,
}

impl StoreError {
    /// True if a write was certainly not applied.
    pub fn was_not_applied(&self) -> bool {
        !matches!(self, Self::NoAnswer | Self::Unreadable)
    }
}

/// Capacity of a node's machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeSize {
    /// Processors, in cores.
    pub processors: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

/// Settings that a node gets at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name, for logs and the owner's record.
    pub name: SmolStr,
    /// The data centre of the node, for logs.
    pub data_centre: SmolStr,
    /// Address at which submitters connect.
    pub submitters: SocketAddr,
    /// Address at which the platform's load balancer asks whether the node takes requests.
    pub readiness: SocketAddr,
    /// Address for TCP connections and datagrams of other nodes.
    pub links: SocketAddr,
    /// Address at which metrics are read, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Longest time from the acknowledgement of a configuration until it is in force on all nodes.
    pub apply_time: Span,
    /// Time for a graceful shutdown.
    pub grace: Span,
    /// Shortest lease that the store grants.
    pub min_lease: Span,
    /// Capacity of the node's machine.
    pub size: NodeSize,
    /// Limits that the scheduler keeps.
    pub bounds: guavacart_jobs::Bounds,
}
