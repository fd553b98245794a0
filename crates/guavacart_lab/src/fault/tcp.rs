//! The TCP part of a fault proxy.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use rand::rngs::StdRng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
};

use super::{ConnectionFault, FaultCounts, Faults};

/// Largest chunk that is forwarded at once, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// How one direction of a connection ended.
enum DirectionEnd {
    Closed,
    Reset,
}

/// Error of a direction that requires a reset of the connection.
struct Reset;

pub(super) async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    rng: Arc<Mutex<StdRng>>,
    counts: Arc<FaultCounts>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let fault = faults.borrow().choose_for_connection(&rng);
                counts.connections.fetch_add(1, Ordering::Relaxed);
                if fault != ConnectionFault::None {
                    counts.faulty.fetch_add(1, Ordering::Relaxed);
                }
                connections.spawn(relay(stream, target, fault, faults.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay(
    downstream: TcpStream,
    target: SocketAddr,
    fault: ConnectionFault,
    faults: watch::Receiver<Faults>,
) {
    if wait_until_connected(&mut faults.clone()).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    if downstream.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    let (mut downstream_read, mut downstream_write) = downstream.into_split();
    let (mut upstream_read, mut upstream_write) = upstream.into_split();
    let request = forward(
        &mut downstream_read,
        &mut upstream_write,
        fault,
        false,
        faults.clone(),
    );
    let response = forward(
        &mut upstream_read,
        &mut downstream_write,
        fault,
        true,
        faults,
    );
    let reset = tokio::try_join!(request, response).is_err();
    if reset && let Ok(downstream) = downstream_read.reunite(downstream_write) {
        reset_on_close(&downstream);
    }
}

/// Returns how many bytes of one direction are forwarded before the fault, or `None` without a
/// limit; a half-open connection forwards none of the answer.
fn byte_limit(fault: ConnectionFault, is_answer: bool) -> Option<usize> {
    match fault {
        ConnectionFault::ResetAfter(n) | ConnectionFault::TruncatedAfter(n) if is_answer => Some(n),
        ConnectionFault::HalfOpen if is_answer => Some(0),
        _ => None,
    }
}

/// Makes closing `stream` send a reset.
fn reset_on_close(stream: &TcpStream) {
    if let Err(err) = stream.set_zero_linger() {
        tracing::debug!(%err, "zero linger not set; the connection closes without a reset");
    }
}

/// Waits until the link is not cut and returns its delay.
async fn wait_until_connected(faults: &mut watch::Receiver<Faults>) -> Result<Duration, io::Error> {
    match faults.wait_for(|f| !f.cut).await {
        Ok(faults) => Ok(faults.delay),
        Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Forwards one direction of a connection up to and including its end.
async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    fault: ConnectionFault,
    is_answer: bool,
    mut faults: watch::Receiver<Faults>,
) -> Result<(), Reset> {
    let end = forward_chunks(from, to, fault, byte_limit(fault, is_answer), &mut faults).await;
    match (end, fault) {
        // The caller receives no answer and no end of stream; once it closes the connection, the
        // other direction returns an error, which ends this one.
        (_, ConnectionFault::HalfOpen) if is_answer => return std::future::pending().await,
        (_, ConnectionFault::HalfOpen) | (Ok(DirectionEnd::Reset), _) => return Err(Reset),
        _ => {}
    }
    if to.shutdown().await.is_err() {
        tracing::trace!("the other side had already closed the connection");
    }
    Ok(())
}

async fn forward_chunks(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    fault: ConnectionFault,
    mut remaining: Option<usize>,
    faults: &mut watch::Receiver<Faults>,
) -> io::Result<DirectionEnd> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = from.read(&mut buf).await?;
        if n == 0 {
            return Ok(DirectionEnd::Closed);
        }
        let delay = wait_until_connected(faults).await?;
        let slow = match fault {
            ConnectionFault::Slow => faults.borrow().slow_by,
            _ => Duration::ZERO,
        };
        let total_delay = delay + slow;
        if !total_delay.is_zero() {
            tokio::time::sleep(total_delay).await;
        }
        let forwarded = remaining.map_or(n, |remaining| remaining.min(n));
        to.write_all(&buf[..forwarded]).await?;
        remaining = remaining.map(|remaining| remaining - forwarded);
        match fault {
            ConnectionFault::ResetAfter(_) if forwarded < n => return Ok(DirectionEnd::Reset),
            ConnectionFault::TruncatedAfter(_) if forwarded < n => return Ok(DirectionEnd::Closed),
            _ => {}
        }
    }
}
