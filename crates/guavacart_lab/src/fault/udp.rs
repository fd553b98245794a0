//! The UDP part of a fault proxy.

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
    downstream: UdpSocket,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    rng: Arc<Mutex<StdRng>>,
) {
    let downstream = Arc::new(downstream);
    let mut tasks = JoinSet::new();
    let mut flows: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((n, from)) = downstream.recv_from(&mut buf).await else {
            continue;
        };
        let flow = match flows.get(&from) {
            Some(flow) => Arc::clone(flow),
            None => {
                let Some(flow) = open_flow(target).await else {
                    continue;
                };
                let (answer_flow, faults) = (Arc::clone(&flow), faults.clone());
                let answers = forward_answers(
                    answer_flow,
                    Arc::clone(&downstream),
                    from,
                    faults,
                    Arc::clone(&rng),
                );
                tasks.spawn(answers);
                flows.insert(from, Arc::clone(&flow));
                flow
            }
        };
        if let Some(delay) = datagram_delay(&faults, &rng) {
            let datagram = buf[..n].to_vec();
            tasks.spawn(async move {
                tokio::time::sleep(delay).await;
                if let Err(err) = flow.send(&datagram).await {
                    tracing::trace!(%err, "datagram could not be forwarded");
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

/// Forwards the datagrams that come back on a flow.
async fn forward_answers(
    flow: Arc<UdpSocket>,
    downstream: Arc<UdpSocket>,
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
        let Some(delay) = datagram_delay(&faults, &rng) else {
            continue;
        };
        tokio::time::sleep(delay).await;
        if let Err(err) = downstream.send_to(&buf[..n], to).await {
            tracing::trace!(%err, "datagram could not be forwarded");
        }
    }
}

/// Returns the delay of a datagram; `None` if it is lost.
fn datagram_delay(
    faults: &watch::Receiver<Faults>,
    rng: &Mutex<StdRng>,
) -> Option<std::time::Duration> {
    let faults = *faults.borrow();
    let lost = faults.cut || lock(rng).random_bool(faults.loss.clamp(0.0, 1.0));
    (!lost).then_some(faults.delay)
}
