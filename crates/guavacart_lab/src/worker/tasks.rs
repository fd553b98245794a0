//! Attempts on a stand-in worker: their leases, simulated progress and ends.

use std::collections::{BTreeMap, HashMap};

use guavacart_platform::worker::{Start, TaskReport, TaskState, TaskUsage};
use guavacart_types::{Attempt, Resources, TaskId, WorkerId};
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    batch_ledger::{BatchLedger, TaskAttemptEnd},
    host::Host,
};

/// Progress of a finished task, in parts per million.
const FULL_PROGRESS_PPM: f64 = 1_000_000.0;

/// Fields of a job's payload that stand-in workers read.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
struct Payload {
    /// Run time on an idle worker, in milliseconds.
    run_ms: u64,
    /// False if the task cannot save a checkpoint.
    checkpoint: bool,
    /// Resources that the task really uses; `None` for the declared ones.
    uses: Option<Resources>,
    /// True if every attempt fails.
    fails: bool,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            run_ms: 100,
            checkpoint: true,
            uses: None,
            fails: false,
        }
    }
}

impl Payload {
    /// Parses a payload that is JSON or a string with JSON; uses the defaults if it is invalid.
    fn parse(value: &Value) -> Self {
        let parsed = match value {
            Value::String(text) => serde_json::from_str(text),
            value => Self::deserialize(value),
        };
        parsed.unwrap_or_default()
    }
}

#[derive(Debug)]
struct Running {
    class: SmolStr,
    resources: Resources,
    payload: Payload,
    progress_ppm: f64,
    advanced_us: u64,
    throttle_percent: u32,
    lease_expires_us: u64,
    fails: bool,
}

#[derive(Debug)]
enum Stage {
    Running(Running),
    Ended(TaskState, u32),
}

/// All attempts that are running, or have ended and are not acknowledged.
#[derive(Debug)]
pub(super) struct Tasks {
    worker: WorkerId,
    capacity: Resources,
    ledger: BatchLedger,
    attempts: BTreeMap<(TaskId, Attempt), Stage>,
    /// Highest attempt of each task that was started, or stopped before its start; never removed.
    highest_attempts: HashMap<TaskId, Attempt>,
}

impl Tasks {
    pub(super) fn new(worker: WorkerId, capacity: Resources, ledger: BatchLedger) -> Self {
        Self {
            worker,
            capacity,
            ledger,
            attempts: BTreeMap::new(),
            highest_attempts: HashMap::new(),
        }
    }

    pub(super) fn running(&self) -> usize {
        self.iter_running().count()
    }

    pub(super) fn committed(&self) -> Resources {
        self.iter_running()
            .fold(Resources::default(), |sum, (_, r)| sum.plus(&r.resources))
    }

    fn iter_running(&self) -> impl Iterator<Item = (&(TaskId, Attempt), &Running)> {
        self.attempts.iter().filter_map(|(key, stage)| match stage {
            Stage::Running(running) => Some((key, running)),
            Stage::Ended(..) => None,
        })
    }

    /// Starts an attempt; repeating a command that was already executed has no effect.
    pub(super) fn start(&mut self, start: &Start, now: u64, fails: bool) {
        let key = (start.task.clone(), start.attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let highest = self
            .highest_attempts
            .get(&start.task)
            .copied()
            .unwrap_or_default();
        let is_task_running = self
            .iter_running()
            .any(|((task, _), _)| *task == start.task);
        if start.attempt <= highest || is_task_running {
            self.attempts
                .insert(key, Stage::Ended(TaskState::Refused, 0));
            return;
        }
        if !self
            .committed()
            .plus(&start.resources)
            .fits_in(&self.capacity)
        {
            self.ledger.count_over_capacity();
            self.attempts
                .insert(key, Stage::Ended(TaskState::Refused, 0));
            return;
        }
        self.highest_attempts
            .insert(start.task.clone(), start.attempt);
        let running = self.new_running(start, now, fails);
        self.attempts.insert(key, Stage::Running(running));
    }

    fn new_running(&self, start: &Start, now: u64, fails: bool) -> Running {
        let payload = Payload::parse(&start.payload);
        let saved = start
            .checkpoint
            .as_deref()
            .and_then(|c| self.ledger.load_checkpoint(c));
        let from_ppm = saved.unwrap_or(0);
        self.ledger.start(
            &start.task,
            start.attempt,
            &self.worker,
            from_ppm,
            start.checkpoint.clone(),
        );
        Running {
            class: start.class.clone().into(),
            resources: start.resources,
            fails: fails || payload.fails,
            payload,
            progress_ppm: f64::from(from_ppm),
            advanced_us: now,
            throttle_percent: 100,
            lease_expires_us: now + start.lease_ms * 1_000,
        }
    }

    pub(super) fn renew(&mut self, task: &TaskId, attempt: Attempt, expires_us: u64) {
        if let Some(running) = self.running_mut(task, attempt) {
            running.lease_expires_us = running.lease_expires_us.max(expires_us);
        }
    }

    pub(super) fn throttle(&mut self, task: &TaskId, attempt: Attempt, percent: u32) {
        if let Some(running) = self.running_mut(task, attempt) {
            running.throttle_percent = percent.min(100);
        }
    }

    pub(super) fn stop(&mut self, task: &TaskId, attempt: Attempt, checkpoint: bool) {
        let stopped = self.running_mut(task, attempt).map(|running| {
            let progress_ppm = running.progress_ppm as u32;
            let saves_checkpoint = checkpoint && running.payload.checkpoint;
            (progress_ppm, saves_checkpoint)
        });
        let Some((progress_ppm, saves_checkpoint)) = stopped else {
            return self.reject_later_start(task, attempt);
        };
        let name = saves_checkpoint
            .then(|| format_smolstr!("{task}/{attempt}/{worker}", worker = self.worker));
        if let Some(name) = &name {
            self.ledger.save_checkpoint(name, progress_ppm);
        }
        self.end(
            task,
            attempt,
            TaskState::Stopped { checkpoint: name },
            TaskAttemptEnd::Stopped,
            progress_ppm,
        );
    }

    /// Records a stop that arrives before the start of its attempt, so that a later start is
    /// rejected.
    fn reject_later_start(&mut self, task: &TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        let highest = self.highest_attempts.entry(task.clone()).or_default();
        if attempt <= *highest && !self.attempts.contains_key(&key) {
            return;
        }
        *highest = attempt.max(*highest);
        let stopped = TaskState::Stopped { checkpoint: None };
        self.attempts.entry(key).or_insert(Stage::Ended(stopped, 0));
    }

    pub(super) fn acknowledge(&mut self, task: &TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if let Some(Stage::Ended(..)) = self.attempts.get(&key) {
            self.attempts.remove(&key);
        }
    }

    pub(super) fn reports(&self) -> Vec<TaskReport> {
        let report = |((task, attempt), stage): (&(TaskId, Attempt), &Stage)| {
            let (state, progress_ppm) = match stage {
                Stage::Running(running) => (TaskState::Running, running.progress_ppm as u32),
                Stage::Ended(state, progress_ppm) => (state.clone(), *progress_ppm),
            };
            TaskReport {
                task: task.clone(),
                attempt: *attempt,
                state,
                progress_ppm,
            }
        };
        self.attempts.iter().map(report).collect()
    }

    pub(super) fn usage(&self) -> Vec<TaskUsage> {
        self.iter_running()
            .map(|((task, attempt), running)| {
                let used = running.payload.uses.unwrap_or(running.resources);
                TaskUsage {
                    task: task.clone(),
                    attempt: *attempt,
                    processors: used.processors,
                    memory: used.memory,
                }
            })
            .collect()
    }

    /// Advances every attempt to `now`: ends those with expired leases, updates the progress of the
    /// others and ends those that are done.
    pub(super) fn advance(&mut self, now: u64, host: &Host) {
        self.end_expired(now);
        let mut batch_load: BTreeMap<SmolStr, f64> = BTreeMap::new();
        for (_, running) in self.iter_running() {
            *batch_load.entry(running.class.clone()).or_default() += running.processors_used();
        }
        host.set_batch_load(batch_load);
        let mut ended = Vec::new();
        for ((task, attempt), stage) in &mut self.attempts {
            if let Stage::Running(running) = stage
                && running.advance(now, host)
            {
                ended.push((task.clone(), *attempt, running.fails));
            }
        }
        for (task, attempt, fails) in ended {
            let (state, end, ppm) = match fails {
                true => (TaskState::Failed, TaskAttemptEnd::Failed, 0),
                false => (
                    TaskState::Finished,
                    TaskAttemptEnd::Finished,
                    FULL_PROGRESS_PPM as u32,
                ),
            };
            self.end(&task, attempt, state, end, ppm);
        }
    }

    fn end_expired(&mut self, now: u64) {
        let expired: Vec<(TaskId, Attempt, u32)> = self
            .iter_running()
            .filter(|(_, running)| running.lease_expires_us <= now)
            .map(|((task, attempt), r)| (task.clone(), *attempt, r.progress_ppm as u32))
            .collect();
        for (task, attempt, ppm) in expired {
            self.end(
                &task,
                attempt,
                TaskState::Lapsed,
                TaskAttemptEnd::Lapsed,
                ppm,
            );
        }
    }

    /// Ends all running attempts because the worker was killed.
    pub(super) fn end_all(&mut self) {
        let running: Vec<(TaskId, Attempt, u32)> = self
            .iter_running()
            .map(|((task, attempt), r)| (task.clone(), *attempt, r.progress_ppm as u32))
            .collect();
        for (task, attempt, ppm) in running {
            self.end(
                &task,
                attempt,
                TaskState::Lapsed,
                TaskAttemptEnd::WorkerDied,
                ppm,
            );
        }
    }

    fn end(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        state: TaskState,
        end: TaskAttemptEnd,
        ppm: u32,
    ) {
        self.ledger.end(task, attempt, &self.worker, end, ppm);
        self.attempts
            .insert((task.clone(), attempt), Stage::Ended(state, ppm));
    }

    fn running_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut Running> {
        match self.attempts.get_mut(&(task.clone(), attempt)) {
            Some(Stage::Running(running)) => Some(running),
            _ => None,
        }
    }
}

impl Running {
    fn processors_used(&self) -> f64 {
        let used = self.payload.uses.unwrap_or(self.resources).processors.0;
        used as f64 * f64::from(self.throttle_percent) / 100.0
    }

    /// Advances the progress to `now`; returns true if the attempt is done or fails.
    fn advance(&mut self, now: u64, host: &Host) -> bool {
        let elapsed_us = now.saturating_sub(self.advanced_us) as f64;
        self.advanced_us = now;
        let speed = f64::from(self.throttle_percent) / 100.0 / host.slowdown(&self.class);
        let run_us = (self.payload.run_ms as f64 * 1_000.0).max(1.0);
        self.progress_ppm += elapsed_us * speed / run_us * FULL_PROGRESS_PPM;
        self.fails || self.progress_ppm >= FULL_PROGRESS_PPM
    }
}
