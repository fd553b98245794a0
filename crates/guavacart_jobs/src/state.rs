//! The reducer: one owner's view of jobs and executors.

mod advising;
mod fleet;
mod headroom;
mod holding;
mod interference;
mod ledger;
mod orders;
mod pacing;
mod placing;
mod recalling;
mod saving;
mod scarcity;
mod tails;
mod upkeep;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use guavacart_types::{Epoch, Span, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{
    Configuration, Effect, Event, ExecutorId, Job, JobKey, JobOutcome, Learned, Progress,
    QueueName, QueueRules, Registration, StepKey, Target, Wave,
};
use fleet::Executor;
use headroom::Headrooms;
use holding::Orphan;
use interference::Interference;
use ledger::JobEntry;
pub use ledger::TAKES_JOBS_UNCONFIRMED;
use saving::Saving;
use upkeep::Upkeep;

/// Longest time between two looks at an executor that runs nothing; keeps its clock known.
const IDLE_LOOK: Span = Span::secs(8);
/// How often ended jobs are checked for being kept long enough.
const RETENTION_CHECK: Span = Span::secs(10);

/// Bounds of the deployment that the reducer keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest lease that an executor grants.
    pub max_lease: Span,
    /// How long an ended job's state is kept.
    pub retention: Span,
    /// How long a task may have a tail over its target.
    pub harm: Span,
    /// How long an upkeep takes.
    pub upkeep: Span,
}

/// What an owner reads before it acts.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Its epoch.
    pub epoch: Epoch,
    /// The newest configuration.
    pub configuration: Configuration,
    /// All jobs, with what is kept of their progress.
    pub jobs: Vec<(JobKey, Job, Progress)>,
    /// Jobs that their submitters took back.
    pub cancelled: Vec<JobKey>,
    /// Executors with an entry.
    pub executors: Vec<(ExecutorId, Registration)>,
    /// Executors that may run something of an earlier owner, by its record.
    pub fleet: Vec<Target>,
    /// Waves of upkeep.
    pub waves: Vec<Wave>,
    /// What an earlier owner has learned of images.
    pub learned: Learned,
}

/// The two clocks that the reducer is told.
#[derive(Clone, Copy, Debug)]
pub struct Accepted {
    /// Monotonic time.
    pub now: Timestamp,
    /// Time of day, in Unix milliseconds.
    pub unix_ms: u64,
}

/// What is told of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// Some have.
    Running,
    /// It has ended, and that stands in the store.
    Ended(JobOutcome),
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StateSummary {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Runs that hold room.
    pub runs: usize,
    /// Executors that may be given work.
    pub usable_executors: usize,
    /// Steps with tasks that wait for room.
    pub ready_steps: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Hold(usize),
    Lapse(usize),
    Stop(usize),
    Foreign(usize),
    Orphans,
    Flush,
    Place,
    Due(JobKey, u32),
    Advice(StepKey),
    Retention,
    Upkeep,
}

/// One owner's state.
#[derive(Debug)]
pub struct State {
    epoch: Epoch,
    bounds: Bounds,
    began: Timestamp,
    now: Timestamp,
    unix_ms: u64,
    configuration: Configuration,
    /// The configuration's queues by name.
    rules: HashMap<QueueName, QueueRules>,
    jobs: BTreeMap<JobKey, JobEntry>,
    cancelled: BTreeSet<JobKey>,
    ready: BTreeSet<StepKey>,
    fleet: Vec<Executor>,
    by_id: HashMap<ExecutorId, usize>,
    /// Ends of runs whose job is not known yet; they are not acknowledged meanwhile.
    orphans: Vec<Orphan>,
    /// Executors that may run tasks of an earlier owner.
    unresolved: BTreeSet<usize>,
    timers: BTreeSet<(Timestamp, Timer)>,
    saving: Saving,
    upkeep: Upkeep,
    interference: Interference,
    headrooms: Headrooms,
    must_place: bool,
    /// Where the next pass goes on among the steps that take turns.
    next_tried: usize,
    /// When executors are weighed again by how many fillers seek them.
    weigh_at: Timestamp,
    /// Room abounds, so that fillers do not wait long for headroom.
    has_slack: bool,
    /// When steps that wait for headroom are tried again.
    retry_at: Timestamp,
    effects: Vec<Effect>,
}

impl State {
    /// An owner that has read everything and asked nothing yet.
    pub fn new(bounds: Bounds, snapshot: Snapshot, at: Accepted) -> (Self, Vec<Effect>) {
        let mut state = Self {
            epoch: snapshot.epoch,
            bounds,
            began: at.now,
            now: at.now,
            unix_ms: at.unix_ms,
            rules: rules_by_name(&snapshot.configuration),
            configuration: snapshot.configuration,
            jobs: BTreeMap::new(),
            cancelled: snapshot.cancelled.into_iter().collect(),
            ready: BTreeSet::new(),
            fleet: Vec::new(),
            by_id: HashMap::new(),
            orphans: Vec::new(),
            unresolved: BTreeSet::new(),
            timers: BTreeSet::new(),
            saving: Saving::default(),
            upkeep: Upkeep::default(),
            interference: Interference::default(),
            headrooms: Headrooms::default(),
            must_place: false,
            next_tried: 0,
            weigh_at: Timestamp(0),
            has_slack: false,
            retry_at: Timestamp(0),
            effects: Vec::new(),
        };
        state.recall(&snapshot.learned);
        for target in snapshot.fleet {
            state.remember(target);
        }
        for (id, registration) in snapshot.executors {
            state.registered(&id, Some(registration));
        }
        for (key, job, progress) in snapshot.jobs {
            state.load(key, job, progress, true);
        }
        for wave in snapshot.waves {
            state.wave_asked(wave);
        }
        state.unresolved = (0..state.fleet.len()).collect();
        for x in 0..state.fleet.len() {
            state.hold_if_wanted(x);
        }
        state.set_timer(RETENTION_CHECK, Timer::Retention);
        let effects = std::mem::take(&mut state.effects);
        (state, effects)
    }

    /// Takes in one event.
    pub fn apply(&mut self, at: Accepted, event: Event) -> Vec<Effect> {
        self.now = at.now;
        self.unix_ms = at.unix_ms;
        match event {
            Event::Tick => {}
            Event::Configured(configuration) => self.configured(configuration),
            Event::Registered(id, registration) => self.registered(&id, registration),
            Event::Accepted(key, job) => self.load(key, *job, Progress::default(), false),
            Event::Cancelled(key) => self.cancel(key),
            Event::Held {
                executor,
                sent,
                report,
                is_waiting,
            } => self.held(&executor, sent, report, is_waiting),
            Event::Started {
                executor,
                task,
                run,
                result,
            } => self.started(&executor, task, run, result),
            Event::Stopped {
                executor,
                task,
                run,
                result,
            } => self.stopped(&executor, task, run, result),
            Event::Paced {
                executor,
                task,
                run,
                percent,
                result,
            } => self.paced(&executor, task, run, percent, result),
            Event::Saved { save } => self.saved(save),
            Event::Advised { step, good } => self.advised(step, good),
            Event::WaveAsked(wave) => self.wave_asked(wave),
            Event::MachinesListed(machines) => self.machines_listed(machines),
            Event::UpkeepAnswered { machine, result } => self.upkeep_answered(&machine, result),
        }
        self.run_timers();
        if std::mem::take(&mut self.must_place) {
            self.place();
        }
        self.flush_if_due();
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Tick`] is next due.
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// What is told of a job; `None` if it is not known here.
    pub fn job_state(&self, key: JobKey) -> Option<JobState> {
        let entry = self.jobs.get(&key)?;
        if let Some(outcome) = entry.shown {
            return Some(JobState::Ended(outcome));
        }
        Some(if entry.progress.has_begun {
            JobState::Running
        } else {
            JobState::Queued
        })
    }

    /// Accepted jobs of a queue for which no task has started.
    pub fn waiting(&self, queue: &QueueName) -> usize {
        let waits = |entry: &&JobEntry| {
            entry.job.queue == *queue && !entry.progress.has_begun && !entry.is_over()
        };
        self.jobs.values().filter(waits).count()
    }

    /// Counts for the metrics.
    pub fn summary(&self) -> StateSummary {
        StateSummary {
            open_jobs: self.jobs.values().filter(|entry| !entry.is_over()).count(),
            runs: self.fleet.iter().map(|x| x.runs.len()).sum(),
            usable_executors: (0..self.fleet.len()).filter(|x| self.is_usable(*x)).count(),
            ready_steps: self.ready.len(),
        }
    }

    fn configured(&mut self, configuration: Configuration) {
        if configuration.version > self.configuration.version {
            self.rules = rules_by_name(&configuration);
            self.configuration = configuration;
            self.must_place = true;
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
            Timer::Hold(x) => self.hold_if_wanted(x),
            Timer::Lapse(x) => self.check_lapse(x),
            Timer::Stop(x) => self.repeat_stops(x),
            Timer::Foreign(x) => self.stop_foreign(x),
            Timer::Orphans => self.drop_orphans(),
            Timer::Flush => self.saving.is_due = true,
            Timer::Place => self.must_place = true,
            Timer::Due(key, occurrence) => self.begin_occurrence(key, occurrence),
            Timer::Advice(step) => self.advice_may_be_asked(step),
            Timer::Retention => self.forget_old_jobs(),
            Timer::Upkeep => self.drive_upkeep(),
        }
    }
}

fn rules_by_name(configuration: &Configuration) -> HashMap<QueueName, QueueRules> {
    let queues = configuration.queues.iter();
    queues
        .map(|queue| (queue.name.clone(), queue.rules.clone()))
        .collect()
}
