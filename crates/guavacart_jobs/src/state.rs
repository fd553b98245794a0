//! The reducer: one owner's state of jobs and executors, updated by events.

mod adoption;
mod advice;
mod candidates;
mod capacity;
mod claims;
mod crash_blame;
mod demand;
mod evacuation;
mod executors;
mod explain;
mod headroom;
mod holds;
mod interference;
mod jobs;
mod learned;
mod leases;
mod load;
mod maintenance;
mod orders;
mod ownership;
mod pacing;
mod passes;
mod placement;
mod rack_wait;
mod racks;
mod registration;
mod replacement;
mod retention;
mod room_shortage;
mod runs;
mod saving;
mod speeds;
mod tails;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use guavacart_types::{DataCentre, Epoch, Span, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{
    Configuration, Effect, Event, ExecutorAddress, ExecutorId, Job, JobKey, JobOutcome,
    JobProgress, LearnedInterference, MaintenanceRecord, MaintenanceWave, QueueName, QueuePolicy,
    Registration, StepKey,
};
use adoption::Orphan;
use candidates::PassWork;
use capacity::EntryAge;
use claims::Claims;
use crash_blame::Suspects;
use evacuation::Evacuations;
use executors::Executor;
use headroom::Headrooms;
use interference::Interference;
use jobs::JobEntry;
pub use jobs::MAX_UNCONFIRMED_ACCEPT_TIME;
use load::Load;
use maintenance::Maintenance;
use ownership::{MAX_TICK_INTERVAL, Ownership};
use racks::Racks;
use saving::Saving;
use speeds::ExecutorSpeeds;

/// Longest time between two holds to an executor that runs nothing; keeps the reading of its clock
/// recent.
const IDLE_HOLD_INTERVAL: Span = Span::secs(8);
/// Longest time between two events of an owner whose process runs; the node renews the ownership more
/// often.
const MAX_EVENT_INTERVAL: Span = Span::millis(500);

/// Limits of the deployment that the reducer respects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest lease that an executor grants.
    pub max_lease: Span,
    /// How long the state of an ended job is kept.
    pub retention: Span,
    /// How long the tail latency of a task may exceed its target.
    pub max_time_over_target: Span,
    /// How long the maintenance of a machine takes.
    pub maintenance: Span,
    /// Shortest time between orders of two owners to one machine.
    pub min_holder_interval: Span,
    /// How long after the executors' entries were last read orders may rely on them.
    pub max_entry_age: Span,
    /// Longest time between two writes of an executor's entry while the store is available.
    pub entry_interval: Span,
    /// Longest time from the operator's request to evacuate a data centre until nothing starts there;
    /// `None` if the deployment has no such bound.
    pub evacuation: Option<Span>,
    /// Factor on the duration of a task on another rack than the one that it prefers; 1 if racks make
    /// no difference.
    pub cross_rack_factor: f32,
}

/// Everything that an owner reads before it acts.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The newest configuration.
    pub configuration: Configuration,
    /// All jobs, with their stored progress.
    pub jobs: Vec<(JobKey, Job, JobProgress)>,
    /// Jobs that their submitters cancelled.
    pub cancelled: Vec<JobKey>,
    /// Executors with an entry in the platform's store.
    pub executors: Vec<(ExecutorId, Registration)>,
    /// Since when the store has been available, so that executors could write their entries.
    pub store_available_since: Timestamp,
    /// Latest time at which the store may have confirmed the lease of an earlier owner that has not
    /// ended.
    pub predecessor_confirmed_until: Timestamp,
    /// Executors that may run tasks of an earlier owner, from that owner's record.
    pub executors_with_runs: Vec<ExecutorAddress>,
    /// Data centres that are to be evacuated.
    pub evacuated: BTreeSet<DataCentre>,
    /// When the read that showed them was sent.
    pub evacuations_as_of: Timestamp,
    /// Maintenance waves.
    pub waves: Vec<MaintenanceWave>,
    /// Orders of earlier owners in these waves.
    pub maintenance: MaintenanceRecord,
    /// What earlier owners learned about images.
    pub learned: LearnedInterference,
}

/// The readings of both clocks at the time of an event.
#[derive(Clone, Copy, Debug)]
pub struct ClockReadings {
    /// Monotonic time.
    pub now: Timestamp,
    /// Time of day, in Unix milliseconds.
    pub unix_ms: u64,
}

/// The state of a job as reported to its submitter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended, and its outcome is stored.
    Ended(JobOutcome),
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StateSummary {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Runs for which resources on an executor are reserved.
    pub runs: usize,
    /// Executors that can be given work.
    pub usable_executors: usize,
    /// Data centres that are evacuated.
    pub evacuated_data_centres: usize,
    /// Runs on executors of these data centres.
    pub evacuated_runs: usize,
    /// Executors that are treated as slow.
    pub slow_executors: usize,
    /// Steps with tasks that wait for resources.
    pub ready_steps: usize,
    /// Comparisons of an executor with the requirements of a step, since the owner began.
    pub placement_checks: u64,
    /// Longest lag of the event loop in the last interval that was reported.
    pub lag: Span,
    /// Mean time from an order to start a task to its answer in that interval.
    pub start_answer_time: Span,
}

/// What to do when a timer expires. A `usize` is the index of an executor in [`State::executors`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Hold(usize),
    LeaseExpiry(usize),
    RepeatStops(usize),
    UnknownJobs(usize),
    OrphanExpiry,
    Flush,
    Place,
    OccurrenceDue(JobKey, u32),
    AdviceRetry(StepKey),
    Retention,
    Maintenance,
    Evacuation,
}

/// The state of one owner.
#[derive(Debug)]
pub struct State {
    epoch: Epoch,
    bounds: Bounds,
    owner_since: Timestamp,
    predecessor_confirmed_until: Timestamp,
    /// False if no earlier owner has started runs.
    has_predecessor: bool,
    ownership: Ownership,
    /// Time since the owner began, apart from the times in which the process was suspended and left
    /// what it received unread.
    attentive_for: Span,
    now: Timestamp,
    unix_ms: u64,
    configuration: Configuration,
    /// Queue rules of the current configuration, by queue name.
    rules: HashMap<QueueName, QueuePolicy>,
    /// Priority of the most urgent queues of the current configuration.
    most_urgent_priority: u32,
    jobs: BTreeMap<JobKey, JobEntry>,
    /// Jobs whose cancel is stored, and when this owner learned of it.
    cancelled: BTreeMap<JobKey, Timestamp>,
    /// Steps whose dependencies are done and that have waiting tasks.
    ready: BTreeSet<StepKey>,
    /// Steps that became ready since the last pass.
    new_steps: Vec<StepKey>,
    /// All known executors. Other fields and most methods refer to an executor by its index, `x`.
    executors: Vec<Executor>,
    /// Indexes in `executors`.
    by_id: HashMap<ExecutorId, usize>,
    entry_age: EntryAge,
    /// No tasks start, since the executors' entries are outdated.
    is_suspended: bool,
    /// Ends of runs whose job is not known yet. Run ends are not acknowledged until their job is
    /// known.
    orphans: Vec<Orphan>,
    /// Executors that may still run tasks of an earlier owner, by index in `executors`.
    unreconciled: BTreeSet<usize>,
    timers: BTreeSet<(Timestamp, Timer)>,
    saving: Saving,
    maintenance: Maintenance,
    evacuations: Evacuations,
    interference: Interference,
    headrooms: Headrooms,
    suspects: Suspects,
    speeds: ExecutorSpeeds,
    needs_placement: bool,
    pass_work: PassWork,
    claims: Claims,
    racks: Racks,
    load: Load,
    /// Where the next pass starts among the steps that are tried in rotation.
    rotation_offset: usize,
    /// When the best-effort load expected on each executor is computed again.
    next_demand_update: Timestamp,
    /// True if many processors are free; best-effort tasks then wait only briefly for headroom.
    has_slack: bool,
    /// When steps that wait for headroom are tried again.
    next_headroom_retry: Timestamp,
    /// When a step without room is reported again.
    next_shortage_report: Timestamp,
    effects: Vec<Effect>,
}

impl State {
    /// Creates the state of an owner that has read the store and has not sent an order yet.
    pub fn new(bounds: Bounds, snapshot: Snapshot, at: ClockReadings) -> (Self, Vec<Effect>) {
        let cancelled = snapshot.cancelled.into_iter();
        let mut state = Self {
            epoch: snapshot.epoch,
            bounds,
            owner_since: at.now,
            predecessor_confirmed_until: snapshot.predecessor_confirmed_until,
            has_predecessor: !snapshot.executors_with_runs.is_empty(),
            ownership: Ownership::unconfirmed(),
            attentive_for: Span::ZERO,
            now: at.now,
            unix_ms: at.unix_ms,
            rules: rules_by_name(&snapshot.configuration),
            most_urgent_priority: snapshot.configuration.most_urgent_priority(),
            configuration: snapshot.configuration,
            jobs: BTreeMap::new(),
            cancelled: cancelled.map(|key| (key, at.now)).collect(),
            ready: BTreeSet::new(),
            new_steps: Vec::new(),
            executors: Vec::new(),
            by_id: HashMap::new(),
            entry_age: EntryAge::new(&bounds, snapshot.store_available_since, at.now),
            is_suspended: false,
            orphans: Vec::new(),
            unreconciled: BTreeSet::new(),
            timers: BTreeSet::new(),
            saving: Saving::default(),
            maintenance: Maintenance::new(snapshot.maintenance),
            evacuations: Evacuations::new(snapshot.evacuations_as_of),
            interference: Interference::default(),
            headrooms: Headrooms::default(),
            suspects: Suspects::new(),
            speeds: ExecutorSpeeds::default(),
            needs_placement: false,
            pass_work: PassWork::default(),
            claims: Claims::default(),
            racks: Racks::default(),
            load: Load::default(),
            rotation_offset: 0,
            next_demand_update: Timestamp(0),
            has_slack: false,
            next_headroom_retry: Timestamp(0),
            next_shortage_report: Timestamp(0),
            effects: Vec::new(),
        };
        state.restore_learned(&snapshot.learned);
        for target in snapshot.executors_with_runs {
            state.add_recorded_executor(target);
        }
        for (id, registration) in snapshot.executors {
            state.on_registration(&id, Some(registration));
        }
        state.on_evacuations(snapshot.evacuations_as_of, snapshot.evacuated);
        state.unreconciled = (0..state.executors.len()).collect();
        for (key, job, progress) in snapshot.jobs {
            state.add_job(key, job, progress, true);
        }
        for wave in snapshot.waves {
            state.add_wave(wave);
        }
        for x in 0..state.executors.len() {
            state.hold_if_needed(x);
        }
        state.schedule_retention_check();
        let effects = std::mem::take(&mut state.effects);
        (state, effects)
    }

    /// Applies one event and returns the resulting effects.
    pub fn apply(&mut self, at: ClockReadings, event: Event) -> Vec<Effect> {
        let since_last = at.now.since(self.now);
        self.attentive_for += since_last.min(MAX_EVENT_INTERVAL);
        if since_last > MAX_EVENT_INTERVAL {
            self.speeds.distrust_times_before(at.now);
        }
        self.advance_to(at.now);
        self.unix_ms = at.unix_ms;
        match event {
            Event::Tick => {}
            Event::OwnershipConfirmed { at } => self.on_ownership_confirmed(at),
            Event::ConfigurationRead(configuration) => self.on_configuration(configuration),
            Event::ExecutorEntryRead(id, registration) => self.on_registration(&id, registration),
            Event::ExecutorEntriesConfirmed { as_of } => self.on_entries_confirmed(as_of),
            Event::EvacuationsRead {
                as_of,
                data_centres,
            } => self.on_evacuations(as_of, data_centres),
            Event::JobAccepted(key, job) => self.add_job(key, *job, JobProgress::default(), false),
            Event::JobCancelled(key) => self.cancel(key),
            Event::HoldAnswered {
                executor,
                sent,
                report,
                is_long_poll,
            } => self.on_hold_result(&executor, sent, report, is_long_poll),
            Event::LateReport {
                executor,
                sent,
                report,
            } => self.on_late_report(&executor, sent, report),
            Event::StartAnswered {
                executor,
                task,
                run,
                result,
            } => self.on_start_result(&executor, task, run, result),
            Event::StopAnswered {
                executor,
                task,
                run,
                result,
            } => self.on_stop_result(&executor, task, run, result),
            Event::PaceAnswered {
                executor,
                task,
                run,
                percent,
                result,
            } => self.on_pace_result(&executor, task, run, percent, result),
            Event::Saved { save } => self.on_saved(save),
            Event::LagMeasured(lag) => self.on_lag_measured(lag),
            Event::AdviceAnswered { step, allowed } => self.on_advice(step, allowed),
            Event::WaveRequested(wave) => self.add_wave(wave),
            Event::MachinesListed { sent, machines } => self.on_machine_list(sent, machines),
            Event::MaintenanceAnswered {
                machine,
                wave,
                result,
            } => self.on_maintenance(wave, &machine, result),
        }
        self.run_timers();
        if self.needs_placement && self.pass_work.next_pass_at <= self.now {
            self.needs_placement = false;
            self.place();
        } else if self.needs_placement {
            self.place_between_passes();
            self.timers
                .insert((self.pass_work.next_pass_at, Timer::Place));
        }
        self.flush_if_due();
        self.request_awaited_confirmation();
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Tick`] is next due, unless another event is applied before.
    pub fn next_tick(&self) -> Timestamp {
        let regular = self.now + MAX_TICK_INTERVAL;
        let timer = self.timers.first().map(|(at, _)| *at);
        timer.map_or(regular, |at| at.min(regular))
    }

    /// The state of a job; `None` if the job is not known to this owner.
    pub fn job_state(&self, key: JobKey) -> Option<JobState> {
        let entry = self.jobs.get(&key)?;
        if let Some(outcome) = entry.stored_outcome {
            return Some(JobState::Ended(outcome));
        }
        Some(if entry.progress.has_started {
            JobState::Running
        } else {
            JobState::Queued
        })
    }

    /// The number of accepted jobs of a queue for which no task has started.
    pub fn queued_jobs(&self, queue: &QueueName) -> usize {
        let is_queued = |entry: &&JobEntry| {
            entry.job.queue == *queue && !entry.progress.has_started && !entry.is_over()
        };
        self.jobs.values().filter(is_queued).count()
    }

    /// Counts for the metrics.
    pub fn summary(&self) -> StateSummary {
        StateSummary {
            open_jobs: self.jobs.values().filter(|entry| !entry.is_over()).count(),
            runs: self.executors.iter().map(|x| x.runs.len()).sum(),
            usable_executors: (0..self.executors.len())
                .filter(|x| self.is_usable(*x))
                .count(),
            evacuated_data_centres: self.evacuations.count(),
            evacuated_runs: self.evacuated_runs(),
            slow_executors: self.speeds.slow_executors(),
            ready_steps: self.ready.len(),
            placement_checks: self.pass_work.checks,
            lag: self.load.last_report.longest_lag,
            start_answer_time: self.load.last_report.mean_answer_time(),
        }
    }

    fn on_configuration(&mut self, configuration: Configuration) {
        if configuration.version > self.configuration.version {
            self.rules = rules_by_name(&configuration);
            self.most_urgent_priority = configuration.most_urgent_priority();
            self.configuration = configuration;
            self.needs_placement = true;
        }
    }

    fn set_timer(&mut self, after: Span, timer: Timer) {
        self.timers.insert((self.now + after, timer));
    }

    fn run_timers(&mut self) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > self.now {
                break;
            }
            self.timers.remove(&(at, timer));
            self.run_timer(timer);
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Hold(x) => self.hold_if_needed(x),
            Timer::LeaseExpiry(x) => self.check_lease_expiry(x),
            Timer::RepeatStops(x) => self.repeat_unanswered_stops(x),
            Timer::UnknownJobs(x) => self.stop_unknown_job_runs(x),
            Timer::OrphanExpiry => self.drop_expired_orphans(),
            Timer::Flush => self.saving.is_flush_due = true,
            Timer::Place => self.needs_placement = true,
            Timer::OccurrenceDue(key, next) => self.begin_due_occurrences(key, next),
            Timer::AdviceRetry(step) => self.allow_advice_request(step),
            Timer::Retention => self.remove_expired_records(),
            Timer::Maintenance => self.advance_maintenance(),
            Timer::Evacuation => self.on_evacuation_timer(),
        }
    }
}

fn rules_by_name(configuration: &Configuration) -> HashMap<QueueName, QueuePolicy> {
    let queues = configuration.queues.iter();
    queues
        .map(|queue| (queue.name.clone(), queue.rules.clone()))
        .collect()
}
