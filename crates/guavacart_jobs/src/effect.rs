//! Effects that the reducer returns: orders to executors, writes to the store and log lines.

use guavacart_types::{DataCentre, Epoch, Incarnation, Processors, Resources, Span, Timestamp};
use smol_str::SmolStr;

use crate::{
    ExecutorAddress, ExecutorId, JobKey, JobOutcome, JobProgress, LearnedInterference, MachineId,
    MaintenanceRecord, MaintenanceWaveState, OrderFailure, OrderTarget, RunNumber, RunOutcome,
    StepKey, TaskKey, Ticket, WaveNumber,
    policy::wait::{Wait, WaitEnd},
};

/// An action that the node carries out for the reducer.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Extend an executor's lease, acknowledge ended runs and fetch the executor's lists of runs.
    Hold(OrderTarget, HoldOrder),
    /// Start a run on an executor.
    Start(OrderTarget, StartOrder),
    /// Stop a run on an executor.
    Stop {
        /// Executor that has the run.
        target: OrderTarget,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Epoch of the owner, checked by the executor.
        epoch: Epoch,
    },
    /// Pace a run, so that the run works at a share of its full speed.
    Pace {
        /// Executor that has the run.
        target: OrderTarget,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Share of full speed, in percent; 0 pauses the run.
        percent: u8,
        /// Epoch of the owner, checked by the executor.
        epoch: Epoch,
    },
    /// Write records to the store if this node is still the owner. The answer is
    /// [`crate::Event::Saved`].
    Save(SaveOrder),
    /// Delete all stored records of these jobs.
    DeleteJobs(Vec<JobKey>),
    /// Delete the cancels of these jobs, which are not stored.
    DeleteTombstones(Vec<JobKey>),
    /// Ask the advice service which executors may run a step.
    AskAdvice {
        /// Step that is to be placed.
        step: StepKey,
        /// Executors to ask about.
        executors: Vec<ExecutorId>,
        /// Time that the service needs for the answer.
        wait: Span,
    },
    /// Read the platform's list of machines. The answer is [`crate::Event::MachinesListed`].
    ListMachines,
    /// Take a machine down for maintenance. The answer is [`crate::Event::MaintenanceAnswered`].
    BeginMaintenance(MaintenanceOrder),
    /// Measure the lag of the event loop: the time by which it is late with what is due after this
    /// time. The answer is [`crate::Event::LagMeasured`].
    MeasureLag {
        /// Time until the measurement.
        after: Span,
    },
    /// Renew the ownership lease now. The answer is [`crate::Event::OwnershipConfirmed`].
    ConfirmOwnership,
    /// Stop acting as the owner, because an owner with a greater epoch exists.
    StepDown,
    /// Write a log line about a decision.
    Log(Decision),
}

/// Records to write to the store together.
#[derive(Clone, Debug)]
pub struct SaveOrder {
    /// Number of this save, counted by the owner.
    pub number: u64,
    /// Progress of jobs. Each record replaces the stored one of the same job.
    pub progress: Vec<(JobKey, JobProgress)>,
    /// Maintenance waves whose state changed.
    pub waves: Vec<(WaveNumber, MaintenanceWaveState)>,
    /// Orders in maintenance waves; `None` if the record is unchanged.
    pub maintenance: Option<MaintenanceRecord>,
    /// All executors that may have runs; `None` if the list is unchanged.
    pub executors_with_runs: Option<Vec<ExecutorAddress>>,
    /// Estimates about images; `None` in saves that do not update the stored ones.
    pub learned: Option<LearnedInterference>,
}

/// A hold: the long-poll call that extends an executor's lease and returns its lists of runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldOrder {
    /// Epoch of the owner, checked by the executor.
    pub epoch: Epoch,
    /// Time to which the executor's lease is extended, in milliseconds on the executor's steady
    /// clock; `None` leaves the lease as it is.
    pub deadline_ms: Option<u64>,
    /// Number of the last ended run whose record is stored. The executor may drop the ends up to
    /// this number.
    pub acknowledged: u64,
    /// Maximum time that the executor waits for a run to end before it answers.
    pub wait: Span,
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// Epoch of the owner, checked by the executor.
    pub epoch: Epoch,
    /// Task to run.
    pub task: TaskKey,
    /// Number of the new run.
    pub run: RunNumber,
    /// Payload of the job, passed on unchanged.
    pub payload: SmolStr,
    /// Time to which the executor's lease is extended, in milliseconds on the executor's steady
    /// clock. The executor refuses the order if this time has passed.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; `None` starts the task from its beginning.
    pub checkpoint: Option<SmolStr>,
    /// Permission from the advice service, where the queue requires one.
    pub ticket: Option<Ticket>,
    /// Latest time at which the order may be sent, on the owner's monotonic clock.
    pub send_until: Timestamp,
}

/// An order to take a machine down for maintenance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceOrder {
    /// Machine to take down.
    pub machine: MachineId,
    /// Maintenance wave that the machine belongs to.
    pub wave: WaveNumber,
    /// Epoch of the owner, checked by the platform.
    pub epoch: Epoch,
}

/// Why the first step in rank that waits has found no room. Executors are those that can be given
/// work.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomShortage {
    /// Step that waits.
    pub step: StepKey,
    /// Time since the step became ready.
    pub waited: Span,
    /// Number of its tasks that wait.
    pub tasks: usize,
    /// Resources that each task reserves.
    pub size: Resources,
    /// Free processors of all executors together.
    pub free: Processors,
    /// Most free processors on one executor.
    pub largest: Processors,
    /// Executors that would have room without the tasks that end by themselves.
    pub executors_without_short_tasks: usize,
}

/// Lag of the owner's event loop, and the starts in an interval of about a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Longest lag that was measured.
    pub longest_lag: Span,
    /// Tasks whose start was ordered.
    pub starts: u32,
    /// Longest time from when a step of the most urgent priority became ready until the start of one
    /// of its tasks was ordered, apart from service tasks.
    pub longest_urgent_wait: Span,
    /// Orders to start that were answered.
    pub answers: u32,
    /// Sum of the times from these orders to their answers.
    pub total_answer_time: Span,
    /// Longest of these times.
    pub longest_answer_time: Span,
}

impl LoadReport {
    /// Mean time from an order to start a task to its answer; zero without answers.
    pub fn mean_answer_time(&self) -> Span {
        Span(self.total_answer_time.0 / u64::from(self.answers.max(1)))
    }
}

/// A decision of the reducer, for the log.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A task was placed on an executor.
    Placed {
        /// Task that was placed.
        task: TaskKey,
        /// Number of the new run.
        run: RunNumber,
        /// Executor that was chosen.
        executor: ExecutorId,
        /// Free resources of the executor before the placement.
        free: Resources,
        /// Time since the executor last reported.
        age: Span,
        /// Time since the task's step became ready.
        waited: Span,
    },
    /// How far the owner was behind, and the starts since the last such report.
    Load(LoadReport),
    /// A task that ends by itself has found no executor with room for a while.
    NoRoom(RoomShortage),
    /// Tasks of a step begin to wait for room at the rack that they prefer.
    RackWaitBegun {
        /// Step of the tasks.
        step: StepKey,
        /// Rack that they wait for.
        rack: SmolStr,
        /// How many wait, and for how long.
        wait: Wait,
    },
    /// No more tasks of a step wait for room at a rack.
    RackWaitEnded {
        /// Step that waited.
        step: StepKey,
        /// Rack that it waited for.
        rack: SmolStr,
        /// Time since the wait began.
        waited: Span,
        /// Reason for the end.
        why: WaitEnd,
    },
    /// An executor reported the end of a run.
    Ended {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Executor that had the run.
        executor: ExecutorId,
        /// Outcome that the executor reported.
        outcome: RunOutcome,
    },
    /// A run is known to be over although its executor reported no end.
    Lost {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Executor that had the run.
        executor: ExecutorId,
        /// Evidence that the run is over.
        why: LossReason,
    },
    /// An executor's lease has expired by the owner's reckoning, so that runs there are over.
    LeaseExpired {
        /// Executor whose lease has expired.
        executor: ExecutorId,
        /// Incarnation that the executor has reported last, if any.
        incarnation: Option<Incarnation>,
        /// Runs that are considered over.
        runs: usize,
        /// Those of them that this incarnation has not been shown to have started.
        unconfirmed_runs: usize,
        /// Time since the executor last reported.
        since_report: Span,
        /// Time since the last order that may have extended the lease.
        since_order: Span,
        /// The answer to a start had a clock reading that does not fit this incarnation.
        is_clock_suspect: bool,
    },
    /// The answer to a start has a clock reading that does not fit the known incarnation of its
    /// executor.
    ClockMismatch {
        /// Executor that answered.
        executor: ExecutorId,
        /// Incarnation that the executor has reported last, if any.
        incarnation: Option<Incarnation>,
        /// The reading that this incarnation would have given, in milliseconds.
        expected_ms: u64,
        /// The reading in the answer, in milliseconds.
        reading_ms: u64,
    },
    /// An executor restarted under the same id; its runs are over and it has seen no epoch.
    ExecutorRestarted {
        /// Executor that restarted.
        executor: ExecutorId,
        /// Its new incarnation.
        incarnation: Incarnation,
        /// Runs of the earlier incarnation, and runs whose start may have reached the new one.
        runs: usize,
        /// Number up to which ends of the earlier incarnation were acknowledged.
        acknowledged: u64,
    },
    /// A run that this owner did not start was found on an executor and is kept.
    Adopted {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Executor that has the run.
        executor: ExecutorId,
    },
    /// An executor is ordered to stop a run.
    Stopping {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Executor that has the run.
        executor: ExecutorId,
        /// Reason for the stop, as text for the log.
        why: &'static str,
    },
    /// An order to an executor failed.
    OrderFailed {
        /// Executor that the order was for.
        executor: ExecutorId,
        /// Task that the order was about; `None` for a hold.
        task: Option<TaskKey>,
        /// Kind of failure.
        failure: OrderFailure,
    },
    /// No more tasks start, since the executors' entries could not be read for too long, or tasks
    /// start again.
    PlacementSuspended {
        /// True if no more tasks start.
        is_suspended: bool,
        /// Time since the entries were read.
        age: Span,
    },
    /// The evacuation of a data centre was requested: nothing starts there any more.
    EvacuationBegun {
        /// Data centre that is evacuated.
        data_centre: DataCentre,
        /// Known executors there; none if the operator's name is that of no data centre.
        executors: usize,
        /// Runs on them.
        runs: usize,
    },
    /// The request to evacuate a data centre was withdrawn.
    EvacuationEnded {
        /// Data centre that gets work again.
        data_centre: DataCentre,
        /// Known executors there.
        executors: usize,
    },
    /// An executor's entry shows another capacity than before.
    CapacityChanged {
        /// Executor whose capacity changed.
        executor: ExecutorId,
        /// Former capacity.
        before: Resources,
        /// New capacity.
        after: Resources,
        /// Resources that its runs reserve.
        reserved: Resources,
    },
    /// An executor got a penalty for failed runs and gets no more work, except as a last choice for
    /// long-running tasks, or gets work again.
    Trusted {
        /// Executor that got the penalty or gets work again.
        executor: ExecutorId,
        /// True if the executor gets work again.
        is_trusted: bool,
        /// Reason for the change, as text for the log.
        why: &'static str,
    },
    /// The pace of best-effort runs on an executor was changed.
    Paced {
        /// Executor that has the runs.
        executor: ExecutorId,
        /// Number of runs whose pace changed.
        runs: usize,
        /// Lowest of the new paces, in percent of full speed.
        percent: u8,
        /// Highest tail latency on the executor, in percent of its target.
        worst_percent: u64,
    },
    /// An executor crashed: it restarted or was replaced without having said that it leaves.
    ExecutorCrashed {
        /// Executor that crashed.
        executor: ExecutorId,
        /// Number of runs that were lost.
        lost: usize,
        /// Number of runs that may have caused the crash.
        blamed: usize,
    },
    /// A crash was counted against a task.
    Suspected {
        /// Task that may have caused the crash.
        task: TaskKey,
        /// Number of its run.
        run: RunNumber,
        /// Executor that crashed.
        executor: ExecutorId,
        /// Number of crashes that count against the task.
        crashes: usize,
        /// The task is not started again, and its job fails.
        is_given_up: bool,
    },
    /// A task with crashes has worked long enough that they no longer count against it.
    Cleared {
        /// Task that worked.
        task: TaskKey,
    },
    /// A job ended.
    JobEnded {
        /// Job that ended.
        job: JobKey,
        /// Outcome of the job.
        outcome: JobOutcome,
    },
    /// The advice service answered, or gave no advice.
    Advice {
        /// Step that the request was about.
        step: StepKey,
        /// Number of executors that may run the step; `None` if there was no advice.
        allowed: Option<usize>,
    },
    /// The platform is asked to take a machine down for maintenance.
    MaintenanceBegun {
        /// Machine to take down.
        machine: MachineId,
        /// Maintenance wave that the machine belongs to.
        wave: WaveNumber,
    },
    /// The platform answered an order to take a machine down, or the order failed.
    MaintenanceAnswered {
        /// Machine that the order was for.
        machine: MachineId,
        /// Executor that the machine ran before the order; `None` once it is known to be gone.
        executor: Option<ExecutorId>,
        /// Runs on that executor.
        runs: usize,
        /// Answer of the platform.
        result: Result<(), OrderFailure>,
    },
    /// An owner begins with a maintenance wave, or continues with one of an earlier owner.
    WaveBegun {
        /// Number of the wave.
        wave: WaveNumber,
        /// Machines of the wave.
        machines: usize,
        /// Machines whose maintenance has begun, as far as this owner knows.
        begun: usize,
    },
}

/// Evidence that a run is over although its executor reported no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossReason {
    /// The executor's lease has expired even if the executor's clock runs at its slowest rate.
    Lapsed,
    /// The executor restarted or was replaced at its address.
    Reborn,
    /// A list that was requested after an order to take the machine down shows that the machine is
    /// not up, or runs another executor.
    MachineDown,
    /// A list that was requested after the run was confirmed contains neither the run nor its end.
    Unlisted,
    /// The start was refused, was not sent, or can no longer take effect because its deadline has
    /// passed.
    NotStarted,
    /// The executor answered a stop and then did not list the run, so the run never began.
    StoppedBefore,
}
