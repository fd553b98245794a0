//! A simulation of instances, a store and workers on one virtual clock, with injected faults.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::History;
use guavacart_config::{BatchRule, Cell, Configuration, Team};
use guavacart_scheduler::{
    Effect, Event, Start, State,
    batch::{
        BatchEffect, BatchEvent, RecordRead,
        call::JobReply,
        job::{JobSpec, Priority},
        journal::{Appended, Change, Record, Snapshot, SnapshotWritten, Stored},
        worker::{
            AttemptId, AttemptState, UsageReport, WorkerAnswer, WorkerCommand, WorkerReport,
            WorkerSync,
        },
    },
    config::{ConfigEffect, ConfigEvent},
    directory::{ListedInstance, Role},
    membership::{Member, MembershipEffect, MembershipEvent, Swap, View},
};
use guavacart_types::{
    Accelerators, Attempt, ByteSize, CallId, CellId, Epoch, Incarnation, InstanceId, JobId,
    Processors, Rack, Resources, Revision, Span, TaskId, Timestamp, WorkerId, deterministic_random,
};

/// A fault to inject. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The store is unavailable for `ms`.
    Outage { at: u64, ms: u64 },
    /// An instance processes no events for `ms`.
    Pause { at: u64, node: usize, ms: u64 },
    /// An instance crashes; its next incarnation starts after `ms`.
    Kill { at: u64, node: usize, ms: u64 },
    /// A worker processes no calls for `ms`.
    WorkerPause { at: u64, worker: usize, ms: u64 },
    /// A worker crashes and loses its attempts; it comes back empty after `ms`.
    WorkerKill { at: u64, worker: usize, ms: u64 },
}

impl Fault {
    /// When the fault begins, in milliseconds.
    pub(crate) fn at(&self) -> u64 {
        match self {
            Self::Outage { at, .. }
            | Self::Pause { at, .. }
            | Self::Kill { at, .. }
            | Self::WorkerPause { at, .. }
            | Self::WorkerKill { at, .. } => *at,
        }
    }
}

/// Size and configuration of the simulation, and the faults to inject.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) workers: usize,
    pub(crate) cells: usize,
    /// Share of answers from the store and workers that are lost after the call took effect, and of
    /// messages between instances that are lost or duplicated, in percent.
    pub(crate) lost_percent: u64,
    /// Workers that fail every task.
    pub(crate) failing: BTreeSet<usize>,
    /// Share of messages and calls that are delayed by up to [`MAX_DELAY_MS`], in percent.
    pub(crate) slow_percent: u64,
    pub(crate) faults: Vec<Fault>,
    pub(crate) quota: Option<Resources>,
    /// Cells whose workers have only [`SMALL_CORES`].
    pub(crate) small: BTreeSet<usize>,
    /// Number of cells at the end of the list that only the second configuration names.
    pub(crate) joining: usize,
    /// Quota in the second configuration, if it differs.
    pub(crate) later_quota: Option<Resources>,
    /// Memory that tasks take, in percent of the declared memory.
    pub(crate) memory_percent: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 1,
            workers: 4,
            cells: 1,
            lost_percent: 0,
            failing: BTreeSet::new(),
            slow_percent: 0,
            faults: Vec::new(),
            quota: None,
            small: BTreeSet::new(),
            joining: 0,
            later_quota: None,
            memory_percent: 100,
        }
    }
}

pub(crate) fn resources(cores: u64) -> Resources {
    Resources {
        processors: Processors::cores(cores),
        memory: ByteSize::gib(cores),
        accelerators: Accelerators(0),
    }
}

pub(crate) fn job(id: &str, tasks: u32, cores: u64, run_ms: u64) -> JobSpec {
    JobSpec {
        id: id.parse().unwrap(),
        team: "team".parse().unwrap(),
        class: "recode".parse().unwrap(),
        resources: resources(cores),
        tasks,
        run_time: Span::millis(run_ms),
        priority: Priority::Normal,
        deadline: None,
        spread: None,
        payload: "".into(),
    }
}

#[derive(Debug, Default)]
struct StoredCell {
    records: BTreeMap<u64, Record>,
    snapshot: Snapshot,
    revision: u64,
    /// Everything that the records of the cell ever contained, including deleted records.
    admitted: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    placed: BTreeSet<(AttemptId, WorkerId)>,
    stopped: BTreeSet<AttemptId>,
    ended: BTreeSet<AttemptId>,
}

impl StoredCell {
    /// Adds the changes of a record to the complete history.
    fn apply_record(&mut self, record: &Record) {
        let attempt = |task: &TaskId, attempt: &Attempt| AttemptId {
            task: task.clone(),
            attempt: *attempt,
        };
        for change in &record.changes {
            match change {
                Change::TakenOver(_)
                | Change::Sent { .. }
                | Change::Received(_)
                | Change::Returned { .. }
                | Change::Granted { .. }
                | Change::Allowed { .. }
                | Change::Acknowledged { .. } => {}
                Change::Admitted(spec) => {
                    self.admitted.insert(spec.id.clone());
                }
                Change::Cancelled(job) => {
                    self.cancelled.insert(job.clone());
                }
                Change::Placed {
                    task,
                    attempt: number,
                    worker,
                } => {
                    let place = (attempt(task, number), worker.clone());
                    self.placed.insert(place);
                }
                Change::Stopping {
                    task,
                    attempt: number,
                    ..
                } => {
                    self.stopped.insert(attempt(task, number));
                }
                Change::Ended {
                    task,
                    attempt: number,
                    ..
                } => {
                    let is_new = self.ended.insert(attempt(task, number));
                    assert!(is_new, "{change:?} is stored twice");
                }
            }
        }
    }
}

#[derive(Debug)]
struct SimulatedAttempt {
    state: AttemptState,
    resources: Resources,
    lease_until: u64,
    ends_at: u64,
}

impl SimulatedAttempt {
    fn is_running(&self, now: u64) -> bool {
        let until = self.ends_at.min(self.lease_until);
        matches!(self.state, AttemptState::Running { .. }) && now < until
    }

    fn used(&self, percent: u64) -> Resources {
        let memory = ByteSize(self.resources.memory.0 * percent / 100);
        Resources {
            memory,
            ..self.resources
        }
    }
}

#[derive(Debug, Default)]
struct Worker {
    epoch: Epoch,
    attempts: BTreeMap<AttemptId, SimulatedAttempt>,
    newest: BTreeMap<TaskId, AttemptId>,
    paused_until: u64,
    down_since: u64,
    down_until: u64,
}

#[derive(Debug)]
struct Node {
    id: InstanceId,
    incarnation: u64,
    state: State,
    paused_until: u64,
    down_since: Option<u64>,
}

/// A scheduled step of the simulation, for an instance given by its index and incarnation.
#[derive(Debug)]
enum Action {
    Tick(usize),
    Deliver(usize, u64, Box<Event>),
    Store(usize, u64, BatchEffect),
    View(usize, u64, MembershipEffect, Timestamp),
    Call(usize, u64, BatchEffect),
    Restart(usize),
    Fault(Fault),
}

/// The state of the simulation.
pub(crate) struct Simulation {
    setup: Setup,
    pub(crate) now: u64,
    /// Scheduled actions, in order of time and then of scheduling.
    queue: BTreeMap<(u64, u64), Action>,
    /// Number of actions scheduled until now.
    scheduled: u64,
    /// Number of random draws until now.
    draw_count: u64,
    nodes: Vec<Node>,
    workers: Vec<Worker>,
    cells: BTreeMap<CellId, StoredCell>,
    view: Option<View>,
    view_revision: u64,
    outage_until: u64,
    next_call: u64,
    pub(crate) replies: BTreeMap<CallId, JobReply>,
    /// Number of attempts that each worker has started.
    pub(crate) starts: Vec<u64>,
    pub(crate) store_writes: u64,
    pub(crate) snapshots: u64,
    pub(crate) history: History,
    /// Number of the configuration that instances read: 1, or 2 after a change.
    config_number: u64,
}

const WORKER_CORES: u64 = 8;
const SMALL_CORES: u64 = 2;
/// How long the instance list still shows an instance or worker that is down.
const LIST_LAG_MS: u64 = 3_000;
/// Average number of ticks between two readings of the instance list.
const LISTING_TICKS: u64 = 20;
/// Greatest delay of a late message or call.
const MAX_DELAY_MS: u64 = 15_000;
/// Time after which the caller gives up a call to a worker.
const CALL_TIMEOUT_MS: u64 = 1_000;

impl Simulation {
    pub(crate) fn new(setup: Setup) -> Self {
        let mut sim = Self {
            now: 1_000,
            queue: BTreeMap::new(),
            scheduled: 0,
            draw_count: 0,
            nodes: Vec::new(),
            workers: (0..setup.workers).map(|_| Worker::default()).collect(),
            cells: BTreeMap::new(),
            view: None,
            view_revision: 0,
            outage_until: 0,
            next_call: 0,
            replies: BTreeMap::new(),
            starts: vec![0; setup.workers],
            store_writes: 0,
            snapshots: 0,
            history: History::default(),
            config_number: 1,
            setup,
        };
        for index in 0..sim.setup.nodes {
            let id = format!("n{index}").parse().unwrap();
            sim.nodes.push(Node {
                state: start(&id, 1, 1_000),
                id,
                incarnation: 1,
                paused_until: 0,
                down_since: None,
            });
            sim.send_startup_events(index);
        }
        for fault in sim.setup.faults.clone() {
            sim.schedule(fault.at(), Action::Fault(fault));
        }
        sim
    }

    fn send_startup_events(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let configuration = Box::new(self.configuration());
        let read = Event::Config(ConfigEvent::Read(configuration));
        let listed = Event::ListRead(self.listing());
        for event in [read, listed] {
            let action = Action::Deliver(node, incarnation, Box::new(event));
            self.schedule(self.now, action);
        }
        self.schedule(self.now + 1, Action::Tick(node));
    }

    fn configuration(&self) -> Configuration {
        let joining = self.setup.joining;
        let first = self.setup.cells - joining;
        let cell_count = if self.config_number > 1 {
            self.setup.cells
        } else {
            first
        };
        let cells = self.setup.cells;
        let racks = |cell: usize| vec![rack(cell, cells), rack(cell + cells, cells)];
        let cells = (0..cell_count).map(|c| {
            let joined_later = c >= first;
            let racks = racks(c);
            (
                cell_id(c),
                Cell {
                    racks,
                    joined_later,
                },
            )
        });
        let rule = BatchRule {
            checkpoints: true,
            throttled_percent: 25,
        };
        let team = Team {
            quota: match self.config_number {
                1 => self.setup.quota,
                _ => self.setup.later_quota.or(self.setup.quota),
            },
            ..Team::default()
        };
        Configuration {
            number: guavacart_types::ConfigNumber(self.config_number),
            cells: cells.collect(),
            teams: BTreeMap::from([("team".parse().unwrap(), team)]),
            batch_classes: BTreeMap::from([("recode".parse().unwrap(), rule)]),
            ..Configuration::default()
        }
    }

    fn listing(&self) -> Vec<ListedInstance> {
        let listed = |role| ListedInstance {
            data_centre: "dc1".parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            leaving: false,
            role,
        };
        let is_listed = |down_since: Option<u64>| {
            down_since.is_none_or(|since| self.now.saturating_sub(since) < LIST_LAG_MS)
        };
        let entries = self.nodes.iter().filter(|n| is_listed(n.down_since));
        let entries = entries.map(|n| Role::Entry { id: n.id.clone() });
        let cells = self.setup.cells;
        let workers = (0..self.workers.len()).filter(|w| {
            let worker = &self.workers[*w];
            let down = worker.down_until > self.now;
            !down || is_listed(Some(worker.down_since))
        });
        let workers = workers.map(|w| Role::Worker {
            id: worker_id(w),
            rack: rack(w, cells),
            capacity: self.capacity(w),
        });
        entries.chain(workers).map(listed).collect()
    }

    fn capacity(&self, worker: usize) -> Resources {
        let cell = worker % self.setup.cells;
        resources(match self.setup.small.contains(&cell) {
            true => SMALL_CORES,
            false => WORKER_CORES,
        })
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.scheduled += 1;
        self.queue
            .insert((at.max(self.now), self.scheduled), action);
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draw_count += 1;
        deterministic_random(self.setup.seed, self.draw_count) % below
    }

    fn is_lost(&mut self) -> bool {
        self.draw(100) < self.setup.lost_percent
    }

    /// Number of times that a message between instances arrives: 0 if lost, 2 if duplicated.
    fn delivery_count(&mut self) -> usize {
        match (self.is_lost(), self.is_lost()) {
            (true, _) => 0,
            (false, true) => 2,
            (false, false) => 1,
        }
    }

    /// Delivers the second configuration to the instances one after the other, `gap_ms` apart.
    pub(crate) fn reconfigure(&mut self, gap_ms: u64) {
        self.config_number = 2;
        let configuration = Box::new(self.configuration());
        for node in 0..self.nodes.len() {
            let read = Event::Config(ConfigEvent::Read(configuration.clone()));
            let incarnation = self.nodes[node].incarnation;
            let action = Action::Deliver(node, incarnation, Box::new(read));
            self.schedule(self.now + node as u64 * gap_ms, action);
        }
    }

    /// Sends a submitter's call to an instance.
    pub(crate) fn call(&mut self, node: usize, event: impl FnOnce(CallId) -> BatchEvent) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let incarnation = self.nodes[node].incarnation;
        let event = Box::new(Event::Batch(event(call)));
        self.schedule(self.now, Action::Deliver(node, incarnation, event));
        call
    }

    /// Submits a job to random instances until it is accepted.
    pub(crate) fn submit(&mut self, spec: &JobSpec) {
        let reply = self.repeat_call(60_000, |call| BatchEvent::Submitted {
            call,
            spec: Box::new(spec.clone()),
        });
        assert!(matches!(reply, JobReply::Accepted(_)), "{reply:?}");
    }

    /// Repeats a call at random instances until it gets a definite answer.
    pub(crate) fn repeat_call(
        &mut self,
        limit: u64,
        event: impl Fn(CallId) -> BatchEvent,
    ) -> JobReply {
        let end = self.now + limit;
        loop {
            let node = self.draw(self.nodes.len() as u64) as usize;
            let call = self.call(node, &event);
            let wait = self.now + 8_000;
            self.run_while(wait, |sim| !sim.replies.contains_key(&call));
            match self.replies.remove(&call) {
                Some(JobReply::NotAccepted(_) | JobReply::Unknown) | None => {}
                Some(reply) => return reply,
            }
            assert!(self.now < end, "no answer within {limit} ms");
            let pause = self.now + 200;
            self.run_while(pause, |_| true);
        }
    }

    /// Runs while `condition` holds, at most until `end`; returns true if `condition` became false.
    pub(crate) fn run_while(&mut self, end: u64, condition: impl Fn(&Self) -> bool) -> bool {
        while condition(self) {
            let Some((key, action)) = self.queue.pop_first() else {
                return false;
            };
            if key.0 > end {
                self.queue.insert(key, action);
                self.now = end;
                return false;
            }
            self.now = key.0;
            self.perform(action);
            self.check();
        }
        true
    }

    /// Runs until no task of the jobs is waiting, placed or held by another cell.
    pub(crate) fn finish(&mut self, jobs: &[JobId], limit: u64) {
        let end = self.now + limit;
        for job in jobs {
            loop {
                let reply = self.repeat_call(limit, |call| BatchEvent::Queried {
                    call,
                    job: job.clone(),
                });
                let JobReply::Status(status) = reply else {
                    panic!("{reply:?}");
                };
                let counts = status.summary.counts;
                if counts.queued + counts.placed + counts.elsewhere == 0 {
                    break;
                }
                assert!(self.now < end, "not finished in time: {status:#?}");
                let pause = self.now + 500;
                self.run_while(pause, |_| true);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Tick(node) => {
                if self.nodes[node].down_since.is_none() {
                    self.schedule(self.now + 50, Action::Tick(node));
                    let incarnation = self.nodes[node].incarnation;
                    if self.draw(LISTING_TICKS) == 0 {
                        let listed = Event::ListRead(self.listing());
                        self.deliver(node, incarnation, listed);
                    }
                    self.deliver(node, incarnation, Event::Tick);
                }
            }
            Action::Deliver(node, incarnation, event) => self.deliver(node, incarnation, *event),
            Action::Store(node, incarnation, effect) => self.store(node, incarnation, effect),
            Action::View(node, incarnation, effect, requested_at) => {
                self.view(node, incarnation, effect, requested_at);
            }
            Action::Call(node, incarnation, effect) => self.worker_call(node, incarnation, effect),
            Action::Restart(node) => {
                let id = self.nodes[node].id.clone();
                self.nodes[node].incarnation += 1;
                self.nodes[node].down_since = None;
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].state = start(&id, incarnation, self.now);
                self.send_startup_events(node);
            }
            Action::Fault(fault) => self.fault(fault),
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Outage { ms, .. } => self.outage_until = self.now + ms,
            Fault::Pause { node, ms, .. } => {
                let node = node % self.nodes.len();
                self.nodes[node].paused_until = self.now + ms;
            }
            Fault::Kill { node, ms, .. } => {
                let node = node % self.nodes.len();
                if self.nodes[node].down_since.is_none() {
                    self.nodes[node].down_since = Some(self.now);
                    self.schedule(self.now + ms, Action::Restart(node));
                }
            }
            Fault::WorkerPause { worker, ms, .. } => {
                let worker = worker % self.workers.len();
                self.workers[worker].paused_until = self.now + ms;
            }
            Fault::WorkerKill { worker, ms, .. } => {
                let worker = worker % self.workers.len();
                let epoch = self.workers[worker].epoch;
                let newest = std::mem::take(&mut self.workers[worker].newest);
                self.workers[worker] = Worker {
                    epoch,
                    newest,
                    down_since: self.now,
                    down_until: self.now + ms,
                    ..Worker::default()
                };
            }
        }
    }

    fn deliver(&mut self, node: usize, incarnation: u64, event: Event) {
        let n = &mut self.nodes[node];
        if n.down_since.is_some() || n.incarnation != incarnation {
            return;
        }
        if n.paused_until > self.now {
            let at = n.paused_until;
            if event != Event::Tick {
                self.schedule(at, Action::Deliver(node, incarnation, Box::new(event)));
            }
            return;
        }
        let effects = n.state.apply(Timestamp(self.now), event);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let incarnation = self.nodes[node].incarnation;
        let delay = 1 + self.draw(6);
        match effect {
            Effect::Membership(MembershipEffect::SendHeartbeat { to, heartbeat }) => {
                if let Some(to) = self.nodes.iter().position(|n| n.id == to) {
                    let event = Event::Membership(MembershipEvent::Heartbeat(heartbeat));
                    let incarnation = self.nodes[to].incarnation;
                    let action = Action::Deliver(to, incarnation, Box::new(event));
                    self.schedule(self.now + delay, action);
                }
            }
            Effect::Membership(MembershipEffect::ViewAdopted(_)) => {}
            Effect::Membership(effect) => {
                let requested_at = Timestamp(self.now);
                let action = Action::View(node, incarnation, effect, requested_at);
                self.schedule(self.now + delay, action);
            }
            Effect::Config(ConfigEffect::ReadStore | ConfigEffect::ReadPeer(_)) => {
                let event = Event::Config(ConfigEvent::Unchanged);
                let action = Action::Deliver(node, incarnation, Box::new(event));
                self.schedule(self.now + delay, action);
            }
            Effect::Batch(effect) => self.carry_out_batch(node, effect, delay),
            _ => {}
        }
    }

    fn carry_out_batch(&mut self, node: usize, effect: BatchEffect, delay: u64) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            BatchEffect::Reply { call, reply } => {
                self.check_reply(&reply);
                self.replies.insert(call, reply);
            }
            BatchEffect::SendToPeer { to, message } => {
                let from = self.nodes[node].id.clone();
                if let Some(to) = self.nodes.iter().position(|n| n.id == to) {
                    let event = Event::Batch(BatchEvent::Peer { from, message });
                    let incarnation = self.nodes[to].incarnation;
                    for _ in 0..self.delivery_count() {
                        let late = self.extra_delay();
                        let action = Action::Deliver(to, incarnation, Box::new(event.clone()));
                        self.schedule(self.now + delay + late, action);
                    }
                }
            }
            BatchEffect::Sync {
                ref cell, ref call, ..
            } => {
                self.check_commands(cell, call);
                let late = self.extra_delay();
                if late >= CALL_TIMEOUT_MS {
                    self.time_out_call(node, incarnation, &effect);
                }
                self.schedule(
                    self.now + delay + late,
                    Action::Call(node, incarnation, effect),
                );
            }
            BatchEffect::Report { .. } => {}
            _ => {
                let delay = delay + self.extra_delay();
                self.schedule(self.now + delay, Action::Store(node, incarnation, effect));
            }
        }
    }

    /// Reports a call as unanswered to its caller, because the call is carried out after the
    /// timeout.
    fn time_out_call(&mut self, node: usize, incarnation: u64, effect: &BatchEffect) {
        let BatchEffect::Sync {
            cell, worker, sync, ..
        } = effect
        else {
            return;
        };
        let report = WorkerReport {
            worker: worker.clone(),
            sync: *sync,
            answer: WorkerAnswer::Unknown,
        };
        let cell = cell.clone();
        let event = Event::Batch(BatchEvent::WorkerAnswered { cell, report });
        let action = Action::Deliver(node, incarnation, Box::new(event));
        self.schedule(self.now + CALL_TIMEOUT_MS, action);
    }

    /// Runs until an instance appends a record, and removes that append from the simulation.
    pub(crate) fn intercept_append(&mut self) -> (usize, CellId, Record) {
        loop {
            let ((at, _), action) = self.queue.pop_first().unwrap();
            self.now = at;
            match action {
                Action::Store(node, _, BatchEffect::Append { cell, record, .. }) => {
                    return (node, cell, *record);
                }
                action => self.perform(action),
            }
        }
    }

    /// Carries out an intercepted append and sends the answer to the first instance.
    pub(crate) fn append_now(&mut self, cell: &CellId, record: Record) {
        let stored = self.cells.entry(cell.clone()).or_default();
        let last = stored.records.last_key_value().map_or(0, |(n, _)| *n);
        let sequence = record.sequence;
        let result = self.append(cell, last + 1, record, false, false);
        let event = BatchEvent::Appended {
            cell: cell.clone(),
            sequence,
            result,
        };
        let incarnation = self.nodes[0].incarnation;
        self.answer(0, incarnation, event);
    }

    /// Applies an event to an instance and returns the effects without carrying them out.
    pub(crate) fn inject(&mut self, node: usize, event: BatchEvent) -> Vec<BatchEffect> {
        let event = Event::Batch(event);
        let effects = self.nodes[node].state.apply(Timestamp(self.now), event);
        let batch = effects.into_iter().filter_map(|effect| match effect {
            Effect::Batch(effect) => Some(effect),
            _ => None,
        });
        batch.collect()
    }

    fn extra_delay(&mut self) -> u64 {
        match self.draw(100) < self.setup.slow_percent {
            true => self.draw(MAX_DELAY_MS),
            false => 0,
        }
    }

    /// Checks that commands to workers follow from stored records only.
    fn check_commands(&self, cell: &CellId, call: &WorkerSync) {
        let none = StoredCell::default();
        let stored = self.cells.get(cell).unwrap_or(&none);
        for command in &call.commands {
            match command {
                WorkerCommand::Start { id, .. } => {
                    let is_stored = stored.placed.iter().any(|(placed, _)| placed == id);
                    assert!(is_stored, "{id:?} is started before its record is stored");
                }
                WorkerCommand::Acknowledge(id) => {
                    assert!(
                        stored.ended.contains(id),
                        "{id:?} is acknowledged before its record is stored"
                    );
                }
                WorkerCommand::Stop { .. } | WorkerCommand::Throttle { .. } => {}
            }
        }
    }

    /// Checks that answers to submitters follow from stored records only.
    fn check_reply(&self, reply: &JobReply) {
        match reply {
            JobReply::Accepted(job) => {
                let is_stored = self.cells.values().any(|c| c.admitted.contains(&job.id));
                assert!(is_stored, "{job:?} is accepted before its record is stored");
            }
            JobReply::Cancelled(jobs) => {
                for job in jobs.iter().filter(|job| job.cancelled) {
                    let is_stored = self.cells.values().any(|c| c.cancelled.contains(&job.id));
                    assert!(
                        is_stored,
                        "{job:?} is cancelled before its record is stored"
                    );
                }
            }
            _ => {}
        }
    }

    fn answer(&mut self, node: usize, incarnation: u64, event: BatchEvent) {
        let delay = 1 + self.draw(6);
        let event = Box::new(Event::Batch(event));
        let action = Action::Deliver(node, incarnation, event);
        self.schedule(self.now + delay, action);
    }

    fn view(
        &mut self,
        node: usize,
        incarnation: u64,
        effect: MembershipEffect,
        requested_at: Timestamp,
    ) {
        let is_store_down = self.now < self.outage_until;
        let lost = self.is_lost();
        let event = match effect {
            MembershipEffect::ReadView if is_store_down || lost => MembershipEvent::ViewReadFailed,
            MembershipEffect::ReadView => MembershipEvent::ViewRead {
                requested_at,
                view: self.view.clone(),
                revision: Revision(self.view_revision),
            },
            MembershipEffect::SwapView { .. } if is_store_down => {
                MembershipEvent::ViewSwapEnded(Swap::Unknown)
            }
            MembershipEffect::SwapView { expect, view } => {
                let swap = if expect.0 == self.view_revision {
                    self.view_revision += 1;
                    self.view = Some(*view.clone());
                    Swap::Written(view, Revision(self.view_revision))
                } else {
                    Swap::Conflict
                };
                MembershipEvent::ViewSwapEnded(if lost { Swap::Unknown } else { swap })
            }
            _ => return,
        };
        let action = Action::Deliver(node, incarnation, Box::new(Event::Membership(event)));
        self.schedule(self.now + 2, action);
    }

    fn store(&mut self, node: usize, incarnation: u64, effect: BatchEffect) {
        let is_store_down = self.now < self.outage_until;
        let lost = self.is_lost();
        let event = match effect {
            BatchEffect::ReadCell { cell, read } => {
                let result = match is_store_down || lost {
                    true => Err(guavacart_scheduler::batch::CellReadError::Unavailable),
                    false => Ok(Box::new(self.stored(&cell))),
                };
                BatchEvent::CellRead { cell, read, result }
            }
            BatchEffect::Append {
                cell,
                number,
                record,
                ..
            } => {
                let sequence = record.sequence;
                let result = self.append(&cell, number, *record, is_store_down, lost);
                BatchEvent::Appended {
                    cell,
                    sequence,
                    result,
                }
            }
            BatchEffect::ReadRecord {
                cell,
                number,
                sequence,
            } => {
                let stored = self.cells.entry(cell.clone()).or_default();
                let result = match stored.records.get(&number) {
                    _ if is_store_down => RecordRead::Unavailable,
                    Some(record) => RecordRead::Found(Box::new(record.clone())),
                    None => RecordRead::Absent,
                };
                BatchEvent::RecordRead {
                    cell,
                    sequence,
                    result,
                }
            }
            BatchEffect::WriteSnapshot {
                cell,
                snapshot,
                expect,
                ..
            } => {
                let through = snapshot.through;
                let stored = self.cells.entry(cell.clone()).or_default();
                let written = !is_store_down && stored.revision == expect.0;
                if written {
                    self.store_writes += 1;
                    stored.snapshot = *snapshot;
                    stored.revision += 1;
                }
                let revision = Revision(stored.revision);
                let result = match (is_store_down, written && !lost) {
                    (true, _) => SnapshotWritten::Failed,
                    (false, true) => SnapshotWritten::Written(revision),
                    (false, false) => SnapshotWritten::AlreadyStored {
                        through: stored.snapshot.through,
                        revision,
                    },
                };
                self.snapshots += u64::from(written);
                BatchEvent::SnapshotWritten {
                    cell,
                    through,
                    result,
                }
            }
            BatchEffect::DeleteRecords { cell, through, .. } => {
                let stored = self.cells.entry(cell).or_default();
                stored.records.retain(|number, _| *number > through);
                return;
            }
            _ => return,
        };
        self.answer(node, incarnation, event);
    }

    fn stored(&mut self, cell: &CellId) -> Stored {
        let stored = self.cells.entry(cell.clone()).or_default();
        let through = stored.snapshot.through;
        let after = stored.records.range(through + 1..);
        Stored {
            snapshot: stored.snapshot.clone(),
            revision: Revision(stored.revision),
            records: after.map(|(n, r)| (*n, r.clone())).collect(),
        }
    }

    fn append(
        &mut self,
        cell: &CellId,
        number: u64,
        record: Record,
        is_store_down: bool,
        lost: bool,
    ) -> Appended {
        if is_store_down {
            return Appended::Unavailable;
        }
        let stored = self.cells.entry(cell.clone()).or_default();
        let is_free = !stored.records.contains_key(&number);
        if is_free {
            let quota = self.setup.quota.into_iter().chain(self.setup.later_quota);
            let quota = quota.max_by_key(|quota| quota.processors);
            self.store_writes += 1;
            if number > stored.snapshot.through {
                stored.apply_record(&record);
                self.history.apply_record(cell, &record, quota);
            }
            stored.records.insert(number, record);
        }
        match (lost, is_free) {
            (true, _) => Appended::Unknown,
            (false, true) => Appended::Written,
            (false, false) => Appended::KeyExists,
        }
    }

    fn worker_call(&mut self, node: usize, incarnation: u64, effect: BatchEffect) {
        let BatchEffect::Sync {
            cell,
            worker,
            sync,
            call,
            ..
        } = effect
        else {
            return;
        };
        let index: usize = worker.as_str()[1..].parse().unwrap();
        let answer = self.worker_answer(index, &call, node, incarnation, &cell, sync);
        let report = WorkerReport {
            worker,
            sync,
            answer,
        };
        self.answer(
            node,
            incarnation,
            BatchEvent::WorkerAnswered { cell, report },
        );
    }

    fn worker_answer(
        &mut self,
        index: usize,
        call: &WorkerSync,
        node: usize,
        incarnation: u64,
        cell: &CellId,
        sync: u64,
    ) -> WorkerAnswer {
        if self.workers[index].down_until > self.now {
            return WorkerAnswer::NotSent;
        }
        let paused_until = self.workers[index].paused_until;
        if paused_until > self.now {
            let effect = BatchEffect::Sync {
                cell: cell.clone(),
                worker: worker_id(index),
                address: "127.0.0.1:9".parse().unwrap(),
                sync,
                call: Box::new(call.clone()),
                valid_until: Timestamp(self.now),
            };
            self.schedule(paused_until, Action::Call(node, incarnation, effect));
            return WorkerAnswer::Unknown;
        }
        let lost = self.is_lost();
        let fails = self.setup.failing.contains(&index);
        self.end_due_attempts(index);
        let now = self.now;
        let worker = &mut self.workers[index];
        if call.epoch < worker.epoch {
            return WorkerAnswer::Superseded(worker.epoch);
        }
        worker.epoch = call.epoch;
        for id in &call.renew {
            if let Some(attempt) = worker.attempts.get_mut(id) {
                attempt.lease_until = now + call.lease.0;
            }
        }
        for command in &call.commands {
            let started = worker.execute(now, command, fails);
            self.starts[index] += u64::from(started);
        }
        let attempts = worker.attempts.iter();
        let attempts = attempts.map(|(id, a)| (id.clone(), a.state.clone()));
        let percent = self.setup.memory_percent;
        let running = worker.attempts.iter().filter(|(_, a)| a.is_running(now));
        let used = running.map(|(id, a)| (id.clone(), a.used(percent)));
        let report = WorkerAnswer::Report {
            attempts: attempts.collect(),
            usage: vec![UsageReport {
                age: Span::ZERO,
                tasks: used.collect(),
                services: Vec::new(),
            }],
        };
        if lost { WorkerAnswer::Unknown } else { report }
    }

    /// Ends the attempts on a worker that have finished or whose lease has expired.
    fn end_due_attempts(&mut self, index: usize) {
        let now = self.now;
        for attempt in self.workers[index].attempts.values_mut() {
            if !matches!(attempt.state, AttemptState::Running { .. }) {
                continue;
            }
            if attempt.ends_at <= now.min(attempt.lease_until) {
                attempt.state = AttemptState::Finished;
            } else if attempt.lease_until <= now {
                attempt.state = AttemptState::Lapsed;
            }
        }
    }

    /// Checks the guarantees that hold after every event.
    fn check(&self) {
        let mut running: BTreeMap<&TaskId, &AttemptId> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate() {
            let mut used = Resources::default();
            for (id, attempt) in &worker.attempts {
                let ends = attempt.ends_at.min(attempt.lease_until);
                let is_running = matches!(attempt.state, AttemptState::Running { .. });
                if !is_running || self.now >= ends {
                    continue;
                }
                used = used.plus(&attempt.resources);
                let other = running.insert(&id.task, id);
                assert!(
                    other.is_none(),
                    "{id:?} and {other:?} both run at {}",
                    self.now
                );
            }
            assert!(
                used.fits_in(&self.capacity(index)),
                "{used} used on one worker"
            );
        }
    }

    /// The records of a cell that the store holds now.
    pub(crate) fn records(&self, cell: usize) -> Vec<&Record> {
        let stored = self.cells.get(&cell_id(cell));
        stored.map_or(Vec::new(), |s| s.records.values().collect())
    }

    /// True if on each worker the tasks take no more memory than the worker has.
    pub(crate) fn memory_suffices(&self) -> bool {
        let percent = self.setup.memory_percent;
        let within = |(index, worker): (usize, &Worker)| {
            let running = worker.attempts.values().filter(|a| a.is_running(self.now));
            let used: u64 = running.map(|a| a.used(percent).memory.0).sum();
            used <= self.capacity(index).memory.0
        };
        self.workers.iter().enumerate().all(within)
    }

    /// Number of attempts that run now.
    pub(crate) fn running(&self) -> usize {
        let attempts = self.workers.iter().flat_map(|w| w.attempts.values());
        let is_running = |a: &&SimulatedAttempt| {
            matches!(a.state, AttemptState::Running { .. })
                && self.now < a.ends_at.min(a.lease_until)
        };
        attempts.filter(is_running).count()
    }

    /// Number of attempts of the job that run now.
    pub(crate) fn running_of_job(&self, job: &JobId) -> usize {
        let attempts = self.workers.iter().flat_map(|w| w.attempts.iter());
        let is_running = |(id, a): &(&AttemptId, &SimulatedAttempt)| {
            id.task.job == *job
                && matches!(a.state, AttemptState::Running { .. })
                && self.now < a.ends_at.min(a.lease_until)
        };
        attempts.filter(is_running).count()
    }
}

impl Worker {
    /// Carries out a command; returns true if the command started an attempt.
    fn execute(&mut self, now: u64, command: &WorkerCommand, fails: bool) -> bool {
        match command {
            WorkerCommand::Start {
                id,
                resources,
                run_time,
                lease,
                checkpoint,
                ..
            } => {
                let newest = self.newest.get(&id.task);
                if newest.is_some_and(|newest| newest.attempt >= id.attempt) {
                    self.attempts.entry(id.clone()).or_insert(SimulatedAttempt {
                        state: AttemptState::Refused,
                        resources: Resources::default(),
                        lease_until: now,
                        ends_at: now,
                    });
                    return false;
                }
                self.newest.insert(id.task.clone(), id.clone());
                let run = if checkpoint.is_some() {
                    run_time.0 / 2
                } else {
                    run_time.0
                };
                let state = match fails {
                    true => AttemptState::Failed,
                    false => AttemptState::Running { progress_ppm: 0 },
                };
                let attempt = SimulatedAttempt {
                    state,
                    resources: *resources,
                    lease_until: now + lease.0,
                    ends_at: now + run,
                };
                self.attempts.insert(id.clone(), attempt);
                true
            }
            WorkerCommand::Stop { id, checkpoint } => {
                let newest = self.newest.get(&id.task);
                if newest.is_none_or(|newest| newest.attempt <= id.attempt) {
                    self.newest.insert(id.task.clone(), id.clone());
                }
                let stopped = AttemptState::Stopped {
                    checkpoint: checkpoint.then(|| "saved".into()),
                };
                let attempt = self.attempts.entry(id.clone()).or_insert(SimulatedAttempt {
                    state: AttemptState::Stopped { checkpoint: None },
                    resources: Resources::default(),
                    lease_until: now,
                    ends_at: now,
                });
                if matches!(attempt.state, AttemptState::Running { .. }) {
                    attempt.state = stopped;
                }
                false
            }
            WorkerCommand::Acknowledge(id) => {
                let ended = self.attempts.get(id);
                if ended.is_some_and(|a| !matches!(a.state, AttemptState::Running { .. })) {
                    self.attempts.remove(id);
                }
                false
            }
            WorkerCommand::Throttle { .. } => false,
        }
    }
}

fn start(id: &InstanceId, incarnation: u64, now: u64) -> State {
    State::new(&Start {
        member: Member {
            id: id.clone(),
            incarnation: Incarnation(incarnation),
        },
        data_centre: "dc1".parse().unwrap(),
        now: Timestamp(now),
        linger: Span::ZERO,
    })
}

/// The rack of a worker; each cell has two racks.
fn rack(worker: usize, cells: usize) -> Rack {
    let second = worker / cells % 2;
    format!("r{}-{second}", worker % cells).parse().unwrap()
}

fn cell_id(index: usize) -> CellId {
    format!("c{index}").parse().unwrap()
}

pub(crate) fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().unwrap()
}
