//! `guavacart config`: prints, compares and waits for configurations.

use std::{
    thread,
    time::{Duration, Instant},
};

use getopts::{Matches, Options};
use guavacart_config::Change;
use guavacart_types::{ConfigNumber, Span};
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    cli::{print_json, print_line},
    client::Client,
    command::{Command, arguments, client, client_options, parse},
    exit::Failure,
};

pub(crate) const SHOW: Command = Command {
    name: "config show",
    arguments: "[--version N]",
    summary: "Print the configuration in force, or an earlier configuration",
    options: show_options,
    takes_version: true,
    run: show,
};

pub(crate) const DIFF: Command = Command {
    name: "config diff",
    arguments: "A B",
    summary: "Print the keys that differ between two configurations",
    options: client_options,
    takes_version: false,
    run: diff,
};

pub(crate) const WAIT: Command = Command {
    name: "config wait",
    arguments: "N [--timeout SPAN]",
    summary: "Wait until configuration N or a later one is in force at every live instance",
    options: wait_options,
    takes_version: false,
    run: wait,
};

/// How long `config wait` waits without `--timeout`.
const DEFAULT_WAIT: Span = Span::secs(8);
/// Pause between two queries for the configuration of each instance.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Response of `GET /v1/config/instances`.
#[derive(Deserialize)]
struct Instances {
    instances: Vec<InstanceNumber>,
}

/// An instance and the number of the configuration in force there, if known.
#[derive(Deserialize)]
struct InstanceNumber {
    id: SmolStr,
    number: Option<ConfigNumber>,
}

/// Response of `GET /v1/config/diff`.
#[derive(Deserialize)]
struct Differences {
    changes: Vec<Change>,
}

fn show_options(options: &mut Options) {
    client_options(options);
    options.optflagopt(
        "V",
        "version",
        "number of the configuration to print; without N, print the program's version",
        "N",
    );
}

fn wait_options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "t",
        "timeout",
        "longest time to wait, such as 30s (default: 8s)",
        "SPAN",
    );
}

fn show(matches: &Matches) -> Result<(), Failure> {
    let path = match version(matches)? {
        Some(number) => format!("/v1/config/versions/{number}"),
        None => "/v1/config".to_owned(),
    };
    print_json(&client(matches)?.get(&path)?.success()?)
}

/// Returns the number of `--version N` or `--version=N`.
fn version(matches: &Matches) -> Result<Option<ConfigNumber>, Failure> {
    let text = match matches.opt_str("version") {
        None if matches.opt_present("version") => {
            let [number] = arguments(matches, "one configuration number after --version")?;
            Some(number.to_owned())
        }
        text => {
            let [] = arguments(matches, "no arguments")?;
            text
        }
    };
    text.map(|text| parse("--version", &text)).transpose()
}

fn diff(matches: &Matches) -> Result<(), Failure> {
    let [from, to] = arguments(matches, "two configuration numbers, A and B")?;
    let from: ConfigNumber = parse("A", from)?;
    let to: ConfigNumber = parse("B", to)?;
    let path = format!("/v1/config/diff?from={from}&to={to}");
    let body = client(matches)?.get(&path)?.success()?;
    let differences: Differences = decode(body)?;
    for change in &differences.changes {
        print_line(&change.to_string())?;
    }
    Ok(())
}

fn wait(matches: &Matches) -> Result<(), Failure> {
    let [number] = arguments(matches, "one configuration number")?;
    let number: ConfigNumber = parse("N", number)?;
    let timeout = match matches.opt_str("timeout") {
        Some(text) => parse("--timeout", &text)?,
        None => DEFAULT_WAIT,
    };
    let client = client(matches)?;
    let started = Instant::now();
    loop {
        let missing = instances_behind(&client, number);
        if let Ok(ids) = &missing
            && ids.is_empty()
        {
            return print_line(&format!(
                "configuration {number} or a later one is in force at every live instance"
            ));
        }
        if started.elapsed() >= Duration::from(timeout) {
            let ids = missing?.join(", ");
            let text = format_smolstr!(
                "after {timeout}, configuration {number} or a later one is not in force at {ids}; \
                 wait longer with --timeout"
            );
            return Err(Failure::TimedOut(text));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the live instances at which neither configuration `number` nor a later one is known to
/// be in force.
fn instances_behind(client: &Client, number: ConfigNumber) -> Result<Vec<String>, Failure> {
    let body = client.get("/v1/config/instances")?.success()?;
    let answer: Instances = decode(body)?;
    let behind = answer
        .instances
        .into_iter()
        .filter(|instance| instance.number.is_none_or(|at| at < number));
    Ok(behind.map(|instance| instance.id.to_string()).collect())
}

fn decode<T: serde::de::DeserializeOwned>(body: serde_json::Value) -> Result<T, Failure> {
    serde_json::from_value(body).map_err(|err| {
        Failure::Unavailable(format_smolstr!(
            "the response of the entry instance cannot be decoded: {err}; use the guavacart \
             command of the instance's build"
        ))
    })
}
