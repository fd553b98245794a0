//! Encoded form of jobs and tasks, in stored records and in messages between entry instances.

use guavacart_scheduler::batch::job::{
    AttemptEnd, Job, JobSpec, Origin, ParkReason, Priority, Spread, StopReason, Task, TaskState,
};
use guavacart_types::{
    Attempt, BatchClass, CellId, Epoch, JobId, Resources, Span, TeamName, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Encoded form of [`Priority`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum PriorityWire {
    Urgent,
    Normal,
    Background,
}

/// Encoded form of [`Spread`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum SpreadWire {
    Rack,
    DataCentre,
}

/// Encoded form of [`JobSpec`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct JobSpecWire {
    id: JobId,
    team: TeamName,
    class: BatchClass,
    resources: Resources,
    tasks: u32,
    run_time_ms: u64,
    priority: PriorityWire,
    deadline_ms: Option<u64>,
    spread: Option<SpreadWire>,
    payload: SmolStr,
}

/// Encoded form of [`StopReason`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum StopReasonWire {
    Cancelled,
    Displaced,
    Interference,
    WorkerLeaving,
    MemoryExceeded,
}

/// Encoded form of [`AttemptEnd`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum AttemptEndWire {
    Finished,
    Failed,
    /// The checkpoint that was saved, if any.
    Stopped(Option<SmolStr>),
    Lapsed,
    Refused,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum ParkReasonWire {
    /// The workers on which the task failed.
    FailedOn(Vec<WorkerId>),
    /// The number of failed attempts.
    FailedTimes(u32),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum TaskStateWire {
    Queued,
    /// The worker, and why the attempt is to stop, if it is.
    Placed(WorkerId, Option<StopReasonWire>),
    Finished,
    Cancelled,
    Parked(ParkReasonWire),
    /// The receiving cell, and whether it has acknowledged the task.
    HandedOff(CellId, bool),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct TaskWire {
    state: TaskStateWire,
    attempt: u32,
    checkpoint: Option<SmolStr>,
    failed_on: Vec<WorkerId>,
    failures: u32,
}

/// Encoded form of [`Job`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct JobWire {
    spec: JobSpecWire,
    order: u64,
    cancelled: bool,
    ended: Option<u64>,
    origin: Option<OriginWire>,
    tasks: Vec<(u32, TaskWire)>,
}

/// Encoded form of [`Origin`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OriginWire {
    cell: CellId,
    epoch: u64,
}

/// Implements the conversions between two enums that have the same variants without fields.
macro_rules! impl_enum_conversions {
    ($domain:ident, $wire:ident: $($variant:ident),*) => {
        impl From<$domain> for $wire {
            fn from(value: $domain) -> Self {
                match value {
                    $($domain::$variant => Self::$variant,)*
                }
            }
        }

        impl From<$wire> for $domain {
            fn from(wire: $wire) -> Self {
                match wire {
                    $($wire::$variant => Self::$variant,)*
                }
            }
        }
    };
}

impl_enum_conversions!(Spread, SpreadWire: Rack, DataCentre);
impl_enum_conversions!(Priority, PriorityWire: Urgent, Normal, Background);
impl_enum_conversions!(
    StopReason, StopReasonWire: Cancelled, Displaced, Interference, WorkerLeaving, MemoryExceeded
);

impl From<JobSpec> for JobSpecWire {
    fn from(spec: JobSpec) -> Self {
        Self {
            id: spec.id,
            team: spec.team,
            class: spec.class,
            resources: spec.resources,
            tasks: spec.tasks,
            run_time_ms: spec.run_time.0,
            priority: spec.priority.into(),
            deadline_ms: spec.deadline.map(|deadline| deadline.0),
            spread: spec.spread.map(SpreadWire::from),
            payload: spec.payload,
        }
    }
}

impl From<JobSpecWire> for JobSpec {
    fn from(wire: JobSpecWire) -> Self {
        Self {
            id: wire.id,
            team: wire.team,
            class: wire.class,
            resources: wire.resources,
            tasks: wire.tasks,
            run_time: Span(wire.run_time_ms),
            priority: wire.priority.into(),
            deadline: wire.deadline_ms.map(Span),
            spread: wire.spread.map(Spread::from),
            payload: wire.payload,
        }
    }
}

impl From<AttemptEnd> for AttemptEndWire {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Finished => Self::Finished,
            AttemptEnd::Failed => Self::Failed,
            AttemptEnd::Stopped { checkpoint } => Self::Stopped(checkpoint),
            AttemptEnd::Lapsed => Self::Lapsed,
            AttemptEnd::Refused => Self::Refused,
        }
    }
}

impl From<AttemptEndWire> for AttemptEnd {
    fn from(wire: AttemptEndWire) -> Self {
        match wire {
            AttemptEndWire::Finished => Self::Finished,
            AttemptEndWire::Failed => Self::Failed,
            AttemptEndWire::Stopped(checkpoint) => Self::Stopped { checkpoint },
            AttemptEndWire::Lapsed => Self::Lapsed,
            AttemptEndWire::Refused => Self::Refused,
        }
    }
}

impl From<TaskState> for TaskStateWire {
    fn from(state: TaskState) -> Self {
        match state {
            TaskState::Queued => Self::Queued,
            TaskState::Placed { worker, stopping } => {
                Self::Placed(worker, stopping.map(StopReasonWire::from))
            }
            TaskState::Finished => Self::Finished,
            TaskState::Cancelled => Self::Cancelled,
            TaskState::Parked(ParkReason::FailedOn(workers)) => {
                Self::Parked(ParkReasonWire::FailedOn(workers))
            }
            TaskState::Parked(ParkReason::FailedTimes(times)) => {
                Self::Parked(ParkReasonWire::FailedTimes(times))
            }
            TaskState::HandedOff { to, acknowledged } => Self::HandedOff(to, acknowledged),
        }
    }
}

impl From<TaskStateWire> for TaskState {
    fn from(wire: TaskStateWire) -> Self {
        match wire {
            TaskStateWire::Queued => Self::Queued,
            TaskStateWire::Placed(worker, stopping) => {
                let stopping = stopping.map(StopReason::from);
                Self::Placed { worker, stopping }
            }
            TaskStateWire::Finished => Self::Finished,
            TaskStateWire::Cancelled => Self::Cancelled,
            TaskStateWire::Parked(ParkReasonWire::FailedOn(workers)) => {
                Self::Parked(ParkReason::FailedOn(workers))
            }
            TaskStateWire::Parked(ParkReasonWire::FailedTimes(times)) => {
                Self::Parked(ParkReason::FailedTimes(times))
            }
            TaskStateWire::HandedOff(to, acknowledged) => Self::HandedOff { to, acknowledged },
        }
    }
}

impl From<Task> for TaskWire {
    fn from(task: Task) -> Self {
        Self {
            state: task.state.into(),
            attempt: task.attempt.0,
            checkpoint: task.checkpoint,
            failed_on: task.failed_on,
            failures: task.failures,
        }
    }
}

impl From<TaskWire> for Task {
    fn from(wire: TaskWire) -> Self {
        Self {
            state: wire.state.into(),
            attempt: Attempt(wire.attempt),
            checkpoint: wire.checkpoint,
            failed_on: wire.failed_on,
            failures: wire.failures,
        }
    }
}

impl From<Job> for JobWire {
    fn from(job: Job) -> Self {
        Self {
            spec: job.spec.into(),
            order: job.order,
            cancelled: job.cancelled,
            ended: job.ended,
            origin: job.origin.map(OriginWire::from),
            tasks: tasks_to_wire(job.tasks),
        }
    }
}

impl From<JobWire> for Job {
    fn from(wire: JobWire) -> Self {
        Self {
            spec: wire.spec.into(),
            order: wire.order,
            cancelled: wire.cancelled,
            ended: wire.ended,
            origin: wire.origin.map(Origin::from),
            tasks: tasks_from_wire(wire.tasks),
        }
    }
}

impl From<Origin> for OriginWire {
    fn from(origin: Origin) -> Self {
        Self {
            cell: origin.cell,
            epoch: origin.epoch.0,
        }
    }
}

impl From<OriginWire> for Origin {
    fn from(wire: OriginWire) -> Self {
        Self {
            cell: wire.cell,
            epoch: Epoch(wire.epoch),
        }
    }
}

/// Converts tasks and their indexes in the job to their encoded form.
pub(crate) fn tasks_to_wire(tasks: impl IntoIterator<Item = (u32, Task)>) -> Vec<(u32, TaskWire)> {
    let tasks = tasks.into_iter();
    tasks.map(|(index, task)| (index, task.into())).collect()
}

/// Converts the encoded form of tasks and their indexes back.
pub(crate) fn tasks_from_wire<C: FromIterator<(u32, Task)>>(tasks: Vec<(u32, TaskWire)>) -> C {
    let tasks = tasks.into_iter();
    tasks.map(|(index, task)| (index, task.into())).collect()
}
