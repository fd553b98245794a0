//! `guavacart submit` and `guavacart cancel`: batch jobs.

use getopts::{Matches, Options};
use guavacart_types::JobId;
use minreq::Method;
use smol_str::format_smolstr;

use crate::{
    cli::print_json,
    client::{Answer, CallError},
    command::{Command, arguments, client, client_options, parse, read_json},
    exit::Failure,
};

pub(crate) const SUBMIT: Command = Command {
    name: "submit",
    arguments: "FILE",
    summary: "Submit a batch job; a repeat with the same id is the same job",
    options: client_options,
    takes_version: false,
    run: submit,
};

pub(crate) const CANCEL: Command = Command {
    name: "cancel",
    arguments: "[--team TEAM] JOB",
    summary: "Cancel a batch job; a repeat changes nothing more",
    options: cancel_options,
    takes_version: false,
    run: cancel,
};

fn cancel_options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "",
        "team",
        "the team whose token GUAVACART_TOKEN is",
        "TEAM",
    );
}

fn submit(matches: &Matches) -> Result<(), Failure> {
    let [file] = arguments(matches, "one FILE")?;
    let job = read_json(file)?;
    let client = client(matches)?;
    print_json(&change(client.call(Method::Post, "/v1/jobs", Some(&job)))?.success()?)
}

fn cancel(matches: &Matches) -> Result<(), Failure> {
    let [job] = arguments(matches, "one JOB")?;
    let job: JobId = parse("JOB", job)?;
    let team = match matches.opt_str("team") {
        Some(team) => Some(parse("--team", &team)?),
        None => None,
    };
    let client = client(matches)?.of_team(team);
    let path = format!("/v1/jobs/{job}");
    print_json(&change(client.call(Method::Delete, &path, None))?.success()?)
}

/// A job's id makes every repeat the same call, so the remedy of a lost answer is to repeat.
fn change(answer: Result<Answer, CallError>) -> Result<Answer, Failure> {
    answer.map_err(|err| match err {
        CallError::NotSent { .. } => Failure::Unavailable(format_smolstr!("{err}")),
        CallError::NoAnswer { .. } => {
            Failure::Unknown(format_smolstr!("{err}; repeat the command"))
        }
    })
}
