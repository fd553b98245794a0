//! Reads newer configurations from the store and from peers.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use flume::Sender;
use guavacart_config::{CONFIG_KEY, ConfigRecord, Configuration};
use guavacart_platform::store::Store;
use guavacart_scheduler::{
    Event,
    config::{ConfigEffect, ConfigEvent},
};
use guavacart_types::Revision;
use guavacart_wire::Question;
use tracing::{info, warn};

use super::Runner;
use crate::core::Input;

/// Longest wait for a peer's answer.
const PEER_WAIT: Duration = Duration::from_secs(2);

impl<S: Store> Runner<S> {
    pub(super) fn run_config(&mut self, effect: ConfigEffect, cfg: &Configuration) {
        match effect {
            ConfigEffect::ReadStore => {
                let store = self.store.clone();
                let inbox = self.inbox.clone();
                let taken = self.config_taken.clone();
                self.runtime
                    .spawn_blocking(move || tell(&inbox, read_store(&store, &taken)));
            }
            ConfigEffect::ReadPeer(peer) => {
                let asked = self.links.ask(&peer, Question::Configuration, PEER_WAIT);
                let inbox = self.inbox.clone();
                self.runtime.spawn(async move {
                    let body = asked.await;
                    tell(&inbox, from_peer(body.as_deref()));
                });
            }
            ConfigEffect::InForce(number) => {
                self.metrics.gauge("config.number", number.0);
                info!(
                    event = "config_in_force",
                    config = number.0,
                    services = cfg.services.len(),
                    "a newer configuration is in force"
                );
            }
        }
    }
}

fn tell(inbox: &Sender<Input>, event: ConfigEvent) {
    // A closed inbox means that the process is ending.
    let _ = inbox.send(Input::Event(Event::Config(event)));
}

/// Reads the record if it is later than the one that was taken last, so that a read that brings
/// nothing new is small.
fn read_store<S: Store>(store: &S, taken: &AtomicU64) -> ConfigEvent {
    let after = Revision(taken.load(Ordering::Acquire));
    let record = match store.watch(CONFIG_KEY, after, Duration::ZERO) {
        Ok(Some(record)) => record,
        Ok(None) => return ConfigEvent::Unchanged,
        Err(err) => {
            warn!(event = "config_unread", error = %err, "the configuration could not be read");
            return ConfigEvent::Unchanged;
        }
    };
    match ConfigRecord::decode(&record.value) {
        Ok(decoded) => {
            taken.fetch_max(record.revision.0, Ordering::AcqRel);
            ConfigEvent::Read(Box::new(decoded.current))
        }
        Err(err) => {
            warn!(event = "config_damaged", error = %err, "the configuration's record cannot be used");
            ConfigEvent::Unchanged
        }
    }
}

fn from_peer(body: Option<&[u8]>) -> ConfigEvent {
    let Some(body) = body else {
        return ConfigEvent::Unchanged;
    };
    match serde_json::from_slice(body) {
        Ok(configuration) => ConfigEvent::Read(Box::new(configuration)),
        Err(err) => {
            warn!(event = "config_damaged", error = %err, "a peer's configuration cannot be used");
            ConfigEvent::Unchanged
        }
    }
}
