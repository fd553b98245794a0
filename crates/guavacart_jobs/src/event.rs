//! Events that the reducer reacts to, and the reports of executors in them.

use std::collections::BTreeSet;

use guavacart_types::{DataCentre, Incarnation, Span, Timestamp};
use smol_str::SmolStr;

use crate::{
    Configuration, ExecutorId, Job, JobKey, Machine, MachineId, MaintenanceWave, Registration,
    RunNumber, StepKey, TaskKey, Ticket, WaveNumber,
};

/// An event that the reducer reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due timers are run.
    Tick,
    /// The store confirmed a renewal of the ownership lease.
    OwnershipConfirmed {
        /// When the renewal was sent, on the owner's monotonic clock. No other owner had taken over
        /// before this time.
        at: Timestamp,
    },
    /// The operator's configuration was read.
    ConfigurationRead(Configuration),
    /// An executor's entry in the store was read; `None` if the entry was removed or describes no
    /// usable executor.
    ExecutorEntryRead(ExecutorId, Option<Registration>),
    /// All changes of executors' entries up to a time have been delivered.
    ExecutorEntriesConfirmed {
        /// When the read that showed them was sent.
        as_of: Timestamp,
    },
    /// The operator's requests to evacuate data centres were read.
    EvacuationsRead {
        /// When the newest read of all requests was sent, on the owner's monotonic clock. The set may
        /// include later changes.
        as_of: Timestamp,
        /// All data centres that are to be evacuated.
        data_centres: BTreeSet<DataCentre>,
    },
    /// A job was accepted and is stored.
    JobAccepted(JobKey, Box<Job>),
    /// The cancellation of a job is stored.
    JobCancelled(JobKey),
    /// An executor answered a hold, or the hold failed.
    HoldAnswered {
        /// Executor that the hold was for.
        executor: ExecutorId,
        /// When the hold was sent, on the owner's monotonic clock.
        sent: Timestamp,
        /// Report of the executor.
        report: Result<HoldReport, OrderFailure>,
        /// True if the hold let the executor wait for a run to end before it answered.
        is_long_poll: bool,
    },
    /// An executor answered a hold that was reported as unanswered before.
    LateReport {
        /// Executor that the hold was for.
        executor: ExecutorId,
        /// When the hold was sent, on the owner's monotonic clock.
        sent: Timestamp,
        /// Report of the executor.
        report: HoldReport,
    },
    /// An executor answered a start, or the start failed.
    StartAnswered {
        /// Executor that the order was for.
        executor: ExecutorId,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Steady clock of the executor, in milliseconds, if the run is running there.
        result: Result<u64, OrderFailure>,
    },
    /// An executor answered a stop, or the stop failed.
    StopAnswered {
        /// Executor that the order was for.
        executor: ExecutorId,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Whether the executor carried out the order.
        result: Result<(), OrderFailure>,
    },
    /// An executor answered a change of pace, or the change failed.
    PaceAnswered {
        /// Executor that the order was for.
        executor: ExecutorId,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Pace that was ordered, in percent of full speed.
        percent: u8,
        /// Whether the executor carried out the order.
        result: Result<(), OrderFailure>,
    },
    /// The lag of the event loop was measured: what was due has waited for this time.
    LagMeasured(Span),
    /// The records of a save are stored.
    Saved {
        /// Number of the save, from its [`crate::SaveOrder`].
        save: u64,
    },
    /// The advice service answered, or gave no advice.
    AdviceAnswered {
        /// Step that the request was about.
        step: StepKey,
        /// Executors that may run the step, with their tickets; `None` if there was no advice.
        allowed: Option<Vec<(ExecutorId, Ticket)>>,
    },
    /// A maintenance wave was read from the store.
    WaveRequested(MaintenanceWave),
    /// The platform's list of machines was read.
    MachinesListed {
        /// When the list was requested, on the owner's monotonic clock.
        sent: Timestamp,
        /// All machines; empty if the list could not be read.
        machines: Vec<Machine>,
    },
    /// The platform answered an order to begin a machine's maintenance, or the order failed.
    MaintenanceAnswered {
        /// Machine that the order was for.
        machine: MachineId,
        /// Maintenance wave of the order.
        wave: WaveNumber,
        /// `Ok` if the maintenance has begun or is already done. It does not tell whether the
        /// executor that ran there is gone.
        result: Result<(), OrderFailure>,
    },
}

/// An executor's answer to a hold.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldReport {
    /// Start of the executor's process, as Unix time in milliseconds.
    pub incarnation: Incarnation,
    /// Steady clock of the executor, in milliseconds; the clock starts anew with each incarnation.
    pub clock_ms: u64,
    /// Runs that are running.
    pub running: Vec<ListedRun>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
    /// True if `ended` is cut off, so that more ended runs follow in later reports.
    pub has_more_ends: bool,
}

/// A running run, as its executor lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: SmolStr,
    /// 100 if the run is fully at work. A service task below 100 does not count as available, and
    /// its tail latency is not used.
    pub percent: u8,
    /// Tail latency in milliseconds for a service task with a target, else processor use in
    /// thousandths of a core; `None` if the executor does not report it.
    pub usage: Option<u64>,
}

/// An ended run, as its executor lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Number of this end, counted from 1 in each incarnation of the executor.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: SmolStr,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The run failed because of a fault in the task or the executor.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The executor's lease expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start.
    Alone,
}

/// Why an order was not carried out, or may not have been carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFailure {
    /// The executor or the platform refused the order.
    Refused(RefusalReason),
    /// The executor is unhealthy and did not carry out the order.
    Unhealthy,
    /// Another incarnation of the executor answered.
    OtherIncarnation,
    /// The receiver did not understand the order, or its answer could not be decoded.
    Rejected,
    /// The order was not sent because no connection could be made.
    NotSent,
    /// No answer was received; the order may have been carried out or may still be.
    NoAnswer,
}

/// Why an executor or the platform refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The receiver has seen a greater epoch.
    Fenced,
    /// A run of the task with the same or a greater number has stopped or ended there.
    OldRun,
    /// The deadline in the order had passed.
    Late,
    /// The executor has too few free resources.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// The machine is busy.
    Busy,
    /// The receiver gave a reason that this version does not know, or none.
    Other,
}
