//! Reads the settings file of an entry instance, which `--settings` names.

use std::env;

use getopts::{Matches, Options};
use guavacart_config::{Diagnostic, Settings, SettingsError};

use crate::{
    command::{read_file, required},
    exit::Failure,
};

/// Adds the option `--settings`.
pub(crate) fn options(options: &mut Options) {
    options.optopt("s", "settings", "the settings file, in TOML", "FILE");
}

/// The path and the content of a settings file.
pub(crate) struct SettingsFile {
    /// The path as given on the command line.
    pub(crate) path: String,
    /// The settings, or every fault in the file.
    pub(crate) settings: Result<Settings, SettingsError>,
}

/// Reads the file. Faults in its text are no failure here, so that the subcommand can report them.
pub(crate) fn read(matches: &Matches) -> Result<SettingsFile, Failure> {
    let path = required(matches, "settings")?;
    let text = read_file(&path)?;
    let settings = Settings::read(&text, &|name| env::var(name).ok());
    Ok(SettingsFile { path, settings })
}

/// Formats a fault as one line that begins with the path of the file.
pub(crate) fn format_diagnostic(path: &str, diagnostic: &Diagnostic) -> String {
    format!("{path}:{diagnostic}")
}
