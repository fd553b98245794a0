//! The configuration in force on this instance. Its number never decreases.

use guavacart_config::Configuration;
use guavacart_types::{ConfigNumber, InstanceId, Span, Timestamp};
use serde::{Deserialize, Serialize};

use crate::Effect;

/// Time between two reads of the configuration record in the store, and time after which an
/// unanswered read from a peer is repeated.
const READ_INTERVAL: Span = Span::secs(2);

/// The result of reading the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigEvent {
    /// The store or a peer returned this configuration.
    Read(Box<Configuration>),
    /// The store or the peer could not be read, or has no newer configuration.
    Unchanged,
}

/// Actions concerning the configuration that the runtime has to carry out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigEffect {
    /// Read the configuration record from the store.
    ReadStore,
    /// Read the configuration from a peer that reported a newer number.
    ReadPeer(InstanceId),
    /// The configuration with this number is now in force.
    InForce(ConfigNumber),
}

/// The configuration in force, and when to read it again.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: Configuration,
    next_read: Timestamp,
    asked_peer_at: Option<Timestamp>,
}

impl ConfigState {
    /// The configuration in force on this instance.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    pub(crate) fn apply(&mut self, now: Timestamp, event: ConfigEvent, effects: &mut Vec<Effect>) {
        self.asked_peer_at = None;
        if let ConfigEvent::Read(configuration) = event
            && configuration.number > self.current.number
        {
            self.current = *configuration;
            self.next_read = now + READ_INTERVAL;
            effects.push(ConfigEffect::InForce(self.current.number).into());
        }
    }

    pub(crate) fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if now >= self.next_read {
            self.next_read = now + READ_INTERVAL;
            effects.push(ConfigEffect::ReadStore.into());
        }
    }

    /// Reads the configuration from a peer that reported a newer number, unless such a read is pending.
    pub(crate) fn read_if_newer(
        &mut self,
        now: Timestamp,
        newest: Option<(InstanceId, ConfigNumber)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((peer, number)) = newest else {
            return;
        };
        let is_read_pending = self
            .asked_peer_at
            .is_some_and(|at| now.since(at) < READ_INTERVAL);
        if number > self.current.number && !is_read_pending {
            self.asked_peer_at = Some(now);
            effects.push(ConfigEffect::ReadPeer(peer).into());
        }
    }
}
