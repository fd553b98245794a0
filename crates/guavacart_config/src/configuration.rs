//! The numbered configuration that operators drive by patches.

use std::collections::BTreeMap;

use guavacart_types::{
    BatchClass, ByteSize, CellId, ConfigNumber, Rack, Resources, ServiceName, Span, TeamName,
};
use serde::{Deserialize, Serialize};

/// Everything that operators decide, under one number.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Grows by one with each accepted patch; 0 stands for the empty configuration.
    pub number: ConfigNumber,
    /// The latency-critical services.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams that call services and submit jobs.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// The classes of batch work.
    #[serde(default)]
    pub batch_classes: BTreeMap<BatchClass, BatchRule>,
    /// The groups of workers.
    #[serde(default)]
    pub cells: BTreeMap<CellId, Cell>,
    /// How services and batch work share workers.
    #[serde(default)]
    pub sharing: Sharing,
}

/// One latency-critical service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Requests that one endpoint runs at once.
    pub slots: u32,
    /// Connections that one endpoint holds at once.
    pub connections: u32,
    /// Slots of an endpoint that long requests may not use.
    pub short_slots: u32,
    /// Most requests that wait at one entry instance.
    pub queue_entries: u32,
    /// Most bytes of requests that wait at one entry instance.
    pub queue_bytes: ByteSize,
    /// Deadline of a request that names none.
    pub deadline: Span,
    /// Longest deadline that a request may name.
    pub longest_deadline: Span,
    /// Service time of a short request until one was measured.
    pub short_time: Span,
    /// Service time of a long request until one was measured.
    pub long_time: Span,
    /// How waiting requests are ordered.
    pub queueing: Queueing,
    /// True if requests that cannot meet their deadline are refused at once.
    pub admission: bool,
    /// What the service promises.
    pub objectives: Objectives,
}

/// How the waiting requests of a service are ordered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Queueing {
    /// By class and, within it, by deficit round robin over the teams.
    #[default]
    Fair,
    /// By arrival alone; for comparison.
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

/// Service-level objectives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objectives {
    /// Share of requests to be answered whole, in parts per million.
    pub availability_ppm: u32,
    /// Latency that answers are to stay under.
    pub latency: Span,
    /// Share of answers to stay under it, in parts per million.
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

/// One team of callers and submitters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Share of each service's queue, relative to the other teams.
    pub weight: u32,
    /// Most resources that the team's batch tasks hold at once; none means no limit.
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

/// Rules of one class of batch work.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchRule {
    /// Share of a task's speed that is left when it is throttled, in percent; 0 means that the class
    /// is never throttled.
    pub throttled_percent: u32,
    /// False if its tasks cannot save a checkpoint.
    pub checkpoints: bool,
}

/// One group of workers with one owner and one journal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cell {
    /// The racks whose workers belong to the cell.
    pub racks: Vec<Rack>,
    /// True if it was added beside others: jobs are submitted to those, and their tasks may move
    /// here. So a job's home never changes. Set by the system.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub joined_later: bool,
}

/// How services and batch work share workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sharing {
    /// How batch work is held back for services.
    pub policy: SharingPolicy,
    /// What the users weigh most.
    pub weights: Weights,
    /// Most evictions in one minute in one cell.
    pub evictions_per_minute: u32,
    /// How a task's worker is chosen.
    pub placement: Placement,
    /// How changes get into a cell's journal.
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

/// How a worker is chosen among those that hold a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The one that is the least loaded and costs services the least.
    #[default]
    LeastLoaded,
    /// The first by id; for comparison.
    FirstFit,
}

/// How changes get into a cell's journal.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalWrites {
    /// What gathers within a short time goes into one record.
    #[default]
    Grouped,
    /// Each change has a record of its own; for comparison.
    Each,
}

/// How batch work is held back for services.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharingPolicy {
    /// By what was learned of each pair of service and batch class.
    #[default]
    Learned,
    /// Not at all.
    None,
    /// A fixed share of each worker for batch work.
    Static,
    /// A task is evicted once a late report is bad.
    Reactive,
}

/// Relative weights of the measures of the brief.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Tail latency of services.
    pub tail: u32,
    /// Service at the crest of a demand swing.
    pub crest: u32,
    /// Throughput of batch work.
    pub throughput: u32,
    /// Evictions of batch work.
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
