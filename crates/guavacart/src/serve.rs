//! `guavacart serve`: runs an entry instance.

use std::{io, net::SocketAddr};

use getopts::Matches;
use guavacart_config::Settings;
use guavacart_entry::Entry;
use serde::Serialize;
use tracing_subscriber::EnvFilter;

use crate::{
    cli::print_line,
    command::Command,
    exit::Failure,
    settings_file::{self, SettingsFile},
};

pub(crate) const COMMAND: Command = Command {
    name: "serve",
    arguments: "--settings FILE",
    summary: "Run an entry instance until SIGTERM, which stops it gracefully",
    options: settings_file::options,
    takes_version: false,
    run,
};

/// Log filter if RUST_LOG is not set or not valid.
const DEFAULT_LEVEL: &str = "info";

/// The first line on stdout, which states the addresses that the instance listens on.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Announcement {
    Listening {
        callers: SocketAddr,
        peers: SocketAddr,
    },
}

fn run(matches: &Matches) -> Result<(), Failure> {
    let file = settings_file::read(matches)?;
    log_to_stderr();
    let settings = settings_without_faults(file)?;
    let entry = Entry::spawn(settings)
        .map_err(|err| log_failure("the entry instance cannot start", &err))?;
    announce(&entry)?;
    entry
        .wait()
        .map_err(|err| log_failure("the entry instance stopped because of an error", &err))
}

fn announce(entry: &Entry) -> Result<(), Failure> {
    let announcement = Announcement::Listening {
        callers: entry.callers(),
        peers: entry.peers(),
    };
    let line = serde_json::to_string(&announcement).map_err(io::Error::from)?;
    print_line(&line)
}

fn log_to_stderr() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| DEFAULT_LEVEL.into());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(io::stderr)
        .init();
}

/// Returns the settings, or logs each of their faults.
fn settings_without_faults(file: SettingsFile) -> Result<Settings, Failure> {
    file.settings.map_err(|faults| {
        for diagnostic in &faults.diagnostics {
            tracing::error!(
                file = file.path,
                key = %diagnostic.key,
                place = %diagnostic.place,
                remedy = diagnostic.fault.remedy(),
                "{}", diagnostic.fault
            );
        }
        Failure::Logged
    })
}

fn log_failure(what: &str, err: &dyn std::error::Error) -> Failure {
    tracing::error!(cause = %err, "{what}");
    Failure::Logged
}
