//! Formats a report as a text table.

use std::fmt::Write;

use guavacart_types::{InstanceId, TeamName};

use crate::{
    report::{Alarm, Burn, Report, Row},
    window::{Window, WindowScale},
};

/// Column headings. The alarm column has none.
const HEADINGS: [&str; 10] = [
    "service",
    "team",
    "objective",
    "requests",
    "burnt",
    "5m",
    "1h",
    "30m",
    "6h",
    "left",
];

/// Formats the report as a table with one line for each service, team and objective.
pub fn format_table(report: &Report) -> String {
    let mut lines: Vec<Vec<String>> = vec![HEADINGS.map(str::to_owned).to_vec()];
    for row in &report.rows {
        lines.push(cells(row, "availability", &row.availability));
        lines.push(cells(row, "latency", &row.latency));
    }
    let mut text = align(&lines);
    text.push('\n');
    text.push_str(&footer(report));
    text
}

fn cells(row: &Row, name: &str, burn: &Burn) -> Vec<String> {
    let six_hours = burn.windows.get(&Window::SixHours);
    let (total, burnt) = six_hours.map_or((0, 0), |window| (window.total, window.burnt));
    let mut cells = vec![
        row.service.to_string(),
        row.team
            .as_ref()
            .map_or("(all)", TeamName::as_str)
            .to_owned(),
        objective_label(name, burn),
        total.to_string(),
        burnt.to_string(),
    ];
    for window in Window::ALL {
        let rate = burn.windows.get(&window).map_or(0.0, |burn| burn.rate);
        cells.push(format!("{rate:.2}"));
    }
    cells.push(format!("{:.1}%", burn.budget_left * 100.0));
    cells.push(alarm_label(burn.alarm).to_owned());
    cells
}

fn objective_label(name: &str, burn: &Burn) -> String {
    let percent = f64::from(burn.objective.ppm) / 10_000.0;
    match burn.objective.within {
        Some(within) => format!("{name} {percent}% in {within}"),
        None => format!("{name} {percent}%"),
    }
}

fn alarm_label(alarm: Alarm) -> &'static str {
    match alarm {
        Alarm::Quiet => "",
        Alarm::Slow => "SLOW BURN",
        Alarm::Fast => "FAST BURN",
    }
}

fn align(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(String::len).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn footer(report: &Report) -> String {
    let mut text = format!("Configuration {}. ", report.config);
    text.push_str(
        "Columns 5m to 6h are burn rates; a rate of 1 uses up exactly the error budget.\n",
    );
    if report.scale != WindowScale::ONE {
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "Windows are {} times shorter than their names.",
            report.scale
        );
    }
    let recorded: Vec<String> = report
        .instances
        .iter()
        .map(|instance| {
            format!(
                "{} (recording for {} s)",
                instance.id,
                instance.recording_ms.0 / 1_000
            )
        })
        .collect();
    let asked = report.instances.len() + report.missing.len();
    let answered = report.instances.len();
    let _ = writeln!(
        text,
        "Instances: {asked} asked, {answered} answered: {}",
        recorded.join(", ")
    );
    if !report.missing.is_empty() {
        let missing: Vec<&str> = report.missing.iter().map(InstanceId::as_str).collect();
        let _ = writeln!(
            text,
            "Instances without an answer, not counted: {}",
            missing.join(", ")
        );
    }
    text.push_str("Requests recorded by instances that have stopped are not counted.\n");
    if report.unattributed > 0 {
        let _ = writeln!(
            text,
            "Requests not included in any line: {}",
            report.unattributed
        );
    }
    text
}
