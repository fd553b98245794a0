//! `guavacart patch`: submits a patch that is based on a numbered configuration.

use std::{
    process,
    time::{SystemTime, UNIX_EPOCH},
};

use getopts::{Matches, Options};
use guavacart_types::{ConfigNumber, PatchId};
use minreq::Method;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    cli::{print_json, print_line},
    client::{CallError, Client, Response},
    command::{Command, arguments, client, client_options, parse, read_json, required},
    exit::Failure,
};

pub(crate) const COMMAND: Command = Command {
    name: "patch",
    arguments: "--base N [--dry-run] [--id ID] FILE",
    summary: "Submit a JSON merge patch that is based on configuration N",
    options,
    takes_version: false,
    run,
};

/// Calls made with the same patch id before the outcome is reported as unknown.
const ATTEMPTS: u32 = 3;

fn options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "b",
        "base",
        "number of the configuration that the patch is based on",
        "N",
    );
    options.optflag(
        "n",
        "dry-run",
        "only validate the patch and print what it would change",
    );
    options.optopt(
        "",
        "id",
        "id of the patch (default: a new id); repeating a patch with the same id applies it only \
         once",
        "ID",
    );
}

fn run(matches: &Matches) -> Result<(), Failure> {
    let [file] = arguments(matches, "one FILE")?;
    let base: ConfigNumber = parse("--base", &required(matches, "base")?)?;
    let id = match matches.opt_str("id") {
        Some(id) => parse("--id", &id)?,
        None => new_id()?,
    };
    let change = read_json(file)?;
    let dry_run = matches.opt_present("dry-run");
    let client = client(matches)?;
    let response = submit(&client, &id, &path(base, &id, dry_run), &change)?;
    let body = response.success()?;
    if dry_run {
        return print_json(&body);
    }
    print_line(&format!("{}", body.get("number").unwrap_or(&Value::Null)))
}

fn path(base: ConfigNumber, id: &PatchId, dry_run: bool) -> String {
    let suffix = if dry_run { "&dry_run=true" } else { "" };
    format!("/v1/config?base={base}&id={id}{suffix}")
}

/// Submits the patch and repeats the call if it brings no response. The patch id makes a repeated
/// call take effect only once.
fn submit(client: &Client, id: &PatchId, path: &str, change: &Value) -> Result<Response, Failure> {
    let mut may_be_accepted = false;
    let mut cause = SmolStr::default();
    for _ in 0..ATTEMPTS {
        match client.call(Method::Patch, path, Some(change)) {
            Ok(response) => return Ok(response),
            Err(err) => {
                may_be_accepted |= matches!(err, CallError::NoResponse { .. });
                cause = format_smolstr!("{err}");
            }
        }
    }
    if !may_be_accepted {
        return Err(Failure::Unavailable(cause));
    }
    let text = format_smolstr!(
        "{cause}; the patch may have been accepted; repeat the command with --id {id}, which \
         applies it only once"
    );
    Err(Failure::Unknown(text))
}

fn new_id() -> Result<PatchId, Failure> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |since| since.as_micros());
    parse("--id", &format!("patch-{micros}-{}", process::id()))
}
