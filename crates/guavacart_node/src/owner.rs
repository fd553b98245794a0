//! The owner: runs the reducer and executes its effects.

mod answer_times;
mod effects;
mod listed_executors;
mod orders;
mod saving;
mod snapshot;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use guavacart_jobs::{
    Event, ExecutorId, Explanation, Job, JobKey, JobState, MAX_UNCONFIRMED_ACCEPT_TIME,
    MaintenanceRecord, State,
};
use guavacart_types::{Epoch, Revision, Span, Timestamp};
use serde::de::DeserializeOwned;
use tokio::{
    sync::{Mutex, Notify},
    task, time,
};

use crate::{
    Content, Item, Key, LeaseId, Platform, Space, StoreError, clock,
    election::OWNER_LEASE,
    evacuations, records,
    shared::Shared,
    watching::{self, FollowMode, Read},
};
use answer_times::AnswerTimes;
use listed_executors::ListedExecutors;
use saving::SavedRevisions;
use snapshot::snapshot;

/// How often the inbox is polled for jobs and cancels that no node reported; nodes report the
/// others over their links at once.
const INBOX_POLL_INTERVAL: Span = Span::millis(700);

/// How long the inbox is watched after it held a job that no node had reported, since some node
/// cannot reach this owner.
const INBOX_WATCH_PERIOD: Span = Span::secs(4);

/// How often the executors' entries are polled; each entry is written about once a second.
const EXECUTORS_POLL_INTERVAL: Span = Span::millis(500);

/// Result of a renewal of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Renewal {
    /// The store renewed the lease.
    Confirmed,
    /// No usable answer: the lease may or may not have been renewed.
    Unanswered,
    /// The store does not know the lease any more.
    LeaseExpired,
}

/// One term of this node as the owner.
pub(crate) struct Owner<P> {
    shared: Rc<Shared<P>>,
    pub(crate) epoch: Epoch,
    /// Revision of the owner's key; every write of the term is conditional on it.
    revision: Revision,
    lease: LeaseId,
    state: RefCell<State>,
    /// False once the term has ended.
    is_active: Cell<bool>,
    /// When the last successful renewal was sent.
    confirmed_at: Cell<Timestamp>,
    /// When the inbox last held a job that no node had reported.
    unreported_job_at: Cell<Timestamp>,
    /// Jobs received while another node might already have been the owner.
    deferred: RefCell<Vec<(JobKey, Box<Job>)>>,
    /// Events that came while an earlier one was applied or its effects were executed.
    events: RefCell<VecDeque<Event>>,
    is_applying: Cell<bool>,
    /// Signalled when the time of the next tick may have changed, or the term has ended.
    reschedule_tick: Notify,
    /// Signalled when the lease is to be renewed without waiting for the next regular renewal.
    renew_now: Notify,
    ended: Notify,
    answer_times: AnswerTimes,
    saved_revisions: SavedRevisions,
    advice_lock: Mutex<()>,
}

impl<P: Platform> Owner<P> {
    /// Reads the stored state, and starts the term. `confirmed_at` is when this node asked for the
    /// lease; `predecessor_confirmed_until` is when the earlier owner's was known to be valid last.
    pub(crate) async fn start(
        shared: &Rc<Shared<P>>,
        lease: LeaseId,
        revision: Revision,
        confirmed_at: Timestamp,
        predecessor_confirmed_until: Timestamp,
    ) -> Result<Rc<Self>, StoreError> {
        let platform = &shared.platform;
        let sent = clock::now();
        let (operator, executors, inbox, progress, executors_with_runs, maintenance, learned) = tokio::try_join!(
            platform.list(Space::Operator),
            platform.list(Space::Executors),
            platform.list(Space::Inbox),
            platform.list(Space::Progress),
            platform.get(Key::ExecutorsWithRuns),
            platform.get(Key::Maintenance),
            platform.get(Key::Learned),
        )?;
        shared.counters.store_reads.add(7);
        evacuations::apply_list(shared, &operator.0, operator.1, sent);
        let epoch = Epoch(revision.0);
        let (snapshot, mut revisions) =
            snapshot(epoch, operator.0, &executors.0, inbox.0, progress.0);
        let mut snapshot = snapshot.ok_or(StoreError::Unreadable)?;
        let others = [&executors_with_runs, &maintenance, &learned];
        for item in others.into_iter().flatten() {
            if let Content::Record(key, _) = item.content {
                revisions.insert(key, item.revision);
            }
        }
        snapshot.executors_with_runs = executors_with_runs
            .and_then(decode_record)
            .unwrap_or_default();
        if let Some(item) = maintenance {
            let record = decode_record(item);
            snapshot.maintenance =
                record.unwrap_or_else(|| MaintenanceRecord::assume_all_ordered(&snapshot.waves));
        }
        // The node may know of later changes than its list showed.
        snapshot.evacuated = shared.evacuations.data_centres();
        snapshot.evacuations_as_of = shared.evacuations.listed_at();
        snapshot.store_available_since = shared.health.available_since();
        // The earlier lease had expired when this term's was granted, unless the key was removed.
        let expired_at = confirmed_at - OWNER_LEASE;
        snapshot.predecessor_confirmed_until = predecessor_confirmed_until.max(expired_at);
        snapshot.learned = learned.and_then(decode_record).unwrap_or_default();
        tracing::info!(
            event = "owner_begins",
            %epoch,
            jobs = snapshot.jobs.len(),
            executors = snapshot.executors.len(),
            fleet = snapshot.executors_with_runs.len(),
            version = snapshot.configuration.version,
        );
        let listed = snapshot.executors.iter().map(|(id, _)| id.clone());
        let listed = listed.collect();
        let at = clock::current_times();
        let (state, effects) = State::new(shared.settings.bounds, snapshot, at);
        let owner = Rc::new(Self {
            shared: Rc::clone(shared),
            epoch,
            revision,
            lease,
            state: RefCell::new(state),
            is_active: Cell::new(true),
            confirmed_at: Cell::new(confirmed_at),
            // The other nodes do not know this owner yet, so the inbox is watched at first.
            unreported_job_at: Cell::new(clock::now()),
            deferred: RefCell::new(Vec::new()),
            events: RefCell::default(),
            is_applying: Cell::new(false),
            reschedule_tick: Notify::new(),
            renew_now: Notify::new(),
            ended: Notify::new(),
            answer_times: AnswerTimes::default(),
            saved_revisions: SavedRevisions::new(revisions),
            advice_lock: Mutex::new(()),
        });
        owner.execute(effects, at.now);
        owner.apply(Event::OwnershipConfirmed { at: confirmed_at });
        task::spawn_local(Rc::clone(&owner).tick());
        task::spawn_local(Rc::clone(&owner).follow_executors(listed, executors.1));
        task::spawn_local(Rc::clone(&owner).follow_inbox(inbox.1));
        task::spawn_local(Rc::clone(&owner).keep_configuration_confirmed());
        task::spawn_local(Rc::clone(&owner).keep_evacuations_listed());
        Ok(owner)
    }

    pub(crate) fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Time since the lease was last known to be valid.
    pub(crate) fn unconfirmed_for(&self) -> Span {
        clock::now().since(self.confirmed_at.get())
    }

    /// Accepts a job, or defers it until the lease is confirmed again: a node that became owner
    /// meanwhile would start the job as well.
    pub(crate) fn accept_job(self: &Rc<Self>, key: JobKey, job: Box<Job>) {
        let unconfirmed_for = self.unconfirmed_for();
        if unconfirmed_for < MAX_UNCONFIRMED_ACCEPT_TIME {
            self.apply(Event::JobAccepted(key, job));
            return;
        }
        tracing::info!(event = "job_deferred", job = %key, unconfirmed_ms = unconfirmed_for.0);
        self.deferred.borrow_mut().push((key, job));
    }

    /// Renews the lease once.
    pub(crate) async fn renew(self: &Rc<Self>) -> Renewal {
        let sent_at = clock::now();
        let result = self.shared.platform.renew(self.lease).await;
        self.shared.counters.store_renewals.add(1);
        self.shared.health.record(&result);
        match result {
            Ok(()) => {
                self.confirmed_at.set(sent_at);
                self.apply(Event::OwnershipConfirmed { at: sent_at });
            }
            Err(StoreError::LeaseNotFound) => return Renewal::LeaseExpired,
            Err(err) => {
                tracing::debug!(event = "renewal_failed", cause = %err);
                return Renewal::Unanswered;
            }
        }
        for (key, job) in self.deferred.take() {
            self.accept_job(key, job);
        }
        Renewal::Confirmed
    }

    /// Waits until the reducer needs a confirmation of the lease.
    pub(crate) async fn renewal_requested(&self) {
        self.renew_now.notified().await;
    }

    /// Ends the term; runs continue under the next owner.
    pub(crate) fn step_down(&self, why: &'static str) {
        if self.is_active.replace(false) {
            tracing::info!(event = "owner_ends", epoch = %self.epoch, why);
            self.reschedule_tick.notify_waiters();
            self.ended.notify_one();
        }
    }

    /// Waits until the term has ended.
    pub(crate) async fn wait_for_end(&self) {
        self.ended.notified().await;
    }

    /// Gives the lease back, so that another node can become owner before it would expire.
    pub(crate) async fn release(&self) {
        let result = self.shared.platform.release(self.lease).await;
        if let Err(err) = result {
            tracing::warn!(event = "release_failed", cause = %err, "the lease expires by itself");
        }
    }

    /// Applies an event to the reducer and executes the resulting effects. An event that comes from
    /// an effect is applied after the other effects of the same event.
    pub(crate) fn apply(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_applying.replace(true) {
            return;
        }
        while let Some(event) = self.next_event() {
            let at = clock::current_times();
            let effects = self.state.borrow_mut().apply(at, event);
            self.execute(effects, at.now);
        }
        self.is_applying.set(false);
        self.reschedule_tick.notify_one();
    }

    /// The next event to apply; `None` without events, or once the term has ended.
    fn next_event(&self) -> Option<Event> {
        let mut events = self.events.borrow_mut();
        if !self.is_active() {
            events.clear();
        }
        events.pop_front()
    }

    pub(crate) fn job_state(&self, key: JobKey) -> Option<JobState> {
        self.state.borrow().job_state(key)
    }

    pub(crate) fn queued_jobs(&self, queue: &guavacart_jobs::QueueName) -> usize {
        self.state.borrow().queued_jobs(queue)
    }

    /// Where the tasks of a job would start.
    pub(crate) fn explain(&self, job: &Job) -> Explanation {
        self.state.borrow().explain(job)
    }

    pub(crate) fn summary(&self) -> guavacart_jobs::StateSummary {
        self.state.borrow().summary()
    }

    /// True if nothing may start on the executor, since its data centre is evacuated.
    fn is_evacuated(&self, executor: &ExecutorId) -> bool {
        self.state.borrow().is_evacuated(executor)
    }

    async fn tick(self: Rc<Self>) {
        while self.is_active() {
            let next = self.state.borrow().next_tick();
            tokio::select! {
                () = time::sleep_until(clock::instant(next)) => self.apply(Event::Tick),
                () = self.reschedule_tick.notified() => {}
            }
        }
    }

    async fn follow_executors(self: Rc<Self>, listed: Vec<ExecutorId>, from: Revision) {
        let mut known = ListedExecutors::new(listed);
        let apply_items = |items: Vec<Item>, read: Read| {
            let mut listed = Vec::new();
            for item in items {
                if let Content::Executor(id, registration) = item.content {
                    listed.push((id.clone(), registration.is_some()));
                    self.apply(Event::ExecutorEntryRead(id, registration));
                }
            }
            if read.is_whole {
                for removed in known.replace(listed.into_iter().map(|(id, _)| id)) {
                    self.apply(Event::ExecutorEntryRead(removed, None));
                }
            } else {
                for (id, exists) in listed {
                    known.change(id, exists);
                }
            }
            self.apply(Event::ExecutorEntriesConfirmed { as_of: read.sent });
        };
        let mode = || FollowMode::Poll(EXECUTORS_POLL_INTERVAL);
        let keep_following = || self.is_active();
        let from = Some(from);
        watching::follow(
            &self.shared,
            Space::Executors,
            from,
            mode,
            keep_following,
            apply_items,
        )
        .await;
    }

    /// Reads the configuration often enough for a change that no watch reports: the reducer places
    /// jobs by their queue's current rules.
    async fn keep_configuration_confirmed(self: Rc<Self>) {
        watching::keep_configuration_confirmed(&self.shared, || self.is_active()).await;
    }

    /// Lists the evacuations often enough for one that no watch reports.
    async fn keep_evacuations_listed(self: Rc<Self>) {
        evacuations::keep_listed(&self.shared, || self.is_active()).await;
    }

    async fn follow_inbox(self: Rc<Self>, from: Revision) {
        let apply = |items: Vec<Item>, _| items.into_iter().for_each(|item| self.apply_item(item));
        let mode = || {
            let had_unreported_job =
                clock::now().since(self.unreported_job_at.get()) < INBOX_WATCH_PERIOD;
            if had_unreported_job {
                FollowMode::Watch
            } else {
                FollowMode::Poll(INBOX_POLL_INTERVAL)
            }
        };
        let keep_following = || self.is_active();
        watching::follow(
            &self.shared,
            Space::Inbox,
            Some(from),
            mode,
            keep_following,
            apply,
        )
        .await;
    }

    /// Applies an item of the inbox: a job or a cancel.
    fn apply_item(self: &Rc<Self>, item: Item) {
        match item.content {
            Content::Record(Key::Job(key), Some(bytes)) => match records::decode(&bytes) {
                Some(job) => {
                    if self.job_state(key).is_none() {
                        self.unreported_job_at.set(clock::now());
                    }
                    self.accept_job(key, Box::new(job));
                }
                None => tracing::error!(event = "unreadable_job", job = %key),
            },
            Content::Record(Key::Cancel(key), Some(_)) => {
                self.saved_revisions.record_cancel(key, item.revision);
                self.apply(Event::JobCancelled(key));
            }
            _ => {}
        }
    }
}

/// Decodes one of the product's own records.
fn decode_record<T: DeserializeOwned>(item: Item) -> Option<T> {
    let Content::Record(key, Some(bytes)) = item.content else {
        return None;
    };
    let record = records::decode(&bytes);
    if record.is_none() {
        tracing::error!(event = "unreadable_record", ?key);
    }
    record
}
