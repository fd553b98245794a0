//! The HTTP server that all stand-ins use.

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

/// HTTP response of a stand-in.
pub type Answer = Response<Full<Bytes>>;

/// Error of a handler that closes the connection instead of answering the call.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stand-in closed the connection instead of answering")]
pub struct Hangup;

/// Answers the calls to a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call, whose body is complete.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Result<Answer, Hangup>> + Send;

    /// Called for each accepted connection; the returned value is dropped when the connection ends.
    fn accepted(&self) -> impl Send + 'static {}
}

/// An HTTP server on loopback; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept: JoinHandle<()>,
    drop_connections: watch::Sender<u64>,
}

impl Server {
    /// Starts a server on a free port of 127.0.0.1.
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

    /// Returns the address at which the server listens.
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
                tracing::trace!(%err, "a connection to a stand-in ended with an error");
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

/// Returns an answer with a status and a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with status 200 and `value` as its JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(err) => answer(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

/// Returns the value of `name` in the query of a request, for example `a=1&b=2`.
pub fn query<'a>(req: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
