//! Prints what the logs of all nodes say about a job, task or executor, in order of time.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader},
};

use getopts::Matches;
use serde_json::{Map, Value};
use smol_str::format_smolstr;

use crate::{
    cli::{print, print_json},
    exit::Failure,
};

/// Fields with a fixed place in a printed line; all others are printed as `name=value`.
const PLACED_FIELDS: [&str; 4] = ["timestamp", "level", "event", "message"];

pub(super) fn run(matches: &Matches) -> Result<(), Failure> {
    let Some((id, files)) = matches.free.split_first() else {
        return Err(Failure::Usage(
            "expected an ID and the log files; without files, the logs are read from stdin".into(),
        ));
    };
    let mut found = BTreeSet::new();
    for path in files {
        let file = File::open(path).map_err(|err| {
            Failure::Rejected(format_smolstr!(
                "the log file {path} cannot be read: {err}; give a readable file"
            ))
        })?;
        collect(id, BufReader::new(file), &mut found)?;
    }
    if files.is_empty() {
        collect(id, io::stdin().lock(), &mut found)?;
    }
    if found.is_empty() {
        return Err(Failure::Rejected(format_smolstr!(
            "no line names {id}; check the id and give the logs of all nodes"
        )));
    }
    let lines = found.into_iter().filter_map(|(_, line)| {
        let value: Option<Map<String, Value>> = serde_json::from_str(&line).ok();
        value
    });
    if matches.opt_present("json") {
        return print_json(&Value::Array(lines.map(Value::Object).collect()));
    }
    let text: String = lines.map(|line| format_line(&line)).collect();
    print(&text)
}

/// Adds the JSON log lines that name the id to `found`, with their time as the key of the order.
/// A line names the id if a field equals it or begins with it and a dot. Equal lines are kept once.
fn collect(
    id: &str,
    reader: impl BufRead,
    found: &mut BTreeSet<(String, String)>,
) -> Result<(), Failure> {
    for line in reader.split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        if !line.contains(id) {
            continue;
        }
        // Tools that gather logs may put text before the JSON, such as the name of the node.
        let Some(start) = line.find('{') else {
            continue;
        };
        let json = &line[start..];
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(json) else {
            continue;
        };
        let names = |value: &Value| {
            let text = value.as_str().unwrap_or_default();
            text == id
                || text
                    .strip_prefix(id)
                    .is_some_and(|rest| rest.starts_with('.'))
        };
        if fields.values().any(names) {
            let time = fields.get("timestamp").and_then(Value::as_str);
            found.insert((time.unwrap_or_default().to_owned(), json.to_owned()));
        }
    }
    Ok(())
}

fn format_line(fields: &Map<String, Value>) -> String {
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("-");
    let mut line = format!(
        "{} {:<5} {}",
        text("timestamp"),
        text("level"),
        text("event")
    );
    for (name, value) in fields {
        if PLACED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        match value {
            Value::String(value) => line.push_str(&format!(" {name}={value}")),
            value => line.push_str(&format!(" {name}={value}")),
        }
    }
    if let Some(message) = fields.get("message").and_then(Value::as_str) {
        line.push_str(&format!(" ({message})"));
    }
    line.push('\n');
    line
}
