//! The platform's store, as the page PROTOCOL describes it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    cluster::ip,
    http::{Reply, Request, Server},
    json::{Json, base64, map, n, s},
};

struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Data {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Changes: revision, key, and the item as it was written, or none for a removal.
    history: Vec<(u64, String, Option<Json>)>,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    /// The node that last wrote under a condition.
    last_writer: Mutex<Option<usize>>,
}

fn item_json(key: &str, item: &Item) -> Json {
    map([
        ("key", s(key)),
        ("value", s(&item.value)),
        ("rev", n(item.rev)),
        ("created", n(item.created)),
        ("lease", n(item.lease)),
    ])
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.history.push((self.rev, key.to_owned(), Some(item_json(key, &item))));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

impl Store {
    pub fn start() -> Arc<Store> {
        let data = Data {
            rev: 1,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: Vec::new(),
        };
        Arc::new(Store { data: Mutex::new(data), changed: Condvar::new(), last_writer: Mutex::default() })
    }

    /// Serves one node, at a port of its own.
    pub fn serve(self: &Arc<Self>, node: usize) -> std::io::Result<Server> {
        let serving = Arc::clone(self);
        let address = format!("{}:0", ip(1)).parse().unwrap();
        Server::start(address, move |req| {
            if req.path == "/-/kv-txn" {
                *serving.last_writer.lock().unwrap() = Some(node);
            }
            serving.respond(req)
        })
    }

    pub fn last_writer(&self) -> Option<usize> {
        *self.last_writer.lock().unwrap()
    }

    /// Writes as the operator or an executor.
    pub fn write(&self, key: &str, value: &str) {
        let mut data = self.data.lock().unwrap();
        data.rev += 1;
        data.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.rev += 1;
        data.remove(key);
        self.changed.notify_all();
    }

    fn respond(&self, req: &Request) -> Reply {
        let mut data = self.data.lock().unwrap();
        data.end_leases();
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let query = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        if req.path.starts_with("/-/kv-keep/") || req.path.starts_with("/-/kv-lease-end/") {
            let id = req.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            let is_known = if req.method == "DELETE" {
                data.end_lease(id)
            } else if let Some(lease) = data.leases.get_mut(&id) {
                lease.ends = Instant::now() + lease.ttl;
                true
            } else {
                false
            };
            self.changed.notify_all();
            return Some(if is_known { (200, "{}".into()) } else { (404, "{}".into()) });
        }
        match req.path.as_str() {
            "/-/kv-key" => {
                let key = query("key");
                let at = data.rev;
                Some(match data.items.get(&key) {
                    None => (404, "{}".into()),
                    Some(item) => {
                        let Json::Map(mut fields) = item_json(&key, item) else { unreachable!() };
                        fields.insert("at".into(), n(at));
                        (200, Json::Map(fields).to_string())
                    }
                })
            }
            "/-/kv-range" => {
                let (prefix, after) = (query("prefix"), query("after"));
                let found: Vec<Json> = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .take(501)
                    .collect();
                let has_more = found.len() > 500;
                let items = found.into_iter().take(500).collect();
                let page = map([("items", Json::List(items)), ("has-more", Json::Bool(has_more)), ("at", n(data.rev))]);
                Some((200, page.to_string()))
            }
            "/-/kv-watch" => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait-ms").parse().unwrap_or(0));
                let (prefix, end) = (query("prefix"), Instant::now() + wait);
                loop {
                    data.end_leases();
                    let events: Vec<Json> = data
                        .history
                        .iter()
                        .rev()
                        .take_while(|(rev, ..)| *rev > after)
                        .filter(|(_, key, _)| key.starts_with(&prefix))
                        .map(|(rev, key, item)| match item {
                            Some(item) => item.clone(),
                            None => map([("key", s(key)), ("rev", n(*rev)), ("deleted", Json::Bool(true))]),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.into_iter().rev().collect();
                        let body = map([("events", Json::List(events)), ("at", n(data.rev))]);
                        return Some((200, body.to_string()));
                    }
                    data = self.changed.wait_timeout(data, left.min(Duration::from_millis(50))).unwrap().0;
                }
            }
            "/-/kv-lease" => {
                let ttl = body.get("ttl-ms").num().unwrap_or(0).clamp(1_000, 600_000);
                data.last_lease += 1;
                let id = data.last_lease;
                let ttl_span = Duration::from_millis(ttl);
                data.leases.insert(id, Lease { ttl: ttl_span, ends: Instant::now() + ttl_span });
                Some((200, map([("lease", n(id)), ("ttl-ms", n(ttl))]).to_string()))
            }
            "/-/kv-txn" => Some(self.txn(&mut data, &body)),
            _ => Some((404, "{}".into())),
        }
    }

    fn txn(&self, data: &mut Data, body: &Json) -> (u16, String) {
        let expected: Vec<(&str, u64)> = body
            .get("expected-rev")
            .list()
            .iter()
            .map(|row| (row.get("key").str().unwrap_or(""), row.get("rev").num().unwrap_or(0)))
            .collect();
        let holds = expected.iter().all(|(key, rev)| data.items.get(*key).map_or(0, |i| i.rev) == *rev);
        if !holds {
            let items = expected.iter().filter_map(|(key, _)| data.items.get(*key).map(|i| item_json(key, i)));
            return (412, map([("items", Json::List(items.collect()))]).to_string());
        }
        let puts = body.get("puts").list();
        let lease_of = |put: &Json| put.get("lease").num().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) != 0 && !data.leases.contains_key(&lease_of(put))) {
            return (404, "{}".into());
        }
        data.rev += 1;
        for put in puts {
            let value = put.get("value").str().unwrap_or("").to_owned();
            data.put(put.get("key").str().unwrap_or(""), value, lease_of(put));
        }
        for key in body.get("remove").list() {
            data.remove(key.str().unwrap_or(""));
        }
        self.changed.notify_all();
        (200, map([("rev", n(data.rev))]).to_string())
    }
}
