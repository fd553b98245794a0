//! The lab's HTTP client, which sends one call at a time on a connection and reads whole answers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Reasons why a call returned no whole answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// There was no connection, or the call was never written to it.
    #[error("the call was not sent to {address}")]
    NotSent {
        /// Address of the call.
        address: SocketAddr,
    },
    /// The call was sent, and the connection broke before the whole answer came.
    #[error("the connection to {address} broke")]
    Broken {
        /// Address of the call.
        address: SocketAddr,
    },
    /// No whole answer came in time.
    #[error("{address} did not answer within {timeout:?}")]
    TimedOut {
        /// Address of the call.
        address: SocketAddr,
        /// Longest wait for the answer.
        timeout: Duration,
    },
}

/// A keep-alive connection.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    local: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr) -> Result<Self, ClientError> {
        let not_sent = || ClientError::NotSent { address };
        let stream = TcpStream::connect(address).await.map_err(|_| not_sent())?;
        stream.set_nodelay(true).map_err(|_| not_sent())?;
        let local = stream.local_addr().map_err(|_| not_sent())?;
        let io = TokioIo::new(stream);
        let (sender, connection) = http1::handshake(io).await.map_err(|_| not_sent())?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                tracing::trace!(%err, "a caller's connection ended with an error");
            }
        });
        Ok(Self {
            address,
            local,
            sender,
        })
    }

    /// Returns the local address, which the balancer sees as the caller's address.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Returns true once the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one call and returns its whole answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ClientError> {
        let address = self.address;
        if self.sender.ready().await.is_err() {
            return Err(ClientError::NotSent { address });
        }
        let res = self.sender.try_send_request(req).await;
        let res: Response<Incoming> = match res {
            Ok(res) => res,
            Err(mut err) => {
                return Err(match err.take_message() {
                    Some(_) => ClientError::NotSent { address },
                    None => ClientError::Broken { address },
                });
            }
        };
        let (head, body) = res.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| ClientError::Broken { address })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Sends one call over a new connection and returns its whole answer.
pub async fn call(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, ClientError> {
    let exchange = async { Connection::open(address).await?.send(req).await };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(answered) => answered,
        Err(_) => Err(ClientError::TimedOut { address, timeout }),
    }
}
