//! The rules that every configuration must obey to be accepted.

use std::{collections::BTreeMap, fmt};

use guavacart_types::{CellId, Rack, Span};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::configuration::{Configuration, Objectives, Service, Weights};

/// Maximum size of a configuration as JSON. The rest of the 1 MiB that the store accepts for a
/// value is needed for the patch ids.
pub const MAX_CONFIGURATION_BYTES: usize = 768 << 10;
/// A full share, in parts per million.
const WHOLE_PPM: u32 = 1_000_000;
/// A full share, in percent.
const WHOLE_PERCENT: u32 = 100;
/// Maximum value of a service's `longest_deadline`: one day.
const MAX_LONGEST_DEADLINE: Span = Span::secs(86_400);

/// One key of a configuration that breaks a rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Path of the key, such as `services.engine.slots`.
    pub key: SmolStr,
    /// The rule that the key breaks.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.key, self.fault, self.fault.remedy())
    }
}

/// The rule that a key breaks.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The value is below the minimum.
    #[error("{found} is below {least}")]
    TooSmall {
        /// Value of the key.
        found: u64,
        /// Minimum value.
        least: u64,
    },
    /// The value is above the maximum.
    #[error("{found} is above {greatest}")]
    TooLarge {
        /// Value of the key.
        found: u64,
        /// Maximum value.
        greatest: u64,
    },
    /// The value is not below the value of another key.
    #[error("{found} is not below {other_key}, which is {other}")]
    NotBelow {
        /// Value of the key.
        found: u64,
        /// Path of the other key.
        other_key: SmolStr,
        /// Value of the other key.
        other: u64,
    },
    /// The value is above the value of another key.
    #[error("{found} is above {other_key}, which is {other}")]
    Above {
        /// Value of the key.
        found: u64,
        /// Path of the other key.
        other_key: SmolStr,
        /// Value of the other key.
        other: u64,
    },
    /// All of several weights are zero.
    #[error("all weights are zero")]
    AllZero,
    /// The cell has no racks.
    #[error("the list is empty")]
    Empty,
    /// The rack is listed more than once, in one cell or in two.
    #[error("rack {rack} also stands in cell {other}")]
    RackTwice {
        /// Id of the rack.
        rack: Rack,
        /// Cell that already lists the rack.
        other: CellId,
    },
    /// The patch removes a cell.
    #[error("a cell cannot be removed: it may hold jobs, and it is the home of their ids")]
    CellRemoved,
    /// The patch removes a rack from its cell.
    #[error("a rack cannot leave its cell: its workers may hold tasks that the cell has committed")]
    RackRemoved,
    /// The key cannot be changed by a patch.
    #[error("is set by the system")]
    ReadOnly,
    /// The key or its value cannot be read.
    #[error("cannot be read: {cause}")]
    Unreadable {
        /// Message of the decoder.
        cause: SmolStr,
    },
    /// The configuration is too large for the store.
    #[error("the configuration has {found} bytes, above {greatest}")]
    TooManyBytes {
        /// Size of the configuration in bytes.
        found: usize,
        /// Maximum size in bytes.
        greatest: usize,
    },
}

impl Fault {
    /// Returns an instruction that removes the fault.
    pub fn remedy(&self) -> String {
        match self {
            Self::TooSmall { least, .. } => format!("give at least {least}"),
            Self::TooLarge { greatest, .. } => format!("give at most {greatest}"),
            Self::NotBelow { other_key, .. } => format!("lower it, or raise {other_key}"),
            Self::Above { other_key, .. } => format!("lower it, or raise {other_key}"),
            Self::AllZero => "give at least one of them a value above zero".to_owned(),
            Self::Empty => "name at least one rack, or remove the cell".to_owned(),
            Self::RackTwice { other, .. } => {
                format!("remove it here or from cells.{other}.racks")
            }
            Self::CellRemoved => {
                "keep it, with racks that have no workers if it is to run nothing".to_owned()
            }
            Self::RackRemoved => {
                "keep the rack, and let the platform announce that its workers leave".to_owned()
            }
            Self::ReadOnly => "remove it from the patch and name the base instead".to_owned(),
            Self::Unreadable { .. } => "see the configuration's keys in docs/API.md".to_owned(),
            Self::TooManyBytes { .. } => {
                "remove services, teams, classes or cells no longer used".to_owned()
            }
        }
    }
}

/// Checks that a configuration obeys every rule.
///
/// # Errors
/// Returns all problems, in order of section and name.
pub fn validate(configuration: &Configuration) -> Result<(), Vec<Problem>> {
    let mut problems = Problems::default();
    for (name, service) in &configuration.services {
        check_service(&mut problems, &format_smolstr!("services.{name}"), service);
    }
    for (name, team) in &configuration.teams {
        let key = format_smolstr!("teams.{name}.weight");
        problems.at_least(key, u64::from(team.weight), 1);
    }
    for (name, rule) in &configuration.batch_classes {
        let key = format_smolstr!("batch_classes.{name}.throttled_percent");
        problems.at_most(key, rule.throttled_percent, WHOLE_PERCENT);
    }
    check_cells(&mut problems, configuration);
    check_weights(&mut problems, &configuration.sharing.weights);
    check_size(&mut problems, configuration);
    if problems.0.is_empty() {
        Ok(())
    } else {
        Err(problems.0)
    }
}

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn push(&mut self, key: SmolStr, fault: Fault) {
        self.0.push(Problem { key, fault });
    }

    fn at_least(&mut self, key: SmolStr, found: u64, least: u64) {
        if found < least {
            self.push(key, Fault::TooSmall { found, least });
        }
    }

    fn at_most(&mut self, key: SmolStr, found: impl Into<u64>, greatest: impl Into<u64>) {
        let (found, greatest) = (found.into(), greatest.into());
        if found > greatest {
            self.push(key, Fault::TooLarge { found, greatest });
        }
    }

    fn not_above(&mut self, key: SmolStr, found: u64, other_key: SmolStr, other: u64) {
        if found > other {
            let fault = Fault::Above {
                found,
                other_key,
                other,
            };
            self.push(key, fault);
        }
    }
}

fn check_service(problems: &mut Problems, path: &str, service: &Service) {
    let key = |name: &str| format_smolstr!("{path}.{name}");
    let positive = [
        ("slots", u64::from(service.slots)),
        ("connections", u64::from(service.connections)),
        ("queue_entries", u64::from(service.queue_entries)),
        ("queue_bytes", service.queue_bytes.0),
        ("deadline", service.deadline.0),
        ("short_time", service.short_time.0),
        ("long_time", service.long_time.0),
    ];
    for (name, found) in positive {
        problems.at_least(key(name), found, 1);
    }
    if service.slots > 0 && service.short_slots >= service.slots {
        let fault = Fault::NotBelow {
            found: service.short_slots.into(),
            other_key: key("slots"),
            other: service.slots.into(),
        };
        problems.push(key("short_slots"), fault);
    }
    let not_above = [
        (
            "slots",
            service.slots.into(),
            "connections",
            service.connections.into(),
        ),
        (
            "deadline",
            service.deadline.0,
            "longest_deadline",
            service.longest_deadline.0,
        ),
        (
            "short_time",
            service.short_time.0,
            "long_time",
            service.long_time.0,
        ),
        (
            "long_time",
            service.long_time.0,
            "longest_deadline",
            service.longest_deadline.0,
        ),
    ];
    for (name, found, other_name, other) in not_above {
        problems.not_above(key(name), found, key(other_name), other);
    }
    problems.at_most(
        key("longest_deadline"),
        service.longest_deadline.0,
        MAX_LONGEST_DEADLINE.0,
    );
    check_objectives(problems, &key("objectives"), &service.objectives);
}

fn check_objectives(problems: &mut Problems, path: &str, objectives: &Objectives) {
    let key = |name: &str| format_smolstr!("{path}.{name}");
    problems.at_least(key("latency"), objectives.latency.0, 1);
    let shares = [
        ("availability_ppm", objectives.availability_ppm),
        ("latency_ppm", objectives.latency_ppm),
    ];
    for (name, ppm) in shares {
        problems.at_least(key(name), ppm.into(), 1);
        problems.at_most(key(name), ppm, WHOLE_PPM - 1);
    }
}

fn check_cells(problems: &mut Problems, configuration: &Configuration) {
    let mut cell_by_rack: BTreeMap<&Rack, &CellId> = BTreeMap::new();
    for (id, cell) in &configuration.cells {
        let key = format_smolstr!("cells.{id}.racks");
        if cell.racks.is_empty() {
            problems.push(key.clone(), Fault::Empty);
        }
        for rack in &cell.racks {
            if let Some(other) = cell_by_rack.insert(rack, id) {
                let (rack, other) = (rack.clone(), other.clone());
                problems.push(key.clone(), Fault::RackTwice { rack, other });
            }
        }
    }
}

fn check_weights(problems: &mut Problems, weights: &Weights) {
    let parts = [
        weights.tail,
        weights.crest,
        weights.throughput,
        weights.evictions,
    ];
    if parts.iter().all(|part| *part == 0) {
        problems.push(SmolStr::new("sharing.weights"), Fault::AllZero);
    }
}

fn check_size(problems: &mut Problems, configuration: &Configuration) {
    let bytes = serde_json::to_vec(configuration)
        .expect("a configuration has only text keys and finite numbers");
    let (found, greatest) = (bytes.len(), MAX_CONFIGURATION_BYTES);
    if found > greatest {
        let fault = Fault::TooManyBytes { found, greatest };
        problems.push(SmolStr::new("(configuration)"), fault);
    }
}
