//! The UDP half of a fault proxy.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use rand::{Rng, rngs::StdRng};
use tokio::{net::UdpSocket, sync::watch, task::JoinSet};

use super::Faults;
use crate::sync::lock;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;

pub(super) async fn relay(
    near: UdpSocket,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    rng: Arc<Mutex<StdRng>>,
) {
    let near = Arc::new(near);
    let mut tasks = JoinSet::new();
    let mut flows: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((n, from)) = near.recv_from(&mut buf).await else {
            continue;
        };
        let flow = match flows.get(&from) {
            Some(flow) => Arc::clone(flow),
            None => {
                let Some(flow) = open_flow(target).await else {
                    continue;
                };
                let (back, faults) = (Arc::clone(&flow), faults.clone());
                let answers = answers(back, Arc::clone(&near), from, faults, Arc::clone(&rng));
                tasks.spawn(answers);
                flows.insert(from, Arc::clone(&flow));
                flow
            }
        };
        if let Some(delay) = passes(&faults, &rng) {
            let datagram = buf[..n].to_vec();
            tasks.spawn(async move {
                tokio::time::sleep(delay).await;
                if let Err(err) = flow.send(&datagram).await {
                    tracing::trace!(%err, "datagram was not sent");
                }
            });
        }
        while tasks.try_join_next().is_some() {}
    }
}

async fn open_flow(target: SocketAddr) -> Option<Arc<UdpSocket>> {
    let socket = UdpSocket::bind(("127.0.0.1", 0)).await.ok()?;
    socket.connect(target).await.ok()?;
    Some(Arc::new(socket))
}

async fn answers(
    flow: Arc<UdpSocket>,
    near: Arc<UdpSocket>,
    to: SocketAddr,
    faults: watch::Receiver<Faults>,
    rng: Arc<Mutex<StdRng>>,
) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    while faults.has_changed().is_ok() {
        let Ok(n) = flow.recv(&mut buf).await else {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            continue;
        };
        let Some(delay) = passes(&faults, &rng) else {
            continue;
        };
        tokio::time::sleep(delay).await;
        if let Err(err) = near.send_to(&buf[..n], to).await {
            tracing::trace!(%err, "datagram was not sent");
        }
    }
}

/// How long a datagram is held; none if it is lost.
fn passes(faults: &watch::Receiver<Faults>, rng: &Mutex<StdRng>) -> Option<std::time::Duration> {
    let faults = *faults.borrow();
    let lost = faults.cut || lock(rng).random_bool(faults.loss.clamp(0.0, 1.0));
    (!lost).then_some(faults.delay)
}
