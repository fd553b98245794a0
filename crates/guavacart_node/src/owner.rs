//! The owner: runs the reducer and carries out its effects.

mod saving;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use guavacart_jobs::{
    Effect, Event, ExecutorId, Job, JobKey, JobState, Snapshot, State, TAKES_JOBS_UNCONFIRMED,
    Ticket,
};
use guavacart_types::{Epoch, Revision, Span, Timestamp};
use serde::de::DeserializeOwned;
use tokio::{
    sync::{Mutex, Notify},
    task, time,
};

use crate::{
    Content, Item, Key, LeaseId, Platform, Space, StoreError, clock, log, records,
    shared::Shared,
    watching::{self, Pacing},
};
use saving::Saver;

/// How often the inbox is read for what no node has told; links tell the rest at once.
const INBOX_INTERVAL: Span = Span::millis(700);

/// Time for which the inbox is watched after a job that no node had told: some node does not reach
/// this one.
const WATCHES_INBOX: Span = Span::secs(4);

/// How often the executors' entries are read; each of them is written about once a second.
const EXECUTORS_INTERVAL: Span = Span::millis(500);

/// What became of a renewal of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Renewal {
    /// The lease goes on.
    Confirmed,
    /// It may or may not.
    Unanswered,
    /// The store knows it no more.
    LeaseEnded,
}

/// One term of owning.
pub(crate) struct Owner<P> {
    shared: Rc<Shared<P>>,
    pub(crate) epoch: Epoch,
    /// Revision of the owner's key; every write of the term is conditional on it.
    revision: Revision,
    lease: LeaseId,
    state: RefCell<State>,
    is_alive: Cell<bool>,
    /// When the last renewal that succeeded was sent.
    confirmed: Cell<Timestamp>,
    /// When a job was last found in the inbox that no node had told.
    untold_at: Cell<Timestamp>,
    /// Jobs that came while another node might have owned already.
    deferred: RefCell<Vec<(JobKey, Box<Job>)>>,
    ticked: Notify,
    ended: Notify,
    saver: Saver,
    advice_turn: Mutex<()>,
}

impl<P: Platform> Owner<P> {
    /// Reads everything, and begins to act.
    pub(crate) async fn begin(
        shared: &Rc<Shared<P>>,
        lease: LeaseId,
        revision: Revision,
        confirmed: Timestamp,
    ) -> Result<Rc<Self>, StoreError> {
        let platform = &shared.platform;
        let (operator, executors, inbox, progress, fleet, learned) = tokio::try_join!(
            platform.list(Space::Operator),
            platform.list(Space::Executors),
            platform.list(Space::Inbox),
            platform.list(Space::Progress),
            platform.get(Key::Fleet),
            platform.get(Key::Learned),
        )?;
        shared.counters.store_reads.add(6);
        let epoch = Epoch(revision.0);
        let (snapshot, revisions) = snapshot(epoch, operator.0, &executors.0, inbox.0, progress.0);
        let mut snapshot = snapshot.ok_or(StoreError::Unreadable)?;
        snapshot.fleet = fleet.and_then(record_of).unwrap_or_default();
        snapshot.learned = learned.and_then(record_of).unwrap_or_default();
        tracing::info!(
            event = "owner_begins",
            %epoch,
            jobs = snapshot.jobs.len(),
            executors = snapshot.executors.len(),
            fleet = snapshot.fleet.len(),
            version = snapshot.configuration.version,
        );
        let (state, effects) = State::new(shared.settings.bounds, snapshot, clock::both());
        let owner = Rc::new(Self {
            shared: Rc::clone(shared),
            epoch,
            revision,
            lease,
            state: RefCell::new(state),
            is_alive: Cell::new(true),
            confirmed: Cell::new(confirmed),
            // Nodes do not know this owner yet.
            untold_at: Cell::new(clock::now()),
            deferred: RefCell::new(Vec::new()),
            ticked: Notify::new(),
            ended: Notify::new(),
            saver: Saver::new(revisions),
            advice_turn: Mutex::new(()),
        });
        owner.carry_out(effects);
        task::spawn_local(Rc::clone(&owner).tick());
        task::spawn_local(Rc::clone(&owner).follow_executors(executors.1));
        task::spawn_local(Rc::clone(&owner).follow_inbox(inbox.1));
        Ok(owner)
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.is_alive.get()
    }

    /// Time since the lease was last known to hold.
    pub(crate) fn unconfirmed(&self) -> Span {
        clock::now().since(self.confirmed.get())
    }

    /// Takes in a job, or keeps it until the lease is confirmed again: a node that owns since would
    /// start it too.
    pub(crate) fn take_job(self: &Rc<Self>, key: JobKey, job: Box<Job>) {
        let unconfirmed = self.unconfirmed();
        if unconfirmed < TAKES_JOBS_UNCONFIRMED {
            self.apply(Event::Accepted(key, job));
            return;
        }
        tracing::info!(event = "job_deferred", job = %key, unconfirmed_ms = unconfirmed.0);
        self.deferred.borrow_mut().push((key, job));
    }

    /// Renews the lease once.
    pub(crate) async fn renew(self: &Rc<Self>) -> Renewal {
        let sent = clock::now();
        let result = self.shared.platform.renew(self.lease).await;
        self.shared.counters.store_renewals.add(1);
        self.shared.health.note(&result);
        match result {
            Ok(()) => self.confirmed.set(sent),
            Err(StoreError::LeaseGone) => return Renewal::LeaseEnded,
            Err(err) => {
                tracing::debug!(event = "renewal_failed", cause = %err);
                return Renewal::Unanswered;
            }
        }
        for (key, job) in self.deferred.take() {
            self.take_job(key, job);
        }
        Renewal::Confirmed
    }

    /// Ends the term; what runs goes on under the next owner.
    pub(crate) fn step_down(&self, why: &'static str) {
        if self.is_alive.replace(false) {
            tracing::info!(event = "owner_ends", epoch = %self.epoch, why);
            self.ticked.notify_waiters();
            self.ended.notify_one();
        }
    }

    /// Waits until the term has ended.
    pub(crate) async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Gives the lease back, so that another node owns without waiting for its end.
    pub(crate) async fn release(&self) {
        let result = self.shared.platform.release(self.lease).await;
        if let Err(err) = result {
            tracing::warn!(event = "release_failed", cause = %err, "the lease runs out by itself");
        }
    }

    /// Tells the reducer an event.
    pub(crate) fn apply(self: &Rc<Self>, event: Event) {
        if !self.is_alive() {
            return;
        }
        let effects = self.state.borrow_mut().apply(clock::both(), event);
        self.carry_out(effects);
        self.ticked.notify_one();
    }

    pub(crate) fn job_state(&self, key: JobKey) -> Option<JobState> {
        self.state.borrow().job_state(key)
    }

    pub(crate) fn waiting(&self, queue: &guavacart_jobs::QueueName) -> usize {
        self.state.borrow().waiting(queue)
    }

    pub(crate) fn summary(&self) -> guavacart_jobs::StateSummary {
        self.state.borrow().summary()
    }

    async fn tick(self: Rc<Self>) {
        while self.is_alive() {
            let next = self.state.borrow().next_tick();
            let Some(next) = next else {
                self.ticked.notified().await;
                continue;
            };
            tokio::select! {
                () = time::sleep_until(clock::instant(next)) => self.apply(Event::Tick),
                () = self.ticked.notified() => {}
            }
        }
    }

    async fn follow_executors(self: Rc<Self>, from: Revision) {
        let mut known: Vec<ExecutorId> = Vec::new();
        let take = |items: Vec<Item>, is_whole: bool| {
            let mut listed = Vec::new();
            for item in items {
                if let Content::Executor(id, registration) = item.content {
                    listed.push(id.clone());
                    self.apply(Event::Registered(id, registration));
                }
            }
            if is_whole {
                for gone in known.iter().filter(|id| !listed.contains(id)) {
                    self.apply(Event::Registered(gone.clone(), None));
                }
                known = listed;
            } else {
                known.extend(listed);
            }
        };
        let pacing = || Pacing::Polled(EXECUTORS_INTERVAL);
        let goes_on = || self.is_alive();
        let from = Some(from);
        watching::follow(&self.shared, Space::Executors, from, pacing, goes_on, take).await;
    }

    async fn follow_inbox(self: Rc<Self>, from: Revision) {
        let take = |items: Vec<Item>, _| items.into_iter().for_each(|item| self.take_inbox(item));
        let pacing = || {
            let is_untold = clock::now().since(self.untold_at.get()) < WATCHES_INBOX;
            if is_untold {
                Pacing::Watched
            } else {
                Pacing::Polled(INBOX_INTERVAL)
            }
        };
        let goes_on = || self.is_alive();
        watching::follow(
            &self.shared,
            Space::Inbox,
            Some(from),
            pacing,
            goes_on,
            take,
        )
        .await;
    }

    fn take_inbox(self: &Rc<Self>, item: Item) {
        match item.content {
            Content::Own(Key::Job(key), Some(bytes)) => match records::decode(&bytes) {
                Some(job) => {
                    if self.job_state(key).is_none() {
                        self.untold_at.set(clock::now());
                    }
                    self.take_job(key, Box::new(job));
                }
                None => tracing::error!(event = "unreadable_job", job = %key),
            },
            Content::Own(Key::Cancel(key), Some(_)) => self.apply(Event::Cancelled(key)),
            _ => {}
        }
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(effect);
        }
    }

    fn carry_out_one(self: &Rc<Self>, effect: Effect) {
        let owner = Rc::clone(self);
        let platform = self.shared.platform.clone();
        match effect {
            Effect::Log(decision) => log::decision(self.epoch, &decision),
            Effect::StepDown => self.step_down("an executor has seen a greater epoch"),
            Effect::Hold(target, order) => {
                self.shared.counters.holds.add(1);
                let is_waiting = order.wait > Span::ZERO;
                task::spawn_local(async move {
                    let executor = target.id.clone();
                    let sent = clock::now();
                    let report = platform.hold(target, order).await;
                    owner.apply(Event::Held {
                        executor,
                        sent,
                        report,
                        is_waiting,
                    });
                });
            }
            Effect::Start(target, order) => {
                self.shared.counters.starts.add(1);
                task::spawn_local(async move {
                    let (executor, task, run) = (target.id.clone(), order.task, order.run);
                    let result = platform.start(target, order).await;
                    owner.apply(Event::Started {
                        executor,
                        task,
                        run,
                        result,
                    });
                });
            }
            Effect::Stop {
                target,
                task,
                run,
                epoch,
            } => {
                self.shared.counters.stops.add(1);
                task::spawn_local(async move {
                    let executor = target.id.clone();
                    let result = platform.stop(target, task, run, epoch).await;
                    owner.apply(Event::Stopped {
                        executor,
                        task,
                        run,
                        result,
                    });
                });
            }
            Effect::Pace {
                target,
                task,
                run,
                percent,
                epoch,
            } => {
                self.shared.counters.paces.add(1);
                task::spawn_local(async move {
                    let executor = target.id.clone();
                    let result = platform.pace(target, task, run, percent, epoch).await;
                    owner.apply(Event::Paced {
                        executor,
                        task,
                        run,
                        percent,
                        result,
                    });
                });
            }
            Effect::Save(order) => {
                task::spawn_local(async move { owner.save(order).await });
            }
            Effect::Forget(jobs) => {
                task::spawn_local(async move { owner.forget(jobs).await });
            }
            Effect::Advise {
                step,
                executors,
                wait,
            } => {
                task::spawn_local(async move {
                    let good = owner.advise(step, executors, wait).await;
                    owner.apply(Event::Advised { step, good });
                });
            }
            Effect::ListMachines => {
                task::spawn_local(async move {
                    let machines = platform.machines().await;
                    if machines.is_none() {
                        tracing::warn!(event = "no_machine_list");
                    }
                    owner.apply(Event::MachinesListed(machines.unwrap_or_default()));
                });
            }
            Effect::BeginUpkeep(order) => {
                task::spawn_local(async move {
                    let machine = order.machine.clone();
                    let result = platform.upkeep(order).await;
                    owner.apply(Event::UpkeepAnswered { machine, result });
                });
            }
        }
    }

    async fn advise(
        &self,
        step: guavacart_jobs::StepKey,
        executors: Vec<ExecutorId>,
        wait: Span,
    ) -> Option<Vec<(ExecutorId, Ticket)>> {
        // The service answers one call of a machine at a time.
        let _turn = self.advice_turn.lock().await;
        if !self.is_alive() {
            return None;
        }
        self.shared.platform.advise(step, executors, wait).await
    }
}

/// One of the product's own records; what cannot be read counts as missing.
fn record_of<T: DeserializeOwned>(item: Item) -> Option<T> {
    match item.content {
        Content::Own(_, Some(bytes)) => records::decode(&bytes),
        _ => None,
    }
}

type Revisions = HashMap<JobKey, Revision>;

/// Sorts what was read; no snapshot if there is no configuration.
fn snapshot(
    epoch: Epoch,
    operator: Vec<Item>,
    executors: &[Item],
    inbox: Vec<Item>,
    progress: Vec<Item>,
) -> (Option<Snapshot>, Revisions) {
    let mut configuration = None;
    let mut waves = Vec::new();
    for item in operator {
        match item.content {
            Content::Configuration(read) => configuration = Some(read),
            Content::Wave(wave) => waves.push(wave),
            _ => {}
        }
    }
    let mut records_of = HashMap::new();
    let mut revisions = Revisions::new();
    for item in progress {
        if let Content::Own(Key::Progress(key), Some(bytes)) = item.content {
            revisions.insert(key, item.revision);
            match records::decode(&bytes) {
                Some(record) => {
                    records_of.insert(key, record);
                }
                None => tracing::error!(event = "unreadable_progress", job = %key),
            }
        }
    }
    let mut jobs = Vec::new();
    let mut cancelled = Vec::new();
    for item in inbox {
        match item.content {
            Content::Own(Key::Job(key), Some(bytes)) => match records::decode(&bytes) {
                Some(job) => jobs.push((key, job, records_of.remove(&key).unwrap_or_default())),
                None => tracing::error!(event = "unreadable_job", job = %key),
            },
            Content::Own(Key::Cancel(key), Some(_)) => cancelled.push(key),
            _ => {}
        }
    }
    let executors = executors.iter().filter_map(|item| match &item.content {
        Content::Executor(id, Some(registration)) => Some((id.clone(), registration.clone())),
        _ => None,
    });
    let snapshot = configuration.map(|configuration| Snapshot {
        epoch,
        configuration,
        jobs,
        cancelled,
        executors: executors.collect(),
        fleet: Vec::new(),
        waves,
        learned: guavacart_jobs::Learned::default(),
    });
    (snapshot, revisions)
}
