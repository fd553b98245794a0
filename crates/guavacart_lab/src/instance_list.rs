//! Stand-in for the platform's instance list, which shows changes only after a lag.

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

/// Time after which the list shows a change, unless a scenario sets another.
pub const DEFAULT_LAG: Duration = Duration::from_secs(2);

/// A running instance list: the registered instances, and those listed so far.
#[derive(Debug)]
pub struct InstanceList {
    registry: Arc<Registry>,
    server: Server,
}

/// A change that the list does not show yet; `instance` is `None` for a removal.
#[derive(Debug)]
struct Change {
    listed_at_ms: u64,
    name: SmolStr,
    instance: Option<ListedInstanceWire>,
}

#[derive(Debug)]
struct Registry {
    lag: Mutex<Duration>,
    registered: Mutex<BTreeMap<SmolStr, ListedInstanceWire>>,
    pending: Mutex<VecDeque<Change>>,
    listed: Mutex<BTreeMap<SmolStr, ListedInstanceWire>>,
}

/// The list as one instance sees it, with the addresses of fault proxies.
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
    /// Starts an empty list that shows changes after `lag`.
    pub async fn bind(lag: Duration) -> io::Result<Self> {
        let registry = Arc::new(Registry {
            lag: Mutex::new(lag),
            registered: Mutex::default(),
            pending: Mutex::default(),
            listed: Mutex::default(),
        });
        let server = Server::bind(Arc::clone(&registry)).await?;
        Ok(Self { registry, server })
    }

    /// Returns the address at which the list is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts the list as instance `from` sees it: every address except its own is that of a fault
    /// proxy of `network`.
    pub async fn bind_view(&self, from: &str, network: Arc<Network>) -> io::Result<ListView> {
        let handler = ViewHandler {
            registry: Arc::clone(&self.registry),
            network,
            from: from.into(),
        };
        let server = Server::bind(Arc::new(handler)).await?;
        Ok(ListView { server })
    }

    /// Sets the lag of later changes.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.registry.lag) = lag;
    }

    /// Registers an instance, endpoint or worker; it is listed after the lag.
    pub fn register(&self, instance: ListedInstanceWire) {
        let name = name(&instance.role);
        self.registry.change(name, Some(instance));
    }

    /// Announces that `name` leaves; the list shows this after the lag.
    pub fn announce_leaving(&self, name: &str) {
        let instance = lock(&self.registry.registered).get(name).cloned();
        if let Some(mut instance) = instance {
            instance.leaving = true;
            self.registry.change(name.into(), Some(instance));
        }
    }

    /// Removes `name`; it disappears from the list after the lag.
    pub fn remove(&self, name: &str) {
        self.registry.change(name.into(), None);
    }

    /// Returns the names and addresses of the registered entry instances, without lag.
    pub fn entries(&self) -> Vec<(SmolStr, SocketAddr)> {
        let is_entry =
            |instance: &ListedInstanceWire| matches!(instance.role, RoleWire::Entry { .. });
        lock(&self.registry.registered)
            .iter()
            .filter(|(_, instance)| is_entry(instance))
            .map(|(name, instance)| (name.clone(), instance.address))
            .collect()
    }
}

impl ListView {
    /// Returns the address at which the list is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Registry {
    fn change(&self, name: SmolStr, instance: Option<ListedInstanceWire>) {
        match &instance {
            Some(instance) => lock(&self.registered).insert(name.clone(), instance.clone()),
            None => lock(&self.registered).remove(&name),
        };
        let lag_ms = u64::try_from(lock(&self.lag).as_millis()).unwrap_or(u64::MAX);
        let listed_at_ms = now_ms() + lag_ms;
        lock(&self.pending).push_back(Change {
            listed_at_ms,
            name,
            instance,
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
            match change.instance {
                Some(instance) => listed.insert(change.name, instance),
                None => listed.remove(&change.name),
            };
        }
        listed.values().cloned().collect()
    }
}

impl Handler for Registry {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        Ok(match req.uri().path() {
            "/v1/instances" => list_answer(&req, &self.listed()),
            _ => answer(StatusCode::NOT_FOUND, ""),
        })
    }
}

impl Handler for ViewHandler {
    async fn handle(&self, req: Request<Bytes>) -> Result<Answer, Hangup> {
        if req.uri().path() != "/v1/instances" {
            return Ok(answer(StatusCode::NOT_FOUND, ""));
        }
        let mut instances = self.registry.listed();
        for instance in &mut instances {
            let to = name(&instance.role);
            if to != self.from {
                instance.address = self.network.link(&self.from, &to, instance.address).await;
            }
        }
        Ok(list_answer(&req, &instances))
    }
}

/// Returns the list with a tag of its contents, or status 304 if the caller has this list already.
fn list_answer(req: &Request<Bytes>, instances: &[ListedInstanceWire]) -> Answer {
    let mut full_answer = json(&instances);
    let contents = serde_json::to_vec(instances).unwrap_or_default();
    let tag = format!("\"{:016x}\"", xxh3_64(&contents));
    let known = req.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return answer(StatusCode::NOT_MODIFIED, "");
    }
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        full_answer.headers_mut().insert(ETAG, tag);
    }
    full_answer
}

fn name(role: &RoleWire) -> SmolStr {
    let (RoleWire::Entry { id } | RoleWire::Endpoint { id, .. } | RoleWire::Worker { id, .. }) =
        role;
    id.clone()
}
