//! `guavacart report burn`: prints the error budget burn rates of the whole deployment.

use std::fs;

use getopts::{Matches, Options};
use guavacart_report::{Report, draw_svg, format_table};
use smol_str::format_smolstr;

use crate::{
    cli::{print, print_json, print_line},
    command::{Command, arguments, client, client_options},
    exit::Failure,
};

pub(crate) const COMMAND: Command = Command {
    name: "report burn",
    arguments: "[--json | --svg FILE]",
    summary: "Print the burn rates and the error budget left for each service and team",
    options,
    takes_version: false,
    run,
};

fn options(options: &mut Options) {
    client_options(options);
    options.optflag("j", "json", "print JSON instead of a table");
    options.optopt(
        "s",
        "svg",
        "write an SVG plot to FILE instead of printing a table",
        "FILE",
    );
}

fn run(matches: &Matches) -> Result<(), Failure> {
    let [] = arguments(matches, "no arguments")?;
    let svg = matches.opt_str("svg");
    let json = matches.opt_present("json");
    if json && svg.is_some() {
        return Err(Failure::Usage(
            "--json and --svg cannot be combined; give one of them".into(),
        ));
    }
    let body = client(matches)?.get("/v1/burn")?.success()?;
    if json {
        return print_json(&body);
    }
    let report: Report = serde_json::from_value(body).map_err(|err| {
        Failure::Unavailable(format_smolstr!(
            "the response of the entry instance is not a burn report: {err}; use the guavacart \
             command of the instance's build"
        ))
    })?;
    match svg {
        Some(path) => write_plot(&report, &path),
        None => print(&format_table(&report)),
    }
}

fn write_plot(report: &Report, path: &str) -> Result<(), Failure> {
    let svg = draw_svg(report).map_err(|err| Failure::Rejected(format_smolstr!("{err}")))?;
    fs::write(path, svg)?;
    print_line(path)
}
