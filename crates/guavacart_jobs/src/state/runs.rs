//! Runs on executors.

use guavacart_types::{Incarnation, Resources, Span, Timestamp};
use smol_str::SmolStr;

use super::interference::ImageId;
use crate::{RunNumber, policy::speed::Counted};

/// One run that is active on an executor, or that may still start there.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) run: RunNumber,
    /// Resources of the executor that are reserved for the run.
    pub(super) size: Resources,
    /// Thousandths of processors that the run uses if they are free. For a best-effort task no
    /// processors are reserved.
    pub(super) processor_demand: u64,
    pub(super) is_best_effort: bool,
    /// Set for service tasks.
    pub(super) tail_target: Option<Span>,
    pub(super) phase: Phase,
    /// Incarnation of the executor that has listed the run. An answer to a start does not name the
    /// incarnation that gave it.
    pub(super) listed_by: Option<Incarnation>,
    /// Deadline in the start order, on the executor's clock; 0 if the order was meant for an earlier
    /// incarnation, or was not this owner's.
    pub(super) deadline_ms: u64,
    /// When the start was ordered, or when the hold that listed an adopted run was sent.
    pub(super) since: Timestamp,
    pub(super) stop: Option<PendingStop>,
    /// 100 if the run works at full speed.
    pub(super) percent: u8,
    /// Share of its speed that the run was last ordered to work at, in percent.
    pub(super) pace: u8,
    pub(super) image: ImageId,
    /// Since when the tail latency exceeds the target.
    pub(super) over_since: Option<Timestamp>,
    /// The newest reported tail latency, in milliseconds, of a service task.
    pub(super) tail_ms: Option<u64>,
    /// When the current tail latency was first reported.
    pub(super) tail_at: Timestamp,
    /// The model has not learned from the current tail latency yet.
    pub(super) is_tail_new: bool,
    /// Since when the pace has been at most `pacing::SLOW_PACE`.
    pub(super) slowed_since: Option<Timestamp>,
    pub(super) has_checkpoints: bool,
    /// Reports in a row in which the run used too little processor time.
    pub(super) idle_reports: u32,
    /// When the pace was last ordered.
    pub(super) paced_at: Timestamp,
    /// Reports in a row in which the run used more processor time than its pace allows.
    pub(super) overuse_reports: u32,
    pub(super) checkpoint: Option<SmolStr>,
    /// What the duration of the run has counted for or against a slow executor.
    pub(super) counted: Counted,
    /// The job is not known yet, and therefore the size of the run is not known either.
    pub(super) is_job_unknown: bool,
}

/// An image of service tasks on an executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceImage {
    pub(super) image: ImageId,
    pub(super) count: usize,
    /// Lowest base headroom expected during the usual length of a best-effort task, as of the last
    /// report.
    pub(super) forecast: f32,
}

/// What is known about the start of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The start order was sent and not answered yet.
    Sent,
    /// The start order failed without an answer, so that the run may or may not have started.
    Unanswered,
    /// The executor first confirmed the run at this time.
    Running(Timestamp),
}

/// A stop order.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingStop {
    pub(super) sent: Timestamp,
    pub(super) answered: Option<Timestamp>,
}
