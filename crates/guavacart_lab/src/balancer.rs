//! Stand-in of the platform's balancer: connections to healthy entry instances only.

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

/// How often health is asked for.
pub const POLL: Duration = Duration::from_millis(200);
/// How long an answer on health may take.
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
    /// When each connection was led where; a caller's port may be used again.
    by_caller: Mutex<HashMap<SocketAddr, Vec<(u64, SmolStr)>>>,
}

#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    healthy: bool,
    poll: JoinHandle<()>,
}

impl Balancer {
    /// Starts a balancer without instances.
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

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// An instance joins; it gets connections once it is healthy.
    pub fn add(&self, name: &str, address: SocketAddr) {
        let name = SmolStr::new(name);
        let poll = tokio::spawn(poll(Arc::clone(&self.shared), name.clone(), address));
        let backend = Backend {
            address,
            healthy: false,
            poll,
        };
        if let Some(old) = lock(&self.shared.backends).insert(name, backend) {
            old.poll.abort();
        }
    }

    /// An instance is gone for good.
    pub fn remove(&self, name: &str) {
        if let Some(old) = lock(&self.shared.backends).remove(name) {
            old.poll.abort();
        }
    }

    /// Instances that get connections now.
    pub fn healthy(&self) -> Vec<SmolStr> {
        let backends = lock(&self.shared.backends);
        let healthy = backends.iter().filter(|(_, b)| b.healthy);
        healthy.map(|(name, _)| name.clone()).collect()
    }

    /// The instance that the connection which `caller` had at a time was led to.
    pub fn backend_of(&self, caller: SocketAddr, at_us: u64) -> Option<SmolStr> {
        let by_caller = lock(&self.shared.by_caller);
        let mut latest_first = by_caller.get(&caller)?.iter().rev();
        let led = latest_first.find(|(since, _)| *since <= at_us);
        led.map(|(_, name)| name.clone())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.accept.abort();
        for backend in lock(&self.shared.backends).values() {
            backend.poll.abort();
        }
    }
}

impl Shared {
    fn choose(&self) -> Option<(SmolStr, SocketAddr)> {
        let backends = lock(&self.backends);
        let healthy: Vec<_> = backends.iter().filter(|(_, b)| b.healthy).collect();
        let mut next = lock(&self.next);
        *next = next.wrapping_add(1);
        let (name, backend) = healthy.get(*next % healthy.len().max(1))?;
        Some(((*name).clone(), backend.address))
    }
}

async fn poll(shared: Arc<Shared>, name: SmolStr, address: SocketAddr) {
    let mut interval = tokio::time::interval(POLL);
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

async fn relay(mut near: TcpStream, caller: SocketAddr, shared: Arc<Shared>) {
    let Some((name, address)) = shared.choose() else {
        return;
    };
    let led = (now_us(), name);
    lock(&shared.by_caller).entry(caller).or_default().push(led);
    let Ok(mut far) = TcpStream::connect(address).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    if let Err(err) = copy_bidirectional(&mut near, &mut far).await {
        tracing::trace!(%err, "balanced connection ended");
    }
}
