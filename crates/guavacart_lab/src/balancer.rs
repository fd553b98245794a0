//! Stand-in for the platform's load balancer, which forwards connections to healthy entry
//! instances only.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header::HOST};
use smol_str::SmolStr;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use crate::{client, clock::now_us, sync::lock};

/// Time between two health checks of an instance.
pub const HEALTH_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for the answer to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    backends: Mutex<BTreeMap<SmolStr, Backend>>,
    next: Mutex<usize>,
    /// Time and instance of each connection, in order of time, by the caller's address. An address
    /// can have several connections because ports are reused.
    routes_by_caller: Mutex<HashMap<SocketAddr, Vec<(u64, SmolStr)>>>,
}

#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    healthy: bool,
    health_poll: JoinHandle<()>,
}

impl Balancer {
    /// Starts a balancer without instances on a free port of 127.0.0.1.
    pub async fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let accept = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accept,
        })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds an instance, which gets connections once it is healthy.
    pub fn add(&self, name: &str, address: SocketAddr) {
        let name = SmolStr::new(name);
        let health_poll =
            tokio::spawn(poll_health(Arc::clone(&self.shared), name.clone(), address));
        let backend = Backend {
            address,
            healthy: false,
            health_poll,
        };
        if let Some(old) = lock(&self.shared.backends).insert(name, backend) {
            old.health_poll.abort();
        }
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        if let Some(old) = lock(&self.shared.backends).remove(name) {
            old.health_poll.abort();
        }
    }

    /// Returns the instances that get new connections at present.
    pub fn healthy(&self) -> Vec<SmolStr> {
        let backends = lock(&self.shared.backends);
        let healthy = backends.iter().filter(|(_, b)| b.healthy);
        healthy.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the instance to which the connection from `caller` was forwarded at `at_us`, in
    /// microseconds of the lab's clock.
    pub fn backend_of(&self, caller: SocketAddr, at_us: u64) -> Option<SmolStr> {
        let routes_by_caller = lock(&self.shared.routes_by_caller);
        let mut latest_first = routes_by_caller.get(&caller)?.iter().rev();
        let route = latest_first.find(|(since, _)| *since <= at_us);
        route.map(|(_, name)| name.clone())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.accept.abort();
        for backend in lock(&self.shared.backends).values() {
            backend.health_poll.abort();
        }
    }
}

impl Shared {
    fn next_backend(&self) -> Option<(SmolStr, SocketAddr)> {
        let backends = lock(&self.backends);
        let healthy: Vec<_> = backends.iter().filter(|(_, b)| b.healthy).collect();
        let mut next = lock(&self.next);
        *next = next.wrapping_add(1);
        let (name, backend) = healthy.get(*next % healthy.len().max(1))?;
        Some(((*name).clone(), backend.address))
    }
}

async fn poll_health(shared: Arc<Shared>, name: SmolStr, address: SocketAddr) {
    let mut interval = tokio::time::interval(HEALTH_PERIOD);
    loop {
        interval.tick().await;
        let healthy = is_healthy(address).await;
        if let Some(backend) = lock(&shared.backends).get_mut(&name) {
            backend.healthy = healthy;
        }
    }
}

async fn is_healthy(address: SocketAddr) -> bool {
    let req = Request::get("/v1/health")
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::default());
    let Ok(req) = req else {
        return false;
    };
    match client::call(address, req, HEALTH_TIMEOUT).await {
        Ok(res) => res.status() == StatusCode::OK,
        Err(_) => false,
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, caller)) = accepted else { continue };
                connections.spawn(relay(stream, caller, Arc::clone(&shared)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay(mut downstream: TcpStream, caller: SocketAddr, shared: Arc<Shared>) {
    let Some((name, address)) = shared.next_backend() else {
        return;
    };
    let route = (now_us(), name);
    lock(&shared.routes_by_caller)
        .entry(caller)
        .or_default()
        .push(route);
    let Ok(mut upstream) = TcpStream::connect(address).await else {
        return;
    };
    if downstream.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    if let Err(err) = copy_bidirectional(&mut downstream, &mut upstream).await {
        tracing::trace!(%err, "balanced connection ended");
    }
}
