//! Stand-in of the platform's instance list, seconds late.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use guavacart_platform::instance_list::{ListedInstanceWire, RoleWire};
use hyper::{
    Request, StatusCode,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::now_ms,
    fault::Network,
    server::{Answer, Handler, Hangup, Server, answer, json},
    sync::lock,
};

/// How late the list is unless a scenario says otherwise.
pub const DEFAULT_LAG: Duration = Duration::from_secs(2);

/// The truth and what was told of it so far.
#[derive(Debug)]
pub struct InstanceList {
    registry: Arc<Registry>,
    server: Server,
}

/// A change that is not yet listed.
#[derive(Debug)]
struct Change {
    listed_at_ms: u64,
    name: SmolStr,
    line: Option<ListedInstanceWire>,
}

#[derive(Debug)]
struct Registry {
    lag: Mutex<Duration>,
    truth: Mutex<BTreeMap<SmolStr, ListedInstanceWire>>,
    pending: Mutex<VecDeque<Change>>,
    listed: Mutex<BTreeMap<SmolStr, ListedInstanceWire>>,
}

/// The list as one instance sees it, with addresses that lead through fault proxies.
#[derive(Debug)]
pub struct ListView {
    server: Server,
}

#[derive(Debug)]
struct ViewHandler {
    registry: Arc<Registry>,
    network: Arc<Network>,
    from: SmolStr,
}

impl InstanceList {
    /// Starts an empty list.
    pub async fn bind(lag: Duration) -> io::Result<Self> {
        let registry = Arc::new(Registry {
            lag: Mutex::new(lag),
            truth: Mutex::default(),
            pending: Mutex::default(),
            listed: Mutex::default(),
        });
        let server = Server::bind(Arc::clone(&registry)).await?;
        Ok(Self { registry, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts the list as the instance `from` sees it: each address leads through `network`.
    pub async fn bind_view(&self, from: &str, network: Arc<Network>) -> io::Result<ListView> {
        let handler = ViewHandler {
            registry: Arc::clone(&self.registry),
            network,
            from: from.into(),
        };
        let server = Server::bind(Arc::new(handler)).await?;
        Ok(ListView { server })
    }

    /// Changes the lag of later changes.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.registry.lag) = lag;
    }

    /// Something starts; it is listed after the lag.
    pub fn register(&self, line: ListedInstanceWire) {
        let name = name(&line.role);
        self.registry.change(name, Some(line));
    }

    /// Something is announced to leave; the list says so after the lag.
    pub fn announce_leaving(&self, name: &str) {
        let line = lock(&self.registry.truth).get(name).cloned();
        if let Some(mut line) = line {
            line.leaving = true;
            self.registry.change(name.into(), Some(line));
        }
    }

    /// Something ended; the list drops it after the lag.
    pub fn remove(&self, name: &str) {
        self.registry.change(name.into(), None);
    }

    /// The entry instances that the platform knows now, without lag: name and address.
    pub fn entries(&self) -> Vec<(SmolStr, SocketAddr)> {
        let is_entry = |line: &ListedInstanceWire| matches!(line.role, RoleWire::Entry { .. });
        lock(&self.registry.truth)
            .iter()
            .filter(|(_, line)| is_entry(line))
            .map(|(name, line)| (name.clone(), line.address))
            .collect()
    }
}

impl ListView {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Registry {
    fn change(&self, name: SmolStr, line: Option<ListedInstanceWire>) {
        match &line {
            Some(line) => lock(&self.truth).insert(name.clone(), line.clone()),
            None => lock(&self.truth).remove(&name),
        };
        let lag_ms = u64::try_from(lock(&self.lag).as_millis()).unwrap_or(u64::MAX);
        let listed_at_ms = now_ms() + lag_ms;
        lock(&self.pending).push_back(Change {
            listed_at_ms,
            name,
            line,
        });
    }

    fn listed(&self) -> Vec<ListedInstanceWire> {
        let now = now_ms();
        let mut pending = lock(&self.pending);
        let mut listed = lock(&self.listed);
        while pending.front().is_some_and(|c| c.listed_at_ms <= now) {
            let Some(change) = pending.pop_front() else {
                break;
            };
            match change.line {
                Some(line) => listed.insert(change.name, line),
                None => listed.remove(&change.name),
            };
        }
        listed.values().cloned().collect()
    }
}

impl Handler for Registry {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        Ok(match req.uri().path() {
            "/v1/instances" => tagged(&req, &self.listed()),
            _ => answer(StatusCode::NOT_FOUND, ""),
        })
    }
}

impl Handler for ViewHandler {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        if req.uri().path() != "/v1/instances" {
            return Ok(answer(StatusCode::NOT_FOUND, ""));
        }
        let mut lines = self.registry.listed();
        for line in &mut lines {
            let to = name(&line.role);
            if to != self.from {
                line.address = self.network.link(&self.from, &to, line.address).await;
            }
        }
        Ok(tagged(&req, &lines))
    }
}

/// The list with a tag of its contents, or that it is still the one that the caller knows.
fn tagged(req: &Request<Bytes>, lines: &[ListedInstanceWire]) -> Answer {
    let mut whole = json(&lines);
    let contents = serde_json::to_vec(lines).unwrap_or_default();
    let tag = format!("\"{:016x}\"", xxh3_64(&contents));
    let known = req.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return answer(StatusCode::NOT_MODIFIED, "");
    }
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        whole.headers_mut().insert(ETAG, tag);
    }
    whole
}

fn name(role: &RoleWire) -> SmolStr {
    let (RoleWire::Entry { id } | RoleWire::Endpoint { id, .. } | RoleWire::Worker { id, .. }) =
        role;
    id.clone()
}
