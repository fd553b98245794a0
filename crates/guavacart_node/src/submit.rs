//! Accepts jobs and cancels, and reports the states of jobs; each answer follows from what is
//! stored.

mod writes;

use std::rc::Rc;

use guavacart_jobs::{Job, JobKey, JobProgress, JobState, QueueName};
use guavacart_types::{Revision, Span, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::{task, time};

use crate::{
    Content, Item, Key, Platform, StoreError, clock,
    links::{Links, PeerRequest, Reply},
    records,
    shared::Shared,
};
use writes::Submission;
pub(crate) use writes::{ConfigurationChanged, store_cancel_once, store_job_once};

/// Part of a caller's timeout that is left for the response to reach the caller.
const RESPONSE_MARGIN: Span = Span::millis(150);
/// Pause before a refused or unanswered call is tried again.
const RETRY_PAUSE: Span = Span::millis(60);
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
    /// The job was cancelled before it was stored. It was not stored, and stays refused while the
    /// store keeps the tombstone of the cancel.
    Cancelled,
}

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
        let submission = Submission::job(key, &job, configuration);
        let outcome = self.store(submission, request_for_owner, deadline).await?;
        if outcome == Outcome::Stored {
            self.shared.counters.accepted.add(1);
            self.notify_owner(PeerRequest::Accepted(key, Box::new(job)));
        }
        Ok(outcome)
    }

    /// Stores the cancel of a job. If the job is not stored, it will not be: the cancel makes writes
    /// of the job fail that are still on their way.
    pub(crate) async fn cancel(self: &Rc<Self>, key: JobKey, deadline: Timestamp) -> Outcome {
        let request_for_owner = || PeerRequest::StoreCancel(key);
        let submission = Submission::cancel(key);
        let outcome = self.store(submission, request_for_owner, deadline).await;
        // A cancel is not conditional on the configuration.
        let outcome = outcome.unwrap_or(Outcome::NotStored);
        if outcome != Outcome::Stored {
            return outcome;
        }
        self.shared.counters.cancelled.add(1);
        self.notify_owner(PeerRequest::Cancelled(key));
        if !self.shared.health.is_serving() {
            return outcome;
        }
        let remaining = (deadline - RESPONSE_MARGIN).since(clock::now());
        writes::outcome_of_cancel(&self.shared, key, remaining).await
    }

    /// Stores at most once, even if answers are lost: a conflict, or a read that finds the key, means
    /// that the write is already stored. Where the store does not serve this node, the owner is asked
    /// once to write instead.
    async fn store(
        &self,
        submission: Submission,
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
            if remaining == Span::ZERO {
                // A write whose answer cannot be waited for would leave the outcome unknown.
                let outcome = if is_unknown {
                    Outcome::Unknown
                } else {
                    Outcome::NotStored
                };
                return Ok(outcome);
            }
            match submission.commit(&self.shared, remaining).await {
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
            if is_unknown && self.is_stored(submission.key, deadline).await {
                return Ok(Outcome::Stored);
            }
        }
    }

    /// Reads once whether a key is stored; false if no answer comes before the deadline.
    async fn is_stored(&self, key: Key, deadline: Timestamp) -> bool {
        let remaining = (deadline - RESPONSE_MARGIN).since(clock::now());
        let found = writes::read_once(&self.shared, key, remaining).await;
        matches!(found, Ok(Some(_)))
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

fn decode_progress(item: Item) -> Option<JobProgress> {
    match item.content {
        Content::Record(Key::Progress(_), Some(bytes)) => records::decode(&bytes),
        _ => None,
    }
}
