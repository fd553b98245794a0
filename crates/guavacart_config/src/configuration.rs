//! The configuration of a deployment, which operators change by patches.

use std::collections::BTreeMap;

use guavacart_types::{
    BatchClass, ByteSize, CellId, ConfigNumber, Rack, Resources, ServiceName, Span, TeamName,
};
use serde::{Deserialize, Serialize};

/// The configuration of a deployment under one number.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Increases by one with each accepted patch; 0 is the number of the empty configuration.
    pub number: ConfigNumber,
    /// The latency-critical services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams that call services and submit jobs, by name.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// The rules for each class of batch work.
    #[serde(default)]
    pub batch_classes: BTreeMap<BatchClass, BatchRule>,
    /// The groups of workers by id.
    #[serde(default)]
    pub cells: BTreeMap<CellId, Cell>,
    /// The rules by which services and batch work share workers.
    #[serde(default)]
    pub sharing: Sharing,
}

/// One latency-critical service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Maximum number of requests that one endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that one endpoint has open concurrently.
    pub connections: u32,
    /// Number of slots of each endpoint that are reserved for short requests.
    pub short_slots: u32,
    /// Maximum number of requests that wait at one entry instance.
    pub queue_entries: u32,
    /// Maximum total size of the requests that wait at one entry instance.
    pub queue_bytes: ByteSize,
    /// Deadline of a request that does not specify one.
    pub deadline: Span,
    /// Maximum deadline that a request may specify.
    pub longest_deadline: Span,
    /// Service time assumed for a short request until one has been measured.
    pub short_time: Span,
    /// Service time assumed for a long request until one has been measured.
    pub long_time: Span,
    /// The order in which waiting requests are served.
    pub queueing: Queueing,
    /// Whether requests that are predicted to miss their deadline are rejected immediately.
    pub admission: bool,
    /// Service-level objectives of the service.
    pub objectives: Objectives,
}

/// The order in which the waiting requests of a service are served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Queueing {
    /// By request class, and within a class by deficit round robin over the teams.
    #[default]
    Fair,
    /// In order of arrival; a baseline for comparison.
    Fifo,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 60,
            short_slots: 2,
            queue_entries: 2_000,
            queue_bytes: ByteSize::mib(16),
            deadline: Span::secs(2),
            longest_deadline: Span::secs(60),
            short_time: Span::millis(20),
            long_time: Span::secs(2),
            queueing: Queueing::default(),
            admission: true,
            objectives: Objectives::default(),
        }
    }
}

/// Service-level objectives of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objectives {
    /// Target share of requests that receive a complete answer, in parts per million.
    pub availability_ppm: u32,
    /// Latency target of an answer.
    pub latency: Span,
    /// Target share of answers with a latency below `latency`, in parts per million.
    pub latency_ppm: u32,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            availability_ppm: 999_000,
            latency: Span::millis(500),
            latency_ppm: 990_000,
        }
    }
}

/// One team that calls services and submits batch jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Weight of the team's requests in the queue of each service, relative to the other teams.
    pub weight: u32,
    /// Maximum resources that the team's batch tasks use concurrently; `None` means no limit.
    pub quota: Option<Resources>,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            weight: 1,
            quota: None,
        }
    }
}

/// Rules for one class of batch work.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchRule {
    /// Speed of a throttled task in percent of its full speed; 0 means that tasks of the class are
    /// never throttled.
    pub throttled_percent: u32,
    /// Whether tasks of the class can save a checkpoint.
    pub checkpoints: bool,
}

/// One group of workers with one owner and one journal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cell {
    /// The racks whose workers belong to the cell.
    pub racks: Vec<Rack>,
    /// Whether the cell was added to a configuration that already had cells. Jobs are submitted
    /// only to the cells for which this flag is false, so that the cell that a job id maps to
    /// never changes; tasks of the jobs may move to a cell that was added later. Set by the
    /// system.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub joined_later: bool,
}

/// The rules by which services and batch work share workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sharing {
    /// The policy by which batch work is throttled and evicted to protect services.
    pub policy: SharingPolicy,
    /// Relative importance of the measures that the policy weighs against each other.
    pub weights: Weights,
    /// Maximum number of evictions per minute in one cell.
    pub evictions_per_minute: u32,
    /// The rule by which a worker is chosen for a task.
    pub placement: Placement,
    /// The rule by which changes are written to a cell's journal.
    pub journal: JournalWrites,
}

impl Default for Sharing {
    fn default() -> Self {
        Self {
            policy: SharingPolicy::default(),
            weights: Weights::default(),
            evictions_per_minute: 6,
            placement: Placement::default(),
            journal: JournalWrites::default(),
        }
    }
}

/// The rule by which a worker is chosen among those with enough free resources for a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The worker with the lowest load and the lowest cost to services.
    #[default]
    LeastLoaded,
    /// The first worker in order of id; a baseline for comparison.
    FirstFit,
}

/// The rule by which changes are written to a cell's journal.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalWrites {
    /// Changes made within a short interval are written as one record.
    #[default]
    Grouped,
    /// Each change is written as a separate record; a baseline for comparison.
    Each,
}

/// The policy by which batch work is throttled and evicted to protect services.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharingPolicy {
    /// Uses the interference learned for each pair of service and batch class.
    #[default]
    Learned,
    /// Neither throttles nor evicts batch work.
    None,
    /// Limits batch work to a fixed share of each worker.
    Static,
    /// Evicts a task after a report, which arrives late, shows that a service is too slow.
    Reactive,
}

/// Relative weights of the measures by which sharing is judged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Weight of the tail latency of services.
    pub tail: u32,
    /// Weight of the quality of service at the peak of a swing in demand.
    pub crest: u32,
    /// Weight of the throughput of batch work.
    pub throughput: u32,
    /// Weight of evictions of batch work.
    pub evictions: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            tail: 1,
            crest: 1,
            throughput: 1,
            evictions: 1,
        }
    }
}
