//! TCP links between entry instances.
//!
//! Each instance dials one link to each peer and sends on that link only. Frames are authenticated
//! and arrive in order.

mod accept;
mod channel;
mod dial;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use flume::Sender;
use guavacart_config::Secret;
use guavacart_platform::Traffic;
use guavacart_scheduler::membership::Member;
use guavacart_types::{Incarnation, InstanceId};
use guavacart_wire::{Frame, Question};
use tokio::sync::oneshot;

pub(crate) use self::{accept::accept, dial::event_for_unsent};
use crate::{calls::CallIds, listing::PeerAddresses, metrics::Metrics, reducer_thread::Input};

/// Capacity of the queue of frames to one peer.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// State shared by all links of this instance.
#[derive(Debug)]
pub(crate) struct LinkContext {
    pub(crate) me: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) key: Secret,
    pub(crate) addresses: PeerAddresses,
    pub(crate) inbox: Sender<Input>,
    pub(crate) call_ids: CallIds,
    pub(crate) metrics: Metrics,
    /// Counts the bytes of frames, without handshakes and TCP's own overhead.
    pub(crate) traffic: Traffic,
    /// Questions to peers that wait for a reply, by id.
    questions: Mutex<HashMap<u64, oneshot::Sender<Vec<u8>>>>,
    next_question_id: AtomicU64,
}

impl LinkContext {
    pub(crate) fn new(
        me: Member,
        key: Secret,
        addresses: PeerAddresses,
        inbox: Sender<Input>,
        call_ids: CallIds,
        metrics: Metrics,
        traffic: Traffic,
    ) -> Self {
        Self {
            me: me.id,
            incarnation: me.incarnation,
            key,
            addresses,
            inbox,
            call_ids,
            metrics,
            traffic,
            questions: Mutex::default(),
            next_question_id: AtomicU64::new(0),
        }
    }

    /// Passes a peer's reply to the task that asked the question.
    fn deliver_reply(&self, id: u64, body: Vec<u8>) {
        let mut questions = self
            .questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(reply) = questions.remove(&id) {
            // Fails if the requester has timed out.
            let _ = reply.send(body);
        }
    }
}

/// The links to and from all peers; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    pub(crate) cx: Arc<LinkContext>,
    runtime: tokio::runtime::Handle,
    queues: Arc<Mutex<HashMap<InstanceId, Sender<Frame>>>>,
}

impl Links {
    pub(crate) fn new(cx: Arc<LinkContext>, runtime: tokio::runtime::Handle) -> Self {
        Self {
            cx,
            runtime,
            queues: Arc::default(),
        }
    }

    /// Queues a frame for a peer without blocking.
    ///
    /// # Errors
    /// Returns the frame if the queue is full.
    pub(crate) fn send(&self, to: &InstanceId, frame: Frame) -> Result<(), Box<Frame>> {
        let queue = self.queue(to);
        queue.try_send(frame).map_err(|err| {
            self.cx.metrics.count("links.queue_full");
            Box::new(err.into_inner())
        })
    }

    /// Sends a question to a peer; the future yields the answer, or none if none arrives within
    /// `wait`.
    pub(crate) fn ask(
        &self,
        to: &InstanceId,
        question: Question,
        wait: Duration,
    ) -> impl Future<Output = Option<Vec<u8>>> + Send + use<> {
        let id = self.cx.next_question_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let cx = self.cx.clone();
        let mut questions = cx.questions.lock().unwrap_or_else(PoisonError::into_inner);
        questions.insert(id, tx);
        drop(questions);
        // A question that cannot be queued times out.
        let _ = self.send(to, Frame::Question { id, question });
        async move {
            let reply = tokio::time::timeout(wait, rx).await;
            let mut questions = cx.questions.lock().unwrap_or_else(PoisonError::into_inner);
            questions.remove(&id);
            reply.ok()?.ok()
        }
    }

    /// Returns the queue of frames to a peer; creates the queue and its writer on first use.
    fn queue(&self, to: &InstanceId) -> Sender<Frame> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(to) {
            return queue.clone();
        }
        let (tx, rx) = flume::bounded(MAX_QUEUED_FRAMES);
        self.runtime
            .spawn(dial::write_frames(self.cx.clone(), to.clone(), rx));
        queues.insert(to.clone(), tx.clone());
        tx
    }
}
