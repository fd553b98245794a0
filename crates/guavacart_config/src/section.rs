//! Reads the keys of a TOML table and collects all faults.

use std::{fmt::Display, ops::Range, str::FromStr};

use smol_str::{SmolStr, format_smolstr};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    diagnostic::{Diagnostic, Place, SettingsFault},
    settings::Secret,
};

/// A function that returns the value of an environment variable, or `None` if it is not set.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// A value and its place in the file.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) place: Place,
}

/// The text of the file that is read, the environment, and the faults found so far.
pub(crate) struct ReadContext<'a> {
    pub(crate) text: &'a str,
    pub(crate) environment: Environment<'a>,
    pub(crate) diagnostics: Vec<Diagnostic>,
}

impl ReadContext<'_> {
    /// Adds a diagnostic for `key`, at the place where `span` starts.
    pub(crate) fn report(&mut self, key: SmolStr, span: &Range<usize>, fault: SettingsFault) {
        let place = Place::of(self.text, span);
        self.diagnostics.push(Diagnostic { key, place, fault });
    }
}

/// One table of the file, with the names of the keys that the program knows in it.
pub(crate) struct Section<'t, 'i> {
    name: SmolStr,
    table: Option<&'t DeTable<'i>>,
    span: Range<usize>,
    known: Vec<&'static str>,
}

impl<'t, 'i> Section<'t, 'i> {
    /// Returns the section for the top level of the file.
    pub(crate) fn root(table: &'t Spanned<DeTable<'i>>) -> Self {
        Self {
            name: SmolStr::default(),
            table: Some(table.get_ref()),
            span: 0..0,
            known: Vec::new(),
        }
    }

    /// Returns the section for the table under `key`; it is empty if the table is absent.
    pub(crate) fn section(&mut self, cx: &mut ReadContext<'_>, key: &'static str) -> Self {
        let name = self.path(key);
        let found = self.get_known(key);
        let span = found.map_or(self.span.clone(), Spanned::span);
        let table = found.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                let found = other.type_str();
                let expected = "a table";
                cx.report(name.clone(), &span, SettingsFault::Type { found, expected });
                None
            }
        });
        Self {
            name,
            table,
            span,
            known: Vec::new(),
        }
    }

    /// Reads a string and parses it as `T`. Returns `None` if the key is absent, and reports an
    /// invalid value.
    pub(crate) fn parsed<T>(
        &mut self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.get_known(key)?;
        let fault = match value.get_ref() {
            DeValue::String(text) => match text.parse() {
                Ok(parsed) => return Some(parsed),
                Err(err) => SettingsFault::Value {
                    cause: format_smolstr!("{text:?} cannot be read: {err}"),
                    expected,
                },
            },
            other => SettingsFault::Type {
                found: other.type_str(),
                expected,
            },
        };
        cx.report(self.path(key), &value.span(), fault);
        None
    }

    /// Like [`Self::parsed`], but also reports an absent key.
    pub(crate) fn required<T>(
        &mut self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        self.require(cx, key, expected);
        self.parsed(cx, key, expected)
    }

    /// Like [`Self::parsed`], but also reports a value of zero.
    pub(crate) fn positive<T>(
        &mut self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T>
    where
        T: FromStr<Err: Display> + Default + PartialEq,
    {
        let value: T = self.parsed(cx, key, expected)?;
        self.nonzero(cx, key, expected, value)
    }

    /// Reads an integer greater than zero.
    pub(crate) fn count(
        &mut self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<u32> {
        let value = self.get_known(key)?;
        let fault = match value.get_ref() {
            DeValue::Integer(digits) => {
                match u32::from_str_radix(digits.as_str(), digits.radix()) {
                    Ok(count) => return self.nonzero(cx, key, expected, count),
                    Err(err) => SettingsFault::Value {
                        cause: format_smolstr!("{digits} cannot be read: {err}"),
                        expected,
                    },
                }
            }
            other => SettingsFault::Type {
                found: other.type_str(),
                expected,
            },
        };
        cx.report(self.path(key), &value.span(), fault);
        None
    }

    /// Reads a secret, written as a string or as `{ env = "NAME" }` with the name of an environment
    /// variable.
    pub(crate) fn secret(
        &mut self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        shortest: usize,
    ) -> Option<Located<Secret>> {
        let value = self.get_known(key)?;
        let path = self.path(key);
        read_secret(cx, path, value, shortest)
    }

    /// Reads all keys and secrets of a table whose keys are names, such as names of teams.
    pub(crate) fn secrets<K>(
        self,
        cx: &mut ReadContext<'_>,
        shortest: usize,
        expected: &'static str,
    ) -> Vec<(K, Located<Secret>)>
    where
        K: FromStr<Err: Display>,
    {
        let mut secrets = Vec::new();
        for (name, value) in self.table.into_iter().flatten() {
            let path = self.path(name.get_ref());
            let secret = read_secret(cx, path.clone(), value, shortest);
            match name.get_ref().parse() {
                Ok(key) => secrets.extend(secret.map(|secret| (key, secret))),
                Err(err) => {
                    let cause = format_smolstr!("the key cannot be read: {err}");
                    cx.report(path, &name.span(), SettingsFault::Value { cause, expected });
                }
            }
        }
        secrets
    }

    /// Reports `key` if it is absent.
    pub(crate) fn require(
        &mut self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        expected: &'static str,
    ) {
        if self.get(key).is_none() {
            let path = self.path(key);
            cx.report(path, &self.span, SettingsFault::Missing { expected });
        }
    }

    /// Reports the keys that are unknown: those that no method of this section has read.
    pub(crate) fn report_unknown_keys(self, cx: &mut ReadContext<'_>) {
        let known = SmolStr::from(self.known.join(", "));
        for (name, _) in self.table.into_iter().flatten() {
            if !self.known.contains(&name.get_ref().as_ref()) {
                let known = known.clone();
                let path = self.path(name.get_ref());
                cx.report(path, &name.span(), SettingsFault::UnknownKey { known });
            }
        }
    }

    fn nonzero<T: Default + PartialEq>(
        &self,
        cx: &mut ReadContext<'_>,
        key: &'static str,
        expected: &'static str,
        value: T,
    ) -> Option<T> {
        if value != T::default() {
            return Some(value);
        }
        let span = self.get(key).map_or(self.span.clone(), Spanned::span);
        cx.report(self.path(key), &span, SettingsFault::Zero { expected });
        None
    }

    fn get(&self, key: &str) -> Option<&'t Spanned<DeValue<'i>>> {
        self.table?.get(key)
    }

    /// Returns the value of `key` and adds the key to the known ones.
    fn get_known(&mut self, key: &'static str) -> Option<&'t Spanned<DeValue<'i>>> {
        self.known.push(key);
        self.get(key)
    }

    /// Returns the path of `key`, including the name of the section.
    fn path(&self, key: &str) -> SmolStr {
        if self.name.is_empty() {
            return SmolStr::new(key);
        }
        format_smolstr!("{}.{key}", self.name)
    }
}

fn read_secret(
    cx: &mut ReadContext<'_>,
    key: SmolStr,
    value: &Spanned<DeValue<'_>>,
    shortest: usize,
) -> Option<Located<Secret>> {
    let span = value.span();
    let usable = |text: &str| text.len() >= shortest && text.bytes().all(|b| b.is_ascii_graphic());
    let fault = match secret_text(cx.environment, value.get_ref()) {
        Ok(text) if usable(&text) => {
            return Some(Located {
                value: Secret::new(&text),
                place: Place::of(cx.text, &span),
            });
        }
        Ok(_) => SettingsFault::Secret { shortest },
        Err(fault) => fault,
    };
    cx.report(key, &span, fault);
    None
}

fn secret_text(environment: Environment<'_>, value: &DeValue<'_>) -> Result<String, SettingsFault> {
    let expected = "a string, or { env = \"NAME\" }";
    let name = match value {
        DeValue::String(text) => return Ok(text.clone().into_owned()),
        DeValue::Table(table) if table.len() == 1 => table.get("env").map(Spanned::get_ref),
        _ => None,
    };
    match name {
        Some(DeValue::String(name)) => {
            environment(name).ok_or_else(|| SettingsFault::Environment {
                name: SmolStr::new(name),
            })
        }
        _ => Err(SettingsFault::Type {
            found: value.type_str(),
            expected,
        }),
    }
}
