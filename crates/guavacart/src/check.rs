//! `guavacart check`: prints every fault of a settings file.

use getopts::Matches;
use smol_str::format_smolstr;

use crate::{cli::print_line, command::Command, exit::Failure, settings_file};

pub(crate) const COMMAND: Command = Command {
    name: "check",
    arguments: "--settings FILE",
    summary: "Check a settings file and print each fault with its place and remedy",
    options: settings_file::options,
    takes_version: false,
    run,
};

fn run(matches: &Matches) -> Result<(), Failure> {
    let file = settings_file::read(matches)?;
    let Err(faults) = file.settings else {
        return print_line(&format!("{}: no faults", file.path));
    };
    for diagnostic in &faults.diagnostics {
        print_line(&settings_file::format_diagnostic(&file.path, diagnostic))?;
    }
    let text = format_smolstr!("{}: {faults}", file.path);
    Err(Failure::Rejected(text))
}
