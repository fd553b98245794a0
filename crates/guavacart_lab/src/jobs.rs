//! Submitters of batch jobs.

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

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a call is repeated.
const PAUSE: Duration = Duration::from_millis(100);

/// A job as it is submitted.
#[derive(Clone, Debug, Serialize)]
pub struct JobSpec {
    /// The submitter's id.
    pub id: JobId,
    /// The team.
    pub team: SmolStr,
    /// The batch class.
    pub class: SmolStr,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task takes.
    pub resources: Resources,
    /// Declared run time.
    pub expected_ms: u64,
    /// `urgent`, `normal` or `background`.
    pub priority: SmolStr,
    /// Read by the stand-in workers.
    pub payload: Value,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submitted {
    /// It was accepted.
    Accepted,
    /// It was rejected with this status and has no effect.
    Rejected(u16),
    /// It was neither until the time was up.
    Unknown,
}

/// What is known of a submitted job.
#[derive(Clone, Copy, Debug)]
pub struct JobRecord {
    /// Number of tasks.
    pub tasks: u32,
    /// What became of the submission.
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
    /// Speaks to `address` with each team's token.
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

    /// Submits a job, again with the same id until it is accepted, rejected or `limit` has passed.
    pub async fn submit(&self, spec: &JobSpec, limit: Duration) -> Submitted {
        lock(&self.teams).insert(spec.id.clone(), spec.team.clone());
        let body = serde_json::to_vec(spec).unwrap_or_default();
        let submitted = self
            .settle(Method::POST, "/v1/jobs", &spec.id, body, limit)
            .await;
        let record = JobRecord {
            tasks: spec.tasks,
            submitted,
            cancelled: false,
        };
        lock(&self.record).insert(spec.id.clone(), record);
        submitted
    }

    /// Cancels a job, again until that is confirmed or `limit` has passed; true if confirmed.
    pub async fn cancel(&self, id: &JobId, limit: Duration) -> bool {
        let path = format!("/v1/jobs/{id}");
        let settled = self
            .settle(Method::DELETE, &path, id, Vec::new(), limit)
            .await;
        let confirmed = settled == Submitted::Accepted;
        if confirmed {
            self.ledger.cancelled(id);
            if let Some(record) = lock(&self.record).get_mut(id) {
                record.cancelled = true;
            }
        }
        confirmed
    }

    /// What guavacart says of a job; none if it did not say.
    pub async fn status(&self, id: &JobId) -> Option<(StatusCode, Value)> {
        let path = format!("/v1/jobs/{id}");
        let res = self.call(Method::GET, &path, id, Vec::new()).await.ok()?;
        let body = serde_json::from_slice(res.body()).unwrap_or_default();
        Some((res.status(), body))
    }

    /// Waits until the workers have finished every task of the accepted jobs that were not
    /// cancelled; false if `limit` passed first.
    pub async fn wait_finished(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            if self.unfinished().is_empty() {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Accepted jobs that were not cancelled, with the number of tasks that no worker finished.
    pub fn unfinished(&self) -> Vec<(JobId, u32)> {
        let record = lock(&self.record).clone();
        let wanted = |r: &JobRecord| r.submitted == Submitted::Accepted && !r.cancelled;
        record
            .into_iter()
            .filter(|(_, r)| wanted(r))
            .filter_map(|(id, r)| {
                let finished = self.ledger.finished(&id).len();
                let left = r
                    .tasks
                    .saturating_sub(u32::try_from(finished).unwrap_or(u32::MAX));
                (left > 0).then_some((id, left))
            })
            .collect()
    }

    /// Unfinished tasks of accepted jobs that guavacart no longer knows of, takes for finished or
    /// cancelled, or does not tell about until `limit` has passed.
    pub async fn lost(&self, limit: Duration) -> u64 {
        let deadline = Instant::now() + limit;
        let mut lost = 0;
        for (id, left) in self.unfinished() {
            let tasks = lock(&self.record).get(&id).map_or(0, |r| r.tasks);
            lost += self.lost_of(&id, u64::from(tasks), left, deadline).await;
        }
        lost
    }

    async fn lost_of(&self, id: &JobId, tasks: u64, left: u32, deadline: Instant) -> u64 {
        loop {
            match self.status(id).await {
                Some((StatusCode::NOT_FOUND, _)) => return u64::from(left),
                Some((StatusCode::OK, body)) => {
                    let count = |name| task_count(&body, name);
                    // What finished since the answer must not count as lost.
                    let finished = self.ledger.finished(id).len() as u64;
                    let said = count("finished");
                    let open = ["queued", "placed", "parked", "elsewhere"].map(count);
                    let cancelled = count("cancelled");
                    let known = said + cancelled + open.iter().sum::<u64>();
                    let unheard = tasks.saturating_sub(known);
                    return said.saturating_sub(finished) + cancelled + unheard;
                }
                _ if Instant::now() >= deadline => return u64::from(left),
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    /// Tasks of accepted jobs.
    pub fn tasks_submitted(&self) -> u64 {
        let record = lock(&self.record);
        let accepted = record
            .values()
            .filter(|r| r.submitted == Submitted::Accepted);
        accepted.map(|r| u64::from(r.tasks)).sum()
    }

    /// Jobs by what became of their submission: accepted, rejected, unknown.
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

    async fn settle(
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
                Ok(res) if res.status().is_client_error() && !repeats(res.status()) => {
                    let said = String::from_utf8_lossy(res.body());
                    tracing::warn!(path, status = %res.status(), %said, "rejected");
                    return Submitted::Rejected(res.status().as_u16());
                }
                _ if Instant::now() >= deadline => return Submitted::Unknown,
                _ => tokio::time::sleep(PAUSE).await,
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

/// Statuses below 500 that say nothing of the job.
fn repeats(status: StatusCode) -> bool {
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
