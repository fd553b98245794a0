//! Lists the keys that differ between two configurations.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::{SmolStr, format_smolstr};

use crate::configuration::Configuration;

/// One key that differs between two configurations.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Path of the key, such as `services.engine.slots`.
    pub key: SmolStr,
    /// Value in the earlier configuration; `None` if the key was absent.
    pub before: Option<Value>,
    /// Value in the later configuration; `None` if the key is absent.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, before, after } = self;
        match (before, after) {
            (Some(before), Some(after)) => write!(f, "{key}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "{key}: added {after}"),
            (Some(before), None) => write!(f, "{key}: removed {before}"),
            (None, None) => write!(f, "{key}: unchanged"),
        }
    }
}

/// Returns the keys that differ between two configurations, in order of path. Ignores the number.
pub fn diff(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    collect(
        SmolStr::default(),
        Some(&contents(before)),
        Some(&contents(after)),
        &mut changes,
    );
    changes
}

/// Returns a configuration as JSON without its number.
pub(crate) fn contents(configuration: &Configuration) -> Value {
    let mut value = serde_json::to_value(configuration)
        .expect("a configuration has only text keys and finite numbers");
    if let Value::Object(map) = &mut value {
        map.remove("number");
    }
    value
}

/// Returns the path of `key` within `path`.
pub(crate) fn join(path: &str, key: &str) -> SmolStr {
    if path.is_empty() {
        return SmolStr::new(key);
    }
    format_smolstr!("{path}.{key}")
}

fn collect(path: SmolStr, before: Option<&Value>, after: Option<&Value>, out: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let empty = Map::new();
    let (old, new) = match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => (old, new),
        (Some(Value::Object(old)), None) if !old.is_empty() => (old, &empty),
        (None, Some(Value::Object(new))) if !new.is_empty() => (&empty, new),
        _ => {
            let (before, after) = (before.cloned(), after.cloned());
            let key = path;
            out.push(Change { key, before, after });
            return;
        }
    };
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for key in keys {
        collect(join(&path, key), old.get(key), new.get(key), out);
    }
}
