//! HTTP client for the operators' API of an entry instance.

use std::{
    io::{self, Read},
    net::SocketAddr,
};

use guavacart_types::TeamName;
use minreq::{Method, Request};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::exit::Failure;

/// Time limit of one call, in seconds.
const CALL_TIMEOUT_S: u64 = 15;
/// Largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Largest status line, and largest header section, that is accepted in a response, in bytes.
const MAX_HEADERS_BYTES: usize = 64 << 10;

/// Calls one entry instance with one access token.
pub(crate) struct Client {
    entry: SocketAddr,
    token: Option<String>,
    team: Option<TeamName>,
}

/// A response whose body was received completely.
pub(crate) struct Response {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The JSON body; null if the body is empty.
    pub(crate) body: Value,
}

/// Why a call brought no complete response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The connection was refused, so no byte of the call was sent.
    #[error(
        "the entry instance {entry} cannot be reached: {cause}; check the address and that the \
         instance runs"
    )]
    NotSent {
        /// Address of the instance.
        entry: SocketAddr,
        /// The error of the connection.
        cause: SmolStr,
    },
    /// No complete response was received. The call may have taken effect.
    #[error("no complete response from the entry instance {entry}: {cause}")]
    NoResponse {
        /// Address of the instance.
        entry: SocketAddr,
        /// The error of the connection or of decoding the response.
        cause: SmolStr,
    },
}

impl Client {
    /// Creates a client for an instance. Without a token, calls carry no `Authorization` header.
    pub(crate) fn new(entry: SocketAddr, token: Option<String>) -> Self {
        Self {
            entry,
            token,
            team: None,
        }
    }

    /// Makes the client call on behalf of a team, if one is given.
    pub(crate) fn with_team(self, team: Option<TeamName>) -> Self {
        Self { team, ..self }
    }

    /// Makes a GET call. It changes nothing, so a missing response is reported as unavailable.
    pub(crate) fn get(&self, path: &str) -> Result<Response, Failure> {
        self.call(Method::Get, path, None)
            .map_err(|err| Failure::Unavailable(format_smolstr!("{err}; repeat the command")))
    }

    /// Makes one call, without retries.
    pub(crate) fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, CallError> {
        let mut req = Request::new(method, format!("http://{}{path}", self.entry))
            .with_timeout(CALL_TIMEOUT_S)
            .with_follow_redirects(false)
            .with_max_headers_size(MAX_HEADERS_BYTES)
            .with_max_status_line_length(MAX_HEADERS_BYTES);
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
        let response = req.send_lazy().map_err(|err| self.connection_error(&err))?;
        let declared = content_length(&response.headers)
            .ok_or_else(|| self.no_response("the response has no valid Content-Length".into()))?;
        if declared > MAX_RESPONSE_BYTES {
            return Err(self.no_response(format_smolstr!(
                "the response has {declared} bytes, above the limit of {MAX_RESPONSE_BYTES}"
            )));
        }
        let status = response.status_code;
        let mut bytes = Vec::new();
        response
            .take(MAX_RESPONSE_BYTES as u64)
            .read_to_end(&mut bytes)
            .map_err(|err| self.no_response(format_smolstr!("{err}")))?;
        self.decode(status, declared, &bytes)
    }

    /// Decodes a response body. `minreq` returns a truncated body without an error, so its length
    /// is checked here.
    fn decode(&self, status: u16, declared: usize, bytes: &[u8]) -> Result<Response, CallError> {
        if bytes.len() != declared {
            let read = bytes.len();
            let cause = format_smolstr!("received {read} of {declared} bytes of the response");
            return Err(self.no_response(cause));
        }
        let body = if bytes.is_empty() {
            Value::Null
        } else {
            serde_json::from_slice(bytes).map_err(|err| {
                self.no_response(format_smolstr!("the response is not valid JSON: {err}"))
            })?
        };
        Ok(Response { status, body })
    }

    /// Converts an error of the connection. Only a refused connection means that nothing was sent.
    fn connection_error(&self, err: &minreq::Error) -> CallError {
        let cause = format_smolstr!("{err}");
        let entry = self.entry;
        match err {
            minreq::Error::IoError(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                CallError::NotSent { entry, cause }
            }
            _ => CallError::NoResponse { entry, cause },
        }
    }

    fn no_response(&self, cause: SmolStr) -> CallError {
        let entry = self.entry;
        CallError::NoResponse { entry, cause }
    }
}

fn content_length(headers: &[(String, String)]) -> Option<usize> {
    let (_, length) = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
    length.trim().parse().ok()
}

impl Response {
    /// Returns the body if the call succeeded, else why it failed.
    pub(crate) fn success(self) -> Result<Value, Failure> {
        match self.status {
            200..=299 => Ok(self.body),
            _ => Err(self.failure()),
        }
    }

    /// Returns the failure that corresponds to the status and the body.
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

    /// Returns the explanation in the body, followed by the problems and changed keys listed there.
    fn explanation(&self) -> SmolStr {
        let text = |key| self.body.get(key).and_then(Value::as_str);
        let named = text("key").or_else(|| text("outcome"));
        let reason = text("reason").or_else(|| text("detail"));
        let mut lines = match (named, reason) {
            (Some(named), Some(reason)) => format!("{named}: {reason}"),
            _ => format!(
                "the entry instance responded with HTTP status {} and no explanation",
                self.status
            ),
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

    /// Returns the elements of a list in the body; none if the body has no such list.
    fn list(&self, key: &str) -> &[Value] {
        let list = self.body.get(key).and_then(Value::as_array);
        list.map(Vec::as_slice).unwrap_or_default()
    }
}
