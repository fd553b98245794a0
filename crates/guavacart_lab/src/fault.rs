//! Fault proxies, which forward TCP and UDP between two addresses and inject faults.

mod tcp;
mod udp;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use smol_str::SmolStr;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::JoinHandle,
};

use crate::sync::lock;

/// Attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: u32 = 100;
/// Most bytes of an answer that are forwarded before its connection is reset or truncated.
const FAULT_AFTER_BYTES: usize = 2_000;

/// Faults that a proxy injects into connections and datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Forwards nothing in either direction and closes nothing.
    pub cut: bool,
    /// Delay of each chunk and datagram, in each direction.
    pub delay: Duration,
    /// Share of connections that are reset after some bytes of the answer, 0 to 1.
    pub reset: f64,
    /// Share of connections that are closed after some bytes of the answer, 0 to 1.
    pub truncate: f64,
    /// Share of connections whose answer is discarded, 0 to 1.
    pub half_open: f64,
    /// Share of connections whose chunks are delayed by `slow_by`, 0 to 1.
    pub slow: f64,
    /// Added delay of the chunks of slow connections.
    pub slow_by: Duration,
    /// Share of datagrams that are lost, 0 to 1.
    pub loss: f64,
}

/// Fault of one connection, chosen when it is opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionFault {
    None,
    ResetAfter(usize),
    TruncatedAfter(usize),
    HalfOpen,
    Slow,
}

/// A running proxy to one address; dropping it ends the proxy and its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    counts: Arc<FaultCounts>,
    tasks: Vec<JoinHandle<()>>,
}

/// Numbers of connections.
#[derive(Debug, Default)]
pub struct FaultCounts {
    /// All connections.
    pub connections: AtomicU64,
    /// Connections with a fault.
    pub faulty: AtomicU64,
}

impl FaultProxy {
    /// Forwards a free port of 127.0.0.1, both TCP and UDP, to `target`; `seed` is the seed of the
    /// random choice of faults.
    pub async fn bind(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let (listener, socket) = bind_tcp_and_udp().await?;
        let address = listener.local_addr()?;
        let faults = watch::Sender::new(Faults::default());
        let counts = Arc::<FaultCounts>::default();
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
        let tcp = tcp::accept(
            listener,
            target,
            faults.subscribe(),
            Arc::clone(&rng),
            Arc::clone(&counts),
        );
        let udp = udp::relay(socket, target, faults.subscribe(), rng);
        Ok(Self {
            address,
            faults,
            counts,
            tasks: vec![tokio::spawn(tcp), tokio::spawn(udp)],
        })
    }

    /// Returns the address at which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults. Whether a connection is reset, truncated, half-open or slow is chosen
    /// when it is opened; all other changes also apply to open connections.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Returns the number of all connections and of those with a fault.
    pub fn counts(&self) -> (u64, u64) {
        let FaultCounts {
            connections,
            faulty,
        } = &*self.counts;
        (
            connections.load(Ordering::Relaxed),
            faulty.load(Ordering::Relaxed),
        )
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Faults {
    fn choose_for_connection(&self, rng: &Mutex<StdRng>) -> ConnectionFault {
        let mut rng = lock(rng);
        let after_bytes = rng.random_range(0..FAULT_AFTER_BYTES);
        let sample: f64 = rng.random();
        let mut bound = self.reset;
        if sample < bound {
            return ConnectionFault::ResetAfter(after_bytes);
        }
        bound += self.truncate;
        if sample < bound {
            return ConnectionFault::TruncatedAfter(after_bytes);
        }
        bound += self.half_open;
        if sample < bound {
            return ConnectionFault::HalfOpen;
        }
        bound += self.slow;
        match sample < bound {
            true => ConnectionFault::Slow,
            false => ConnectionFault::None,
        }
    }
}

async fn bind_tcp_and_udp() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last_err = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..BIND_ATTEMPTS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(err) => last_err = err,
        }
    }
    Err(last_err)
}

/// Proxies between named parties, one for each requested pair of source and destination.
#[derive(Debug)]
pub struct Network {
    seed: u64,
    faults: Mutex<Faults>,
    cuts: Mutex<Vec<(SmolStr, SmolStr)>>,
    links: tokio::sync::Mutex<HashMap<(SmolStr, SmolStr, SocketAddr), Arc<FaultProxy>>>,
}

impl Network {
    /// Creates a network without faults.
    pub fn open(seed: u64) -> Self {
        Self {
            seed,
            faults: Mutex::default(),
            cuts: Mutex::default(),
            links: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the address at which `from` reaches `to`, which listens at `target`. If no proxy can
    /// be bound, returns an address at which nothing listens.
    pub async fn link(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let mut links = self.links.lock().await;
        let key = (SmolStr::new(from), SmolStr::new(to), target);
        if let Some(proxy) = links.get(&key) {
            return proxy.address();
        }
        let seed = guavacart_types::deterministic_random(self.seed, links.len() as u64);
        match FaultProxy::bind(target, seed).await {
            Ok(proxy) => {
                let faults = *lock(&self.faults);
                let cut = lock(&self.cuts).iter().any(|(f, t)| f == from && t == to);
                proxy.set_faults(|f| *f = Faults { cut, ..faults });
                let address = proxy.address();
                links.insert(key, Arc::new(proxy));
                address
            }
            Err(err) => {
                tracing::error!(%err, from, to, "no fault proxy could be bound");
                SocketAddr::from(([127, 0, 0, 1], 9))
            }
        }
    }

    /// Changes the faults of every link and keeps its cuts.
    pub async fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
        self.apply().await;
    }

    /// Cuts the links between each of `a` and each of `b`, in both directions.
    pub async fn cut(&self, a: &[SmolStr], b: &[SmolStr]) {
        for x in a {
            for y in b {
                let mut cuts = lock(&self.cuts);
                cuts.push((x.clone(), y.clone()));
                cuts.push((y.clone(), x.clone()));
            }
        }
        self.apply().await;
    }

    /// Restores all cut links.
    pub async fn heal(&self) {
        lock(&self.cuts).clear();
        self.apply().await;
    }

    /// Returns the number of all connections and of those with a fault.
    pub async fn counts(&self) -> (u64, u64) {
        let links = self.links.lock().await;
        links.values().fold((0, 0), |(all, faulty), proxy| {
            let (a, f) = proxy.counts();
            (all + a, faulty + f)
        })
    }

    async fn apply(&self) {
        let faults = *lock(&self.faults);
        let links = self.links.lock().await;
        let cuts = lock(&self.cuts);
        for ((from, to, _), proxy) in links.iter() {
            let cut = cuts.iter().any(|(f, t)| f == from && t == to);
            proxy.set_faults(|f| *f = Faults { cut, ..faults });
        }
    }
}
