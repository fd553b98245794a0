//! Calls to an entry instance over HTTP.

use std::{
    io::{self, Read},
    net::SocketAddr,
};

use guavacart_types::TeamName;
use minreq::{Method, Request};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::exit::Failure;

/// Longest time of one call, in seconds.
const CALL_TIMEOUT_S: u64 = 15;
/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An entry instance and the token to call it with.
pub(crate) struct Client {
    entry: SocketAddr,
    token: Option<String>,
    team: Option<TeamName>,
}

/// A whole answer.
pub(crate) struct Answer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Value,
}

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No byte of the call was sent.
    #[error("the entry instance {entry} was not reached: {cause}")]
    NotSent {
        /// Its address.
        entry: SocketAddr,
        /// What the connection said.
        cause: SmolStr,
    },
    /// The call may have taken effect.
    #[error("no whole answer came from the entry instance {entry}: {cause}")]
    NoAnswer {
        /// Its address.
        entry: SocketAddr,
        /// What the connection or the decoder said.
        cause: SmolStr,
    },
}

impl Client {
    /// Names the instance and the token.
    pub(crate) fn new(entry: SocketAddr, token: Option<String>) -> Self {
        Self {
            entry,
            token,
            team: None,
        }
    }

    /// Calls on behalf of a team.
    pub(crate) fn of_team(self, team: Option<TeamName>) -> Self {
        Self { team, ..self }
    }

    /// Reads; a call without an answer changed nothing.
    pub(crate) fn get(&self, path: &str) -> Result<Answer, Failure> {
        self.call(Method::Get, path, None)
            .map_err(|err| Failure::Unavailable(format_smolstr!("{err}")))
    }

    /// Calls once.
    pub(crate) fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, CallError> {
        let mut req = Request::new(method, format!("http://{}{path}", self.entry))
            .with_timeout(CALL_TIMEOUT_S)
            .with_follow_redirects(false)
            .with_max_headers_size(MAX_HEAD_BYTES)
            .with_max_status_line_length(MAX_HEAD_BYTES);
        if let Some(token) = &self.token {
            req = req.with_header("Authorization", format!("Bearer {token}"));
        }
        if let Some(team) = &self.team {
            req = req.with_header("Guavacart-Team", team.as_str());
        }
        if let Some(body) = body {
            req = req
                .with_header("Content-Type", "application/json")
                .with_body(body.to_string());
        }
        let answer = req.send_lazy().map_err(|err| self.broken(&err))?;
        let declared = declared_length(&answer.headers)
            .ok_or_else(|| self.no_answer("the answer states no length".into()))?;
        if declared > MAX_ANSWER_BYTES {
            return Err(self.no_answer(format_smolstr!("the answer has {declared} bytes")));
        }
        let status = answer.status_code;
        let mut bytes = Vec::new();
        answer
            .take(MAX_ANSWER_BYTES as u64)
            .read_to_end(&mut bytes)
            .map_err(|err| self.no_answer(format_smolstr!("{err}")))?;
        self.whole(status, declared, &bytes)
    }

    /// `minreq` takes a truncated answer for a whole one, so its length is checked here.
    fn whole(&self, status: u16, declared: usize, bytes: &[u8]) -> Result<Answer, CallError> {
        if bytes.len() != declared {
            let read = bytes.len();
            let cause = format_smolstr!("the answer has {read} of {declared} bytes");
            return Err(self.no_answer(cause));
        }
        let body = if bytes.is_empty() {
            Value::Null
        } else {
            serde_json::from_slice(bytes)
                .map_err(|err| self.no_answer(format_smolstr!("the answer is not JSON: {err}")))?
        };
        Ok(Answer { status, body })
    }

    fn broken(&self, err: &minreq::Error) -> CallError {
        let cause = format_smolstr!("{err}");
        let entry = self.entry;
        match err {
            minreq::Error::IoError(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                CallError::NotSent { entry, cause }
            }
            _ => CallError::NoAnswer { entry, cause },
        }
    }

    fn no_answer(&self, cause: SmolStr) -> CallError {
        let entry = self.entry;
        CallError::NoAnswer { entry, cause }
    }
}

fn declared_length(headers: &[(String, String)]) -> Option<usize> {
    let (_, length) = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
    length.trim().parse().ok()
}

impl Answer {
    /// The body of a call that succeeded, or why it did not.
    pub(crate) fn success(self) -> Result<Value, Failure> {
        match self.status {
            200..=299 => Ok(self.body),
            _ => Err(self.failure()),
        }
    }

    /// The failure that the status and the body tell.
    pub(crate) fn failure(&self) -> Failure {
        let text = self.explanation();
        let unknown = self.body.get("fate").and_then(Value::as_str) == Some("unknown");
        match self.status {
            504 => Failure::Unknown(text),
            503 if unknown => Failure::Unknown(text),
            503 => Failure::Unavailable(text),
            _ => Failure::Rejected(text),
        }
    }

    fn explanation(&self) -> SmolStr {
        let text = |key| self.body.get(key).and_then(Value::as_str);
        let named = text("key").or_else(|| text("outcome"));
        let reason = text("reason").or_else(|| text("detail"));
        let mut lines = match (named, reason) {
            (Some(named), Some(reason)) => format!("{named}: {reason}"),
            _ => format!("the entry instance answered with status {}", self.status),
        };
        for problem in self.list("problems") {
            let part = |key| problem.get(key).and_then(Value::as_str).unwrap_or("?");
            let (key, reason, remedy) = (part("key"), part("reason"), part("remedy"));
            lines.push_str(&format!("\n  {key}: {reason}; {remedy}"));
        }
        for key in self.list("changed") {
            let key = key.as_str().unwrap_or("?");
            lines.push_str(&format!("\n  changed since the base: {key}"));
        }
        SmolStr::from(lines)
    }

    fn list(&self, key: &str) -> &[Value] {
        let list = self.body.get(key).and_then(Value::as_array);
        list.map(Vec::as_slice).unwrap_or_default()
    }
}
