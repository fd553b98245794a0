//! Sizes and names of a run.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, str::FromStr};

use guavacart_platform::instance_list::{ListedInstanceWire, RoleWire};
use guavacart_types::{ByteSize, Processors, Resources};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Token of reading operators.
pub const READER: &str = "lab-reader";
/// Token of operators who submit patches.
pub const WRITER: &str = "lab-writer";
/// Workers in a rack.
const RACK: usize = 8;
/// Workers in a cell of a set-up whose size is chosen.
const CELL: usize = 64;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Seed of all that is random.
    pub seed: u64,
    /// Entry instances.
    pub instances: usize,
    /// Data centres, over which all else is dealt.
    pub data_centres: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Workers.
    pub workers: usize,
    /// What a worker holds for tasks.
    pub capacity: Resources,
    /// The service of all endpoints.
    pub service: SmolStr,
    /// The teams.
    pub teams: Vec<SmolStr>,
    /// The first configuration, without its number.
    pub configuration: Value,
    /// True if fault proxies stand between all parties.
    pub network: bool,
    /// True if every instance is asked for its configuration four times a second.
    pub watch: bool,
    /// How long a stopping instance goes on taking requests.
    pub linger: SmolStr,
    /// Where instances log; none drops the logs with the run.
    pub logs: Option<PathBuf>,
}

/// Whose size a run has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Size {
    /// 8 instances, 65 endpoints and workers, 4 agencies.
    #[default]
    Pamoja,
    /// 9 instances, 50 endpoints and workers, 2 teams.
    Cymru,
}

/// A text that names no size.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a size; there are pamoja and cymru")]
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
    /// Pamoja at a tenth of its size: 3 instances, 7 endpoints, 7 workers, 4 agencies.
    pub fn small(seed: u64) -> Self {
        Self::pamoja(seed, 3, 7, 7)
    }

    /// The whole size of one of the users.
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

    /// The data centre of the instance at a place.
    pub fn data_centre(&self, place: usize) -> SmolStr {
        format_smolstr!("dc{}", place % self.data_centres + 1)
    }

    /// The same with other numbers, and with cells of 64 workers.
    pub fn with_numbers(self, instances: usize, endpoints: usize, workers: usize) -> Self {
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

    /// The token of each team.
    pub fn tokens(&self) -> BTreeMap<SmolStr, SmolStr> {
        let token = |team: &SmolStr| (team.clone(), team_token(team));
        self.teams.iter().map(token).collect()
    }

    pub(super) fn worker_line(&self, i: usize, address: SocketAddr) -> ListedInstanceWire {
        ListedInstanceWire {
            data_centre: self.data_centre(i / RACK),
            address,
            leaving: false,
            role: RoleWire::Worker {
                id: format_smolstr!("w{}", i + 1),
                rack: rack(i / RACK),
                capacity: self.capacity,
            },
        }
    }

    /// The data centre of endpoint `i`.
    pub fn endpoint_data_centre(&self, i: usize) -> SmolStr {
        self.data_centre(i / RACK)
    }

    pub(super) fn endpoint_line(&self, i: usize, address: SocketAddr) -> ListedInstanceWire {
        ListedInstanceWire {
            data_centre: self.data_centre(i / RACK),
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

/// The token of a team.
pub fn team_token(team: &str) -> SmolStr {
    format_smolstr!("token-of-{team}")
}

fn rack(i: usize) -> SmolStr {
    format_smolstr!("r{}", i + 1)
}

fn cells(workers: usize) -> BTreeMap<String, Value> {
    let racks: Vec<SmolStr> = (0..workers.div_ceil(RACK)).map(rack).collect();
    let cells = racks.chunks(CELL / RACK).enumerate();
    cells
        .map(|(i, racks)| (format!("c{}", i + 1), json!({ "racks": racks })))
        .collect()
}

fn configuration(service: &str, teams: &[SmolStr], workers: usize) -> Value {
    let racks: Vec<SmolStr> = (0..workers.div_ceil(RACK)).map(rack).collect();
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
