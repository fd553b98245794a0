//! Formats the status of the deployment as tables.

use std::fmt::Write;

use serde_json::Value;

/// Scalar values of the status, each with its label and its key. A key that begins with `/` is a
/// JSON pointer.
const SCALARS: &[(&str, &str)] = &[
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

/// A list in the status that is printed as a table.
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

/// Columns of the table of workers on probation, which the status lists within each cell.
const PROBATION_COLUMNS: &[&str] = &["worker", "failures_in_a_row", "wait_ms"];

/// Formats the whole status. Values that the status lacks are shown as `-`.
pub(super) fn render(status: &Value) -> String {
    let mut text = String::new();
    let width = SCALARS.iter().map(|(label, _)| label.len()).max();
    for (label, key) in SCALARS {
        let value = format_value(value_at(status, key));
        push_line(
            &mut text,
            &format!("{label:<0$}  {value}", width.unwrap_or(0)),
        );
    }
    for section in SECTIONS {
        let rows = status.pointer(section.path).and_then(Value::as_array);
        let rows: Vec<&Value> = rows.into_iter().flatten().collect();
        push_table(&mut text, section.title, section.columns, &rows);
    }
    let cells = status.get("cells").and_then(Value::as_array);
    let probation = cells.into_iter().flatten();
    let probation = probation.filter_map(|cell| cell.get("probation")?.as_array());
    let rows: Vec<&Value> = probation.flatten().collect();
    push_table(&mut text, "workers on probation", PROBATION_COLUMNS, &rows);
    text.truncate(text.trim_end().len());
    text
}

fn value_at<'a>(status: &'a Value, key: &str) -> Option<&'a Value> {
    if key.starts_with('/') {
        status.pointer(key)
    } else {
        status.get(key)
    }
}

fn push_table(text: &mut String, title: &str, columns: &[&str], rows: &[&Value]) {
    if rows.is_empty() {
        return push_line(text, &format!("\n{title}: none"));
    }
    push_line(text, &format!("\n{title}"));
    let head: Vec<String> = columns.iter().map(|c| c.replace('_', " ")).collect();
    let body = rows.iter().map(|row| {
        let cells = columns.iter().map(|column| format_value(row.get(column)));
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
        push_line(text, &format!("  {}", cells.join("  ")));
    }
}

/// Formats one value.
fn format_value(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::Bool(yes)) => if *yes { "yes" } else { "no" }.into(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.is_empty() => "-".into(),
        Some(Value::Array(items)) => {
            let items: Vec<String> = items.iter().map(|item| format_value(Some(item))).collect();
            items.join(" ")
        }
        Some(other) => other.to_string(),
    }
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{}", line.trim_end());
}
