//! Who may do what: tokens, compared in constant time.

use guavacart_config::{Access, Secret};
use guavacart_types::TeamName;
use hyper::{HeaderMap, header::AUTHORIZATION};
use subtle::ConstantTimeEq;

/// What comes before the token.
const SCHEME: &str = "Bearer ";

/// True if any token is set at all.
pub(super) fn is_guarded(access: &Access) -> bool {
    !access.teams.is_empty() || access.reader.is_some() || access.writer.is_some()
}

/// True if the headers carry the team's token, or no team has one.
pub(super) fn is_team(access: &Access, headers: &HeaderMap, team: &TeamName) -> bool {
    if access.teams.is_empty() {
        return true;
    }
    let token = access.teams.get(team);
    token.is_some_and(|token| carries(headers, token))
}

/// True if the headers carry the token of any team, a reader or a writer, or none is set.
pub(super) fn is_anyone(access: &Access, headers: &HeaderMap) -> bool {
    is_reader(access, headers) || access.teams.values().any(|token| carries(headers, token))
}

/// True if the headers carry a reader's or the writer's token, or no token is set at all.
pub(super) fn is_reader(access: &Access, headers: &HeaderMap) -> bool {
    let mut tokens = access.reader.iter().chain(&access.writer);
    !is_guarded(access) || tokens.any(|token| carries(headers, token))
}

/// True if the headers carry the writer's token, or no token is set at all.
pub(super) fn is_writer(access: &Access, headers: &HeaderMap) -> bool {
    let mut writer = access.writer.iter();
    !is_guarded(access) || writer.any(|token| carries(headers, token))
}

fn carries(headers: &HeaderMap, token: &Secret) -> bool {
    let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix(SCHEME)).unwrap_or("");
    bool::from(given.as_bytes().ct_eq(token.as_bytes()))
}
