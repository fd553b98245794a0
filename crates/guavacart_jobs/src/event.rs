//! What the reducer is told.

use guavacart_types::{Incarnation, Timestamp};
use smol_str::SmolStr;

use crate::{
    Configuration, ExecutorId, Job, JobKey, Machine, MachineId, Registration, RunNumber, StepKey,
    TaskKey, Ticket, Wave,
};

/// Everything that the reducer reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A configuration was read.
    Configured(Configuration),
    /// An executor's entry was read; `None` if it names no executor to use or is gone.
    Registered(ExecutorId, Option<Registration>),
    /// A job stands in the store.
    Accepted(JobKey, Box<Job>),
    /// A cancel stands in the store.
    Cancelled(JobKey),
    /// An executor answered a hold.
    Held {
        /// Who.
        executor: ExecutorId,
        /// When the question left.
        sent: Timestamp,
        /// What it said.
        report: Result<HoldReport, OrderFailure>,
        /// It waited for ends.
        is_waiting: bool,
    },
    /// An executor answered a start.
    Started {
        /// Who.
        executor: ExecutorId,
        /// Which task.
        task: TaskKey,
        /// Which run.
        run: RunNumber,
        /// What it said: its steady clock in milliseconds if the run goes on there.
        result: Result<u64, OrderFailure>,
    },
    /// An executor answered a stop.
    Stopped {
        /// Who.
        executor: ExecutorId,
        /// Which task.
        task: TaskKey,
        /// Which run.
        run: RunNumber,
        /// What it said.
        result: Result<(), OrderFailure>,
    },
    /// An executor answered a change of pace.
    Paced {
        /// Who.
        executor: ExecutorId,
        /// Which task.
        task: TaskKey,
        /// Which run.
        run: RunNumber,
        /// The share that was asked for, in percent.
        percent: u8,
        /// What it said.
        result: Result<(), OrderFailure>,
    },
    /// The records of a save stand in the store.
    Saved {
        /// Which save.
        save: u64,
    },
    /// The advice service answered; `None` if it gave no advice.
    Advised {
        /// Which step.
        step: StepKey,
        /// Executors that may run it.
        good: Option<Vec<(ExecutorId, Ticket)>>,
    },
    /// An upkeep wave was read.
    WaveAsked(Wave),
    /// The list of machines was read.
    MachinesListed(Vec<Machine>),
    /// An upkeep was answered: begun or done, or not.
    UpkeepAnswered {
        /// Which machine.
        machine: MachineId,
        /// What was said.
        result: Result<(), OrderFailure>,
    },
}

/// An executor's answer to a hold.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldReport {
    /// Unix millisecond of its start.
    pub incarnation: Incarnation,
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunListed>,
    /// Ends after the acknowledged ones.
    pub ended: Vec<RunEnded>,
    /// More ends are to come.
    pub is_partial: bool,
}

/// One run that goes on.
#[derive(Clone, Debug, PartialEq)]
pub struct RunListed {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// 100 if it is fully at work.
    pub percent: u8,
    /// Tail of its response times in milliseconds if it serves, else thousandths of a core in use.
    pub usage: Option<u64>,
}

/// One run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnded {
    /// Counts the ends of the incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How.
    pub how: HowEnded,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HowEnded {
    /// Its work is done.
    Done,
    /// By its own fault or the executor's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The executor's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// Why an order has not been carried out, or may not have been.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFailure {
    /// It was refused.
    Refused(Refusal),
    /// The executor is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The order was not understood.
    Rejected,
    /// No connection was made, so that nothing was sent.
    NotSent,
    /// No answer came; it may have been carried out, or may yet be.
    NoAnswer,
}

/// Why an executor or the platform refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It has seen a greater epoch.
    Fenced,
    /// The run is not greater than one that stopped or ended there.
    OldRun,
    /// The deadline had passed.
    Late,
    /// There is no room.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// The machine is busy.
    Busy,
    /// For a reason that is not known here.
    Other,
}
