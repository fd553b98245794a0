//! The JSON form of jobs and of the answers to submitters.

use guavacart_scheduler::batch::{
    call::{JobReply, JobStatus, JobSummary, NotAccepted, RejectReason},
    job::{JobSpec, Priority, Spread},
};
use guavacart_types::{BatchClass, JobId, Resources, Span, TeamName};
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

/// A job as submitted, in JSON.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmittedJob {
    id: JobId,
    team: TeamName,
    class: BatchClass,
    #[serde(default)]
    resources: Resources,
    #[serde(default = "one_task")]
    tasks: u32,
    expected_ms: u64,
    #[serde(default)]
    priority: Priority,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    spread: Option<Spread>,
    #[serde(default)]
    payload: Value,
}

fn one_task() -> u32 {
    1
}

/// The body of a submission is not a job.
#[derive(Debug, Error)]
#[error("the body is not a job: {cause}; give id, team, class, resources, expected_ms")]
pub(crate) struct JobBodyError {
    /// The decoder's message, with the position.
    cause: SmolStr,
}

/// Decodes a submitted job.
///
/// # Errors
/// Returns the position and cause if the body is not a job.
pub(crate) fn decode_job(body: &[u8]) -> Result<JobSpec, JobBodyError> {
    let decoded: Result<SubmittedJob, _> = serde_json::from_slice(body);
    let job = decoded.map_err(|err| JobBodyError {
        cause: err.to_smolstr(),
    })?;
    Ok(JobSpec {
        id: job.id,
        team: job.team,
        class: job.class,
        resources: job.resources,
        tasks: job.tasks,
        run_time: Span(job.expected_ms),
        priority: job.priority,
        deadline: job.deadline_ms.map(Span),
        spread: job.spread,
        payload: job.payload.to_smolstr(),
    })
}

/// Returns the HTTP status and JSON body of an answer.
pub(crate) fn encode_reply(reply: &JobReply) -> (StatusCode, Value) {
    match reply {
        JobReply::Accepted(job) => (StatusCode::OK, with_outcome("accepted", job_json(job))),
        JobReply::Conflict(job) => (
            StatusCode::CONFLICT,
            with_outcome(
                "conflict",
                json!({"job": job, "detail": "another job has this id"}),
            ),
        ),
        JobReply::Rejected(reason) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            with_outcome("rejected", rejection_json(reason)),
        ),
        JobReply::NotAccepted(reason) => (
            StatusCode::SERVICE_UNAVAILABLE,
            with_outcome(
                "not_accepted",
                json!({"detail": not_accepted_detail(*reason)}),
            ),
        ),
        JobReply::Unknown => (
            StatusCode::GATEWAY_TIMEOUT,
            with_outcome(
                "unknown",
                json!({"detail": "it may have taken effect; repeat the call with the same id"}),
            ),
        ),
        JobReply::Status(status) => (StatusCode::OK, status_json(status)),
        JobReply::NotFound(job) => (
            StatusCode::NOT_FOUND,
            with_outcome("not_found", json!({"job": job})),
        ),
        JobReply::Cancelled(jobs) => (
            StatusCode::OK,
            with_outcome("cancelled", json!({"jobs": jobs_json(jobs)})),
        ),
        JobReply::Listing(jobs) => (StatusCode::OK, json!({"jobs": jobs_json(jobs)})),
    }
}

fn with_outcome(name: &str, mut body: Value) -> Value {
    body["outcome"] = name.into();
    body
}

fn jobs_json(jobs: &[JobSummary]) -> Vec<Value> {
    jobs.iter().map(job_json).collect()
}

fn job_json(job: &JobSummary) -> Value {
    json!({
        "job": job.id,
        "team": job.team,
        "priority": job.priority,
        "cancelled": job.cancelled,
        "tasks": job.counts,
    })
}

fn status_json(status: &JobStatus) -> Value {
    let mut body = job_json(&status.summary);
    body["cell"] = json!(status.cell);
    body["unfinished"] = json!(status.tasks);
    body
}

fn rejection_json(reason: &RejectReason) -> Value {
    match reason {
        RejectReason::Tasks { limit } => {
            json!({"detail": format!("a job has 1 to {limit} tasks")})
        }
        RejectReason::Payload { limit } => {
            json!({"detail": format!("a payload has at most {limit} bytes")})
        }
        RejectReason::TooLarge { largest } => json!({
            "detail": format!("no worker holds a task of this shape; {largest} would fit"),
            "largest": largest,
        }),
        RejectReason::OverQuota { quota } => json!({
            "detail": format!("one task passes the team's quota of {quota}"),
            "quota": quota,
        }),
        RejectReason::UnknownTeam => {
            json!({"detail": "the configuration names no such team"})
        }
    }
}

fn not_accepted_detail(reason: NotAccepted) -> &'static str {
    match reason {
        NotAccepted::StoreUnavailable => "nothing was accepted: the store takes no writes now",
        NotAccepted::NoOwner => "nothing was accepted: the job's cell has no owner yet",
        NotAccepted::CellFull => "nothing was accepted: the job's cell is full",
        NotAccepted::CellStopped => "nothing was accepted: the job's cell is stopped",
        NotAccepted::NoCells => "nothing was accepted: no cells are configured",
        NotAccepted::HeldElsewhere => {
            "nothing was accepted: another cell is the job's home; the cells have changed"
        }
    }
}
