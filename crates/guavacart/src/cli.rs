//! Finds the subcommand that the arguments name, parses its options and runs it.

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

/// Runs the subcommand that `args` name, or prints the help or version that they ask for.
pub(crate) fn run(args: &[String]) -> Result<(), Failure> {
    match args.first().map(String::as_str) {
        None => return Err(Failure::Usage("the subcommand is missing".into())),
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
    if matches.opt_present("version") && !(command.takes_version && has_version_number(&matches)) {
        return print(&version(&format!("guavacart {}", command.name)));
    }
    (command.run)(&matches)
}

/// Returns whether `--version` has a number. `getopts` takes `--version N` as an option without a
/// value and leaves `N` among the free arguments.
fn has_version_number(matches: &Matches) -> bool {
    matches.opt_str("version").is_some() || !matches.free.is_empty()
}

fn find(args: &[String]) -> Result<(&'static Command, &[String]), Failure> {
    for command in COMMANDS {
        let word_count = command.name.split(' ').count();
        let is_match = args.len() >= word_count && args[..word_count].join(" ") == command.name;
        if is_match {
            return Ok((command, &args[word_count..]));
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
    text.push_str("\nEvery command accepts --help and --version.\n\n");
    text.push_str(EXIT_STATUSES);
    text
}

fn version(name: &str) -> String {
    format!("{name} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Writes text to stdout and flushes it.
pub(crate) fn print(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()?;
    Ok(())
}

/// Writes text and a line break to stdout.
pub(crate) fn print_line(line: &str) -> Result<(), Failure> {
    print(&format!("{line}\n"))
}

/// Writes indented JSON and a line break to stdout.
pub(crate) fn print_json(value: &serde_json::Value) -> Result<(), Failure> {
    print_line(&format!("{value:#}"))
}
