//! The store over HTTP/1.1, one connection a call.

use std::{net::SocketAddr, time::Duration};

use guavacart_types::Revision;
use minreq::{Method, Response};
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    plain_http::{CallError, Outgoing, call, revision, unexpected},
    store::{Entry, MAX_VALUE_BYTES, Store, StoreError, Swapped, Versioned},
    traffic::Traffic,
};

/// Time that a watch may take beyond the wait that it asked for.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Client of the platform's store.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
    traffic: Traffic,
}

/// One line of a range.
#[derive(Deserialize)]
struct EntryWire {
    key: SmolStr,
    revision: Revision,
    value: String,
}

impl HttpStore {
    /// Speaks to the store at `address`; each call ends within `timeout`, in whole seconds.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        let traffic = Traffic::default();
        Self {
            address,
            timeout,
            traffic,
        }
    }

    /// What its calls have carried, those of its clones included.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn get_from(&self, path: &str) -> Outgoing {
        Outgoing::bodiless(Method::Get, self.url(path))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn swap(&self, key: &str, req: Outgoing) -> Result<Swapped, StoreError> {
        let res = call(req, self.timeout, &self.traffic).map_err(|err| error(key, err))?;
        let swapped = match res.status_code {
            200 => revision(&res).map(Swapped::Written),
            409 => revision(&res).map(Swapped::Conflict),
            404 => Ok(Swapped::Conflict(Revision(0))),
            413 => {
                return Err(StoreError::TooLarge {
                    key: key.into(),
                    len: 0,
                    limit: MAX_VALUE_BYTES,
                });
            }
            _ => Err(unexpected(&res)),
        };
        swapped.map_err(|err| error(key, err))
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let req = self.get_from(&format!("/v1/kv/{key}"));
        let res = call(req, self.timeout, &self.traffic).map_err(|err| error(key, err))?;
        let found = match res.status_code {
            200 => versioned(res).map(Some),
            404 => Ok(None),
            _ => Err(unexpected(&res)),
        };
        found.map_err(|err| error(key, err))
    }

    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<Swapped, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                key: key.into(),
                len: value.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        let url = self.url(&format!("/v1/kv/{key}?expect={expect}"));
        self.swap(key, Outgoing::put(url, value))
    }

    fn delete(&self, key: &str, expect: Revision) -> Result<Swapped, StoreError> {
        let url = self.url(&format!("/v1/kv/{key}?expect={expect}"));
        self.swap(key, Outgoing::bodiless(Method::Delete, url))
    }

    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError> {
        let path = format!("/v1/range?prefix={prefix}&after={after}&limit={limit}");
        let req = self.get_from(&path);
        let res = call(req, self.timeout, &self.traffic).map_err(|err| error(prefix, err))?;
        let entries = match res.status_code {
            200 => entries(&res),
            _ => Err(unexpected(&res)),
        };
        entries.map_err(|err| error(prefix, err))
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let wait_ms = wait.as_millis();
        let req = self.get_from(&format!("/v1/watch/{key}?after={after}&wait_ms={wait_ms}"));
        let res = call(req, wait + WATCH_SLACK, &self.traffic).map_err(|err| error(key, err))?;
        let found = match res.status_code {
            200 => versioned(res).map(Some),
            304 => Ok(None),
            _ => Err(unexpected(&res)),
        };
        found.map_err(|err| error(key, err))
    }
}

fn error(key: &str, err: CallError) -> StoreError {
    let key = key.into();
    match err {
        CallError::Unavailable(cause) => StoreError::Unavailable { key, cause },
        CallError::Unknown(cause) => StoreError::Unknown { key, cause },
    }
}

fn versioned(res: Response) -> Result<Versioned, CallError> {
    let revision = revision(&res)?;
    let value = res.into_bytes();
    Ok(Versioned { value, revision })
}

fn entries(res: &Response) -> Result<Vec<Entry>, CallError> {
    let lines: Vec<EntryWire> = serde_json::from_slice(res.as_bytes())
        .map_err(|err| CallError::Unknown(format_smolstr!("{err}")))?;
    lines.into_iter().map(Entry::try_from).collect()
}

impl TryFrom<EntryWire> for Entry {
    type Error = CallError;

    fn try_from(line: EntryWire) -> Result<Self, CallError> {
        let EntryWire {
            key,
            revision,
            value,
        } = line;
        let value = decode_hex(&value).ok_or_else(|| {
            CallError::Unknown(format_smolstr!(
                "the value of {key} in the range is not hex"
            ))
        })?;
        let versioned = Versioned { value, revision };
        Ok(Self { key, versioned })
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |c: &u8| char::from(*c).to_digit(16);
    text.as_bytes()
        .chunks(2)
        .map(|pair| match pair {
            [high, low] => u8::try_from(digit(high)? * 16 + digit(low)?).ok(),
            _ => None,
        })
        .collect()
}
