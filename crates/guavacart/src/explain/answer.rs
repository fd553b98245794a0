//! Formats where the tasks of a job would start.

use std::fmt::Write;

use guavacart_jobs::{Explanation, RankedExecutor, StepExplanation};
use guavacart_types::Resources;

const COLUMNS: [&str; 6] = [
    "rank",
    "executor",
    "rack",
    "data centre",
    "free",
    "headroom",
];

/// Formats the whole answer.
pub(super) fn render(queue: &str, explanation: &Explanation) -> String {
    let Explanation {
        epoch,
        pool,
        priority,
        obstacle,
        waiting_steps,
        steps,
        omitted_steps,
        later_steps,
    } = explanation;
    let mut text =
        format!("queue {queue}: pool {pool}, priority {priority}; owner's epoch {epoch}\n");
    if let Some(obstacle) = obstacle {
        push(&mut text, format_args!("nothing starts now: {obstacle}"));
    }
    for step in steps {
        push_step(&mut text, step);
    }
    let counts = [
        (omitted_steps, "further steps that could start at once"),
        (later_steps, "steps that start once others are done"),
        (
            waiting_steps,
            "waiting steps of other jobs; more urgent ones start first",
        ),
    ];
    for (count, what) in counts.into_iter().filter(|(count, _)| **count > 0) {
        push(&mut text, format_args!("{what}: {count}"));
    }
    text
}

fn push_step(text: &mut String, explained: &StepExplanation) {
    let StepExplanation {
        step,
        tasks,
        tasks_to_start,
        fitting_executors,
        executors,
        is_last_choice,
        excluded,
        rack_wait,
    } = explained;
    let excluded_executors: u32 = excluded.values().sum();
    let all = fitting_executors + excluded_executors;
    push(
        text,
        format_args!(
            "step {step}: {tasks_to_start} of {tasks} tasks would start; {fitting_executors} of {all} \
             executors fit"
        ),
    );
    if *is_last_choice {
        push(
            text,
            format_args!("  only executors with a penalty have room"),
        );
    }
    if let Some(wait) = rack_wait {
        let until = time_of_day(wait.until_unix_ms);
        push(
            text,
            format_args!(
                "  waiting for rack {}: {} tasks, until {until} UTC at the latest",
                wait.rack, wait.tasks
            ),
        );
    }
    if executors.is_empty() {
        push(text, format_args!("  no executor fits"));
    } else {
        push_executors(text, executors);
    }
    if !excluded.is_empty() {
        let counts = excluded.iter().map(|(why, count)| format!("{count} {why}"));
        let counts: Vec<String> = counts.collect();
        push(text, format_args!("  excluded: {}", counts.join(", ")));
    }
}

fn push_executors(text: &mut String, executors: &[RankedExecutor]) {
    let rows = executors.iter().map(|executor| {
        let data_centre = executor.data_centre.as_ref();
        let headroom = executor.headroom.map(|headroom| format!("{headroom:.2}"));
        [
            executor.rank.to_string(),
            executor.id.to_string(),
            executor.rack.as_deref().unwrap_or("-").to_owned(),
            data_centre.map_or_else(|| "-".into(), ToString::to_string),
            amounts(&executor.free),
            headroom.unwrap_or_else(|| "-".into()),
        ]
    });
    let head = COLUMNS.map(str::to_owned);
    let grid: Vec<[String; COLUMNS.len()]> = std::iter::once(head).chain(rows).collect();
    let width = |column: usize| grid.iter().map(|row| row[column].chars().count()).max();
    for row in &grid {
        let cells = row.iter().enumerate();
        let cells = cells.map(|(column, cell)| {
            let width = width(column).unwrap_or_default();
            format!("{cell:<width$}")
        });
        let cells: Vec<String> = cells.collect();
        push(text, format_args!("  {}", cells.join("  ").trim_end()));
    }
}

/// Resources in short: processors, memory and, if there are any, accelerators.
fn amounts(resources: &Resources) -> String {
    let Resources {
        processors,
        memory,
        accelerators,
    } = resources;
    match accelerators.0 {
        0 => format!("{processors}, {memory}"),
        _ => format!("{processors}, {memory}, {accelerators} accelerators"),
    }
}

fn time_of_day(unix_ms: u64) -> String {
    let s = unix_ms / 1_000;
    let (hour, minute, second) = (s / 3_600 % 24, s / 60 % 60, s % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{:03}", unix_ms % 1_000)
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{line}");
}
