//! Faults: their numbers, when they begin, and what they do to executors, owners and the store.

use guavacart_jobs::TaskKey;
use rand::Rng;

use crate::{
    executor::Executor,
    network::{Partition, Reach},
    simulation::{EXECUTOR_COUNT, FAULTS_END_MS, SimEvent, Simulation},
    store::OWNER_LEASE_MS,
};

/// Numbers and probabilities of faults.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Number of takeovers after which the earlier owners no longer run.
    pub(crate) owner_crashes: usize,
    /// Number of takeovers after which the earlier owners continue to run.
    pub(crate) owner_overlaps: usize,
    /// Number of times that an owner is suspended for a while, during which another may take over.
    pub(crate) owner_freezes: usize,
    /// True if the store confirms no renewal of an owner in the time of a lease before the next owner
    /// takes over, as the platform's store does; else it confirms them until the takeover.
    pub(crate) leases_run_out: bool,
    /// True if owners are cut off from the store for seconds when the next owner takes over, so that
    /// their saves get no answer.
    pub(crate) cuts_superseded_owners: bool,
    /// Probability that the answer to an order is lost.
    pub(crate) lost_answers: f64,
    /// Probability that an order is delayed by seconds and reported to the owner as not answered.
    pub(crate) delayed_orders: f64,
    /// Number of executors that crash and restart.
    pub(crate) executor_crashes: usize,
    /// Number of times that an executor crashes again and again, with short lives.
    pub(crate) executor_flaps: usize,
    /// Number of series of restarts in which an executor is cut off before owners read its new entry.
    /// Answers are lost in the cut, runs last longer, and there are service jobs.
    pub(crate) unseen_restarts: usize,
    /// True if orders take up to a second to the next incarnation in an unseen restart.
    pub(crate) late_stray_orders: bool,
    /// Number of times that an executor cannot be reached for a while.
    pub(crate) executor_disconnects: usize,
    /// Number of times that an executor can be reached by a part of the owners only.
    pub(crate) partial_partitions: usize,
    /// If not 0, the store accepts no saves for a while after each takeover.
    pub(crate) store_outages: usize,
    /// Number of times that the whole store is unavailable, so that there is no takeover either.
    pub(crate) store_downtimes: usize,
    /// True if a new owner at first sees the entry of one executor only.
    pub(crate) missing_entries: bool,
    /// Number of jobs whose first task crashes each executor that starts it.
    pub(crate) crashing_jobs: u64,
    /// True if an order reaches only the incarnation that it is meant for.
    pub(crate) orders_reach_one_incarnation: bool,
    /// Number of times that the capacity of an executor changes.
    pub(crate) capacity_changes: usize,
    /// Number of maintenance waves.
    pub(crate) waves: usize,
    /// Number of times that three owners take over one shortly after the other.
    pub(crate) takeover_series: usize,
    /// True if the event loops of owners are behind in every second second, and every second job can
    /// wait.
    pub(crate) owners_are_behind: bool,
}

/// The beginning of a fault. Executors are named by index.
pub(crate) enum Fault {
    /// A new owner takes over.
    TakeOver {
        stops_earlier: bool,
    },
    FreezeOwner,
    CrashExecutor(usize),
    /// An executor crashes and restarts soon, as many times as are left.
    FlapExecutor {
        index: usize,
        left: u32,
    },
    /// An executor restarts and is cut off soon, as many times as are left.
    RestartUnseen {
        index: usize,
        left: u32,
    },
    CutOffExecutor {
        index: usize,
        until: u64,
    },
    DisconnectExecutor(usize),
    PartitionExecutor(usize),
    StoreDown,
}

impl Simulation {
    pub(crate) fn schedule_faults(&mut self) {
        let faults = self.faults;
        for _ in 0..faults.owner_crashes {
            self.schedule_take_over_at_random(true);
        }
        for _ in 0..faults.owner_overlaps {
            self.schedule_take_over_at_random(false);
        }
        for _ in 0..faults.takeover_series {
            self.schedule_takeover_series();
        }
        self.schedule_on_executors(faults.executor_crashes, Fault::CrashExecutor);
        self.schedule_on_executors(faults.executor_disconnects, Fault::DisconnectExecutor);
        for _ in 0..faults.executor_flaps {
            let left = self.rng.random_range(2..9);
            self.schedule_on_executors(1, |index| Fault::FlapExecutor { index, left });
        }
        self.schedule_on_executors(faults.partial_partitions, Fault::PartitionExecutor);
        for _ in 0..faults.owner_freezes {
            self.schedule_at_random(Fault::FreezeOwner);
        }
        for _ in 0..faults.store_downtimes {
            self.schedule_at_random(Fault::StoreDown);
        }
        self.schedule_unseen_restarts();
    }

    fn schedule_on_executors(&mut self, count: usize, fault: impl Fn(usize) -> Fault) {
        for _ in 0..count {
            let index = self.rng.random_range(0..EXECUTOR_COUNT);
            self.schedule_at_random(fault(index));
        }
    }

    fn schedule_take_over_at_random(&mut self, stops_earlier: bool) {
        let at = self.rng.random_range(1_000..FAULTS_END_MS);
        self.schedule_take_over(at, stops_earlier);
    }

    fn schedule_takeover_series(&mut self) {
        let mut at = self.rng.random_range(1_000..FAULTS_END_MS);
        for _ in 0..3 {
            self.schedule_take_over(at, true);
            at += self.rng.random_range(300..2_500);
        }
    }

    fn schedule_take_over(&mut self, at: u64, stops_earlier: bool) {
        self.planned_takeovers.push(at);
        self.schedule(at, SimEvent::Fault(Fault::TakeOver { stops_earlier }));
    }

    fn schedule_at_random(&mut self, fault: Fault) {
        let at = self.rng.random_range(1_000..FAULTS_END_MS);
        self.schedule(at, SimEvent::Fault(fault));
    }

    pub(crate) fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::TakeOver { stops_earlier } => self.take_over(stops_earlier),
            Fault::FreezeOwner => self.freeze_owner(),
            Fault::CrashExecutor(index) => {
                let downtime = self.rng.random_range(200..6_000);
                self.crash(index, downtime);
            }
            Fault::FlapExecutor { index, left } => {
                let downtime = self.rng.random_range(0..300);
                self.crash(index, downtime);
                if left > 1 {
                    let life = self.rng.random_range(100..2_000);
                    let next = Fault::FlapExecutor {
                        index,
                        left: left - 1,
                    };
                    self.schedule(self.now + downtime + life, SimEvent::Fault(next));
                }
            }
            Fault::RestartUnseen { index, left } => self.restart_unseen(index, left),
            Fault::CutOffExecutor { index, until } => self.cut_off_executor(index, until),
            Fault::DisconnectExecutor(index) => {
                self.executors[index].unreachable_until =
                    self.now + self.rng.random_range(500..9_000);
            }
            Fault::PartitionExecutor(index) => {
                let reach = match self.rng.random_range(0..4) {
                    0 => Reach::Newest,
                    1 => Reach::EveryOther(self.rng.random_range(0..2)),
                    _ => Reach::Superseded,
                };
                let until = self.now + self.rng.random_range(1_000..12_000);
                self.trace(|| format!("x{index} is reached by {reach:?} only, until {until}"));
                self.partitions[index] = Some(Partition { until, reach });
            }
            Fault::StoreDown => {
                let until = self.now + self.rng.random_range(2_000..9_000);
                self.store.down_until = self.store.down_until.max(until);
                self.trace(|| format!("the store is down until {until}"));
                if self.rng.random_bool(0.5) {
                    self.schedule_take_over(until, false);
                }
            }
        }
    }

    /// Crashes an executor, if it still has the given start time.
    pub(crate) fn crash_under_run(&mut self, index: usize, started_at: u64) {
        let executor = &self.executors[index];
        if executor.is_up && executor.started_at == started_at {
            let downtime = self.rng.random_range(200..6_000);
            self.crash(index, downtime);
        }
    }

    pub(crate) fn crashes_executors(&self, task: TaskKey) -> bool {
        task.step.job.0 <= self.faults.crashing_jobs && task.step.step == 0 && task.index == 0
    }

    pub(crate) fn crash(&mut self, index: usize, downtime: u64) {
        if self.maintenance.is_in_progress(index) {
            return;
        }
        self.trace(|| format!("x{index} crashes"));
        self.observer.record_crash(&self.executors[index]);
        self.executors[index].is_up = false;
        self.schedule(self.now + downtime, SimEvent::RestartExecutor(index));
    }

    pub(crate) fn restart_executor(&mut self, index: usize) {
        let executor = &self.executors[index];
        let is_just_up = executor.is_up && executor.started_at == self.now;
        if is_just_up || self.maintenance.is_in_progress(index) {
            return;
        }
        let life = executor.life;
        let earlier = executor.written_incarnation;
        self.trace(|| format!("x{index} restarts"));
        let unreachable_until = self.executors[index].unreachable_until;
        let capacity = self.executors[index].capacity.clone();
        self.executors[index] = Executor::new(self.now, capacity);
        self.executors[index].unreachable_until = unreachable_until;
        self.executors[index].life = life;
        self.write_entry_of_restarted(index, earlier);
    }

    /// Suspends the newest owner or an earlier one. Another owner may take over in the meantime.
    fn freeze_owner(&mut self) {
        let newest = self.owners.len() - 1;
        let owner = if self.rng.random_bool(0.75) {
            newest
        } else {
            self.rng.random_range(0..=newest)
        };
        let duration = self.rng.random_range(1_000..8_000);
        self.owners[owner].frozen_until = self.now + duration;
        self.trace(|| format!("o{owner} is frozen for {duration} ms"));
        if self.rng.random_bool(0.6) {
            let mut delay = self.rng.random_range(0..duration + 500);
            if self.faults.leases_run_out {
                delay += OWNER_LEASE_MS;
            }
            self.schedule_take_over(self.now + delay, false);
        }
    }
}
