//! The attempts of a stand-in worker.

use std::collections::{BTreeMap, HashMap};

use guavacart_platform::worker::{Start, TaskReport, TaskState, TaskUsage};
use guavacart_types::{Attempt, Resources, TaskId, WorkerId};
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    batch_ledger::{BatchLedger, RunEnd},
    host::Host,
};

/// All of a task's work.
const WHOLE_PPM: f64 = 1_000_000.0;

/// What the stand-ins read of a job's payload.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
struct Payload {
    /// Run time on an idle worker, in milliseconds.
    run_ms: u64,
    /// False if the task cannot save a checkpoint.
    checkpoint: bool,
    /// What it uses in truth; none means what was declared.
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
    /// Reads a payload that came as JSON, or as JSON within a text.
    fn of(value: &Value) -> Self {
        let read = match value {
            Value::String(text) => serde_json::from_str(text),
            value => Self::deserialize(value),
        };
        read.unwrap_or_default()
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
    lease_ends_us: u64,
    fails: bool,
}

#[derive(Debug)]
enum Stage {
    Running(Running),
    Ended(TaskState, u32),
}

/// All attempts that run or are not acknowledged.
#[derive(Debug)]
pub(super) struct Tasks {
    worker: WorkerId,
    capacity: Resources,
    ledger: BatchLedger,
    attempts: BTreeMap<(TaskId, Attempt), Stage>,
    /// Greatest attempt that was started or refused here, kept for good.
    seen: HashMap<TaskId, Attempt>,
}

impl Tasks {
    pub(super) fn new(worker: WorkerId, capacity: Resources, ledger: BatchLedger) -> Self {
        Self {
            worker,
            capacity,
            ledger,
            attempts: BTreeMap::new(),
            seen: HashMap::new(),
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

    /// Starts an attempt; a repeat of a command that was carried out changes nothing.
    pub(super) fn start(&mut self, start: &Start, now: u64, fails: bool) {
        let key = (start.task.clone(), start.attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let seen = self.seen.get(&start.task).copied().unwrap_or_default();
        let runs_already = self
            .iter_running()
            .any(|((task, _), _)| *task == start.task);
        if start.attempt <= seen || runs_already {
            self.attempts
                .insert(key, Stage::Ended(TaskState::Refused, 0));
            return;
        }
        if !self
            .committed()
            .plus(&start.resources)
            .fits_in(&self.capacity)
        {
            self.ledger.over_capacity();
            self.attempts
                .insert(key, Stage::Ended(TaskState::Refused, 0));
            return;
        }
        self.seen.insert(start.task.clone(), start.attempt);
        let running = self.running_from(start, now, fails);
        self.attempts.insert(key, Stage::Running(running));
    }

    fn running_from(&self, start: &Start, now: u64, fails: bool) -> Running {
        let payload = Payload::of(&start.payload);
        let saved = start
            .checkpoint
            .as_deref()
            .and_then(|c| self.ledger.load(c));
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
            lease_ends_us: now + start.lease_ms * 1_000,
        }
    }

    pub(super) fn renew(&mut self, task: &TaskId, attempt: Attempt, ends_us: u64) {
        if let Some(running) = self.running_mut(task, attempt) {
            running.lease_ends_us = running.lease_ends_us.max(ends_us);
        }
    }

    pub(super) fn throttle(&mut self, task: &TaskId, attempt: Attempt, percent: u32) {
        if let Some(running) = self.running_mut(task, attempt) {
            running.throttle_percent = percent.min(100);
        }
    }

    pub(super) fn stop(&mut self, task: &TaskId, attempt: Attempt, checkpoint: bool) {
        let saved = self.running_mut(task, attempt).map(|running| {
            let progress_ppm = running.progress_ppm as u32;
            let saves = checkpoint && running.payload.checkpoint;
            (progress_ppm, saves)
        });
        let Some((progress_ppm, saves)) = saved else {
            return self.fence(task, attempt);
        };
        let name =
            saves.then(|| format_smolstr!("{task}/{attempt}/{worker}", worker = self.worker));
        if let Some(name) = &name {
            self.ledger.save(name, progress_ppm);
        }
        self.end(
            task,
            attempt,
            TaskState::Stopped { checkpoint: name },
            RunEnd::Stopped,
            progress_ppm,
        );
    }

    /// A stop that comes before its start must keep the start from being carried out later.
    fn fence(&mut self, task: &TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        let seen = self.seen.entry(task.clone()).or_default();
        if attempt <= *seen && !self.attempts.contains_key(&key) {
            return;
        }
        *seen = attempt.max(*seen);
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

    /// Moves every attempt on to `now`: progress, lapsed leases, ends.
    pub(super) fn advance(&mut self, now: u64, host: &Host) {
        self.lapse(now);
        let mut pressure: BTreeMap<SmolStr, f64> = BTreeMap::new();
        for (_, running) in self.iter_running() {
            *pressure.entry(running.class.clone()).or_default() += running.processors_used();
        }
        host.set_batch(pressure);
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
                true => (TaskState::Failed, RunEnd::Failed, 0),
                false => (TaskState::Finished, RunEnd::Finished, WHOLE_PPM as u32),
            };
            self.end(&task, attempt, state, end, ppm);
        }
    }

    fn lapse(&mut self, now: u64) {
        let lapsed: Vec<(TaskId, Attempt, u32)> = self
            .iter_running()
            .filter(|(_, running)| running.lease_ends_us <= now)
            .map(|((task, attempt), r)| (task.clone(), *attempt, r.progress_ppm as u32))
            .collect();
        for (task, attempt, ppm) in lapsed {
            self.end(&task, attempt, TaskState::Lapsed, RunEnd::Lapsed, ppm);
        }
    }

    /// The worker dies: its tasks end with it.
    pub(super) fn die(&mut self) {
        let running: Vec<(TaskId, Attempt, u32)> = self
            .iter_running()
            .map(|((task, attempt), r)| (task.clone(), *attempt, r.progress_ppm as u32))
            .collect();
        for (task, attempt, ppm) in running {
            self.end(&task, attempt, TaskState::Lapsed, RunEnd::WorkerDied, ppm);
        }
    }

    fn end(&mut self, task: &TaskId, attempt: Attempt, state: TaskState, end: RunEnd, ppm: u32) {
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

    /// Moves on to `now`; true if the work is done, or failed.
    fn advance(&mut self, now: u64, host: &Host) -> bool {
        let elapsed_us = now.saturating_sub(self.advanced_us) as f64;
        self.advanced_us = now;
        let speed = f64::from(self.throttle_percent) / 100.0 / host.slowdown(&self.class);
        let whole_us = (self.payload.run_ms as f64 * 1_000.0).max(1.0);
        self.progress_ppm += elapsed_us * speed / whole_us * WHOLE_PPM;
        self.fails || self.progress_ppm >= WHOLE_PPM
    }
}
