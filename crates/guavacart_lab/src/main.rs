//! `guavacart-lab`: the demo and the scenarios.
//!
//! Exit codes: 0, no guarantee was violated; 1, a guarantee was violated; 2, the command line is
//! invalid; 3, the run did not complete.

use std::{
    io::{self, IsTerminal, Write},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use getopts::{Matches, Options};
use guavacart_lab::{
    cluster::{Size, SizeError},
    scenario::{SCENARIOS, Scenario, ScenarioCx, ScenarioError, find_scenario},
};
use thiserror::Error;
use tracing_subscriber::EnvFilter;

/// Exit code when a guarantee was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit code when the command line is invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code when the run did not complete.
const EXIT_RUN_FAILED: u8 = 3;
/// Seed of a run without `--seed`.
const DEFAULT_SEED: u64 = 1;

const HELP: &str = "\
Usage: guavacart-lab COMMAND [OPTIONS]

Commands:
    demo          Run the demo
    run SCENARIO  Run a scenario
    scenarios     List the scenarios

Exit codes: 0 no guarantee was violated, 1 a guarantee was violated, 2 invalid command line,
3 the run did not complete. The last line on stdout is the summary as JSON.
`guavacart-lab COMMAND --help` lists the options of a command.
";

/// Reasons for a run without a summary.
#[derive(Debug, Error)]
enum LabError {
    #[error("{0}; see `guavacart-lab --help`")]
    Options(#[from] getopts::Fail),
    #[error("{0:?} is not a command; see `guavacart-lab --help`")]
    Command(String),
    #[error("{0:?} is not a scenario; see `guavacart-lab scenarios`")]
    Scenario(String),
    #[error("--{option} {value:?} is not a whole number")]
    Number { option: &'static str, value: String },
    #[error(transparent)]
    Size(#[from] SizeError),
    #[error("{0}")]
    Run(#[from] ScenarioError),
    #[error("the run was interrupted")]
    Interrupted,
    #[error("the runtime could not start or the output could not be written: {0}")]
    Io(#[from] io::Error),
    #[error("the summary could not be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl LabError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Options(_)
            | Self::Command(_)
            | Self::Scenario(_)
            | Self::Number { .. }
            | Self::Size(_) => EXIT_USAGE,
            Self::Run(ScenarioError::Baseline { .. }) => EXIT_USAGE,
            Self::Run(_) | Self::Interrupted | Self::Io(_) | Self::Json(_) => EXIT_RUN_FAILED,
        }
    }
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(EnvFilter::try_from_default_env().unwrap_or_else(|_| "warn".into()))
        .with_writer(io::stderr)
        .init();
    match run_command(std::env::args().skip(1).collect()) {
        Ok(code) => code,
        Err(err) => {
            // A closed stderr leaves no place to report the error.
            let _ = writeln!(io::stderr(), "guavacart-lab: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn run_command(mut args: Vec<String>) -> Result<ExitCode, LabError> {
    if args.is_empty() {
        return print(HELP);
    }
    let command = args.remove(0);
    match command.as_str() {
        "--help" | "-h" | "help" => print(HELP),
        "--version" | "-V" => print(&version()),
        "demo" | "run" | "scenarios" => run_subcommand(&command, &args),
        _ => Err(LabError::Command(command)),
    }
}

fn run_subcommand(command: &str, args: &[String]) -> Result<ExitCode, LabError> {
    let options = command_options(command != "scenarios");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        let arguments = if command == "run" { " SCENARIO" } else { "" };
        let brief = format!("Usage: guavacart-lab {command}{arguments} [OPTIONS]");
        return print(&options.usage(&brief));
    }
    if matches.opt_present("version") {
        return print(&version());
    }
    match (command, matches.free.as_slice()) {
        ("scenarios", []) => list_scenarios(),
        ("demo", []) => run(parse_scenario("demo")?, &matches),
        ("run", [name]) => run(parse_scenario(name)?, &matches),
        (_, free) => Err(LabError::Command(free.join(" "))),
    }
}

fn command_options(is_run: bool) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    if is_run {
        options.optopt(
            "",
            "seconds",
            "seconds of load in each phase (the default depends on the scenario)",
            "N",
        );
        options.optopt("", "seed", "seed of all random choices (1)", "N");
        options.optopt(
            "",
            "size",
            "size of a request scenario (pamoja)",
            "pamoja|cymru",
        );
        options.optopt("", "baseline", "run with this baseline", "NAME");
        options.optopt("", "logs", "directory for the logs of the instances", "DIR");
    }
    options
}

fn parse_scenario(name: &str) -> Result<&'static Scenario, LabError> {
    find_scenario(name).ok_or_else(|| LabError::Scenario(name.to_owned()))
}

fn number_option(matches: &Matches, option: &'static str, default: u64) -> Result<u64, LabError> {
    match matches.opt_str(option) {
        Some(value) => value
            .parse()
            .map_err(|_| LabError::Number { option, value }),
        None => Ok(default),
    }
}

fn run(scenario: &Scenario, matches: &Matches) -> Result<ExitCode, LabError> {
    let cx = ScenarioCx {
        seed: number_option(matches, "seed", DEFAULT_SEED)?,
        load_length: Duration::from_secs(number_option(
            matches,
            "seconds",
            scenario.default_seconds,
        )?),
        size: match matches.opt_str("size") {
            Some(size) => size.parse()?,
            None => Size::default(),
        },
        baseline: matches.opt_str("baseline").map(Into::into),
        log_dir: matches.opt_str("logs").map(PathBuf::from),
        progress: io::stderr().is_terminal(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    // Dropping the scenario's future ends every process that it started.
    let summary = runtime.block_on(async {
        tokio::select! {
            summary = scenario.start(cx) => summary.map_err(LabError::from),
            _ = tokio::signal::ctrl_c() => Err(LabError::Interrupted),
        }
    })?;
    print(&format!("{}\n", serde_json::to_string(&summary)?))?;
    Ok(match summary.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_VIOLATION),
    })
}

fn list_scenarios() -> Result<ExitCode, LabError> {
    let line = |s: &Scenario| match s.baselines {
        [] => format!("{:<16}{}\n", s.name, s.description),
        known => format!(
            "{:<16}{} (baselines: {})\n",
            s.name,
            s.description,
            known.join(", ")
        ),
    };
    print(&SCENARIOS.iter().map(line).collect::<String>())
}

fn version() -> String {
    format!("guavacart-lab {}\n", env!("CARGO_PKG_VERSION"))
}

fn print(text: &str) -> Result<ExitCode, LabError> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(ExitCode::SUCCESS)
}
