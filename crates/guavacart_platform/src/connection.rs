//! Pools of kept-alive HTTP/1.1 connections, with a limit on the open connections to each address.

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

/// Maximum length of the body of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A response whose body was received completely.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why an exchange brought no complete response.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent, so it had no effect.
    NotSent(SmolStr),
    /// At least a part of the request may have been sent, so it may have had an effect.
    Broken(SmolStr),
}

/// The connection pool of each address; clones share the pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    pools: Arc<Mutex<HashMap<SocketAddr, Arc<Mutex<Pool>>>>>,
}

/// The connections to one address.
#[derive(Debug, Default)]
struct Pool {
    /// Number of connections that are not yet closed, including idle ones.
    open: Arc<AtomicU32>,
    /// Maximum number of open connections, set by the last caller that passed a limit.
    cap: u32,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// When its last response was complete, or the connection was opened.
    since: Instant,
}

impl From<SendRequest<Full<Bytes>>> for IdleConnection {
    fn from(sender: SendRequest<Full<Bytes>>) -> Self {
        Self {
            sender,
            since: Instant::now(),
        }
    }
}

/// Counts one connection as open; dropped when the connection is closed.
///
/// The permit refers to the counter and not to the pool. If it held the pool, the idle connections in
/// the pool would keep the pool, and so themselves, open.
struct ConnectionPermit(Arc<AtomicU32>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pools {
    /// Sends `req` to `address` and returns the complete response.
    ///
    /// At most `cap` connections to the address are open at a time; `None` keeps the limit that the
    /// last caller set. `may_send` is called right before the request is handed to the connection, and the
    /// request is not sent if it returns false. A request is never sent again.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        cap: Option<u32>,
        deadline: Instant,
        may_send: impl FnOnce() -> bool,
    ) -> Result<FullResponse, ExchangeError> {
        let pool = self.pool(address, cap);
        let idle = timeout_at(deadline, take_ready_idle(&pool))
            .await
            .map_err(|_| {
                ExchangeError::NotSent(
                    "the timeout passed before an idle connection was ready".into(),
                )
            })?;
        let sender = match idle {
            Some(sender) => sender,
            None => connect(&pool, address, deadline).await?,
        };
        if !may_send() {
            lock(&pool).idle.push(sender.into());
            return Err(ExchangeError::NotSent(
                "this instance lost the right to send the request before it was sent".into(),
            ));
        }
        let sent = Instant::now();
        match timeout_at(deadline, send(sender, req)).await {
            Ok(Ok((response, sender))) => {
                lock(&pool).idle.push(sender.into());
                Ok(response)
            }
            Ok(Err(err)) => Err(err),
            Err(_elapsed) => {
                // Connections that were open together tend to go silent together, and each costs a
                // timeout. One that has answered since then has not.
                lock(&pool).idle.retain(|idle| idle.since >= sent);
                let cause = "the timeout passed before the response was complete";
                Err(ExchangeError::Broken(cause.into()))
            }
        }
    }

    /// Returns the number of connections to `address` that are not yet closed.
    pub(crate) fn open_connections(&self, address: SocketAddr) -> u32 {
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

async fn take_ready_idle(pool: &Mutex<Pool>) -> Option<SendRequest<Full<Bytes>>> {
    loop {
        let mut sender = lock(pool).idle.pop()?.sender;
        if sender.ready().await.is_ok() {
            return Some(sender);
        }
    }
}

fn acquire_permit(pool: &Mutex<Pool>) -> Result<ConnectionPermit, ExchangeError> {
    // The lock is held while comparing and counting, so that two callers cannot both take the last
    // permit.
    let guard = lock(pool);
    let open = guard.open.load(Ordering::SeqCst);
    if open >= guard.cap.max(1) {
        let cause =
            format_smolstr!("the limit of connections to the address is reached: {open} are open");
        return Err(ExchangeError::NotSent(cause));
    }
    guard.open.fetch_add(1, Ordering::SeqCst);
    Ok(ConnectionPermit(Arc::clone(&guard.open)))
}

async fn connect(
    pool: &Mutex<Pool>,
    address: SocketAddr,
    deadline: Instant,
) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let permit = acquire_permit(pool)?;
    let not_sent = |cause| ExchangeError::NotSent(cause);
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("the timeout passed before the connection was established".into()))?
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
        drop(permit);
    });
    Ok(sender)
}

async fn send(
    mut sender: SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<(FullResponse, SendRequest<Full<Bytes>>), ExchangeError> {
    let res = match sender.try_send_request(req).await {
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
    let response = read_response(res).await.map_err(ExchangeError::Broken)?;
    Ok((response, sender))
}

async fn read_response(res: Response<Incoming>) -> Result<FullResponse, SmolStr> {
    let (head, body) = res.into_parts();
    if !head.headers.contains_key(CONTENT_LENGTH) {
        return Err("the response has no Content-Length header".into());
    }
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|err| match err.downcast_ref::<LengthLimitError>() {
            Some(_) => {
                format_smolstr!("the response body is larger than {MAX_RESPONSE_BYTES} bytes")
            }
            None => format_smolstr!("{err}"),
        })?
        .to_bytes();
    Ok(FullResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
