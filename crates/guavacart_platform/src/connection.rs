//! Kept-alive HTTP/1.1 connections to one address, never more than a cap.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::CONTENT_LENGTH,
};
use hyper_util::rt::TokioIo;
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// Largest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why an exchange gave no whole answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No byte of the request left.
    NotSent(SmolStr),
    /// Bytes left.
    Broken(SmolStr),
}

/// Pools by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    pools: Arc<Mutex<HashMap<SocketAddr, Arc<Mutex<Pool>>>>>,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct Pool {
    /// Connections that are not yet closed, idle ones included.
    open: Arc<AtomicU32>,
    /// Most connections that the last caller allowed.
    cap: u32,
    idle: Vec<SendRequest<Full<Bytes>>>,
}

/// A connection's place under the cap, given back when the connection is closed.
///
/// It does not hold the pool, whose idle connections would otherwise keep themselves open.
struct Place(Arc<AtomicU32>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pools {
    /// Sends `req` to `address` over at most `cap` connections (`None`: as the last caller said) and
    /// returns the whole answer. `may_send` is asked right before the request is handed to the
    /// connection. Nothing is sent twice.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        cap: Option<u32>,
        deadline: Instant,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Whole, ExchangeError> {
        let pool = self.pool(address, cap);
        let idle = timeout_at(deadline, take_idle(&pool))
            .await
            .map_err(|_| ExchangeError::NotSent("no free connection before the timeout".into()))?;
        let sender = match idle {
            Some(sender) => sender,
            None => connect(&pool, address, deadline).await?,
        };
        if !may_send() {
            lock(&pool).idle.push(sender);
            return Err(ExchangeError::NotSent("the right to send has ended".into()));
        }
        let (whole, sender) = send(sender, req, deadline).await?;
        lock(&pool).idle.push(sender);
        Ok(whole)
    }

    /// Connections to `address` that are not yet closed.
    pub(crate) fn open(&self, address: SocketAddr) -> u32 {
        lock(&self.pools)
            .get(&address)
            .map_or(0, |pool| lock(pool).open.load(Ordering::SeqCst))
    }

    fn pool(&self, address: SocketAddr, cap: Option<u32>) -> Arc<Mutex<Pool>> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(address).or_default();
        if let Some(cap) = cap {
            lock(pool).cap = cap;
        }
        Arc::clone(pool)
    }
}

async fn take_idle(pool: &Mutex<Pool>) -> Option<SendRequest<Full<Bytes>>> {
    loop {
        let mut sender = lock(pool).idle.pop()?;
        if sender.ready().await.is_ok() {
            return Some(sender);
        }
    }
}

fn take_place(pool: &Mutex<Pool>) -> Result<Place, ExchangeError> {
    // The lock keeps two callers from taking the last place.
    let guard = lock(pool);
    let open = guard.open.load(Ordering::SeqCst);
    if open >= guard.cap.max(1) {
        let cause = format_smolstr!("all {open} connections are taken");
        return Err(ExchangeError::NotSent(cause));
    }
    guard.open.fetch_add(1, Ordering::SeqCst);
    Ok(Place(Arc::clone(&guard.open)))
}

async fn connect(
    pool: &Mutex<Pool>,
    address: SocketAddr,
    deadline: Instant,
) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let place = take_place(pool)?;
    let not_sent = |cause| ExchangeError::NotSent(cause);
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("no connection before the timeout".into()))?
        .map_err(|err| not_sent(format_smolstr!("{err}")))?;
    stream
        .set_nodelay(true)
        .map_err(|err| not_sent(format_smolstr!("{err}")))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|err| not_sent(format_smolstr!("{err}")))?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!(%address, %err, "connection ended");
        }
        drop(place);
    });
    Ok(sender)
}

async fn send(
    mut sender: SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<(Whole, SendRequest<Full<Bytes>>), ExchangeError> {
    let broken = |cause| ExchangeError::Broken(cause);
    let answer = timeout_at(deadline, sender.try_send_request(req))
        .await
        .map_err(|_| broken("no answer before the timeout".into()))?;
    let res = match answer {
        Ok(res) => res,
        Err(mut err) => {
            let never_sent = err.take_message().is_some();
            let cause = format_smolstr!("{}", err.error());
            return Err(match never_sent {
                true => ExchangeError::NotSent(cause),
                false => ExchangeError::Broken(cause),
            });
        }
    };
    let whole = timeout_at(deadline, read_whole(res))
        .await
        .map_err(|_| broken("the answer was not whole before the timeout".into()))?
        .map_err(broken)?;
    Ok((whole, sender))
}

async fn read_whole(res: Response<Incoming>) -> Result<Whole, SmolStr> {
    let (head, body) = res.into_parts();
    if !head.headers.contains_key(CONTENT_LENGTH) {
        return Err("the answer has no Content-Length".into());
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|err| match err.downcast_ref::<LengthLimitError>() {
            Some(_) => format_smolstr!("the answer is larger than {MAX_ANSWER_BYTES} bytes"),
            None => format_smolstr!("{err}"),
        })?
        .to_bytes();
    Ok(Whole {
        status: head.status,
        headers: head.headers,
        body,
    })
}
