//! The asking side of a link.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use thiserror::Error;
use tokio::{
    net::{TcpStream, tcp::OwnedReadHalf},
    sync::oneshot,
    task, time,
};

use super::{Frame, Question, Reply, read_frame, write_frame};

/// Longest time for an answer; the store is asked instead after it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for an answer of the owner that writes to the store for this node.
const STORED_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time to open a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Questions that wait to be written; more are not asked.
const MAX_QUEUED: usize = 256;

type Waiting = Rc<RefCell<HashMap<u32, oneshot::Sender<Reply>>>>;

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum AskError {
    /// It was not sent.
    #[error("no link to the owner; the question was not sent")]
    NotAsked,
    /// It may have been taken in.
    #[error("the owner did not answer in time")]
    NoAnswer,
}

/// One open link; clones share it.
#[derive(Clone)]
pub(super) struct Connection {
    to: SocketAddr,
    questions: flume::Sender<(Question, oneshot::Sender<Reply>)>,
}

impl Connection {
    pub(super) async fn open(to: SocketAddr) -> Option<Self> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, mut writer) = stream.into_split();
        let (questions, queued) = flume::bounded::<(Question, oneshot::Sender<Reply>)>(MAX_QUEUED);
        let waiting = Waiting::default();
        let for_answers = Rc::clone(&waiting);
        let answers = task::spawn_local(async move { read_answers(reader, &for_answers).await });
        task::spawn_local(async move {
            let mut number = 0_u32;
            while let Ok((body, tx)) = queued.recv_async().await {
                number = number.wrapping_add(1);
                waiting.borrow_mut().insert(number, tx);
                let frame = Frame { number, body };
                if answers.is_finished() || write_frame(&mut writer, &frame).await.is_err() {
                    break;
                }
            }
            // Whoever waits sees that no answer comes.
            waiting.borrow_mut().clear();
            answers.abort();
        });
        Some(Self { to, questions })
    }

    pub(super) fn leads_to(&self, address: SocketAddr) -> bool {
        self.to == address && !self.questions.is_disconnected()
    }

    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.questions.same_channel(&other.questions)
    }

    pub(super) async fn ask(&self, question: Question) -> Result<Reply, AskError> {
        let timeout = if question.writes() {
            STORED_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        let (tx, rx) = oneshot::channel();
        let sent = self.questions.try_send((question, tx));
        sent.map_err(|_| AskError::NotAsked)?;
        match time::timeout(timeout, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(AskError::NoAnswer),
        }
    }
}

async fn read_answers(mut reader: OwnedReadHalf, waiting: &Waiting) {
    while let Ok(Frame { number, body }) = read_frame::<Frame<Reply>>(&mut reader).await {
        if let Some(tx) = waiting.borrow_mut().remove(&number) {
            // The asker may have given up.
            let _ = tx.send(body);
        }
    }
    waiting.borrow_mut().clear();
}
