//! What a subcommand is, and the options that several share.

use std::{env, str::FromStr};

use getopts::{Matches, Options};
use smol_str::{SmolStr, format_smolstr};

use crate::{client::Client, exit::Failure};

/// Environment variable with the entry instance's address.
pub(crate) const ENTRY_VARIABLE: &str = "GUAVACART_ENTRY";
/// Environment variable with the token.
pub(crate) const TOKEN_VARIABLE: &str = "GUAVACART_TOKEN";

/// One subcommand.
pub(crate) struct Command {
    /// Its words, such as `config show`.
    pub(crate) name: &'static str,
    /// Its arguments, for `--help`.
    pub(crate) arguments: &'static str,
    /// What it does, in one line.
    pub(crate) summary: &'static str,
    /// Its options, without `--help` and `--version`.
    pub(crate) options: fn(&mut Options),
    /// True if its own `--version` takes a number; without one it prints the program's version.
    pub(crate) takes_version: bool,
    /// Runs it.
    pub(crate) run: fn(&Matches) -> Result<(), Failure>,
}

/// Options of a command that calls an entry instance.
pub(crate) fn client_options(options: &mut Options) {
    options.optopt(
        "",
        "entry",
        "address of any entry instance (or GUAVACART_ENTRY); the token is read from \
         GUAVACART_TOKEN",
        "ADDR",
    );
}

/// The client that the options and the environment name.
pub(crate) fn client(matches: &Matches) -> Result<Client, Failure> {
    let entry = matches
        .opt_str("entry")
        .or_else(|| env::var(ENTRY_VARIABLE).ok());
    let Some(entry) = entry else {
        let text = format_smolstr!("give --entry ADDR or set {ENTRY_VARIABLE}");
        return Err(Failure::Usage(text));
    };
    let Ok(entry) = entry.parse() else {
        let text = format_smolstr!("{entry:?} is not an address such as 10.0.0.1:8080");
        return Err(Failure::Usage(text));
    };
    Ok(Client::new(entry, env::var(TOKEN_VARIABLE).ok()))
}

/// The free arguments, exactly `N` of them.
pub(crate) fn arguments<'a, const N: usize>(
    matches: &'a Matches,
    expected: &str,
) -> Result<[&'a str; N], Failure> {
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    free.try_into()
        .map_err(|_| Failure::Usage(format_smolstr!("expected {expected}")))
}

/// The value of an option that has to be given.
pub(crate) fn required(matches: &Matches, name: &str) -> Result<String, Failure> {
    matches
        .opt_str(name)
        .ok_or_else(|| Failure::Usage(format_smolstr!("--{name} is missing")))
}

/// Parses an argument or an option's value.
pub(crate) fn parse<T>(what: &str, text: &str) -> Result<T, Failure>
where
    T: FromStr<Err: std::fmt::Display>,
{
    text.parse()
        .map_err(|err| Failure::Usage(format_smolstr!("{what}: {err}")))
}

/// Reads a file that the command line names.
pub(crate) fn read_file(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|err| Failure::Rejected(format_smolstr!("{path} cannot be read: {err}")))
}

/// Reads a JSON file that the command line names.
pub(crate) fn read_json(path: &str) -> Result<serde_json::Value, Failure> {
    serde_json::from_str(&read_file(path)?)
        .map_err(|err| Failure::Rejected(SmolStr::from(format!("{path} is not JSON: {err}"))))
}
