//! What a node needs of the platform, in the product's own terms; an adapter implements it.

use std::{fmt, future::Future, net::SocketAddr};

use guavacart_jobs::{
    Configuration, ExecutorId, HoldOrder, HoldReport, JobKey, JobState, Machine, OrderFailure,
    Registration, RunNumber, Schedule, StartOrder, Step, StepKey, Target, TaskKey, Ticket,
    UpkeepOrder, Wave, WaveNumber, WaveState,
};
use guavacart_types::{Epoch, Revision, Span};
use smol_str::SmolStr;
use thiserror::Error;

/// Everything of one platform.
pub trait Platform: Clone + 'static {
    /// The body of a submitted job.
    ///
    /// # Errors
    /// Returns what is wrong with the body.
    fn decode_job(body: &[u8]) -> Result<JobBody, BodyError>;
    /// The answer that tells a job's state.
    fn encode_state(state: JobState) -> Vec<u8>;
    /// The answer that tells how many jobs of a queue wait.
    fn encode_waiting(waiting: usize) -> Vec<u8>;
    /// The path that the platform's balancer asks for.
    const READINESS_PATH: &'static str;
    /// The request header with the milliseconds that a caller waits.
    const WAIT_HEADER: &'static str;

    /// Reads one item.
    fn get(&self, key: Key) -> impl Future<Output = Result<Option<Item>, StoreError>>;
    /// Reads a space whole, and the revision from which to watch it.
    fn list(&self, space: Space)
    -> impl Future<Output = Result<(Vec<Item>, Revision), StoreError>>;
    /// Waits for changes of a space after a revision.
    fn watch(
        &self,
        space: Space,
        after: Revision,
        wait: Span,
    ) -> impl Future<Output = Result<(Vec<Item>, Revision), StoreError>>;
    /// Writes all or nothing.
    fn commit(&self, write: Write) -> impl Future<Output = Result<Revision, StoreError>>;
    /// Opens a lease.
    fn grant(&self, ttl: Span) -> impl Future<Output = Result<LeaseId, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
    /// Ends a lease and removes its keys.
    fn release(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Extends an executor's lease and lists its runs and ends.
    fn hold(
        &self,
        target: Target,
        order: HoldOrder,
    ) -> impl Future<Output = Result<HoldReport, OrderFailure>>;
    /// Starts a run; answers with the executor's steady clock in milliseconds.
    fn start(
        &self,
        target: Target,
        order: StartOrder,
    ) -> impl Future<Output = Result<u64, OrderFailure>>;
    /// Stops a run.
    fn stop(
        &self,
        target: Target,
        task: TaskKey,
        run: RunNumber,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), OrderFailure>>;
    /// Lets a run work at a share of its speed.
    fn pace(
        &self,
        target: Target,
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
    /// Begins a machine's upkeep.
    fn upkeep(&self, order: UpkeepOrder) -> impl Future<Output = Result<(), OrderFailure>>;
}

/// A submitted job as its body tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobBody {
    /// What its tasks are to do.
    pub payload: SmolStr,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Set if they run several times.
    pub schedule: Option<Schedule>,
}

/// The body is not a job.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the body is not a job: {0}")]
pub struct BodyError(pub SmolStr);

/// What is watched or listed together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Space {
    /// The configuration and the waves that the operator asks for.
    Operator,
    /// The executors' entries.
    Executors,
    /// Jobs and cancels as submitters handed them in.
    Inbox,
    /// The jobs' progress.
    Progress,
}

/// One key of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Key {
    /// Who owns.
    Owner,
    /// A job as it was handed in.
    Job(JobKey),
    /// A cancel.
    Cancel(JobKey),
    /// A job's progress.
    Progress(JobKey),
    /// Executors that may run something.
    Fleet,
    /// What owners have learned of images.
    Learned,
    /// How far a wave has come.
    WaveState(WaveNumber),
}

/// One item of the store, or that it is gone.
#[derive(Clone, Debug)]
pub struct Item {
    /// The revision of its last change.
    pub revision: Revision,
    /// What it holds.
    pub content: Content,
}

/// What an item holds.
#[derive(Clone, Debug)]
pub enum Content {
    /// The operator's configuration.
    Configuration(Configuration),
    /// A request for upkeep.
    Wave(Wave),
    /// An executor's entry; `None` if it is gone or names no executor to use.
    Executor(ExecutorId, Option<Registration>),
    /// One of the product's own records; `None` if it is gone.
    Own(Key, Option<Vec<u8>>),
    /// Something that cannot be read, with its key.
    Unreadable(SmolStr),
}

/// A conditional write.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Keys that must stand at these revisions; 0 for a key that must not exist.
    pub expected: Vec<(Key, Revision)>,
    /// What is written.
    pub puts: Vec<Put>,
    /// What is removed.
    pub removes: Vec<Key>,
}

/// One record to write.
#[derive(Clone, Debug)]
pub struct Put {
    /// Where.
    pub key: Key,
    /// What.
    pub value: Value,
    /// The lease that it ends with.
    pub lease: Option<LeaseId>,
}

/// A value to write.
#[derive(Clone, Debug)]
pub enum Value {
    /// One of the product's own records.
    Own(Vec<u8>),
    /// What the operator reads of a wave.
    Wave(WaveNumber, WaveState),
}

/// A lease of the store.
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
    /// The store refused the call and did nothing.
    #[error("the store refused the call (status {0}) and did nothing; try again later")]
    Refused(u16),
    /// No connection was made.
    #[error("the store was not reached; nothing was sent")]
    NotSent,
    /// No answer came; a write may have been done, or may yet be.
    #[error("the store did not answer; a write may have been done")]
    NoAnswer,
    /// The history after that revision has been dropped.
    #[error("the store has dropped its history; list again")]
    HistoryGone,
    /// There is no such lease.
    #[error("the lease has ended")]
    LeaseGone,
    /// A condition did not hold; the items as they are.
    #[error("the store's keys have changed since they were read")]
    Conflict(Vec<(Key, Option<Item>)>),
    /// The answer was not understood.
    #[error("the store's answer was not understood")]
    Unreadable,
}

impl StoreError {
    /// True if a write was certainly not done.
    pub fn is_undone(&self) -> bool {
        !matches!(self, Self::NoAnswer | Self::Unreadable)
    }
}

/// What a node's machine has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeSize {
    /// Processors, in cores.
    pub processors: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name.
    pub name: SmolStr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Where submitters connect.
    pub callers: SocketAddr,
    /// Where the platform's balancer asks whether the node takes requests.
    pub readiness: SocketAddr,
    /// Where other nodes connect, and where datagrams come.
    pub links: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Time for a graceful shutdown.
    pub grace: Span,
    /// Shortest lease of the store.
    pub min_lease: Span,
    /// What its machine has.
    pub size: NodeSize,
    /// Bounds that scheduling keeps to.
    pub bounds: guavacart_jobs::Bounds,
}
