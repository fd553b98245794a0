//! Fault proxies between two addresses, over TCP and UDP.

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
/// Most bytes that pass before a faulty connection is reset or truncated.
const FAULT_AFTER_BYTES: usize = 2_000;

/// What a proxy does to the connections and datagrams that pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Nothing passes either way, nothing is closed.
    pub cut: bool,
    /// Time added to each chunk and datagram, each way.
    pub delay: Duration,
    /// Share of connections that are reset after some bytes of the answer, 0 to 1.
    pub reset: f64,
    /// Share of connections that are closed after some bytes of the answer, 0 to 1.
    pub truncate: f64,
    /// Share of connections of which the answer is swallowed, 0 to 1.
    pub half_open: f64,
    /// Share of connections that are delayed by `slow_by`, 0 to 1.
    pub slow: f64,
    /// Delay of the connections that `slow` chose.
    pub slow_by: Duration,
    /// Share of datagrams that are lost, 0 to 1.
    pub loss: f64,
}

/// What was done to one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Passes,
    ResetAfter(usize),
    TruncatedAfter(usize),
    HalfOpen,
    Slow,
}

/// A running proxy to one address; it and its connections end when this is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    counts: Arc<FaultCounts>,
    tasks: Vec<JoinHandle<()>>,
}

/// Connections by what was done to them.
#[derive(Debug, Default)]
pub struct FaultCounts {
    /// Connections in all.
    pub connections: AtomicU64,
    /// Connections that were harmed.
    pub harmed: AtomicU64,
}

impl FaultProxy {
    /// Forwards a port of 127.0.0.1, both TCP and UDP, to `target`; `seed` decides the faults.
    pub async fn bind(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let (listener, socket) = bind_both().await?;
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does; the fate of a connection is chosen when it is opened.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Connections in all and connections that were harmed.
    pub fn counts(&self) -> (u64, u64) {
        let FaultCounts {
            connections,
            harmed,
        } = &*self.counts;
        (
            connections.load(Ordering::Relaxed),
            harmed.load(Ordering::Relaxed),
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
    fn choose(&self, rng: &Mutex<StdRng>) -> Fate {
        let mut rng = lock(rng);
        let after = rng.random_range(0..FAULT_AFTER_BYTES);
        let roll: f64 = rng.random();
        let mut bound = self.reset;
        if roll < bound {
            return Fate::ResetAfter(after);
        }
        bound += self.truncate;
        if roll < bound {
            return Fate::TruncatedAfter(after);
        }
        bound += self.half_open;
        if roll < bound {
            return Fate::HalfOpen;
        }
        bound += self.slow;
        match roll < bound {
            true => Fate::Slow,
            false => Fate::Passes,
        }
    }
}

async fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..BIND_ATTEMPTS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// Proxies between named parties, one for each ordered pair that was asked for.
#[derive(Debug)]
pub struct Network {
    seed: u64,
    faults: Mutex<Faults>,
    cuts: Mutex<Vec<(SmolStr, SmolStr)>>,
    links: tokio::sync::Mutex<HashMap<(SmolStr, SmolStr, SocketAddr), Arc<FaultProxy>>>,
}

impl Network {
    /// A network without faults.
    pub fn open(seed: u64) -> Self {
        Self {
            seed,
            faults: Mutex::default(),
            cuts: Mutex::default(),
            links: tokio::sync::Mutex::default(),
        }
    }

    /// The address at which `from` reaches `to`, which listens at `target`. If no proxy can be
    /// bound, the address leads nowhere.
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

    /// Changes the faults of every link; cuts stay.
    pub async fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
        self.apply().await;
    }

    /// Cuts each of `a` from each of `b`, both ways.
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

    /// Ends all cuts.
    pub async fn heal(&self) {
        lock(&self.cuts).clear();
        self.apply().await;
    }

    /// Connections in all and connections that were harmed.
    pub async fn counts(&self) -> (u64, u64) {
        let links = self.links.lock().await;
        links.values().fold((0, 0), |(all, harmed), proxy| {
            let (a, h) = proxy.counts();
            (all + a, harmed + h)
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
