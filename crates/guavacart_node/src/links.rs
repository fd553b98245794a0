//! Links between nodes: heartbeats of the owner as datagrams, and requests to the owner over TCP.

mod client;
mod explain;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use guavacart_jobs::{Event, Explanation, Job, JobKey, JobState, QueueName};
use guavacart_types::{Epoch, Span, Timestamp};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::Notify,
    task, time,
};

use crate::{
    Platform, clock,
    election::OWNER_LEASE,
    owner::Owner,
    records,
    shared::{KnownOwner, Shared},
    submit::{self, Outcome},
};
use client::{Connection, RequestError};

/// How often the owner sends heartbeats to its followers.
pub(crate) const HEARTBEAT_INTERVAL: Span = Span::millis(200);
/// How often a node asks the owner for its heartbeats.
const SUBSCRIBE_INTERVAL: Span = Span::millis(1_000);
/// Time without a `Subscribe` after which a node gets no more heartbeats; five subscribe intervals.
const FOLLOWER_TIMEOUT: Span = Span::secs(5);
/// Pause of the accept and receive loops after an error.
const ACCEPT_PAUSE: Span = Span::millis(100);
/// Longest frame, in bytes; a job's body and its record are shorter.
const MAX_FRAME_BYTES: u32 = 1 << 20;
/// Replies of one link that may wait to be written.
const MAX_UNWRITTEN_REPLIES: usize = 256;
/// Time without a heartbeat after which a node counts the owner as lost; seven heartbeat intervals.
const OWNER_LOST_AFTER: Span = Span::millis(1_400);
/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;

#[derive(Debug, Deserialize, Serialize)]
enum Datagram {
    /// Asks the owner to send its heartbeats to the sender.
    Subscribe,
    /// The sender is the owner.
    Heartbeat {
        epoch: Epoch,
        name: SmolStr,
        links: SocketAddr,
        /// Time since the store last confirmed the owner's lease.
        unconfirmed_for: Span,
    },
    /// The sender is no longer the owner.
    Resigned { epoch: Epoch },
}

/// A request of a node to the owner.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// A job has been stored.
    Accepted(JobKey, Box<Job>),
    /// A cancel has been stored.
    Cancelled(JobKey),
    /// Asks for the state of a job.
    State(JobKey),
    /// Asks how many jobs of a queue wait.
    Waiting(QueueName),
    /// Stores a job for a node that the store does not serve.
    Store(JobKey, Box<Job>),
    /// Stores a cancel for a node that the store does not serve.
    StoreCancel(JobKey),
    /// Asks where the tasks of a job would start. Nodes of an earlier build do not know it.
    Explain(Box<Job>),
}

impl PeerRequest {
    /// True if the owner writes to the store before it replies.
    fn writes_to_store(&self) -> bool {
        matches!(self, Self::Store(..) | Self::StoreCancel(_))
    }
}

/// The owner's reply to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// The owner applied the request.
    Applied,
    /// The job's state; `None` if the owner does not know the job.
    State(Option<JobState>),
    /// Number of jobs that wait.
    Waiting(u64),
    /// Outcome of the write to the store.
    Stored(Outcome),
    /// The receiver of the request is not the owner.
    NotOwner,
    /// Where the tasks of a job would start.
    Explained(Box<Explanation>),
}

#[derive(Debug, Deserialize, Serialize)]
struct Frame<T> {
    /// Number of the request on its link; the reply carries the same number.
    number: u32,
    body: T,
}

/// The links of one node to the others.
pub(crate) struct Links<P> {
    shared: Rc<Shared<P>>,
    socket: UdpSocket,
    /// Nodes that asked for heartbeats, and when each last did.
    followers: RefCell<BTreeMap<SocketAddr, Timestamp>>,
    /// When the last heartbeat came, and how long the owner's lease had been unconfirmed then.
    last_heartbeat: Cell<(Timestamp, Span)>,
    /// Signalled when the owner reports that it has resigned.
    pub(crate) owner_resigned: Notify,
    /// The link to the owner, once opened.
    connection: RefCell<Option<Connection>>,
}

impl<P: Platform> Links<P> {
    /// Binds the datagram socket and the listener, and starts the tasks that serve them.
    pub(crate) async fn bind(shared: Rc<Shared<P>>) -> io::Result<Rc<Self>> {
        let address = shared.settings.links;
        let listener = TcpListener::bind(address).await?;
        let links = Rc::new(Self {
            socket: UdpSocket::bind(address).await?,
            shared,
            followers: RefCell::default(),
            last_heartbeat: Cell::new((Timestamp(0), Span::ZERO)),
            owner_resigned: Notify::new(),
            connection: RefCell::new(None),
        });
        task::spawn_local(Rc::clone(&links).receive());
        task::spawn_local(Rc::clone(&links).accept(listener));
        task::spawn_local(Rc::clone(&links).keep_subscribed());
        Ok(links)
    }

    /// Returns when the last heartbeat came, and how long the owner's lease had been unconfirmed
    /// then.
    pub(crate) fn last_heartbeat(&self) -> (Timestamp, Span) {
        self.last_heartbeat.get()
    }

    /// Remembers an owner that was read from the store, and asks it for heartbeats.
    pub(crate) async fn follow(&self, owner: KnownOwner) {
        let is_new = self.shared.known_owner.borrow().as_ref() != Some(&owner);
        if is_new {
            tracing::info!(
                event = "leader", epoch = %owner.epoch, name = %owner.name, from = "store"
            );
            *self.shared.known_owner.borrow_mut() = Some(owner.clone());
        }
        self.send(owner.links, &Datagram::Subscribe).await;
    }

    /// Sends heartbeats to the followers while this node is the owner, and `Resigned` at the end.
    pub(crate) async fn send_heartbeats(self: Rc<Self>, owner: Rc<Owner<P>>) {
        while owner.is_active() {
            let heartbeat = Datagram::Heartbeat {
                epoch: owner.epoch,
                name: self.shared.settings.name.clone(),
                links: self.shared.settings.links,
                unconfirmed_for: owner.unconfirmed_for(),
            };
            self.send_to_followers(&heartbeat).await;
            time::sleep(HEARTBEAT_INTERVAL.into()).await;
        }
        self.send_to_followers(&Datagram::Resigned { epoch: owner.epoch })
            .await;
    }

    async fn send_to_followers(&self, datagram: &Datagram) {
        let now = clock::now();
        let followers: Vec<SocketAddr> = {
            let mut followers = self.followers.borrow_mut();
            followers.retain(|_, subscribed_at| now.since(*subscribed_at) < FOLLOWER_TIMEOUT);
            followers.keys().copied().collect()
        };
        for follower in followers {
            self.send(follower, datagram).await;
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        // A datagram may be lost on the way as well; the next one follows after the interval.
        if let Err(err) = self.socket.send_to(&records::encode(datagram), to).await {
            tracing::debug!(event = "datagram_not_sent", %to, cause = %err);
        }
    }

    async fn keep_subscribed(self: Rc<Self>) {
        loop {
            time::sleep(SUBSCRIBE_INTERVAL.into()).await;
            let owner = self.shared.known_owner.borrow().clone();
            if let Some(owner) = owner.filter(|_| self.shared.owner().is_none()) {
                self.send(owner.links, &Datagram::Subscribe).await;
            }
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match records::decode(&buf[..len]) {
                    Some(datagram) => self.handle_datagram(from, datagram),
                    None => tracing::debug!(event = "unreadable_datagram", %from),
                },
                Err(err) => {
                    tracing::warn!(event = "datagram_error", cause = %err);
                    time::sleep(ACCEPT_PAUSE.into()).await;
                }
            }
        }
    }

    fn handle_datagram(&self, from: SocketAddr, datagram: Datagram) {
        let known_epoch = self
            .shared
            .known_owner
            .borrow()
            .as_ref()
            .map(|owner| owner.epoch);
        match datagram {
            Datagram::Subscribe => {
                self.followers.borrow_mut().insert(from, clock::now());
            }
            Datagram::Heartbeat {
                epoch,
                name,
                links,
                unconfirmed_for,
            } => {
                if known_epoch.is_some_and(|known_epoch| known_epoch > epoch) {
                    return;
                }
                self.last_heartbeat.set((clock::now(), unconfirmed_for));
                if known_epoch != Some(epoch) {
                    tracing::info!(event = "leader", %epoch, %name, from = "beat");
                    *self.shared.known_owner.borrow_mut() = Some(KnownOwner { epoch, name, links });
                }
                if let Some(owner) = self.shared.owner().filter(|owner| owner.epoch < epoch) {
                    owner.step_down("another node reported a greater epoch");
                }
            }
            Datagram::Resigned { epoch } => {
                if known_epoch == Some(epoch) {
                    self.last_heartbeat.set((Timestamp(0), Span::ZERO));
                    self.owner_resigned.notify_one();
                }
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let links = Rc::clone(&self);
                    task::spawn_local(async move {
                        // The other node sends its request again over a new connection.
                        if let Err(err) = links.serve_link(stream).await {
                            tracing::debug!(event = "link_closed", cause = %err);
                        }
                    });
                }
                Err(err) => {
                    tracing::warn!(event = "link_accept_error", cause = %err);
                    time::sleep(ACCEPT_PAUSE.into()).await;
                }
            }
        }
    }

    async fn serve_link(self: Rc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        let (replies, unwritten) = flume::bounded::<Frame<Reply>>(MAX_UNWRITTEN_REPLIES);
        let writer_task = task::spawn_local(async move {
            while let Ok(frame) = unwritten.recv_async().await {
                write_frame(&mut writer, &frame).await?;
            }
            io::Result::Ok(())
        });
        while !writer_task.is_finished() {
            let Frame { number, body } = read_frame::<Frame<PeerRequest>>(&mut reader).await?;
            if !body.writes_to_store() {
                let body = self.reply(body);
                // The requesting node may have closed the connection.
                let _ = replies.send_async(Frame { number, body }).await;
                continue;
            }
            let links = Rc::clone(&self);
            let replies = replies.clone();
            task::spawn_local(async move {
                let body = links.store_for_peer(body).await;
                // The requesting node may have closed the connection.
                let _ = replies.send_async(Frame { number, body }).await;
            });
        }
        Ok(())
    }

    /// Writes to the store, as the owner, for a node that the store does not serve.
    async fn store_for_peer(&self, request: PeerRequest) -> Reply {
        let Some(owner) = self.shared.owner() else {
            return Reply::NotOwner;
        };
        let shared = &self.shared;
        let (key, outcome) = match &request {
            PeerRequest::Store(key, job) => (*key, submit::store_job_once(shared, *key, job).await),
            PeerRequest::StoreCancel(key) => (*key, submit::store_cancel_once(shared, *key).await),
            _ => return Reply::Applied,
        };
        tracing::info!(event = "stored_for_peer", job = %key, ?outcome);
        if outcome == Outcome::Stored {
            match request {
                PeerRequest::Store(key, job) => owner.accept_job(key, job),
                _ => owner.apply(Event::JobCancelled(key)),
            }
        }
        Reply::Stored(outcome)
    }

    /// Replies as the owner to a request that needs no write to the store.
    fn reply(&self, request: PeerRequest) -> Reply {
        let Some(owner) = self.shared.owner() else {
            return Reply::NotOwner;
        };
        match request {
            PeerRequest::Accepted(key, job) => {
                owner.accept_job(key, job);
                Reply::Applied
            }
            PeerRequest::Cancelled(key) => {
                owner.apply(Event::JobCancelled(key));
                Reply::Applied
            }
            PeerRequest::State(key) => Reply::State(owner.job_state(key)),
            PeerRequest::Waiting(queue) => {
                Reply::Waiting(u64::try_from(owner.queued_jobs(&queue)).unwrap_or(u64::MAX))
            }
            PeerRequest::Explain(job) => Reply::Explained(Box::new(owner.explain(&job))),
            // Handled by `store_for_peer`, since they wait for the store.
            PeerRequest::Store(..) | PeerRequest::StoreCancel(_) => {
                Reply::Stored(Outcome::NotStored)
            }
        }
    }

    /// Sends a request to the owner, which may be this node; `None` if no owner replies in time.
    pub(crate) async fn ask(&self, request: PeerRequest) -> Option<Reply> {
        if self.shared.owner().is_some() {
            return Some(self.reply(request));
        }
        let reply = self.ask_other_node(request).await.ok();
        reply.filter(|reply| *reply != Reply::NotOwner)
    }

    /// Asks the owner to write to the store, unless this node is the owner, or the store does not serve
    /// the owner either.
    pub(crate) async fn ask_to_store(&self, request: PeerRequest) -> Outcome {
        let (_, unconfirmed_for) = self.last_heartbeat.get();
        let is_owner_cut_off = unconfirmed_for >= OWNER_LEASE;
        if self.shared.owner().is_some() || self.has_lost_owner() || is_owner_cut_off {
            return Outcome::NotStored;
        }
        match self.ask_other_node(request).await {
            Ok(Reply::Stored(outcome)) => outcome,
            Ok(_) | Err(RequestError::NotSent) => Outcome::NotStored,
            Err(RequestError::NoReply) => Outcome::Unknown,
        }
    }

    /// True if this node is not the owner and has received no heartbeat for `OWNER_LOST_AFTER`.
    pub(crate) fn has_lost_owner(&self) -> bool {
        self.shared.owner().is_none()
            && clock::now().since(self.last_heartbeat.get().0) >= OWNER_LOST_AFTER
    }

    async fn ask_other_node(&self, request: PeerRequest) -> Result<Reply, RequestError> {
        let address = self
            .shared
            .known_owner
            .borrow()
            .as_ref()
            .map(|owner| owner.links);
        let address = address.ok_or(RequestError::NotSent)?;
        let connection = self.connection.borrow_mut().take();
        let connection = connection.filter(|connection| connection.is_open_to(address));
        let connection = match connection {
            Some(connection) => connection,
            None => Connection::open(address)
                .await
                .ok_or(RequestError::NotSent)?,
        };
        let cached = connection.clone();
        self.connection.borrow_mut().get_or_insert(cached);
        let reply = connection.ask(request).await;
        if reply.is_err() {
            let mut current = self.connection.borrow_mut();
            if current
                .as_ref()
                .is_some_and(|current| current.is_same_link(&connection))
            {
                *current = None;
            }
        }
        reply
    }
}

async fn read_frame<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let len = stream.read_u32().await?;
    if len > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut buf = vec![0; usize::try_from(len).unwrap_or_default()];
    stream.read_exact(&mut buf).await?;
    records::decode(&buf).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

async fn write_frame<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    frame: &T,
) -> io::Result<()> {
    let bytes = records::encode(frame);
    let len = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    let mut buf = Vec::with_capacity(bytes.len() + 4);
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(&bytes);
    stream.write_all(&buf).await
}
