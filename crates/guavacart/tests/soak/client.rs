//! A client of one node that keeps its connection open until the process is gone.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    history::{Answer, History, PREFIXES},
    node::Node,
};

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(6);
/// A prefix that no configuration has.
const UNKNOWN_PREFIX: &str = "/none/";

const JOB: &str = r#"{"spec":"x","steps":[{"count":1,"cpu":10,"mem-mb":10,"estimate-ms":60}]}"#;

/// What a client has seen.
pub(crate) struct Seen {
    pub(crate) violations: Vec<String>,
    /// Ids of the jobs that were accepted.
    pub(crate) accepted: Vec<String>,
}

/// A client of one node.
pub(crate) struct Client {
    rng: StdRng,
    number: usize,
    node: Arc<Node>,
    history: Arc<History>,
}

impl Client {
    pub(crate) fn new(seed: u64, number: usize, node: Arc<Node>, history: Arc<History>) -> Self {
        let rng = StdRng::seed_from_u64(seed * 1_000 + number as u64);
        Self {
            rng,
            number,
            node,
            history,
        }
    }

    /// Sends requests until `is_over`.
    pub(crate) fn run(mut self, is_over: &AtomicBool) -> Seen {
        let mut seen = Seen {
            violations: Vec::new(),
            accepted: Vec::new(),
        };
        let mut connection = None;
        let mut incarnation = 0;
        let mut oldest = 0;
        let mut jobs = 0;
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(PAUSE);
            let current = self.node.incarnation();
            if current != incarnation {
                (incarnation, oldest) = (current, 0);
            }
            let is_job = self.rng.random_bool(0.3);
            let choice = self.rng.random_range(0..=PREFIXES.len());
            let prefix = PREFIXES.get(choice).copied().unwrap_or(UNKNOWN_PREFIX);
            let job = format!("{:08x}{jobs:08x}", self.number + 1);
            let sent = Instant::now();
            let answer = if is_job {
                jobs += 1;
                request(
                    &mut connection,
                    &self.node,
                    "POST",
                    &format!("{prefix}{job}"),
                    JOB,
                )
            } else {
                request(&mut connection, &self.node, "GET", prefix, "")
            };
            let Some((status, _)) = answer else {
                connection = None;
                continue;
            };
            if is_job && status == 200 {
                seen.accepted.push(job);
            }
            let answer = Answer {
                prefix,
                status,
                sent,
                answered: Instant::now(),
                is_exact: is_job && status == 200,
                is_disturbed: self.node.was_disturbed_since(sent),
            };
            if self.node.incarnation() != incarnation {
                continue;
            }
            match self.history.check(&answer, oldest) {
                Ok(explained_by) => oldest = explained_by,
                Err(violation) => seen
                    .violations
                    .push(format!("{}: {violation}", self.node.name)),
            }
        }
        seen
    }
}

/// Asks a node for the number of waiting jobs of a queue; returns the status.
pub(crate) fn count(node: &Node, prefix: &str) -> Option<u16> {
    Some(request(&mut None, node, "GET", prefix, "")?.0)
}

/// Asks a node for the state of a job.
pub(crate) fn state(node: &Node, prefix: &str, job: &str) -> Option<String> {
    let (status, body) = request(&mut None, node, "GET", &format!("{prefix}{job}"), "")?;
    if status != 200 {
        return Some(format!("status {status}"));
    }
    let body: serde_json::Value = serde_json::from_str(&body).ok()?;
    body["state"].as_str().map(str::to_owned)
}

/// Sends a request over the connection, or a new one; `None` if no whole answer came.
fn request(
    connection: &mut Option<BufReader<TcpStream>>,
    node: &Node,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    if connection.is_none() {
        let stream = TcpStream::connect(node.front).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        *connection = Some(BufReader::new(stream));
    }
    let stream = connection.as_mut()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Timeout-Ms: 3000\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.get_mut().write_all(text.as_bytes()).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut len = 0;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok()?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
