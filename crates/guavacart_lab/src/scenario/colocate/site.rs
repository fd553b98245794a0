//! What the two sites run, and the hidden table of each.

use std::time::Duration;

use guavacart_types::{ByteSize, Processors, Resources};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::cluster::ClusterSpec;

/// Workers, each with one endpoint: about a sixth of Pamoja's and a fifth of Cymru's.
pub(super) const WORKERS: usize = 10;
/// Service time of a request on an idle machine.
pub(super) const WORK: Duration = Duration::from_millis(80);

/// A batch class of a site.
#[derive(Debug)]
pub(super) struct BatchKind {
    /// Its name.
    pub(super) class: &'static str,
    /// How much a worker full of it slows the service, before and after the hidden change.
    pub(super) slows: [f64; 2],
}

/// One site.
#[derive(Debug)]
pub(super) struct Site {
    pub(super) scenario: &'static str,
    pub(super) service: &'static str,
    pub(super) teams: &'static [&'static str],
    pub(super) processors: u64,
    pub(super) memory_gib: u64,
    /// Comes in waves and disturbs.
    pub(super) noisy: BatchKind,
    /// Runs all the time and disturbs little.
    pub(super) quiet: BatchKind,
    /// The shipped configuration, whose weights the run has.
    pub(super) example: &'static str,
}

pub(super) const PAMOJA: Site = Site {
    scenario: "colocate-pamoja",
    service: "engine",
    teams: &["agency-1", "agency-2", "agency-3", "agency-4"],
    processors: 32,
    memory_gib: 125,
    noisy: BatchKind {
        class: "deck",
        slows: [1.1, 0.7],
    },
    quiet: BatchKind {
        class: "indexing",
        slows: [0.08, 0.2],
    },
    example: include_str!("../../../../../examples/pamoja.json"),
};

pub(super) const CYMRU: Site = Site {
    scenario: "colocate-cymru",
    service: "lookup",
    teams: &["bureaux", "survey", "reference"],
    processors: 64,
    memory_gib: 250,
    noisy: BatchKind {
        class: "recode",
        slows: [0.9, 0.6],
    },
    quiet: BatchKind {
        class: "refresh",
        slows: [0.06, 0.18],
    },
    example: include_str!("../../../../../examples/cymru.json"),
};

impl Site {
    /// A tenth of a worker's processors or so, for one task.
    pub(super) fn task(&self) -> Resources {
        Resources {
            processors: Processors::cores(self.processors / 8),
            memory: ByteSize::gib(4),
            ..Resources::default()
        }
    }

    /// Three instances in three data centres, two cells, and the example's configuration with its
    /// cells replaced by those of the run.
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
        let example = serde_json::from_str(self.example);
        let mut configuration: Value = example.unwrap_or_default();
        configuration["cells"] = json!({ "c1": { "racks": ["r1"] }, "c2": { "racks": ["r2"] } });
        configuration["sharing"]["policy"] = json!(policy);
        configuration
    }
}
