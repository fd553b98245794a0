//! Submitted jobs.

use std::rc::Rc;

use bytes::Bytes;
use guavacart_jobs::{HttpLimits, Job, JobKey, Queue};
use guavacart_types::Timestamp;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode, body::Incoming};
use tokio::time;

use super::{HttpResponse, Target, bad_job_id, json, no_queue, response, retry_after, retry_later};
use crate::{
    JobBody, Platform, clock,
    submit::{ConfigurationChanged, Outcome, Submitter},
};

/// How often a job's queue is looked up while the configuration changes, before the caller is asked
/// to try again later.
const MAX_QUEUE_LOOKUPS: usize = 4;

/// Stores a submitted job in the queue that the request is addressed to.
pub(super) async fn submit<P: Platform>(
    submitter: &Rc<Submitter<P>>,
    target: &Target,
    key: JobKey,
    limits: HttpLimits,
    deadline: Timestamp,
    req: Request<Incoming>,
) -> HttpResponse {
    let shared = &submitter.shared;
    let body = match read_body(req, &limits, deadline).await {
        Ok(body) => body,
        Err(status) => {
            tracing::info!(event = "body_not_read", job = %key, status = status.as_u16());
            return response(status, Bytes::new());
        }
    };
    let body = match P::decode_job(&body) {
        Ok(body) => body,
        Err(err) => {
            tracing::info!(event = "bad_body", job = %key, status = 400, cause = %err);
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    for _ in 0..MAX_QUEUE_LOOKUPS {
        let Some((configuration, revision)) = shared.configuration.with_revision() else {
            break;
        };
        let Some((queue, rest)) = target.find_queue(&configuration) else {
            // The write that did not apply has shown this configuration.
            return no_queue(shared, target, configuration.version, true);
        };
        let Ok(key) = rest.parse::<JobKey>() else {
            return bad_job_id(target);
        };
        let job = job(queue, body.clone());
        if let Err(err) = job.validate() {
            tracing::info!(event = "bad_job", job = %key, status = 400, cause = %err);
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        }
        let outcome = submitter.submit(key, job, revision, deadline).await;
        tracing::info!(
            event = "submitted", job = %key, queue = %queue.name, version = configuration.version,
            store_failing_ms = shared.health.failing_for().0, ?outcome,
        );
        match outcome {
            Err(ConfigurationChanged) => {}
            Ok(Outcome::Stored) => return json(b"{}".to_vec()),
            Ok(Outcome::NoSuchJob) => return response(StatusCode::GONE, Bytes::new()),
            Ok(Outcome::NotStored) => return retry_later(shared),
            Ok(Outcome::Cancelled) => return retry_after(shared.settings.bounds.retention),
            Ok(Outcome::Unknown) => return response(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        }
    }
    retry_later(shared)
}

pub(super) fn job(queue: &Queue, body: JobBody) -> Job {
    Job {
        queue: queue.name.clone(),
        rules: queue.rules.clone(),
        accepted_unix_ms: clock::unix_ms(),
        payload: body.payload,
        steps: body.steps,
        schedule: body.schedule,
    }
}

pub(super) async fn read_body(
    req: Request<Incoming>,
    limits: &HttpLimits,
    deadline: Timestamp,
) -> Result<Bytes, StatusCode> {
    let max_bytes = usize::try_from(limits.max_body.0).unwrap_or(usize::MAX);
    let body = Limited::new(req.into_body(), max_bytes).collect();
    let remaining = deadline.since(clock::now());
    match time::timeout(remaining.into(), body).await {
        Err(_elapsed) => Err(StatusCode::REQUEST_TIMEOUT),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
    }
}
