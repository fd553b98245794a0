//! Reads a settings file as optional values and converts them to [`Settings`].

use std::{collections::BTreeMap, net::SocketAddr};

use guavacart_types::{ByteSize, DataCentre, InstanceId, Span, TeamName};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use thiserror::Error;
use toml::de::DeTable;

use crate::{
    diagnostic::{Diagnostic, SettingsFault},
    section::{Environment, Located, ReadContext, Section},
    settings::{Access, Limits, Secret, Settings},
};

/// Minimum length of the key that peers share, in characters.
const SHORTEST_PEER_KEY: usize = 16;
/// Minimum length of a token, in characters.
const SHORTEST_TOKEN: usize = 8;

// Descriptions of the values that keys accept, for diagnostics.
const ID: &str = "a string of letters, digits, '.', '_', ':' and '-', such as \"e1\"";
const ADDRESS: &str = "an IP number and port, such as \"127.0.0.1:0\"";
const SPAN: &str = "a time span greater than zero, such as \"250ms\" or \"5s\"";
const SIZE: &str = "a size greater than zero, such as \"16KiB\" or \"1MiB\"";
const COUNT: &str = "a whole number from 1 to 4294967295";
const LINGER: &str = "a time span, such as \"3s\", or \"0ms\" to stop accepting requests at once";
const SECRET: &str = "a string, or { env = \"NAME\" }";

/// How long a stopping instance continues to accept requests if the settings do not specify
/// `linger`.
const DEFAULT_LINGER: Span = Span::secs(3);

/// The values of a settings file; `None` means that the key is absent or its value is invalid.
#[derive(Clone, Debug, Default)]
pub struct SettingsOptions {
    instance: Option<InstanceId>,
    data_centre: Option<DataCentre>,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    store: Option<SocketAddr>,
    instance_list: Option<SocketAddr>,
    linger: Option<Span>,
    metrics: Option<SocketAddr>,
    limits: LimitsOptions,
    access: AccessOptions,
}

/// The `limits` table.
#[derive(Clone, Copy, Debug, Default)]
struct LimitsOptions {
    head: Option<ByteSize>,
    body: Option<ByteSize>,
    connections: Option<u32>,
    head_time: Option<Span>,
    body_time: Option<Span>,
}

/// The `access` table.
#[derive(Clone, Debug, Default)]
struct AccessOptions {
    peer_key: Option<Located<Secret>>,
    reader: Option<Located<Secret>>,
    writer: Option<Located<Secret>>,
    teams: Vec<(TeamName, Located<Secret>)>,
}

/// All faults of a settings file, in order of place.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the settings have {} faults", diagnostics.len())]
pub struct SettingsError {
    /// One diagnostic for each fault.
    pub diagnostics: Vec<Diagnostic>,
}

impl Settings {
    /// Reads the text of a settings file. Looks up in `environment` the secrets for which the file
    /// names an environment variable.
    ///
    /// # Errors
    /// Returns all faults of the text.
    pub fn read(text: &str, environment: Environment<'_>) -> Result<Self, SettingsError> {
        let mut cx = ReadContext {
            text,
            environment,
            diagnostics: Vec::new(),
        };
        let settings = SettingsOptions::read(&mut cx).and_then(SettingsOptions::into_settings);
        let mut diagnostics = cx.diagnostics;
        diagnostics.sort_by(|a, b| (a.place, &a.key).cmp(&(b.place, &b.key)));
        match settings {
            Some(settings) if diagnostics.is_empty() => Ok(settings),
            _ => Err(SettingsError { diagnostics }),
        }
    }
}

impl SettingsOptions {
    /// Reads the options; `None` if the text is not valid TOML.
    fn read(cx: &mut ReadContext<'_>) -> Option<Self> {
        let (table, errors) = DeTable::parse_recoverable(cx.text);
        for err in &errors {
            let cause = err.message().to_smolstr();
            let span = err.span().unwrap_or(0..0);
            cx.report(SmolStr::default(), &span, SettingsFault::Syntax { cause });
        }
        if !errors.is_empty() {
            return None;
        }
        let mut root = Section::root(&table);
        let limits = root.section(cx, "limits");
        let access = root.section(cx, "access");
        let options = Self {
            instance: root.required(cx, "instance", ID),
            data_centre: root.required(cx, "data_centre", ID),
            callers: root.required(cx, "callers", ADDRESS),
            peers: root.required(cx, "peers", ADDRESS),
            store: root.required(cx, "store", ADDRESS),
            instance_list: root.required(cx, "instance_list", ADDRESS),
            linger: root.parsed(cx, "linger", LINGER),
            metrics: root.parsed(cx, "metrics", ADDRESS),
            limits: LimitsOptions::read(cx, limits),
            access: AccessOptions::read(cx, access),
        };
        root.report_unknown_keys(cx);
        Some(options)
    }

    /// Returns the settings, or `None` if a required key is absent or invalid, which [`Self::read`]
    /// has already reported.
    fn into_settings(self) -> Option<Settings> {
        Some(Settings {
            instance: self.instance?,
            data_centre: self.data_centre?,
            callers: self.callers?,
            peers: self.peers?,
            store: self.store?,
            instance_list: self.instance_list?,
            limits: self.limits.into(),
            access: self.access.into_access()?,
            linger: self.linger.unwrap_or(DEFAULT_LINGER),
            metrics: self.metrics,
        })
    }
}

impl LimitsOptions {
    fn read(cx: &mut ReadContext<'_>, mut section: Section<'_, '_>) -> Self {
        let options = Self {
            head: section.positive(cx, "head", SIZE),
            body: section.positive(cx, "body", SIZE),
            connections: section.count(cx, "connections", COUNT),
            head_time: section.positive(cx, "head_time", SPAN),
            body_time: section.positive(cx, "body_time", SPAN),
        };
        section.report_unknown_keys(cx);
        options
    }
}

impl From<LimitsOptions> for Limits {
    fn from(options: LimitsOptions) -> Self {
        let default = Self::default();
        Self {
            head: options.head.unwrap_or(default.head),
            body: options.body.unwrap_or(default.body),
            connections: options.connections.unwrap_or(default.connections),
            head_time: options.head_time.unwrap_or(default.head_time),
            body_time: options.body_time.unwrap_or(default.body_time),
        }
    }
}

impl AccessOptions {
    fn read(cx: &mut ReadContext<'_>, mut section: Section<'_, '_>) -> Self {
        section.require(cx, "peer_key", SECRET);
        let teams = section.section(cx, "teams");
        let options = Self {
            peer_key: section.secret(cx, "peer_key", SHORTEST_PEER_KEY),
            reader: section.secret(cx, "reader", SHORTEST_TOKEN),
            writer: section.secret(cx, "writer", SHORTEST_TOKEN),
            teams: teams.secrets(cx, SHORTEST_TOKEN, ID),
        };
        section.report_unknown_keys(cx);
        options.report_shared_secrets(cx);
        options
    }

    /// Reports secrets that are used for more than one key: the holder of one key could then act as
    /// the holder of the other.
    fn report_shared_secrets(&self, cx: &mut ReadContext<'_>) {
        let mut seen: Vec<(SmolStr, &Secret)> = Vec::new();
        for (key, secret) in self.secrets_by_key() {
            let duplicate = seen.iter().find(|(_, earlier)| **earlier == secret.value);
            if let Some((other, _)) = duplicate {
                let other = other.clone();
                cx.diagnostics.push(Diagnostic {
                    key,
                    place: secret.place,
                    fault: SettingsFault::SharedSecret { other },
                });
                continue;
            }
            seen.push((key, &secret.value));
        }
    }

    fn secrets_by_key(&self) -> impl Iterator<Item = (SmolStr, &Located<Secret>)> {
        let fixed = [
            ("access.peer_key", &self.peer_key),
            ("access.reader", &self.reader),
            ("access.writer", &self.writer),
        ];
        let fixed = fixed
            .into_iter()
            .filter_map(|(key, secret)| Some((SmolStr::new(key), secret.as_ref()?)));
        let teams = self
            .teams
            .iter()
            .map(|(team, secret)| (format_smolstr!("access.teams.{team}"), secret));
        fixed.chain(teams)
    }

    fn into_access(self) -> Option<Access> {
        let teams: BTreeMap<_, _> = self
            .teams
            .into_iter()
            .map(|(team, secret)| (team, secret.value))
            .collect();
        Some(Access {
            peer_key: self.peer_key?.value,
            teams,
            reader: self.reader.map(|secret| secret.value),
            writer: self.writer.map(|secret| secret.value),
        })
    }
}
