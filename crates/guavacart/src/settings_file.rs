//! Reads the settings file that `--settings` names.

use std::env;

use getopts::{Matches, Options};
use guavacart_config::{Diagnostic, Settings, SettingsError};

use crate::{
    command::{read_file, required},
    exit::Failure,
};

/// The option that names the file.
pub(crate) fn options(options: &mut Options) {
    options.optopt("s", "settings", "the settings file, in TOML", "FILE");
}

/// A settings file and what it says.
pub(crate) struct SettingsFile {
    /// Its path, as given.
    pub(crate) path: String,
    /// The settings, or every fault.
    pub(crate) settings: Result<Settings, SettingsError>,
}

/// Reads the file; the faults of its text are left to the command.
pub(crate) fn read(matches: &Matches) -> Result<SettingsFile, Failure> {
    let path = required(matches, "settings")?;
    let text = read_file(&path)?;
    let settings = Settings::read(&text, &|name| env::var(name).ok());
    Ok(SettingsFile { path, settings })
}

/// One line for a fault, with the file before the place.
pub(crate) fn line(path: &str, diagnostic: &Diagnostic) -> String {
    format!("{path}:{diagnostic}")
}
