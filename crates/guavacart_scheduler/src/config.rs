//! The configuration in force at this instance; its number never goes back.

use guavacart_config::Configuration;
use guavacart_types::{ConfigNumber, InstanceId, Span, Timestamp};
use serde::{Deserialize, Serialize};

use crate::Effect;

/// Longest time between two reads of the store's record.
const READ_INTERVAL: Span = Span::secs(2);

/// What became known of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigEvent {
    /// The store or a peer gave this configuration.
    Read(Box<Configuration>),
    /// The store or the peer could not be read, or holds nothing newer.
    Unchanged,
}

/// What is to be done about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigEffect {
    /// Read the store's record.
    ReadStore,
    /// Read the content from a peer that holds a newer number.
    ReadPeer(InstanceId),
    /// A newer configuration is in force from now on.
    InForce(ConfigNumber),
}

/// The configuration in force and what is known of newer ones.
#[derive(Debug, Default)]
pub struct ConfigState {
    current: Configuration,
    next_read: Timestamp,
    asked_peer_at: Option<Timestamp>,
}

impl ConfigState {
    /// The configuration in force.
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

    /// A peer holds the configuration `newest`.
    pub(crate) fn note_newest(
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
