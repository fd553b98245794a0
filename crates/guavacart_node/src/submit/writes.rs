//! The conditional writes of jobs and cancels, and what a conflict of each means.

use guavacart_jobs::{Configuration, Job, JobKey};
use guavacart_types::{Revision, Span, Timestamp};
use thiserror::Error;
use tokio::time;

use super::Outcome;
use crate::{
    Item, Key, Platform, Put, StoreError, Value, Write, clock, records, shared::Shared, watching,
};

/// Longest time for a call that is made for another node.
const MAX_CALL_TIME: Span = Span::secs(1);

/// The configuration has changed since the request's queue was looked up in it. The job was not
/// stored and will not be, since its write was conditional on the former configuration.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the configuration has changed; look the queue up again")]
pub(crate) struct ConfigurationChanged;

/// A write for a submitter that stores one key.
#[derive(Debug)]
pub(super) struct Submission {
    /// The key that exists once the write is carried out.
    pub(super) key: Key,
    /// The revision of the configuration that the write is conditional on, if any.
    configuration: Option<Revision>,
    write: Write,
}

impl Submission {
    /// Stores a job unless it is stored or was cancelled.
    pub(super) fn job(key: JobKey, job: &Job, configuration: Revision) -> Self {
        let conditions = vec![
            (Key::Job(key), Revision(0)),
            (Key::Cancel(key), Revision(0)),
            (Key::Configuration, configuration),
        ];
        let submission = Self::new(Key::Job(key), records::encode(job), conditions);
        Self {
            configuration: Some(configuration),
            ..submission
        }
    }

    /// Stores the cancel of a job, whether the job is stored or not. A write of the job that is
    /// carried out later fails.
    pub(super) fn cancel(key: JobKey) -> Self {
        let conditions = vec![(Key::Cancel(key), Revision(0))];
        Self::new(Key::Cancel(key), Vec::new(), conditions)
    }

    fn new(key: Key, record: Vec<u8>, expected: Vec<(Key, Revision)>) -> Self {
        let put = Put {
            key,
            value: Value::Record(record),
            lease: None,
        };
        Self {
            key,
            configuration: None,
            write: Write {
                expected,
                puts: vec![put],
                removes: Vec::new(),
            },
        }
    }

    /// Sends the write once.
    pub(super) async fn commit<P: Platform>(
        &self,
        shared: &Shared<P>,
        timeout: Span,
    ) -> Result<Outcome, ConfigurationChanged> {
        let sent = clock::now();
        let call = shared.platform.commit(self.write.clone());
        let result = answer_in_time(shared, call, timeout).await;
        shared.counters.store_writes.add(1);
        match result {
            Ok(_) => {
                if self.configuration.is_some() {
                    shared.configuration.confirm(sent);
                }
                Ok(Outcome::Stored)
            }
            Err(StoreError::Conflict(current)) => self.on_conflict(shared, &current, sent),
            Err(err) if err.was_not_applied() => Ok(Outcome::NotStored),
            Err(_) => Ok(Outcome::Unknown),
        }
    }

    async fn commit_if_serving<P: Platform>(&self, shared: &Shared<P>) -> Outcome {
        if !shared.health.is_serving() {
            return Outcome::NotStored;
        }
        let outcome = self.commit(shared, MAX_CALL_TIME).await;
        outcome.unwrap_or(Outcome::NotStored)
    }

    fn on_conflict<P: Platform>(
        &self,
        shared: &Shared<P>,
        current: &[(Key, Option<Item>)],
        sent: Timestamp,
    ) -> Result<Outcome, ConfigurationChanged> {
        let Some(expected) = self.configuration else {
            // The only condition of a cancel is that it is not stored.
            return Ok(Outcome::Stored);
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
        if find(|key| matches!(key, Key::Cancel(_))).is_some() {
            return Ok(Outcome::Cancelled);
        }
        let revision = configuration.map_or(Revision(0), |item| item.revision);
        if revision == expected {
            // The conflict names no changed key, so it does not tell whether the job is stored.
            return Ok(Outcome::Unknown);
        }
        shared.counters.stale_submissions.add(1);
        Err(ConfigurationChanged)
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
    let submission = Submission::job(key, job, revision);
    submission.commit_if_serving(shared).await
}

fn has_rules_of(configuration: &Configuration, job: &Job) -> bool {
    let mut queues = configuration.queues.iter();
    queues.any(|queue| queue.name == job.queue && queue.rules == job.rules)
}

/// Stores a cancel with a single write, for another node.
pub(crate) async fn store_cancel_once<P: Platform>(shared: &Shared<P>, key: JobKey) -> Outcome {
    match Submission::cancel(key).commit_if_serving(shared).await {
        Outcome::Stored => outcome_of_cancel(shared, key, MAX_CALL_TIME).await,
        outcome => outcome,
    }
}

/// Whether a job whose cancel is stored is stored as well; if not, it will not be.
pub(super) async fn outcome_of_cancel<P: Platform>(
    shared: &Shared<P>,
    key: JobKey,
    timeout: Span,
) -> Outcome {
    match read_once(shared, Key::Job(key), timeout).await {
        Ok(Some(_)) => Outcome::Stored,
        Ok(None) => {
            shared.counters.tombstones.add(1);
            Outcome::NoSuchJob
        }
        Err(err) => {
            tracing::info!(event = "cancelled_job_not_read", job = %key, cause = %err);
            Outcome::Stored
        }
    }
}

/// Reads a key with a single call.
pub(super) async fn read_once<P: Platform>(
    shared: &Shared<P>,
    key: Key,
    timeout: Span,
) -> Result<Option<Item>, StoreError> {
    let found = answer_in_time(shared, shared.platform.get(key), timeout).await;
    shared.counters.store_reads.add(1);
    found
}

/// Waits for the answer to a call for as long as the caller can. A caller that cannot wait any longer
/// shows nothing about the store, which may have had no time to answer.
async fn answer_in_time<P, T>(
    shared: &Shared<P>,
    call: impl Future<Output = Result<T, StoreError>>,
    timeout: Span,
) -> Result<T, StoreError> {
    let result = time::timeout(timeout.into(), call).await;
    if let Ok(result) = &result {
        shared.health.record(result);
    }
    result.unwrap_or(Err(StoreError::NoAnswer))
}
