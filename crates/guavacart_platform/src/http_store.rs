//! Client for the platform's store over HTTP/1.1, with one connection for each call.

use std::{net::SocketAddr, time::Duration};

use guavacart_types::Revision;
use minreq::{Method, Response};
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    blocking_http::{CallError, OutgoingRequest, call, revision_header, unexpected_status},
    store::{Entry, MAX_VALUE_BYTES, Store, StoreError, Versioned, WriteResult},
    traffic::Traffic,
};

/// Time that a watch may take in addition to the requested wait.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Client for the platform's store; clones share the traffic counters.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
    traffic: Traffic,
}

/// One entry of the response to a range call.
#[derive(Deserialize)]
struct EntryWire {
    key: SmolStr,
    revision: Revision,
    /// The bytes of the value in hex.
    value: String,
}

impl HttpStore {
    /// Creates a client for the store at `address`.
    ///
    /// Each call ends within `timeout`, rounded up to whole seconds; a watch ends shortly after its wait.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        let traffic = Traffic::default();
        Self {
            address,
            timeout,
            traffic,
        }
    }

    /// Returns the bytes sent and received by this client and its clones.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn get_request(&self, path: &str) -> OutgoingRequest {
        OutgoingRequest::without_body(Method::Get, self.url(path))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn write_if(&self, key: &str, req: OutgoingRequest) -> Result<WriteResult, StoreError> {
        let res = call(req, self.timeout, &self.traffic).map_err(|err| store_error(key, err))?;
        let swapped = match res.status_code {
            200 => revision_header(&res).map(WriteResult::Written),
            409 => revision_header(&res).map(WriteResult::Conflict),
            404 => Ok(WriteResult::Conflict(Revision(0))),
            413 => {
                return Err(StoreError::TooLarge {
                    key: key.into(),
                    len: 0,
                    limit: MAX_VALUE_BYTES,
                });
            }
            _ => Err(unexpected_status(&res)),
        };
        swapped.map_err(|err| store_error(key, err))
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let req = self.get_request(&format!("/v1/kv/{key}"));
        let res = call(req, self.timeout, &self.traffic).map_err(|err| store_error(key, err))?;
        let found = match res.status_code {
            200 => versioned(res).map(Some),
            404 => Ok(None),
            _ => Err(unexpected_status(&res)),
        };
        found.map_err(|err| store_error(key, err))
    }

    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<WriteResult, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                key: key.into(),
                len: value.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        let url = self.url(&format!("/v1/kv/{key}?expect={expect}"));
        self.write_if(key, OutgoingRequest::put(url, value))
    }

    fn delete(&self, key: &str, expect: Revision) -> Result<WriteResult, StoreError> {
        let url = self.url(&format!("/v1/kv/{key}?expect={expect}"));
        self.write_if(key, OutgoingRequest::without_body(Method::Delete, url))
    }

    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError> {
        let path = format!("/v1/range?prefix={prefix}&after={after}&limit={limit}");
        let req = self.get_request(&path);
        let res = call(req, self.timeout, &self.traffic).map_err(|err| store_error(prefix, err))?;
        let entries = match res.status_code {
            200 => entries(&res),
            _ => Err(unexpected_status(&res)),
        };
        entries.map_err(|err| store_error(prefix, err))
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let wait_ms = wait.as_millis();
        let req = self.get_request(&format!("/v1/watch/{key}?after={after}&wait_ms={wait_ms}"));
        let res =
            call(req, wait + WATCH_SLACK, &self.traffic).map_err(|err| store_error(key, err))?;
        let found = match res.status_code {
            200 => versioned(res).map(Some),
            304 => Ok(None),
            _ => Err(unexpected_status(&res)),
        };
        found.map_err(|err| store_error(key, err))
    }
}

fn store_error(key: &str, err: CallError) -> StoreError {
    let key = key.into();
    match err {
        CallError::Unavailable(cause) => StoreError::Unavailable { key, cause },
        CallError::Unknown(cause) => StoreError::Unknown { key, cause },
    }
}

fn versioned(res: Response) -> Result<Versioned, CallError> {
    let revision = revision_header(&res)?;
    let value = res.into_bytes();
    Ok(Versioned { value, revision })
}

fn entries(res: &Response) -> Result<Vec<Entry>, CallError> {
    let entries: Vec<EntryWire> = serde_json::from_slice(res.as_bytes())
        .map_err(|err| CallError::Unknown(format_smolstr!("{err}")))?;
    entries.into_iter().map(Entry::try_from).collect()
}

impl TryFrom<EntryWire> for Entry {
    type Error = CallError;

    fn try_from(wire: EntryWire) -> Result<Self, CallError> {
        let EntryWire {
            key,
            revision,
            value,
        } = wire;
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
