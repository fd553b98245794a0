//! Accepts jobs and cancels, and reports the states of jobs; each answer follows from what is
//! stored.

use std::rc::Rc;

use guavacart_jobs::{Configuration, Job, JobKey, JobProgress, JobState, QueueName};
use guavacart_types::{Revision, Span, Timestamp};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::{task, time};

use crate::{
    Content, Item, Key, Platform, Put, StoreError, Value, Write, clock,
    links::{Links, PeerRequest, Reply},
    records,
    shared::Shared,
    watching,
};

/// Part of a caller's timeout that is left for the response to reach the caller.
const RESPONSE_MARGIN: Span = Span::millis(150);
/// Pause before a refused or unanswered call is tried again.
const RETRY_PAUSE: Span = Span::millis(60);
/// Longest time for a write that is made for another node.
const MAX_COMMIT_TIME: Span = Span::secs(1);
/// Refused calls after which the caller is asked to try again later.
const MAX_REFUSALS: u32 = 2;

/// The result of a submitter's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The job or the cancel is stored.
    Stored,
    /// There is no such job.
    NoSuchJob,
    /// It was certainly not stored; the caller may try again later.
    NotStored,
    /// It may or may not have been stored.
    Unknown,
}

/// The configuration has changed since the request's queue was looked up in it. The job was not
/// stored and will not be, since its write was conditional on the former configuration.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the configuration has changed; look the queue up again")]
pub(crate) struct ConfigurationChanged;

/// Accepts jobs and cancels for one node.
pub(crate) struct Submitter<P> {
    pub(crate) shared: Rc<Shared<P>>,
    pub(crate) links: Rc<Links<P>>,
}

impl<P: Platform> Submitter<P> {
    /// Stores a job under the configuration with that revision; a repeated request finds the job
    /// that is already stored.
    pub(crate) async fn submit(
        self: &Rc<Self>,
        key: JobKey,
        job: Job,
        configuration: Revision,
        deadline: Timestamp,
    ) -> Result<Outcome, ConfigurationChanged> {
        let request_for_owner = || PeerRequest::Store(key, Box::new(job.clone()));
        let write = job_write(key, &job, configuration);
        let outcome = self.store(write, request_for_owner, deadline).await?;
        if outcome == Outcome::Stored {
            self.shared.counters.accepted.add(1);
            self.notify_owner(PeerRequest::Accepted(key, Box::new(job)));
        }
        Ok(outcome)
    }

    /// Stores a cancel of an accepted job.
    pub(crate) async fn cancel(self: &Rc<Self>, key: JobKey, deadline: Timestamp) -> Outcome {
        let found = self.read(Key::Job(key), deadline).await;
        let item = match found {
            Ok(Some(item)) => item,
            Ok(None) => return Outcome::NoSuchJob,
            Err(_) => return self.links.ask_to_store(PeerRequest::StoreCancel(key)).await,
        };
        let write = cancel_write(key, item.revision);
        let request_for_owner = || PeerRequest::StoreCancel(key);
        let outcome = self.store(write, request_for_owner, deadline).await;
        // A cancel is not conditional on the configuration.
        let outcome = outcome.unwrap_or(Outcome::NotStored);
        if outcome == Outcome::Stored {
            self.shared.counters.cancelled.add(1);
            self.notify_owner(PeerRequest::Cancelled(key));
        }
        outcome
    }

    /// Stores at most once, even if answers are lost: a conflict means that the write is already
    /// stored. Where the store does not serve this node, the owner is asked once to write instead.
    async fn store(
        &self,
        write: Write,
        request_for_owner: impl Fn() -> PeerRequest,
        deadline: Timestamp,
    ) -> Result<Outcome, ConfigurationChanged> {
        let mut refusals = 0;
        let mut is_unknown = false;
        let mut has_asked_owner = false;
        // The owner's write may be conditional on a newer configuration than this node's.
        let mut may_owner_store = false;
        loop {
            if !self.shared.health.is_serving() && !std::mem::replace(&mut has_asked_owner, true) {
                match self.links.ask_to_store(request_for_owner()).await {
                    Outcome::NotStored => {}
                    Outcome::Unknown => {
                        is_unknown = true;
                        may_owner_store = true;
                    }
                    outcome => return Ok(outcome),
                }
            }
            if !is_unknown && !self.shared.health.is_serving() {
                return Ok(Outcome::NotStored);
            }
            let remaining = (deadline - RESPONSE_MARGIN).since(clock::now());
            match commit_once(&self.shared, &write, remaining).await {
                Err(ConfigurationChanged) if may_owner_store => return Ok(Outcome::Unknown),
                Err(changed) => return Err(changed),
                Ok(Outcome::NotStored) => refusals += 1,
                Ok(Outcome::Unknown) => is_unknown = true,
                Ok(outcome) => return Ok(outcome),
            }
            let is_out_of_time = clock::now() + RESPONSE_MARGIN + RETRY_PAUSE >= deadline;
            if !is_unknown && (refusals >= MAX_REFUSALS || is_out_of_time) {
                return Ok(Outcome::NotStored);
            }
            if is_out_of_time {
                return Ok(Outcome::Unknown);
            }
            time::sleep(RETRY_PAUSE.into()).await;
        }
    }

    /// Notifies the owner without waiting; if the message is lost, the owner finds the change in
    /// the store.
    fn notify_owner(self: &Rc<Self>, request: PeerRequest) {
        let this = Rc::clone(self);
        task::spawn_local(async move {
            if this.links.ask(request).await.is_none() {
                tracing::debug!(event = "owner_not_told");
            }
        });
    }

    /// Returns the state of a job from the owner, or else from the store; `None` if there is no
    /// such job.
    pub(crate) async fn state(
        &self,
        key: JobKey,
        deadline: Timestamp,
    ) -> Result<Option<JobState>, StoreError> {
        if let Some(Reply::State(Some(state))) = self.links.ask(PeerRequest::State(key)).await {
            return Ok(Some(state));
        }
        self.shared.counters.answered_by_store.add(1);
        let progress = self.read(Key::Progress(key), deadline).await?;
        if let Some(progress) = progress.and_then(decode_progress) {
            return Ok(Some(match progress.outcome {
                Some(outcome) => JobState::Ended(outcome),
                None => JobState::Running,
            }));
        }
        let job = self.read(Key::Job(key), deadline).await?;
        Ok(job.map(|_| JobState::Queued))
    }

    /// Returns how many jobs of a queue wait; `None` if no owner replies.
    pub(crate) async fn queued_jobs(&self, queue: QueueName) -> Option<usize> {
        match self.links.ask(PeerRequest::Waiting(queue)).await {
            Some(Reply::Waiting(waiting)) => usize::try_from(waiting).ok(),
            _ => None,
        }
    }

    async fn read(&self, key: Key, deadline: Timestamp) -> Result<Option<Item>, StoreError> {
        let mut refusals = 0;
        loop {
            if !self.shared.health.is_serving() {
                return Err(StoreError::NotSent);
            }
            let result = self.shared.platform.get(key).await;
            self.shared.counters.store_reads.add(1);
            self.shared.health.record(&result);
            let Err(err) = result else {
                return result;
            };
            refusals += 1;
            if refusals > MAX_REFUSALS || clock::now() + RESPONSE_MARGIN + RETRY_PAUSE >= deadline {
                return Err(err);
            }
            time::sleep(RETRY_PAUSE.into()).await;
        }
    }
}

fn job_write(key: JobKey, job: &Job, configuration: Revision) -> Write {
    Write {
        expected: vec![
            (Key::Job(key), Revision(0)),
            (Key::Configuration, configuration),
        ],
        puts: vec![record_put(Key::Job(key), records::encode(job))],
        removes: Vec::new(),
    }
}

fn cancel_write(key: JobKey, job: Revision) -> Write {
    Write {
        expected: vec![(Key::Job(key), job)],
        puts: vec![record_put(Key::Cancel(key), Vec::new())],
        removes: Vec::new(),
    }
}

/// Stores a job with a single write, for another node, if this node's configuration has the same
/// rules for its queue.
pub(crate) async fn store_job_once<P: Platform>(
    shared: &Shared<P>,
    key: JobKey,
    job: &Job,
) -> Outcome {
    let Some((configuration, revision)) = shared.configuration.with_revision() else {
        return Outcome::NotStored;
    };
    if !has_rules_of(&configuration, job) {
        tracing::info!(
            event = "queue_changed", job = %key, queue = %job.queue, version = configuration.version,
        );
        return Outcome::NotStored;
    }
    let write = job_write(key, job, revision);
    let outcome = commit_if_serving(shared, &write).await;
    outcome.unwrap_or(Outcome::NotStored)
}

fn has_rules_of(configuration: &Configuration, job: &Job) -> bool {
    let mut queues = configuration.queues.iter();
    queues.any(|queue| queue.name == job.queue && queue.rules == job.rules)
}

/// Stores a cancel with a single write, for another node.
pub(crate) async fn store_cancel_once<P: Platform>(shared: &Shared<P>, key: JobKey) -> Outcome {
    let found = shared.platform.get(Key::Job(key)).await;
    shared.counters.store_reads.add(1);
    shared.health.record(&found);
    match found {
        Ok(Some(item)) => {
            let write = cancel_write(key, item.revision);
            let outcome = commit_if_serving(shared, &write).await;
            outcome.unwrap_or(Outcome::NotStored)
        }
        Ok(None) => Outcome::NoSuchJob,
        Err(_) => Outcome::NotStored,
    }
}

async fn commit_if_serving<P: Platform>(
    shared: &Shared<P>,
    write: &Write,
) -> Result<Outcome, ConfigurationChanged> {
    if !shared.health.is_serving() {
        return Ok(Outcome::NotStored);
    }
    commit_once(shared, write, MAX_COMMIT_TIME).await
}

async fn commit_once<P: Platform>(
    shared: &Shared<P>,
    write: &Write,
    timeout: Span,
) -> Result<Outcome, ConfigurationChanged> {
    let sent = clock::now();
    let call = shared.platform.commit(write.clone());
    let result = time::timeout(timeout.into(), call).await;
    let result = result.unwrap_or(Err(StoreError::NoAnswer));
    shared.counters.store_writes.add(1);
    shared.health.record(&result);
    let expected = write.expected.iter();
    let mut expected = expected.filter(|(key, _)| *key == Key::Configuration);
    if let Some((_, expected)) = expected.next() {
        return outcome_under_configuration(shared, *expected, &result, sent);
    }
    Ok(match &result {
        // The cancelled job's item has changed, so the cancel has been carried out.
        Ok(_) | Err(StoreError::Conflict(_)) => Outcome::Stored,
        Err(err) => outcome_of_failure(err),
    })
}

/// The outcome of a write of a job that is conditional on the configuration with this revision.
fn outcome_under_configuration<P: Platform>(
    shared: &Shared<P>,
    expected: Revision,
    result: &Result<Revision, StoreError>,
    sent: Timestamp,
) -> Result<Outcome, ConfigurationChanged> {
    let current = match result {
        Ok(_) => {
            shared.configuration.confirm(sent);
            return Ok(Outcome::Stored);
        }
        Err(StoreError::Conflict(current)) => current,
        Err(err) => return Ok(outcome_of_failure(err)),
    };
    let find = |wanted: fn(&Key) -> bool| {
        let mut found = current.iter().filter(|(key, _)| wanted(key));
        found.next().and_then(|(_, item)| item.as_ref())
    };
    let configuration = find(|key| *key == Key::Configuration);
    watching::apply_configuration_item(shared, configuration, sent);
    if find(|key| matches!(key, Key::Job(_))).is_some() {
        return Ok(Outcome::Stored);
    }
    let revision = configuration.map_or(Revision(0), |item| item.revision);
    if revision == expected {
        // The conflict names neither key, so it does not tell whether the job is stored.
        return Ok(Outcome::Unknown);
    }
    shared.counters.stale_submissions.add(1);
    Err(ConfigurationChanged)
}

fn outcome_of_failure(err: &StoreError) -> Outcome {
    if err.was_not_applied() {
        Outcome::NotStored
    } else {
        Outcome::Unknown
    }
}

fn record_put(key: Key, bytes: Vec<u8>) -> Put {
    Put {
        key,
        value: Value::Record(bytes),
        lease: None,
    }
}

fn decode_progress(item: Item) -> Option<JobProgress> {
    match item.content {
        Content::Record(Key::Progress(_), Some(bytes)) => records::decode(&bytes),
        _ => None,
    }
}
