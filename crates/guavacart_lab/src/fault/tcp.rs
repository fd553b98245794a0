//! The TCP half of a fault proxy.

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

use super::{Fate, FaultCounts, Faults};

/// Largest chunk that passes at once, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// How one direction of a connection ended.
enum End {
    Closed,
    Reset,
}

/// The connection is to be reset.
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
                let fate = faults.borrow().choose(&rng);
                counts.connections.fetch_add(1, Ordering::Relaxed);
                if fate != Fate::Passes {
                    counts.harmed.fetch_add(1, Ordering::Relaxed);
                }
                connections.spawn(relay(stream, target, fate, faults.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay(near: TcpStream, target: SocketAddr, fate: Fate, faults: watch::Receiver<Faults>) {
    if wait_uncut(&mut faults.clone()).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let there = pass(&mut near_read, &mut far_write, fate, false, faults.clone());
    let back = pass(&mut far_read, &mut near_write, fate, true, faults);
    let reset = tokio::try_join!(there, back).is_err();
    if reset && let Ok(near) = near_read.reunite(near_write) {
        abort(&near);
    }
}

/// Bytes of one direction that pass before the fault; half-open swallows the answer.
fn limit(fate: Fate, answer: bool) -> Option<usize> {
    match fate {
        Fate::ResetAfter(n) | Fate::TruncatedAfter(n) if answer => Some(n),
        Fate::HalfOpen if answer => Some(0),
        _ => None,
    }
}

/// Makes the close of `stream` a reset.
fn abort(stream: &TcpStream) {
    if let Err(err) = stream.set_zero_linger() {
        tracing::debug!(%err, "connection is closed without a reset");
    }
}

async fn wait_uncut(faults: &mut watch::Receiver<Faults>) -> Result<Duration, io::Error> {
    match faults.wait_for(|f| !f.cut).await {
        Ok(faults) => Ok(faults.delay),
        Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Passes one direction until its end; its end is passed on too.
async fn pass(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    fate: Fate,
    answer: bool,
    mut faults: watch::Receiver<Faults>,
) -> Result<(), Reset> {
    let end = pass_chunks(from, to, fate, limit(fate, answer), &mut faults).await;
    match (end, fate) {
        // The near side hears nothing more, not even the end; when it gives up, all ends.
        (_, Fate::HalfOpen) if answer => return std::future::pending().await,
        (_, Fate::HalfOpen) | (Ok(End::Reset), _) => return Err(Reset),
        _ => {}
    }
    if to.shutdown().await.is_err() {
        tracing::trace!("the other side was closed already");
    }
    Ok(())
}

async fn pass_chunks(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    fate: Fate,
    mut left: Option<usize>,
    faults: &mut watch::Receiver<Faults>,
) -> io::Result<End> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = from.read(&mut buf).await?;
        if n == 0 {
            return Ok(End::Closed);
        }
        let delay = wait_uncut(faults).await?;
        let slow = match fate {
            Fate::Slow => faults.borrow().slow_by,
            _ => Duration::ZERO,
        };
        let wait = delay + slow;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let passes = left.map_or(n, |left| left.min(n));
        to.write_all(&buf[..passes]).await?;
        left = left.map(|left| left - passes);
        match fate {
            Fate::ResetAfter(_) if passes < n => return Ok(End::Reset),
            Fate::TruncatedAfter(_) if passes < n => return Ok(End::Closed),
            _ => {}
        }
    }
}
