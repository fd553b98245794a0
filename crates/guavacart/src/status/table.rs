//! A deployment's status as text for people.

use std::fmt::Write;

use serde_json::Value;

/// Scalars of the status, as label and key.
const FACTS: &[(&str, &str)] = &[
    ("instance", "instance"),
    ("incarnation", "incarnation"),
    ("data centre", "data_centre"),
    ("up, ms", "up_ms"),
    ("configuration", "config"),
    ("view", "view"),
    ("members", "members"),
    ("open views", "open_views"),
    ("heard", "heard"),
    ("right to act, ms", "right_ms"),
    ("leaving", "leaving"),
    ("endpoints listed", "endpoints_listed"),
    ("workers listed", "workers_listed"),
    ("store answered, ms ago", "/store/answered_ms"),
    ("store failures in a row", "/store/failures_in_a_row"),
];

/// One list of the status.
struct Section {
    title: &'static str,
    path: &'static str,
    columns: &'static [&'static str],
}

const SECTIONS: &[Section] = &[
    Section {
        title: "services",
        path: "/services",
        columns: &["service", "slots", "free", "queued"],
    },
    Section {
        title: "configuration by instance",
        path: "/configs",
        columns: &["instance", "number"],
    },
    Section {
        title: "endpoints owned here",
        path: "/endpoints",
        columns: &[
            "endpoint",
            "service",
            "slots",
            "free",
            "busy",
            "residual",
            "leaving",
            "probation",
        ],
    },
    Section {
        title: "cells owned here",
        path: "/cells",
        columns: &[
            "cell", "epoch", "state", "queued", "running", "leases", "workers",
        ],
    },
    Section {
        title: "store calls",
        path: "/store/calls",
        columns: &["kind", "total", "per_second"],
    },
    Section {
        title: "control traffic",
        path: "/control",
        columns: &["channel", "sent_bytes", "received_bytes"],
    },
];

/// Columns of the workers on probation, whose lists stand within the cells.
const PROBATION: &[&str] = &["worker", "failures_in_a_row", "wait_ms"];

/// The whole status; what the instance did not say is shown as `-`.
pub(super) fn render(status: &Value) -> String {
    let mut text = String::new();
    let width = FACTS.iter().map(|(label, _)| label.len()).max();
    for (label, key) in FACTS {
        let value = cell(find(status, key));
        line(
            &mut text,
            &format!("{label:<0$}  {value}", width.unwrap_or(0)),
        );
    }
    for section in SECTIONS {
        let rows = status.pointer(section.path).and_then(Value::as_array);
        let rows: Vec<&Value> = rows.into_iter().flatten().collect();
        table(&mut text, section.title, section.columns, &rows);
    }
    let cells = status.get("cells").and_then(Value::as_array);
    let probation = cells.into_iter().flatten();
    let probation = probation.filter_map(|cell| cell.get("probation")?.as_array());
    let rows: Vec<&Value> = probation.flatten().collect();
    table(&mut text, "workers on probation", PROBATION, &rows);
    text.truncate(text.trim_end().len());
    text
}

fn find<'a>(status: &'a Value, key: &str) -> Option<&'a Value> {
    if key.starts_with('/') {
        status.pointer(key)
    } else {
        status.get(key)
    }
}

fn table(text: &mut String, title: &str, columns: &[&str], rows: &[&Value]) {
    if rows.is_empty() {
        return line(text, &format!("\n{title}: none"));
    }
    line(text, &format!("\n{title}"));
    let head: Vec<String> = columns.iter().map(|c| c.replace('_', " ")).collect();
    let body = rows.iter().map(|row| {
        let cells = columns.iter().map(|column| cell(row.get(column)));
        cells.collect()
    });
    let grid: Vec<Vec<String>> = std::iter::once(head).chain(body).collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|i| grid.iter().map(|row| row[i].chars().count()).max())
        .map(Option::unwrap_or_default)
        .collect();
    for row in &grid {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(cell, w)| format!("{cell:<w$}")).collect();
        line(text, &format!("  {}", cells.join("  ")));
    }
}

/// One value as text.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::Bool(yes)) => if *yes { "yes" } else { "no" }.into(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.is_empty() => "-".into(),
        Some(Value::Array(items)) => {
            let items: Vec<String> = items.iter().map(|item| cell(Some(item))).collect();
            items.join(" ")
        }
        Some(other) => other.to_string(),
    }
}

fn line(text: &mut String, line: &str) {
    // Writing to a text cannot fail.
    let _ = writeln!(text, "{}", line.trim_end());
}
