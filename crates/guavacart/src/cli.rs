//! Finds the subcommand and parses its options.

use std::io::{self, Write};

use getopts::{Matches, Options};
use smol_str::format_smolstr;

use crate::{
    burn, check,
    command::Command,
    config,
    exit::{EXIT_STATUSES, Failure},
    explain, jobs, node, patch, serve, status,
};

const COMMANDS: &[&Command] = &[
    &serve::COMMAND,
    &node::COMMAND,
    &check::COMMAND,
    &patch::COMMAND,
    &config::SHOW,
    &config::DIFF,
    &config::WAIT,
    &jobs::SUBMIT,
    &jobs::CANCEL,
    &status::COMMAND,
    &burn::COMMAND,
    &explain::COMMAND,
];

/// Runs the subcommand that `args` name.
pub(crate) fn run(args: &[String]) -> Result<(), Failure> {
    match args.first().map(String::as_str) {
        None => return Err(Failure::Usage("name a subcommand".into())),
        Some("--help" | "-h") => return print(&overview()),
        Some("--version" | "-V") => return print(&version("guavacart")),
        Some(_) => {}
    }
    let (command, rest) = find(args)?;
    let options = options(command);
    let matches = options
        .parse(rest)
        .map_err(|err| Failure::Usage(format_smolstr!("{}: {err}", command.name)))?;
    if matches.opt_present("help") {
        return print(&help(command, &options));
    }
    if matches.opt_present("version") && !(command.takes_version && has_number(&matches)) {
        return print(&version(&format!("guavacart {}", command.name)));
    }
    (command.run)(&matches)
}

/// `getopts` leaves the argument of `--version N` among the free ones.
fn has_number(matches: &Matches) -> bool {
    matches.opt_str("version").is_some() || !matches.free.is_empty()
}

fn find(args: &[String]) -> Result<(&'static Command, &[String]), Failure> {
    for command in COMMANDS {
        let words = command.name.split(' ').count();
        let named = args.len() >= words && args[..words].join(" ") == command.name;
        if named {
            return Ok((command, &args[words..]));
        }
    }
    let text = format_smolstr!("{:?} is not a subcommand", args[0]);
    Err(Failure::Usage(text))
}

fn options(command: &Command) -> Options {
    let mut options = Options::new();
    (command.options)(&mut options);
    options.optflag("h", "help", "print this help");
    if !command.takes_version {
        options.optflag("V", "version", "print the version");
    }
    options
}

fn help(command: &Command, options: &Options) -> String {
    let Command {
        name,
        arguments,
        summary,
        ..
    } = command;
    let brief = format!("{summary}\n\nUsage: guavacart {name} {arguments}");
    format!("{}\n{EXIT_STATUSES}", options.usage(brief.trim_end()))
}

fn overview() -> String {
    let mut text = String::from(
        "Schedules latency-critical services and batch work on shared machines\n\n\
         Usage: guavacart COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for command in COMMANDS {
        text.push_str(&format!("    {:<14}{}\n", command.name, command.summary));
    }
    text.push_str("\nEach command has --help and --version.\n\n");
    text.push_str(EXIT_STATUSES);
    text
}

fn version(name: &str) -> String {
    format!("{name} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Prints to stdout.
pub(crate) fn print(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()?;
    Ok(())
}

/// Prints a line to stdout.
pub(crate) fn print_line(line: &str) -> Result<(), Failure> {
    print(&format!("{line}\n"))
}

/// Prints JSON to stdout, indented.
pub(crate) fn print_json(value: &serde_json::Value) -> Result<(), Failure> {
    print_line(&format!("{value:#}"))
}
