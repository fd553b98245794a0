//! Calls a worker: converts the reducer's sync to the platform's protocol and the answer back.

use std::{net::SocketAddr, time::Duration};

use guavacart_platform::worker::{
    Command, Renewal, Start, SyncAnswer, SyncRequest, TaskReport, TaskState, UsageReport as Usage,
    WorkerError, Workers,
};
use guavacart_scheduler::batch::worker::{
    AttemptId, AttemptState, ServiceUsage, UsageReport, WorkerAnswer, WorkerCommand, WorkerSync,
};
use guavacart_types::{Accelerators, CellId, Resources, Span};
use serde_json::Value;

/// Longest wait for a worker's answer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a sync to the worker unless `may_act` returns false.
pub(super) async fn send<W: Workers>(
    workers: &W,
    address: SocketAddr,
    cell: &CellId,
    sync: WorkerSync,
    may_act: impl Fn() -> bool,
) -> WorkerAnswer {
    let req = to_sync_request(cell, sync);
    if !may_act() {
        return WorkerAnswer::NotSent;
    }
    match workers.sync(address, &req, SYNC_TIMEOUT).await {
        Ok(answer) => to_worker_answer(answer),
        Err(WorkerError::Superseded { epoch, .. }) => WorkerAnswer::Superseded(epoch),
        Err(WorkerError::NotSent { .. }) => WorkerAnswer::NotSent,
        Err(WorkerError::Broken { .. }) => WorkerAnswer::Unknown,
    }
}

fn to_sync_request(cell: &CellId, sync: WorkerSync) -> SyncRequest {
    let lease_ms = sync.lease.0;
    let renewal = |id: AttemptId| Renewal {
        task: id.task,
        attempt: id.attempt,
        lease_ms,
    };
    SyncRequest {
        cell: cell.clone(),
        epoch: sync.epoch,
        renew: sync.renew.into_iter().map(renewal).collect(),
        commands: sync.commands.into_iter().map(to_command).collect(),
    }
}

fn to_command(command: WorkerCommand) -> Command {
    match command {
        WorkerCommand::Start {
            id,
            class,
            resources,
            payload,
            checkpoint,
            lease,
            ..
        } => Command::Start(Start {
            task: id.task,
            attempt: id.attempt,
            class,
            resources,
            payload: serde_json::from_str(&payload).unwrap_or(Value::Null),
            checkpoint,
            lease_ms: lease.0,
        }),
        WorkerCommand::Stop { id, checkpoint } => Command::Stop {
            task: id.task,
            attempt: id.attempt,
            checkpoint,
        },
        WorkerCommand::Throttle { id, percent } => Command::Throttle {
            task: id.task,
            attempt: id.attempt,
            percent,
        },
        WorkerCommand::Acknowledge(id) => Command::Acknowledge {
            task: id.task,
            attempt: id.attempt,
        },
    }
}

fn to_worker_answer(answer: SyncAnswer) -> WorkerAnswer {
    WorkerAnswer::Report {
        attempts: answer.tasks.into_iter().map(to_attempt_state).collect(),
        usage: answer.usage.into_iter().map(to_usage_report).collect(),
    }
}

fn to_attempt_state(report: TaskReport) -> (AttemptId, AttemptState) {
    let id = AttemptId {
        task: report.task,
        attempt: report.attempt,
    };
    let progress_ppm = report.progress_ppm;
    let state = match report.state {
        TaskState::Running => AttemptState::Running { progress_ppm },
        TaskState::Finished => AttemptState::Finished,
        TaskState::Failed => AttemptState::Failed,
        TaskState::Stopped { checkpoint } => AttemptState::Stopped { checkpoint },
        TaskState::Lapsed => AttemptState::Lapsed,
        TaskState::Refused => AttemptState::Refused,
    };
    (id, state)
}

fn to_usage_report(usage: Usage) -> UsageReport {
    let tasks = usage.tasks.into_iter().map(|task| {
        let id = AttemptId {
            task: task.task,
            attempt: task.attempt,
        };
        let resources = Resources {
            processors: task.processors,
            memory: task.memory,
            accelerators: Accelerators(0),
        };
        (id, resources)
    });
    let services = usage.services.into_iter().map(|service| ServiceUsage {
        service: service.service,
        p99: Span(service.p99_ms),
        samples: u32::try_from(service.samples).unwrap_or(u32::MAX),
        queued: u32::try_from(service.queued).unwrap_or(u32::MAX),
    });
    UsageReport {
        age: Span(usage.age_ms),
        tasks: tasks.collect(),
        services: services.collect(),
    }
}
