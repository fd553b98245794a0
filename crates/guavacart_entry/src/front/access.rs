//! Access checks by bearer token; tokens are compared in constant time.
//!
//! Every check passes if the settings contain no token at all.

use guavacart_config::{Access, Secret};
use guavacart_types::TeamName;
use hyper::{HeaderMap, header::AUTHORIZATION};
use subtle::ConstantTimeEq;

/// The prefix of the token in the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// Returns true if the settings contain any token.
pub(super) fn has_any_token(access: &Access) -> bool {
    !access.teams.is_empty() || access.reader.is_some() || access.writer.is_some()
}

/// Returns true if the headers carry the team's token, or if no team has a token.
pub(super) fn may_act_for_team(access: &Access, headers: &HeaderMap, team: &TeamName) -> bool {
    if access.teams.is_empty() {
        return true;
    }
    let token = access.teams.get(team);
    token.is_some_and(|token| matches_token(headers, token))
}

/// Returns true if the headers carry the token of any team, the reader or the writer, or if no
/// token is set.
pub(super) fn may_read_jobs(access: &Access, headers: &HeaderMap) -> bool {
    may_read(access, headers)
        || access
            .teams
            .values()
            .any(|token| matches_token(headers, token))
}

/// Returns true if the headers carry the reader's or the writer's token, or if no token is set.
pub(super) fn may_read(access: &Access, headers: &HeaderMap) -> bool {
    let mut tokens = access.reader.iter().chain(&access.writer);
    !has_any_token(access) || tokens.any(|token| matches_token(headers, token))
}

/// Returns true if the headers carry the writer's token, or if no token is set.
pub(super) fn may_write(access: &Access, headers: &HeaderMap) -> bool {
    let mut writer = access.writer.iter();
    !has_any_token(access) || writer.any(|token| matches_token(headers, token))
}

/// Returns true if the headers carry `token`.
fn matches_token(headers: &HeaderMap, token: &Secret) -> bool {
    let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix(SCHEME)).unwrap_or("");
    bool::from(given.as_bytes().ct_eq(token.as_bytes()))
}
