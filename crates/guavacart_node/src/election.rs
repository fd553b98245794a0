//! Who owns: the node whose lease holds the owner's key in the store.

use std::rc::Rc;

use guavacart_types::{Epoch, Span};
use rand::Rng;
use tokio::{task, time};

use crate::{
    Content, Item, Key, LeaseId, NodeSize, Platform, Put, StoreError, Value, Write, clock,
    links::Links,
    owner::{Owner, Renewal},
    records::{self, OwnerRecord},
    shared::{Leader, Shared},
    watching,
};

/// Length of the owner's lease; four renewals.
const LEASE: Span = Span::millis(1_200);
/// How often it is renewed.
const RENEWAL: Span = Span::millis(300);
/// Pause after a renewal without an answer.
const RENEWAL_RETRY: Span = Span::millis(150);
/// Time without a beat after which the store is asked; three beats and a margin.
const SILENCE: Span = Span::millis(700);
/// Least pause between two looks at the owner's key.
const LEAST_LOOK: u64 = 120;
/// Greatest such pause; jittered so that nodes do not try as one.
const GREATEST_LOOK: u64 = 320;
/// Processors, in cores, from which a machine carries an owner of some hundred executors.
const OWNER_PROCESSORS: f64 = 0.2;
/// Link, in Mbit/s, from which it does.
const OWNER_LINK_MBPS: f64 = 50.0;
/// Time that nodes on smaller machines leave to the others; a look at the owner's key and a take-over.
const SMALL_NODE_PATIENCE: Span = Span::millis(700);
/// Trials to read everything before the lease is given back.
const TRIALS_TO_BEGIN: usize = 3;

/// Follows or owns until the node stops.
pub(crate) async fn run<P: Platform>(shared: Rc<Shared<P>>, links: Rc<Links<P>>) {
    while !shared.is_stopping.get() {
        wait_for_silence(&links).await;
        if shared.is_stopping.get() {
            break;
        }
        if is_small(shared.settings.size) && leaves_it_to_larger(&links).await {
            continue;
        }
        let (heard, unconfirmed) = links.heard();
        tracing::info!(
            event = "owner_silent",
            silent_ms = clock::now().since(heard).0,
            unconfirmed_ms = unconfirmed.0,
            "asking the store who owns"
        );
        let found = shared.platform.get(Key::Owner).await;
        shared.counters.store_reads.add(1);
        shared.health.note(&found);
        match found {
            Ok(Some(item)) => follow_or_replace(&shared, &links, item).await,
            Ok(None) => try_to_own(&shared, &links, None).await,
            Err(err) => tracing::debug!(event = "owner_not_read", cause = %err),
        }
        let ms = rand::rng().random_range(LEAST_LOOK..=GREATEST_LOOK);
        tokio::select! {
            () = time::sleep(Span(ms).into()) => {}
            () = links.vacated.notified() => {}
        }
    }
}

/// Waits until the owner has not been heard for a while, or says that its lease may have ended.
async fn wait_for_silence<P: Platform>(links: &Links<P>) {
    loop {
        let (heard, unconfirmed) = links.heard();
        let silence = clock::now().since(heard);
        if heard.0 == 0 || silence >= SILENCE || unconfirmed >= LEASE {
            return;
        }
        tokio::select! {
            () = time::sleep(SILENCE.saturating_sub(silence).into()) => {}
            () = links.vacated.notified() => {}
        }
    }
}

/// True if one owner's work is likely to be too much for the machine.
fn is_small(size: NodeSize) -> bool {
    size.processors < OWNER_PROCESSORS || size.link_mbps < OWNER_LINK_MBPS
}

/// Lets larger nodes try first; true if one of them was heard to own meanwhile.
async fn leaves_it_to_larger<P: Platform>(links: &Links<P>) -> bool {
    let (before, _) = links.heard();
    time::sleep(SMALL_NODE_PATIENCE.into()).await;
    let (heard, unconfirmed) = links.heard();
    heard > before && unconfirmed < LEASE
}

async fn follow_or_replace<P: Platform>(shared: &Rc<Shared<P>>, links: &Rc<Links<P>>, item: Item) {
    let epoch = Epoch(item.revision.0);
    let record: Option<OwnerRecord> = match &item.content {
        Content::Own(Key::Owner, Some(bytes)) => records::decode(bytes),
        _ => None,
    };
    let Some(record) = record else {
        tracing::error!(event = "unreadable_owner", %epoch, "waiting for its lease to end");
        return;
    };
    // An earlier life or term of this very node is over.
    if record.name == shared.settings.name {
        try_to_own(shared, links, Some(item)).await;
        return;
    }
    let leader = Leader {
        epoch,
        name: record.name,
        links: record.links,
    };
    links.follow(leader).await;
}

async fn try_to_own<P: Platform>(
    shared: &Rc<Shared<P>>,
    links: &Rc<Links<P>>,
    replaced: Option<Item>,
) {
    if shared.configuration().is_none() {
        return;
    }
    let ttl = LEASE.max(shared.settings.min_lease);
    let sent = clock::now();
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
    let expected = replaced.map_or_else(Default::default, |item| item.revision);
    let write = Write {
        expected: vec![(Key::Owner, expected)],
        puts: vec![Put {
            key: Key::Owner,
            value: Value::Own(records::encode(&record)),
            lease: Some(lease),
        }],
        removes: Vec::new(),
    };
    match shared.platform.commit(write).await {
        Ok(revision) => {
            for _ in 0..TRIALS_TO_BEGIN {
                match Owner::begin(shared, lease, revision, sent).await {
                    Ok(owner) => {
                        own(shared, links, owner).await;
                        return;
                    }
                    Err(err) => {
                        tracing::warn!(event = "owner_cannot_begin", cause = %err);
                        watching::pause().await;
                    }
                }
            }
            give_back(shared, lease).await;
        }
        Err(StoreError::Conflict(_)) => give_back(shared, lease).await,
        Err(err) => tracing::warn!(event = "owner_not_written", cause = %err),
    }
}

async fn give_back<P: Platform>(shared: &Shared<P>, lease: LeaseId) {
    if let Err(err) = shared.platform.release(lease).await {
        tracing::debug!(event = "release_failed", cause = %err, "the lease runs out by itself");
    }
}

/// Owns until the lease ends, another node is found to own, or the node stops.
async fn own<P: Platform>(shared: &Rc<Shared<P>>, links: &Rc<Links<P>>, owner: Rc<Owner<P>>) {
    *shared.owner.borrow_mut() = Some(Rc::clone(&owner));
    *shared.leader.borrow_mut() = Some(Leader {
        epoch: owner.epoch,
        name: shared.settings.name.clone(),
        links: shared.settings.links,
    });
    catch_up(shared, &owner);
    let beats = task::spawn_local(Rc::clone(links).beat(Rc::clone(&owner)));
    let renewing = async {
        let mut pause = RENEWAL;
        loop {
            time::sleep(pause.into()).await;
            pause = match owner.renew().await {
                Renewal::Confirmed => RENEWAL,
                Renewal::Unanswered => RENEWAL_RETRY,
                Renewal::LeaseEnded => break,
            };
        }
    };
    tokio::select! {
        () = renewing => owner.step_down("its lease has ended"),
        () = owner.ended() => {}
        () = stopped(shared) => {
            owner.step_down("the node stops");
            owner.release().await;
        }
    }
    *shared.owner.borrow_mut() = None;
    if let Err(err) = beats.await {
        tracing::error!(event = "beats_ended", cause = %err);
    }
}

/// What was read while the owner began.
fn catch_up<P: Platform>(shared: &Shared<P>, owner: &Rc<Owner<P>>) {
    if let Some(configuration) = shared.configuration() {
        owner.apply(guavacart_jobs::Event::Configured((*configuration).clone()));
    }
    let waves = shared.waves.borrow().clone();
    for wave in waves {
        owner.apply(guavacart_jobs::Event::WaveAsked(wave));
    }
}

async fn stopped<P: Platform>(shared: &Shared<P>) {
    while !shared.is_stopping.get() {
        shared.stopping.notified().await;
    }
}
