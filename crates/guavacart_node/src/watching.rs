//! Follows the operator's configuration and requests for upkeep.

use std::rc::Rc;

use guavacart_jobs::{Configuration, Event, Wave};
use guavacart_types::{Revision, Span};
use rand::Rng;
use tokio::time;

use crate::{Content, Item, Key, Platform, Space, StoreError, shared::Shared};

/// Longest wait of a watch; a connection that has gone silent is noticed soon after.
const WATCH_WAIT: Span = Span::millis(1_500);
/// Least pause after a failed call.
const LEAST_PAUSE: u64 = 60;
/// Greatest pause after a failed call; jittered so that nodes do not come back as one.
const GREATEST_PAUSE: u64 = 240;

/// How changes of a space are learned.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Pacing {
    /// At once, by a call that waits for the next change.
    Watched,
    /// By one call in each interval, for spaces that change many times a second.
    Polled(Span),
}

impl Pacing {
    fn wait(self) -> Span {
        match self {
            Self::Watched => WATCH_WAIT,
            Self::Polled(_) => Span::ZERO,
        }
    }
}

/// Waits a jittered moment after a failed call of the store.
pub(crate) async fn pause() {
    let ms = rand::rng().random_range(LEAST_PAUSE..=GREATEST_PAUSE);
    time::sleep(Span(ms).into()).await;
}

/// Follows a space for ever: whole at first and after each loss of history, then by its changes, at the
/// pace that `pacing` tells before each call.
pub(crate) async fn follow<P: Platform>(
    shared: &Shared<P>,
    space: Space,
    from: Option<Revision>,
    mut pacing: impl FnMut() -> Pacing,
    mut goes_on: impl FnMut() -> bool,
    mut take: impl FnMut(Vec<Item>, bool),
) {
    let mut after = from;
    while goes_on() {
        let pacing = pacing();
        let result = match after {
            None => shared.platform.list(space).await,
            Some(after) => shared.platform.watch(space, after, pacing.wait()).await,
        };
        shared.counters.store_reads.add(1);
        shared.health.note(&result);
        let is_whole = after.is_none();
        match result {
            Ok((items, at)) => {
                after = Some(at);
                if goes_on() && (is_whole || !items.is_empty()) {
                    take(items, is_whole);
                }
                if let Pacing::Polled(interval) = pacing {
                    time::sleep(interval.into()).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                tracing::warn!(event = "history_gone", ?space, "listing the space again");
                after = None;
            }
            Err(err) => {
                tracing::debug!(event = "watch_failed", ?space, cause = %err);
                pause().await;
            }
        }
    }
}

/// Looks for the store while it does not serve this node, by reads that leave nothing in doubt.
pub(crate) async fn probe<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        shared.health.lost().await;
        while !shared.health.serves() {
            let found = shared.platform.get(Key::Owner).await;
            shared.counters.store_reads.add(1);
            shared.health.note(&found);
            if found.is_err() {
                pause().await;
            }
        }
    }
}

/// Follows the operator until the node ends.
pub(crate) async fn operator<P: Platform>(shared: Rc<Shared<P>>) {
    let take = |items: Vec<Item>, _| {
        for item in items {
            match item.content {
                Content::Configuration(configuration) => configured(&shared, configuration),
                Content::Wave(wave) => wave_asked(&shared, wave),
                Content::Unreadable(key) => {
                    tracing::warn!(event = "unreadable", %key, "an item of the operator is ignored");
                }
                Content::Executor(..) | Content::Own(..) => {}
            }
        }
    };
    follow(
        &shared,
        Space::Operator,
        None,
        || Pacing::Watched,
        || true,
        take,
    )
    .await;
}

fn configured<P: Platform>(shared: &Shared<P>, configuration: Configuration) {
    let known = shared.configuration().map(|known| known.version);
    if known.is_some_and(|known| configuration.version <= known) {
        return;
    }
    tracing::info!(
        event = "configured",
        version = configuration.version,
        before = known,
        queues = configuration.queues.len(),
    );
    let configuration = Rc::new(configuration);
    *shared.configuration.borrow_mut() = Some(Rc::clone(&configuration));
    if let Some(owner) = shared.owner() {
        owner.apply(Event::Configured((*configuration).clone()));
    }
    shared.configured.notify_waiters();
}

fn wave_asked<P: Platform>(shared: &Shared<P>, wave: Wave) {
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
        owner.apply(Event::WaveAsked(wave));
    }
}
