//! Asks a node where the tasks of a job would start.

use std::{fs, net::SocketAddr};

use getopts::Matches;
use guavacart_jobs::Explanation;
use minreq::{Method, Request};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use super::answer;
use crate::{
    cli::{print, print_json},
    command::{arguments, required},
    exit::Failure,
};

/// Time limit of the call, in seconds.
const CALL_TIMEOUT_S: u64 = 15;
/// Largest status line, and largest header section, that is accepted in a response, in bytes.
const MAX_HEADERS_BYTES: usize = 64 << 10;

pub(super) fn run(matches: &Matches, node: &str) -> Result<(), Failure> {
    let node: SocketAddr = node.parse().map_err(|_| {
        Failure::Usage(format_smolstr!(
            "--node: {node:?} is not an IP address and port; write it like 10.0.0.1:9464"
        ))
    })?;
    let queue = required(matches, "queue")?;
    let [path] = arguments(matches, "one JOB-FILE")?;
    let body = fs::read(path).map_err(|err| {
        Failure::Rejected(format_smolstr!(
            "the job file {path} cannot be read: {err}; give a readable file"
        ))
    })?;
    let (status, answer) = ask(node, &queue, body)?;
    if status != 200 {
        return Err(failure(node, status, &answer));
    }
    if matches.opt_present("json") {
        return print_json(&answer);
    }
    let explanation: Explanation = serde_json::from_value(answer).map_err(|err| {
        Failure::Unavailable(format_smolstr!(
            "the answer of the node {node} is not understood: {err}; use the command of the node's \
             build, or --json"
        ))
    })?;
    print(&answer::render(&queue, &explanation))
}

/// Sends the job; returns the status and the body of the answer.
fn ask(node: SocketAddr, queue: &str, body: Vec<u8>) -> Result<(u16, Value), Failure> {
    let queue = utf8_percent_encode(queue, NON_ALPHANUMERIC);
    let req = Request::new(Method::Post, format!("http://{node}/explain?queue={queue}"));
    let req = req
        .with_timeout(CALL_TIMEOUT_S)
        .with_follow_redirects(false)
        .with_max_headers_size(MAX_HEADERS_BYTES)
        .with_max_status_line_length(MAX_HEADERS_BYTES)
        .with_header("Content-Type", "application/json")
        .with_body(body);
    let response = req.send().map_err(|err| {
        Failure::Unavailable(format_smolstr!(
            "the node {node} cannot be reached: {err}; give the address of its metrics, and check \
             that the node runs"
        ))
    })?;
    let answer = serde_json::from_slice(response.as_bytes()).map_err(|err| {
        Failure::Unavailable(format_smolstr!(
            "the answer of {node} (HTTP status {}) is not valid JSON: {err}; give the address of the \
             metrics of a node that knows this request",
            response.status_code
        ))
    })?;
    Ok((response.status_code, answer))
}

/// The failure that a node reports.
fn failure(node: SocketAddr, status: u16, answer: &Value) -> Failure {
    let text = answer.get("error").and_then(Value::as_str);
    let text: SmolStr = text.map_or_else(
        || format_smolstr!("the node {node} answered with HTTP status {status} and no reason"),
        Into::into,
    );
    match status {
        400..=499 => Failure::Rejected(text),
        _ => Failure::Unavailable(text),
    }
}
