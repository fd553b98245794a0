//! The platform's store: items, leases, conditional writes and watches, as PROTOCOL describes them.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, quote};

struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Inner {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and the event as JSON.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"rev\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

impl Inner {
    fn put(&mut self, rev: u64, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.events
            .push((rev, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, rev: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"key\":{},\"rev\":{rev},\"deleted\":true}}", quote(key));
            self.events.push((rev, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
            let rev = self.rev;
            keys.iter().for_each(|key| self.remove(rev, key));
        }
        true
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    /// Writes a key for the operator or an executor.
    pub fn put(&self, key: &str, value: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.rev += 1;
        let rev = inner.rev;
        inner.put(rev, key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.rev += 1;
        let rev = inner.rev;
        inner.remove(rev, key);
        self.changed.notify_all();
    }

    /// The value of a key as it was written, in base64.
    pub fn raw(&self, key: &str) -> Option<String> {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        inner.items.get(key).map(|item| item.value.clone())
    }

    pub fn tick(&self) {
        let mut inner = self.inner.lock().unwrap();
        let before = inner.rev;
        inner.expire();
        if inner.rev != before {
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, req: &Request) -> Answer {
        let path = req.path.split('?').next().unwrap_or("");
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        let reply = |status, text: String| Answer::Reply(status, text);
        match (req.method.as_str(), path) {
            ("GET", "/-/kv-key") => {
                let key = req.query("key").unwrap_or_default();
                match inner.items.get(&key) {
                    Some(item) => reply(200, item_json(&key, item)),
                    None => reply(404, "{}".into()),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = req.query("prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let found = inner
                    .items
                    .range(prefix.clone()..)
                    .filter(|(key, _)| key.starts_with(&prefix));
                let found: Vec<_> = found
                    .filter(|(key, _)| after.is_empty() || **key > after)
                    .collect();
                let page: Vec<String> = found
                    .iter()
                    .take(500)
                    .map(|(k, i)| item_json(k, i))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"has-more\":{},\"at\":{}}}",
                    page.join(","),
                    found.len() > 500,
                    inner.rev
                );
                reply(200, text)
            }
            ("GET", "/-/kv-watch") => {
                let prefix = req.query("prefix").unwrap_or_default();
                let number = |name| {
                    req.query(name)
                        .and_then(|n| n.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let (after, wait) = (number("after"), number("wait-ms"));
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let new = inner
                        .events
                        .iter()
                        .rev()
                        .take_while(|(rev, ..)| *rev > after);
                    let mut new: Vec<String> = new
                        .filter(|(_, key, _)| key.starts_with(&prefix))
                        .map(|e| e.2.clone())
                        .collect();
                    new.reverse();
                    let now = Instant::now();
                    if !new.is_empty() || now >= end {
                        let text =
                            format!("{{\"events\":[{}],\"at\":{}}}", new.join(","), inner.rev);
                        return reply(200, text);
                    }
                    inner = self.changed.wait_timeout(inner, end - now).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let expected = body.get("expected-rev").list();
                let rev_of =
                    |inner: &Inner, key: &str| inner.items.get(key).map_or(0, |item| item.rev);
                if expected.iter().any(|row| {
                    rev_of(&inner, row.get("key").str()) != row.get("rev").num().unwrap_or(0)
                }) {
                    let items = expected.iter().map(|row| {
                        let key = row.get("key").str();
                        match inner.items.get(key) {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"key\":{},\"value\":\"\",\"rev\":0,\"created\":0,\"lease\":0}}",
                                quote(key)
                            ),
                        }
                    });
                    let items: Vec<String> = items.collect();
                    return reply(412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let (puts, remove) = (body.get("puts").list(), body.get("remove").list());
                if expected.len() + puts.len() + remove.len() > 32 {
                    return reply(400, "{}".into());
                }
                let lease_of = |row: &Json| row.get("lease").num().unwrap_or(0);
                if puts
                    .iter()
                    .any(|row| lease_of(row) != 0 && !inner.leases.contains_key(&lease_of(row)))
                {
                    return reply(404, "{}".into());
                }
                let keys = puts
                    .iter()
                    .map(|row| row.get("key").str())
                    .chain(remove.iter().map(Json::str));
                if keys
                    .clone()
                    .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
                {
                    return reply(403, "{}".into());
                }
                inner.rev += 1;
                let rev = inner.rev;
                for row in puts {
                    inner.put(
                        rev,
                        row.get("key").str(),
                        row.get("value").str().to_owned(),
                        lease_of(row),
                    );
                }
                for key in remove {
                    inner.remove(rev, key.str());
                }
                self.changed.notify_all();
                reply(200, format!("{{\"rev\":{rev}}}"))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = body.get("ttl-ms").num().unwrap_or(0).clamp(1_000, 600_000);
                inner.last_lease += 1;
                let id = inner.last_lease;
                let lease = Lease {
                    ttl: Duration::from_millis(ttl),
                    until: Instant::now() + Duration::from_millis(ttl),
                };
                inner.leases.insert(id, lease);
                reply(200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match inner.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        reply(
                            200,
                            format!("{{\"lease\":{id},\"ttl-ms\":{}}}", lease.ttl.as_millis()),
                        )
                    }
                    None => reply(404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let id = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                let ended = inner.end_lease(id);
                self.changed.notify_all();
                reply(if ended { 200 } else { 404 }, "{}".into())
            }
            _ => reply(404, "{}".into()),
        }
    }
}
