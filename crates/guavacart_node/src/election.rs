//! Elects the owner: the node whose lease holds the owner's key in the store.

use std::rc::Rc;

use guavacart_types::{Epoch, Span};
use rand::Rng;
use tokio::{task, time};

use crate::{
    Content, Item, Key, LeaseId, NodeSize, Platform, Put, StoreError, Value, Write, clock,
    links::Links,
    owner::{Owner, Renewal},
    records::{self, OwnerRecord},
    shared::{KnownOwner, Shared},
    watching,
};

/// Length of the owner's lease; four renewal intervals.
pub(crate) const OWNER_LEASE: Span = Span::millis(1_200);
/// How often the owner renews its lease.
const RENEWAL_INTERVAL: Span = Span::millis(300);
/// Shortest pause between two renewals; limits those that the reducer requests.
const MIN_RENEWAL_INTERVAL: Span = Span::millis(20);
/// Pause after a renewal without an answer.
const RENEWAL_RETRY_PAUSE: Span = Span::millis(150);
/// Time without a heartbeat after which a node reads the owner's key in the store; three heartbeat
/// intervals and a margin.
const HEARTBEAT_TIMEOUT: Span = Span::millis(700);
/// Shortest pause between two reads of the owner's key, in milliseconds.
const MIN_ELECTION_PAUSE_MS: u64 = 120;
/// Longest pause between two reads of the owner's key, in milliseconds; jitter keeps nodes from
/// trying at the same moment.
const MAX_ELECTION_PAUSE_MS: u64 = 320;
/// Processors, in cores, that a machine needs for an owner of some hundred executors.
const MIN_OWNER_PROCESSORS: f64 = 0.2;
/// Link bandwidth, in Mbit/s, that a machine needs for an owner of some hundred executors.
const MIN_OWNER_LINK_MBPS: f64 = 50.0;
/// How long nodes on smaller machines wait for the others to become owner; covers a read of the
/// owner's key and a take-over.
const SMALL_NODE_DELAY: Span = Span::millis(700);
/// Attempts to read the owner's state before the lease is given back.
const MAX_START_ATTEMPTS: usize = 3;

/// Follows the owner or acts as the owner until the node stops.
pub(crate) async fn run<P: Platform>(shared: Rc<Shared<P>>, links: Rc<Links<P>>) {
    while !shared.is_stopping.get() {
        wait_for_owner_silence(&links).await;
        if shared.is_stopping.get() {
            break;
        }
        if is_small(shared.settings.size) && larger_node_became_owner(&links).await {
            continue;
        }
        let (last_heartbeat, unconfirmed_for) = links.last_heartbeat();
        tracing::info!(
            event = "owner_silent",
            silent_ms = clock::now().since(last_heartbeat).0,
            unconfirmed_ms = unconfirmed_for.0,
            "reading the owner's key in the store"
        );
        let found = shared.platform.get(Key::Owner).await;
        shared.counters.store_reads.add(1);
        shared.health.record(&found);
        match found {
            Ok(Some(item)) => follow_or_replace(&shared, &links, item).await,
            Ok(None) => try_to_become_owner(&shared, &links, None).await,
            Err(err) => tracing::debug!(event = "owner_not_read", cause = %err),
        }
        let ms = rand::rng().random_range(MIN_ELECTION_PAUSE_MS..=MAX_ELECTION_PAUSE_MS);
        tokio::select! {
            () = time::sleep(Span(ms).into()) => {}
            () = links.owner_resigned.notified() => {}
        }
    }
}

/// Waits until no heartbeat has come for `HEARTBEAT_TIMEOUT`, or until the owner reports that it
/// has resigned or that its lease may have expired.
async fn wait_for_owner_silence<P: Platform>(links: &Links<P>) {
    loop {
        let (last_heartbeat, unconfirmed_for) = links.last_heartbeat();
        let silence = clock::now().since(last_heartbeat);
        if last_heartbeat.0 == 0 || silence >= HEARTBEAT_TIMEOUT || unconfirmed_for >= OWNER_LEASE {
            return;
        }
        tokio::select! {
            () = time::sleep(HEARTBEAT_TIMEOUT.saturating_sub(silence).into()) => {}
            () = links.owner_resigned.notified() => {}
        }
    }
}

/// True if the owner's work is likely to overload the machine.
fn is_small(size: NodeSize) -> bool {
    size.processors < MIN_OWNER_PROCESSORS || size.link_mbps < MIN_OWNER_LINK_MBPS
}

/// Waits so that larger nodes can try first; true if a heartbeat of an owner with a valid lease
/// came meanwhile.
async fn larger_node_became_owner<P: Platform>(links: &Links<P>) -> bool {
    let (before, _) = links.last_heartbeat();
    time::sleep(SMALL_NODE_DELAY.into()).await;
    let (last_heartbeat, unconfirmed_for) = links.last_heartbeat();
    last_heartbeat > before && unconfirmed_for < OWNER_LEASE
}

async fn follow_or_replace<P: Platform>(shared: &Rc<Shared<P>>, links: &Rc<Links<P>>, item: Item) {
    let epoch = Epoch(item.revision.0);
    let record: Option<OwnerRecord> = match &item.content {
        Content::Record(Key::Owner, Some(bytes)) => records::decode(bytes),
        _ => None,
    };
    let Some(record) = record else {
        tracing::error!(event = "unreadable_owner", %epoch, "waiting for the lease to expire");
        return;
    };
    // The record is from an earlier incarnation or term of this node, which has ended.
    if record.name == shared.settings.name {
        try_to_become_owner(shared, links, Some(item)).await;
        return;
    }
    let known_owner = KnownOwner {
        epoch,
        name: record.name,
        links: record.links,
    };
    links.follow(known_owner).await;
}

async fn try_to_become_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
    links: &Rc<Links<P>>,
    previous: Option<Item>,
) {
    if shared.configuration.get().is_none() {
        return;
    }
    let ttl = OWNER_LEASE.max(shared.settings.min_lease);
    let sent_at = clock::now();
    let (last_heartbeat, unconfirmed_for) = links.last_heartbeat();
    shared.counters.store_writes.add(2);
    let lease = match shared.platform.grant(ttl).await {
        Ok(lease) => lease,
        Err(err) => {
            tracing::debug!(event = "lease_not_granted", cause = %err);
            return;
        }
    };
    let record = OwnerRecord {
        name: shared.settings.name.clone(),
        links: shared.settings.links,
    };
    let expected = previous.map_or_else(Default::default, |item| item.revision);
    let write = Write {
        expected: vec![(Key::Owner, expected)],
        puts: vec![Put {
            key: Key::Owner,
            value: Value::Record(records::encode(&record)),
            lease: Some(lease),
        }],
        removes: Vec::new(),
    };
    match shared.platform.commit(write).await {
        Ok(revision) => {
            // A lease that ends sooner after its confirmation was removed together with its key; the
            // earlier owner may not know it. An owner that resigned leaves no heartbeat.
            let confirmed_at = last_heartbeat - unconfirmed_for;
            let is_removed = last_heartbeat.0 > 0 && sent_at.since(confirmed_at) < OWNER_LEASE;
            let last_confirmed = if is_removed { sent_at } else { confirmed_at };
            for _ in 0..MAX_START_ATTEMPTS {
                match Owner::start(shared, lease, revision, sent_at, last_confirmed).await {
                    Ok(owner) => {
                        act_as_owner(shared, links, owner).await;
                        return;
                    }
                    Err(err) => {
                        tracing::warn!(event = "owner_cannot_begin", cause = %err);
                        watching::pause_after_failure().await;
                    }
                }
            }
            give_back_lease(shared, lease).await;
        }
        Err(StoreError::Conflict(_)) => give_back_lease(shared, lease).await,
        Err(err) => tracing::warn!(event = "owner_not_written", cause = %err),
    }
}

async fn give_back_lease<P: Platform>(shared: &Shared<P>, lease: LeaseId) {
    if let Err(err) = shared.platform.release(lease).await {
        tracing::debug!(event = "release_failed", cause = %err, "the lease expires by itself");
    }
}

/// Acts as the owner until the lease expires, another node becomes owner, or the node stops.
async fn act_as_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
    links: &Rc<Links<P>>,
    owner: Rc<Owner<P>>,
) {
    *shared.owner.borrow_mut() = Some(Rc::clone(&owner));
    *shared.known_owner.borrow_mut() = Some(KnownOwner {
        epoch: owner.epoch,
        name: shared.settings.name.clone(),
        links: shared.settings.links,
    });
    apply_known_configuration(shared, &owner);
    let heartbeats = task::spawn_local(Rc::clone(links).send_heartbeats(Rc::clone(&owner)));
    let renewals = async {
        let mut pause = RENEWAL_INTERVAL;
        loop {
            time::sleep(MIN_RENEWAL_INTERVAL.into()).await;
            tokio::select! {
                () = time::sleep(pause.saturating_sub(MIN_RENEWAL_INTERVAL).into()) => {}
                () = owner.renewal_requested() => {}
            }
            pause = match owner.renew().await {
                Renewal::Confirmed => RENEWAL_INTERVAL,
                Renewal::Unanswered => RENEWAL_RETRY_PAUSE,
                Renewal::LeaseExpired => break,
            };
        }
    };
    tokio::select! {
        () = renewals => owner.step_down("its lease has expired"),
        () = owner.wait_for_end() => {}
        () = wait_for_stop(shared) => {
            owner.step_down("the node is stopping");
            owner.release().await;
        }
    }
    *shared.owner.borrow_mut() = None;
    if let Err(err) = heartbeats.await {
        tracing::error!(event = "beats_ended", cause = %err);
    }
}

/// Applies the configuration and the waves that were read while the owner started.
fn apply_known_configuration<P: Platform>(shared: &Shared<P>, owner: &Rc<Owner<P>>) {
    if let Some(configuration) = shared.configuration.get() {
        owner.apply(guavacart_jobs::Event::ConfigurationRead(
            (*configuration).clone(),
        ));
    }
    let waves = shared.waves.borrow().clone();
    for wave in waves {
        owner.apply(guavacart_jobs::Event::WaveRequested(wave));
    }
}

async fn wait_for_stop<P: Platform>(shared: &Shared<P>) {
    while !shared.is_stopping.get() {
        shared.stopping.notified().await;
    }
}
