//! What the reducer asks for.

use guavacart_types::{Epoch, Resources, Span};
use smol_str::SmolStr;

use crate::{
    ExecutorId, HowEnded, JobKey, JobOutcome, Learned, MachineId, OrderFailure, Progress,
    RunNumber, StepKey, Target, TaskKey, Ticket, WaveNumber, WaveState,
};

/// Everything that the reducer asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Extend an executor's lease, acknowledge its ends and list its runs.
    Hold(Target, HoldOrder),
    /// Start a run.
    Start(Target, StartOrder),
    /// Stop a run.
    Stop {
        /// Where.
        target: Target,
        /// Which task.
        task: TaskKey,
        /// Which run.
        run: RunNumber,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// Where.
        target: Target,
        /// Which task.
        task: TaskKey,
        /// Which run.
        run: RunNumber,
        /// The share, in percent.
        percent: u8,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// Write records, as long as this owner owns; answered by [`crate::Event::Saved`].
    Save(SaveOrder),
    /// Remove everything that is kept of these jobs.
    Forget(Vec<JobKey>),
    /// Ask which executors may run a step.
    Advise {
        /// The step.
        step: StepKey,
        /// The executors.
        executors: Vec<ExecutorId>,
        /// How long the service needs for the answer.
        wait: Span,
    },
    /// Read the list of machines.
    ListMachines,
    /// Begin a machine's upkeep.
    BeginUpkeep(UpkeepOrder),
    /// Give up owning: another owner has a greater epoch.
    StepDown,
    /// Log a decision.
    Log(Decision),
}

/// Records to write.
#[derive(Clone, Debug)]
pub struct SaveOrder {
    /// Counts the saves.
    pub save: u64,
    /// The jobs' records; an older one of the same job is replaced.
    pub records: Vec<(JobKey, Progress)>,
    /// Waves whose state changed.
    pub waves: Vec<(WaveNumber, WaveState)>,
    /// All executors that may run something, if that changed.
    pub fleet: Option<Vec<Target>>,
    /// What has been learned of images, from time to time.
    pub learned: Option<Learned>,
}

/// A hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldOrder {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Until when everything may run, on the executor's clock, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Ends up to this one are kept elsewhere.
    pub acknowledged: u64,
    /// How long to wait for an end.
    pub wait: Span,
}

/// A start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The job's payload.
    pub payload: SmolStr,
    /// Until when it may run, on the executor's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Where to go on from.
    pub checkpoint: Option<SmolStr>,
    /// The advice service's permission.
    pub ticket: Option<Ticket>,
}

/// The start of an upkeep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpkeepOrder {
    /// The machine.
    pub machine: MachineId,
    /// The wave that asks for it.
    pub wave: WaveNumber,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// A decision, for the log.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A task was placed.
    Placed {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        executor: ExecutorId,
        /// What was free there before.
        free: Resources,
        /// Age of what is known of the executor.
        age: Span,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        executor: ExecutorId,
        /// How.
        how: HowEnded,
    },
    /// A run is taken as over without a listed end.
    Lost {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        executor: ExecutorId,
        /// Why that is certain.
        why: Loss,
    },
    /// A run of an earlier owner was found.
    Adopted {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        executor: ExecutorId,
    },
    /// A run is told to stop.
    Stopping {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        executor: ExecutorId,
        /// Why.
        why: &'static str,
    },
    /// An order failed.
    OrderFailed {
        /// Where.
        executor: ExecutorId,
        /// The task, but for a hold.
        task: Option<TaskKey>,
        /// How.
        failure: OrderFailure,
    },
    /// An executor is no longer given work, or is again.
    Trusted {
        /// Which.
        executor: ExecutorId,
        /// True if it is again.
        is_trusted: bool,
        /// Why.
        why: &'static str,
    },
    /// Fillers on an executor are to work at another share of their speed.
    Paced {
        /// Where.
        executor: ExecutorId,
        /// How many runs.
        runs: usize,
        /// The share, in percent.
        percent: u8,
        /// Worst tail over its target there, in percent.
        worst_percent: u64,
    },
    /// A job has ended.
    JobEnded {
        /// Which.
        job: JobKey,
        /// How.
        outcome: JobOutcome,
    },
    /// The advice service answered.
    Advice {
        /// Which step.
        step: StepKey,
        /// Executors that may run it; `None` if it did not say.
        good: Option<usize>,
    },
    /// A machine's upkeep is asked for.
    Upkeep {
        /// Which machine.
        machine: MachineId,
        /// Which wave.
        wave: WaveNumber,
    },
}

/// Why a run is certainly over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The executor's lease has run out by its slowest possible clock.
    Lapsed,
    /// The executor was born again.
    Reborn,
    /// A later list shows neither the run nor its end.
    Unlisted,
    /// It was refused, or never sent.
    NotStarted,
    /// It was stopped before it began.
    StoppedBefore,
}
