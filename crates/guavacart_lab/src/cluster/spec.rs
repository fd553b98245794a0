//! Sizes and names of a cluster.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, str::FromStr};

use guavacart_platform::instance_list::{ListedInstanceWire, RoleWire};
use guavacart_types::{ByteSize, Processors, Resources};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Token of operators who may only read.
pub const READER: &str = "lab-reader";
/// Token of operators who may submit patches.
pub const WRITER: &str = "lab-writer";
/// Workers in a rack.
const WORKERS_PER_RACK: usize = 8;
/// Workers in a cell made by [`ClusterSpec::with_sizes`].
const WORKERS_PER_CELL: usize = 64;

/// Sizes, names and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of data centres, over which instances and racks are distributed in turn.
    pub data_centres: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of workers.
    pub workers: usize,
    /// Capacity of each worker for tasks.
    pub capacity: Resources,
    /// Service that all endpoints serve.
    pub service: SmolStr,
    /// Names of the teams.
    pub teams: Vec<SmolStr>,
    /// Initial configuration, without its number.
    pub configuration: Value,
    /// True if fault proxies connect all parties.
    pub network: bool,
    /// True if the number of every instance's configuration is checked four times a second.
    pub watch: bool,
    /// Time for which a stopping instance still accepts requests, as in its settings file.
    pub linger: SmolStr,
    /// Directory of the instances' logs; `None` deletes them after the run.
    pub logs: Option<PathBuf>,
}

/// User whose size a run has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Size {
    /// 8 instances, 65 endpoints and workers, 4 agencies.
    #[default]
    Pamoja,
    /// 9 instances, 50 endpoints and workers, 2 teams.
    Cymru,
}

/// The text is not the name of a size.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a size; use pamoja or cymru")]
pub struct SizeError(SmolStr);

impl FromStr for Size {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        match text {
            "pamoja" => Ok(Self::Pamoja),
            "cymru" => Ok(Self::Cymru),
            other => Err(SizeError(other.into())),
        }
    }
}

impl ClusterSpec {
    /// Returns Pamoja's cluster at a tenth of its size: 3 instances, 7 endpoints, 7 workers,
    /// 4 agencies.
    pub fn small(seed: u64) -> Self {
        Self::pamoja(seed, 3, 7, 7)
    }

    /// Returns the cluster of a user at full size.
    pub fn sized(size: Size, seed: u64) -> Self {
        match size {
            Size::Pamoja => Self::pamoja(seed, 8, 65, 65),
            Size::Cymru => Self::cymru(seed),
        }
    }

    fn cymru(seed: u64) -> Self {
        let teams = ["bureaux", "surveys"].map(SmolStr::new).to_vec();
        let mut spec = Self::pamoja(seed, 9, 50, 50);
        spec.capacity.processors = Processors::cores(64);
        spec.capacity.memory = ByteSize::gib(250);
        spec.service = "look-up".into();
        spec.configuration = configuration(&spec.service, &teams, spec.workers);
        spec.teams = teams;
        spec
    }

    fn pamoja(seed: u64, instances: usize, endpoints: usize, workers: usize) -> Self {
        let teams: Vec<SmolStr> = (1..=4).map(|i| format_smolstr!("agency-{i}")).collect();
        let configuration = configuration("engine", &teams, workers);
        Self {
            seed,
            instances,
            data_centres: 3,
            endpoints,
            workers,
            capacity: Resources {
                processors: Processors::cores(32),
                memory: ByteSize::gib(125),
                ..Resources::default()
            },
            service: "engine".into(),
            teams,
            configuration,
            network: false,
            watch: true,
            linger: "1s".into(),
            logs: None,
        }
    }

    /// Returns the data centre of instance or rack `place`, counted from 0.
    pub fn data_centre(&self, place: usize) -> SmolStr {
        format_smolstr!("dc{}", place % self.data_centres + 1)
    }

    /// Returns the spec with other sizes, and with cells of 64 workers.
    pub fn with_sizes(self, instances: usize, endpoints: usize, workers: usize) -> Self {
        let mut configuration = self.configuration;
        configuration["cells"] = json!(cells(workers));
        Self {
            instances,
            endpoints,
            workers,
            configuration,
            ..self
        }
    }

    /// Returns the token of each team.
    pub fn tokens(&self) -> BTreeMap<SmolStr, SmolStr> {
        let token = |team: &SmolStr| (team.clone(), team_token(team));
        self.teams.iter().map(token).collect()
    }

    pub(super) fn listed_worker(&self, i: usize, address: SocketAddr) -> ListedInstanceWire {
        ListedInstanceWire {
            data_centre: self.data_centre(i / WORKERS_PER_RACK),
            address,
            leaving: false,
            role: RoleWire::Worker {
                id: format_smolstr!("w{}", i + 1),
                rack: rack_name(i / WORKERS_PER_RACK),
                capacity: self.capacity,
            },
        }
    }

    /// Returns the data centre of endpoint `i`.
    pub fn endpoint_data_centre(&self, i: usize) -> SmolStr {
        self.data_centre(i / WORKERS_PER_RACK)
    }

    pub(super) fn listed_endpoint(&self, i: usize, address: SocketAddr) -> ListedInstanceWire {
        ListedInstanceWire {
            data_centre: self.data_centre(i / WORKERS_PER_RACK),
            address,
            leaving: false,
            role: RoleWire::Endpoint {
                id: format_smolstr!("p{}", i + 1),
                service: self.service.clone(),
                worker: (i < self.workers).then(|| format_smolstr!("w{}", i + 1)),
            },
        }
    }
}

/// Returns the token of a team.
pub fn team_token(team: &str) -> SmolStr {
    format_smolstr!("token-of-{team}")
}

fn rack_name(i: usize) -> SmolStr {
    format_smolstr!("r{}", i + 1)
}

fn cells(workers: usize) -> BTreeMap<String, Value> {
    let racks: Vec<SmolStr> = (0..workers.div_ceil(WORKERS_PER_RACK))
        .map(rack_name)
        .collect();
    let cells = racks
        .chunks(WORKERS_PER_CELL / WORKERS_PER_RACK)
        .enumerate();
    cells
        .map(|(i, racks)| (format!("c{}", i + 1), json!({ "racks": racks })))
        .collect()
}

fn configuration(service: &str, teams: &[SmolStr], workers: usize) -> Value {
    let racks: Vec<SmolStr> = (0..workers.div_ceil(WORKERS_PER_RACK))
        .map(rack_name)
        .collect();
    let half = racks.len().div_ceil(2);
    let mut cells = BTreeMap::from([("c1", json!({ "racks": &racks[..half] }))]);
    if racks.len() > half {
        cells.insert("c2", json!({ "racks": &racks[half..] }));
    }
    let teams: BTreeMap<&str, Value> = teams
        .iter()
        .map(|team| (team.as_str(), json!({ "weight": 1 })))
        .collect();
    json!({
        "services": { service: {} },
        "teams": teams,
        "batch_classes": {
            "deck": { "throttled_percent": 25, "checkpoints": true },
            "indexing": { "throttled_percent": 25, "checkpoints": true },
        },
        "cells": cells,
    })
}
