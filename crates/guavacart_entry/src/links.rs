//! TCP links between entry instances: one for each direction, authenticated, in order.

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

pub(crate) use self::{accept::accept, dial::unsent};
use crate::{calls::CallIds, core::Input, listing::Addresses, metrics::Metrics};

/// Most frames that wait for one peer.
const QUEUE_FRAMES: usize = 4_096;

/// What both ends of a link need.
#[derive(Debug)]
pub(crate) struct LinkContext {
    pub(crate) me: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) key: Secret,
    pub(crate) addresses: Addresses,
    pub(crate) inbox: Sender<Input>,
    pub(crate) call_ids: CallIds,
    pub(crate) metrics: Metrics,
    /// Bytes of frames; what greets and what acknowledges is not counted.
    pub(crate) traffic: Traffic,
    /// Questions to peers that wait for their replies.
    asked: Mutex<HashMap<u64, oneshot::Sender<Vec<u8>>>>,
    next_ask: AtomicU64,
}

impl LinkContext {
    pub(crate) fn new(
        me: Member,
        key: Secret,
        addresses: Addresses,
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
            asked: Mutex::default(),
            next_ask: AtomicU64::new(0),
        }
    }

    /// Hands a peer's reply to whoever asked.
    fn replied(&self, id: u64, body: Vec<u8>) {
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(reply) = asked.remove(&id) {
            // The asker may have given up.
            let _ = reply.send(body);
        }
    }
}

/// The links to all peers.
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

    /// Queues a frame for a peer, or gives it back where too many wait; never blocks.
    pub(crate) fn send(&self, to: &InstanceId, frame: Frame) -> Result<(), Box<Frame>> {
        let queue = self.queue(to);
        queue.try_send(frame).map_err(|err| {
            self.cx.metrics.count("links.queue_full");
            Box::new(err.into_inner())
        })
    }

    /// Asks a peer a question; none if no answer comes within `wait`.
    pub(crate) fn ask(
        &self,
        to: &InstanceId,
        question: Question,
        wait: Duration,
    ) -> impl Future<Output = Option<Vec<u8>>> + Send + use<> {
        let id = self.cx.next_ask.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let cx = self.cx.clone();
        let mut asked = cx.asked.lock().unwrap_or_else(PoisonError::into_inner);
        asked.insert(id, tx);
        drop(asked);
        // An unsent question has no answer in time.
        let _ = self.send(to, Frame::Ask { id, question });
        async move {
            let reply = tokio::time::timeout(wait, rx).await;
            let mut asked = cx.asked.lock().unwrap_or_else(PoisonError::into_inner);
            asked.remove(&id);
            reply.ok()?.ok()
        }
    }

    fn queue(&self, to: &InstanceId) -> Sender<Frame> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(to) {
            return queue.clone();
        }
        let (tx, rx) = flume::bounded(QUEUE_FRAMES);
        self.runtime
            .spawn(dial::write_all(self.cx.clone(), to.clone(), rx));
        queues.insert(to.clone(), tx.clone());
        tx
    }
}
