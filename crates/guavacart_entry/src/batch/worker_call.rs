//! One call to a worker, in the platform's terms.

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

/// How long a worker may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Calls the worker unless `in_time` says that the right to act has ended.
pub(super) async fn call<W: Workers>(
    workers: &W,
    address: SocketAddr,
    cell: &CellId,
    call: WorkerSync,
    in_time: impl Fn() -> bool,
) -> WorkerAnswer {
    let req = request(cell, call);
    if !in_time() {
        return WorkerAnswer::NotSent;
    }
    match workers.sync(address, &req, TIMEOUT).await {
        Ok(answer) => report(answer),
        Err(WorkerError::Superseded { epoch, .. }) => WorkerAnswer::Deposed(epoch),
        Err(WorkerError::NotSent { .. }) => WorkerAnswer::NotSent,
        Err(WorkerError::Broken { .. }) => WorkerAnswer::Unknown,
    }
}

fn request(cell: &CellId, call: WorkerSync) -> SyncRequest {
    let lease_ms = call.lease.0;
    let renewal = |id: AttemptId| Renewal {
        task: id.task,
        attempt: id.attempt,
        lease_ms,
    };
    SyncRequest {
        cell: cell.clone(),
        epoch: call.epoch,
        renew: call.renew.into_iter().map(renewal).collect(),
        commands: call.commands.into_iter().map(command).collect(),
    }
}

fn command(command: WorkerCommand) -> Command {
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

fn report(answer: SyncAnswer) -> WorkerAnswer {
    WorkerAnswer::Report {
        attempts: answer.tasks.into_iter().map(attempt).collect(),
        usage: answer.usage.into_iter().map(usage).collect(),
    }
}

fn attempt(report: TaskReport) -> (AttemptId, AttemptState) {
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

fn usage(usage: Usage) -> UsageReport {
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
