//! The services, teams, workers and batch classes of the two sites, and the hidden table of each.

use std::time::Duration;

use guavacart_types::{ByteSize, Processors, Resources};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::cluster::ClusterSpec;

/// Workers, each with one endpoint: about a sixth of Pamoja's and a fifth of Cymru's workers.
pub(super) const WORKERS: usize = 10;
/// Service time of a request on an idle machine.
pub(super) const SERVICE_TIME: Duration = Duration::from_millis(80);

/// A batch class of a site.
#[derive(Debug)]
pub(super) struct BatchClass {
    /// Name of the class.
    pub(super) class: &'static str,
    /// How much a worker full of this class slows the service, before and after the change of the
    /// hidden table.
    pub(super) slowdown: [f64; 2],
}

/// A site: a service, its teams and the batch work on the same workers.
#[derive(Debug)]
pub(super) struct Site {
    pub(super) scenario: &'static str,
    pub(super) service: &'static str,
    pub(super) teams: &'static [&'static str],
    pub(super) processors: u64,
    pub(super) memory_gib: u64,
    /// Batch class that comes in waves and slows the service strongly.
    pub(super) noisy: BatchClass,
    /// Batch class that runs all the time and slows the service little.
    pub(super) quiet: BatchClass,
    /// The shipped configuration, as JSON; the run uses its weights.
    pub(super) example_config: &'static str,
}

pub(super) const PAMOJA: Site = Site {
    scenario: "colocate-pamoja",
    service: "engine",
    teams: &["agency-1", "agency-2", "agency-3", "agency-4"],
    processors: 32,
    memory_gib: 125,
    noisy: BatchClass {
        class: "deck",
        slowdown: [1.1, 0.7],
    },
    quiet: BatchClass {
        class: "indexing",
        slowdown: [0.08, 0.2],
    },
    example_config: include_str!("../../../../../examples/pamoja.json"),
};

pub(super) const CYMRU: Site = Site {
    scenario: "colocate-cymru",
    service: "lookup",
    teams: &["bureaux", "survey", "reference"],
    processors: 64,
    memory_gib: 250,
    noisy: BatchClass {
        class: "recode",
        slowdown: [0.9, 0.6],
    },
    quiet: BatchClass {
        class: "refresh",
        slowdown: [0.06, 0.18],
    },
    example_config: include_str!("../../../../../examples/cymru.json"),
};

impl Site {
    /// Returns the resources of one task, with an eighth of a worker's processors.
    pub(super) fn task_resources(&self) -> Resources {
        Resources {
            processors: Processors::cores(self.processors / 8),
            memory: ByteSize::gib(4),
            ..Resources::default()
        }
    }

    /// Returns a cluster with three instances in three data centres and two cells.
    ///
    /// The configuration is the example's, with its cells replaced by those of the run.
    pub(super) fn cluster(&self, seed: u64, policy: &str) -> ClusterSpec {
        let capacity = Resources {
            processors: Processors::cores(self.processors),
            memory: ByteSize::gib(self.memory_gib),
            ..Resources::default()
        };
        ClusterSpec {
            endpoints: WORKERS,
            workers: WORKERS,
            capacity,
            service: self.service.into(),
            teams: self.teams.iter().copied().map(SmolStr::new).collect(),
            configuration: self.configuration(policy),
            ..ClusterSpec::small(seed)
        }
    }

    fn configuration(&self, policy: &str) -> Value {
        let example_config = serde_json::from_str(self.example_config);
        let mut configuration: Value = example_config.unwrap_or_default();
        configuration["cells"] = json!({ "c1": { "racks": ["r1"] }, "c2": { "racks": ["r2"] } });
        configuration["sharing"]["policy"] = json!(policy);
        configuration
    }
}
