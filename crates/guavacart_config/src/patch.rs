//! Patches that change a configuration: a JSON merge patch (RFC 7396) and the number of the
//! configuration that it applies to.

use std::collections::BTreeSet;

use guavacart_types::{ConfigNumber, PatchId, Rack, rendezvous_weight};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use thiserror::Error;

use crate::{
    configuration::Configuration,
    diff::{contents, join},
    validate::{Fault, Problem, validate},
};

/// Maximum number of problems that are reported for one patch.
const MAX_PROBLEMS: usize = 32;

/// A change to the configuration that an operator requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id that the operator chooses; a repeat of the patch carries the same id.
    pub id: PatchId,
    /// Number of the configuration that the patch applies to.
    pub base: ConfigNumber,
    /// The JSON merge patch (RFC 7396).
    pub change: Value,
}

/// Reason why a patch was rejected. A rejected patch changes nothing.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PatchError {
    /// The patch applies to a configuration that is not the current one.
    #[error(
        "base {base} is not the current configuration {current}; \
         read {current}, and submit the patch against it"
    )]
    Conflict {
        /// Base of the patch.
        base: ConfigNumber,
        /// Number of the current configuration.
        current: ConfigNumber,
        /// Keys that changed since the base; `None` if the base is no longer kept.
        changed: Option<Vec<SmolStr>>,
    },
    /// The base is so old that the record no longer shows whether the patch was accepted, because
    /// the record keeps a limited number of patch ids.
    #[error(
        "base {base} is older than the patch ids kept, which begin at {oldest}; \
         compare the configuration with the patch, and submit it against {current} if it lacks it"
    )]
    TooOld {
        /// Base of the patch.
        base: ConfigNumber,
        /// Number of the oldest configuration whose patch id is kept.
        oldest: ConfigNumber,
        /// Number of the current configuration.
        current: ConfigNumber,
    },
    /// The id was used by a patch with different contents.
    #[error("patch id {id} was used by another patch, accepted as {number}; choose another id")]
    IdReused {
        /// Id of both patches.
        id: PatchId,
        /// Number of the configuration that the other patch made.
        number: ConfigNumber,
    },
    /// The change breaks rules of the configuration, or cannot be read.
    #[error(
        "the patch breaks rules of the configuration; the first {} follow",
        problems.len()
    )]
    Invalid {
        /// The first problems; the rest are left out so that the answer stays short.
        problems: Vec<Problem>,
    },
}

impl Patch {
    /// Returns a hash of the base and the change, which distinguishes patches with the same id.
    pub(crate) fn digest(&self) -> u64 {
        rendezvous_weight(&self.base.to_smolstr(), &self.change.to_string())
    }

    /// Returns the configuration that results from applying the patch to `current`.
    ///
    /// # Errors
    /// Returns [`PatchError::Conflict`] if `current` is not the base, and [`PatchError::Invalid`]
    /// if the change cannot be read or breaks a rule.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, PatchError> {
        if self.base != current.number {
            return Err(PatchError::Conflict {
                base: self.base,
                current: current.number,
                changed: None,
            });
        }
        let merged = self.merge(current).map_err(invalid)?;
        let mut next = decode(&merged).map_err(invalid)?;
        next.number = current.number.next();
        check_cell_changes(current, &mut next).map_err(invalid)?;
        validate(&next).map_err(invalid)?;
        Ok(next)
    }

    fn merge(&self, current: &Configuration) -> Result<Value, Vec<Problem>> {
        let Value::Object(change) = &self.change else {
            return Err(vec![unreadable(
                "(patch)",
                "a merge patch is a JSON object",
            )]);
        };
        if change.contains_key("number") {
            let key = SmolStr::new("number");
            let fault = Fault::ReadOnly;
            return Err(vec![Problem { key, fault }]);
        }
        let mut merged = contents(current);
        merge_into(&mut merged, &self.change);
        Ok(merged)
    }
}

/// Sets `joined_later` of each cell in `next`, and rejects removed cells, removed racks and changes
/// of `joined_later`. These would alter which cell a job id maps to, or which cell places tasks on
/// a worker.
fn check_cell_changes(
    current: &Configuration,
    next: &mut Configuration,
) -> Result<(), Vec<Problem>> {
    let mut problems = Vec::new();
    for id in current
        .cells
        .keys()
        .filter(|id| !next.cells.contains_key(*id))
    {
        let key = format_smolstr!("cells.{id}");
        let fault = Fault::CellRemoved;
        problems.push(Problem { key, fault });
    }
    problems.extend(removed_racks(current, next));
    let had_no_cells = current.cells.is_empty();
    for (id, cell) in &mut next.cells {
        let before = current.cells.get(id);
        let joined_later = before.map_or(!had_no_cells, |cell| cell.joined_later);
        let requested = cell.joined_later;
        if requested != joined_later && (requested || before.is_some()) {
            let key = format_smolstr!("cells.{id}.joined_later");
            let fault = Fault::ReadOnly;
            problems.push(Problem { key, fault });
        }
        cell.joined_later = joined_later;
    }
    match problems.is_empty() {
        true => Ok(()),
        false => Err(problems),
    }
}

/// Returns a problem for each cell that loses a rack. Another cell could otherwise commit resources
/// of the rack's workers that this cell has already committed.
fn removed_racks(current: &Configuration, next: &Configuration) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (id, before) in &current.cells {
        let Some(after) = next.cells.get(id) else {
            continue;
        };
        let remaining: BTreeSet<&Rack> = after.racks.iter().collect();
        if before.racks.iter().any(|rack| !remaining.contains(rack)) {
            let key = format_smolstr!("cells.{id}.racks");
            let fault = Fault::RackRemoved;
            problems.push(Problem { key, fault });
        }
    }
    problems
}

fn invalid(mut problems: Vec<Problem>) -> PatchError {
    problems.truncate(MAX_PROBLEMS);
    PatchError::Invalid { problems }
}

/// Applies a merge patch as in RFC 7396: null removes a key, objects are merged, and any other
/// value replaces the target.
fn merge_into(target: &mut Value, change: &Value) {
    let Value::Object(change) = change else {
        *target = change.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(map) = target else {
        return;
    };
    for (key, value) in change {
        if value.is_null() {
            map.remove(key);
            continue;
        }
        merge_into(map.entry(key.clone()).or_insert(Value::Null), value);
    }
}

/// Reads a configuration from JSON without a number. On failure, reports each key that cannot be
/// read.
fn decode(contents: &Value) -> Result<Configuration, Vec<Problem>> {
    from_contents(contents.clone()).map_err(|err| {
        let mut problems = Vec::new();
        report_unreadable_keys(&[], contents, &mut problems);
        if problems.is_empty() {
            problems.push(unreadable("(patch)", &err.to_smolstr()));
        }
        problems
    })
}

/// Reads a configuration from JSON without a number, with 0 as its number.
fn from_contents(contents: Value) -> Result<Configuration, serde_json::Error> {
    let mut contents = contents;
    if let Value::Object(map) = &mut contents {
        map.insert("number".to_owned(), json!(0));
    }
    serde_json::from_value(contents)
}

/// Reports the innermost keys that cannot be read. Finds them by reading configurations that each
/// contain only one key.
fn report_unreadable_keys(path: &[&str], value: &Value, problems: &mut Vec<Problem>) {
    if problems.len() >= MAX_PROBLEMS {
        return;
    }
    let Err(err) = from_contents(nest(path, value.clone())) else {
        return;
    };
    let count_before = problems.len();
    if let Value::Object(map) = value
        && from_contents(nest(path, json!({}))).is_ok()
    {
        for (key, value) in map {
            let path: Vec<&str> = path.iter().copied().chain([key.as_str()]).collect();
            report_unreadable_keys(&path, value, problems);
        }
    }
    if problems.len() == count_before {
        let key = path
            .iter()
            .fold(SmolStr::default(), |path, key| join(&path, key));
        problems.push(unreadable(&key, &err.to_smolstr()));
    }
}

/// Returns `value` nested in one object for each key of `path`.
fn nest(path: &[&str], value: Value) -> Value {
    path.iter()
        .rev()
        .fold(value, |value, key| json!({ *key: value }))
}

fn unreadable(key: &str, cause: &str) -> Problem {
    Problem {
        key: SmolStr::new(key),
        fault: Fault::Unreadable {
            cause: SmolStr::new(cause),
        },
    }
}
