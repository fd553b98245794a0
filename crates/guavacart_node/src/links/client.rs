//! The requesting side of a link.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use thiserror::Error;
use tokio::{
    net::{TcpStream, tcp::OwnedReadHalf},
    sync::oneshot,
    task, time,
};

use super::{Frame, PeerRequest, Reply, read_frame, write_frame};

/// Longest wait for a reply; after it the node reads the store instead.
const REPLY_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for a reply when the owner writes to the store for this node.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for an explanation, for which an operator waits and no submitter.
const EXPLAIN_REPLY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time to open a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Requests that may wait to be written; further ones are not sent.
const MAX_QUEUED_REQUESTS: usize = 256;

type PendingReplies = Rc<RefCell<HashMap<u32, oneshot::Sender<Reply>>>>;

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum RequestError {
    /// The request was not sent.
    #[error("no link to the owner; the request was not sent")]
    NotSent,
    /// The owner may have applied the request.
    #[error("the owner did not reply in time")]
    NoReply,
}

/// A request that waits to be written.
struct QueuedRequest {
    body: PeerRequest,
    tx: oneshot::Sender<Reply>,
    /// Set before the first byte is written.
    is_sent: Rc<Cell<bool>>,
}

/// One open link to another node; clones share it.
#[derive(Clone)]
pub(super) struct Connection {
    to: SocketAddr,
    requests: flume::Sender<QueuedRequest>,
    /// True once the other node has closed the link.
    is_closed: Rc<Cell<bool>>,
}

impl Connection {
    pub(super) async fn open(to: SocketAddr) -> Option<Self> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, mut writer) = stream.into_split();
        let (requests, queued) = flume::bounded::<QueuedRequest>(MAX_QUEUED_REQUESTS);
        let pending = PendingReplies::default();
        let is_closed = Rc::new(Cell::new(false));
        let for_reader = (Rc::clone(&pending), Rc::clone(&is_closed));
        let reader_task = task::spawn_local(async move {
            read_replies(reader, &for_reader.0).await;
            for_reader.1.set(true);
        });
        task::spawn_local(async move {
            let mut number = 0_u32;
            while let Ok(QueuedRequest { body, tx, is_sent }) = queued.recv_async().await {
                // The requester no longer waits, and relies on this request not being sent.
                if tx.is_closed() {
                    continue;
                }
                if reader_task.is_finished() {
                    break;
                }
                number = number.wrapping_add(1);
                pending.borrow_mut().insert(number, tx);
                is_sent.set(true);
                if write_frame(&mut writer, &Frame { number, body })
                    .await
                    .is_err()
                {
                    break;
                }
            }
            // Dropping the senders ends the wait of every pending request.
            pending.borrow_mut().clear();
            reader_task.abort();
        });
        Some(Self {
            to,
            requests,
            is_closed,
        })
    }

    pub(super) fn is_open_to(&self, address: SocketAddr) -> bool {
        self.to == address && !self.requests.is_disconnected() && !self.is_closed.get()
    }

    pub(super) fn is_same_link(&self, other: &Self) -> bool {
        self.requests.same_channel(&other.requests)
    }

    pub(super) async fn ask(&self, body: PeerRequest) -> Result<Reply, RequestError> {
        let timeout = match &body {
            PeerRequest::Explain(_) => EXPLAIN_REPLY_TIMEOUT,
            body if body.writes_to_store() => STORE_REPLY_TIMEOUT,
            _ => REPLY_TIMEOUT,
        };
        let (tx, rx) = oneshot::channel();
        let is_sent = Rc::new(Cell::new(false));
        let request = QueuedRequest {
            body,
            tx,
            is_sent: Rc::clone(&is_sent),
        };
        let queued = self.requests.try_send(request);
        queued.map_err(|_| RequestError::NotSent)?;
        match time::timeout(timeout, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) if is_sent.get() => Err(RequestError::NoReply),
            Ok(Err(_)) | Err(_) => Err(RequestError::NotSent),
        }
    }
}

async fn read_replies(mut reader: OwnedReadHalf, pending: &PendingReplies) {
    while let Ok(Frame { number, body }) = read_frame::<Frame<Reply>>(&mut reader).await {
        if let Some(tx) = pending.borrow_mut().remove(&number) {
            // The requester may have timed out.
            let _ = tx.send(body);
        }
    }
    pending.borrow_mut().clear();
}
