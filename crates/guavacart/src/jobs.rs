//! `guavacart submit` and `guavacart cancel`: submit and cancel batch jobs.

use getopts::{Matches, Options};
use guavacart_types::JobId;
use minreq::Method;
use smol_str::format_smolstr;

use crate::{
    cli::print_json,
    client::{CallError, Response},
    command::{Command, arguments, client, client_options, parse, read_json},
    exit::Failure,
};

pub(crate) const SUBMIT: Command = Command {
    name: "submit",
    arguments: "FILE",
    summary: "Submit a batch job; repeating it with the same job id submits it only once",
    options: client_options,
    takes_version: false,
    run: submit,
};

pub(crate) const CANCEL: Command = Command {
    name: "cancel",
    arguments: "[--team TEAM] JOB",
    summary: "Cancel a batch job; repeating the command has no further effect",
    options: cancel_options,
    takes_version: false,
    run: cancel,
};

fn cancel_options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "",
        "team",
        "the team to which the access token in GUAVACART_TOKEN belongs",
        "TEAM",
    );
}

fn submit(matches: &Matches) -> Result<(), Failure> {
    let [file] = arguments(matches, "one FILE")?;
    let job = read_json(file)?;
    let client = client(matches)?;
    print_json(&call_result(client.call(Method::Post, "/v1/jobs", Some(&job)))?.success()?)
}

fn cancel(matches: &Matches) -> Result<(), Failure> {
    let [job] = arguments(matches, "one JOB")?;
    let job: JobId = parse("JOB", job)?;
    let team = match matches.opt_str("team") {
        Some(team) => Some(parse("--team", &team)?),
        None => None,
    };
    let client = client(matches)?.with_team(team);
    let path = format!("/v1/jobs/{job}");
    print_json(&call_result(client.call(Method::Delete, &path, None))?.success()?)
}

/// Converts a failed call. After a lost response the remedy is to repeat the command, since the
/// job's id makes a repeated call take effect only once.
fn call_result(response: Result<Response, CallError>) -> Result<Response, Failure> {
    response.map_err(|err| match err {
        CallError::NotSent { .. } => Failure::Unavailable(format_smolstr!("{err}")),
        CallError::NoResponse { .. } => Failure::Unknown(format_smolstr!(
            "{err}; the call may have taken effect; repeat the command, which takes effect only \
                 once"
        )),
    })
}
