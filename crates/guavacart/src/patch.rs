//! `guavacart patch`: submits a patch against a numbered configuration.

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
    client::{Answer, CallError, Client},
    command::{Command, arguments, client, client_options, parse, read_json, required},
    exit::Failure,
};

pub(crate) const COMMAND: Command = Command {
    name: "patch",
    arguments: "--base N [--dry-run] [--id ID] FILE",
    summary: "Submit a JSON merge patch against configuration N",
    options,
    takes_version: false,
    run,
};

/// Calls with one id before the fate is given up as unknown.
const ATTEMPTS: u32 = 3;

fn options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "b",
        "base",
        "number of the configuration that was read",
        "N",
    );
    options.optflag("n", "dry-run", "validate only, and print what would change");
    options.optopt(
        "",
        "id",
        "the patch's own id; a repeat with the same id is the same patch",
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
    let answer = submit(&client, &id, &path(base, &id, dry_run), &change)?;
    let body = answer.success()?;
    if dry_run {
        return print_json(&body);
    }
    print_line(&format!("{}", body.get("number").unwrap_or(&Value::Null)))
}

fn path(base: ConfigNumber, id: &PatchId, dry_run: bool) -> String {
    let suffix = if dry_run { "&dry_run=true" } else { "" };
    format!("/v1/config?base={base}&id={id}{suffix}")
}

/// Repeats a call whose answer was lost; its id makes the repeat the same patch.
fn submit(client: &Client, id: &PatchId, path: &str, change: &Value) -> Result<Answer, Failure> {
    let mut sent = false;
    let mut cause = SmolStr::default();
    for _ in 0..ATTEMPTS {
        match client.call(Method::Patch, path, Some(change)) {
            Ok(answer) => return Ok(answer),
            Err(err) => {
                sent |= matches!(err, CallError::NoAnswer { .. });
                cause = format_smolstr!("{err}");
            }
        }
    }
    if !sent {
        return Err(Failure::Unavailable(cause));
    }
    let text = format_smolstr!(
        "{cause}; the patch may have been accepted; repeat the command with --id {id}"
    );
    Err(Failure::Unknown(text))
}

fn new_id() -> Result<PatchId, Failure> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |since| since.as_micros());
    parse("--id", &format!("patch-{micros}-{}", process::id()))
}
