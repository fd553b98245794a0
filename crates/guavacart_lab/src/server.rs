//! The HTTP listener that all stand-ins share.

use std::{future::Future, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// An answer to a call.
pub type Answer = Response<Full<Bytes>>;

/// The handler closes the connection in place of an answer.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection was closed in place of an answer")]
pub struct Hangup;

/// Answers calls.
pub trait Handler: Send + Sync + 'static {
    /// Answers one whole call.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Result<Answer, Hangup>> + Send;

    /// A connection was accepted; the value lives as long as the connection.
    fn accepted(&self) -> impl Send + 'static {}
}

/// A listener on loopback; it and its connections end when this is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept: JoinHandle<()>,
    drop_connections: watch::Sender<u64>,
}

impl Server {
    /// Listens at a free port of 127.0.0.1.
    pub async fn bind<H: Handler>(handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (drop_connections, dropped) = watch::channel(0);
        let accept = tokio::spawn(accept(listener, handler, dropped));
        Ok(Self {
            address,
            accept,
            drop_connections,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection at once; new ones are still accepted.
    pub fn drop_connections(&self) {
        self.drop_connections.send_modify(|n| *n += 1);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, dropped: watch::Receiver<u64>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, Arc::clone(&handler), dropped.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, mut dropped: watch::Receiver<u64>) {
    dropped.mark_unchanged();
    let _connection = handler.accepted();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|req| call(&*handler, req));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        ended = connection => {
            if let Err(err) = ended {
                tracing::trace!(%err, "connection of a stand-in ended");
            }
        }
        Ok(()) = dropped.changed() => {}
    }
}

async fn call<H: Handler>(handler: &H, req: Request<Incoming>) -> Result<Answer, Hangup> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| Hangup)?.to_bytes();
    handler.handle(Request::from_parts(head, body)).await
}

/// An answer with a status and a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// An answer of status 200 with a JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(err) => answer(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

/// The value of `name` in a query such as `a=1&b=2`.
pub fn query<'a>(req: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
