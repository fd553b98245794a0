//! Discrete-event simulation of time, network, store, executors and owners around the reducer.

use std::{collections::BTreeMap, env};

use guavacart_jobs::{
    ClockReadings, Effect, Event, ExecutorId, JobKey, JobOutcome, MaintenanceWave, Registration,
    RunNumber, TaskKey,
};
use guavacart_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    capacity::Capacity,
    executor::Executor,
    faults::{Fault, Faults},
    invariants::Observer,
    maintenance::Maintenance,
    network::{Partition, target_of},
    owner::Owner,
    restarts::{PendingAnswer, UnseenRestart},
    services::Services,
    site::rules,
    store::Store,
};

pub(crate) const EXECUTOR_COUNT: usize = 5;
pub(crate) const JOB_COUNT: u64 = 14;
/// Time at which faults and submissions end.
pub(crate) const FAULTS_END_MS: u64 = 30_000;
/// Time at which the simulation ends; all jobs must have ended before.
const END_MS: u64 = 120_000;
/// An event of the simulation, in contrast to [`Event`] of the reducer. Executors and owners are
/// named by index.
pub(crate) enum SimEvent {
    /// An order reaches its executor, or a save reaches the store. The owner gets the answer if
    /// `answered` is set.
    Order {
        owner: usize,
        order: Effect,
        sent: u64,
        answered: bool,
        /// Incarnation of the executor in whose queue a delayed order waits. The order is dropped
        /// if the executor restarts.
        queued_in: Option<u64>,
    },
    /// The answer to an order is due.
    Answer(Box<PendingAnswer>),
    /// An owner receives an event.
    Deliver(usize, Event),
    Tick(usize),
    /// The work of a run ends, on an executor with that start time.
    Finish(usize, u64, TaskKey, RunNumber),
    SubmitJob(JobKey),
    CancelJob(JobKey),
    /// An owner reads an executor's entry.
    ReadEntry(usize, usize, ExecutorId, Registration),
    /// An owner renews its ownership, as it does at an interval.
    RenewRegularly(usize),
    /// A renewal that an owner sent at that time reaches the store.
    Renewal(usize, Timestamp),
    /// An owner learns that the store or an executor refuses its epoch.
    StopOwner(usize),
    Fault(Fault),
    RestartExecutor(usize),
    /// A run crashes its executor, if that executor still has the given start time.
    CrashUnderRun(usize, u64),
    ChangeCapacity(usize),
    /// An executor writes its entry.
    WriteEntry(usize),
    /// An executor that restarted writes its entry, if it still has the given start time.
    WriteIncarnation(usize, u64),
    /// An owner reads all entries.
    PollEntries(usize),
    RequestWave(MaintenanceWave),
    /// The next executor of a machine joins after the machine's maintenance.
    EndMaintenance(usize),
    /// All executors write their entries.
    WriteEntries,
    /// The entry of an executor that ended is removed; the number is its life.
    RemoveEntry(usize, u32),
    /// An owner reads that an entry was removed.
    ReadRemoval(usize, usize, ExecutorId),
    /// Executors end their runs if their lease has expired.
    ExpireLeases,
}

pub(crate) struct Simulation {
    pub(crate) seed: u64,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) faults: Faults,
    is_traced: bool,
    /// Events by time and sequence number, so that events of the same time keep their order.
    queue: BTreeMap<(u64, u64), SimEvent>,
    next_sequence: u64,
    pub(crate) executors: Vec<Executor>,
    pub(crate) partitions: [Option<Partition>; EXECUTOR_COUNT],
    pub(crate) unseen_restarts: [Option<UnseenRestart>; EXECUTOR_COUNT],
    pub(crate) owners: Vec<Owner>,
    /// When takeovers are due, in the past and in the future.
    pub(crate) planned_takeovers: Vec<u64>,
    pub(crate) store: Store,
    pub(crate) maintenance: Maintenance,
    pub(crate) services: Services,
    pub(crate) observer: Observer,
}

/// The id of a machine's executor: `x0`, and `x0-1` for the next one on that machine.
pub(crate) fn executor_id(index: usize, life: u32) -> ExecutorId {
    let id = if life == 0 {
        format!("x{index}")
    } else {
        format!("x{index}-{life}")
    };
    id.as_str().into()
}

pub(crate) fn index_of(id: &ExecutorId) -> usize {
    let machine = id.0[1..].split('-').next().expect("a first part");
    machine.parse().expect("an id of this model")
}

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut simulation = Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            now: 10,
            faults,
            is_traced: env::var_os("GUAVACART_TRACE").is_some(),
            queue: BTreeMap::new(),
            next_sequence: 0,
            executors: (0..EXECUTOR_COUNT)
                .map(|_| Executor::new(1, Capacity::default()))
                .collect(),
            partitions: [None; EXECUTOR_COUNT],
            unseen_restarts: [None; EXECUTOR_COUNT],
            owners: Vec::new(),
            planned_takeovers: Vec::new(),
            store: Store::default(),
            maintenance: Maintenance::default(),
            services: Services::default(),
            observer: Observer::default(),
        };
        simulation.take_over(false);
        for key in 1..=JOB_COUNT {
            let at = simulation.rng.random_range(500..FAULTS_END_MS);
            simulation.schedule(at, SimEvent::SubmitJob(JobKey(key)));
            if simulation.rng.random_bool(0.15) {
                let delay = simulation.rng.random_range(50..4_000);
                simulation.schedule(at + delay, SimEvent::CancelJob(JobKey(key)));
            }
        }
        simulation.schedule_faults();
        simulation.schedule_capacity_changes();
        simulation.schedule_waves();
        simulation.schedule(100, SimEvent::ExpireLeases);
        simulation
    }

    /// The id of the executor that a machine runs or ran last.
    pub(crate) fn executor_id(&self, index: usize) -> ExecutorId {
        executor_id(index, self.executors[index].life)
    }

    pub(crate) fn schedule(&mut self, at: u64, sim_event: SimEvent) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), sim_event);
    }

    /// Prints a line if `GUAVACART_TRACE` is set.
    #[expect(clippy::print_stderr, reason = "the trace of a failing seed")]
    pub(crate) fn trace(&self, line: impl FnOnce() -> String) {
        if self.is_traced {
            eprintln!("{} {}", self.now, line());
        }
    }

    pub(crate) fn clocks(&self) -> ClockReadings {
        ClockReadings {
            now: Timestamp(self.now),
            unix_ms: 1_000_000 + self.now,
        }
    }

    pub(crate) fn run(&mut self) {
        while let Some(((at, _), sim_event)) = self.queue.pop_first() {
            if at > END_MS {
                break;
            }
            self.now = at;
            self.handle(sim_event);
        }
    }

    pub(crate) fn assert_all_jobs_ended(&self) {
        for key in self.store.jobs.keys() {
            let outcome = self
                .store
                .progress
                .get(key)
                .and_then(|progress| progress.outcome);
            assert!(
                outcome.is_some(),
                "seed {}: job {key} has not ended",
                self.seed
            );
            let is_innocent = key.0 > self.faults.crashing_jobs;
            if is_innocent && outcome == Some(JobOutcome::Failed) {
                let max_attempts = usize::try_from(rules().max_attempts).expect("few attempts");
                let steps = self.store.progress[key].steps.values();
                let mut failed = steps.flat_map(|step| step.failed.values());
                let has_other_crashes = self.faults.executor_crashes > 0
                    || self.faults.executor_flaps > 0
                    || self.faults.unseen_restarts > 0;
                let may_be_given_up = has_other_crashes && self.observer.may_be_given_up(*key);
                assert!(
                    may_be_given_up || failed.any(|runs| runs.len() >= max_attempts),
                    "seed {}: job {key} failed although no task failed too often",
                    self.seed
                );
            }
            let is_cancelled = self.store.cancelled.contains(key);
            let is_consistent = outcome != Some(JobOutcome::Cancelled) || is_cancelled;
            assert!(
                is_consistent,
                "seed {}: job {key} was not cancelled",
                self.seed
            );
        }
    }

    fn handle(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Order {
                owner,
                order,
                sent,
                answered,
                queued_in,
            } => {
                let index = target_of(&order).map(|target| index_of(&target.id));
                let started_at = index.map(|index| self.executors[index].started_at);
                if queued_in.is_none() || queued_in == started_at {
                    self.receive_order(owner, order, sent, answered);
                }
            }
            SimEvent::Answer(answer) => self.send_answer(*answer),
            SimEvent::Deliver(owner, event) => self.deliver(owner, event),
            SimEvent::Tick(owner) => self.tick(owner),
            SimEvent::Finish(index, started, task, run) => self.finish(index, started, task, run),
            SimEvent::SubmitJob(key) => self.submit_job(key),
            SimEvent::CancelJob(key) => self.cancel_job(key),
            SimEvent::ReadEntry(owner, index, id, entry) => {
                self.read_entry(owner, index, id, entry);
            }
            SimEvent::RenewRegularly(owner) => self.renew_regularly(owner),
            SimEvent::Renewal(owner, sent) => self.confirm_ownership(owner, sent),
            SimEvent::StopOwner(owner) => self.stop_owner(owner),
            SimEvent::Fault(fault) => self.begin_fault(fault),
            SimEvent::RestartExecutor(index) => self.restart_executor(index),
            SimEvent::CrashUnderRun(index, started) => self.crash_under_run(index, started),
            SimEvent::ChangeCapacity(index) => self.change_capacity(index),
            SimEvent::WriteEntry(index) => self.write_entry(index),
            SimEvent::WriteIncarnation(index, started) => self.write_incarnation(index, started),
            SimEvent::PollEntries(owner) => self.poll_entries(owner),
            SimEvent::RequestWave(wave) => self.request_wave(wave),
            SimEvent::EndMaintenance(index) => self.end_maintenance(index),
            SimEvent::WriteEntries => self.write_entries(),
            SimEvent::RemoveEntry(index, life) => self.remove_entry(index, life),
            SimEvent::ReadRemoval(owner, index, id) => self.read_removal(owner, index, id),
            SimEvent::ExpireLeases => {
                self.record_idle_services();
                let now = self.now;
                self.executors
                    .iter_mut()
                    .for_each(|executor| executor.expire_lease(now));
                self.schedule(self.now + 100, SimEvent::ExpireLeases);
            }
        }
    }
}
