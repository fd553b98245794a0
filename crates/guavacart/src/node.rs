//! `guavacart node`: runs a node on the users' platform.

use std::{env, fs};

use getopts::{Matches, Options};
use guavacart_adapter::{PlatformAdapter, Settings};
use smol_str::format_smolstr;
use tracing_subscriber::EnvFilter;

use crate::{cli::print_line, command::Command, exit::Failure, log_writer};

pub(crate) const COMMAND: Command = Command {
    name: "node",
    arguments: "[--settings FILE] [--check]",
    summary: "Run a node on the users' platform until SIGTERM, which stops it gracefully",
    options,
    takes_version: false,
    run,
};

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "GUAVACART_CONFIG";
/// Log filter if RUST_LOG is not set or not valid.
const DEFAULT_LEVEL: &str = "info";

fn options(options: &mut Options) {
    options.optopt(
        "s",
        "settings",
        "the node's settings file, in TOML (default: $GUAVACART_CONFIG)",
        "FILE",
    );
    options.optflag("c", "check", "check the settings file and exit");
}

fn run(matches: &Matches) -> Result<(), Failure> {
    guavacart_node::hold_back_hangups()?;
    let settings = read(matches)?;
    if matches.opt_present("check") {
        return print_line(&format!("settings of {}: no faults", settings.node.name));
    }
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| DEFAULT_LEVEL.into());
    let log = log_writer::spawn();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(log.clone())
        .init();
    let platform = PlatformAdapter::new(&settings);
    let result = guavacart_node::run(platform, settings.node).map_err(|err| {
        tracing::error!(event = "cannot_run", cause = %err);
        Failure::Logged
    });
    log.flush_lines();
    result
}

fn read(matches: &Matches) -> Result<Settings, Failure> {
    let path = matches
        .opt_str("settings")
        .or_else(|| env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = path else {
        let text = format_smolstr!(
            "the settings file is missing; give --settings FILE or set {SETTINGS_VARIABLE}"
        );
        return Err(Failure::Usage(text));
    };
    let text = fs::read_to_string(&path).map_err(|err| {
        Failure::Rejected(format_smolstr!(
            "the settings file {path} cannot be read: {err}; give a readable file in UTF-8"
        ))
    })?;
    Settings::read(&text).map_err(|err| Failure::Rejected(format_smolstr!("{path}: {err}")))
}
