//! Patches: a JSON merge patch (RFC 7396) against a numbered configuration.

use std::collections::BTreeSet;

use guavacart_types::{ConfigNumber, PatchId, Rack, weight};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use thiserror::Error;

use crate::{
    configuration::Configuration,
    diff::{contents, join},
    validate::{Fault, Problem, validate},
};

/// Most faults of one patch that are told.
const MAX_PROBLEMS: usize = 32;

/// A change that an operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The operator's own id; a repeat with the same id is the same patch.
    pub id: PatchId,
    /// The configuration that the operator saw.
    pub base: ConfigNumber,
    /// The JSON merge patch.
    pub change: Value,
}

/// Why a patch was not accepted; it changed nothing.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PatchError {
    /// The base is not the current configuration.
    #[error(
        "base {base} is not the current configuration {current}; \
         read {current}, and submit the patch against it"
    )]
    Conflict {
        /// The base that the patch names.
        base: ConfigNumber,
        /// The current number.
        current: ConfigNumber,
        /// The keys that changed since the base; none if the base is no longer kept.
        changed: Option<Vec<SmolStr>>,
    },
    /// The base is so old that the record no longer tells whether the patch was accepted.
    #[error(
        "base {base} is older than the patch ids kept, which begin at {oldest}; \
         compare the configuration with the patch, and submit it against {current} if it lacks it"
    )]
    TooOld {
        /// The base that the patch names.
        base: ConfigNumber,
        /// The oldest number whose patch id is kept.
        oldest: ConfigNumber,
        /// The current number.
        current: ConfigNumber,
    },
    /// The id was used by a patch of other contents.
    #[error("patch id {id} was used by another patch, accepted as {number}; choose another id")]
    IdReused {
        /// The id.
        id: PatchId,
        /// The number of the other patch.
        number: ConfigNumber,
    },
    /// The change breaks rules of the configuration.
    #[error("the patch breaks rules of the configuration; the first {} follow", problems.len())]
    Invalid {
        /// The first keys, each with its fault.
        problems: Vec<Problem>,
    },
}

impl Patch {
    /// Tells this patch's contents from those of another with the same id.
    pub(crate) fn digest(&self) -> u64 {
        weight(&self.base.to_smolstr(), &self.change.to_string())
    }

    /// The configuration that the patch makes of `current`.
    ///
    /// # Errors
    /// A conflict if `current` is not the base, or each key that breaks a rule.
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
        keep_homes(current, &mut next).map_err(invalid)?;
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

/// Keeps the cells that jobs are submitted to the same, once there are any.
fn keep_homes(current: &Configuration, next: &mut Configuration) -> Result<(), Vec<Problem>> {
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
    problems.extend(racks_that_left(current, next));
    let first = current.cells.is_empty();
    for (id, cell) in &mut next.cells {
        let before = current.cells.get(id);
        let joined_later = before.map_or(!first, |cell| cell.joined_later);
        let given = cell.joined_later;
        if given != joined_later && (given || before.is_some()) {
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

/// Racks that are no longer in their cell: another one could then commit what this one has.
fn racks_that_left(current: &Configuration, next: &Configuration) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (id, before) in &current.cells {
        let Some(after) = next.cells.get(id) else {
            continue;
        };
        let kept: BTreeSet<&Rack> = after.racks.iter().collect();
        if before.racks.iter().any(|rack| !kept.contains(rack)) {
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

/// RFC 7396: null removes, objects merge, anything else replaces.
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

/// Reads a configuration from contents without a number.
fn decode(contents: &Value) -> Result<Configuration, Vec<Problem>> {
    from_contents(contents.clone()).map_err(|whole| {
        let mut problems = Vec::new();
        locate(&[], contents, &mut problems);
        if problems.is_empty() {
            problems.push(unreadable("(patch)", &whole.to_smolstr()));
        }
        problems
    })
}

fn from_contents(contents: Value) -> Result<Configuration, serde_json::Error> {
    let mut contents = contents;
    if let Value::Object(map) = &mut contents {
        map.insert("number".to_owned(), json!(0));
    }
    serde_json::from_value(contents)
}

/// Finds the deepest keys that cannot be read, by reading each alone.
fn locate(path: &[&str], value: &Value, problems: &mut Vec<Problem>) {
    if problems.len() >= MAX_PROBLEMS {
        return;
    }
    let Err(err) = from_contents(nest(path, value.clone())) else {
        return;
    };
    let known = problems.len();
    if let Value::Object(map) = value
        && from_contents(nest(path, json!({}))).is_ok()
    {
        for (key, value) in map {
            let path: Vec<&str> = path.iter().copied().chain([key.as_str()]).collect();
            locate(&path, value, problems);
        }
    }
    if problems.len() == known {
        let key = path
            .iter()
            .fold(SmolStr::default(), |path, key| join(&path, key));
        problems.push(unreadable(&key, &err.to_smolstr()));
    }
}

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
