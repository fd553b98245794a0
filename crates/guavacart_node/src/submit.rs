//! Accepts jobs and cancels, and tells how far jobs are; each answer is backed by the store.

use std::rc::Rc;

use guavacart_jobs::{Job, JobKey, JobState, Progress, QueueName};
use guavacart_types::{Revision, Span, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::{task, time};

use crate::{
    Content, Item, Key, Platform, Put, StoreError, Value, Write, clock,
    links::{Links, Question, Reply},
    records,
    shared::Shared,
};

/// Part of a caller's wait that is kept for the way back.
const ANSWER_MARGIN: Span = Span::millis(150);
/// Pause before a refused or lost call is tried again.
const RETRY_PAUSE: Span = Span::millis(60);
/// Refused trials after which the caller is told to come back.
const MAX_REFUSED: u32 = 2;

/// What a submitter is told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// It stands in the store.
    Stored,
    /// There is no such job.
    NoSuchJob,
    /// It certainly was not stored; come back later.
    NotStored,
    /// It may have been stored.
    Unknown,
}

/// Accepts jobs and cancels for one node.
pub(crate) struct Submitter<P> {
    pub(crate) shared: Rc<Shared<P>>,
    pub(crate) links: Rc<Links<P>>,
}

impl<P: Platform> Submitter<P> {
    /// Stores a job; a repeat finds the job that stands there.
    pub(crate) async fn submit(
        self: &Rc<Self>,
        key: JobKey,
        job: Job,
        until: Timestamp,
    ) -> Outcome {
        let for_owner = || Question::Store(key, Box::new(job.clone()));
        let outcome = self.store(job_write(key, &job), for_owner, until).await;
        if outcome == Outcome::Stored {
            self.shared.counters.accepted.add(1);
            self.tell(Question::Accepted(key, Box::new(job)));
        }
        outcome
    }

    /// Stores a cancel of an accepted job.
    pub(crate) async fn cancel(self: &Rc<Self>, key: JobKey, until: Timestamp) -> Outcome {
        let found = self.read(Key::Job(key), until).await;
        let item = match found {
            Ok(Some(item)) => item,
            Ok(None) => return Outcome::NoSuchJob,
            Err(_) => return self.links.ask_to_store(Question::StoreCancel(key)).await,
        };
        let write = cancel_write(key, item.revision);
        let for_owner = || Question::StoreCancel(key);
        let outcome = self.store(write, for_owner, until).await;
        if outcome == Outcome::Stored {
            self.shared.counters.cancelled.add(1);
            self.tell(Question::Cancelled(key));
        }
        outcome
    }

    /// Writes once, whatever happens to the answers; a conflict means that it stands already. Where the
    /// store does not serve this node, the owner is asked once to write in its place.
    async fn store(
        &self,
        write: Write,
        for_owner: impl Fn() -> Question,
        until: Timestamp,
    ) -> Outcome {
        let mut refused = 0;
        let mut is_unknown = false;
        let mut is_asked = false;
        loop {
            if !self.shared.health.serves() && !std::mem::replace(&mut is_asked, true) {
                match self.links.ask_to_store(for_owner()).await {
                    Outcome::NotStored => {}
                    Outcome::Unknown => is_unknown = true,
                    done => return done,
                }
            }
            if !is_unknown && !self.shared.health.serves() {
                return Outcome::NotStored;
            }
            let left = (until - ANSWER_MARGIN).since(clock::now());
            let call = self.shared.platform.commit(write.clone());
            let result = time::timeout(left.into(), call).await;
            let result = result.unwrap_or(Err(StoreError::NoAnswer));
            self.shared.counters.store_writes.add(1);
            self.shared.health.note(&result);
            match outcome_of(&result) {
                Outcome::NotStored => refused += 1,
                Outcome::Unknown => is_unknown = true,
                done => return done,
            }
            let is_late = clock::now() + ANSWER_MARGIN + RETRY_PAUSE >= until;
            if !is_unknown && (refused >= MAX_REFUSED || is_late) {
                return Outcome::NotStored;
            }
            if is_late {
                return Outcome::Unknown;
            }
            time::sleep(RETRY_PAUSE.into()).await;
        }
    }

    /// Tells the owner without waiting; it finds in the store what it was not told.
    fn tell(self: &Rc<Self>, question: Question) {
        let this = Rc::clone(self);
        task::spawn_local(async move {
            if this.links.ask(question).await.is_none() {
                tracing::debug!(event = "owner_not_told");
            }
        });
    }

    /// How far a job is, by the owner or else by the store; `None` if there is no such job.
    pub(crate) async fn state(
        &self,
        key: JobKey,
        until: Timestamp,
    ) -> Result<Option<JobState>, StoreError> {
        if let Some(Reply::State(Some(state))) = self.links.ask(Question::State(key)).await {
            return Ok(Some(state));
        }
        self.shared.counters.answered_by_store.add(1);
        let progress = self.read(Key::Progress(key), until).await?;
        if let Some(progress) = progress.and_then(progress_of) {
            return Ok(Some(match progress.outcome {
                Some(outcome) => JobState::Ended(outcome),
                None => JobState::Running,
            }));
        }
        let job = self.read(Key::Job(key), until).await?;
        Ok(job.map(|_| JobState::Queued))
    }

    /// How many jobs of a queue wait, by the owner; `None` if no owner answers.
    pub(crate) async fn waiting(&self, queue: QueueName) -> Option<usize> {
        match self.links.ask(Question::Waiting(queue)).await {
            Some(Reply::Waiting(waiting)) => usize::try_from(waiting).ok(),
            _ => None,
        }
    }

    async fn read(&self, key: Key, until: Timestamp) -> Result<Option<Item>, StoreError> {
        let mut refused = 0;
        loop {
            if !self.shared.health.serves() {
                return Err(StoreError::NotSent);
            }
            let result = self.shared.platform.get(key).await;
            self.shared.counters.store_reads.add(1);
            self.shared.health.note(&result);
            let Err(err) = result else {
                return result;
            };
            refused += 1;
            if refused > MAX_REFUSED || clock::now() + ANSWER_MARGIN + RETRY_PAUSE >= until {
                return Err(err);
            }
            time::sleep(RETRY_PAUSE.into()).await;
        }
    }
}

fn job_write(key: JobKey, job: &Job) -> Write {
    Write {
        expected: vec![(Key::Job(key), Revision(0))],
        puts: vec![own_put(Key::Job(key), records::encode(job))],
        removes: Vec::new(),
    }
}

fn cancel_write(key: JobKey, job: Revision) -> Write {
    Write {
        expected: vec![(Key::Job(key), job)],
        puts: vec![own_put(Key::Cancel(key), Vec::new())],
        removes: Vec::new(),
    }
}

/// Stores a job by one call, for another node.
pub(crate) async fn store_job_once<P: Platform>(
    shared: &Shared<P>,
    key: JobKey,
    job: &Job,
) -> Outcome {
    commit_once(shared, job_write(key, job)).await
}

/// Stores a cancel by one call, for another node.
pub(crate) async fn store_cancel_once<P: Platform>(shared: &Shared<P>, key: JobKey) -> Outcome {
    let found = shared.platform.get(Key::Job(key)).await;
    shared.counters.store_reads.add(1);
    shared.health.note(&found);
    match found {
        Ok(Some(item)) => commit_once(shared, cancel_write(key, item.revision)).await,
        Ok(None) => Outcome::NoSuchJob,
        Err(_) => Outcome::NotStored,
    }
}

async fn commit_once<P: Platform>(shared: &Shared<P>, write: Write) -> Outcome {
    if !shared.health.serves() {
        return Outcome::NotStored;
    }
    let result = shared.platform.commit(write).await;
    shared.counters.store_writes.add(1);
    shared.health.note(&result);
    outcome_of(&result)
}

/// What a write has come to; a conflict means that it stands already.
fn outcome_of(result: &Result<Revision, StoreError>) -> Outcome {
    match result {
        Ok(_) | Err(StoreError::Conflict(_)) => Outcome::Stored,
        Err(err) if err.is_undone() => Outcome::NotStored,
        Err(_) => Outcome::Unknown,
    }
}

fn own_put(key: Key, bytes: Vec<u8>) -> Put {
    Put {
        key,
        value: Value::Own(bytes),
        lease: None,
    }
}

fn progress_of(item: Item) -> Option<Progress> {
    match item.content {
        Content::Own(Key::Progress(_), Some(bytes)) => records::decode(&bytes),
        _ => None,
    }
}
