//! Links between nodes: datagrams that tell who owns, and questions to the owner over TCP.

mod asking;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use guavacart_jobs::{Event, Job, JobKey, JobState, QueueName};
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
    owner::Owner,
    records,
    shared::{Leader, Shared},
    submit::{self, Outcome},
};
use asking::{AskError, Connection};

/// How often the owner tells the others that it owns.
pub(crate) const BEAT_INTERVAL: Span = Span::millis(200);
/// How often a node tells the owner that it wants to be told.
const HELLO_INTERVAL: Span = Span::millis(1_000);
/// Time after which a node that said nothing is told no more; five hellos.
const FOLLOWER_SILENCE: Span = Span::secs(5);
/// Pause of the accept loop after an error.
const ACCEPT_PAUSE: Span = Span::millis(100);
/// Longest frame; a job's body and its record stay below.
const MAX_FRAME: u32 = 1 << 20;
/// Answers of one link that wait to be written.
const MAX_UNWRITTEN: usize = 256;
/// Time without a beat after which a node is alone; seven beats.
const ALONE_AFTER: Span = Span::millis(1_400);
/// Longest datagram.
const MAX_DATAGRAM: usize = 512;

#[derive(Debug, Deserialize, Serialize)]
enum Datagram {
    /// The sender wants to be told who owns.
    Hello,
    /// The sender owns.
    Beat {
        epoch: Epoch,
        name: SmolStr,
        links: SocketAddr,
        /// Time since the store last confirmed it.
        unconfirmed: Span,
    },
    /// The sender owns no more.
    Bye { epoch: Epoch },
}

/// What a node asks the owner.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Question {
    /// A job stands in the store.
    Accepted(JobKey, Box<Job>),
    /// A cancel stands in the store.
    Cancelled(JobKey),
    /// How far a job is.
    State(JobKey),
    /// How many jobs of a queue wait.
    Waiting(QueueName),
    /// Store a job for a node that the store does not serve.
    Store(JobKey, Box<Job>),
    /// Store a cancel for such a node.
    StoreCancel(JobKey),
}

impl Question {
    /// True if the answer waits for the store.
    fn writes(&self) -> bool {
        matches!(self, Self::Store(..) | Self::StoreCancel(_))
    }
}

/// What the owner answers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// It was taken in.
    Noted,
    /// How far the job is, if the owner knows it.
    State(Option<JobState>),
    /// So many jobs wait.
    Waiting(u64),
    /// What became of the write.
    Stored(Outcome),
    /// The node that was asked does not own.
    NotOwner,
}

#[derive(Debug, Deserialize, Serialize)]
struct Frame<T> {
    number: u32,
    body: T,
}

/// A node's links.
pub(crate) struct Links<P> {
    shared: Rc<Shared<P>>,
    socket: UdpSocket,
    followers: RefCell<BTreeMap<SocketAddr, Timestamp>>,
    /// When the owner was last heard, and how long the store had not confirmed it then.
    heard: Cell<(Timestamp, Span)>,
    /// Signalled when the owner says that it ends.
    pub(crate) vacated: Notify,
    connection: RefCell<Option<Connection>>,
}

impl<P: Platform> Links<P> {
    /// Binds the socket and the listener, and serves them.
    pub(crate) async fn bind(shared: Rc<Shared<P>>) -> io::Result<Rc<Self>> {
        let address = shared.settings.links;
        let listener = TcpListener::bind(address).await?;
        let links = Rc::new(Self {
            socket: UdpSocket::bind(address).await?,
            shared,
            followers: RefCell::default(),
            heard: Cell::new((Timestamp(0), Span::ZERO)),
            vacated: Notify::new(),
            connection: RefCell::new(None),
        });
        task::spawn_local(Rc::clone(&links).receive());
        task::spawn_local(Rc::clone(&links).accept(listener));
        task::spawn_local(Rc::clone(&links).greet());
        Ok(links)
    }

    /// When the owner was last heard, and how long the store had not confirmed it then.
    pub(crate) fn heard(&self) -> (Timestamp, Span) {
        self.heard.get()
    }

    /// Takes a leader read from the store, and greets it.
    pub(crate) async fn follow(&self, leader: Leader) {
        let is_new = self.shared.leader.borrow().as_ref() != Some(&leader);
        if is_new {
            tracing::info!(event = "leader", epoch = %leader.epoch, name = %leader.name, from = "store");
            *self.shared.leader.borrow_mut() = Some(leader.clone());
        }
        self.send(leader.links, &Datagram::Hello).await;
    }

    /// Tells the others for as long as this node owns.
    pub(crate) async fn beat(self: Rc<Self>, owner: Rc<Owner<P>>) {
        while owner.is_alive() {
            let beat = Datagram::Beat {
                epoch: owner.epoch,
                name: self.shared.settings.name.clone(),
                links: self.shared.settings.links,
                unconfirmed: owner.unconfirmed(),
            };
            self.tell_followers(&beat).await;
            time::sleep(BEAT_INTERVAL.into()).await;
        }
        self.tell_followers(&Datagram::Bye { epoch: owner.epoch })
            .await;
    }

    async fn tell_followers(&self, datagram: &Datagram) {
        let now = clock::now();
        let followers: Vec<SocketAddr> = {
            let mut followers = self.followers.borrow_mut();
            followers.retain(|_, heard| now.since(*heard) < FOLLOWER_SILENCE);
            followers.keys().copied().collect()
        };
        for follower in followers {
            self.send(follower, datagram).await;
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        // Datagrams may be lost anyway; each is sent again at its interval.
        if let Err(err) = self.socket.send_to(&records::encode(datagram), to).await {
            tracing::debug!(event = "datagram_not_sent", %to, cause = %err);
        }
    }

    async fn greet(self: Rc<Self>) {
        loop {
            time::sleep(HELLO_INTERVAL.into()).await;
            let leader = self.shared.leader.borrow().clone();
            if let Some(leader) = leader.filter(|_| self.shared.owner().is_none()) {
                self.send(leader.links, &Datagram::Hello).await;
            }
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buf = [0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match records::decode(&buf[..len]) {
                    Some(datagram) => self.take(from, datagram),
                    None => tracing::debug!(event = "unreadable_datagram", %from),
                },
                Err(err) => {
                    tracing::warn!(event = "datagram_error", cause = %err);
                    time::sleep(ACCEPT_PAUSE.into()).await;
                }
            }
        }
    }

    fn take(&self, from: SocketAddr, datagram: Datagram) {
        let known = self
            .shared
            .leader
            .borrow()
            .as_ref()
            .map(|leader| leader.epoch);
        match datagram {
            Datagram::Hello => {
                self.followers.borrow_mut().insert(from, clock::now());
            }
            Datagram::Beat {
                epoch,
                name,
                links,
                unconfirmed,
            } => {
                if known.is_some_and(|known| known > epoch) {
                    return;
                }
                self.heard.set((clock::now(), unconfirmed));
                if known != Some(epoch) {
                    tracing::info!(event = "leader", %epoch, %name, from = "beat");
                    *self.shared.leader.borrow_mut() = Some(Leader { epoch, name, links });
                }
                if let Some(owner) = self.shared.owner().filter(|owner| owner.epoch < epoch) {
                    owner.step_down("another node tells of a greater epoch");
                }
            }
            Datagram::Bye { epoch } => {
                if known == Some(epoch) {
                    self.heard.set((Timestamp(0), Span::ZERO));
                    self.vacated.notify_one();
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
                        // The other side asks again over a new connection.
                        if let Err(err) = links.answer(stream).await {
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

    async fn answer(self: Rc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        let (replies, unwritten) = flume::bounded::<Frame<Reply>>(MAX_UNWRITTEN);
        let writing = task::spawn_local(async move {
            while let Ok(frame) = unwritten.recv_async().await {
                write_frame(&mut writer, &frame).await?;
            }
            io::Result::Ok(())
        });
        while !writing.is_finished() {
            let Frame { number, body } = read_frame::<Frame<Question>>(&mut reader).await?;
            let links = Rc::clone(&self);
            let replies = replies.clone();
            let replying = async move {
                let body = if body.writes() {
                    links.store_for_peer(body).await
                } else {
                    links.reply(body)
                };
                // The asker may have gone.
                let _ = replies.send_async(Frame { number, body }).await;
            };
            task::spawn_local(replying);
        }
        Ok(())
    }

    /// Writes to the store, as the owner, for a node that it does not serve.
    async fn store_for_peer(&self, question: Question) -> Reply {
        let Some(owner) = self.shared.owner() else {
            return Reply::NotOwner;
        };
        let shared = &self.shared;
        let (key, outcome) = match &question {
            Question::Store(key, job) => (*key, submit::store_job_once(shared, *key, job).await),
            Question::StoreCancel(key) => (*key, submit::store_cancel_once(shared, *key).await),
            _ => return Reply::Noted,
        };
        tracing::info!(event = "stored_for_peer", job = %key, ?outcome);
        if outcome == Outcome::Stored {
            match question {
                Question::Store(key, job) => owner.take_job(key, job),
                _ => owner.apply(Event::Cancelled(key)),
            }
        }
        Reply::Stored(outcome)
    }

    /// What this node says as the owner.
    fn reply(&self, question: Question) -> Reply {
        let Some(owner) = self.shared.owner() else {
            return Reply::NotOwner;
        };
        match question {
            Question::Accepted(key, job) => {
                owner.take_job(key, job);
                Reply::Noted
            }
            Question::Cancelled(key) => {
                owner.apply(Event::Cancelled(key));
                Reply::Noted
            }
            Question::State(key) => Reply::State(owner.job_state(key)),
            Question::Waiting(queue) => {
                Reply::Waiting(u64::try_from(owner.waiting(&queue)).unwrap_or(u64::MAX))
            }
            // Answered elsewhere, since they wait for the store.
            Question::Store(..) | Question::StoreCancel(_) => Reply::Stored(Outcome::NotStored),
        }
    }

    /// Asks the owner, wherever it is; `None` if no owner answers in time.
    pub(crate) async fn ask(&self, question: Question) -> Option<Reply> {
        if self.shared.owner().is_some() {
            return Some(self.reply(question));
        }
        let reply = self.ask_peer(question).await.ok();
        reply.filter(|reply| *reply != Reply::NotOwner)
    }

    /// Has the owner write to the store, if that is another node.
    pub(crate) async fn ask_to_store(&self, question: Question) -> Outcome {
        if self.shared.owner().is_some() || self.is_alone() {
            return Outcome::NotStored;
        }
        match self.ask_peer(question).await {
            Ok(Reply::Stored(outcome)) => outcome,
            Ok(_) | Err(AskError::NotAsked) => Outcome::NotStored,
            Err(AskError::NoAnswer) => Outcome::Unknown,
        }
    }

    /// True if no owner has been heard for a while.
    pub(crate) fn is_alone(&self) -> bool {
        self.shared.owner().is_none() && clock::now().since(self.heard.get().0) >= ALONE_AFTER
    }

    async fn ask_peer(&self, question: Question) -> Result<Reply, AskError> {
        let leader = self
            .shared
            .leader
            .borrow()
            .as_ref()
            .map(|leader| leader.links);
        let leader = leader.ok_or(AskError::NotAsked)?;
        let connection = self.connection.borrow_mut().take();
        let connection = connection.filter(|connection| connection.leads_to(leader));
        let connection = match connection {
            Some(connection) => connection,
            None => Connection::open(leader).await.ok_or(AskError::NotAsked)?,
        };
        let kept = connection.clone();
        self.connection.borrow_mut().get_or_insert(kept);
        let reply = connection.ask(question).await;
        if reply.is_err() {
            let mut current = self.connection.borrow_mut();
            if current
                .as_ref()
                .is_some_and(|current| current.is_same(&connection))
            {
                *current = None;
            }
        }
        reply
    }
}

async fn read_frame<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let len = stream.read_u32().await?;
    if len > MAX_FRAME {
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
