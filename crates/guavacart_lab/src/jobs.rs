//! Submitters of batch jobs, and checks that no accepted task is lost.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use guavacart_types::{JobId, Resources};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    batch_ledger::BatchLedger,
    client::{self, ClientError},
    sync::lock,
};

/// Longest wait for the answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Body of a job submission.
#[derive(Clone, Debug, Serialize)]
pub struct JobSpec {
    /// Id that the submitter chose.
    pub id: JobId,
    /// Team of the submitter.
    pub team: SmolStr,
    /// Batch class of the tasks.
    pub class: SmolStr,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of each task.
    pub resources: Resources,
    /// Declared run time of a task, in milliseconds.
    pub expected_ms: u64,
    /// `urgent`, `normal` or `background`.
    pub priority: SmolStr,
    /// Payload, which the stand-in workers read.
    pub payload: Value,
}

/// Result of a submission or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submitted {
    /// The call was accepted.
    Accepted,
    /// The call was rejected with this status and has no effect.
    Rejected(u16),
    /// The call was neither accepted nor rejected in time, so its effect is unknown.
    Unknown,
}

/// State of a submitted job, as its submitter knows it.
#[derive(Clone, Copy, Debug)]
pub struct JobRecord {
    /// Number of tasks.
    pub tasks: u32,
    /// Result of the submission.
    pub submitted: Submitted,
    /// True once its cancellation was confirmed.
    pub cancelled: bool,
}

/// Submits, polls and cancels jobs at one address.
#[derive(Clone, Debug)]
pub struct Jobs {
    address: SocketAddr,
    tokens: Arc<BTreeMap<SmolStr, SmolStr>>,
    ledger: BatchLedger,
    record: Arc<Mutex<BTreeMap<JobId, JobRecord>>>,
    teams: Arc<Mutex<BTreeMap<JobId, SmolStr>>>,
}

impl Jobs {
    /// Creates submitters that send calls to `address` with each team's token and read the finished
    /// tasks from `ledger`.
    pub fn open(
        address: SocketAddr,
        tokens: BTreeMap<SmolStr, SmolStr>,
        ledger: BatchLedger,
    ) -> Self {
        Self {
            address,
            tokens: Arc::new(tokens),
            ledger,
            record: Arc::default(),
            teams: Arc::default(),
        }
    }

    /// Submits a job, and repeats the call with the same id until the job is accepted or rejected,
    /// or `limit` has passed.
    pub async fn submit(&self, spec: &JobSpec, limit: Duration) -> Submitted {
        lock(&self.teams).insert(spec.id.clone(), spec.team.clone());
        let body = serde_json::to_vec(spec).unwrap_or_default();
        let submitted = self
            .repeat_until_decided(Method::POST, "/v1/jobs", &spec.id, body, limit)
            .await;
        let record = JobRecord {
            tasks: spec.tasks,
            submitted,
            cancelled: false,
        };
        lock(&self.record).insert(spec.id.clone(), record);
        submitted
    }

    /// Cancels a job, and repeats the call until the cancellation is confirmed or rejected, or
    /// `limit` has passed. Returns true if it was confirmed.
    pub async fn cancel(&self, id: &JobId, limit: Duration) -> bool {
        let path = format!("/v1/jobs/{id}");
        let result = self
            .repeat_until_decided(Method::DELETE, &path, id, Vec::new(), limit)
            .await;
        let confirmed = result == Submitted::Accepted;
        if confirmed {
            self.ledger.record_cancelled(id);
            if let Some(record) = lock(&self.record).get_mut(id) {
                record.cancelled = true;
            }
        }
        confirmed
    }

    /// Returns the status and body of guavacart's answer about a job; `None` without an answer.
    pub async fn status(&self, id: &JobId) -> Option<(StatusCode, Value)> {
        let path = format!("/v1/jobs/{id}");
        let res = self.call(Method::GET, &path, id, Vec::new()).await.ok()?;
        let body = serde_json::from_slice(res.body()).unwrap_or_default();
        Some((res.status(), body))
    }

    /// Waits until the workers have finished every task of the accepted jobs that were not
    /// cancelled. Returns false if `limit` passed first.
    pub async fn wait_finished(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            if self.unfinished().is_empty() {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the accepted, uncancelled jobs with unfinished tasks, and the number of these tasks.
    pub fn unfinished(&self) -> Vec<(JobId, u32)> {
        let record = lock(&self.record).clone();
        let is_expected = |r: &JobRecord| r.submitted == Submitted::Accepted && !r.cancelled;
        record
            .into_iter()
            .filter(|(_, r)| is_expected(r))
            .filter_map(|(id, r)| {
                let finished = self.ledger.finished_tasks(&id).len();
                let remaining = r
                    .tasks
                    .saturating_sub(u32::try_from(finished).unwrap_or(u32::MAX));
                (remaining > 0).then_some((id, remaining))
            })
            .collect()
    }

    /// Returns the number of unfinished tasks of accepted jobs that guavacart does not know,
    /// reports as finished or cancelled, or does not report on before `limit` has passed.
    pub async fn count_lost_tasks(&self, limit: Duration) -> u64 {
        let deadline = Instant::now() + limit;
        let mut lost = 0;
        for (id, remaining) in self.unfinished() {
            let tasks = lock(&self.record).get(&id).map_or(0, |r| r.tasks);
            lost += self
                .lost_tasks_of(&id, u64::from(tasks), remaining, deadline)
                .await;
        }
        lost
    }

    async fn lost_tasks_of(
        &self,
        id: &JobId,
        tasks: u64,
        remaining: u32,
        deadline: Instant,
    ) -> u64 {
        loop {
            match self.status(id).await {
                Some((StatusCode::NOT_FOUND, _)) => return u64::from(remaining),
                Some((StatusCode::OK, body)) => {
                    let count = |name| task_count(&body, name);
                    // Tasks that finished after the answer must not count as lost.
                    let finished = self.ledger.finished_tasks(id).len() as u64;
                    let reported_finished = count("finished");
                    let open = ["queued", "placed", "parked", "elsewhere"].map(count);
                    let cancelled = count("cancelled");
                    let known = reported_finished + cancelled + open.iter().sum::<u64>();
                    let unknown = tasks.saturating_sub(known);
                    return reported_finished.saturating_sub(finished) + cancelled + unknown;
                }
                _ if Instant::now() >= deadline => return u64::from(remaining),
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Returns the number of tasks of all accepted jobs.
    pub fn tasks_submitted(&self) -> u64 {
        let record = lock(&self.record);
        let accepted = record
            .values()
            .filter(|r| r.submitted == Submitted::Accepted);
        accepted.map(|r| u64::from(r.tasks)).sum()
    }

    /// Returns the numbers of accepted jobs, rejected jobs and jobs whose submission has an unknown
    /// result.
    pub fn counts(&self) -> (u64, u64, u64) {
        let record = lock(&self.record);
        record
            .values()
            .fold((0, 0, 0), |(a, r, u), job| match job.submitted {
                Submitted::Accepted => (a + 1, r, u),
                Submitted::Rejected(_) => (a, r + 1, u),
                Submitted::Unknown => (a, r, u + 1),
            })
    }

    /// Repeats a call until it is accepted or rejected, or `limit` has passed.
    async fn repeat_until_decided(
        &self,
        method: Method,
        path: &str,
        id: &JobId,
        body: Vec<u8>,
        limit: Duration,
    ) -> Submitted {
        let deadline = Instant::now() + limit;
        loop {
            match self.call(method.clone(), path, id, body.clone()).await {
                Ok(res) if res.status().is_success() => return Submitted::Accepted,
                Ok(res) if res.status().is_client_error() && !is_retryable(res.status()) => {
                    let answer = String::from_utf8_lossy(res.body());
                    tracing::warn!(
                        path,
                        status = %res.status(),
                        said = %answer,
                        "call about a job was rejected"
                    );
                    return Submitted::Rejected(res.status().as_u16());
                }
                _ if Instant::now() >= deadline => return Submitted::Unknown,
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        id: &JobId,
        body: Vec<u8>,
    ) -> Result<Response<Bytes>, ClientError> {
        let address = self.address;
        let team = lock(&self.teams).get(id).cloned().unwrap_or_default();
        let builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header("guavacart-team", team.as_str());
        let builder = match self.tokens.get(&team) {
            Some(token) => builder.header(AUTHORIZATION, format!("Bearer {token}")),
            None => builder,
        };
        let req = builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| ClientError::NotSent { address })?;
        client::call(address, req, CALL_TIMEOUT).await
    }
}

/// Returns true for statuses below 500 after which the call is repeated, because they don't say
/// whether the job is accepted.
fn is_retryable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS
    )
}

fn task_count(body: &Value, name: &str) -> u64 {
    let counts = body.get("tasks");
    let count = counts.and_then(|counts| counts.get(name));
    count.and_then(Value::as_u64).unwrap_or_default()
}
