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
use crate::reducer_thread::Input;

/// Longest wait for a peer's configuration.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

impl<S: Store> Runner<S> {
    pub(super) fn run_config(&mut self, effect: ConfigEffect, cfg: &Configuration) {
        match effect {
            ConfigEffect::ReadStore => {
                let store = self.store.clone();
                let inbox = self.inbox.clone();
                let revision = self.config_revision.clone();
                self.runtime
                    .spawn_blocking(move || send_event(&inbox, read_store(&store, &revision)));
            }
            ConfigEffect::ReadPeer(peer) => {
                let answer = self.links.ask(&peer, Question::Configuration, PEER_TIMEOUT);
                let inbox = self.inbox.clone();
                self.runtime.spawn(async move {
                    let body = answer.await;
                    send_event(&inbox, decode_from_peer(body.as_deref()));
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

fn send_event(inbox: &Sender<Input>, event: ConfigEvent) {
    // A closed inbox means that the process is ending.
    let _ = inbox.send(Input::Event(Event::Config(event)));
}

/// Reads the record if it is newer than the last one read, so that an unchanged record is not
/// transferred again.
fn read_store<S: Store>(store: &S, revision: &AtomicU64) -> ConfigEvent {
    let after = Revision(revision.load(Ordering::Acquire));
    let record = match store.watch(CONFIG_KEY, after, Duration::ZERO) {
        Ok(Some(record)) => record,
        Ok(None) => return ConfigEvent::Unchanged,
        Err(err) => {
            warn!(event = "config_unread", error = %err, "the configuration record could not be read from the store");
            return ConfigEvent::Unchanged;
        }
    };
    match ConfigRecord::decode(&record.value) {
        Ok(decoded) => {
            revision.fetch_max(record.revision.0, Ordering::AcqRel);
            ConfigEvent::Read(Box::new(decoded.current))
        }
        Err(err) => {
            warn!(event = "config_damaged", error = %err, "the configuration record cannot be decoded");
            ConfigEvent::Unchanged
        }
    }
}

/// Decodes a peer's answer; none means that the peer did not answer in time.
fn decode_from_peer(body: Option<&[u8]>) -> ConfigEvent {
    let Some(body) = body else {
        return ConfigEvent::Unchanged;
    };
    match serde_json::from_slice(body) {
        Ok(configuration) => ConfigEvent::Read(Box::new(configuration)),
        Err(err) => {
            warn!(event = "config_damaged", error = %err, "a peer's configuration cannot be decoded");
            ConfigEvent::Unchanged
        }
    }
}
