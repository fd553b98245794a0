//! A rig of executors that answer at once, for tests of single decisions.

#![allow(dead_code, reason = "each test file uses its part of the rig")]

mod site;

use std::collections::{BTreeMap, BTreeSet};

use guavacart_jobs::{
    Accepted, Effect, Event, ExecutorId, HoldReport, HowEnded, Job, JobKey, Learned, OrderFailure,
    Progress, Registration, RunEnded, RunListed, RunNumber, Snapshot, State, Step, Target, TaskKey,
};

use guavacart_types::{
    Accelerators, ByteSize, Epoch, Incarnation, Processors, Resources, Span, Timestamp,
};

use smol_str::SmolStr;

use site::{bounds, configuration, rules};

/// Time until an order is answered.
const ANSWER_MS: u64 = 2;
/// Processors of each executor, in thousandths.
const CAPACITY: u64 = 8_000;
/// Headroom of undisturbed serving tasks.
const UNDISTURBED: f32 = 2.5;
/// Longest step of the rig's time.
const MAX_STEP_MS: u64 = 100;

/// A start that an executor has carried out.
#[derive(Clone, Debug)]
pub(crate) struct Started {
    pub(crate) executor: ExecutorId,
    pub(crate) task: TaskKey,
    pub(crate) run: RunNumber,
}

/// What the store keeps for the next owner beside jobs.
#[derive(Clone, Default)]
struct Kept {
    fleet: Vec<Target>,
    learned: Learned,
}

/// One owner and its executors.
pub(crate) struct Rig {
    state: State,
    now: u64,
    /// How far the time of day is behind.
    clock_back: u64,
    executors: Vec<ExecutorId>,
    silent: BTreeSet<ExecutorId>,
    refusing: BTreeMap<ExecutorId, OrderFailure>,
    running: BTreeMap<(ExecutorId, TaskKey), RunNumber>,
    /// Shares that runs were told to work at, in percent.
    paces: BTreeMap<(ExecutorId, TaskKey), u8>,
    /// Headroom that a serving image loses to a whole executor of a filler image.
    slopes: BTreeMap<(SmolStr, SmolStr), f32>,
    /// Ends with their executors; none is forgotten.
    ended: Vec<(ExecutorId, RunEnded)>,
    jobs: Vec<(JobKey, Job)>,
    kept: Kept,
    starts: Vec<Started>,
    taken: usize,
    seen: Vec<Effect>,
    /// Orders that are answered at a time, with when they were sent.
    pending: BTreeMap<(u64, usize), (u64, Effect)>,
}

pub(crate) fn step(count: u16) -> Step {
    Step {
        count,
        size: Resources {
            processors: Processors(2_000),
            memory: ByteSize::gib(1),
            accelerators: Accelerators(0),
        },
        estimate: Span(1_000),
        ..Step::default()
    }
}

pub(crate) fn job(steps: Vec<Step>) -> Job {
    Job {
        queue: "q".into(),
        rules: rules(),
        accepted_unix_ms: 0,
        payload: "p".into(),
        steps,
        schedule: None,
    }
}

pub(crate) fn one_task_job() -> Job {
    job(vec![step(1)])
}

/// An executor's entry; its id is one of its labels.
fn registration(index: usize, id: &ExecutorId) -> Registration {
    Registration {
        pool: "pool".into(),
        address: ([127, 0, 0, 1], 1_000 + u16::try_from(index).expect("few")).into(),
        is_draining: false,
        drain_left: None,
        capacity: Resources {
            processors: Processors(CAPACITY),
            memory: ByteSize::gib(16),
            accelerators: Accelerators(0),
        },
        labels: vec!["a".into(), "r1".into(), id.0.clone()],
        incarnation: Some(Incarnation(7)),
    }
}

impl Rig {
    pub(crate) fn new(executors: &[&str]) -> Self {
        let executors = executors.iter().map(|id| ExecutorId::from(*id)).collect();
        let mut rig = Self::with(
            1,
            1,
            0,
            executors,
            Vec::new(),
            Kept::default(),
            BTreeMap::new(),
        );
        rig.run_for(300);
        rig
    }

    fn with(
        epoch: u64,
        now: u64,
        clock_back: u64,
        executors: Vec<ExecutorId>,
        jobs: Vec<(JobKey, Job)>,
        kept: Kept,
        running: BTreeMap<(ExecutorId, TaskKey), RunNumber>,
    ) -> Self {
        let listed = executors.iter().enumerate();
        let snapshot = Snapshot {
            epoch: Epoch(epoch),
            configuration: configuration(),
            jobs: jobs
                .iter()
                .map(|(key, job)| (*key, job.clone(), Progress::default()))
                .collect(),
            cancelled: Vec::new(),
            executors: listed
                .map(|(x, id)| (id.clone(), registration(x, id)))
                .collect(),
            fleet: kept.fleet.clone(),
            waves: Vec::new(),
            learned: kept.learned.clone(),
        };
        let at = Accepted {
            now: Timestamp(now),
            unix_ms: now - clock_back,
        };
        let (state, effects) = State::new(bounds(), snapshot, at);
        let mut rig = Self {
            state,
            now,
            clock_back,
            executors,
            silent: BTreeSet::new(),
            refusing: BTreeMap::new(),
            running,
            paces: BTreeMap::new(),
            slopes: BTreeMap::new(),
            ended: Vec::new(),
            jobs,
            kept,
            starts: Vec::new(),
            taken: 0,
            seen: Vec::new(),
            pending: BTreeMap::new(),
        };
        rig.carry_out(effects);
        rig
    }

    /// The owner after this one; what runs goes on.
    pub(crate) fn take_over(&self) -> Self {
        self.take_over_with_clock(0)
    }

    /// The same, on a node whose time of day is behind by that much.
    pub(crate) fn take_over_with_clock(&self, clock_back: u64) -> Self {
        Self::with(
            2,
            self.now + 1_000,
            clock_back,
            self.executors.clone(),
            self.jobs.clone(),
            self.kept.clone(),
            self.running.clone(),
        )
    }

    pub(crate) fn accept(&mut self, key: u64, job: Job) {
        self.jobs.push((JobKey(key), job.clone()));
        self.tell(Event::Accepted(JobKey(key), Box::new(job)));
    }

    pub(crate) fn go_silent(&mut self, executor: &ExecutorId) {
        self.silent.insert(executor.clone());
    }

    pub(crate) fn refuse_starts_on(&mut self, executor: &str, failure: OrderFailure) {
        self.refusing.insert(executor.into(), failure);
    }

    /// Lets a run fail.
    pub(crate) fn fail(&mut self, started: &Started) {
        let key = (started.executor.clone(), started.task);
        self.running.remove(&key);
        let end = RunEnded {
            number: u64::try_from(self.ended.len()).expect("few ends") + 1,
            task: started.task,
            run: started.run,
            how: HowEnded::Failed,
            checkpoint: "".into(),
        };
        self.ended.push((started.executor.clone(), end));
    }

    /// Lets fillers of an image disturb serving tasks of another from now on.
    pub(crate) fn disturb(&mut self, serving: &str, filler: &str, slope: f32) {
        self.slopes.insert((serving.into(), filler.into()), slope);
    }

    /// Response times of a serving task over its target, as its executor reports them.
    pub(crate) fn tail_over_target(&self, executor: &str, task: TaskKey) -> f32 {
        let id = ExecutorId::from(executor);
        let image = self.step_of(task).image.clone().unwrap_or_default();
        let lost = self.running.keys().filter(|(x, _)| *x == id);
        let lost = lost.map(|(x, other)| {
            let step = self.step_of(*other);
            let filler = step.image.clone().unwrap_or_default();
            let slope = self.slopes.get(&(image.clone(), filler)).copied();
            let pace = self.paces.get(&(x.clone(), *other)).copied().unwrap_or(100);
            let share = step.size.processors.0 as f32 / CAPACITY as f32;
            slope.unwrap_or_default() * share * f32::from(pace) / 100.0
        });
        1.0 / (UNDISTURBED - lost.sum::<f32>()).max(0.1)
    }

    /// The share that a run was last told to work at, in percent.
    pub(crate) fn pace(&self, executor: &str, task: TaskKey) -> u8 {
        let key = (ExecutorId::from(executor), task);
        self.paces.get(&key).copied().unwrap_or(100)
    }

    fn step_of(&self, task: TaskKey) -> &Step {
        let job = self.jobs.iter().find(|(key, _)| *key == task.step.job);
        let (_, job) = job.expect("a job that was accepted");
        &job.steps[usize::from(task.step.step)]
    }

    fn failure_of(&self, executor: &ExecutorId) -> Option<OrderFailure> {
        let is_silent = self.silent.contains(executor);
        let silent = is_silent.then_some(OrderFailure::NoAnswer);
        silent.or_else(|| self.refusing.get(executor).copied())
    }

    /// The next start that was carried out and not asked for yet.
    pub(crate) fn started(&mut self) -> Option<Started> {
        let started = self.starts.get(self.taken).cloned()?;
        self.taken += 1;
        Some(started)
    }

    pub(crate) fn seen(&self) -> &[Effect] {
        &self.seen
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let tick = self.state.next_tick().map_or(end, |at| at.0);
            let answer = self.pending.keys().next().map_or(end, |(at, _)| *at);
            let next = tick.min(answer).max(self.now + 1);
            self.now = next.min(self.now + MAX_STEP_MS).min(end);
            while let Some(entry) = self.pending.first_entry().filter(|e| e.key().0 <= self.now) {
                let (sent, effect) = entry.remove();
                if let Some(event) = self.answer(sent, effect) {
                    self.tell(event);
                }
            }
            self.tell(Event::Tick);
        }
    }

    pub(crate) fn tell(&mut self, event: Event) {
        let at = Accepted {
            now: Timestamp(self.now),
            unix_ms: self.now - self.clock_back,
        };
        let effects = self.state.apply(at, event);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.seen.push(effect.clone());
            let wait = match &effect {
                Effect::Hold(_, order) => order.wait.0,
                _ => 0,
            };
            let at = (self.now + wait + ANSWER_MS, self.seen.len());
            self.pending.insert(at, (self.now, effect));
        }
    }

    fn answer(&mut self, sent: u64, effect: Effect) -> Option<Event> {
        let sent = Timestamp(sent);
        Some(match effect {
            Effect::Save(order) => {
                if let Some(fleet) = order.fleet {
                    self.kept.fleet = fleet;
                }
                if let Some(learned) = order.learned {
                    self.kept.learned = learned;
                }
                Event::Saved { save: order.save }
            }
            Effect::Hold(target, order) => Event::Held {
                report: self.lists(&target.id),
                executor: target.id,
                sent,
                is_waiting: order.wait > Span::ZERO,
            },
            Effect::Start(target, order) => {
                let failure = self.failure_of(&target.id);
                if failure.is_none() {
                    let key = (target.id.clone(), order.task);
                    self.running.insert(key, order.run);
                    self.starts.push(Started {
                        executor: target.id.clone(),
                        task: order.task,
                        run: order.run,
                    });
                }
                Event::Started {
                    executor: target.id,
                    task: order.task,
                    run: order.run,
                    result: failure.map_or(Ok(self.now), Err),
                }
            }
            Effect::Stop {
                target, task, run, ..
            } => {
                let is_silent = self.silent.contains(&target.id);
                if !is_silent {
                    self.running.remove(&(target.id.clone(), task));
                }
                Event::Stopped {
                    executor: target.id,
                    task,
                    run,
                    result: if is_silent {
                        Err(OrderFailure::NoAnswer)
                    } else {
                        Ok(())
                    },
                }
            }
            Effect::Pace {
                target,
                task,
                run,
                percent,
                ..
            } => {
                self.paces.insert((target.id.clone(), task), percent);
                Event::Paced {
                    executor: target.id,
                    task,
                    run,
                    percent,
                    result: Ok(()),
                }
            }
            _ => return None,
        })
    }

    fn lists(&self, id: &ExecutorId) -> Result<HoldReport, OrderFailure> {
        if self.silent.contains(id) {
            return Err(OrderFailure::NoAnswer);
        }
        let here = self.running.iter().filter(|((x, _), _)| x == id);
        let running = here.map(|((_, task), run)| {
            let step = self.step_of(*task);
            let tail = step.tail_target.map(|target| {
                let tail = self.tail_over_target(&id.0, *task) * target.0 as f32;
                tail as u64
            });
            RunListed {
                task: *task,
                run: *run,
                checkpoint: "".into(),
                percent: if tail.is_some() { 100 } else { 50 },
                usage: Some(tail.unwrap_or(2_000)),
            }
        });
        let ended = self.ended.iter().filter(|(x, _)| x == id);
        let ended = ended.map(|(_, end)| end);
        Ok(HoldReport {
            incarnation: Incarnation(7),
            clock_ms: self.now,
            running: running.collect(),
            ended: ended.cloned().collect(),
            is_partial: false,
        })
    }
}
