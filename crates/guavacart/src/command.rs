//! Definition of a subcommand, and argument handling that several subcommands share.

use std::{env, str::FromStr};

use getopts::{Matches, Options};
use smol_str::{SmolStr, format_smolstr};

use crate::{client::Client, exit::Failure};

/// Environment variable with the address of the entry instance, used without `--entry`.
pub(crate) const ENTRY_VARIABLE: &str = "GUAVACART_ENTRY";
/// Environment variable with the access token.
pub(crate) const TOKEN_VARIABLE: &str = "GUAVACART_TOKEN";

/// A subcommand: its help texts, its options and the function that runs it.
pub(crate) struct Command {
    /// The words that name the subcommand, such as `config show`.
    pub(crate) name: &'static str,
    /// Summary of the arguments for `--help`.
    pub(crate) arguments: &'static str,
    /// What the subcommand does, in one line for `--help`.
    pub(crate) summary: &'static str,
    /// Adds the options of the subcommand, without `--help` and `--version`.
    pub(crate) options: fn(&mut Options),
    /// True if the subcommand has a `--version` option of its own that takes a number. Without a
    /// number, the option prints the version of the program.
    pub(crate) takes_version: bool,
    /// Runs the subcommand with the parsed arguments.
    pub(crate) run: fn(&Matches) -> Result<(), Failure>,
}

/// Adds the options of a subcommand that calls an entry instance.
pub(crate) fn client_options(options: &mut Options) {
    options.optopt(
        "",
        "entry",
        "IP address and port of any entry instance (default: $GUAVACART_ENTRY); the access token \
         is read from GUAVACART_TOKEN",
        "ADDR",
    );
}

/// Creates the client from the options and the environment.
pub(crate) fn client(matches: &Matches) -> Result<Client, Failure> {
    let entry = matches
        .opt_str("entry")
        .or_else(|| env::var(ENTRY_VARIABLE).ok());
    let Some(entry) = entry else {
        let text = format_smolstr!(
            "the address of an entry instance is missing; give --entry ADDR or set {ENTRY_VARIABLE}"
        );
        return Err(Failure::Usage(text));
    };
    let Ok(entry) = entry.parse() else {
        let text = format_smolstr!(
            "--entry or {ENTRY_VARIABLE}: {entry:?} is not an IP address and port; write it like \
             10.0.0.1:8080"
        );
        return Err(Failure::Usage(text));
    };
    Ok(Client::new(entry, env::var(TOKEN_VARIABLE).ok()))
}

/// Returns the arguments that are not options, which have to be exactly `N`.
pub(crate) fn arguments<'a, const N: usize>(
    matches: &'a Matches,
    expected: &str,
) -> Result<[&'a str; N], Failure> {
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    free.try_into()
        .map_err(|_| Failure::Usage(format_smolstr!("expected {expected}")))
}

/// Returns the value of a required option.
pub(crate) fn required(matches: &Matches, name: &str) -> Result<String, Failure> {
    matches
        .opt_str(name)
        .ok_or_else(|| Failure::Usage(format_smolstr!("the option --{name} is missing")))
}

/// Parses an argument or the value of an option. `what` names it in the error.
pub(crate) fn parse<T>(what: &str, text: &str) -> Result<T, Failure>
where
    T: FromStr<Err: std::fmt::Display>,
{
    text.parse()
        .map_err(|err| Failure::Usage(format_smolstr!("{what}: {err}")))
}

/// Reads a file that the command line names.
pub(crate) fn read_file(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|err| {
        Failure::Rejected(format_smolstr!(
            "the file {path} cannot be read: {err}; give a readable file in UTF-8"
        ))
    })
}

/// Reads a JSON file that the command line names.
pub(crate) fn read_json(path: &str) -> Result<serde_json::Value, Failure> {
    serde_json::from_str(&read_file(path)?).map_err(|err| {
        Failure::Rejected(SmolStr::from(format!(
            "the file {path} is not valid JSON: {err}; correct the file"
        )))
    })
}
