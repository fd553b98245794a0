//! Follows ranges of the store: the operator's configuration and requests for maintenance, and
//! others for the owner.

use std::rc::Rc;

use guavacart_jobs::{Configuration, Event, MaintenanceWave};
use guavacart_types::{Revision, Span, Timestamp};
use rand::Rng;
use tokio::{task, time};

use crate::{Content, Item, Key, Platform, Space, StoreError, clock, evacuations, shared::Shared};

/// Longest wait of one watch; bounds the time until a connection that has gone silent is noticed.
const WATCH_WAIT: Span = Span::millis(1_500);
/// Shortest pause after a failed call, in milliseconds.
const MIN_PAUSE_MS: u64 = 60;
/// Longest pause after a failed call, in milliseconds; jitter keeps nodes from calling again at the
/// same moment.
const MAX_PAUSE_MS: u64 = 240;

/// Shortest pause between two reads that confirm the configuration.
const MIN_CONFIRMATION_PAUSE: Span = Span::millis(50);

/// How changes of a space are followed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FollowMode {
    /// By a call that waits for the next change.
    Watch,
    /// By one call in each interval, for spaces that change many times a second.
    Poll(Span),
}

/// A successful call that read a space or its changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read {
    /// True if the items are all items of the space.
    pub(crate) is_whole: bool,
    /// When the call was sent.
    pub(crate) sent: Timestamp,
    /// Revision up to which all changes are known.
    pub(crate) at: Revision,
}

impl FollowMode {
    fn wait(self) -> Span {
        match self {
            Self::Watch => WATCH_WAIT,
            Self::Poll(_) => Span::ZERO,
        }
    }
}

/// Waits for a random pause after a failed call of the store.
pub(crate) async fn pause_after_failure() {
    let ms = rand::rng().random_range(MIN_PAUSE_MS..=MAX_PAUSE_MS);
    time::sleep(Span(ms).into()).await;
}

/// Follows a space until `keep_following` returns false: reads the whole space if `from` is `None`
/// and after each loss of history, then its changes, in the mode that `mode` returns before each
/// call. `apply_items` gets the items of each successful call, which may be none.
pub(crate) async fn follow<P: Platform>(
    shared: &Shared<P>,
    space: Space,
    from: Option<Revision>,
    mut mode: impl FnMut() -> FollowMode,
    mut keep_following: impl FnMut() -> bool,
    mut apply_items: impl FnMut(Vec<Item>, Read),
) {
    let mut after = from;
    while keep_following() {
        let mode = mode();
        let sent = clock::now();
        let result = match after {
            None => shared.platform.list(space).await,
            Some(after) => shared.platform.watch(space, after, mode.wait()).await,
        };
        shared.counters.store_reads.add(1);
        shared.health.record(&result);
        let is_whole = after.is_none();
        match result {
            Ok((items, at)) => {
                after = Some(at);
                if keep_following() {
                    apply_items(items, Read { is_whole, sent, at });
                }
                if let FollowMode::Poll(interval) = mode {
                    time::sleep(interval.into()).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                tracing::warn!(event = "history_gone", ?space, "listing the space again");
                after = None;
            }
            Err(err) => {
                shared.counters.store_follows_failed.add(1);
                tracing::debug!(
                    event = "watch_failed", ?space, cause = %err,
                    waited_ms = clock::now().since(sent).0,
                );
                pause_after_failure().await;
            }
        }
    }
}

/// Finds out when the store serves this node again, by reads, whose outcome is never in doubt.
pub(crate) async fn probe_store<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        shared.health.wait_until_failing().await;
        while !shared.health.is_serving() {
            let found = shared.platform.get(Key::Owner).await;
            shared.counters.store_reads.add(1);
            shared.health.record(&found);
            if found.is_err() {
                pause_after_failure().await;
            }
        }
    }
}

/// Follows the operator's configuration, waves and evacuations until the node stops.
pub(crate) async fn follow_operator<P: Platform>(shared: Rc<Shared<P>>) {
    let apply_items = |items: Vec<Item>, read: Read| {
        if read.is_whole {
            evacuations::apply_list(&shared, &items, read.at, read.sent);
        } else {
            evacuations::apply_changes(&shared, &items);
        }
        for item in items {
            match item.content {
                Content::Configuration(cfg) => apply_configuration(&shared, item.revision, cfg),
                Content::Wave(wave) => add_wave(&shared, wave),
                Content::Unreadable(key) => {
                    tracing::warn!(
                        event = "unreadable", %key,
                        "an item of the operator cannot be decoded and is ignored; correct it"
                    );
                }
                Content::Evacuation(..) | Content::Executor(..) | Content::Record(..) => {}
            }
        }
        if read.is_whole {
            shared.configuration.confirm(read.sent);
        }
    };
    follow(
        &shared,
        Space::Operator,
        None,
        || FollowMode::Watch,
        || true,
        apply_items,
    )
    .await;
}

/// Age up to which a request may rely on the configuration without reading it.
fn max_configuration_age<P: Platform>(shared: &Shared<P>) -> Span {
    Span(shared.settings.apply_time.0 * 3 / 4)
}

/// Reads the configuration unless the store confirmed it recently. False if it stays unconfirmed;
/// a read that takes longer than callers can wait goes on.
pub(crate) async fn confirm_configuration<P: Platform>(shared: &Rc<Shared<P>>) -> bool {
    let current = &shared.configuration;
    let needed = clock::now() - max_configuration_age(shared);
    let is_confirmed = || current.confirmed_at() >= needed && current.confirmed_at().0 > 0;
    if is_confirmed() || !shared.health.is_serving() {
        return is_confirmed();
    }
    let read = current.read_ended.notified();
    if !current.is_reading.replace(true) {
        task::spawn_local(read_configuration(Rc::clone(shared)));
    }
    let max_wait = Span(shared.settings.apply_time.0 / 2);
    if time::timeout(max_wait.into(), read).await.is_err() {
        let age_ms = current.age().0;
        tracing::info!(
            event = "configuration_read_slow",
            age_ms,
            "answering without it"
        );
    }
    is_confirmed()
}

async fn read_configuration<P: Platform>(shared: Rc<Shared<P>>) {
    let sent = clock::now();
    let found = shared.platform.get(Key::Configuration).await;
    shared.counters.store_reads.add(1);
    shared.health.record(&found);
    match found {
        Ok(item) => apply_configuration_item(&shared, item.as_ref(), sent),
        Err(err) => {
            let age_ms = shared.configuration.age().0;
            tracing::warn!(event = "configuration_unconfirmed", age_ms, cause = %err);
        }
    }
    shared.configuration.is_reading.set(false);
    shared.configuration.read_ended.notify_waiters();
}

/// Confirms the configuration whenever it would become too old, until `keep_confirming` returns
/// false.
pub(crate) async fn keep_configuration_confirmed<P: Platform>(
    shared: &Rc<Shared<P>>,
    keep_confirming: impl Fn() -> bool,
) {
    while keep_confirming() {
        if confirm_configuration(shared).await {
            let left = max_configuration_age(shared).saturating_sub(shared.configuration.age());
            time::sleep((left + MIN_CONFIRMATION_PAUSE).into()).await;
        } else {
            pause_after_failure().await;
        }
    }
}

/// Applies the configuration's item as a call sent at `sent` showed it.
pub(crate) fn apply_configuration_item<P: Platform>(
    shared: &Shared<P>,
    item: Option<&Item>,
    sent: Timestamp,
) {
    match item {
        Some(Item {
            revision,
            content: Content::Configuration(configuration),
        }) => apply_configuration(shared, *revision, configuration.clone()),
        _ => tracing::error!(
            event = "no_configuration",
            "the store has no configuration; write it again"
        ),
    }
    shared.configuration.confirm(sent);
}

fn apply_configuration<P: Platform>(
    shared: &Shared<P>,
    revision: Revision,
    configuration: Option<Configuration>,
) {
    if configuration.is_none() {
        shared.counters.configurations_unreadable.add(1);
    }
    let Some(configuration) = shared.configuration.apply(revision, configuration) else {
        return;
    };
    if let Some(owner) = shared.owner() {
        owner.apply(Event::ConfigurationRead((*configuration).clone()));
    }
}

fn add_wave<P: Platform>(shared: &Shared<P>, wave: MaintenanceWave) {
    let is_known = shared
        .waves
        .borrow()
        .iter()
        .any(|known| known.number == wave.number);
    if is_known {
        return;
    }
    tracing::info!(event = "wave_asked", wave = %wave.number, machines = wave.machines.len());
    shared.waves.borrow_mut().push(wave.clone());
    if let Some(owner) = shared.owner() {
        owner.apply(Event::WaveRequested(wave));
    }
}
